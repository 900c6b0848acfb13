package text

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// namePattern matches allowed names. Service names are used in URL paths and
// data centre names in shard IDs, so neither may contain a slash.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)

// nameRule describes namePattern in messages.
const nameRule = "use 1 to 63 letters, digits, '-' or '_', the first a letter or digit"

// maxShards is the maximum number of shards in a data centre. Each shard has a
// journal, whose writes count towards the store's write rate limit.
const maxShards = 64

// Check returns the problems of a configuration: malformed or duplicate names,
// unknown references, dependency cycles, values that are missing or not allowed,
// and sizes that do not fit. Size is the capacity of one worker; a resource that
// is zero in it is not checked. The problems have no line numbers; [Parse] adds
// them.
func Check(cfg *sched.Config, size sched.Resources) Problems {
	c := &checker{cfg: cfg, size: size}
	c.dataCentres()
	c.services()
	c.teams()
	c.classes()
	c.cycles()
	return c.problems
}

// checker collects the problems of a configuration.
type checker struct {
	cfg      *sched.Config
	size     sched.Resources
	problems Problems
}

func (c *checker) fail(key, format string, args ...any) {
	c.problems = append(c.problems, Problem{Key: key, Message: fmt.Sprintf(format, args...)})
}

// nameSet checks that the names of one kind are well-formed and unique.
type nameSet struct {
	*checker
	// seen maps each name to the key that holds it.
	seen map[string]string
}

func (n *nameSet) add(key, name string) {
	if !namePattern.MatchString(name) {
		n.fail(key, "name %q is not allowed; %s", name, nameRule)
		return
	}
	if other, ok := n.seen[name]; ok {
		n.fail(key, "name %q is already used at %s; names and former names are unique", name, other)
		return
	}
	n.seen[name] = key
}

func (c *checker) dataCentres() {
	if len(c.cfg.DataCentres) == 0 {
		c.fail("DataCentres", "is empty; list at least one data centre")
	}
	n := &nameSet{c, map[string]string{}}
	for i, dc := range c.cfg.DataCentres {
		n.add(elementKey("DataCentres", i), string(dc))
	}
	if s := c.cfg.ShardsPerDataCentre; s < 1 || s > maxShards {
		c.fail("ShardsPerDataCentre", "is %d; write a number from 1 to %d", s, maxShards)
	}
}

func (c *checker) services() {
	n := &nameSet{c, map[string]string{}}
	for i := range c.cfg.Services {
		n.add(elementKey("Services", i)+".Name", string(c.cfg.Services[i].Name))
	}
	for i := range c.cfg.Services {
		s, key := &c.cfg.Services[i], elementKey("Services", i)
		for j, former := range s.FormerNames {
			n.add(elementKey(key+".FormerNames", j), string(former))
		}
		c.service(key, s)
	}
}

func (c *checker) service(key string, s *sched.Service) {
	switch s.State {
	case sched.ServiceStarted, sched.ServiceDraining, sched.ServiceStopped:
	default:
		c.fail(key+".State", "is %q; allowed are Started, Draining, Stopped", s.State)
	}
	for j, dep := range s.DependsOn {
		depKey := elementKey(key+".DependsOn", j)
		if _, ok := c.cfg.Service(dep); !ok {
			c.fail(depKey, "service %q depends on unknown service %q; known are %s", s.Name, dep, c.serviceNames())
		}
		if slices.Index(s.DependsOn, dep) != j {
			c.fail(depKey, "service %q lists %q twice", s.Name, dep)
		}
	}
	if _, ok := c.cfg.Team(s.Team); !ok {
		c.fail(key+".Team", "service %q has unknown team %q; known are %s", s.Name, s.Team, c.teamNames())
	}
	c.timesAndSizes(key, s)
	for j, m := range s.IdempotentMethods {
		if !slices.Contains(methods, m) {
			c.fail(elementKey(key+".IdempotentMethods", j), "is %q; allowed are %s", m, strings.Join(methods, ", "))
		}
	}
}

// methods lists the HTTP methods that IdempotentMethods may contain.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut,
	http.MethodDelete, http.MethodPost, http.MethodPatch,
}

// timesAndSizes checks the durations, slots and connections of a service.
func (c *checker) timesAndSizes(key string, s *sched.Service) {
	if s.Timeout <= 0 {
		c.fail(key+".Timeout", "of service %q is zero or missing; write a duration above 0", s.Name)
	}
	if s.Objective <= 0 {
		c.fail(key+".Objective", "of service %q is zero or missing; write a duration above 0", s.Name)
	}
	if s.Timeout > 0 && s.Objective > s.Timeout {
		c.fail(key+".Objective", "of service %q is %v, above its Timeout of %v; write at most that", s.Name, s.Objective, s.Timeout)
	}
	if s.Slots < 1 {
		c.fail(key+".Slots", "of service %q is zero or missing; write at least 1", s.Name)
	}
	if s.Connections < s.Slots {
		c.fail(key+".Connections", "of service %q is %d; write at least its %d Slots", s.Name, s.Connections, s.Slots)
	}
	c.slotsFit(key+".SlotResources", s)
}

// slotsFit checks that all slots of a service fit on one worker together. It
// divides the worker's size instead of multiplying the slot's, which could
// overflow.
func (c *checker) slotsFit(key string, s *sched.Service) {
	slots := int64(max(s.Slots, 1))
	check := func(field string, slot, size int64, have any) {
		if size > 0 && slot > size/slots {
			c.fail(key+"."+field, "of service %q times %d Slots exceeds the WorkerSize of %v; lower one of them", s.Name, slots, have)
		}
	}
	r := s.SlotResources
	check("CPU", int64(r.CPU), int64(c.size.CPU), CPU(c.size.CPU))
	check("Memory", int64(r.Memory), int64(c.size.Memory), Memory(c.size.Memory))
	if c.size.CPU > 0 && int64(r.Accelerators) > int64(c.size.Accelerators)/slots {
		c.fail(key+".Accelerators", "of service %q times %d Slots exceeds the WorkerSize of %d; lower one of them", s.Name, slots, c.size.Accelerators)
	}
}

func (c *checker) teams() {
	n := &nameSet{c, map[string]string{}}
	for i := range c.cfg.Teams {
		n.add(elementKey("Teams", i)+".Name", string(c.cfg.Teams[i].Name))
	}
	for i := range c.cfg.Teams {
		for j, former := range c.cfg.Teams[i].FormerNames {
			n.add(elementKey(elementKey("Teams", i)+".FormerNames", j), string(former))
		}
	}
}

func (c *checker) classes() {
	n := &nameSet{c, map[string]string{}}
	for i, class := range c.cfg.Classes {
		key := elementKey("Classes", i)
		n.add(key+".Name", string(class.Name))
		if class.RunTime <= 0 {
			c.fail(key+".RunTime", "of class %q is zero or missing; write a duration above 0", class.Name)
		}
		if class.MaxAttempts < 1 {
			c.fail(key+".MaxAttempts", "of class %q is 0; write at least 1", class.Name)
		}
	}
}

func (c *checker) cycles() {
	for _, cycle := range findCycles(c.cfg) {
		i := slices.IndexFunc(c.cfg.Services, func(s sched.Service) bool { return s.Name == cycle[0] })
		parts := make([]string, len(cycle))
		for j, name := range cycle {
			parts[j] = string(name)
		}
		c.fail(elementKey("Services", i)+".DependsOn", "dependencies form a cycle: %s; remove one of them", strings.Join(parts, " -> "))
	}
}

func (c *checker) serviceNames() string {
	list := make([]string, len(c.cfg.Services))
	for i := range c.cfg.Services {
		list[i] = string(c.cfg.Services[i].Name)
	}
	return strings.Join(list, ", ")
}

func (c *checker) teamNames() string {
	list := make([]string, len(c.cfg.Teams))
	for i := range c.cfg.Teams {
		list[i] = string(c.cfg.Teams[i].Name)
	}
	return strings.Join(list, ", ")
}
