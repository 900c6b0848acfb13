package flow

import (
	"maps"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// A perpetual task holds its processors for as long as its job lasts. Where the pool is
// nearly full, each one that starts takes the room of many short tasks, which then wait
// for several times their run time. The machine therefore leaves as many processors
// free as short tasks of the same or a higher priority needed at their recent peak.

const (
	// shortNeedInterval is the shortest time between two samples of what short tasks
	// need.
	shortNeedInterval = 200 * time.Millisecond
	// shortNeedWindow is the time over which the peak is taken: the present window
	// and the one before it. A burst of requests passes within one window.
	shortNeedWindow = 8 * time.Second
	// maxHeadroomWait bounds how long a perpetual task that has never run waits for
	// the sake of short tasks.
	maxHeadroomWait = 20 * time.Second
	// headroomMargin is how much more than the peak is left free. Free capacity is in
	// pieces, and some of them are too small for a short task.
	headroomMargin = 1.25
	// maxHeadroomShare is the share of the processors beyond which no headroom is left,
	// so that perpetual tasks start while most of the pool is idle.
	maxHeadroomShare = 0.5
)

// shortNeed holds the processors of short tasks by the priority of their queue.
type shortNeed struct {
	sampledAt, windowAt time.Time
	// running is what runs hold at runningAt. peak and lastPeak are the highest sums of
	// running and waiting tasks in the present window and the one before.
	runningAt               time.Time
	running, peak, lastPeak map[int]sched.MilliCPU
}

// sampleShortNeed updates what short tasks need.
func (m *Machine) sampleShortNeed() {
	n := &m.shortNeed
	if m.now.Sub(n.sampledAt) < shortNeedInterval {
		return
	}
	n.sampledAt = m.now
	if m.now.Sub(n.windowAt) >= shortNeedWindow {
		n.windowAt, n.lastPeak, n.peak = m.now, n.peak, map[int]sched.MilliCPU{}
	}
	m.countShortRuns()
	for priority, waiting := range m.shortWaiting() {
		n.peak[priority] = max(n.peak[priority], waiting+n.running[priority])
	}
	for priority, running := range n.running {
		n.peak[priority] = max(n.peak[priority], running)
	}
}

// countShortRuns adds up the processors of the short runs, unless that was done at the
// present time.
func (m *Machine) countShortRuns() {
	if m.shortNeed.runningAt.Equal(m.now) {
		return
	}
	out := map[int]sched.MilliCPU{}
	m.shortNeed.runningAt, m.shortNeed.running = m.now, out
	for _, w := range m.order {
		for _, r := range w.list {
			if r.task.step.spec.Short() {
				out[m.fleet.Queues[r.task.job().queue].Priority] += r.need.CPU
			}
		}
	}
}

// shortWaiting returns the processors that the waiting short tasks want, by priority.
func (m *Machine) shortWaiting() map[int]sched.MilliCPU {
	out := map[int]sched.MilliCPU{}
	for _, j := range m.live {
		for _, o := range j.occurrences {
			if o == nil {
				continue
			}
			for _, s := range o.steps {
				if s.queued > 0 && s.spec.Short() {
					out[m.fleet.Queues[j.queue].Priority] += sched.MilliCPU(s.queued) * s.spec.Need().CPU
				}
			}
		}
	}
	return out
}

// headroom returns the processors that tasks of a priority leave free for short tasks:
// what these needed at their recent peak, and a margin, beyond what they hold now.
func (n *shortNeed) headroom(priority int) sched.MilliCPU {
	peaks := maps.Clone(n.peak)
	for p, peak := range n.lastPeak {
		peaks[p] = max(peaks[p], peak)
	}
	sum := 0.0
	for p, peak := range peaks {
		if p <= priority {
			sum += headroomMargin*float64(peak) - float64(n.running[p])
		}
	}
	return sched.MilliCPU(max(sum, 0))
}

// leavesHeadroom reports whether a task may start without taking the processors that
// short tasks need. It concerns perpetual tasks that have never run: one that lost its
// run serves callers, who miss it. taken is what the present pass has placed of them.
func (m *Machine) leavesHeadroom(t *task, q sched.Queue, taken sched.MilliCPU) bool {
	s := t.step.spec
	if !s.Perpetual || s.BestEffort || !t.awaySince.IsZero() || m.now.Sub(t.queuedAt) >= maxHeadroomWait {
		return true
	}
	m.countShortRuns()
	capacity := m.currentCapacity()
	headroom := min(float64(m.shortNeed.headroom(q.Priority)), maxHeadroomShare*float64(capacity.total))
	return float64(capacity.free-taken-s.Need().CPU) >= headroom
}
