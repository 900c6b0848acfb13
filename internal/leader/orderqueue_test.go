package leader

import (
	"context"
	"runtime"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

const maxOrders = 10_000

// recorder records the orders that a queue sends. They wait for hold.
type recorder struct {
	queue *orderQueue
	hold  chan struct{}
	// began gets a value when an order is being sent.
	began chan struct{}
	all   sync.WaitGroup

	mu            sync.Mutex
	sending, most int
	sent          []int
}

func newRecorder(ctx context.Context, limit int) *recorder {
	q := &orderQueue{ctx: ctx, limit: limit, guard: func(_ string, f func()) { f() }}
	return &recorder{queue: q, hold: make(chan struct{}), began: make(chan struct{}, maxOrders)}
}

// add adds a number of orders to the queue.
func (r *recorder) add(orders int) {
	r.all.Add(orders)
	for i := range orders {
		r.queue.add("start", func() { r.send(i) })
	}
}

func (r *recorder) send(i int) {
	defer r.all.Done()
	r.mu.Lock()
	r.sending++
	r.most = max(r.most, r.sending)
	r.sent = append(r.sent, i)
	r.mu.Unlock()
	r.began <- struct{}{}
	<-r.hold
	r.mu.Lock()
	r.sending--
	r.mu.Unlock()
}

// Guards against orders of one job that take the memory of the machine while they wait,
// and against orders that are lost, sent out of turn or after the term.
func TestOrderQueue(t *testing.T) {
	t.Run("Bounded", func(t *testing.T) {
		r, before := newRecorder(t.Context(), 3), runtime.NumGoroutine()
		r.add(maxOrders)
		require.LessOrEqual(t, runtime.NumGoroutine(), before+3)
		close(r.hold)
		r.all.Wait()
		require.Equal(t, 3, r.most)
		require.Len(t, r.sent, maxOrders)
	})
	t.Run("InTurn", func(t *testing.T) {
		r := newRecorder(t.Context(), 1)
		close(r.hold)
		r.add(100)
		r.all.Wait()
		require.IsIncreasing(t, r.sent)
	})
	t.Run("TermOver", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := newRecorder(ctx, 1)
		r.add(1)
		<-r.began
		r.queue.add("start", func() { t.Error("order sent after the end of the term") })
		cancel()
		close(r.hold)
		r.all.Wait()
	})
}
