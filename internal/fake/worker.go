package fake

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"goji.io"
	"goji.io/pat"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// defaultRunTime is the run time of a task whose payload sets none.
const defaultRunTime = time.Second

// ServiceLimit is the capacity of a worker for one service.
type ServiceLimit struct {
	Service sched.ServiceName
	Slots   int
	// SlotResources is what one busy slot uses.
	SlotResources sched.Resources
}

// WorkerConfig describes a worker.
type WorkerConfig struct {
	Name       sched.WorkerName
	DataCentre sched.DataCentre
	Rack       string
	Capacity   sched.Resources
	Services   []ServiceLimit
	// Connections is the limit of open connections on the data port, 0 for
	// none. The worker records the peak but does not enforce the limit.
	Connections int
	// RunTime is the run time of a task whose payload sets none. The
	// default is one second.
	RunTime time.Duration
	// UsageLag is the age of the usage figures in the inventory.
	UsageLag time.Duration
}

// Instance returns the worker's entry in the instance list.
func (c WorkerConfig) Instance(data, control net.Addr) sched.Instance {
	in := sched.Instance{
		Name: string(c.Name), Role: sched.RoleWorker, State: sched.StateLive,
		DataCentre: c.DataCentre, Rack: c.Rack, Capacity: c.Capacity,
		Data:    data.(*net.TCPAddr).AddrPort(),
		Control: control.(*net.TCPAddr).AddrPort(),
	}
	for _, s := range c.Services {
		in.Services = append(in.Services, s.Service)
	}
	return in
}

// WorkerFaults are the faults that a worker injects.
type WorkerFaults struct {
	// FailEverything makes every task that is started fail immediately, and
	// every request return status 500.
	FailEverything bool
	// Freeze blocks all calls on both ports until it is cleared, except
	// those to the stand-in's own endpoints. Leases expire meanwhile.
	Freeze bool
	// RefuseFor closes both ports and all connections for this long.
	RefuseFor time.Duration
}

// Worker is the stand-in for a worker with its targets. The data port serves
// caller requests, the control port serves commands.
type Worker struct {
	cfg WorkerConfig
	now Clock
	// incarnation is a random id that distinguishes this worker from an earlier one
	// of the same name.
	incarnation sched.Incarnation
	// clockOrigin is the zero of the clock that inventories show and the
	// NotAfter of leases refers to.
	clockOrigin   time.Time
	data, control *goji.Mux
	gate          gate

	mu       sync.Mutex
	faults   WorkerFaults
	unfrozen chan struct{}
	epochs   map[sched.ShardID]sched.Epoch
	tasks    map[attemptID]*task
	// highestAttempt is the highest attempt number that was started or
	// stopped, by task.
	highestAttempt map[sched.TaskID]int
	busy           map[sched.ServiceName]int
	openConns      int
	usage          []usageSample
	records        WorkerRecords
}

// WorkerOption configures a [Worker].
type WorkerOption func(*Worker)

// WithWorkerClock sets the clock for leases and run times; the default is
// [time.Now].
func WithWorkerClock(c Clock) WorkerOption { return func(w *Worker) { w.now = c } }

// NewWorker returns a worker with no running tasks.
func NewWorker(cfg WorkerConfig, opts ...WorkerOption) *Worker {
	if cfg.RunTime == 0 {
		cfg.RunTime = defaultRunTime
	}
	w := &Worker{
		cfg: cfg, now: time.Now, incarnation: sched.Incarnation(rand.Text()),
		data: goji.NewMux(), control: goji.NewMux(),
		unfrozen:       make(chan struct{}),
		epochs:         make(map[sched.ShardID]sched.Epoch),
		tasks:          make(map[attemptID]*task),
		highestAttempt: make(map[sched.TaskID]int),
		busy:           make(map[sched.ServiceName]int),
	}
	close(w.unfrozen)
	w.records.MaxBusy = make(map[sched.ServiceName]int)
	for _, o := range opts {
		o(w)
	}
	w.clockOrigin = w.now()
	w.routes()
	return w
}

func (w *Worker) routes() {
	w.data.HandleFunc(pat.New("/*"), w.serveRequest)
	w.control.Use(w.freezeMiddleware)
	w.control.HandleFunc(pat.Post("/tasks"), w.postTask)
	w.control.HandleFunc(pat.Post("/leases"), w.postLeases)
	w.control.HandleFunc(pat.Post("/tasks/:id/stop"), w.postStop)
	w.control.HandleFunc(pat.Post("/tasks/:id/checkpoint"), w.postCheckpoint)
	w.control.HandleFunc(pat.Post("/tasks/:id/throttle"), w.postThrottle)
	w.control.HandleFunc(pat.Post("/ack"), w.postAck)
	w.control.HandleFunc(pat.Get("/inventory"), w.getInventory)
	w.control.HandleFunc(pat.Put("/fake/faults"), w.putFaults)
	w.control.HandleFunc(pat.Get("/fake/records"), w.getRecords)
}

// DataHandler returns the handler of the data port.
func (w *Worker) DataHandler() http.Handler { return w.data }

// ServeHTTP implements http.Handler for the control port.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) { w.control.ServeHTTP(rw, r) }

// Serve serves both ports until ctx ends.
func (w *Worker) Serve(ctx context.Context, data, control net.Listener) error {
	return Run(ctx, func(ctx context.Context) error {
		return w.gate.serve(ctx, data, func() *http.Server {
			return &http.Server{Handler: w.data, ConnState: w.countConn}
		})
	}, func(ctx context.Context) error {
		return w.gate.serve(ctx, control, func() *http.Server { return &http.Server{Handler: w} })
	})
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	if f.Freeze && !w.faults.Freeze {
		w.unfrozen = make(chan struct{})
	}
	if !f.Freeze && w.faults.Freeze {
		close(w.unfrozen)
	}
	w.faults = f
	w.mu.Unlock()
	w.gate.closeFor(f.RefuseFor)
}

// waitUnfrozen waits until the worker is not frozen. It returns false if ctx
// ends first.
func (w *Worker) waitUnfrozen(ctx context.Context) bool {
	w.mu.Lock()
	ch := w.unfrozen
	w.mu.Unlock()
	select {
	case <-ch:
		return true
	case <-ctx.Done():
		return false
	}
}

// freezeMiddleware blocks calls while the worker is frozen, except those to the
// stand-in's own endpoints.
func (w *Worker) freezeMiddleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if isFakeEndpoint(r) || w.waitUnfrozen(r.Context()) {
			next.ServeHTTP(rw, r)
		}
	})
}

// Records returns what the worker has recorded so far.
func (w *Worker) Records() WorkerRecords {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.now())
	r := w.records
	r.Config = w.cfg
	r.Requests = slices.Clone(r.Requests)
	r.Tasks = slices.Clone(r.Tasks)
	r.Overcommits = slices.Clone(r.Overcommits)
	r.MaxBusy = make(map[sched.ServiceName]int)
	for k, v := range w.records.MaxBusy {
		r.MaxBusy[k] = v
	}
	return r
}

func (w *Worker) putFaults(rw http.ResponseWriter, r *http.Request) {
	var f WorkerFaults
	if readJSON(rw, r, &f) {
		w.SetFaults(f)
	}
}

func (w *Worker) getRecords(rw http.ResponseWriter, _ *http.Request) { writeJSON(rw, w.Records()) }
