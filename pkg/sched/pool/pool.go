// Package pool manages the capacity of the workers of one shard. It is the only
// place that grants their slots, connections and resources.
//
// [Machine] grants a slot for each request, or queues the request until its
// deadline, or refuses it. The slots, connections and resources of a worker are
// hard limits. A slot in use reserves the resources that the configuration sets
// for a slot of its service. Batch tasks reserve resources of the same workers
// through [sched.Ledger]. On each worker the resources of some slots stay free
// of batch tasks; the number of these slots follows the recent peak of demand.
//
// After a takeover the load that earlier epochs put on a worker is unknown. The
// machine grants nothing on a worker until an inventory shows this load. It
// counts the busy slots of the inventory until a later one shows them free, or
// until no request of an earlier epoch can still run.
//
// # Usage
//
//	m := pool.New(pool.WithSeed(1))
//	m.Update(now, pool.ConfigMsg{Config: cfg})
//	m.Update(now, pool.WorkersMsg{Workers: workers})
//	m.Update(now, pool.AcquiredMsg{Epoch: 7})
//	for _, cmd := range m.Update(now, pool.AcquireMsg{ID: 1, Service: "Quote", Deadline: deadline}) {
//		switch cmd := cmd.(type) {
//		case pool.GrantCmd:
//			// send the request to cmd.Addr, then a ReleaseMsg
//		}
//	}
//
// Each granted ID is released exactly once by a [ReleaseMsg]. The runner passes
// an inventory to the tasks machine of the shard first, so that the resources
// of running tasks are restored before the pool grants slots.
package pool

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/limit"
	"github.com/mangoslip/mangoslip/pkg/sched/queue"
	"github.com/mangoslip/mangoslip/pkg/sched/route"
)

// Defaults of a Machine.
const (
	// DefaultHeadroom is the share of the slots of each worker whose resources
	// batch tasks never get.
	DefaultHeadroom = 0.25
	// DefaultBodyMemory bounds the buffered request bodies of one shard. If a
	// single entry survives and serves six shards, their bodies stay below the
	// entry's 128 MB.
	DefaultBodyMemory sched.Bytes = 16 << 20
	// DefaultTaskExpiry is how long after a takeover a task of an earlier epoch
	// may run without being reported: the task lease of 10 s and a margin of
	// 250 ms.
	DefaultTaskExpiry = 10*time.Second + 250*time.Millisecond
	// DefaultTimeout is how long an attempt of an earlier owner is assumed to
	// run at most if its service has no timeout, which a validated
	// configuration does not allow.
	DefaultTimeout = 30 * time.Second
	// transitMargin covers requests of an earlier owner that are still in
	// transit, and clocks that run at different rates.
	transitMargin = 250 * time.Millisecond
)

// Machine is the capacity ledger of one shard. It implements [sched.Machine]
// and [sched.Ledger].
type Machine struct {
	headroom      float64
	taskExpiry    time.Duration
	queueLen      int
	adaptiveLimit bool

	router    sched.Router
	predictor *queue.Predictor
	bodies    *limit.Memory

	cfg *sched.Config
	// servicesByName holds the services by their current and former names.
	servicesByName map[sched.ServiceName]*service
	services       []*service
	// retired holds services that left the configuration with requests in
	// progress. Their grants count again if the name returns.
	retired map[sched.ServiceName]*service
	teams   map[sched.TeamName]*team
	workers map[sched.WorkerName]*worker
	// sortedWorkers holds the workers in order of their names.
	sortedWorkers []*worker
	// fleet is the Fleet of the latest WorkersMsg.
	fleet    map[sched.ServiceName]int
	requests map[uint64]request
	// freeCapacity is the slice that FreeCapacity returns.
	freeCapacity []sched.WorkerCapacity

	// epoch is 0 while the entry does not own the shard.
	epoch sched.Epoch
	// serving is false while the entry does not own the shard, and also from a
	// SuspendMsg to the ResumeMsg.
	serving    bool
	acquiredAt time.Time
	// longestTimeout is the longest timeout of all configurations so far.
	// Requests of an earlier owner may have started under an older
	// configuration.
	longestTimeout time.Duration
	// peakAt is when the peaks of demand last decayed.
	peakAt time.Time
	// cmds holds the commands that the current Update returns.
	cmds []sched.Cmd
}

var (
	_ sched.Machine = (*Machine)(nil)
	_ sched.Ledger  = (*Machine)(nil)
)

// Option configures a Machine.
type Option func(*Machine)

// WithSeed sets the seed of the random choices of the router.
func WithSeed(seed uint64) Option {
	return func(m *Machine) { m.router = route.New(route.WithSeed(seed)) }
}

// WithRouter replaces the router.
func WithRouter(r sched.Router) Option { return func(m *Machine) { m.router = r } }

// WithHeadroom sets the share of the slots of each worker whose resources batch
// tasks never get, 0 to 1. A larger share is reserved while the recent peak of
// demand needs it.
func WithHeadroom(share float64) Option { return func(m *Machine) { m.headroom = share } }

// WithBodyMemory bounds the buffered bodies of waiting and running requests; 0
// means no bound.
func WithBodyMemory(n sched.Bytes) Option {
	return func(m *Machine) { m.bodies = limit.NewMemory(n) }
}

// WithQueue bounds the requests that wait in each lane of a service. A service
// has one lane for short and one for long requests.
func WithQueue(n int) Option { return func(m *Machine) { m.queueLen = n } }

// WithTaskExpiry sets how long after a takeover a task of an earlier epoch may
// run without being reported by a worker that answers no inventory.
func WithTaskExpiry(d time.Duration) Option { return func(m *Machine) { m.taskExpiry = d } }

// WithFixedLimit turns the adaptive concurrency limit off.
func WithFixedLimit() Option { return func(m *Machine) { m.adaptiveLimit = false } }

// New returns a machine that refuses all requests until an AcquiredMsg.
func New(opts ...Option) *Machine {
	m := &Machine{
		headroom:       DefaultHeadroom,
		taskExpiry:     DefaultTaskExpiry,
		queueLen:       queue.DefaultSize,
		adaptiveLimit:  true,
		router:         route.New(),
		predictor:      queue.NewPredictor(queue.DefaultClasses),
		bodies:         limit.NewMemory(DefaultBodyMemory),
		servicesByName: map[sched.ServiceName]*service{},
		retired:        map[sched.ServiceName]*service{},
		teams:          map[sched.TeamName]*team{},
		workers:        map[sched.WorkerName]*worker{},
		requests:       map[uint64]request{},
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// service is the state of one service in this shard.
type service struct {
	sched.Service
	// refusal is the reason for refusing new requests, empty if the service
	// takes them.
	refusal sched.Reason
	team    *team
	queue   *queue.Queue
	limit   *limit.Gradient
	// loads and available are parallel. They hold the targets that have a free
	// slot.
	loads     []sched.TargetLoad
	available []*target
	// targets is the number of targets on live workers. hardLimit is the sum of
	// the configured slots of these targets.
	targets   int
	hardLimit int
	// slots is the number of slots that the machine may have in use, and free
	// those of them that are not in use.
	slots int
	free  int
	// peakDemand is the recent peak of running and waiting requests. It decays
	// over time.
	peakDemand float64
}

// team is the quota of a team in this shard.
type team struct {
	limit.TeamLimit
	// max is the limit of the whole deployment; 0 is none.
	max int
}

// request is a waiting or granted request.
type request struct {
	service *service
	team    *team
	// target is nil while the request waits.
	target *target
	class  string
	body   sched.Bytes
	long   bool
}
