package flow

import "time"

// The defaults of the options.
const (
	// defaultLease is how far ahead a worker's deadline is set. A takeover takes
	// about 2.5 s, so a new leader renews the leases before they expire.
	defaultLease = 4 * time.Second
	// defaultMaxLease is the longest lease that workers grant.
	defaultMaxLease = 6 * time.Second
	// defaultStopTime is how long a worker takes to stop a run.
	defaultStopTime = 400 * time.Millisecond
	// defaultCallTime is how long a call to a worker takes. A stop or a throttle
	// order is not repeated earlier.
	defaultCallTime = 300 * time.Millisecond
	// defaultReserveShare is the share of the processors of all usable workers
	// that perpetual tasks leave free for short tasks.
	defaultReserveShare = 0.08
	// defaultMaxMiss is how long a latency-critical task may miss its target
	// because of best-effort tasks.
	defaultMaxMiss      = 4 * time.Second
	defaultThrottleTime = 100 * time.Millisecond
	defaultRemoteFactor = 3
	defaultRetention    = 10 * time.Minute
	defaultGangWait     = 3 * time.Second // The machine does not read gangWait.
	defaultResumeTime   = 600 * time.Millisecond
	// defaultCancelTime is how long after its acknowledgement a cancellation may
	// take effect.
	defaultCancelTime = 3 * time.Second
	// defaultDrainTime is how long after a worker reported that it drains tasks may
	// still be started there.
	defaultDrainTime = 2 * time.Second
)

type options struct {
	lease, maxLease                 time.Duration
	stopTime, callTime              time.Duration
	reserveShare                    float64
	maxMiss, throttleTime, gangWait time.Duration
	remoteFactor                    float64
	retention                       time.Duration
	// maxRuns bounds the runs; 0: there is no bound.
	maxRuns               int
	resumeTime            time.Duration
	cancelTime, drainTime time.Duration
	// evacuateTime is 0 if data centres are not evacuated.
	evacuateTime time.Duration
	wallMillis   func(time.Time) int64
	// stopwatch is nil if durations are not measured.
	stopwatch func() time.Time
	// stragglers means that slow workers are recognised.
	stragglers bool
	// withoutDelays means that no job is delayed in a shortage.
	withoutDelays bool
}

func defaults() options {
	return options{
		lease: defaultLease, maxLease: defaultMaxLease, stopTime: defaultStopTime, callTime: defaultCallTime,
		reserveShare: defaultReserveShare, maxMiss: defaultMaxMiss, throttleTime: defaultThrottleTime,
		remoteFactor: defaultRemoteFactor, retention: defaultRetention, gangWait: defaultGangWait,
		resumeTime: defaultResumeTime, cancelTime: defaultCancelTime, drainTime: defaultDrainTime,
		stragglers: true,
		wallMillis: func(t time.Time) int64 { return t.UnixMilli() },
	}
}

// Option changes a default of a machine.
type Option func(*options)

// WithLease sets how far ahead the deadlines of workers are set (default 4 s)
// and the longest lease that workers grant (default 6 s).
func WithLease(lease, longest time.Duration) Option {
	return func(o *options) { o.lease, o.maxLease = lease, longest }
}

// WithStopTime sets how long a worker takes to stop a run (default 400 ms).
func WithStopTime(d time.Duration) Option { return func(o *options) { o.stopTime = d } }

// WithMaxMiss sets how long a latency-critical task may miss its target because
// of best-effort tasks (default 4 s), and how long a throttle change takes to
// apply (default 100 ms). The machine does not read maxMiss: it begins to
// throttle at the first report of a missed target.
func WithMaxMiss(maxMiss, throttleTime time.Duration) Option {
	return func(o *options) { o.maxMiss, o.throttleTime = maxMiss, throttleTime }
}

// WithRemoteFactor sets by which factor a task takes longer on a rack without
// its data (default 3).
func WithRemoteFactor(factor float64) Option { return func(o *options) { o.remoteFactor = factor } }

// WithRetention sets how long finished jobs are kept (default 10 min).
func WithRetention(d time.Duration) Option { return func(o *options) { o.retention = d } }

// WithMaxRuns bounds the runs of all workers together, because callers may submit tasks
// that need next to nothing of a worker (default 0: no bound). Large jobs leave a
// quarter of it to others. A gang with more members never starts.
func WithMaxRuns(n int) Option { return func(o *options) { o.maxRuns = n } }

// WithResumeTime sets how long a run takes to resume from a checkpoint (default
// 600 ms).
func WithResumeTime(d time.Duration) Option { return func(o *options) { o.resumeTime = d } }

// WithCancelTime sets how long after its acknowledgement a cancellation may take
// effect (default 3 s).
func WithCancelTime(d time.Duration) Option { return func(o *options) { o.cancelTime = d } }

// WithDrainTime sets how long after a worker reported that it drains tasks may still
// be started there (default 2 s).
func WithDrainTime(d time.Duration) Option { return func(o *options) { o.drainTime = d } }

// WithEvacuateTime sets how long after the operators asked for the evacuation of a data
// centre tasks may still be started there. With it tasks are started only while the
// evacuations were read a short time ago (default 0: they are not read).
func WithEvacuateTime(d time.Duration) Option { return func(o *options) { o.evacuateTime = d } }

// WithWallClock sets the function that returns the time of day as Unix time in
// milliseconds. It determines when the occurrences of a repeated job are due.
func WithWallClock(f func(now time.Time) int64) Option { return func(o *options) { o.wallMillis = f } }

// WithoutDelays keeps the order of jobs in a shortage as it is without one, for
// comparisons.
func WithoutDelays() Option { return func(o *options) { o.withoutDelays = true } }
