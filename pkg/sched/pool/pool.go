// Package pool is the capacity ledger of the workers of one shard: the only
// writer of grants of their slots, connections and resources.
//
// The machine grants a slot for each request, or queues the request until its
// deadline, or refuses it. Slots, connections and resources of a worker are
// hard limits: a slot in use reserves what the services text says, and batch
// tasks reserve through [sched.Ledger] on the same account. A share of each
// worker that follows the recent peak of demand stays free of batch tasks.
//
// After a takeover the load that earlier epochs put on a worker is unknown.
// The machine grants nothing there until an inventory shows it, and counts the
// busy slots of the inventory until later ones show them free, or until no
// request of an earlier epoch can still run.
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
// Each granted id is released exactly once by a [ReleaseMsg]. The runner hands
// an inventory to the tasks machine of the shard first, so that the resources
// of running tasks are restored before the pool grants.
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
	// DefaultHeadroom is the share of the slots of each worker whose
	// resources batch tasks never take.
	DefaultHeadroom = 0.25
	// DefaultBodies bounds the buffered bodies of one shard. With six shards
	// on one surviving entry the sum stays below its 128 MB.
	DefaultBodies sched.Bytes = 16 << 20
	// DefaultTaskHold is how long a task of an earlier epoch may run unseen:
	// the task lease of 10 s and a margin of 250 ms.
	DefaultTaskHold = 10*time.Second + 250*time.Millisecond
	// DefaultTimeout bounds attempts of services without a timeout.
	DefaultTimeout = 30 * time.Second
	// transitMargin covers requests of an earlier owner that are in transit, and
	// differences in clock rate.
	transitMargin = 250 * time.Millisecond
)

// Machine is the ledger of one shard. It implements [sched.Machine] and
// [sched.Ledger].
type Machine struct {
	headroom      float64
	taskExpiry    time.Duration
	queueLen      int
	adaptiveLimit bool

	router    sched.Router
	predictor *queue.Predictor
	bodies    *limit.Memory

	cfg            *sched.Config
	servicesByName map[sched.ServiceName]*service
	services       []*service
	// retired holds services that left the configuration with requests in
	// progress; their grants count if the name returns.
	retired       map[sched.ServiceName]*service
	teams         map[sched.TeamName]*team
	workers       map[sched.WorkerName]*worker
	sortedWorkers []*worker
	fleet         map[sched.ServiceName]int
	requests      map[uint64]request
	freeCapacity  []sched.WorkerRoom

	epoch   sched.Epoch
	serving bool
	// longest is the longest timeout of all configurations so far: requests
	// of an earlier owner may have started under an older one.
	acquiredAt     time.Time
	longestTimeout time.Duration
	peakAt         time.Time
	out            []sched.Cmd
}

var (
	_ sched.Machine = (*Machine)(nil)
	_ sched.Ledger  = (*Machine)(nil)
)

// Option configures a Machine.
type Option func(*Machine)

// WithSeed sets the seed of routing.
func WithSeed(seed uint64) Option {
	return func(m *Machine) { m.router = route.New(route.WithSeed(seed)) }
}

// WithRouter replaces the router.
func WithRouter(r sched.Router) Option { return func(m *Machine) { m.router = r } }

// WithHeadroom sets the share of the slots of each worker whose resources
// batch tasks never take, 0 to 1. The share follows the recent peak of demand
// above it.
func WithHeadroom(share float64) Option { return func(m *Machine) { m.headroom = share } }

// WithBodies bounds the buffered bodies of waiting and running requests; 0 is
// no bound.
func WithBodies(n sched.Bytes) Option {
	return func(m *Machine) { m.bodies = limit.NewMemory(n) }
}

// WithQueue bounds the requests that wait in each lane of a service.
func WithQueue(n int) Option { return func(m *Machine) { m.queueLen = n } }

// WithTaskHold sets how long a task of an earlier epoch may run unseen on a
// worker that answers no inventory.
func WithTaskHold(d time.Duration) Option { return func(m *Machine) { m.taskExpiry = d } }

// WithFixedLimit turns the adaptive concurrency limit off.
func WithFixedLimit() Option { return func(m *Machine) { m.adaptiveLimit = false } }

// New returns a machine that does not serve until an AcquiredMsg.
func New(opts ...Option) *Machine {
	m := &Machine{
		headroom:       DefaultHeadroom,
		taskExpiry:     DefaultTaskHold,
		queueLen:       queue.DefaultSize,
		adaptiveLimit:  true,
		router:         route.New(),
		predictor:      queue.NewPredictor(queue.DefaultClasses),
		bodies:         limit.NewMemory(DefaultBodies),
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
	// refusal is the reason for refusing new requests; empty if it takes them.
	refusal sched.Reason
	team    *team
	queue   *queue.Queue
	limit   *limit.Gradient
	// loads and open are parallel: the targets that have room now.
	loads      []sched.TargetLoad
	available  []*target
	targets    int
	hardLimit  int
	slots      int
	free       int
	peakDemand float64
}

// team is a team's quota in this shard.
type team struct {
	limit.Quota
	max int
}

// request is a waiting or granted request.
type request struct {
	service *service
	team    *team
	target  *target
	class   string
	body    sched.Bytes
	long    bool
}
