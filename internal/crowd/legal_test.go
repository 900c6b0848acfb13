package crowd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/platform/stand"
)

const (
	legalPort   = firstPort + 100
	manyWorkers = 40
	// legalLimit bounds how long a client sends jobs.
	legalLimit = 20 * time.Second
	// step is a step of an ordinary job, without its end.
	step = `{"count":1,"cpu":100,"mem-mb":64,"estimate-ms":100`
	// takeoverID is the id of the ordinary job that is sent to the second process.
	takeoverID sched.JobID = "00000000000000a2"
)

// job returns a job with the given steps.
func job(steps ...string) string { return `{"spec":"x","steps":[` + strings.Join(steps, ",") + `]}` }

// repeat returns n steps, each of which f describes by its index.
func repeat(n int, f func(i int) string) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = f(i)
	}
	return out
}

// legalCrowd is a number of clients, each of which sends the same job, under ids of its
// own, again and again. The text @id in the body stands for the id of the job.
type legalCrowd struct {
	name          string
	workers       int
	clients, jobs int
	body          string
}

// crowds are the shapes of legal jobs that take much memory or processor time.
var crowds = []legalCrowd{
	{"LongImages", fewWorkers, 40, 30, job(step + `,"image":"@id` + strings.Repeat("i", 200_000) + `"}`)},
	{"LongAffinity", fewWorkers, 40, 15, job(repeat(90, func(int) string {
		return step + `,"affinity":"` + strings.Repeat("a", 2_700) + `"}`
	})...)},
	{"ManyImages", fewWorkers, 20, 20, job(repeat(500, func(i int) string {
		return fmt.Sprintf(`%s,"image":"@id-%d"}`, step, i)
	})...)},
	{"ManyTasks", fewWorkers, 40, 5, job(strings.Replace(step, `"count":1`, `"count":50000`, 1) + `}`)},
	{"SmallSteps", fewWorkers, 40, 5, job(repeat(20_000, func(int) string { return `{"count":1}` })...)},
	{"LongText", fewWorkers, 300, 8, strings.Replace(ordinaryJob, `"x"`, `"`+strings.Repeat("x", 262_000)+`"`, 1)},
	{"EmptySteps", fewWorkers, 4, 4, strings.Replace(job(repeat(10_000, func(int) string { return "{}" })...),
		`"spec"`, `"repeat-count":100000,"first-run-ms":1,"interval-ms":1,"spec"`, 1)},
	{"IndependentSteps", fewWorkers, 1, 1, job(repeat(5_000, func(int) string { return step + `}` })...)},
	{"ChainedSteps", fewWorkers, 1, 1, job(repeat(3_000, func(i int) string {
		return strings.Replace(fmt.Sprintf(`%s,"after":[%d]}`, step, i-1), `,"after":[-1]`, "", 1)
	})...)},
	{"DenseSteps", fewWorkers, 1, 1, job(repeat(300, func(i int) string {
		after := strings.Join(repeat(i, func(k int) string { return fmt.Sprint(k) }), ",")
		return step + `,"after":[` + after + `]}`
	})...)},
	{"WideGang", fewWorkers, 1, 1, job(strings.Replace(step, `"count":1`, `"count":10000`, 1) + `,"gang":true}`)},
	{"NoNeeds", fewWorkers, 40, 5, job(`{"count":5000,"estimate-ms":100}`)},
	{"PerpetualNoNeeds", fewWorkers, 40, 5, job(`{"count":5000,"estimate-ms":100,"perpetual":true}`)},
	{"TinyGang", manyWorkers, 1, 1, job(`{"count":10000,"cpu":1,"mem-mb":1,"estimate-ms":100,"gang":true}`)},
	{"StartedGang", manyWorkers, 1, 1, job(`{"count":3000,"cpu":1,"mem-mb":1,"estimate-ms":100,"gang":true}`)},
	{"ManyGangs", fewWorkers, 20, 10, job(repeat(10, func(int) string {
		return strings.Replace(step, `"count":1`, `"count":250`, 1) + `,"gang":true}`
	})...)},
	{"Spread", fewWorkers, 20, 10, job(repeat(200, func(i int) string {
		return fmt.Sprintf(`%s,"image":"i%d","requires":"kind=%d","anti-affinity":1}`, step, i, i)
	})...)},
}

// id returns the id of a job of a client.
func (c *legalCrowd) id(client, n int) sched.JobID { return clientID(client*c.jobs + n) }

// submit makes the workers know the jobs of the crowd.
func (c *legalCrowd) submit(t *testing.T, em *emul.Emulator) {
	var in struct {
		Steps []struct {
			Count  int   `json:"count"`
			CPU    int64 `json:"cpu"`
			Memory int64 `json:"mem-mb"`
			Gang   bool  `json:"gang"`
		} `json:"steps"`
	}
	require.NoError(t, json.Unmarshal([]byte(c.body), &in))
	var steps []sched.StepSpec
	for _, s := range in.Steps {
		steps = append(steps, sched.StepSpec{
			Count: s.Count, Gang: s.Gang, Resources: sched.Resources{CPU: sched.MilliCPU(s.CPU), Memory: sched.Bytes(s.Memory) << 20},
		})
	}
	for i := range c.clients * c.jobs {
		em.Submit(&sched.Workflow{ID: clientID(i), Queue: stand.Queue, Steps: steps}, emul.Work{Duration: 100 * time.Millisecond})
	}
}

// send sends all jobs and returns how many were accepted. Each client waits for the
// answer before it sends its next job.
func (c *legalCrowd) send(e *entry) int {
	var clients sync.WaitGroup
	var accepted atomic.Int64
	until := time.Now().Add(legalLimit)
	for i := range c.clients {
		clients.Go(func() {
			client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := 0; n < c.jobs && time.Now().Before(until) && e.lives(); n++ {
				if c.sendOne(&client, e, c.id(i, n)) {
					accepted.Add(1)
				}
			}
		})
	}
	clients.Wait()
	return int(accepted.Load())
}

// sendOne sends one job and reports whether it was accepted.
func (c *legalCrowd) sendOne(client *http.Client, e *entry, id sched.JobID) bool {
	body := strings.ReplaceAll(c.body, "@id", string(id))
	r, err := http.NewRequest(http.MethodPost, "http://"+e.front+prefix+string(id), strings.NewReader(body))
	if err != nil {
		return false
	}
	r.Host = host
	resp, err := client.Do(r)
	if err != nil {
		return false // The entry may close connections.
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // The status tells the outcome.
	return resp.StatusCode == http.StatusOK
}

// Guards against legal jobs that take so much memory or processor time that the leader
// exceeds the memory of its machine or answers nobody, and against those that do so to
// the next leader. The entry leads.
func TestLegalCrowd(t *testing.T) {
	for i, c := range crowds {
		t.Run(c.name, func(t *testing.T) {
			require.LessOrEqual(t, len(strings.ReplaceAll(c.body, "@id", string(laterID))), maxBody)
			port := legalPort + 10*i
			e, s := startEntry(t, port, c.workers, settings)
			s.With(func(em *emul.Emulator) {
				c.submit(t, em)
				submitJob(em, takeoverID)
			})
			accepted := c.send(e)
			t.Logf("%d of %d jobs accepted", accepted, c.clients*c.jobs)
			e.requireServes(laterID)
			require.NoError(t, e.cmd.Process.Kill())
			<-e.done
			next := startProcess(t, s, port+5, settings)
			next.requireServes(takeoverID)
			next.requireStops()
		})
	}
}
