// Package tasks implements the state machine for the batch jobs and tasks of
// one shard.
//
// A shard has two roles. The home shard of a job owns the job. It journals the
// job together with a hosting shard for each task, answers the submitter, and
// assigns the tasks to their hosting shards by events that it resends until
// they are acknowledged. A hosting shard runs tasks. It journals the tasks
// assigned to it, queues them, and places and starts them under leases. While
// they run it renews the leases, polls the inventories of the workers, and
// evicts and resumes tasks. It reports the final state of each task to the home
// shard and resends the report until it is acknowledged.
//
// # At most one running attempt
//
// Starts are not journaled. To keep a task from running on two workers at the
// same time, the machine starts it again only after its worker has reported the
// end of the attempt, or after the lease and the safety margin have passed since
// the last start or renewal that may have arrived. Calls are bounded by the call
// timeout, so a call sent at t may arrive until t plus that timeout. The worker
// enforces this by its clock. Leases name the incarnation of the worker whose clock
// was read, because the clock of a restarted worker begins anew.
//
// A new owner of the shard first requests the inventories of all workers. Tasks
// that the previous owner may have started wait until all workers have
// answered, or until the call timeout, the lease and the margin have passed.
// Attempt numbers carry the epoch in their upper part. No number is used twice,
// even if a worker that does not answer runs an attempt that the new owner does
// not know.
//
// # Ends and checkpoints
//
// A worker keeps the report of an ended attempt until it is acknowledged. The
// machine acknowledges it only after the journal holds the end or the
// checkpoint. If that append fails, the machine repeats it until it commits. A
// task that has not ended continues meanwhile: an evicted task resumes.
//
// # Usage
//
//	m := tasks.New(shard, ledger, place.NewPack(), tasks.WithLease(10*time.Second, 500*time.Millisecond))
//	for _, r := range journal {
//		err := m.Restore(r)
//	}
//	cmds := m.Update(now, tasks.AcquiredMsg{Epoch: epoch, Workers: workers, HistoryLongEnough: true})
//
// The runner sends WorkersMsg and ConfigMsg on changes and sched.TickMsg at
// least every 100 ms. It executes the commands in order, and answers each call
// to a worker within the call timeout. After LostMsg the machine is empty, and
// the runner may restore it again.
package tasks

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Machine is the state machine for the jobs and tasks of one shard. It
// implements [sched.Durable].
type Machine struct {
	options
	shard  sched.ShardID
	ledger sched.Ledger
	placer sched.Placer
	config *sched.Config

	// workerSizes holds the capacities of the workers that the shard has or had.
	workerSizes map[sched.Resources]bool

	// now is the time of the current Update, and cmds are the commands that it
	// returns.
	now    time.Time
	cmds   []sched.Cmd
	ticket sched.Ticket

	// owner is set while this entry owns the shard in epoch. suspended is set
	// between SuspendMsg and ResumeMsg.
	owner, suspended bool
	epoch            sched.Epoch

	// pending holds the appends in progress, retries the failed ones that are
	// repeated.
	pending map[sched.Ticket]*pendingAppend
	retries indexedHeap[*pendingAppend]
	// unacked and outbox hold the same events, by key and by next send time.
	unacked map[eventKey]*outboxEvent
	outbox  indexedHeap[*outboxEvent]

	// jobs are the jobs whose home is this shard. finishedJobs lists the
	// finished ones, the oldest end first.
	jobs         map[sched.JobID]*job
	finishedJobs []*job

	// tasks are the tasks that this shard hosts.
	tasks map[sched.TaskID]*task
	// pendingAssigns are the assignments that are being journaled.
	pendingAssigns map[sched.TaskID]*pendingAssign
	// tombstones and tombstonesByAge hold the same tombstones, by task and the
	// oldest first.
	tombstones      map[sched.TaskID]*tombstone
	tombstonesByAge []*tombstone
	queue           *queue
	// timers holds the tasks in stBackoff and stUnfit.
	timers     indexedHeap[*task]
	runTimes   runTimes
	rackCounts map[rackKey]int

	// workers and sortedWorkers hold the same workers, by name and sorted by
	// name.
	workers       map[sched.WorkerName]*worker
	sortedWorkers []*worker
	lastPollSeq   uint64

	// recovering is set until no task that the previous owner started can run
	// unknown to this one: when awaitingInventory is empty, or at
	// recoveryDeadline. awaitingInventory holds the workers whose first
	// inventory in this ownership is missing. The empty name in it means workers
	// that this entry has never seen.
	recovering        bool
	recoveryDeadline  time.Time
	awaitingInventory map[sched.WorkerName]bool

	// passNeeded is set when something changed that may let a task start.
	passNeeded bool
	lastPass   time.Time
	// available are the workers that may get tasks in the current scheduling
	// pass, with their free capacity. unplaced are the tasks of the pass for
	// which no worker was found. unplacedSizes are the resources of those that
	// no worker has free; tasks that need as much are skipped.
	available     []sched.WorkerCapacity
	unplacedSizes []sched.Resources
	unplaced      []*task
	// freeAfterStops is the free capacity of each available worker once its
	// stopping tasks have ended. It is computed at the first preemption of a
	// pass.
	freeAfterStops []sched.Resources
	// reservedFor is the task that reservedWorker is reserved for.
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

// Option changes a default setting of a [Machine].
type Option func(*options)

// WithLease sets the duration of task leases and the safety margin that the
// machine waits in addition before it treats a lease as expired (10 s and
// 500 ms).
func WithLease(lease, margin time.Duration) Option {
	return func(o *options) { o.lease, o.margin = lease, margin }
}

// WithCallTimeout sets the time within which the runner answers a call to a
// worker (1 s).
func WithCallTimeout(d time.Duration) Option { return func(o *options) { o.callTimeout = d } }

// WithPeriods sets the periods of lease renewals (2 s) and inventory polls
// (1 s).
func WithPeriods(renew, poll time.Duration) Option {
	return func(o *options) { o.renewEvery, o.pollEvery = renew, poll }
}

// WithRetention sets how long (24 h) finished jobs are kept, and how many
// (10,000) at most.
func WithRetention(d time.Duration, count int) Option {
	return func(o *options) { o.retention, o.maxFinishedJobs = d, count }
}

// WithNoFitWait sets how long a task that is too big for every worker waits
// before it is reported NotRunnable (1 min). The wait starts again while
// the shard has no workers, or if it has had one that was big enough.
func WithNoFitWait(d time.Duration) Option { return func(o *options) { o.noFitWait = d } }

// WithEvictGap sets the time after an eviction during which the task is not
// preempted again (1 min).
func WithEvictGap(d time.Duration) Option { return func(o *options) { o.evictGap = d } }

// WithThrottleGrace sets how long a task runs throttled before an eviction
// stops it (2 s).
func WithThrottleGrace(d time.Duration) Option { return func(o *options) { o.throttleGrace = d } }

// WithQuotaShare sets the fraction of each team's quota that applies to this
// shard (1).
func WithQuotaShare(share float64) Option { return func(o *options) { o.quotaShare = share } }

// New returns an empty machine for a shard. It does not own the shard until
// AcquiredMsg.
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

// reset drops all state except the learned run times, the known worker sizes,
// the configuration and the counters of tickets and polls. Tickets and poll
// numbers of an earlier ownership must not be used again, because their answers
// may still arrive.
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

// dispatchOwned handles the messages that are ignored unless this entry owns
// the shard.
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

// applyConfig updates the queue with the configured quotas and the current
// capacity of the shard.
func (m *Machine) applyConfig() {
	var total sched.Resources
	for _, w := range m.sortedWorkers {
		total = total.Add(w.capacity)
	}
	m.queue.configure(m.config, total)
	m.passNeeded = true
}
