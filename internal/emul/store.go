package emul

import (
	"strings"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// store is the emulated store. It holds the records of progress, the roster, the
// interference estimates and the current term.
type store struct {
	// version is the version of the last change.
	version sched.Version
	items   map[string]sched.Item
	term    uint64
	// termVersion is the version at which the current term began.
	termVersion sched.Version
	down        bool
	// loseShare is the share of commits whose answers are lost.
	loseShare float64
}

// storeDelay is the one-way delay of a call to the store.
const storeDelay = 2 * time.Millisecond

// A delayed call is executed minLateness later, plus a random time below
// latenessRange.
const (
	minLateness   = 2 * time.Second
	latenessRange = 10 * time.Second
)

func (s *store) init() { s.items = map[string]sched.Item{} }

func (s *store) nextVersion() sched.Version {
	s.version++
	return s.version
}

// SetStoreDown sets whether the store is unreachable for all leaders.
func (e *Emulator) SetStoreDown(down bool) {
	e.store.down = down
	e.storeDownChanged = e.now
}

// LoseCommits sets the share of commits whose answers are lost. On average, half
// of these are executed at once and half seconds later.
func (e *Emulator) LoseCommits(share float64) { e.store.loseShare = share }

// commit executes a commit of a leader, with the emulated delays and losses.
func (e *Emulator) commit(l *Leader, cmd flow.CommitCmd) {
	e.Counts["Commits"]++
	if e.store.down || l.storeCut {
		e.After(storeTimeout, func() {
			l.post(flow.CommitFailedMsg{Seq: cmd.Seq, Err: sched.ErrUnavailable})
		})
		return
	}
	e.After(storeDelay, func() {
		var reply sched.Msg
		lost := e.Rand.Float64() < e.store.loseShare
		if lost && e.Rand.IntN(2) == 0 {
			e.After(minLateness+time.Duration(e.Rand.Int64N(int64(latenessRange))), func() { e.applyCommit(l, cmd) })
		} else {
			reply = e.applyCommit(l, cmd)
		}
		if lost {
			e.After(storeTimeout, func() { l.post(flow.CommitFailedMsg{Seq: cmd.Seq, Err: sched.ErrLost}) })
			return
		}
		e.After(storeDelay, func() {
			if _, ok := reply.(flow.CommittedMsg); ok {
				l.post(flow.ConfirmedMsg{Asked: e.now.Add(-2 * storeDelay)})
			}
			l.post(reply)
		})
	})
}

// storeTimeout is how long a leader waits for the answer to a commit.
const storeTimeout = 500 * time.Millisecond

// applyCommit writes the records of a commit if its leader has the current term
// and all versions match, and returns the result for the leader.
func (e *Emulator) applyCommit(l *Leader, cmd flow.CommitCmd) sched.Msg {
	s := &e.store
	conflict := flow.CommitFailedMsg{Seq: cmd.Seq, Conflict: true, Versions: map[string]sched.Version{}, Err: sched.ErrConflict}
	conflicting := l.term != s.term
	conflict.Superseded = conflicting
	for _, r := range cmd.Records {
		conflict.Versions[r.Key] = s.items[r.Key].Version
		conflicting = conflicting || s.items[r.Key].Version != r.Version
	}
	if conflicting {
		return conflict
	}
	v := s.nextVersion()
	for _, r := range cmd.Records {
		s.items[r.Key] = sched.Item{Key: r.Key, Value: r.Value, Version: v}
	}
	return flow.CommittedMsg{Seq: cmd.Seq, Version: v}
}

// Leader is a state machine that runs in the emulator for one term.
type Leader struct {
	e       *Emulator
	term    uint64
	Machine *flow.Machine
	// dead means that the leader's process was killed.
	dead bool
	// storeCut means that the leader cannot reach the store, and watchSilent that
	// its watch delivers nothing. cut holds the workers that it cannot reach.
	storeCut    bool
	watchSilent bool
	cut         map[*Worker]bool
	// resigned is called once the leader has resigned.
	resigned func()
	// OrderCost is the processor time that the leader takes for each order to a
	// worker. The orders are sent one after the other; busyUntil is when the last one
	// is sent.
	OrderCost time.Duration
	busyUntil time.Time
	// LostReason is the reason why the machine gave up leadership. It is empty
	// while the machine leads.
	LostReason string
	// Events holds the logged events of the machine if KeepEvents is set.
	Events     []flow.LogCmd
	KeepEvents bool
}

const (
	// tickEvery, membersEvery and confirmEvery are the intervals at which a
	// leader handles timeouts, reads the register of workers and confirms its
	// term with the store.
	tickEvery    = 50 * time.Millisecond
	membersEvery = 700 * time.Millisecond
	confirmEvery = 400 * time.Millisecond
	// watchDelay is the time until a watch reports a change of the store.
	watchDelay = 5 * time.Millisecond
)

// Lead begins a term with a new state machine and passes it the content of the
// store. Earlier leaders continue until they learn of the term or are killed.
func (e *Emulator) Lead(opts ...flow.Option) *Leader { return e.LeadCutOffFrom(nil, opts...) }

// LeadCutOffFrom begins a term like Lead. The leader is cut off from some workers.
func (e *Emulator) LeadCutOffFrom(workers []*Worker, opts ...flow.Option) *Leader {
	s := &e.store
	s.term++
	s.termVersion = s.nextVersion()
	l := &Leader{e: e, term: s.term, cut: map[*Worker]bool{}}
	for _, w := range workers {
		l.cut[w] = true
	}
	l.Machine = flow.New(s.term, append(e.machineOptions(), opts...)...)
	for _, old := range e.leaders {
		old.stepDown()
	}
	e.leaders = append(e.leaders, l)
	l.post(flow.ConfirmedMsg{Asked: e.now})
	l.post(flow.ConfigMsg{Fleet: e.Fleet})
	l.post(flow.MembersMsg{Members: e.members(), Asked: e.now})
	l.readEvacuations()
	for _, j := range e.submitted {
		p := s.items[flow.KeyProgress+string(j.Spec.ID)]
		l.post(flow.JobMsg{
			Job: j.Spec, Accepted: j.Submitted.UnixMilli(), Inherited: j.version < s.termVersion,
			Progress: p.Value, Version: p.Version,
		})
		if !j.Cancelled.IsZero() {
			l.post(flow.CancelMsg{Job: j.Spec.ID, Recorded: j.Cancelled.UnixMilli()})
		}
	}
	l.post(flow.WorkReadMsg{Asked: e.now})
	takeover := flow.TakeoverMsg{
		Version: s.items[flow.KeyRoster].Version, Handover: s.items[flow.KeyHandover].Value, Began: e.now,
	}
	if b := s.items[flow.KeyRoster].Value; b != nil {
		takeover.Roster, _ = flow.DecodeRoster(b)
	}
	estimates := s.items[flow.KeyInterference]
	takeover.Interference, takeover.InterferenceVersion = estimates.Value, estimates.Version
	l.post(takeover)
	l.every(tickEvery, func() { l.post(sched.TickMsg{}); l.recordFinalStates() })
	l.every(membersEvery, func() {
		if !e.store.down && !l.storeCut {
			l.post(flow.MembersMsg{Members: e.members(), Asked: e.now})
			l.readEvacuations()
		}
	})
	l.every(confirmEvery, func() {
		if !e.store.down && !l.storeCut && e.store.term == l.term {
			l.post(flow.ConfirmedMsg{Asked: e.now})
			if !l.watchSilent {
				l.post(flow.WorkReadMsg{Asked: e.now.Add(-watchDelay)})
			}
		}
		if !e.store.down {
			l.post(flow.StoreAnsweredMsg{At: e.now.Add(-confirmEvery)})
		}
		l.post(flow.PeersAskedMsg{Asked: e.now})
	})
	return l
}

// HasLeader reports whether the leader of the newest term is running and has
// neither resigned nor given up leadership.
func (e *Emulator) HasLeader() bool {
	for _, l := range e.leaders {
		if l.term == e.store.term && !l.dead && l.resigned == nil && l.LostReason == "" {
			return true
		}
	}
	return false
}

// every calls f at an interval of d until the leader is killed or loses the term.
func (l *Leader) every(d time.Duration, f func()) {
	l.e.After(d, func() {
		if l.dead || l.LostReason != "" {
			return
		}
		f()
		l.every(d, f)
	})
}

// Resign ends the leader's term voluntarily. It calls then once the next leader may
// begin its term. The machine goes on and gets further messages.
func (l *Leader) Resign(then func()) {
	if l.dead || l.LostReason != "" || l.resigned != nil {
		return
	}
	l.resigned = then
	l.post(flow.ResignMsg{})
}

// checkOrder checks an order that starts a run or extends leases. A leader that has
// resigned must not issue any.
func (l *Leader) checkOrder(grants bool) {
	if grants && l.resigned != nil {
		l.e.violate("the leader of term %d issues an order after it resigned", l.term)
	}
}

// handOver writes what the leader knows of runs, with the emulated delays and losses.
func (l *Leader) handOver(cmd flow.HandoverCmd) {
	e := l.e
	write := func() {
		if cmd.Value != nil && l.term == e.store.term {
			e.store.items[flow.KeyHandover] = sched.Item{Key: flow.KeyHandover, Value: cmd.Value, Version: e.store.nextVersion()}
		}
	}
	lost := e.Rand.Float64() < e.store.loseShare
	late := lost && e.Rand.IntN(2) == 0
	e.After(storeDelay, func() {
		switch {
		case e.store.down || l.storeCut:
		case late:
			e.After(minLateness+time.Duration(e.Rand.Int64N(int64(latenessRange))), write)
		default:
			write()
		}
		e.After(storeDelay, l.resigned)
	})
}

// Kill stops the leader without notice, as the end of its process does.
func (l *Leader) Kill() { l.dead = true }

// CutStore sets whether the leader is cut off from the store.
func (l *Leader) CutStore(cut bool) { l.storeCut = cut }

// SilenceWatch sets whether the leader's watch delivers nothing, although the store
// answers its other calls.
func (l *Leader) SilenceWatch(silent bool) { l.watchSilent = silent }

// CutWorker sets whether the leader is cut off from a worker.
func (l *Leader) CutWorker(w *Worker, cut bool) { l.cut[w] = cut }

// stepDown makes a leader give up leadership because a newer term has begun, as
// soon as a watch reports that term. The emulated watch delivers terms and jobs in
// order, so the leader learns of the term before any later job.
func (l *Leader) stepDown() {
	l.e.After(watchDelay, func() {
		if l.storeCut || l.e.store.down {
			l.stepDown()
			return
		}
		l.LostReason = "a newer term exists in the store"
	})
}

// deliverChange delivers a change of the store, as a watch does, and retries
// while nothing is delivered.
func (l *Leader) deliverChange(msg sched.Msg) {
	l.e.After(watchDelay, func() {
		if !l.storeCut && !l.watchSilent && !l.e.store.down {
			l.post(msg)
			return
		}
		l.deliverChange(msg)
	})
}

// post passes a message to the machine and executes the commands that it
// returns.
func (l *Leader) post(msg sched.Msg) {
	if l.dead || l.LostReason != "" {
		return
	}
	for _, c := range l.Machine.Update(l.e.now, msg) {
		l.execute(c)
	}
}

func (l *Leader) execute(cmd sched.Cmd) {
	switch cmd := cmd.(type) {
	case flow.LogCmd:
		l.e.Counts["Note."+cmd.Event]++
		if l.KeepEvents {
			l.Events = append(l.Events, cmd)
		}
	case flow.StartCmd:
		l.checkOrder(true)
		l.start(cmd)
	case flow.StopCmd:
		l.stop(cmd)
	case flow.ThrottleCmd:
		l.throttle(cmd)
	case flow.RenewCmd:
		l.checkOrder(cmd.Order.HasDeadline)
		l.renewLease(cmd)
	case flow.AdviseCmd:
		l.advise(cmd)
	case flow.CommitCmd:
		l.e.commit(l, cmd)
	case flow.ForgetCancelsCmd:
		// Every job of the emulator is stored before it is cancelled.
		l.e.After(storeDelay, func() {
			l.post(flow.ForgotCancelsMsg{Jobs: cmd.Jobs, Stored: cmd.Jobs, Err: sched.ErrConflict})
		})
	case flow.HandoverCmd:
		l.handOver(cmd)
	case flow.LostCmd:
		l.LostReason = cmd.Why
	}
}

// recordFinalStates records and checks the final states that the leader reports.
// It skips jobs that already have a recorded final state.
func (l *Leader) recordFinalStates() {
	for _, j := range l.e.submitted {
		if j.State.Final() {
			continue
		}
		if s, _, known := l.Machine.State(j.Spec.ID); known && s.Final() {
			j.State, j.FinalAt = s, l.e.now
			l.e.checkFinalState(j)
		}
	}
}

// ForgetEstimates removes the interference estimates that leaders have stored.
func (e *Emulator) ForgetEstimates() { delete(e.store.items, flow.KeyInterference) }

// ProgressRecords returns the number of progress records in the store.
func (e *Emulator) ProgressRecords() int {
	n := 0
	for k := range e.store.items {
		if strings.HasPrefix(k, flow.KeyProgress) {
			n++
		}
	}
	return n
}

// Newest returns the leader of the newest term.
func (e *Emulator) Newest() *Leader { return e.leaders[len(e.leaders)-1] }
