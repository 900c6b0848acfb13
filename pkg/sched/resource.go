package sched

import "fmt"

// MilliCPU is an amount of processor time in thousandths of a core.
type MilliCPU int64

// Bytes is an amount of memory.
type Bytes int64

// Resources is an amount of each resource: what a worker offers, or what a task
// or a slot takes.
type Resources struct {
	CPU          MilliCPU
	Memory       Bytes
	Accelerators int
}

// MaxCPU, MaxMemory and MaxAccelerators bound what one worker can have. The resources
// of thousands of workers can be added up without an overflow.
const (
	MaxCPU          MilliCPU = 1 << 32
	MaxMemory       Bytes    = 1 << 52
	MaxAccelerators          = 1 << 16
)

// Possible reports whether a worker can have these resources.
func (r Resources) Possible() bool {
	return !r.Negative() && r.Fits(Resources{MaxCPU, MaxMemory, MaxAccelerators})
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Scale returns r multiplied by n.
func (r Resources) Scale(n int) Resources {
	return Resources{r.CPU * MilliCPU(n), r.Memory * Bytes(n), r.Accelerators * n}
}

// Fits reports whether r is at most o in every dimension.
func (r Resources) Fits(o Resources) bool {
	return r.CPU <= o.CPU && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}

// Negative reports whether any dimension is below zero.
func (r Resources) Negative() bool { return r.CPU < 0 || r.Memory < 0 || r.Accelerators < 0 }

// Slots returns how many times need fits into r, at most the given number.
func (r Resources) Slots(need Resources, most int) int {
	if !need.Fits(r) {
		return 0
	}
	if need.CPU > 0 {
		most = min(most, int(r.CPU/need.CPU))
	}
	if need.Memory > 0 {
		most = min(most, int(r.Memory/need.Memory))
	}
	if need.Accelerators > 0 {
		most = min(most, r.Accelerators/need.Accelerators)
	}
	return most
}

// String returns the key=value form used in logs.
func (r Resources) String() string {
	return fmt.Sprintf("cpu=%dm memory=%d accelerators=%d", r.CPU, r.Memory, r.Accelerators)
}
