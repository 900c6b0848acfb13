package config

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// CurrentKey is the store key of the accepted configuration.
const CurrentKey = "Config/Current"

// maxEarlier is the maximum number of earlier edits that a stored value names.
// An edit whose answer was lost can be resolved as long as no more edits than
// that follow it.
const maxEarlier = 32

// EditRef identifies an accepted edit.
type EditRef struct {
	Revision sched.Revision
	EditID   string
}

// Stored is the configuration as the store holds it, encoded as JSON with these
// field names.
type Stored struct {
	Revision sched.Revision
	EditID   string
	Author   string
	Time     time.Time
	Text     string
	// Earlier names the edits before this one, latest first.
	Earlier []EditRef
}

// Encode returns the JSON encoding of s.
func (s Stored) Encode() []byte {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(s); err != nil {
		panic(err) // Encoding fails only for a time outside of the years 0 to 9999.
	}
	return b.Bytes()
}

// DecodeStored parses the JSON encoding of a stored configuration.
func DecodeStored(data []byte) (Stored, error) {
	var s Stored
	if err := json.Unmarshal(data, &s); err != nil {
		return Stored{}, eris.Wrap(err, "decode stored configuration")
	}
	if s.Revision == 0 {
		return Stored{}, eris.New("decode stored configuration: no revision")
	}
	return s, nil
}

// next returns the value that an edit based on s writes.
func (s Stored) next(id, author, text string, now time.Time) Stored {
	n := Stored{Revision: s.Revision + 1, EditID: id, Author: author, Time: now.UTC(), Text: text}
	if s.Revision > 0 {
		n.Earlier = append(n.Earlier, EditRef{s.Revision, s.EditID})
	}
	n.Earlier = append(n.Earlier, s.Earlier...)
	n.Earlier = n.Earlier[:min(len(n.Earlier), maxEarlier)]
	return n
}

// editAt returns the id of the edit that made a revision. It reports false if s
// does not name that edit.
func (s Stored) editAt(r sched.Revision) (string, bool) {
	if s.Revision == r {
		return s.EditID, true
	}
	for _, e := range s.Earlier {
		if e.Revision == r {
			return e.EditID, true
		}
	}
	return "", false
}
