package soak

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/platform/setup"
	"github.com/mangoslip/mangoslip/platform/stand"
)

// proxy forwards the connections of one entry to the store. While cut is set it
// holds data back; delay is the additional time in nanoseconds for each read.
// Connections that were silenced forward nothing any more, and stay open.
type proxy struct {
	l     net.Listener
	to    string
	cut   atomic.Bool
	delay atomic.Int64

	mu sync.Mutex
	// conns holds the open connections, and whether they were silenced.
	conns map[net.Conn]connState
}

// connState is the state of a connection of a proxy.
type connState uint8

const (
	connClosed connState = iota
	connOpen
	connSilent
)

func newProxy(t *testing.T, to netip.AddrPort) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{l: l, to: to.String(), conns: map[net.Conn]connState{}}
	go p.accept()
	t.Cleanup(func() { _ = l.Close(); p.reset() })
	return p
}

func (p *proxy) addr() netip.AddrPort { return netip.MustParseAddrPort(p.l.Addr().String()) }

func (p *proxy) accept() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	up, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[up] = connOpen, connOpen
	p.mu.Unlock()
	go p.copy(up, c)
	p.copy(c, up)
}

// copy forwards bytes in one direction. While the proxy is cut it holds them back
// and closes nothing, as a network partition does.
func (p *proxy) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for err == nil && (p.cut.Load() || p.state(from) == connSilent) {
			time.Sleep(10 * time.Millisecond)
			if p.state(from) == connClosed {
				return
			}
		}
		time.Sleep(time.Duration(p.delay.Load()))
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			p.mu.Lock()
			delete(p.conns, from)
			p.mu.Unlock()
			return
		}
	}
}

// state returns the state of a connection.
func (p *proxy) state(c net.Conn) connState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[c]
}

// silence silences the open connections. Later ones are not affected.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.conns[c] = connSilent
	}
}

// reset closes all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}

// process is an entry that is started again whenever it ends.
type process struct {
	t     *testing.T
	name  string
	bin   string
	file  string
	out   *os.File
	proxy *proxy
	front string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// ended means that the process is not started again.
	ended bool
}

// newProcess starts an entry that uses four ports from the given one on.
func newProcess(t *testing.T, dir, bin, name string, port int, s *stand.Platform) *process {
	p := &process{
		t: t, name: name, bin: bin, file: filepath.Join(dir, name+".conf"),
		proxy: newProxy(t, s.StoreAddr), front: fmt.Sprintf("http://127.0.0.1:%d", port),
	}
	require.NoError(t, os.WriteFile(p.file, stand.Settings(name, "dc0", port, p.proxy.addr()), 0o600))
	out, err := os.Create(filepath.Join(dir, name+".log"))
	require.NoError(t, err)
	p.out = out
	p.start(port)
	return p
}

// start starts the process, and again 200 ms after each end.
func (p *process) start(port int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return
	}
	cmd := exec.Command(p.bin, "serve", "-metrics-port", fmt.Sprint(port+3), "-carry-from", "4")
	cmd.Env = append(os.Environ(), setup.Variable+"="+p.file)
	cmd.Stdout, cmd.Stderr = p.out, p.out
	if err := cmd.Start(); err != nil {
		p.t.Errorf("start %s: %v", p.name, err)
		return
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait() // It is started again, however it ended.
		close(done)
		time.Sleep(200 * time.Millisecond)
		p.start(port)
	}()
}

// signal sends a signal to the process that this test started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s) // The process may have ended meanwhile.
	}
}

// end kills the process and does not start it again.
func (p *process) end() {
	p.mu.Lock()
	p.ended = true
	done := p.done
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	if done != nil {
		<-done
	}
	_ = p.out.Close()
}

// build builds the program once for all seeds.
var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", err
	}
	bin := filepath.Join(dir, "mangoslip")
	cmd := exec.Command("go", "build", "-o", bin, "github.com/mangoslip/mangoslip/cmd/mangoslip")
	cmd.Stderr = io.Discard
	return bin, cmd.Run()
})
