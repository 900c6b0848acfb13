package procs

import (
	"bufio"
	"bytes"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// exitTimeout bounds the wait for a process to print its addresses, or to end
// after SIGKILL.
const exitTimeout = 20 * time.Second

// proc is a running process of the program under test.
type proc struct {
	t    testing.TB
	name string
	cmd  *exec.Cmd
	// lines receives the lines of standard output. done is closed when the
	// process has ended.
	lines chan string
	done  chan struct{}

	mu  sync.Mutex
	log bytes.Buffer
}

// Write implements [io.Writer] and collects standard error.
func (p *proc) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// logOutput returns what the process has written to standard error.
func (p *proc) logOutput() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// start runs the program. The process is killed at the end of the test, and when
// the test process itself is killed.
func start(t testing.TB, name string, args ...string) *proc {
	t.Helper()
	p := &proc{t: t, name: name, lines: make(chan string, 64), done: make(chan struct{})}
	p.cmd = exec.Command(binary, args...)
	p.cmd.Env = append(os.Environ(), "MANGOSLIP_TOKEN="+token)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.cmd.Stderr = p
	out, err := p.cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, p.cmd.Start())
	t.Cleanup(p.cleanUp)
	go func() {
		defer close(p.done)
		for sc := bufio.NewScanner(out); sc.Scan(); {
			p.lines <- sc.Text()
		}
		_ = p.cmd.Wait()
	}()
	return p
}

// readValues returns the values of the next line of standard output, which has
// the form "a=1 b=2".
func (p *proc) readValues() map[string]string {
	p.t.Helper()
	select {
	case line := <-p.lines:
		out := map[string]string{}
		for _, f := range strings.Fields(line) {
			k, v, _ := strings.Cut(f, "=")
			out[k] = v
		}
		return out
	case <-p.done:
		require.FailNow(p.t, "process ended", "%s: %s", p.name, p.logOutput())
	case <-time.After(exitTimeout):
		require.FailNow(p.t, "process printed no address", "%s: %s", p.name, p.logOutput())
	}
	return nil
}

func (p *proc) signal(s syscall.Signal) {
	p.t.Helper()
	require.NoError(p.t, p.cmd.Process.Signal(s), p.name)
}

// wait waits until the process has ended and returns its exit status.
func (p *proc) wait(timeout time.Duration) int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(timeout):
		require.FailNow(p.t, "process did not end", "%s: %s", p.name, p.logOutput())
	}
	return p.cmd.ProcessState.ExitCode()
}

// cleanUp kills the process if it still runs, and fails the test if the process
// reported a data race or a panic.
func (p *proc) cleanUp() {
	// Both calls fail if the process has ended.
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	select {
	case <-p.done:
	case <-time.After(exitTimeout):
		p.t.Errorf("process %d of %s still runs after SIGKILL", p.cmd.Process.Pid, p.name)
	}
	log := p.logOutput()
	if strings.Contains(log, "DATA RACE") || strings.Contains(log, "panic: ") {
		p.t.Errorf("%s reported a race or a panic:\n%s", p.name, log)
	} else if p.t.Failed() {
		p.t.Logf("last lines of %s:\n%s", p.name, log[max(0, len(log)-maxLog):])
	}
}

// maxLog is how many bytes at the end of a process's log are shown if a test
// failed.
const maxLog = 6000
