// Package intake bounds what the clients of a listener can make the process hold:
// bytes of request bodies, connections, and the time that an incomplete request may
// take. Clients that exceed a bound lose their request or connection, so that the
// memory and the descriptors of the machine suffice for other work.
//
// It is meant for a few dozen requests a second of well-behaved clients beside
// thousands of connections whose bodies never end.
//
// # Usage
//
//	g := intake.New("Front", limits, intake.WithLogger(log), intake.WithStats(st))
//	l, err := g.Listen(addr)
//	err = g.Server(handler).Serve(l)
//	body, err := intake.Read(r.Body) // in handler; err may be an *intake.Refusal
//	buffer = body.AppendTo(buffer[:0])
//	g.Publish() // once a second
//	g.GiveUp()  // near the end of a graceful shutdown
package intake

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Limits are the bounds of one listener. A zero field means its default.
type Limits struct {
	// Conns bounds the open connections.
	Conns int
	// Bytes bounds the received bytes of all bodies in progress.
	Bytes int64
	// BodyTime bounds the time of a body. After BodyGrace, which ends after the
	// deadlines of ordinary callers, its mean rate has to be at least BodyRate bytes
	// a second.
	BodyTime, BodyGrace time.Duration
	BodyRate            int64
	// HeaderTime bounds the reading of a request's header, WriteTime the time from
	// there to the end of the answer, and IdleTime the pause between requests.
	HeaderTime, WriteTime, IdleTime time.Duration
	// HeaderBytes bounds the header of a request.
	HeaderBytes int
	// ReceiveBuffer is the size of the kernel's receive buffer of a connection. The
	// kernel doubles it for its own use.
	ReceiveBuffer int
}

// The defaults of the fields of [Limits] that do not depend on the machine.
const (
	// DefaultBodyGrace is above the deadline of 3 s of ordinary callers.
	DefaultBodyGrace = 4 * time.Second
	DefaultBodyTime  = 10 * time.Second
	DefaultBodyRate  = 4096
	// DefaultWriteTime is far above the time within which jobs are answered.
	DefaultWriteTime = 30 * time.Second
	// DefaultIdleTime is above the idle time after which load balancers and other
	// entries close a connection themselves.
	DefaultIdleTime    = 2 * time.Minute
	DefaultHeaderBytes = 8 << 10
	// DefaultReceiveBuffer lets a body of 256 KiB arrive in 0.1 s over a path of
	// 3.4 ms.
	DefaultReceiveBuffer = 16 << 10

	defaultHeaderTime = 5 * time.Second
)

const (
	// otherMemory is the memory of an entry that leads, without its clients: 41 to
	// 63 MB were measured on the grown sites.
	otherMemory = 64 << 20
	// bodyShare is the part of the remaining memory for received bytes. A received
	// byte takes up to two in its buffer, and a decoded job up to five.
	bodyShare = 12
	minBytes  = 4 << 20
	// connMemory is the memory of a connection: buffers, stack and garbage in the
	// process, and twice the receive buffer in the kernel. With 64 KB, resident memory
	// reached 116 MB of 184 with 2,000 clients.
	connMemory = 96 << 10
	minConns   = 64
	// defaultMaxFiles is the descriptor limit of the smallest known machine.
	defaultMaxFiles = 4100
	// DefaultReserve is the number of descriptors that callers cannot use: 200 for
	// files, 1,400 for 350 workers, 100 for the store and the checks, and 800 for
	// the other entries.
	DefaultReserve = 2500
	// maxPeers and maxChecks bound the connections of other entries, and those to
	// the readiness check or the metrics.
	maxPeers  = 800
	maxChecks = 32
	// peerBytes is far above the batches of orders of all entries together.
	peerBytes  = 32 << 20
	checkBytes = 1 << 20
)

// ClientMemory returns how much of the memory of a machine is left to its clients.
func ClientMemory(memory sched.Bytes) sched.Bytes { return max(memory-otherMemory, 0) }

// ForCallers returns the limits of the callers' listener on a machine with the given
// limits of memory and descriptors, or of the smallest machine where they are 0.
// Reserve is the number of descriptors that callers cannot use; they may always use
// a third.
func ForCallers(memory sched.Bytes, maxFiles, reserve int) Limits {
	if maxFiles <= 0 {
		maxFiles = defaultMaxFiles
	}
	l := Limits{Conns: max(maxFiles-reserve, maxFiles/3), Bytes: 2 * peerBytes}
	if memory > 0 {
		free := int64(ClientMemory(memory))
		l.Bytes = max(free/bodyShare, minBytes)
		l.Conns = min(l.Conns, max(int(free/connMemory), minConns))
	}
	return l.withDefaults()
}

// ForPeers returns the limits of the listener for other entries.
func ForPeers(maxFiles int) Limits {
	if maxFiles <= 0 {
		maxFiles = defaultMaxFiles
	}
	return Limits{Conns: min(maxPeers, maxFiles/5), Bytes: peerBytes, HeaderBytes: 4 * DefaultHeaderBytes, ReceiveBuffer: 8 * DefaultReceiveBuffer}.withDefaults()
}

// ForChecks returns the limits of a listener for requests without a body.
func ForChecks() Limits { return Limits{Conns: maxChecks, Bytes: checkBytes}.withDefaults() }

// withDefaults replaces zero fields.
func (l Limits) withDefaults() Limits {
	set(&l.Conns, defaultMaxFiles-DefaultReserve)
	set(&l.Bytes, 2*peerBytes)
	set(&l.BodyTime, DefaultBodyTime)
	set(&l.BodyGrace, DefaultBodyGrace)
	set(&l.BodyRate, DefaultBodyRate)
	set(&l.HeaderTime, defaultHeaderTime)
	set(&l.WriteTime, DefaultWriteTime)
	set(&l.IdleTime, DefaultIdleTime)
	set(&l.HeaderBytes, DefaultHeaderBytes)
	set(&l.ReceiveBuffer, DefaultReceiveBuffer)
	return l
}

// set sets a field that is zero.
func set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
