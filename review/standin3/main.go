//go:build review

// Command standin3 plays the cases of the third review: it starts entries as processes of
// their own, and plays their platform, workers and clients on loopback addresses.
//
// Usage:
//
//	standin3 -case NAME -program target/mangoslip -record record.txt
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	held   = 0
	broken = 1
	unable = 2
)

var cases = map[string]func(w *world, trouble bool) int{
	"crowded":  crowded,
	"shadowed": shadowed,
}

func main() {
	name := flag.String("case", "", "the case")
	program := flag.String("program", "", "the system's program")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *program, *record))
}

// play plays a case and ends its processes.
func play(name, program, record string) int {
	f := cases[name]
	if f == nil {
		fmt.Println("no case", name)
		return unable
	}
	out, err := os.Create(record)
	if err != nil {
		fmt.Println(err)
		return unable
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		fmt.Println(err)
		return unable
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	w := &world{
		store: newStore(400, 2000), service: "huvo11a", host: "noje8.example", dir: dir, program: program,
		began: time.Now(), record: out, jobs: map[string]*job{},
	}
	defer w.end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() { result <- f(w, os.Getenv("TROUBLE") != "0") }()
	select {
	case code := <-result:
		w.logf("result %d", code)
		return code
	case <-interrupted:
	case <-time.After(118 * time.Second):
		w.logf("the case took too long")
	}
	return unable
}

// end ends all processes.
func (w *world) end() {
	for _, e := range w.entries {
		if e.cmd != nil && e.alive() {
			e.kill()
		}
	}
}

// build starts the store and the workers, of which the first few are of kind b, and prepares
// the entries.
func (w *world) build(workers, ofKindB, entries int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: w.store}).Serve(l) }()
	go w.store.run(make(chan struct{}))
	for n := range workers {
		kind := "a"
		if n < ofKindB {
			kind = "b"
		}
		x, err := newWorker(w, n, kind)
		if err != nil {
			return err
		}
		w.workers = append(w.workers, x)
	}
	for n := range entries {
		if _, err := w.addEntry(fmt.Sprintf("front-%d", n+1), l.Addr().String()); err != nil {
			return err
		}
	}
	return nil
}

// startAll starts all entries and waits until they are ready.
func (w *world) startAll() bool {
	for _, e := range w.entries {
		if err := e.start(); err != nil {
			w.logf("entry %s: %v", e.name, err)
			return false
		}
	}
	ready := await(15*time.Second, func() bool {
		for _, e := range w.entries {
			if !e.ready() {
				return false
			}
		}
		return true
	})
	w.logf("all entries are ready: %t", ready)
	return ready
}

// newID returns the id of job n.
func newID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+uint64(n)) }
