package trace

import (
	"net/netip"
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/commit"
	"github.com/mangoslip/mangoslip/pkg/sched/config"
	"github.com/mangoslip/mangoslip/pkg/sched/owner"
)

// pollInterval is the interval between two reads of the instance list.
const pollInterval = 250 * time.Millisecond

// Journal adds the journal machine of a shard. The machines in appenders get the
// results of the records that they appended; exec executes all commands that
// are not store calls or results.
func (t *Trace) Journal(name string, s *Store, m *commit.Machine, appenders map[sched.RecordKind]*Node, exec func(sched.Cmd)) *Node {
	n := t.Add(name, m, nil)
	n.exec = func(c sched.Cmd) {
		switch c := c.(type) {
		case commit.WriteCmd:
			s.Put(c.Key, c.Value, c.Prev, func(v sched.Version, err error) {
				if err != nil {
					n.deliver(commit.WriteFailedMsg{ID: c.ID, Err: err})
					return
				}
				n.deliver(commit.WriteDoneMsg{ID: c.ID, Version: v})
			})
		case commit.ReadCmd:
			s.Get(c.Key, func(it sched.Item, err error) { n.deliver(commit.ReadDoneMsg{Item: it, Err: err}) })
		case commit.DoneCmd:
			for _, w := range c.Waiters {
				appenders[w.From].Send(sched.CommittedMsg{Ticket: w.Ticket})
			}
		case commit.FailedCmd:
			for _, w := range c.Waiters {
				appenders[w.From].Send(sched.CommitFailedMsg{Ticket: w.Ticket, Reason: c.Reason, Lost: c.Lost})
			}
		default:
			exec(c)
		}
	}
	return n
}

// Append sends a record to a journal. From is the kind of the record; it
// selects the machine that gets the result.
func (n *Node) Append(from sched.RecordKind, c sched.AppendCmd) {
	n.Send(commit.AppendMsg{Waiter: commit.Waiter{From: from, Ticket: c.Ticket}, Record: c.Record})
}

// Config adds the configuration machine of an entry. Values that it reads are
// delivered with [config.SourcePoll].
func (t *Trace) Config(name string, s *Store, m *config.Machine) *Node {
	n := t.Add(name, m, nil)
	n.exec = func(c sched.Cmd) {
		switch c := c.(type) {
		case config.WriteCmd:
			s.Put(c.Key, c.Value, c.Prev, func(v sched.Version, err error) {
				if err != nil {
					n.deliver(config.WriteFailedMsg{ID: c.ID, Err: err})
					return
				}
				n.deliver(config.WriteDoneMsg{ID: c.ID, Version: v})
			})
		case config.ReadCmd:
			s.Get(c.Key, func(it sched.Item, _ error) {
				n.deliver(config.StoredMsg{Key: c.Key, Value: it.Value, Version: it.Version, Source: config.SourcePoll, Read: c.Read})
			})
		}
	}
	return n
}

// List is the platform's instance list. Reads see the state of [owner.ListLag]
// ago, the longest lag that the platform allows.
type List struct {
	t       *Trace
	current []sched.Instance
	changes []listState
}

// listState is the content of the list from a point in time on.
type listState struct {
	at        time.Time
	instances []sched.Instance
}

// NewList returns an empty list.
func NewList(t *Trace) *List { return &List{t: t} }

// Add lists an entry as live. Its address is that of [Address].
func (l *List) Add(name sched.EntryName, generation uint64) {
	l.current = append(slices.Clone(l.current), sched.Instance{
		Name: string(name), Role: sched.RoleEntry, State: sched.StateLive,
		DataCentre: "a", Generation: generation, Control: Address(name),
	})
	l.changes = append(l.changes, listState{l.t.now, l.current})
}

// Leave marks an entry as leaving.
func (l *List) Leave(name sched.EntryName) {
	l.t.Record("List", "Leaving "+string(name), nil)
	l.current = slices.Clone(l.current)
	for i := range l.current {
		if l.current[i].Name == string(name) {
			l.current[i].State = sched.StateLeaving
		}
	}
	l.changes = append(l.changes, listState{l.t.now, l.current})
}

// Drop removes an entry.
func (l *List) Drop(name sched.EntryName) {
	l.t.Record("List", "Dropped "+string(name), nil)
	l.current = slices.DeleteFunc(slices.Clone(l.current), func(in sched.Instance) bool { return in.Name == string(name) })
	l.changes = append(l.changes, listState{l.t.now, l.current})
}

// visible returns what a read returns now.
func (l *List) visible() []sched.Instance {
	for _, c := range slices.Backward(l.changes) {
		if !c.at.After(l.t.now.Add(-owner.ListLag)) {
			return c.instances
		}
	}
	return nil
}

// Address returns the peer address of an entry. The port is the code of the last
// character of its name.
func Address(name sched.EntryName) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name[len(name)-1]))
}

// Owner adds the ownership machine of an entry, with the polls of the instance
// list and the watch of the ownership table. Reads and writes of the table are
// hidden in the transcript; the store records each version of the table as one
// line. Exec executes the commands that are not store calls.
func (t *Trace) Owner(name string, s *Store, l *List, m *owner.Machine, exec func(sched.Cmd)) *Node {
	n := t.Add(name, m, nil).Hide(
		owner.ReadTableCmd{}, owner.TableReadMsg{}, owner.ListReadMsg{},
		owner.WriteTableCmd{}, owner.TableWrittenMsg{},
	)
	n.exec = func(c sched.Cmd) {
		switch c := c.(type) {
		case owner.ReadTableCmd:
			sent := t.now
			s.Get(owner.Key, func(it sched.Item, _ error) {
				n.deliver(owner.TableReadMsg{SentAt: sent, Value: it.Value, Version: it.Version})
			})
		case owner.WriteTableCmd:
			s.Put(owner.Key, c.Value, c.Prev, func(v sched.Version, err error) {
				if err != nil {
					n.deliver(owner.TableWriteFailedMsg{ID: c.ID, Err: err})
					return
				}
				n.deliver(owner.TableWrittenMsg{ID: c.ID, Version: v})
			})
		default:
			exec(c)
		}
	}
	// The SentAt of a watch response is the time at which its long poll was
	// opened.
	opened := t.now
	s.Watch(owner.Key, func(it sched.Item) {
		t.After(latency, func() {
			n.deliver(owner.TableReadMsg{SentAt: opened, Value: it.Value, Version: it.Version})
			opened = t.now
		})
	})
	t.poll(n, l)
	return n
}

// poll reads the instance list for a machine now and at each pollInterval,
// until the machine is removed.
func (t *Trace) poll(n *Node, l *List) {
	if n.m == nil {
		return
	}
	n.deliverList(t.now, l.visible())
	t.After(pollInterval, func() { t.poll(n, l) })
}

// deliverList delivers the result of a list read. A paused entry makes no
// reads.
func (n *Node) deliverList(sent time.Time, in []sched.Instance) {
	if !n.paused {
		n.Reply(owner.ListReadMsg{SentAt: sent, Instances: in})
	}
}
