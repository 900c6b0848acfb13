package intake

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// body is the body of a request in progress. The fields after began are protected by
// the lock of the budget.
type body struct {
	io.ReadCloser
	gate    *Gate
	conn    *conn
	control *http.ResponseController
	began   time.Time

	received int64
	whole    bool
	refusal  *Refusal
}

// Read implements [io.Reader]. Its error is a [Refusal] once the body is given up.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if refusal := b.gate.budget.charge(b, n, err); refusal != nil {
		return 0, refusal
	}
	if errors.Is(err, io.EOF) {
		b.gate.conns.whole(b.conn)
	}
	return n, err
}

// deadline returns until when the next bytes have to arrive.
func (b *body) deadline() time.Time {
	l := &b.gate.limits
	d := l.BodyGrace + time.Duration(b.received)*time.Second/time.Duration(l.BodyRate)
	return b.began.Add(min(d, l.BodyTime))
}

// setDeadline sets the deadline of reads. An error means that the connection is
// closed or, in tests, that there is none.
func (b *body) setDeadline(t time.Time) { _ = b.control.SetReadDeadline(t) }

// weight is the product of the time of a body in seconds and its bytes.
func (b *body) weight(now time.Time) float64 { return now.Sub(b.began).Seconds() * float64(b.received) }

// budget is the set of the bodies in progress, and the bytes that they hold.
type budget struct {
	bound int64
	count func(Reason)

	mu     sync.Mutex
	bodies map[*body]struct{}
	// used includes leaving, the bytes of bodies that were given up and whose
	// handlers have not returned.
	used, leaving int64
}

// add adds a body of which nothing was received.
func (s *budget) add(b *body) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bodies[b] = struct{}{}
	b.setDeadline(b.deadline())
}

// charge records the result of a read. While the bodies exceed the bound it gives up
// the one with the largest product of its time and its bytes. It returns the refusal
// of b if that was given up.
func (s *budget) charge(b *body, n int, err error) *Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.refusal != nil {
		return b.refusal
	}
	b.received += int64(n)
	s.used += int64(n)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.refuse(b, TooSlow)
		return b.refusal
	}
	now := time.Now()
	for s.used-s.leaving > s.bound && b.refusal == nil {
		s.refuse(s.victim(b, now), OverBudget)
	}
	if b.refusal != nil {
		return b.refusal
	}
	b.whole = errors.Is(err, io.EOF)
	if n > 0 && !b.whole { // At the end the server itself has cleared the deadline.
		b.setDeadline(b.deadline())
	}
	return nil
}

// victim returns the body to give up: that with the highest weight. The job of a whole
// body may have been accepted, so a whole body is never chosen. reader is the body that
// is being read; it is not whole, since its handler has not seen the end.
func (s *budget) victim(reader *body, now time.Time) *body {
	best, highest := reader, reader.weight(now)
	for b := range s.bodies {
		if w := b.weight(now); !b.whole && b.refusal == nil && w > highest {
			best, highest = b, w
		}
	}
	return best
}

// refuse gives a body up and wakes its reader.
func (s *budget) refuse(b *body, r Reason) {
	b.refusal = &Refusal{r}
	s.leaving += b.received
	b.setDeadline(time.Unix(1, 0))
	s.count(r)
}

// release removes a body whose handler returns.
func (s *budget) release(b *body) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.bodies, b)
	s.used -= b.received
	if b.refusal != nil {
		s.leaving -= b.received
	}
}

// giveUp refuses all bodies that are not whole.
func (s *budget) giveUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for b := range s.bodies {
		if !b.whole && b.refusal == nil {
			s.refuse(b, Stopping)
		}
	}
}

// use returns the bytes held and the number of bodies.
func (s *budget) use() (bytes int64, bodies int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used, len(s.bodies)
}
