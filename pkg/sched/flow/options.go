package flow

import "time"

// The defaults of the options.
const (
	// defaultLease is how far ahead a worker's deadline is set. A takeover
	// takes about 2.5 s, so that a new leader renews what runs in time.
	defaultLease = 4 * time.Second
	// defaultLeaseMost is the longest lease that workers grant.
	defaultLeaseMost = 6 * time.Second
	// defaultStopTime is how long a worker takes to stop a run.
	defaultStopTime = 400 * time.Millisecond
	defaultOrder    = 300 * time.Millisecond
	// defaultReserve is the share of a pool's processors that lasting tasks
	// leave free for short ones.
	defaultReserve = 0.08
	// defaultHarm is how long a task that serves may miss its target because
	// of tasks that fill.
	defaultHarm      = 4 * time.Second
	defaultPaceTime  = 100 * time.Millisecond
	defaultFar       = 3
	defaultRetention = 10 * time.Minute
	defaultGangWait  = 3 * time.Second
	defaultRestore   = 600 * time.Millisecond
)

type options struct {
	lease, leaseMost         time.Duration
	stopTime, callTime       time.Duration
	reserve                  float64
	harm, paceTime, gangWait time.Duration
	far                      float64
	retention                time.Duration
	resume                   time.Duration
	wall                     func(time.Time) int64
}

func defaults() options {
	return options{
		lease: defaultLease, leaseMost: defaultLeaseMost, stopTime: defaultStopTime, callTime: defaultOrder,
		reserve: defaultReserve, harm: defaultHarm, paceTime: defaultPaceTime,
		far: defaultFar, retention: defaultRetention, gangWait: defaultGangWait,
		resume: defaultRestore,
		wall:   func(t time.Time) int64 { return t.UnixMilli() },
	}
}

// Option changes a default of a machine.
type Option func(*options)

// WithLease sets how far ahead the deadlines of workers are set (4 s), and the
// longest lease that workers grant (6 s).
func WithLease(lease, most time.Duration) Option {
	return func(o *options) { o.lease, o.leaseMost = lease, most }
}

// WithStopTime sets how long a worker takes to stop a run (400 ms).
func WithStopTime(d time.Duration) Option { return func(o *options) { o.stopTime = d } }

// WithHarm sets how long a task that serves may miss its target because of
// tasks that fill (4 s), and the time that a change of pace takes (100 ms).
func WithHarm(harm, pace time.Duration) Option {
	return func(o *options) { o.harm, o.paceTime = harm, pace }
}

// WithFar sets by which factor a task takes longer away from its data (3).
func WithFar(factor float64) Option { return func(o *options) { o.far = factor } }

// WithRetention sets how long finished jobs are kept (10 min).
func WithRetention(d time.Duration) Option { return func(o *options) { o.retention = d } }

// WithRestore sets how long a run takes to resume from saved progress (600 ms).
func WithRestore(d time.Duration) Option { return func(o *options) { o.resume = d } }

// WithWall sets the time of day, as Unix time in milliseconds, by which
// repeated jobs are due.
func WithWall(f func(now time.Time) int64) Option { return func(o *options) { o.wall = f } }
