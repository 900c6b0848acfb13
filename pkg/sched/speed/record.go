package speed

import (
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// record is what is known of a worker.
type record struct {
	odds float64
	// samples holds the last sample of each run that has a class.
	samples []judged
	slow    bool
	// lastSlow is when the worker was last slow, zero if it showed normal speed since.
	lastSlow time.Time
	speed    float64
}

// judged is a run with its class.
type judged struct {
	task     sched.RunTask
	run      uint64
	class    class
	relative float64
	at       time.Time
}

// add adds a sample to a worker, or replaces the last one of the same run.
func (w *record) add(j judged, change float64) {
	w.odds = min(max(w.odds+change, initialOdds), maxOdds)
	i := slices.IndexFunc(w.samples, func(o judged) bool { return o.task == j.task && o.run == j.run })
	if i >= 0 {
		w.samples[i] = j
		return
	}
	if len(w.samples) == maxSamples {
		w.samples = slices.Delete(w.samples, 0, 1)
	}
	w.samples = append(w.samples, j)
}

// setSlow sets whether the worker is slow and returns the change.
func (w *record) setSlow(name sched.WorkerName, slow bool, tasks int) Change {
	w.slow = slow
	stale := !slow && w.odds > severalFrom
	switch {
	case stale:
		w.odds = recentOdds
	case !slow:
		w.lastSlow = time.Time{}
	}
	c := Change{Worker: name, Slow: slow, Speed: w.speed, Tasks: tasks, Stale: stale}
	if !slow {
		w.speed = 1
	}
	return c
}

// expire drops stale samples. Without any the worker counts as not slow.
func (w *record) expire(now time.Time) {
	w.samples = slices.DeleteFunc(w.samples, func(j judged) bool { return now.Sub(j.at) > staleAfter })
	switch {
	case w.slow:
	case !w.recent(now):
		w.lastSlow = time.Time{}
		if len(w.samples) == 0 {
			w.odds = initialOdds
		}
	case w.odds <= initialOdds:
		w.lastSlow = time.Time{} // A run showed normal speed.
	}
}

// since returns how many runs were slow since a given time, and how many were reported.
func (w *record) since(t time.Time) (slow, all int) {
	for i := range w.samples {
		if w.samples[i].at.Before(t) {
			continue
		}
		all++
		if w.samples[i].class == classSlow {
			slow++
		}
	}
	return slow, all
}

func (w *record) recent(now time.Time) bool {
	return !w.lastSlow.IsZero() && now.Sub(w.lastSlow) <= recentFor
}

// slowTasks counts the tasks that are slow.
func (w *record) slowTasks() int {
	n := 0
	for i := range w.samples {
		if w.samples[i].class == classSlow {
			n++
		}
	}
	return n
}

// tasksNeeded returns how many slow tasks show that the worker is slow.
func (w *record) tasksNeeded(now time.Time) int {
	if w.recent(now) && !w.slow {
		return 1
	}
	return 2
}

// slowSpeed returns the median relative speed of the slow tasks.
func (w *record) slowSpeed() float64 {
	var all []float64
	for i := range w.samples {
		if w.samples[i].class == classSlow {
			all = append(all, w.samples[i].relative)
		}
	}
	return median(all)
}
