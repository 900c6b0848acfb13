package speed

import (
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// forgetAfter is how long the rates of a step without new samples are kept.
const forgetAfter = 10 * time.Second

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
		r.value = (s.Low + s.High) / 2
	}
	return r
}

// reference returns the rate with which a sample is compared: the median of the
// siblings on other workers, or that of the expected duration if there are too few.
// It is 0 if neither is known.
func (st *siblings) reference(s Sample) (value float64, alone bool) {
	if m := st.others(s.Worker, s.Task.Index); m > 0 {
		return m, false
	}
	if s.Expected <= 0 {
		return 0, true
	}
	return 1 / s.Expected.Seconds(), true
}

// others returns the median rate of the tasks on other workers, 0 if there are too
// few.
func (st *siblings) others(worker sched.WorkerName, index int) float64 {
	all := make([]float64, 0, len(st.rates))
	for i := range st.rates {
		if r := &st.rates[i]; r.value > 0 && r.worker != worker && r.index != index {
			all = append(all, r.value)
		}
	}
	if len(all) < minSiblings {
		return 0
	}
	return median(all)
}

// Duration returns how long the siblings of a task on other workers take, 0 if too
// few are known.
func (e *Estimator) Duration(t sched.RunTask, worker sched.WorkerName) time.Duration {
	st := e.steps[stepOf(t)]
	if st == nil {
		return 0
	}
	if m := st.others(worker, t.Index); m > 0 {
		return time.Duration(float64(time.Second) / m)
	}
	return 0
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
