//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service = "commissions"
	host    = "queue.example"
	// plans and quotes are the prefixes of the two queues.
	plans  = "/plans/"
	quotes = "/quotes/"
)

// entry is a process of the system. It is started again whenever it ends.
type entry struct {
	name  string
	door  *door
	front string
	ready string
	conf  string
	root  string
	port  int
	log   *os.File
	rec   *recorder

	mu   sync.Mutex
	cmd  *exec.Cmd
	over bool
	done chan struct{}
}

// The ports of the entries lie below those that the kernel gives to outgoing connections.
const (
	lowestPort  = 20000
	highestPort = 32000
)

func freePort() (int, error) {
	for range 100 {
		p := lowestPort + rand.IntN(highestPort-lowestPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err == nil {
			return p, l.Close()
		}
	}
	return 0, errors.New("no free port")
}

// newEntry writes the settings of an entry and starts it.
func newEntry(name, dir, root, advice string, s *store, rec *recorder) (*entry, error) {
	var ports [4]int
	for i := range ports {
		p, err := freePort()
		if err != nil {
			return nil, err
		}
		ports[i] = p
	}
	d := newDoor(s)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, d) }() // It ends with the process.
	text := fmt.Sprintf(`node=%s
role=entry
machine-class=front
serves=front
ip=127.0.0.1
zone=zone-a
region=region-a
zones.zone-a=region-a
listen.front=127.0.0.1:%d
listen.ready=127.0.0.1:%d
internal-ports=%d,%d
bootstrap=true
in-tolerance=false
limits.cpu-share=0.16
limits.cores=1
limits.memory-mb=284
limits.max-fds=4100
limits.link-mbps=1000.0
limits.disk-mb=0
discovery=platform
entry=vip
heartbeat-ms=%d
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
bounds.stable-window-ms=3000
bounds.ack-ms=4000
bounds.drain-ms=2000
bounds.grace-s=6
bounds.loss-slack-ms=200
bounds.config-apply-ms=2000
bounds.recovery-s=12
bounds.hold-max-ms=%d
bounds.stop-ms=%d
bounds.gang-ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.far-factor=3
bounds.save-s=2
bounds.restore-ms=600
bounds.notice-ms=4500
bounds.lease-ms=3000
bounds.pace-ms=100
bounds.harm-ms=4000
orders=invocation
advice=%s
platform.address=%s
platform.form=kv
platform.writes-per-s=400
platform.reads-per-s=2000
platform.history-s=20
platform.value-bytes=1048576
platform.ttl-min-ms=1000
`, name, ports[0], ports[1], ports[2], ports[2], heartbeat.Milliseconds(), holdMax.Milliseconds(), stopTime.Milliseconds(), advice, l.Addr())
	e := &entry{
		name: name, door: d, root: root, port: ports[3], rec: rec, conf: filepath.Join(dir, name+".conf"),
		front: fmt.Sprintf("http://127.0.0.1:%d", ports[0]), ready: fmt.Sprintf("http://127.0.0.1:%d/-/readiness", ports[1]),
	}
	if err := os.WriteFile(e.conf, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if e.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	return e, e.start()
}

// start starts the process with the command of the deploy file, and again after each end.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.over {
		return nil
	}
	cmd := exec.Command("target/mangoslip", "serve")
	cmd.Dir = e.root
	cmd.Env = append(os.Environ(), "MANGOSLIP_NODE_FILE="+e.conf, fmt.Sprintf("MANGOSLIP_METRICS_PORT=%d", e.port))
	cmd.Stdout, cmd.Stderr = e.log, e.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	e.cmd, e.done = cmd, done
	go func() {
		_ = cmd.Wait() // It is started again, however it ended.
		close(done)
		time.Sleep(300 * time.Millisecond)
		if err := e.start(); err != nil {
			e.rec.line("start %s: %v", e.name, err)
		}
	}()
	return nil
}

// end kills the process for good.
func (e *entry) end() {
	e.mu.Lock()
	e.over = true
	done := e.done
	_ = e.cmd.Process.Kill()
	e.mu.Unlock()
	<-done
	_ = e.log.Close()
}

// isReady asks the readiness check.
func (e *entry) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(e.ready)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// patience is how long clients wait for an answer.
const patience = 3 * time.Second

// call sends a client's request. The status is 0 if there is no complete answer.
func (e *entry) call(method, path, body string) (int, string) {
	return e.callFor(patience, method, path, body)
}

// callFor does the same for a client that leaves after d.
func (e *entry) callFor(d time.Duration, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, e.front+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Timeout-Ms", "3000")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		e.rec.line("client %s %s at %s: %v", method, path, e.name, err)
		return 0, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	e.rec.line("client %s %s at %s: %d %s", method, path, e.name, resp.StatusCode, strings.TrimSpace(string(b)))
	return resp.StatusCode, string(b)
}
