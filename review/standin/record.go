//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// runRecord is what the workers saw of one run.
type runRecord struct {
	worker  *worker
	run     uint64
	started time.Time
	ended   time.Time
	how     string
	// noted means that the end was taken note of, excused that the worker's lease had
	// lapsed before.
	noted, excused bool
}

type jobRecord struct {
	spec   string
	prefix string
	steps  []taskSpec
	// answers are the statuses of the attempts to hand it in.
	answers  []int
	accepted time.Time
}

// recorder writes the record and checks the rules.
type recorder struct {
	mu     sync.Mutex
	out    *os.File
	began  time.Time
	jobs   map[string]*jobRecord
	tasks  map[string][]*runRecord
	broken []string
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{out: f, began: time.Now(), jobs: map[string]*jobRecord{}, tasks: map[string][]*runRecord{}}, err
}

func (r *recorder) write(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f  ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

// violate records that a rule is broken.
func (r *recorder) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
	r.write("BROKEN "+format, args...)
}

func (r *recorder) spec(task, text string) (taskSpec, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, step, err := stepOf(task)
	j := r.jobs[id]
	if err != nil || j == nil || step >= len(j.steps) || j.spec != text {
		return taskSpec{}, false
	}
	return j.steps[step], true
}

func (r *recorder) asked(w *worker, id taskRun) {
	r.violate("UNASKED: %s was told to start %s run %d, which no client sent so", w.id, id.task, id.run)
}

func (r *recorder) started(w *worker, id taskRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("start  %s run %d on %s", id.task, id.run, w.id)
	r.tasks[id.task] = append(r.tasks[id.task], &runRecord{worker: w, run: id.run, started: time.Now()})
}

func (r *recorder) find(w *worker, id taskRun) *runRecord {
	runs := r.tasks[id.task]
	for i := len(runs) - 1; i >= 0; i-- {
		if runs[i].worker == w && runs[i].run == id.run {
			return runs[i]
		}
	}
	return &runRecord{}
}

func (r *recorder) ended(w *worker, id taskRun, n uint64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("end    %s run %d on %s: %s, number %d", id.task, id.run, w.id, how, n)
	x := r.find(w, id)
	x.ended, x.how = time.Now(), how
}

func (r *recorder) noted(w *worker, id taskRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("noted  %s run %d on %s", id.task, id.run, w.id)
	r.find(w, id).noted = true
}

// lapsed excuses the ends of a worker that are not taken note of yet.
func (r *recorder) lapsed(w *worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("lease of %s lapses", w.id)
	for _, runs := range r.tasks {
		for _, x := range runs {
			if x.worker == w && !x.ended.IsZero() && !x.noted {
				x.excused = true
			}
		}
	}
}

// checkTwice checks the rule TWICE for all tasks: no two runs at the same time, and no
// start after an end done that was taken note of.
func (r *recorder) checkTwice() {
	r.mu.Lock()
	var found []string
	together, after := 0, 0
	for task, runs := range r.tasks {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				switch {
				case a.ended.IsZero() || a.ended.After(b.started):
					together++
					found = append(found, fmt.Sprintf("%s: run %d on %s and run %d on %s at the same time", task, a.run, a.worker.id, b.run, b.worker.id))
				case a.how == "done" && a.noted && !a.excused:
					after++
					found = append(found, fmt.Sprintf("%s: run %d starts on %s %.3f s after run %d ended done on %s", task, b.run, b.worker.id,
						b.started.Sub(a.ended).Seconds(), a.run, a.worker.id))
				}
			}
		}
	}
	tasks := len(r.tasks)
	r.mu.Unlock()
	for i, f := range found {
		if i == 20 {
			break
		}
		r.violate("TWICE: %s", f)
	}
	r.line("TWICE: of %d tasks that started, %d times two runs at once, %d starts after an end done", tasks, together, after)
}
