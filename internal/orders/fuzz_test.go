package orders_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangoslip/mangoslip/internal/orders"
)

// Guards against a batch of another entry that makes a dispatcher panic.
func FuzzBatch(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		var b orders.Batch
		if cbor.Unmarshal(data, &b) != nil {
			return
		}
		b.Wait = min(b.Wait, time.Millisecond)
		for i := range b.Orders {
			b.Orders[i].Timeout = min(b.Orders[i].Timeout, time.Millisecond)
			if b.Orders[i].Renew != nil {
				b.Orders[i].Renew.Wait = 0
			}
		}
		orders.NewDispatcher(&workers{}).Dispatch(t.Context(), b)
	})
}
