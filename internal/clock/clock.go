// Package clock provides the current time for decisions about permissions that
// expire.
//
// The monotonic clock that [time.Now] reads stands still while a machine is
// suspended. A process that continues after a suspension would take an expired
// permission for a valid one. The times of this package advance during a
// suspension, and do not jump with the time of day.
//
// # Usage
//
//	asked := clock.Now()
//	// ...
//	if clock.Now().Sub(asked) > valid {
//		// ask again
//	}
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that counts. It is above the time
// between the two readings that are compared.
const minSuspension = 20 * time.Millisecond

// Now returns the current time. Differences between its results include the time
// for which the machine was suspended. The time of day of the result is not
// meaningful after a suspension.
func Now() time.Time { return system.now(time.Now()) }

// system is the clock of this machine.
var system = newClock(readSystem)

// clock adds up the time for which the machine was suspended.
type clock struct {
	// read returns how far the clock that counts suspensions is ahead of the
	// monotonic clock.
	read  func() time.Duration
	start time.Duration
	// suspended is the sum of all suspensions so far, in nanoseconds.
	suspended atomic.Int64
}

func newClock(read func() time.Duration) *clock { return &clock{read: read, start: read()} }

func (c *clock) now(t time.Time) time.Time {
	total := int64(c.read() - c.start)
	for {
		known := c.suspended.Load()
		if total < known+int64(minSuspension) {
			return t.Add(time.Duration(known))
		}
		if c.suspended.CompareAndSwap(known, total) {
			return t.Add(time.Duration(total))
		}
	}
}

// readSystem reads the clocks of the kernel. A clock that cannot be read counts as
// one that never stands still.
func readSystem() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
