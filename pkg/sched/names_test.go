package sched_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Guards against taking an unregistered reason or a zero outcome for NotRun.
func TestOutcomeDefaultsToUnknown(t *testing.T) {
	require.Equal(t, sched.Unknown, sched.Reason("NoSuchReason").Outcome())
	require.Equal(t, sched.Unknown, sched.ParseOutcome(""))
	var zero sched.Outcome
	require.Equal(t, "Unknown", zero.String())
}

// Guards against a mapping of a worker to a shard of another data centre.
func TestShardOfWorkerStaysInDataCentre(t *testing.T) {
	l := sched.NewLayout([]sched.DataCentre{"a", "b", "c"}, 2)
	for _, name := range []sched.WorkerName{"w1", "w2", "w3", "w4", "w5"} {
		s, ok := l.ShardOfWorker(name, "b")
		require.True(t, ok)
		require.Equal(t, sched.DataCentre("b"), s.DataCentre)
		require.Contains(t, l, s)
	}
	_, ok := l.ShardOfWorker("w1", "elsewhere")
	require.False(t, ok)
}

// Guards against IDs whose string form does not parse back to the same ID.
func TestNamesRoundTrip(t *testing.T) {
	t.Run("task", func(t *testing.T) {
		id := sched.TaskID{Job: "a.b", Index: 7}
		got, err := sched.ParseTaskID(id.String())
		require.NoError(t, err)
		require.Equal(t, id, got)
	})
	t.Run("shard", func(t *testing.T) {
		id := sched.ShardID{DataCentre: "north-1", Index: 3}
		got, err := sched.ParseShardID(id.String())
		require.NoError(t, err)
		require.Equal(t, id, got)
	})
}
