package flow

import "github.com/mangoslip/mangoslip/pkg/sched"

// withKnownService returns the members whose service the configuration names, and those
// that are in use already. Others can write to the register, and a member of an unknown
// service need not be a worker: it gets no orders, and no takeover waits for it. While
// there is no configuration, all services count as known.
func (m *Machine) withKnownService(members []sched.Member) []sched.Member {
	known := map[sched.ServiceName]bool{}
	for name := range m.fleet.Pools {
		known[name] = true
	}
	for _, q := range m.fleet.Queues {
		known[q.Service] = true
	}
	if len(known) == 0 {
		return members
	}
	out := make([]sched.Member, 0, len(members))
	var unknown []sched.Member
	for _, mb := range members {
		if known[mb.Service] || m.workers[mb.Worker] != nil {
			out = append(out, mb)
			continue
		}
		unknown = append(unknown, mb)
	}
	if len(unknown) > 0 && len(unknown) != m.unknownService {
		m.log("members of unknown services are not used", "members", len(unknown), "worker", unknown[0].Worker, "service", unknown[0].Service)
	}
	m.unknownService = len(unknown)
	return out
}
