package crowd

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/platform/setup"
	"github.com/mangoslip/mangoslip/platform/stand"
)

const (
	host, prefix = "queue.example", "/q/"
	// firstID and laterID are the ids of the ordinary jobs.
	firstID, laterID sched.JobID = "00000000000000a0", "00000000000000a1"
	// fewWorkers is the number of workers where it does not matter.
	fewWorkers = 2
	// waitLimit bounds waits for the process. It only keeps a failed test short.
	waitLimit = 30 * time.Second
)

// build builds the program once for all tests.
var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		return "", err
	}
	bin := filepath.Join(dir, "mangoslip")
	out, err := exec.Command("go", "build", "-buildvcs=false", "-o", bin, "github.com/mangoslip/mangoslip/cmd/mangoslip").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("build: %w: %s", err, out)
	}
	return bin, err
})

// entry is a running entry. done is closed when its process has ended.
type entry struct {
	t     *testing.T
	cmd   *exec.Cmd
	front string
	done  chan struct{}
}

// startEntry starts an entry on the given port and the three after it, and waits
// until it accepts a job. The settings are added to those of the stand-in.
func startEntry(t *testing.T, port, workers int, settings string) (*entry, *stand.Platform) {
	t.Helper()
	s, err := stand.New(1, workers)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	s.Configure(1, host, prefix)
	s.With(func(em *emul.Emulator) {
		submitJob(em, firstID)
		submitJob(em, laterID)
		for i := range connections {
			submitJob(em, clientID(i))
		}
	})
	e := startProcess(t, s, port, settings)
	e.requireAccepts(firstID)
	return e, s
}

// startProcess starts an entry on the given port and the three after it.
func startProcess(t *testing.T, s *stand.Platform, port int, settings string) *entry {
	t.Helper()
	bin, err := build()
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "settings")
	text := append(stand.Settings("e1", "dc0", port, s.StoreAddr), settings...)
	require.NoError(t, os.WriteFile(file, text, 0o600))
	e := &entry{t: t, cmd: exec.Command(bin, "serve", "-metrics-port", strconv.Itoa(port+3)), done: make(chan struct{})}
	e.front = fmt.Sprintf("127.0.0.1:%d", port)
	e.cmd.Env = append(os.Environ(), setup.Variable+"="+file)
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	e.cmd.Stderr = os.Stderr
	require.NoError(t, e.cmd.Start())
	go func() {
		_ = e.cmd.Wait()
		close(e.done)
	}()
	t.Cleanup(func() {
		_ = e.cmd.Process.Kill() // Fails if the process has ended.
		<-e.done
	})
	return e
}

// submitJob makes the workers know a job, as ordinaryJob describes it.
func submitJob(em *emul.Emulator, id sched.JobID) {
	step := sched.StepSpec{Count: 1, Resources: sched.Resources{CPU: 100, Memory: 64 << 20}}
	em.Submit(&sched.Workflow{ID: id, Queue: stand.Queue, Steps: []sched.StepSpec{step}}, emul.Work{Duration: 100 * time.Millisecond})
}

// clientID returns the id of the job of a client of the crowd.
func clientID(client int) sched.JobID { return sched.JobID(fmt.Sprintf("%016x", 0xc0000+client)) }

// lives reports whether the process has not ended.
func (e *entry) lives() bool {
	select {
	case <-e.done:
		return false
	default:
		return true
	}
}

// requireAccepts repeats a job of one task, as callers do, until it is accepted.
func (e *entry) requireAccepts(id sched.JobID) {
	e.t.Helper()
	e.requireEventually(http.MethodPost, id, ordinaryJob, "{}")
}

// requireSucceeds waits until a job has succeeded.
func (e *entry) requireSucceeds(id sched.JobID) {
	e.t.Helper()
	e.requireEventually(http.MethodGet, id, "", `{"state":"completed"}`)
}

// requireEventually repeats a request until it is answered with a body.
func (e *entry) requireEventually(method string, id sched.JobID, body, want string) {
	e.t.Helper()
	client := http.Client{Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	last := ""
	for began := time.Now(); last != want && time.Since(began) < waitLimit; time.Sleep(100 * time.Millisecond) {
		r, err := http.NewRequest(method, "http://"+e.front+prefix+string(id), strings.NewReader(body))
		require.NoError(e.t, err)
		r.Host = host
		resp, err := client.Do(r)
		if err != nil {
			last = err.Error()
			continue
		}
		b, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		last = string(b)
	}
	require.Equal(e.t, want, last, "%s of job %s", method, id)
}

// peakMemory returns the highest resident memory so far, in bytes.
func (e *entry) peakMemory() int {
	e.t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	require.NoError(e.t, err)
	_, rest, found := strings.Cut(string(b), "VmHWM:")
	require.True(e.t, found)
	n, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(e.t, err)
	return n << 10
}

// descriptors returns the number of open descriptors, or 0 if the process has ended.
func (e *entry) descriptors() int {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(files)
}

// requireServes checks that the process lives, serves an ordinary job to its end, and
// stays within its bounds.
func (e *entry) requireServes(id sched.JobID) {
	e.t.Helper()
	descriptors := e.descriptors()
	e.requireAccepts(id)
	e.requireSucceeds(id)
	require.True(e.t, e.lives(), "the process has ended")
	descriptors = max(descriptors, e.descriptors())
	e.t.Logf("resident memory %d MB at most; %d descriptors", e.peakMemory()>>20, descriptors)
	require.Less(e.t, e.peakMemory(), maxMemory, "resident memory")
	require.Less(e.t, descriptors, maxDescriptors, "descriptors")
}

// requireStops checks that the process ends on SIGTERM.
func (e *entry) requireStops() {
	e.t.Helper()
	require.NoError(e.t, e.cmd.Process.Signal(syscall.SIGTERM))
	require.Eventually(e.t, func() bool { return !e.lives() }, waitLimit, 20*time.Millisecond, "the process ends")
	require.Equal(e.t, 0, e.cmd.ProcessState.ExitCode())
}
