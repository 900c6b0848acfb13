package bench

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/dedup"
)

// recordBytes returns the size of the records' data in bytes.
func recordBytes(rs []sched.Record) int {
	n := 0
	for _, r := range rs {
		n += len(r.Data)
	}
	return n
}

// finishedKeys returns a deduplication machine that has finished n keyed requests
// with answers of the given size. It also returns the bytes of the journal
// records that were written when the requests began and when they finished.
func finishedKeys(n, answer int) (m *dedup.Machine, intentBytes, ranBytes int) {
	m = dedup.New(dedup.WithBytes(1<<40, 1<<40))
	m.Update(benchStart, dedup.AcquiredMsg{})
	commit := func(msg sched.Msg) int {
		bytes := 0
		for _, cmd := range m.Update(benchStart, msg) {
			if c, ok := cmd.(sched.AppendCmd); ok {
				bytes += len(c.Record.Data)
				m.Update(benchStart, sched.CommittedMsg{Ticket: c.Ticket})
			}
		}
		return bytes
	}
	for i := range n {
		key, id := "Desk/Orders/"+rand.Text(), rand.Text()
		intentBytes += commit(dedup.BeginMsg{
			Waiter: uint64(i + 1), Key: key, RequestID: id, Fingerprint: uint64(i) << 32,
			From: "entry-00001", Deadline: benchStart.Add(time.Second),
		})
		a := &dedup.Answer{
			Status: 200, Body: make([]byte, answer),
			Header: http.Header{"Content-Type": {"application/json"}, "Content-Length": {fmt.Sprint(answer)}},
		}
		ranBytes += commit(dedup.FinishMsg{Key: key, RequestID: id, Outcome: sched.Ran, Answer: a})
	}
	return m, intentBytes, ranBytes
}
