package leader

// maxLoggedInvalid bounds the keys that a term logs as invalid, since others can write
// any number of them.
const maxLoggedInvalid = 100

// logInvalid logs the keys of invalid items in a list that others write, such as the
// register of workers, each once.
func (t *term) logInvalid(list string, invalid map[string]error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, err := range invalid {
		if t.loggedInvalid[key] || len(t.loggedInvalid) > maxLoggedInvalid {
			continue
		}
		t.loggedInvalid[key] = true
		if len(t.loggedInvalid) > maxLoggedInvalid {
			t.l.log.Warn("further invalid items in the "+list+" are not logged", "term", t.number, "invalid", len(invalid))
			return
		}
		t.l.log.Warn("item in the "+list+" is invalid", "key", key, "error", err)
	}
}
