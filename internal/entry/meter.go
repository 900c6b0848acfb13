package entry

import (
	"time"

	"github.com/mangoslip/mangoslip/internal/stats"
)

// meter records metrics whose names have the form Group.Name.
type meter struct{ *stats.Stats }

// Count adds one to the counter Group.Name.
func (m meter) Count(group, name string) { m.Stats.Count(group+"."+name, 1) }

// Observe records a duration under the metric Group.Name.
func (m meter) Observe(group, name string, d time.Duration) { m.Stats.Observe(group+"."+name, d) }
