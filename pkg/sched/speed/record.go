package speed

import (
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// change changes whether a worker is slow.
func (w *record) change(name sched.WorkerName, slow bool, tasks int) Change {
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
