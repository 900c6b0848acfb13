package text

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Problem is one error in a services text.
type Problem struct {
	// Line is the line number, counted from 1; 0 if the problem has no line.
	Line int
	// Key is the path of the value, such as "Services[0].Timeout".
	Key string
	// Message says what is wrong and what would be valid.
	Message string
}

// String returns "line 3: Key: message".
func (p Problem) String() string {
	if p.Line == 0 {
		return p.Key + ": " + p.Message
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Key, p.Message)
}

// Problems is the error of [Parse]: all problems of a text, in the order of their
// lines.
type Problems []Problem

// Error implements error with one problem per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

func (ps Problems) hasKey(key string) bool {
	return slices.ContainsFunc(ps, func(p Problem) bool { return p.Key == key })
}

// sort orders the problems by line and key.
func (ps Problems) sort() {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
}

// decodeProblem converts an error of the TOML decoder.
func decodeProblem(err error) Problem {
	var de *toml.DecodeError
	if !errors.As(err, &de) {
		return Problem{Key: "(text)", Message: err.Error()}
	}
	line, _ := de.Position()
	key := strings.Join(de.Key(), ".")
	if key == "" {
		key = "(text)"
	}
	return Problem{Line: line, Key: key, Message: strings.TrimPrefix(de.Error(), "toml: ")}
}

// allowedKeys lists the keys of each table for error messages.
var allowedKeys = map[string]string{
	"":              "DataCentres, ShardsPerDataCentre, WorkerSize, Services, Teams, Classes",
	"Services":      "Name, State, DependsOn, Team, Objective, Timeout, Slots, Connections, SlotResources, IdempotentMethods, FormerNames",
	"Teams":         "Name, MaxInFlight, Quota, FormerNames",
	"Classes":       "Name, RunTime, MaxAttempts, Checkpoints",
	"WorkerSize":    "CPU, Memory, Accelerators",
	"SlotResources": "CPU, Memory, Accelerators",
	"Quota":         "CPU, Memory, Accelerators",
}

// unknownKeys converts the decoder's error about unknown keys.
func unknownKeys(err *toml.StrictMissingError) Problems {
	var ps Problems
	for i := range err.Errors {
		de := &err.Errors[i]
		line, _ := de.Position()
		key := de.Key()
		table := ""
		if len(key) > 1 {
			table = key[len(key)-2]
		}
		message := "unknown key"
		if allowed, ok := allowedKeys[table]; ok {
			message = "unknown key; allowed are " + allowed
		}
		ps = append(ps, Problem{Line: line, Key: strings.Join(key, "."), Message: message})
	}
	return ps
}

// syntaxProblem converts an error of the TOML parser. It decodes the text again,
// because the decoder reports the same error with its line.
func syntaxProblem(data []byte, err error) Problem {
	var v map[string]any
	if decodeErr := toml.Unmarshal(data, &v); decodeErr != nil {
		return decodeProblem(decodeErr)
	}
	return Problem{Key: "(text)", Message: err.Error()}
}

// wrongCase finds keys that differ from an allowed key only in case. The decoder
// accepts them, because it ignores case.
func wrongCase(idx *index) Problems {
	var ps Problems
	for path, keySpan := range idx.spans {
		table, key := "", path
		if cut := strings.LastIndexByte(path, '.'); cut >= 0 {
			table, key = path[:cut], path[cut+1:]
		}
		table = table[strings.LastIndexByte(table, '.')+1:]
		table, _, _ = strings.Cut(table, "[")
		key, _, _ = strings.Cut(key, "[")
		for allowed := range strings.SplitSeq(allowedKeys[table], ", ") {
			if key != allowed && strings.EqualFold(key, allowed) {
				ps = append(ps, Problem{Line: keySpan.line, Key: path, Message: "unknown key; write " + allowed})
			}
		}
	}
	return ps
}
