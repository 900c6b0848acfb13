package speed

import (
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// forgetAfter is how long the rates of a step without new samples are kept.
	forgetAfter = 10 * time.Second
	// comparableFor is how long a rate is compared with those of siblings. Meanwhile all
	// workers may have become slow.
	comparableFor = 2 * time.Second
)

// siblings holds the rates of the tasks of one step.
type siblings struct {
	rates []rate
	at    time.Time
}

// rate is the last known rate of a task, zero if it was too rough to compare with, and
// the class of its run.
type rate struct {
	index  int
	run    uint64
	worker sched.WorkerName
	value  float64
	class  class
	at     time.Time
}

// stepOf returns the key of a task's step.
func stepOf(t sched.RunTask) sched.RunTask {
	t.Index = -1
	return t
}

func (e *Estimator) step(s Sample) *siblings {
	k := stepOf(s.Task)
	st := e.steps[k]
	if st == nil {
		st = &siblings{}
		e.steps[k] = st
	}
	return st
}

// put records the rate of a task and returns the record, which is valid until the next
// call.
func (st *siblings) put(s Sample) *rate {
	st.at = s.At
	i := slices.IndexFunc(st.rates, func(r rate) bool { return r.index == s.Task.Index })
	if i < 0 {
		st.rates = append(st.rates, rate{index: s.Task.Index})
		i = len(st.rates) - 1
	}
	r := &st.rates[i]
	if r.run != s.Run {
		r.run, r.worker, r.class = s.Run, s.Worker, classUnknown
	}
	if s.High <= 2*s.Low || r.value > 0 {
		r.value, r.at = (s.Low+s.High)/2, s.At
	}
	return r
}

// reference returns the rate with which a sample is compared: the median of the
// siblings on other workers, or that of the expected duration if there are too few.
// It is 0 if neither is known, or if the step has enough tasks but their rates cannot be
// compared yet.
func (st *siblings) reference(s Sample) (value float64, alone bool) {
	all := st.others(s.Worker, s.Task.Index, s.At.Add(-comparableFor))
	switch {
	case len(all) >= minSiblings:
		return median(all), false
	case s.Expected <= 0 || len(st.rates) > minSiblings:
		return 0, true
	default:
		return 1 / s.Expected.Seconds(), true
	}
}

// others returns the rates of the tasks on other workers since a given time.
func (st *siblings) others(worker sched.WorkerName, index int, since time.Time) []float64 {
	all := make([]float64, 0, len(st.rates))
	for i := range st.rates {
		if r := &st.rates[i]; r.value > 0 && r.worker != worker && r.index != index && !r.at.Before(since) {
			all = append(all, r.value)
		}
	}
	return all
}

// Duration returns how long the siblings of a task on other workers take, 0 if too
// few are known.
func (e *Estimator) Duration(t sched.RunTask, worker sched.WorkerName) time.Duration {
	st := e.steps[stepOf(t)]
	if st == nil {
		return 0
	}
	all := st.others(worker, t.Index, time.Time{})
	if len(all) < minSiblings {
		return 0
	}
	return time.Duration(float64(time.Second) / median(all))
}

// forget drops steps and workers without recent samples.
func (e *Estimator) forget(now time.Time) {
	for k, st := range e.steps {
		if now.Sub(st.at) > forgetAfter {
			delete(e.steps, k)
		}
	}
	e.names = slices.DeleteFunc(e.names, func(name sched.WorkerName) bool {
		w := e.workers[name]
		gone := len(w.samples) == 0 && !w.slow && w.lastSlow.IsZero()
		if gone {
			delete(e.workers, name)
		}
		return gone
	})
}

// median returns the median of values, which it sorts.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 1
	}
	slices.Sort(values)
	n := len(values)
	return (values[n/2] + values[(n-1)/2]) / 2
}
