package audit

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mangoslip/mangoslip/internal/fake"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// keyID is an idempotency key with its scope.
type keyID struct {
	service sched.ServiceName
	key     string
}

func compareKeys(a, b keyID) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.key, b.key))
}

// startCounts counts the starts of requests at all targets.
type startCounts struct {
	byID  map[string]int
	byKey map[keyID]int
	// unkeyed holds the request ids of starts without a key.
	unkeyed map[string]bool
}

func startsOf(workers []fake.WorkerRecords) startCounts {
	s := startCounts{make(map[string]int), make(map[keyID]int), make(map[string]bool)}
	for _, w := range workers {
		for _, run := range w.Requests {
			s.byID[run.ID]++
			if run.Key == "" {
				s.unkeyed[run.ID] = true
				continue
			}
			s.byKey[keyID{run.Service, run.Key}]++
		}
	}
	return s
}

// checkDuplicates reports each key, and each call without a key, that was started
// more than once and is not idempotent. A start whose call is not in the log
// counts as not idempotent.
func checkDuplicates(r *Result, answers []Answer, s startCounts) {
	idempotentID := make(map[string]bool)
	idempotentKey := make(map[keyID]bool)
	for _, a := range answers {
		idempotentID[a.RequestID] = a.Idempotent
		if a.Key == "" {
			continue
		}
		k := keyID{a.Service, a.Key}
		before, seen := idempotentKey[k]
		idempotentKey[k] = a.Idempotent && (before || !seen)
	}
	for _, id := range slices.Sorted(maps.Keys(s.byID)) {
		if n := s.byID[id]; n > 1 && s.unkeyed[id] && !idempotentID[id] {
			r.add(&r.Counts.DuplicateRuns, "request %s started %d times", id, n)
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(s.byKey), compareKeys) {
		if n := s.byKey[k]; n > 1 && !idempotentKey[k] {
			r.add(&r.Counts.DuplicateRuns, "key %s of service %s started %d times", k.key, k.service, n)
		}
	}
}

// checkNotRun reports calls that were answered with NotRun although a target
// started them.
func checkNotRun(r *Result, answers []Answer, s startCounts) {
	for _, a := range answers {
		if n := s.byID[a.RequestID]; a.Outcome == sched.NotRun && n > 0 {
			r.add(&r.Counts.FalseNotRun, "request %s was told NotRun and started %d times", a.RequestID, n)
		}
	}
}

// checkAnswers compares the token of each answer with the token of its call. An
// answer with the outcome Ran and no token is wrong too, unless its reason is
// that the answer has expired.
func checkAnswers(r *Result, answers []Answer) {
	for _, a := range answers {
		answered := a.Outcome == sched.Ran && a.Reason != sched.ReasonAnswerExpired
		if a.Token != a.Got && (a.Got != "" || answered) {
			r.add(&r.Counts.WrongAnswers, "request %s sent token %q and got %q", a.RequestID, a.Token, a.Got)
		}
	}
}

// checkCapacity compares the peak use of each worker with its limits.
func checkCapacity(r *Result, workers []fake.WorkerRecords) {
	for _, w := range workers {
		for _, s := range w.Config.Services {
			if n := w.MaxBusy[s.Service]; n > s.Slots {
				r.add(&r.Counts.Overcommits, "worker %s had %d of %d slots of %s in use",
					w.Config.Name, n, s.Slots, s.Service)
			}
		}
		if limit := w.Config.Connections; limit > 0 && w.MaxConnections > limit {
			r.add(&r.Counts.Overcommits, "worker %s had %d of %d connections open",
				w.Config.Name, w.MaxConnections, limit)
		}
		for _, o := range w.Overcommits {
			r.add(&r.Counts.Overcommits, "worker %s ran %v of %v", o.Worker, o.Used, o.Capacity)
		}
	}
}

// checkRevisions reports decreases of the revision at each entry, in the order
// of time.
func checkRevisions(r *Result, seen []RevisionInForce) {
	seen = slices.Clone(seen)
	slices.SortStableFunc(seen, func(a, b RevisionInForce) int { return a.At.Compare(b.At) })
	last := make(map[sched.EntryName]sched.Revision)
	for _, s := range seen {
		if before := last[s.Entry]; s.Revision < before {
			r.add(&r.Counts.ConfigReversions, "entry %s went from revision %d to %d", s.Entry, before, s.Revision)
		}
		last[s.Entry] = s.Revision
	}
}
