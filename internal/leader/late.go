package leader

import "github.com/mangoslip/mangoslip/pkg/sched"

// LateJobs returns the late jobs of a queue, or of all queues if the name is empty. known
// is false if the state machine does not know them, as while the stored state is loaded.
// leads reports whether this entry leads as far as it knows.
func (l *Leader) LateJobs(q sched.QueueName, limit int) (list sched.LateJobs, known, leads bool) {
	l.mu.Lock()
	leads = l.term != nil
	l.mu.Unlock()
	t := l.loadedTerm()
	if t == nil {
		return sched.LateJobs{}, false, leads
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	list, known = t.machine.LateJobs(l.now(), q, limit)
	return list, known && !t.broken, true
}
