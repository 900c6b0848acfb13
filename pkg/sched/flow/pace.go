package flow

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/speed"
)

const (
	// minPart is the shortest part of a run that is a sample. fullPart is the progress
	// in percent, and longPart the time, after which a new part begins: percentages
	// are whole numbers, so shorter parts are rough.
	minPart  = 150 * time.Millisecond
	fullPart = 4
	longPart = 3 * time.Second
	// askFactor is the multiple of its expected duration after which a run is asked
	// for, so that its progress is known while a restart is still worth it.
	askFactor = 1.4
	// askAgainAfter is the wait of a renewal of a worker that is suspected to be slow.
	askAgainAfter = 500 * time.Millisecond
	// minAskWait is the shortest wait of a renewal for this reason.
	minAskWait = 100 * time.Millisecond
)

// pace holds what is known of the speed of a run: the part of it since its last sample,
// and the result of that sample.
type pace struct {
	// since is the worker's clock at the beginning of the part, and percent the
	// progress then. known is false before the first reading.
	since   time.Duration
	percent int
	known   bool
	// low and high bound the share of the work done a second in the last sample.
	low, high float64
	// saved is the last checkpoint, and savedPercent the progress before it.
	saved        string
	savedPercent int
	// asked means that a renewal was timed to ask about the run when it is late.
	asked bool
}

// begin notes the worker's clock and the progress at the beginning of a part.
func (p *pace) begin(clock time.Duration, percent int) {
	p.since, p.percent, p.known = clock, percent, true
}

// remainingAtRate returns how much longer a run takes at its last rate, at least.
func (r *run) remainingAtRate(now time.Time) (time.Duration, bool) {
	if r.pace.high <= 0 {
		return 0, false
	}
	left := float64(100-r.percent) / 100 / r.pace.high
	return time.Duration(left*float64(time.Second)) - now.Sub(r.reportedAt), true
}

// learnSpeeds learns from the progress in a report. Parts are measured on the worker's
// clock, so that a late report does not look like a slow run.
func (m *Machine) learnSpeeds(w *worker, rep *sched.RenewReport) {
	if !m.stragglers {
		return
	}
	for i := range rep.Running {
		r := w.runs[rep.Running[i].Run]
		if r == nil || r.task.step.spec.Perpetual || r.task.step.spec.Gang {
			continue
		}
		if r.checkpoint != r.pace.saved {
			r.pace.saved, r.pace.savedPercent = r.checkpoint, r.pace.percent
		}
		m.sampleRun(r, rep.Clock)
	}
}

// sampleRun takes a sample of a run in progress.
func (m *Machine) sampleRun(r *run, clock time.Duration) {
	p := &r.pace
	took, made := clock-p.since, r.percent-p.percent
	if !p.known || took < 0 || made < 0 || !m.comparable(r) {
		p.begin(clock, r.percent)
		return
	}
	if took < minPart {
		return
	}
	seconds := took.Seconds()
	p.low, p.high = max(float64(made-1), 0)/100/seconds, float64(made+1)/100/seconds
	m.observe(r, p.low, p.high)
	if made >= fullPart || took >= longPart {
		p.begin(clock, r.percent)
	}
}

func (m *Machine) observe(r *run, low, high float64) {
	m.speeds.Observe(speed.Sample{
		Worker: r.worker.name(), Task: r.task.id(), Run: r.number, Low: low, High: high,
		Expected: m.longDuration(r.task.step), At: m.now,
	})
}

// learnFinalSpeeds learns from the runs that succeeded. Such a run has ended after
// the last report and before this one. If the worker delayed its answer, which is certain
// only if that took long, the run ended just before it.
func (m *Machine) learnFinalSpeeds(w *worker, msg *RenewResultMsg) {
	if !m.stragglers {
		return
	}
	rep := &msg.Report
	waited := w.renewal.wait > 0 && m.now.Sub(msg.Sent) > answerTimeout
	for _, e := range rep.Ended {
		r := w.runs[e.Run]
		if r == nil || e.Seq <= w.processed || e.How != sched.EndDone || !r.pace.known || !m.comparable(r) {
			continue
		}
		p := &r.pace
		left := float64(100-p.percent) / 100
		longest := (rep.Clock - p.since).Seconds()
		if longest < minPart.Seconds() || left <= 0 {
			continue
		}
		low, high := left/longest, left/longest
		if !waited {
			// The run may have ended at any time between the reports.
			high = left / max((w.reportClock-p.since).Seconds(), minPart.Seconds())
		}
		m.observe(r, low, max(high, low))
	}
}

// comparable reports whether the speed of a run tells something of its worker, and can
// be compared with that of its siblings. Throttled runs and best-effort runs without
// free processors are slow for another reason, and a task takes longer on a rack
// without its data.
func (m *Machine) comparable(r *run) bool {
	s := r.task.step.spec
	if s.Perpetual || s.Gang || s.SameRack || r.state == runStopping {
		return false
	}
	if s.Affinity != "" && s.Affinity != r.worker.member.Rack() {
		return false
	}
	if !s.BestEffort {
		return true
	}
	full := r.throttle.have == fullSpeed && r.throttle.want == fullSpeed && !r.throttle.inCall
	return full && r.worker.busy <= float64(r.worker.member.Capacity.CPU)
}

// waitForLate returns how long a worker may delay its answer: at most wait, and
// shorter if one of its runs would be late before. It marks the runs that this covers:
// each run shortens one wait, and most end in time, so that few renewals are added.
// Nothing changes while no worker is slow.
func (m *Machine) waitForLate(w *worker, wait time.Duration) time.Duration {
	if m.speeds.SlowWorkers() == 0 {
		return wait
	}
	if m.speeds.Suspected(w.name()) && w.finiteRuns() > 1 {
		wait = min(wait, askAgainAfter)
	}
	for _, r := range w.list {
		s := r.task.step.spec
		if s.Perpetual || s.Gang || r.state != runRunning || r.pace.asked {
			continue
		}
		full := m.fullDuration(r)
		if full == 0 {
			continue
		}
		at := r.firstSent.Add(time.Duration(askFactor * float64(full)))
		if left := max(at.Sub(m.now), minAskWait); left < wait {
			wait = left
		}
		r.pace.asked = !m.now.Add(wait).Before(at)
	}
	return wait
}
