package pool

import (
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/limit"
	"github.com/mangoslip/mangoslip/pkg/sched/queue"
)

// setConfig puts a configuration in force. A lower revision than the current
// one is ignored.
func (m *Machine) setConfig(now time.Time, cfg *sched.Config) {
	if cfg == nil || m.cfg != nil && cfg.Revision < m.cfg.Revision {
		return
	}
	m.cfg = cfg
	m.setTeams()
	old := m.services
	m.services = m.services[:0:0]
	names := make(map[sched.ServiceName]*service, len(cfg.Services))
	for i := range cfg.Services {
		c := &cfg.Services[i]
		s := m.service(c.Name)
		s.Service = *c
		s.team = m.teamOf(c.Team, nil)
		m.services = append(m.services, s)
		names[c.Name] = s
		for _, f := range c.FormerNames {
			names[f] = s
		}
		timeout := c.Timeout
		if timeout <= 0 {
			timeout = DefaultTimeout
		}
		m.longestTimeout = max(m.longestTimeout, timeout)
	}
	m.servicesByName = names
	for _, s := range m.services {
		s.refusal = configRefusal(cfg, &s.Service, 0)
	}
	m.retire(now, old)
	m.setTargets(now)
	for _, s := range m.services {
		if s.refusal != "" && s.refusal != sched.ReasonServiceDraining {
			s.queue.Clear(s.refusal)
		}
		m.dispatch(now, s)
	}
	m.predictor.Retain(func(n sched.ServiceName) bool { return names[n] != nil })
}

// service returns the state of the service with a current name, or a new state
// if there is none.
func (m *Machine) service(name sched.ServiceName) *service {
	if s := m.servicesByName[name]; s != nil && s.Name == name {
		return s
	}
	if s := m.retired[name]; s != nil {
		return s
	}
	return &service{
		queue: queue.New(queue.WithSize(m.queueLen)),
		limit: limit.NewGradient(0),
	}
}

// configRefusal returns the reason in the configuration for refusing new
// requests of a service, empty if there is none. A service whose dependency is
// stopped, directly or through others, cannot answer.
func configRefusal(cfg *sched.Config, s *sched.Service, depth int) sched.Reason {
	switch s.State {
	case sched.ServiceStopped:
		return sched.ReasonServiceStopped
	case sched.ServiceDraining:
		return sched.ReasonServiceDraining
	}
	if !dependenciesUp(cfg, s, depth) {
		return sched.ReasonDependencyDown
	}
	return ""
}

// dependenciesUp reports whether all dependencies of a service are known and
// not stopped, also the indirect ones. The depth ends the recursion in case of
// a cycle, which a validated configuration does not have.
func dependenciesUp(cfg *sched.Config, s *sched.Service, depth int) bool {
	if depth > len(cfg.Services) {
		return true
	}
	for _, name := range s.DependsOn {
		d, ok := cfg.Service(name)
		if !ok || d.State == sched.ServiceStopped || !dependenciesUp(cfg, d, depth+1) {
			return false
		}
	}
	return true
}

// setTeams updates the teams from the configuration. A former name resolves to
// the same quota.
func (m *Machine) setTeams() {
	teams := make(map[sched.TeamName]*team, len(m.cfg.Teams))
	for i := range m.cfg.Teams {
		c := &m.cfg.Teams[i]
		t := m.teams[c.Name]
		if t == nil {
			t = &team{}
		}
		t.max = c.MaxInFlight
		teams[c.Name] = t
		for _, f := range c.FormerNames {
			teams[f] = t
		}
	}
	m.teams = teams
}

// teamOf returns the team of a name, or the team of the service if there is
// none. A nil team has no quota.
func (m *Machine) teamOf(name sched.TeamName, s *service) *team {
	if t := m.teams[name]; t != nil || s == nil {
		return t
	}
	return s.team
}

// teamBound returns the part of a team's limit that this shard enforces.
func (m *Machine) teamBound(t *team, s *service) int {
	return limit.Share(t.max, s.targets, m.fleet[s.Name])
}

// retire handles the services that left the configuration. It refuses their
// waiting requests. It counts their requests in progress against the service
// that they were merged into, or keeps the service in retired until these
// requests have ended.
func (m *Machine) retire(now time.Time, old []*service) {
	for _, s := range m.retired {
		old = append(old, s)
	}
	clear(m.retired)
	for _, s := range old {
		if m.servicesByName[s.Name] == s {
			continue
		}
		successor := m.servicesByName[s.Name]
		reason := sched.ReasonUnknownService
		if successor != nil {
			reason = sched.ReasonNoCapacity
		}
		s.queue.Clear(reason)
		for _, r := range s.queue.Refused(now) {
			m.drop(now, r.ID, r.Reason)
		}
		switch {
		case successor != nil:
			m.merge(now, s, successor)
		case s.limit.InFlight() > 0:
			m.retired[s.Name] = s
		}
	}
}

// merge counts the grants of a former service against its successor.
func (m *Machine) merge(now time.Time, s, successor *service) {
	for _, w := range m.sortedWorkers {
		from := w.target(s)
		if from == nil {
			continue
		}
		to := m.ensureTarget(now, w, successor)
		to.busy += from.busy
		to.inherited += from.inherited
		to.holds = append(to.holds, from.holds...)
		m.setSlots(from, 0)
		w.targets = slices.DeleteFunc(w.targets, func(t *target) bool { return t == from })
	}
	for id, r := range m.requests {
		if r.service != s {
			continue
		}
		r.service = successor
		r.target = r.target.worker.target(successor)
		// The successor's queue and limiter have not admitted the request.
		successor.queue.Adopt(now, r.long)
		successor.limit.Adopt()
		m.requests[id] = r
	}
}
