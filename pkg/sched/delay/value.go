package delay

const (
	// baseValue and workValue make up the value of a job. Half of it is the same for
	// each job, because a caller waits for it. The other half grows with the job's
	// work relative to the mean of its queue, up to maxValue in total.
	baseValue = 0.5
	workValue = 0.5
	maxValue  = 3.0
	// fullTally is the number of recent outcomes that a [Tally] approximately covers.
	fullTally = 200
)

// Value returns what a job is worth that completes in time.
func Value(work, mean float64) float64 {
	if mean <= 0 {
		return 1
	}
	return min(baseValue+workValue*work/mean, maxValue)
}

// Tally counts the outcomes of recent jobs: how many there are, and how many of
// them missed their objective.
type Tally struct{ All, Missed float64 }

// Add counts an outcome and reduces the weight of earlier ones.
func (t *Tally) Add(missed bool) {
	t.Fade()
	t.All++
	if missed {
		t.Missed++
	}
}

// Fade reduces the weight of earlier outcomes.
func (t *Tally) Fade() {
	t.All *= 1 - 1.0/fullTally
	t.Missed *= 1 - 1.0/fullTally
}

// MaxDelayed returns how many jobs of a group may be delayed. The group has to be
// in time at least half as often as all jobs. The share of the group that may
// miss is half of the share at which it would not be, because sizes are known
// only by estimates and not every kept job is in time. Open jobs of the group
// and of all have no outcome yet.
func MaxDelayed(group Tally, open int, onTime float64) int {
	share := (1 - onTime/2) / 2
	return max(int(share*(group.All+float64(open))-group.Missed), 0)
}
