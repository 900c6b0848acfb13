package flow

// mayLose reports whether a run of the task may be stopped without making more
// tasks of the step unavailable than the step permits.
func (s *step) mayLose(t *task) bool {
	if s.spec.MaxUnavailable == 0 {
		return true
	}
	away := 0
	for _, other := range s.tasks {
		if other != t && !other.available() {
			away++
		}
	}
	return away < s.spec.MaxUnavailable
}

// available reports whether a run of the task has finished starting and is not
// being stopped.
func (t *task) available() bool {
	for _, r := range t.runs {
		if r.ready() {
			return true
		}
	}
	return false
}
