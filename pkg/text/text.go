// Package text parses, checks, compares and edits the operators' services text:
// a TOML file that lists the data centres, the services with their dependencies,
// the teams with their quotas and the classes of batch tasks.
//
// Keys are in Pascal case, like the field names of [sched.Config]. Unknown keys
// are refused. Durations are Go durations ("250ms"), memory is a number of bytes
// or a size with a unit ("2GiB"), and processor time is a number of cores (1.5)
// or of thousandths of a core ("1500m").
//
// # Usage
//
//	cfg, err := text.Parse(data)
//	if err != nil {
//		var problems text.Problems
//		errors.As(err, &problems) // each problem with its line and key
//	}
//	for _, name := range text.StartOrder(cfg) {
//		// dependencies come before their dependents
//	}
//
// [Parse] also runs [Check], so a configuration that it returns is
// consistent. [SetState] edits the state of one service and keeps the rest of
// the text byte for byte.
package text

import (
	"bytes"
	"errors"

	"github.com/pelletier/go-toml/v2"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// MaxSize is the maximum size of a services text in bytes. The store accepts
// values of up to a megabyte; half of that leaves space for JSON escapes.
const MaxSize = 512 << 10

// document and the types below mirror the structure of the TOML file. Values are
// decoded as any and converted one by one, so that all invalid values are
// reported at once.
type document struct {
	DataCentres         any
	ShardsPerDataCentre any
	WorkerSize          resourcesDoc
	Services            []serviceDoc
	Teams               []teamDoc
	Classes             []classDoc
}

type resourcesDoc struct {
	CPU          any
	Memory       any
	Accelerators any
}

type serviceDoc struct {
	Name              any
	State             any
	DependsOn         any
	Team              any
	Objective         any
	Timeout           any
	Slots             any
	Connections       any
	SlotResources     resourcesDoc
	IdempotentMethods any
	FormerNames       any
}

type teamDoc struct {
	Name        any
	MaxInFlight any
	Quota       resourcesDoc
	FormerNames any
}

type classDoc struct {
	Name        any
	RunTime     any
	MaxAttempts any
	Checkpoints any
}

// Parse parses and checks a services text. The error is [Problems], which lists
// everything that is wrong, with line and key. If the text is too large or
// cannot be decoded, it has only that problem.
func Parse(data []byte) (*sched.Config, error) {
	if len(data) > MaxSize {
		return nil, Problems{{Key: "(text)", Message: "is larger than 512 KiB; shorten it"}}
	}
	idx, err := newIndex(data)
	if err != nil {
		return nil, err
	}
	var doc document
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	var problems Problems
	if err := dec.Decode(&doc); err != nil {
		var strict *toml.StrictMissingError
		if !errors.As(err, &strict) {
			return nil, Problems{decodeProblem(err)}
		}
		problems = unknownKeys(strict)
	}
	problems = append(problems, wrongCase(idx)...)
	c := &converter{idx: idx, problems: problems}
	cfg, size := c.config(&doc)
	found := c.problems
	for _, p := range Check(cfg, size) {
		p.Line = idx.line(p.Key)
		// One problem for each key is enough: a value that could not be converted
		// would also fail the check.
		if !found.hasKey(p.Key) {
			found = append(found, p)
		}
	}
	if len(found) > 0 {
		found.sort()
		return nil, found
	}
	return cfg, nil
}
