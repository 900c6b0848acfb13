package sched

import (
	"slices"
	"time"
)

// ServiceState is the state in which the operators want a service to be.
type ServiceState string

// The service states.
const (
	ServiceStarted  ServiceState = "Started"
	ServiceDraining ServiceState = "Draining"
	ServiceStopped  ServiceState = "Stopped"
)

// Service is one latency-critical service.
type Service struct {
	Name      ServiceName
	State     ServiceState
	DependsOn []ServiceName
	Team      TeamName
	// Objective is the latency below which answers should stay.
	Objective time.Duration
	// Timeout bounds one attempt at a target.
	Timeout time.Duration
	// Slots bounds the requests in progress on one worker, and Connections the
	// connections to it.
	Slots       int
	Connections int
	// SlotResources is what one slot reserves on its worker.
	SlotResources Resources
	// IdempotentMethods are the HTTP methods that may run more than once.
	IdempotentMethods []string
	// FormerNames are the names of services that were merged into this one.
	// They stay valid in routes and idempotency keys.
	FormerNames []ServiceName
}

// Idempotent reports whether a request with this HTTP method may run more
// than once.
func (s *Service) Idempotent(method string) bool {
	return slices.Contains(s.IdempotentMethods, method)
}

// Team owns services and jobs.
type Team struct {
	Name TeamName
	// MaxInFlight bounds the team's requests in progress; 0 is no bound.
	MaxInFlight int
	// Quota is what the team's running tasks may take in total while other
	// teams need their quotas; zero dimensions are unbounded.
	Quota       Resources
	FormerNames []TeamName
}

// BatchClass is a class of batch tasks with similar behaviour.
type BatchClass struct {
	Name ClassName
	// RunTime is the declared run time; it is often far from the real one.
	RunTime time.Duration
	// MaxAttempts bounds the failed attempts of a task. Each attempt is made on
	// another worker if there is one.
	MaxAttempts int
	// Checkpoints says whether tasks of the class can be checkpointed.
	Checkpoints bool
}

// Config is the parsed and validated configuration of the services.
type Config struct {
	Revision    Revision
	DataCentres []DataCentre
	// ShardsPerDataCentre is used only when the ownership table is created and
	// when the shards of an added data centre are appended to it.
	ShardsPerDataCentre int
	Services            []Service
	Teams               []Team
	Classes             []BatchClass
}

// Service returns the service with this name or former name.
func (c *Config) Service(name ServiceName) (*Service, bool) {
	for i := range c.Services {
		s := &c.Services[i]
		if s.Name == name || slices.Contains(s.FormerNames, name) {
			return s, true
		}
	}
	return nil, false
}

// Team returns the team with this name or former name.
func (c *Config) Team(name TeamName) (*Team, bool) {
	for i := range c.Teams {
		t := &c.Teams[i]
		if t.Name == name || slices.Contains(t.FormerNames, name) {
			return t, true
		}
	}
	return nil, false
}

// Class returns the batch class with this name.
func (c *Config) Class(name ClassName) (*BatchClass, bool) {
	for i := range c.Classes {
		if c.Classes[i].Name == name {
			return &c.Classes[i], true
		}
	}
	return nil, false
}
