package flow

import "time"

// chains holds the expected durations of the chains of dependent steps in an
// occurrence.
type chains struct {
	// from holds, by step index, the duration of the longest chain that begins with
	// each step.
	from []time.Duration
	// longest is the duration of the longest chain of all.
	longest time.Duration
}

// chains returns the chains of an occurrence. It takes time in proportion to the steps
// and dependencies, since a job may have thousands of them.
func (m *Machine) chains(o *occurrence) chains {
	c := chains{from: make([]time.Duration, len(o.steps))}
	for i := len(o.steps) - 1; i >= 0; i-- {
		s := o.steps[i]
		// A step depends on earlier ones only, so from[i] already holds the longest
		// chain that follows this step.
		c.from[i] += m.duration(s)
		c.longest = max(c.longest, c.from[i])
		for _, after := range s.spec.After {
			c.from[after] = max(c.from[after], c.from[i])
		}
	}
	return c
}
