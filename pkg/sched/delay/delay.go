// Package delay decides which jobs wait in a shortage: if the work of a
// priority does not fit into the capacity that it gets, it is better to serve
// some jobs in time and the others late than each job just too late.
//
// [Decide] minimises the value of the late jobs: it takes the work in the order
// of its deadlines and delays the job with the lowest value for its work
// whenever the work up to a deadline exceeds the capacity until then. It is
// meant for some thousand waiting jobs of a few steps each, on a pool whose
// capacity is much larger than a task. It keeps no state and reads no clock.
//
// # Usage
//
//	d := delay.Decide(delay.Input{Jobs: jobs, Free: free, Held: held, Short: wasShort})
//	for i := range jobs {
//		if d.Delayed[i] {
//			// jobs[i] comes after the others
//		}
//	}
//	wasShort = d.Short // for the next decision
package delay

import (
	"cmp"
	"slices"
	"time"
)

const (
	// keepBonus is the factor by which the value of a kept job counts for more
	// than that of a delayed one. It keeps jobs of similar value from changing
	// sides at each decision.
	keepBonus = 1.25
	// beginShare is the share of the capacity that has to be missing for a shortage to
	// begin. A smaller lack may come from a few jobs with a short time left, or from
	// inexact estimates.
	beginShare = 0.1
	// maxRefills bounds the delayed jobs that refill checks, because each check
	// looks at all parts.
	maxRefills = 16
)

// Amount is an amount of both resources: a capacity in cores and bytes, or work
// in core-seconds and byte-seconds.
type Amount struct{ Cores, Memory float64 }

// Add returns a + b.
func (a Amount) Add(b Amount) Amount { return Amount{a.Cores + b.Cores, a.Memory + b.Memory} }

// Sub returns a - b.
func (a Amount) Sub(b Amount) Amount { return Amount{a.Cores - b.Cores, a.Memory - b.Memory} }

// Scale returns a multiplied by f.
func (a Amount) Scale(f float64) Amount { return Amount{a.Cores * f, a.Memory * f} }

// fits reports whether a is at most b in both resources.
func (a Amount) fits(b Amount) bool { return a.Cores <= b.Cores && a.Memory <= b.Memory }

// Part is the work of one step of a job that has not started.
type Part struct {
	// Due is the latest time to complete the part, counted from now.
	Due time.Duration
	// Duration is the expected duration of a task of the part.
	Duration time.Duration
	Work     Amount
}

// latest returns the time by which the work of the part has to be done if tasks
// end at a steady rate. At the time when the last task has to start, the tasks
// that run are half done on average.
func (p Part) latest() time.Duration { return p.Due - p.Duration/2 }

// Job is a job with work that waits.
type Job struct {
	Parts []Part
	// Value is what the job is worth if it completes in time.
	Value float64
	// Group is the job's group of sizes, an index of [Input.MaxDelayed].
	Group int
	// Fixed means that the job is not delayed, because little of it is left.
	Fixed bool
	// Delayed means that the last decision delayed the job.
	Delayed bool
}

// Held is capacity that is in use for some time yet.
type Held struct {
	Amount Amount
	Until  time.Duration
}

// Input is what a decision depends on.
type Input struct {
	Jobs []Job
	// Free is the capacity that the jobs can use now, and Held what they can use
	// later. Ahead is the work that comes before theirs.
	Free  Amount
	Held  []Held
	Ahead Amount
	// MaxDelayed bounds the delayed jobs of each group. Jobs of other groups are
	// not bounded.
	MaxDelayed []int
	// Short means that the last decision found a shortage. A shortage begins when
	// work is certain to be late, and ends when all work fits at a steady rate of
	// task ends. Between the two nothing changes.
	Short bool
}

// Decision tells which jobs wait.
type Decision struct {
	// Delayed tells for each job whether it is delayed.
	Delayed []bool
	// Short means that there is a shortage.
	Short bool
	// Lack is the capacity in cores that is missing for all work to be in time.
	Lack float64
}

// Decide returns which jobs are delayed so that the value of the others, which
// complete in time, is high. Without a shortage none is.
func Decide(in Input) Decision {
	d := Decision{Delayed: make([]bool, len(in.Jobs))}
	c := newCapacity(&in)
	if !in.Short && c.lack(in.order(Part.due)) <= beginShare*c.total().Cores {
		return d
	}
	order := in.order(Part.latest)
	if d.Lack = c.lack(order); d.Lack <= 0 {
		return d
	}
	s := selection{
		in: in, order: order, delayed: d.Delayed, left: slices.Clone(in.MaxDelayed),
		included: make([]Amount, len(in.Jobs)), budgets: make([]Amount, len(order)),
	}
	for k, x := range order {
		s.budgets[k] = c.until(x.at)
	}
	s.computeRates(c.total())
	s.sweep()
	s.refill()
	d.Short = slices.Contains(d.Delayed, true)
	return d
}

func (p Part) due() time.Duration { return p.Due }

// item is a part in the order of deadlines.
type item struct {
	job  int
	at   time.Duration
	work Amount
}

// order returns the parts of all jobs in the order of a deadline.
func (in *Input) order(deadline func(Part) time.Duration) []item {
	out := make([]item, 0, 2*len(in.Jobs))
	for i := range in.Jobs {
		for _, p := range in.Jobs[i].Parts {
			out = append(out, item{i, deadline(p), p.Work})
		}
	}
	slices.SortFunc(out, func(a, b item) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.job, b.job)) })
	return out
}

// selection is the state of one decision.
type selection struct {
	in      Input
	delayed []bool
	// left is how many more jobs of each group may be delayed.
	left []int
	// rates holds the value of each job for its work.
	rates []float64
	// order holds the parts in the order of their deadlines, and included the work
	// of each job that the sweep has passed.
	// budgets holds the work that can be done until each deadline.
	order    []item
	included []Amount
	budgets  []Amount
	// candidates holds the jobs that may be delayed, a heap with the lowest rate
	// first.
	candidates heap
}

// computeRates computes the value of each job for its work. Work counts by the resource
// of which it takes the larger share.
func (s *selection) computeRates(total Amount) {
	s.rates = make([]float64, len(s.in.Jobs))
	for i := range s.in.Jobs {
		j := &s.in.Jobs[i]
		work := Amount{}
		for _, p := range j.Parts {
			work = work.Add(p.Work)
		}
		share := max(work.Cores/max(total.Cores, 1), work.Memory/max(total.Memory, 1), 1e-12)
		s.rates[i] = j.Value / share
		if !j.Delayed {
			s.rates[i] *= keepBonus
		}
	}
}

// sweep takes the parts in order and delays jobs where the work exceeds the
// capacity.
func (s *selection) sweep() {
	sum := Amount{}
	for k, x := range s.order {
		if s.delayed[x.job] {
			continue
		}
		if s.included[x.job] == (Amount{}) && !s.in.Jobs[x.job].Fixed {
			s.candidates.push(x.job, s.rates)
		}
		s.included[x.job] = s.included[x.job].Add(x.work)
		sum = sum.Add(x.work)
		for !sum.fits(s.budgets[k]) {
			i, ok := s.candidates.pop(s.rates)
			if !ok {
				break
			}
			if s.tryDelay(i) {
				sum = sum.Sub(s.included[i])
			}
		}
	}
}

// tryDelay delays a job unless too many of its group are delayed, and reports whether
// it did.
func (s *selection) tryDelay(i int) bool {
	if g := s.in.Jobs[i].Group; g >= 0 && g < len(s.left) {
		if s.left[g] <= 0 {
			return false
		}
		s.left[g]--
	}
	s.delayed[i] = true
	return true
}

// refill keeps delayed jobs that fit beside the kept ones, because a job that
// was delayed late in the sweep leaves capacity for one that was delayed early.
func (s *selection) refill() {
	var out []int
	for i, delayed := range s.delayed {
		if delayed {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(s.rates[b], s.rates[a]) })
	slack := make([]Amount, len(s.order))
	s.computeSlack(slack)
	for _, i := range out[:min(len(out), maxRefills)] {
		if s.fitsInto(slack, i) {
			s.delayed[i] = false
			s.computeSlack(slack)
		}
	}
}

// computeSlack stores the capacity that the kept jobs leave at each deadline.
func (s *selection) computeSlack(slack []Amount) {
	sum := Amount{}
	for k, x := range s.order {
		if !s.delayed[x.job] {
			sum = sum.Add(x.work)
		}
		slack[k] = s.budgets[k].Sub(sum)
	}
}

// fitsInto reports whether a job fits beside the kept ones.
func (s *selection) fitsInto(slack []Amount, job int) bool {
	sum := Amount{}
	for k, x := range s.order {
		if x.job == job {
			sum = sum.Add(x.work)
		}
		if sum != (Amount{}) && !sum.fits(slack[k]) {
			return false
		}
	}
	return true
}
