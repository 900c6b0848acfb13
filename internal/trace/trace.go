// Package trace runs state machines together in one thread and in virtual time,
// and records the messages and commands between them as a readable transcript.
//
// A line holds the virtual time, the machine, the message or command, and its
// fields as Key=Value. Fields with a zero value are omitted, except outcomes.
// Times are in seconds since the start; of a byte slice only the length is
// shown. Ticks are sent every 100 ms and are not recorded; the commands that
// they cause are.
//
// # Usage
//
//	t := trace.New()
//	keys := t.Add("Keys", dedup.New(), func(c sched.Cmd) { … })
//	keys.Send(dedup.AcquiredMsg{})
//	t.Run(time.Second)
//	goldie.New(test).Assert(test, "name", t.Bytes())
//
// The transcripts of the sessions in the tests are golden files in testdata.
// After an intended change, regenerate them and review the diff:
//
//	go test ./internal/trace -update
package trace

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// tickInterval is the interval of ticks, the longest that [sched.TickMsg]
// allows.
const tickInterval = 100 * time.Millisecond

// latency is the virtual time that a call to the store takes in each direction.
// Other calls are executed at once, and only their responses take this time.
const latency = 2 * time.Millisecond

// event is a function scheduled for a virtual time.
type event struct {
	at  time.Time
	run func()
}

// Trace runs a set of machines on one virtual clock and writes one transcript.
type Trace struct {
	start    time.Time
	now      time.Time
	lastTick time.Time
	events   []event
	nodes    []*Node
	out      bytes.Buffer
}

// New returns a trace that starts at a fixed time.
func New() *Trace {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &Trace{start: at, now: at, lastTick: at}
}

// Now returns the virtual time.
func (t *Trace) Now() time.Time { return t.now }

// Bytes returns the transcript.
func (t *Trace) Bytes() []byte { return t.out.Bytes() }

// After runs fn when d has passed. Functions that are due at the same time run
// in the order in which they were scheduled.
func (t *Trace) After(d time.Duration, fn func()) {
	at := t.now.Add(d)
	i, _ := slices.BinarySearchFunc(t.events, at, func(e event, at time.Time) int {
		if e.at.After(at) {
			return 1
		}
		return -1
	})
	t.events = slices.Insert(t.events, i, event{at: at, run: fn})
}

// Run advances the virtual clock by d and runs everything that is due,
// including the ticks.
func (t *Trace) Run(d time.Duration) {
	for end := t.now.Add(d); ; {
		next := t.lastTick.Add(tickInterval)
		if len(t.events) > 0 && !t.events[0].at.After(next) {
			next = t.events[0].at
		}
		if next.After(end) {
			t.now = end
			return
		}
		t.now = next
		if len(t.events) > 0 && !t.events[0].at.After(next) {
			do := t.events[0].run
			t.events = t.events[1:]
			do()
			continue
		}
		t.lastTick = next
		for _, n := range t.nodes {
			n.deliver(sched.TickMsg{})
		}
	}
}

// Record records an event that is not a message or a command of a machine, such
// as a crash. Fields is a struct whose fields are shown, or nil.
func (t *Trace) Record(source, event string, fields any) {
	fmt.Fprintf(&t.out, "%8.3f %-15s %s%s\n", t.now.Sub(t.start).Seconds(), source, event, t.fields(fields))
}

// Node is one machine of a trace.
type Node struct {
	t      *Trace
	name   string
	m      sched.Machine
	exec   func(sched.Cmd)
	hidden []reflect.Type
	paused bool
	inbox  []sched.Msg
}

// Add adds a machine. Exec executes its commands and may be nil.
func (t *Trace) Add(name string, m sched.Machine, exec func(sched.Cmd)) *Node {
	n := &Node{t: t, name: name, m: m, exec: exec}
	t.nodes = append(t.nodes, n)
	return n
}

// Remove removes machines, as a crash of their process does. Messages to them
// are dropped.
func (t *Trace) Remove(nodes ...*Node) {
	for _, n := range nodes {
		n.exec, n.m = nil, nil
	}
	t.nodes = slices.DeleteFunc(t.nodes, func(n *Node) bool { return slices.Contains(nodes, n) })
}

// Pause stops all machines of an entry; their names begin with the entry's name
// and a dot. Messages to them are queued, ticks are dropped.
func (t *Trace) Pause(entry sched.EntryName) {
	t.Record(string(entry), "Paused", nil)
	for _, n := range t.nodesOf(entry) {
		n.paused = true
	}
}

// Resume continues the machines of a paused entry. Each gets its queued
// messages in the order in which they were sent.
func (t *Trace) Resume(entry sched.EntryName) {
	t.Record(string(entry), "Resumed", nil)
	for _, n := range t.nodesOf(entry) {
		n.paused = false
		inbox := n.inbox
		n.inbox = nil
		for _, msg := range inbox {
			n.Send(msg)
		}
	}
}

// nodesOf returns the machines of an entry.
func (t *Trace) nodesOf(entry sched.EntryName) []*Node {
	var nodes []*Node
	for _, n := range t.nodes {
		if strings.HasPrefix(n.name, string(entry)+".") {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// Hide omits messages and commands from the transcript that have the type of
// one of the examples.
func (n *Node) Hide(examples ...any) *Node {
	for _, e := range examples {
		n.hidden = append(n.hidden, reflect.TypeOf(e))
	}
	return n
}

// Send delivers a message at the current time, after everything else that is
// due.
func (n *Node) Send(msg sched.Msg) { n.t.After(0, func() { n.deliver(msg) }) }

// Reply delivers a message after the latency of a response.
func (n *Node) Reply(msg sched.Msg) { n.t.After(latency, func() { n.deliver(msg) }) }

// deliver passes a message to the machine and executes the commands that it
// returns.
func (n *Node) deliver(msg sched.Msg) {
	_, tick := msg.(sched.TickMsg)
	switch {
	case n.m == nil || n.paused && tick:
		return
	case n.paused:
		n.inbox = append(n.inbox, msg)
		return
	}
	if !tick {
		n.record("<", msg)
	}
	for _, c := range n.m.Update(n.t.now, msg) {
		n.record(">", c)
		if n.exec != nil {
			n.exec(c)
		}
	}
}

// record writes a message or command to the transcript, unless its type is
// hidden.
func (n *Node) record(direction string, v any) {
	if !slices.Contains(n.hidden, reflect.TypeOf(v)) {
		n.t.Record(n.name, direction+" "+reflect.TypeOf(v).Name(), v)
	}
}
