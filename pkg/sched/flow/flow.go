// Package flow is the state machine that runs workflows on the workers of a
// fleet. A workflow is a job whose steps depend on each other.
//
// One leader drives one machine. The machine keeps every job in memory, decides
// which task starts where and renews the leases of running tasks. It turns the
// run ends that workers report into job progress and makes the progress
// durable. It does no I/O: it consumes messages and returns commands, which its
// runner executes.
//
// # One run at a time
//
// A task is started again only after its last run has certainly ended, or if
// the run was never started: the worker refused the start, or the start was not
// sent. There are four proofs of an end: the worker listed the end; another
// worker answers at its address; the worker confirmed the start or a stop, or
// rejects the token of the start, and a later complete report does not list the
// run; or the latest deadline ever ordered on the worker has passed on the
// worker's clock, even if that clock is slow. A refused order proves nothing but
// that it was not carried out.
//
// Orders carry a fencing token, so a worker that has seen a newer leader rejects
// the orders of an older one. A worker may restart under its name: its clock and
// sequence numbers begin anew and it has seen no token. The token therefore also
// rises within a term, whenever the worker may have restarted. A run that may
// have begun in an incarnation that is not known counts as lasting for the
// longest lease that workers grant.
//
// # Run ends
//
// A run end that changes a job's progress is acknowledged to its worker only
// after the progress is durable. A worker repeats ends that were not
// acknowledged, so a new leader learns what its predecessor did not record.
//
// # Takeover
//
// A new leader asks every worker of the roster for its runs before it starts a
// task that an earlier leader may have started. If a worker does not answer,
// such tasks wait until the leases granted by the earlier leader have expired.
//
// A leader that resigns hands over which workers may have which runs. The next
// leader then waits for no other worker, and only with the tasks that are named.
//
// # Usage
//
//	m := flow.New(term, flow.WithLease(4*time.Second, 6*time.Second))
//	m.Update(now, flow.ConfigMsg{Fleet: fleet})
//	m.Update(now, flow.MembersMsg{Members: members})
//	m.Update(now, flow.JobMsg{Job: job})
//	for _, cmd := range m.Update(now, sched.TickMsg{}) {
//		// execute cmd and feed its result back as a message
//	}
package flow

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/speed"
)

// Machine is the state of one leader's term. It implements [sched.Machine]. It
// is not safe for concurrent use.
type Machine struct {
	options
	term  uint64
	fleet *sched.FleetConfig

	now  time.Time
	cmds []sched.Cmd

	jobs map[sched.JobID]*job
	// kept is the memory that the jobs take, and releasedAt when ended jobs were last
	// released.
	kept       sched.KeptJobs
	releasedAt time.Time
	// runs counts the runs that have not ended, on all workers.
	runs int
	// live holds the jobs that have not ended, and repeating those of them that
	// have occurrences left to open.
	live      []*job
	repeating []*job
	// cancels holds cancellations that arrived before their job.
	cancels cancellations

	// workers holds the workers by name, order in the order in which they were
	// added.
	workers map[sched.WorkerName]*worker
	order   []*worker
	// unknownService is how many members the register last showed whose service the
	// configuration does not name.
	unknownService int

	resignation    resignation
	commits        commits
	roster         roster
	recovery       recovery
	recoveryLog    recoveryLog
	waitsLoggedAt  time.Time
	late           lateRecord
	interference   interference
	estimateRecord estimateRecord
	runtimes       runtimes
	speeds         *speed.Estimator
	window         startWindow
	shortNeed      shortNeed
	delays         delays

	// stale means that tasks or free capacity have changed since the last
	// scheduling pass.
	stale    bool
	nextPass time.Time
	// ratings counts how many times the current pass rated a worker for a task.
	ratings int
	effort  Effort
	// preemptedAt is when a pass last looked for runs to preempt.
	preemptedAt time.Time
	// usableCapacity caches the capacity of the usable workers, and criticalFree
	// the share of them without a latency-critical task.
	usableCapacity usableCapacity
	criticalFree   criticalFreeCache
	// consolidatedAt is when consolidation was last considered.
	consolidatedAt time.Time
	// raises counts the raises of fencing tokens in this term.
	raises uint64
	// lost means that the term has ended because a newer leader exists.
	lost bool

	// adviceCalls counts the adviser calls in progress. permittedShare is a moving
	// average of the share of workers that the adviser permits.
	adviceCalls    int
	permittedShare float64
	adviceLimits   map[sched.QueueName]*adviceLimit

	// loaded means that everything durable has been delivered. Before that no
	// worker is asked for its runs, because known and unknown runs could not be
	// told apart.
	loaded bool

	// confirmedAt is when the store was last asked and showed this term as the
	// newest. mayIssueOrders tells whether runs may be started and leases renewed,
	// as determined at permissionAt.
	confirmedAt    time.Time
	mayIssueOrders bool
	permissionAt   time.Time
	// storeAnsweredAt is when the store last answered this entry or, as far as is
	// known, another one.
	storeAnsweredAt time.Time
	// workReadAt is when the store was last asked for all jobs and cancellations
	// and answered, registerReadAt when it was asked for the register of workers;
	// zero if that is not reported. peersAskedAt is when other entries were last
	// asked about the store and answered. knowledgeIsCurrent tells whether all that
	// is known well enough to start tasks.
	workReadAt, registerReadAt time.Time
	peersAskedAt               time.Time
	knowledgeIsCurrent         bool
	evacuations                evacuations
	// runsMovedSlow counts the runs that were restarted because their worker is slow.
	runsMovedSlow int
	// mostAreSlow means that most workers answer late or not at all.
	mostAreSlow bool
}

var _ sched.Machine = (*Machine)(nil)

// New returns the machine of a leader's term. It knows no jobs and no workers.
func New(term uint64, opts ...Option) *Machine {
	m := &Machine{
		options:        defaults(),
		term:           term,
		fleet:          &sched.FleetConfig{},
		jobs:           map[sched.JobID]*job{},
		cancels:        cancellations{byJob: map[sched.JobID]cancellation{}},
		workers:        map[sched.WorkerName]*worker{},
		adviceLimits:   map[sched.QueueName]*adviceLimit{},
		mayIssueOrders: true,

		permittedShare: initialPermittedShare,
	}
	for _, o := range opts {
		o(&m.options)
	}
	m.knowledgeIsCurrent = m.knowsEnough()
	m.commits.init()
	m.runtimes.init()
	m.speeds = speed.New()
	m.interference.init()
	m.delays.init()
	m.window.size = minStartWindow
	m.shortNeed.peak = map[int]sched.MilliCPU{}
	return m
}

// Update consumes one message at time now and returns the commands to execute,
// in order.
func (m *Machine) Update(now time.Time, msg sched.Msg) []sched.Cmd {
	if m.lost || m.resignation.done {
		return nil
	}
	m.now, m.cmds, m.effort = now, nil, Effort{}
	if m.resignation.began {
		m.updateResigned(msg)
		return m.cmds
	}
	// The process may have been paused since the last message, so that the
	// permission or the knowledge of work and workers has expired without a tick.
	m.updateMayIssueOrders()
	m.updateKnowledge()
	m.apply(msg)
	if m.lost || m.resignation.began {
		return m.cmds
	}
	m.schedule()
	m.commit()
	return m.cmds
}

func (m *Machine) apply(msg sched.Msg) {
	switch msg := msg.(type) {
	case sched.TickMsg:
		m.tick()
	case ConfigMsg:
		m.configure(msg.Fleet)
	case MembersMsg:
		m.setMembers(msg.Members)
		m.noteLatest(&m.registerReadAt, msg.Asked)
	case EvacuationsMsg:
		m.setEvacuations(msg)
	case JobMsg:
		m.addJob(msg)
	case CancelMsg:
		m.cancelJob(msg.Job, msg.Recorded)
	case ConfirmedMsg:
		m.confirmedAt = msg.Asked
		m.updateMayIssueOrders()
		m.noteLatest(&m.storeAnsweredAt, msg.Asked)
	case StoreAnsweredMsg:
		m.noteLatest(&m.storeAnsweredAt, msg.At)
	case PeersAskedMsg:
		m.noteLatest(&m.peersAskedAt, msg.Asked)
	case WorkReadMsg:
		m.noteLatest(&m.workReadAt, msg.Asked)
	case TakeoverMsg:
		m.takeOver(msg)
	case RenewResultMsg:
		m.handleRenewResult(msg)
	case StartResultMsg:
		m.handleStartResult(msg)
	case StopResultMsg:
		m.handleStopResult(msg)
	case ThrottleResultMsg:
		m.handleThrottleResult(msg)
	case AdviseResultMsg:
		m.handleAdvice(msg)
	case CommittedMsg:
		m.handleCommitted(msg)
	case CommitFailedMsg:
		m.handleCommitFailed(msg)
	case ForgotCancelsMsg:
		m.handleForgotCancels(msg)
	case ResignMsg:
		m.resign(msg)
	}
}

// tick does the work that depends only on the passage of time.
func (m *Machine) tick() {
	m.updateMayIssueOrders()
	m.updateMostAreSlow()
	m.endRecovery()
	m.openDueOccurrences()
	m.sampleShortNeed()
	for _, w := range m.order {
		m.maintainWorker(w)
	}
	m.moveThrottled()
	m.restartStragglers()
	m.stopStalled()
	m.consolidate()
	m.maintainEndedJobs()
	m.forgetCancels()
	m.maintainRoster()
	m.logRecovery()
	m.logWaits()
	m.updateLate()
	m.stale = true
}

// configure puts a configuration in force. Older revisions are ignored.
func (m *Machine) configure(f *sched.FleetConfig) {
	if f == nil || f.Revision < m.fleet.Revision {
		return
	}
	m.log("configuration in force", "revision", f.Revision, "previous", m.fleet.Revision,
		"queues", len(f.Queues), "pools", len(f.Pools))
	m.fleet = f
	m.stale = true
}

// emit adds a command to the result of the current update.
func (m *Machine) emit(c sched.Cmd) { m.cmds = append(m.cmds, c) }

// log asks the runner to log a decision.
func (m *Machine) log(event string, attrs ...any) {
	m.emit(LogCmd{Event: event, Attrs: attrs})
}

// endTerm ends the term because a newer leader exists.
func (m *Machine) endTerm(why string) {
	m.lost = true
	m.emit(LostCmd{Why: why})
}
