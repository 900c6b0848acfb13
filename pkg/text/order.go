package text

import (
	"slices"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// dependencies returns the direct dependencies of a service by their current
// names.
func dependencies(cfg *sched.Config, s *sched.Service) []sched.ServiceName {
	var out []sched.ServiceName
	for _, name := range s.DependsOn {
		if dep, ok := cfg.Service(name); ok {
			out = append(out, dep.Name)
		}
	}
	return out
}

// visitor walks the dependencies of services depth first.
type visitor struct {
	cfg  *sched.Config
	done map[sched.ServiceName]bool
	// path holds the services from the root of the walk to the current one.
	path []sched.ServiceName
	// order holds the visited services, each after its dependencies.
	order []sched.ServiceName
	// cycles holds the cycles found; each repeats its first service at the end.
	cycles [][]sched.ServiceName
}

// visit adds a service to the order after its dependencies and records the
// cycles that it finds.
func (v *visitor) visit(name sched.ServiceName) {
	if v.done[name] {
		return
	}
	if i := slices.Index(v.path, name); i >= 0 {
		v.cycles = append(v.cycles, append(slices.Clone(v.path[i:]), name))
		return
	}
	s, ok := v.cfg.Service(name)
	if !ok {
		return
	}
	v.path = append(v.path, name)
	for _, dep := range dependencies(v.cfg, s) {
		v.visit(dep)
	}
	v.path = v.path[:len(v.path)-1]
	v.done[name] = true
	v.order = append(v.order, name)
}

// walk visits all services in the order of the services text.
func walk(cfg *sched.Config) *visitor {
	v := &visitor{cfg: cfg, done: map[sched.ServiceName]bool{}}
	for i := range cfg.Services {
		v.visit(cfg.Services[i].Name)
	}
	return v
}

func findCycles(cfg *sched.Config) [][]sched.ServiceName { return walk(cfg).cycles }

// StartOrder returns all services, each after its dependencies.
func StartOrder(cfg *sched.Config) []sched.ServiceName { return walk(cfg).order }

// StopOrder returns all services, each before its dependencies.
func StopOrder(cfg *sched.Config) []sched.ServiceName {
	order := StartOrder(cfg)
	slices.Reverse(order)
	return order
}

// Dependencies returns the direct and indirect dependencies of a service in
// start order.
func Dependencies(cfg *sched.Config, name sched.ServiceName) []sched.ServiceName {
	v := &visitor{cfg: cfg, done: map[sched.ServiceName]bool{}}
	v.visit(name)
	return slices.DeleteFunc(v.order, func(n sched.ServiceName) bool { return n == name })
}

// Dependents returns the services that depend on a service, directly or
// indirectly, in stop order.
func Dependents(cfg *sched.Config, name sched.ServiceName) []sched.ServiceName {
	return slices.DeleteFunc(StopOrder(cfg), func(other sched.ServiceName) bool {
		return other == name || !slices.Contains(Dependencies(cfg, other), name)
	})
}

// Blocked maps each started service with a dependency that is not started to the
// first such dependency in start order.
func Blocked(cfg *sched.Config) map[sched.ServiceName]sched.ServiceName {
	out := map[sched.ServiceName]sched.ServiceName{}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		if s.State != sched.ServiceStarted {
			continue
		}
		for _, dep := range Dependencies(cfg, s.Name) {
			if d, ok := cfg.Service(dep); ok && d.State != sched.ServiceStarted {
				out[s.Name] = dep
				break
			}
		}
	}
	return out
}
