package procs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/audit"
	"github.com/mangoslip/mangoslip/internal/fake"
	"github.com/mangoslip/mangoslip/internal/fleet"
	"github.com/mangoslip/mangoslip/internal/peer"
	"github.com/mangoslip/mangoslip/internal/store"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/owner"
)

const (
	token = "procs"
	// A site has one worker process in each data centre. It runs
	// workersPerProcess workers, each of which has slots slots for each service.
	workersPerProcess = 2
	slots             = 4
	// drainWait is many times the time that the balancer needs to notice that an
	// entry is no longer ready.
	drainWait = 2 * time.Second
	// poll is the interval at which waits check their condition, and at which the
	// balancer checks the readiness of the entries.
	poll = 50 * time.Millisecond
	// slack is added to the bounds of the design because the processes run with
	// the race detector on a shared machine.
	slack = 6 * time.Second
	// startBound is the maximum time from the start of a site until all shards
	// are served.
	startBound = 30 * time.Second
)

var dataCentres = []string{"Nyarugenge", "Kicukiro", "Gasabo"}

// servicesText is the configuration of a site. %s is replaced by the objective of
// the service Quotes.
const servicesText = `
DataCentres = ["Nyarugenge", "Kicukiro", "Gasabo"]
ShardsPerDataCentre = 1
[WorkerSize]
CPU = 32
Memory = "125GB"
[[Services]]
Name = "Quotes"
State = "Started"
Team = "Pricing"
Objective = "%s"
Timeout = "5s"
Slots = 4
Connections = 64
SlotResources = { CPU = "500m", Memory = "1GiB" }
IdempotentMethods = ["GET"]
[[Services]]
Name = "Orders"
State = "Started"
DependsOn = ["Quotes"]
Team = "Billing"
Objective = "150ms"
Timeout = "5s"
Slots = 4
Connections = 64
SlotResources = { CPU = "500m", Memory = "1GiB" }
IdempotentMethods = ["GET"]
[[Teams]]
Name = "Pricing"
MaxInFlight = 600
[[Teams]]
Name = "Billing"
MaxInFlight = 400
[[Classes]]
Name = "Carve"
RunTime = "1s"
MaxAttempts = 5
Checkpoints = true
`

// entryProc is the process of an entry, with its addresses.
type entryProc struct {
	*proc
	front, peer, admin netip.AddrPort
	// ready is the entry's readiness when the balancer last checked it.
	ready atomic.Bool
}

// workerProc is a process of several workers. control maps the name of each to its
// control address.
type workerProc struct {
	*proc
	control map[string]string
}

// site is a deployment: a platform, workers and entries, with a load balancer for
// the callers in the test process.
type site struct {
	t         testing.TB
	storeAddr string
	listAddr  string
	store     *store.Client
	list      *fleet.Client
	peers     *peer.Pool
	http      *http.Client
	log       audit.Log
	workers   []*workerProc
	// crashed holds the records of workers whose process was killed.
	crashed []fake.WorkerRecords
	// accepted holds the jobs that entries have accepted.
	accepted []sched.JobSpec
	ids      atomic.Int64
	began    time.Time

	mu      sync.Mutex
	entries map[string]*entryProc
	rng     *rand.Rand
}

// newSite starts a deployment and waits until all shards are served.
func newSite(t *testing.T, entries int) *site {
	t.Helper()
	t.Parallel()
	n := int64(1 + len(dataCentres) + entries)
	require.NoError(t, processes.Acquire(context.Background(), n))
	t.Cleanup(func() { processes.Release(n) })
	s := &site{
		t: t, entries: map[string]*entryProc{}, rng: rand.New(rand.NewPCG(1, 1)), began: time.Now(),
		peers: peer.NewPool(token),
		http:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}
	p := start(t, "platform", "platform", "-store-addr", "127.0.0.1:0", "-list-addr", "127.0.0.1:0").readValues()
	s.storeAddr, s.listAddr = p["store"], p["list"]
	s.store, s.list = store.New(netip.MustParseAddrPort(s.storeAddr)), fleet.New(netip.MustParseAddrPort(s.listAddr))
	for _, dc := range dataCentres {
		s.startWorkers(dc)
	}
	for i := range entries {
		s.startEntry(fmt.Sprintf("entry-%d", i+1), dataCentres[i%len(dataCentres)])
	}
	ctx, cancel := context.WithCancel(context.Background())
	var balancer sync.WaitGroup
	balancer.Go(func() { s.balance(ctx) })
	t.Cleanup(func() { cancel(); balancer.Wait() })
	s.apply(servicesWithObjective("50ms"))
	s.awaitServed(startBound)
	t.Logf("site served after %v", time.Since(s.began).Round(time.Millisecond))
	return s
}

// servicesWithObjective returns a configuration with the objective for Quotes.
func servicesWithObjective(objective string) string { return fmt.Sprintf(servicesText, objective) }

func (s *site) startWorkers(dc string) { s.startRack(dc, strings.ToLower(dc)) }

// startRack starts a process with the workers of one rack.
func (s *site) startRack(dc, name string) {
	s.t.Helper()
	p := start(s.t, "workers "+name, "worker", "-name", name, "-data-centre", dc, "-rack", name, "-services", "Quotes,Orders", "-count", strconv.Itoa(workersPerProcess),
		"-slots", strconv.Itoa(slots), "-slot-cpu", "500", "-slot-memory", strconv.Itoa(1<<30), "-list-addr", s.listAddr)
	w := &workerProc{proc: p, control: map[string]string{}}
	for range workersPerProcess {
		line := p.readValues()
		w.control[line["worker"]] = line["control"]
	}
	s.workers = append(s.workers, w)
}

func (s *site) startEntry(name, dc string) *entryProc {
	s.t.Helper()
	p := start(s.t, name, "entry", "-register", "-name", name, "-data-centre", dc, "-front-addr", "127.0.0.1:0",
		"-peer-addr", "127.0.0.1:0", "-admin-addr", "127.0.0.1:0", "-store-addr", s.storeAddr,
		"-list-addr", s.listAddr, "-drain-wait", drainWait.String(), "-drain-timeout", "10s")
	addrs := p.readValues()
	e := &entryProc{
		proc: p, front: netip.MustParseAddrPort(addrs["Front"]),
		peer: netip.MustParseAddrPort(addrs["Peer"]), admin: netip.MustParseAddrPort(addrs["Admin"]),
	}
	s.mu.Lock()
	s.entries[name] = e
	s.mu.Unlock()
	return e
}

// liveEntries returns the entries that were not killed or stopped.
func (s *site) liveEntries() []*entryProc {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*entryProc
	for i := range len(s.entries) + 1 {
		for name, e := range s.entries {
			if name == fmt.Sprintf("entry-%d", i+1) {
				out = append(out, e)
			}
		}
	}
	return out
}

// remove removes an entry from the site and from the instance list, as the
// platform does with an instance that has ended or that it cannot reach.
func (s *site) remove(e *entryProc) {
	s.t.Helper()
	s.mu.Lock()
	delete(s.entries, e.name)
	s.mu.Unlock()
	s.post(s.listAddr, "/fake/drop/"+e.name)
}

// kill kills the process of an entry.
func (s *site) kill(e *entryProc) {
	s.t.Helper()
	e.signal(syscall.SIGKILL)
	e.wait(exitTimeout)
	s.remove(e)
}

// balance checks the readiness of the entries, as the platform's load balancer
// does, until ctx is cancelled.
func (s *site) balance(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range s.liveEntries() {
			e.ready.Store(s.readyz(ctx, e))
		}
		time.Sleep(poll)
	}
}

func (s *site) readyz(ctx context.Context, e *entryProc) bool {
	ctx, cancel := context.WithTimeout(ctx, 4*poll)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/readyz", e.admin), nil)
	if err != nil {
		return false
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pick returns a random entry that is ready, or nil.
func (s *site) pick() *entryProc {
	var ready []*entryProc
	for _, e := range s.liveEntries() {
		if e.ready.Load() {
			ready = append(ready, e)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return ready[s.rng.IntN(len(ready))]
}

// edit replaces the configuration through the admin API of an entry. It returns
// the HTTP status and the revision that the edit got.
func (s *site) edit(e *entryProc, text string, ifMatch sched.Revision) (int, sched.Revision) {
	s.t.Helper()
	req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/v1/config", e.admin), strings.NewReader(text))
	require.NoError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("If-Match", fmt.Sprintf("%q", strconv.FormatUint(uint64(ifMatch), 10)))
	resp, err := s.http.Do(req)
	require.NoError(s.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(s.t, err)
	tag := resp.Header.Get("ETag")
	if tag == "" {
		tag = string(body)
	}
	revision, _ := strconv.ParseUint(strings.Trim(strings.TrimSpace(tag), `"`), 10, 64)
	return resp.StatusCode, sched.Revision(revision)
}

// apply stores a text as the first configuration. It retries because the entries
// may not have reached the store yet.
func (s *site) apply(text string) {
	s.t.Helper()
	s.await(startBound, "the first configuration is accepted", func() bool {
		status, _ := s.edit(s.liveEntries()[0], text, 0)
		return status == http.StatusOK
	})
}

// await polls until the condition holds and returns how long that took. It fails
// the test after the bound.
func (s *site) await(bound time.Duration, what string, cond func() bool) time.Duration {
	s.t.Helper()
	began := time.Now()
	for !cond() {
		if time.Since(began) > bound {
			require.FailNow(s.t, "condition not met in time", "%s within %v", what, bound)
		}
		time.Sleep(poll)
	}
	return time.Since(began)
}

// table returns the ownership table, or false if the store does not answer.
func (s *site) table() (owner.Table, bool) {
	item, err := s.store.Get(context.Background(), owner.Key)
	if err != nil {
		return owner.Table{}, false
	}
	table, err := owner.ParseTable(item.Value)
	require.NoError(s.t, err)
	return table, true
}

// heartbeat sends a heartbeat to an entry and returns the view in its answer.
func (s *site) heartbeat(e *entryProc) (peer.View, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return s.peers.Dial(e.peer).Heartbeat(ctx, peer.View{TableAge: -1, ListAge: -1})
}

// awaitServed waits until every entry knows an owner for every shard and the
// entries together offer the slots of all workers as free. Then every shard is
// served and no slot is lost.
func (s *site) awaitServed(bound time.Duration) {
	s.t.Helper()
	want := slots * workersPerProcess * len(s.workers)
	s.t.Cleanup(func() {
		if s.t.Failed() {
			s.logWorkers()
		}
	})
	s.await(bound, "all slots are served", func() bool {
		free := 0
		for _, e := range s.liveEntries() {
			v, err := s.heartbeat(e)
			if err != nil || !allOwned(v.Table) {
				return false
			}
			free += v.Slots["Orders"]
		}
		return free == want
	})
}

// logWorkers logs how each entry sees the workers of its shards.
func (s *site) logWorkers() {
	for _, e := range s.liveEntries() {
		req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v1/workers", e.admin), nil)
		require.NoError(s.t, err)
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := s.http.Do(req)
		if err != nil {
			s.t.Logf("workers of %s: %v", e.name, err)
			continue
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		s.t.Logf("workers of %s: %s %v", e.name, body, err)
	}
}

// allOwned reports whether a table names an owner for every shard.
func allOwned(value []byte) bool {
	table, err := owner.ParseTable(value)
	return err == nil && !slices.ContainsFunc(table.Shards, func(row owner.Shard) bool { return row.Owner.Name == "" })
}

// post calls an endpoint of a stand-in with an empty body.
func (s *site) post(addr, path string) {
	s.t.Helper()
	resp, err := s.http.Post("http://"+addr+path, "", nil)
	require.NoError(s.t, err)
	resp.Body.Close()
	require.Equal(s.t, http.StatusOK, resp.StatusCode, path)
}

// setFaults sets the faults of a stand-in.
func (s *site) setFaults(addr string, f any) {
	s.t.Helper()
	b, err := json.Marshal(f)
	require.NoError(s.t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+addr+"/fake/faults", bytes.NewReader(b))
	require.NoError(s.t, err)
	resp, err := s.http.Do(req)
	require.NoError(s.t, err)
	resp.Body.Close()
	require.Equal(s.t, http.StatusOK, resp.StatusCode)
}

// records returns what the stand-in at addr has recorded.
func records[T any](s *site, addr string) T {
	s.t.Helper()
	var out T
	resp, err := s.http.Get("http://" + addr + "/fake/records")
	require.NoError(s.t, err)
	defer resp.Body.Close()
	require.NoError(s.t, json.NewDecoder(resp.Body).Decode(&out))
	return out
}

// workerRecords returns the records of all workers, including crashed ones.
func (s *site) workerRecords() []fake.WorkerRecords {
	s.t.Helper()
	out := slices.Clone(s.crashed)
	for _, w := range s.workers {
		for _, addr := range w.control {
			out = append(out, records[fake.WorkerRecords](s, addr))
		}
	}
	return out
}

// check audits all answers that callers got against the records of the workers.
func (s *site) check() {
	s.t.Helper()
	for _, spec := range s.accepted {
		s.recordTasks(spec)
	}
	res := audit.Check(audit.Evidence{Workers: s.workerRecords(), Log: s.log.Snapshot()})
	require.Empty(s.t, res.Findings)
}
