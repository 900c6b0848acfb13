package config_test

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/config"
)

// The seed is fixed, so that every run checks the same sequences of events. A
// command-line flag overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// textOf returns a services text with one team.
func textOf(team string) string {
	return fmt.Sprintf("DataCentres = [\"A\"]\n[[Teams]]\nName = %q\n", team)
}

func stored(r sched.Revision, id, text string, earlier ...config.EditRef) []byte {
	return config.Stored{Revision: r, EditID: id, Time: start, Text: text, Earlier: earlier}.Encode()
}

// only returns the command of type T and fails the test unless there is exactly
// one.
func only[T any](t require.TestingT, cmds []sched.Cmd) T {
	var found []T
	for _, c := range cmds {
		if c, ok := c.(T); ok {
			found = append(found, c)
		}
	}
	require.Len(t, found, 1, "%#v", cmds)
	return found[0]
}

// readyMachine returns a machine that has read revision 5 at store version 50.
func readyMachine(t *testing.T) *config.Machine {
	m := config.New("e1")
	cmds := m.Update(start, config.StoredMsg{Value: stored(5, "old.1", textOf("Five")), Version: 50, Source: config.SourcePoll})
	require.Equal(t, sched.Revision(5), only[config.ApplyCmd](t, cmds).Config.Revision)
	return m
}

// startEdit starts an edit of revision 5 and returns its write.
func startEdit(t *testing.T, m *config.Machine) config.WriteCmd {
	cmds := m.Update(start, config.EditMsg{Waiter: 1, Text: textOf("Six"), IfMatch: 5, Author: "ada"})
	w := only[config.WriteCmd](t, cmds)
	require.Equal(t, sched.Version(50), w.Prev)
	return w
}

// Guards against a configuration that is reverted by a slow read, a late watch or
// a peer.
func TestLowerRevisionIsNeverApplied(t *testing.T) {
	for _, source := range []config.Source{config.SourceWatch, config.SourcePoll, config.SourcePeer} {
		t.Run(string(source), func(t *testing.T) {
			m := readyMachine(t)
			for _, r := range []sched.Revision{4, 5} {
				require.Empty(t, m.Update(start, config.StoredMsg{Value: stored(r, "x", textOf("Old")), Version: 99, Source: source}))
			}
			require.Equal(t, sched.TeamName("Five"), m.Config().Teams[0].Name)
			require.Equal(t, 1, m.Counts().Stale)
		})
	}
}

// Guards against a configuration that is reverted by the answer to the machine's
// own write, which arrives after a later revision.
func TestLateWriteAnswerRevertsNothing(t *testing.T) {
	m := readyMachine(t)
	w := startEdit(t, m)
	m.Update(start, config.StoredMsg{Value: stored(7, "other.1", textOf("Seven"), config.EditRef{Revision: 6, EditID: w.ID}), Version: 52, Source: config.SourceWatch})
	cmds := m.Update(start, config.WriteDoneMsg{ID: w.ID, Version: 51})
	require.Equal(t, sched.Revision(6), only[config.ReplyCmd](t, cmds).Revision)
	require.Equal(t, sched.Revision(7), m.Config().Revision)
}

// Guards against an invalid text in the store that replaces the last valid
// configuration, and against one that an edit cannot replace.
func TestBadStoredTextIsRefused(t *testing.T) {
	m := readyMachine(t)
	require.Empty(t, m.Update(start, config.StoredMsg{Value: stored(6, "x", "nonsense"), Version: 60}))
	require.Equal(t, sched.Revision(5), m.Config().Revision)
	require.Equal(t, 1, m.Counts().Refused)
	w := only[config.WriteCmd](t, m.Update(start, config.EditMsg{Waiter: 1, Text: textOf("Seven"), IfMatch: 6}))
	require.Equal(t, sched.Version(60), w.Prev)
	require.Empty(t, m.Update(start, config.StoredMsg{Value: []byte("{"), Version: 70}))
	require.Equal(t, 1, m.Counts().Damaged)
	require.Equal(t, sched.Revision(5), m.Config().Revision)
}

// Guards against an edit that fails with the wrong error. Callers must know
// whether the edit took effect.
func TestEditRefusals(t *testing.T) {
	t.Run("invalid text is not written", func(t *testing.T) {
		var invalid *config.InvalidError
		r := only[config.ReplyCmd](t, readyMachine(t).Update(start, config.EditMsg{Waiter: 1, Text: "x = 1", IfMatch: 5}))
		require.ErrorAs(t, r.Err, &invalid)
	})
	t.Run("older base conflicts at once", func(t *testing.T) {
		var conflict *config.ConflictError
		r := only[config.ReplyCmd](t, readyMachine(t).Update(start, config.EditMsg{Waiter: 1, Text: textOf("Six"), IfMatch: 4}))
		require.ErrorAs(t, r.Err, &conflict)
		require.Equal(t, sched.Revision(5), conflict.Current)
	})
	t.Run("store down is not made", func(t *testing.T) {
		m := readyMachine(t)
		var unavailable *config.UnavailableError
		cmds := m.Update(start, config.WriteFailedMsg{ID: startEdit(t, m).ID, Err: sched.ErrUnavailable})
		require.ErrorAs(t, only[config.ReplyCmd](t, cmds).Err, &unavailable)
	})
	t.Run("no answer is unknown", func(t *testing.T) {
		m := readyMachine(t)
		startEdit(t, m)
		var unknown *config.UnknownError
		cmds := m.Update(start.Add(config.EditTimeout), config.TickMsg{})
		require.ErrorAs(t, only[config.ReplyCmd](t, cmds).Err, &unknown)
	})
}

// Guards against an edit whose outcome is reported wrong after the answer to its
// write was lost.
func TestLostAnswer(t *testing.T) {
	// editWithLostAnswer loses the answer to the write of an edit, answers the
	// read that follows with a value and version, and returns the commands.
	editWithLostAnswer := func(t *testing.T, value func(id string) []byte, v sched.Version) []sched.Cmd {
		m := readyMachine(t)
		w := startEdit(t, m)
		read := only[config.ReadCmd](t, m.Update(start, config.WriteFailedMsg{ID: w.ID, Err: sched.ErrLost}))
		early := m.Update(start, config.StoredMsg{Value: stored(5, "old.1", textOf("Five")), Version: 50, Source: config.SourceWatch})
		require.Empty(t, early, "a read sent before the loss resolves nothing")
		return m.Update(start, config.StoredMsg{Value: value(w.ID), Version: v, Read: read.Read, Source: config.SourcePoll})
	}
	t.Run("own id is current", func(t *testing.T) {
		cmds := editWithLostAnswer(t, func(id string) []byte { return stored(6, id, textOf("Six")) }, 60)
		r := only[config.ReplyCmd](t, cmds)
		require.NoError(t, r.Err)
		require.Equal(t, sched.Revision(6), r.Revision)
		require.Equal(t, "Config/History/6", only[config.WriteCmd](t, cmds).Key)
	})
	t.Run("own id is below a later edit", func(t *testing.T) {
		cmds := editWithLostAnswer(t, func(id string) []byte {
			return stored(7, "other", textOf("Seven"), config.EditRef{Revision: 6, EditID: id})
		}, 70)
		r := only[config.ReplyCmd](t, cmds)
		require.NoError(t, r.Err)
		require.Equal(t, sched.Revision(6), r.Revision)
	})
	t.Run("another edit won", func(t *testing.T) {
		cmds := editWithLostAnswer(t, func(string) []byte { return stored(6, "other", textOf("Other")) }, 60)
		var conflict *config.ConflictError
		require.ErrorAs(t, only[config.ReplyCmd](t, cmds).Err, &conflict)
		require.Equal(t, sched.Revision(6), conflict.Current)
	})
	t.Run("the base is unchanged", func(t *testing.T) {
		cmds := editWithLostAnswer(t, func(string) []byte { return stored(5, "old.1", textOf("Five")) }, 50)
		require.Equal(t, sched.Version(50), only[config.WriteCmd](t, cmds).Prev)
	})
}

// Guards against heartbeats of several peers that each fetch the same revision.
func TestPeerRevisionIsFetchedOnce(t *testing.T) {
	m := readyMachine(t)
	require.Empty(t, m.Update(start, config.PeerRevisionMsg{Peer: "e2", Revision: 5}))
	require.Equal(t, sched.EntryName("e2"), only[config.FetchCmd](t, m.Update(start, config.PeerRevisionMsg{Peer: "e2", Revision: 6})).Peer)
	require.Empty(t, m.Update(start, config.PeerRevisionMsg{Peer: "e3", Revision: 6}))
	only[config.ApplyCmd](t, m.Update(start, config.StoredMsg{Value: stored(6, "x", textOf("Six")), Source: config.SourcePeer}))
	read := only[config.ReadCmd](t, m.Update(start, config.EditMsg{Waiter: 1, Text: textOf("Seven"), IfMatch: 6}))
	require.Equal(t, config.CurrentKey, read.Key, "the store version is unknown")
}

// Guards against a slot of the history ring that keeps the revision from the
// previous round.
func TestHistoryOverwritesOlderSlot(t *testing.T) {
	m := readyMachine(t)
	cmds := m.Update(start, config.WriteDoneMsg{ID: startEdit(t, m).ID, Version: 60})
	w := only[config.WriteCmd](t, cmds)
	read := only[config.ReadCmd](t, m.Update(start, config.WriteFailedMsg{ID: w.ID, Err: sched.ErrConflict}))
	again := only[config.WriteCmd](t, m.Update(start, config.StoredMsg{Key: read.Key, Read: read.Read, Value: stored(1, "x", ""), Version: 9}))
	require.Equal(t, sched.Version(9), again.Prev)
	m.Update(start, config.WriteDoneMsg{ID: again.ID, Version: 61})
	require.True(t, m.Idle())
}

// simulation runs machines against one stored value with compare-and-swap. Some
// answers are lost or late.
type simulation struct {
	*rapid.T
	now      time.Time
	machines []*config.Machine
	// applied holds the revision in force of each machine.
	applied []sched.Revision
	// queue holds the store operations and messages that are in flight.
	queue   []func()
	value   []byte
	version sched.Version
	// commits counts for each text how often it was committed.
	commits map[string]int
	// texts, outcome and answered describe each edit by its waiter.
	texts    map[uint64]string
	outcome  map[uint64]error
	answered map[uint64]bool
}

func (sim *simulation) send(i int, msg sched.Msg) {
	for _, cmd := range sim.machines[i].Update(sim.now, msg) {
		switch cmd := cmd.(type) {
		case config.ApplyCmd:
			require.Greater(sim, cmd.Config.Revision, sim.applied[i])
			sim.applied[i] = cmd.Config.Revision
		case config.ReadCmd:
			sim.queue = append(sim.queue, func() {
				value, version := sim.value, sim.version
				sim.queue = append(sim.queue, func() { sim.send(i, config.StoredMsg{Value: value, Version: version, Read: cmd.Read}) })
			})
		case config.WriteCmd:
			if cmd.Key == config.CurrentKey {
				sim.queue = append(sim.queue, func() { sim.put(i, cmd) })
			}
		case config.ReplyCmd:
			require.False(sim, sim.answered[cmd.Waiter])
			sim.answered[cmd.Waiter] = true
			sim.outcome[cmd.Waiter] = cmd.Err
		}
	}
}

func (sim *simulation) put(i int, cmd config.WriteCmd) {
	fault := rapid.IntRange(0, 3).Draw(sim.T, "fault")
	if fault == 1 {
		sim.send(i, config.WriteFailedMsg{ID: cmd.ID, Err: sched.ErrUnavailable})
		return
	}
	lost := fault == 0
	if lost && rapid.Bool().Draw(sim.T, "early") {
		// The write is reported as lost before it takes effect.
		sim.queue = append(sim.queue, func() { _ = sim.swap(cmd) })
	} else if err := sim.swap(cmd); !lost && err != nil {
		sim.send(i, config.WriteFailedMsg{ID: cmd.ID, Err: err})
		return
	}
	if lost {
		sim.send(i, config.WriteFailedMsg{ID: cmd.ID, Err: sched.ErrLost})
		return
	}
	sim.send(i, config.WriteDoneMsg{ID: cmd.ID, Version: sim.version})
}

func (sim *simulation) swap(cmd config.WriteCmd) error {
	if cmd.Prev != sim.version {
		return sched.ErrConflict
	}
	s, err := config.DecodeStored(cmd.Value)
	require.NoError(sim, err)
	sim.value, sim.version = cmd.Value, sim.version+1
	sim.commits[s.Text]++
	return nil
}

// Guards against wrong reports of concurrent edits whose answers are lost or late:
// an edit that is reported as accepted but was not committed, one that is reported
// as failed but was committed, or one that was committed twice.
func TestRacingEdits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := &simulation{
			T: rt, now: start, applied: make([]sched.Revision, 3),
			commits: map[string]int{}, texts: map[uint64]string{}, outcome: map[uint64]error{}, answered: map[uint64]bool{},
		}
		for i := range sim.applied {
			sim.machines = append(sim.machines, config.New(fmt.Sprintf("e%d", i)))
		}
		for n := range rapid.IntRange(1, 120).Draw(rt, "steps") {
			i := rapid.IntRange(0, 2).Draw(rt, "machine")
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				id, s := uint64(n), textOf(fmt.Sprintf("T%d", n))
				sim.texts[id] = s
				current, _ := sim.machines[i].Stored()
				sim.send(i, config.EditMsg{Waiter: id, Text: s, IfMatch: current.Revision})
			case 1:
				sim.now = sim.now.Add(300 * time.Millisecond)
				sim.send(i, config.TickMsg{})
			default:
				sim.step(rapid.IntRange(0, max(len(sim.queue)-1, 0)).Draw(rt, "event"))
			}
		}
		for len(sim.queue) > 0 {
			sim.step(0)
		}
		sim.check()
	})
}

func (sim *simulation) step(i int) {
	if i >= len(sim.queue) {
		return
	}
	event := sim.queue[i]
	sim.queue = append(sim.queue[:i:i], sim.queue[i+1:]...)
	event()
}

func (sim *simulation) check() {
	for id, s := range sim.texts {
		require.LessOrEqual(sim, sim.commits[s], 1)
		if !sim.answered[id] {
			continue
		}
		var unknown *config.UnknownError
		switch err := sim.outcome[id]; {
		case err == nil:
			require.Equal(sim, 1, sim.commits[s], "reported as accepted")
		case !errors.As(err, &unknown):
			require.Zero(sim, sim.commits[s], "reported as not accepted: %v", err)
		}
	}
}
