package pool

import (
	"math"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/queue"
)

// latencyGain is the weight of a new sample in the moving average of a target's
// latency.
const latencyGain = 1.0 / 8

// Update implements [sched.Machine].
func (m *Machine) Update(now time.Time, msg sched.Msg) []sched.Cmd {
	m.cmds = nil
	switch msg := msg.(type) {
	case AcquireMsg:
		m.acquire(now, msg)
	case ReleaseMsg:
		m.release(now, msg)
	case CancelMsg:
		m.cancel(now, msg)
	case sched.TickMsg:
		m.tick(now)
	case WorkersMsg:
		m.setWorkers(now, msg)
	case ConfigMsg:
		m.setConfig(now, msg.Config)
	case InventoryMsg:
		m.inventory(now, msg)
	case AcquiredMsg:
		m.acquired(now, msg)
	case SuspendMsg:
		m.stopServing(now)
	case LostMsg:
		m.stopServing(now)
		m.epoch = 0
	case ResumeMsg:
		m.resume(now)
	}
	return m.cmds
}

// acquire queues a request and grants slots to the requests that may start.
func (m *Machine) acquire(now time.Time, msg AcquireMsg) {
	s := m.servicesByName[msg.Service]
	if reason := m.refusalReason(s); reason != "" {
		m.refuse(msg.ID, reason)
		return
	}
	if _, ok := m.requests[msg.ID]; ok {
		return
	}
	r := request{service: s, team: m.teamOf(msg.Team, s), class: msg.Class, body: msg.Body}
	if reason, ok := m.acquireQuotas(now, r); !ok {
		m.refuse(msg.ID, reason)
		return
	}
	p := m.predictor.Predict(s.Name, msg.Class)
	r.long = p.Long
	m.requests[msg.ID] = r
	item := queue.Item{
		ID:       msg.ID,
		Deadline: msg.Deadline,
		Estimate: p.Estimate,
		Bound:    p.Bound,
		Long:     p.Long,
	}
	if reason, ok := s.queue.Push(now, item); !ok {
		m.drop(now, msg.ID, m.fullReason(s, reason))
		return
	}
	m.dispatch(now, s)
	s.peakDemand = max(s.peakDemand, float64(s.limit.InFlight()+s.queue.Len()))
}

// refusalReason returns the reason for refusing all new requests of a service,
// empty if the service takes them.
func (m *Machine) refusalReason(s *service) sched.Reason {
	switch {
	case !m.serving:
		return sched.ReasonNotOwner
	case s == nil:
		return sched.ReasonUnknownService
	case s.refusal != "":
		return s.refusal
	case s.targets == 0:
		return sched.ReasonNoTarget
	default:
		return ""
	}
}

// acquireQuotas counts a request against its team's quota and the memory for
// bodies. It returns the reason if one of them is exhausted.
func (m *Machine) acquireQuotas(now time.Time, r request) (sched.Reason, bool) {
	if r.team != nil {
		r.team.Set(m.teamBound(r.team, r.service))
		if reason, ok := r.team.Acquire(now); !ok {
			return reason, false
		}
	}
	if !m.bodies.Acquire(r.body) {
		if r.team != nil {
			r.team.Release(now, 0, sched.NotRun)
		}
		return sched.ReasonQueueFull, false
	}
	return "", true
}

// removeRequest forgets a request and releases what acquireQuotas took for it.
func (m *Machine) removeRequest(now time.Time, id uint64) {
	r := m.requests[id]
	if r.team != nil {
		r.team.Release(now, 0, sched.NotRun)
	}
	m.bodies.Release(r.body)
	delete(m.requests, id)
}

// fullReason replaces the reason ReasonQueueFull by ReasonConcurrencyLimit if
// the adaptive limit keeps slots of the service unused.
func (m *Machine) fullReason(s *service, r sched.Reason) sched.Reason {
	if r == sched.ReasonQueueFull && s.limit.Limit() < s.slots {
		return sched.ReasonConcurrencyLimit
	}
	return r
}

// refuse emits the refusal of a request that holds no quota.
func (m *Machine) refuse(id uint64, reason sched.Reason) {
	m.cmds = append(m.cmds, RefuseCmd{ID: id, Reason: reason})
}

// drop refuses a waiting request and releases its quotas.
func (m *Machine) drop(now time.Time, id uint64, reason sched.Reason) {
	m.removeRequest(now, id)
	m.refuse(id, reason)
}

// dispatch grants free slots to waiting requests of a service, and refuses
// those that its queue has dropped.
func (m *Machine) dispatch(now time.Time, s *service) {
	for m.serving && s.free > 0 && s.queue.Len() > 0 && s.limit.InFlight() < s.limit.Limit() {
		i := m.router.Pick(now, s.loads)
		if i < 0 {
			break
		}
		it, ok := s.queue.Pop(now, s.free, s.slots)
		if !ok {
			break
		}
		m.grant(now, it.ID, s.available[i])
	}
	for _, r := range s.queue.Refused(now) {
		m.drop(now, r.ID, r.Reason)
	}
}

// grant gives a request a slot of a target that has one free.
func (m *Machine) grant(now time.Time, id uint64, t *target) {
	r := m.requests[id]
	r.target = t
	m.requests[id] = r
	_, _ = t.service.limit.Acquire(now)
	t.busy++
	m.refresh(t.worker)
	m.cmds = append(m.cmds, GrantCmd{
		ID:      id,
		Worker:  t.worker.name,
		Addr:    t.worker.Data,
		Service: t.service.Name,
	})
}

// release returns a slot and grants slots of its worker to waiting requests.
func (m *Machine) release(now time.Time, msg ReleaseMsg) {
	r, ok := m.requests[msg.ID]
	if !ok || r.target == nil {
		return
	}
	t, s := r.target, r.service
	m.removeRequest(now, msg.ID)
	t.busy--
	if msg.Outcome == sched.Unknown {
		t.hold(now)
	}
	s.queue.Done(now, r.long)
	// Samples of long requests would hide a change in the latency of the short
	// ones.
	sample := msg.Latency
	if r.long || !m.adaptiveLimit {
		sample = 0
	}
	s.limit.Release(now, sample, msg.Outcome)
	if msg.Outcome == sched.Ran {
		m.predictor.Learn(s.Name, r.class, msg.Latency)
		t.recordLatency(now, msg.Latency)
	}
	m.observe(now, t.worker, msg)
	m.refresh(t.worker)
	for _, other := range t.worker.targets {
		m.dispatch(now, other.service)
	}
	m.removeIfUnused(t.worker)
	if s.limit.InFlight() == 0 {
		delete(m.retired, s.Name)
	}
}

// recordLatency adds a sample to the moving average of a target's latency.
func (t *target) recordLatency(now time.Time, d time.Duration) {
	if d <= 0 {
		return
	}
	l := &t.load
	if l.Latency == 0 {
		l.Latency = d
	}
	l.Latency += time.Duration(float64(d-l.Latency) * latencyGain)
	l.LatencyAt = now
}

// cancel removes a waiting request.
func (m *Machine) cancel(now time.Time, msg CancelMsg) {
	r, ok := m.requests[msg.ID]
	if !ok || r.target != nil || !r.service.queue.Remove(msg.ID) {
		return
	}
	m.removeRequest(now, msg.ID)
}

// peakTau is the time constant of the decay of the peak of demand. Swings of
// demand recur within seconds to a minute.
const peakTau = 60 * time.Second

// tick does what is due at a time: it stops counting earlier load that cannot
// run any more, starts probes, dispatches and refuses queued requests, and
// requests inventories.
func (m *Machine) tick(now time.Time) {
	decay := math.Exp(-float64(now.Sub(m.peakAt)) / float64(peakTau))
	m.peakAt = now
	m.expireUntracked(now)
	m.probe(now)
	for _, s := range m.services {
		s.limit.Tick(now)
		demand := float64(s.limit.InFlight() + s.queue.Len())
		s.peakDemand = max(s.peakDemand*decay, demand)
		m.dispatch(now, s)
	}
	m.requestInventories(now)
}
