// Package tasks is the state machine of the jobs and tasks of one shard.
//
// A shard has two roles. As the home of a job it journals the job together
// with a hosting shard for each task, answers the submitter, and hands the
// tasks over by events that it repeats until they are acknowledged. As a host
// it journals the tasks it is handed, queues, places and starts them under
// leases, renews the leases, polls the workers' inventories, evicts and
// resumes, and reports final states to the home until they are acknowledged.
//
// # One place at a time
//
// Starts are not journaled. A task is started again only after its worker has
// confirmed the end of the attempt, or after lease and margin have passed
// since the last start or renewal that may have arrived. Calls are bounded by
// the call timeout, so one sent at t may arrive until t plus that timeout. A
// new owner takes the inventory of all workers first and starts tasks that its
// predecessor may have started only when all have answered or lease and margin
// have passed. Attempt numbers carry the epoch in their upper part, so a number
// is not used twice even if a worker with an attempt unknown to the new owner
// stays silent.
//
// # Ends and checkpoints
//
// A worker keeps the report of an ended attempt until it is acknowledged. The
// machine acknowledges only after the journal holds the end or the checkpoint.
// If the append fails, the task goes on (an evicted task resumes) and the
// append is repeated until it commits.
//
// # Usage
//
//	m := tasks.New(shard, ledger, place.NewPack(), tasks.WithLease(10*time.Second))
//	for _, r := range journal {
//		err := m.Restore(r)
//	}
//	cmds := m.Update(now, tasks.AcquiredMsg{Epoch: epoch, Workers: workers, HistoryLongEnough: true})
//
// The runner sends WorkersMsg and ConfigMsg on changes and sched.TickMsg at
// least every 100 ms, executes the commands in order, and answers each call to
// a worker within the call timeout. After LostMsg the machine is empty and may
// be restored again.
package tasks

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Machine is the state of one shard. It implements [sched.Durable].
type Machine struct {
	options
	shard  sched.ShardID
	ledger sched.Ledger
	placer sched.Placer
	config *sched.Config

	// sizes are the capacities of workers that the shard has had.
	workerSizes map[sched.Resources]bool

	now    time.Time
	cmds   []sched.Cmd
	ticket sched.Ticket

	owner, suspended bool
	epoch            sched.Epoch

	pending map[sched.Ticket]*pendingAppend
	retries indexedHeap[*pendingAppend]
	unacked map[eventKey]*outboxEvent
	outbox  indexedHeap[*outboxEvent]

	jobs         map[sched.JobID]*job
	finishedJobs []*job

	tasks           map[sched.TaskID]*task
	pendingAssigns  map[sched.TaskID]*pendingAssign
	tombstones      map[sched.TaskID]*tombstone
	tombstonesByAge []*tombstone
	queue           *queue
	timers          indexedHeap[*task]
	runTimes        runTimes
	rackCounts      map[rackKey]int

	workers       map[sched.WorkerName]*worker
	sortedWorkers []*worker
	lastPollSeq   uint64

	recovering        bool
	recoveryDeadline  time.Time
	awaitingInventory map[sched.WorkerName]bool

	passNeeded    bool
	lastPass      time.Time
	available     []sched.WorkerRoom
	unplacedSizes []sched.Resources
	unplaced      []*task
	// soon is what each room has free when the tasks being stopped have ended;
	// it is filled at the first preemption of a walk.
	freeAfterStops []sched.Resources
	// starved is the task that a worker is kept free for.
	reservedFor    *task
	reservedWorker sched.WorkerName
}

var _ sched.Durable = (*Machine)(nil)

type options struct {
	lease, margin, callTimeout    time.Duration
	renewEvery, pollEvery         time.Duration
	retention, tombstoneRetention time.Duration
	maxFinishedJobs               int
	noFitWait, evictGap           time.Duration
	throttleGrace                 time.Duration
	quotaShare                    float64
}

// Option changes a default of a machine.
type Option func(*options)

// WithLease sets the task lease and the margin that is added to it on this
// side (10 s and 500 ms).
func WithLease(lease, margin time.Duration) Option {
	return func(o *options) { o.lease, o.margin = lease, margin }
}

// WithCallTimeout sets the bound on calls to workers (1 s).
func WithCallTimeout(d time.Duration) Option { return func(o *options) { o.callTimeout = d } }

// WithPeriods sets the periods of renewals (2 s) and inventory polls (1 s).
func WithPeriods(renew, poll time.Duration) Option {
	return func(o *options) { o.renewEvery, o.pollEvery = renew, poll }
}

// WithRetention bounds how long (24 h) and how many (10,000) finished jobs are
// kept.
func WithRetention(d time.Duration, count int) Option {
	return func(o *options) { o.retention, o.maxFinishedJobs = d, count }
}

// WithNoFitWait sets how long a task that fits no worker waits before it is
// reported NotRunnable (1 min).
func WithNoFitWait(d time.Duration) Option { return func(o *options) { o.noFitWait = d } }

// WithEvictGap sets the time after an eviction in which preemption leaves the
// task alone (1 min).
func WithEvictGap(d time.Duration) Option { return func(o *options) { o.evictGap = d } }

// WithThrottleGrace sets the time between throttling a task and stopping it
// (2 s).
func WithThrottleGrace(d time.Duration) Option { return func(o *options) { o.throttleGrace = d } }

// WithQuotaShare sets the part of each team's quota that this shard hosts (1).
func WithQuotaShare(share float64) Option { return func(o *options) { o.quotaShare = share } }

// New returns the machine of a shard. It is empty and owns nothing.
func New(shard sched.ShardID, ledger sched.Ledger, placer sched.Placer, opts ...Option) *Machine {
	m := &Machine{
		shard: shard, ledger: ledger, placer: placer,
		options: options{
			lease: defaultLease, margin: defaultMargin, callTimeout: defaultCallTimeout,
			renewEvery: defaultRenewEvery, pollEvery: defaultPollEvery,
			retention: defaultRetention, tombstoneRetention: defaultTombstoneRetention, maxFinishedJobs: defaultMaxFinishedJobs,
			noFitWait: defaultNoFitWait, evictGap: defaultEvictGap,
			throttleGrace: defaultThrottleGrace, quotaShare: 1,
		},
	}
	for _, opt := range opts {
		opt(&m.options)
	}
	m.runTimes = runTimes{}
	m.workerSizes = map[sched.Resources]bool{}
	m.reset()
	return m
}

// reset drops all state but the learned run times, the configuration and the
// ticket counter; tickets of an earlier ownership must not be used again.
func (m *Machine) reset() {
	m.owner, m.suspended, m.recovering = false, false, false
	m.pending = map[sched.Ticket]*pendingAppend{}
	m.retries = indexedHeap[*pendingAppend]{
		less: func(a, b *pendingAppend) bool { return a.nextTry.Before(b.nextTry) },
		pos:  func(c *pendingAppend) *int { return &c.pos },
	}
	m.unacked = map[eventKey]*outboxEvent{}
	m.outbox = indexedHeap[*outboxEvent]{less: outboxLess, pos: func(o *outboxEvent) *int { return &o.pos }}
	m.jobs, m.finishedJobs = map[sched.JobID]*job{}, nil
	m.tasks = map[sched.TaskID]*task{}
	m.pendingAssigns = map[sched.TaskID]*pendingAssign{}
	m.tombstones, m.tombstonesByAge = map[sched.TaskID]*tombstone{}, nil
	m.queue = newQueue(m.quotaShare)
	m.timers = indexedHeap[*task]{less: timerLess, pos: func(t *task) *int { return &t.timerPos }}
	m.rackCounts, m.reservedFor = map[rackKey]int{}, nil
	m.workers, m.sortedWorkers = map[sched.WorkerName]*worker{}, nil
	m.awaitingInventory = map[sched.WorkerName]bool{}
	m.applyConfig()
}

// Update implements [sched.Machine].
func (m *Machine) Update(now time.Time, msg sched.Msg) []sched.Cmd {
	m.now, m.cmds = now, nil
	m.dispatch(msg)
	if m.owner && !m.suspended {
		m.schedulingPass(msg)
	}
	return m.cmds
}

func (m *Machine) dispatch(msg sched.Msg) {
	switch msg := msg.(type) {
	case SubmitMsg:
		m.onSubmit(msg)
	case CancelMsg:
		m.onCancel(msg)
	case AcquiredMsg:
		m.onAcquired(msg)
	case SuspendMsg:
		m.suspended = true
	case ResumeMsg:
		m.onResume()
	case LostMsg:
		m.onLost()
	case ConfigMsg:
		m.config = msg.Config
		m.applyConfig()
	default:
		if m.owner {
			m.dispatchOwned(msg)
		}
	}
}

// dispatchOwned handles the messages that mean nothing without ownership.
func (m *Machine) dispatchOwned(msg sched.Msg) {
	switch msg := msg.(type) {
	case sched.TickMsg:
		m.onTick()
	case sched.CommittedMsg:
		m.onCommitted(msg)
	case sched.CommitFailedMsg:
		m.onCommitFailed(msg)
	case EventMsg:
		m.onEvent(msg)
	case StartResultMsg:
		m.onStartResult(msg)
	case RenewResultMsg:
		m.onRenewResult(msg)
	case StopResultMsg:
		m.onStopResult(msg)
	case InventoryMsg:
		m.onInventory(msg)
	case EvictMsg:
		m.onEvict(msg)
	case WorkersMsg:
		m.onWorkers(msg.Workers)
	}
}

func (m *Machine) onEvent(msg EventMsg) {
	switch msg.Event.Kind {
	case EventAssign, EventCancel, EventFinishAck:
		m.onHostEvent(msg.From, msg.Event)
	case EventAssigned, EventFinished, EventProgress:
		m.onHomeEvent(msg.From, msg.Event)
	}
}

func (m *Machine) onTick() {
	m.repeatAppends()
	m.resend()
	m.expireJobs()
	m.expireTombstones()
	m.runTimers()
	m.maintainWorkers()
	m.checkRecovered()
	m.passNeeded = true
}

func (m *Machine) emit(c sched.Cmd) { m.cmds = append(m.cmds, c) }

// reconfigure puts quotas and the shard's capacity in force.
func (m *Machine) applyConfig() {
	var total sched.Resources
	for _, w := range m.sortedWorkers {
		total = total.Add(w.capacity)
	}
	m.queue.configure(m.config, total)
	m.passNeeded = true
}
