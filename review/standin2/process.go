package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimit is the memory that a process may use. The platform kills one that
	// exceeds it.
	memoryLimit = 284 << 20
	// restartDelay is how long after its end a process is started again.
	restartDelay = 500 * time.Millisecond
	// memoryInterval is the interval between two readings of a process's memory.
	memoryInterval = 20 * time.Millisecond
	frontPort      = 8161
	readyPort      = 8167
	internalPort   = 7720
	metricsPort    = 9600
)

// process is an entry, run with the command of the deploy file. As the platform does, it
// is started again after each end, and killed when it exceeds its memory.
type process struct {
	world *world
	name  string
	ip    string
	file  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// over means that the process is not started again.
	over bool
	// overLimit counts the ends for memory over the limit, and peak is the most memory
	// that was read.
	overLimit int
	peak      int64
}

// command is the run line of the deploy file.
var command = []string{"target/mangoslip", "serve"}

func newProcess(w *world, n int) (*process, error) {
	zones := []string{"nyarugenge", "kicukiro", "gasabo"}
	zone := zones[n%len(zones)]
	p := &process{world: w, name: fmt.Sprintf("front-%s-%d", zone, n/len(zones)+1), ip: fmt.Sprintf("%s.%d", w.net, n+1)}
	p.file = filepath.Join(w.dir, p.name+".conf")
	return p, os.WriteFile(p.file, []byte(settings(p.name, zone, p.ip, w.storeAddr)), 0o600)
}

// settings returns the settings file of an entry, with the limits and bounds of the small
// site kmiw-sched.
func settings(name, zone, ip, storeAddr string) string {
	return fmt.Sprintf(`node=%[1]s
role=entry
machine-class=front
serves=front
ip=%[3]s
zone=%[2]s
region=kigali
listen.front=%[3]s:%[4]d
listen.ready=%[3]s:%[5]d
internal-ports=%[6]d,%[7]d
limits.cpu-share=0.16
limits.cores=1
limits.memory-mb=%[8]d
limits.max-fds=4100
heartbeat-ms=1500
bounds.stable-window-ms=3000
bounds.ack-ms=4000
bounds.drain-ms=2000
bounds.grace-s=6
bounds.config-apply-ms=2000
bounds.recovery-s=12
bounds.hold-max-ms=6000
bounds.stop-ms=400
bounds.gang-ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.finish_s=14
bounds.status_s=120
bounds.far-factor=3
bounds.save-s=2
bounds.restore-ms=600
orders=invocation
platform.address=%[9]s
platform.form=kv
platform.writes-per-s=400
platform.reads-per-s=2000
platform.history-s=20
platform.value-bytes=1048576
platform.ttl-min-ms=1000
`, name, zone, ip, frontPort, readyPort, internalPort, internalPort+15, memoryLimit>>20, storeAddr)
}

// portsAreFree reports whether an entry can listen at an address.
func portsAreFree(ip string) bool {
	for _, port := range []int{frontPort, readyPort, internalPort, metricsPort} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// start starts the process, and again after each end.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over {
		return
	}
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Dir = p.world.root
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		cmd.Env = append(cmd.Env, name+"="+os.Getenv(name))
	}
	cmd.Env = append(cmd.Env, "MANGOSLIP_NODE_FILE="+p.file)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := os.OpenFile(filepath.Join(p.world.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err == nil {
		cmd.Stdout, cmd.Stderr = out, out
		err = cmd.Start()
		_ = out.Close()
	}
	if err != nil {
		p.world.cannotRun("start %s: %v", p.name, err)
		return
	}
	p.world.note("%s: process started", p.name)
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go p.watchMemory(cmd.Process, done)
	go func() {
		err := cmd.Wait()
		close(done)
		p.world.note("%s: process ended: %v", p.name, err)
		time.Sleep(restartDelay)
		p.start()
	}()
}

// watchMemory kills the process when it uses more memory than its limit.
func (p *process) watchMemory(proc *os.Process, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(memoryInterval):
		}
		used := residentMemory(proc.Pid)
		p.mu.Lock()
		p.peak = max(p.peak, used)
		p.mu.Unlock()
		if used > memoryLimit {
			p.mu.Lock()
			p.overLimit++
			p.mu.Unlock()
			p.world.note("%s: uses %d MB of memory, limit %d MB; killed", p.name, used>>20, memoryLimit>>20)
			_ = proc.Kill()
			return
		}
	}
}

// residentMemory returns the resident memory of a process in bytes, 0 if it has ended.
func residentMemory(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.world.note("%s: signal %v", p.name, s)
		_ = p.cmd.Process.Signal(s) // The process may have ended meanwhile.
	}
}

// stop kills the process and does not start it again.
func (p *process) stop() {
	p.mu.Lock()
	p.over = true
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-done
	}
}

func (p *process) front() string { return fmt.Sprintf("http://%s:%d", p.ip, frontPort) }
