package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/queue"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const ms = time.Millisecond

func item(id uint64, deadline, estimate time.Duration) queue.Item {
	return queue.Item{ID: id, Deadline: start.Add(deadline), Estimate: estimate, Bound: estimate}
}

func long(id uint64) queue.Item {
	it := item(id, time.Hour, time.Second)
	it.Long = true
	return it
}

func push(t *testing.T, q *queue.Queue, now time.Time, items ...queue.Item) {
	t.Helper()
	for _, it := range items {
		_, ok := q.Push(now, it)
		require.True(t, ok, "item %d", it.ID)
	}
}

func requireOrder(t *testing.T, q *queue.Queue, now time.Time, slots int, want ...uint64) {
	t.Helper()
	for i, id := range want {
		it, ok := q.Pop(now, slots-i, slots)
		require.True(t, ok, "pop %d", i)
		require.Equal(t, id, it.ID)
	}
}

func requireRefusals(t *testing.T, q *queue.Queue, now time.Time, want ...queue.Refusal) {
	t.Helper()
	require.ElementsMatch(t, want, q.Refused(now))
}

// Guards against a request that takes a slot although it cannot meet its
// deadline.
func TestMissedDeadline(t *testing.T) {
	q := queue.New()
	reason, ok := q.Push(start, item(1, 10*ms, 11*ms))
	require.False(t, ok)
	require.Equal(t, sched.ReasonDeadlineTooShort, reason)
	push(t, q, start, item(2, 20*ms, 10*ms), item(3, 30*ms, 0))
	requireRefusals(t, q, start.Add(11*ms), queue.Refusal{ID: 2, Reason: sched.ReasonDeadlineTooShort})
	requireRefusals(t, q, start.Add(30*ms), queue.Refusal{ID: 3, Reason: sched.ReasonDeadlineExceeded})
}

// Guards against requests that start in order of arrival instead of in order of
// their slack.
func TestLeastSlackFirst(t *testing.T) {
	q := queue.New()
	push(t, q, start, item(1, 50*ms, 0), item(2, 20*ms, 0), item(3, 60*ms, 45*ms), item(4, 40*ms, 0))
	require.True(t, q.Remove(2))
	require.False(t, q.Remove(2))
	requireOrder(t, q, start, 8, 3, 4, 1)
	_, ok := q.Pop(start, 8, 8)
	require.False(t, ok)
}

// Guards against an overload in which each request starts just too late to meet
// its deadline.
func TestNewestUnderOverload(t *testing.T) {
	q := queue.New(queue.WithSize(3))
	push(t, q, start, item(1, 150*ms, 0), item(2, 300*ms, 0), item(3, 310*ms, 0))
	_, ok := q.Push(start, item(4, 900*ms, 0))
	require.False(t, ok)
	now := start.Add(150 * ms)
	requireRefusals(t, q, now, queue.Refusal{ID: 1, Reason: sched.ReasonDeadlineExceeded})
	push(t, q, now, item(5, 320*ms, 0), item(6, 400*ms, 0))
	requireRefusals(t, q, now, queue.Refusal{ID: 2, Reason: sched.ReasonQueueFull})
	requireOrder(t, q, now, 8, 6, 5, 3)
}

// Guards against short requests that wait for long ones, and against long
// requests that starve.
func TestLanes(t *testing.T) {
	t.Run("short first, long has its share", func(t *testing.T) {
		q := queue.New(queue.WithLongShare(0.25))
		push(t, q, start, long(1), long(2), long(3), item(4, time.Hour, 0), item(5, time.Hour, 0))
		requireOrder(t, q, start, 8, 1, 2, 4, 5, 3)
	})
	t.Run("slots stay free for short work", func(t *testing.T) {
		q := queue.New()
		for i := range uint64(4) {
			push(t, q, start, item(i, time.Hour, 0))
			requireOrder(t, q, start, 8, i)
		}
		now := start.Add(10 * time.Second)
		for i := range uint64(4) {
			q.Done(now, false)
			push(t, q, now, long(10+i))
		}
		require.Equal(t, 2, q.LongBound(8))
		requireOrder(t, q, now, 8, 10, 11)
		_, ok := q.Pop(now, 6, 8)
		require.False(t, ok)
		later := now.Add(time.Minute)
		requireOrder(t, q, later, 8, 12, 13)
	})
}

// Guards against a predictor that takes a short class for a long one, or grows
// without bound.
func TestPredictor(t *testing.T) {
	p := queue.NewPredictor(8)
	for range 100 {
		p.Learn("S", "short", 2*ms)
		p.Learn("S", "mid", 5*ms)
	}
	for range 10 {
		p.Learn("S", "long", 200*ms)
	}
	require.False(t, p.Predict("S", "short").Long)
	require.False(t, p.Predict("S", "mid").Long)
	require.True(t, p.Predict("S", "long").Long)
	require.Equal(t, 200*ms, p.Predict("S", "long").Estimate)
	require.Zero(t, p.Predict("S", "new"))
	for i := range 100 {
		p.Learn("S", fmt.Sprint(i), ms)
		require.True(t, p.Predict("S", "long").Long, "after %d others", i)
	}
	require.Zero(t, p.Predict("S", "0"))
}
