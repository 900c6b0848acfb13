package text

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// ErrUnknownService means that the services text has no service with the name.
var ErrUnknownService = errors.New("unknown service")

// DependencyError is the refusal of a state change that requires other services
// to change as well.
type DependencyError struct {
	Service sched.ServiceName
	State   sched.ServiceState
	// Others are the services that must change too, in this order.
	Others []sched.ServiceName
}

// Error implements error.
func (e *DependencyError) Error() string {
	if e.State == sched.ServiceStarted {
		return fmt.Sprintf("service %s depends on %v, which are not started; start them first or ask for a cascade", e.Service, e.Others)
	}
	return fmt.Sprintf("started services %v depend on %s; stop them first or ask for a cascade", e.Others, e.Service)
}

// SetStates sets the state of a service. With cascade it also changes the started
// services that depend on it (stop, drain) or its dependencies that are not
// started (start). Without cascade it returns a [*DependencyError] if there are
// any. It returns the new text and the changed services in the order in which
// they change.
func SetStates(data []byte, name sched.ServiceName, state sched.ServiceState, cascade bool) ([]byte, []sched.ServiceName, error) {
	cfg, err := Parse(data)
	if err != nil {
		return nil, nil, err
	}
	s, ok := cfg.Service(name)
	if !ok {
		return nil, nil, fmt.Errorf("%w %q", ErrUnknownService, name)
	}
	others := requiredChanges(cfg, s.Name, state)
	if len(others) > 0 && !cascade {
		return nil, nil, &DependencyError{Service: s.Name, State: state, Others: others}
	}
	var changed []sched.ServiceName
	for _, n := range append(others, s.Name) {
		if service, _ := cfg.Service(n); service.State == state {
			continue
		}
		if data, err = SetState(data, n, state); err != nil {
			return nil, nil, err
		}
		changed = append(changed, n)
	}
	return data, changed, nil
}

// requiredChanges returns the other services whose state must change before that
// of the named one, in order.
func requiredChanges(cfg *sched.Config, name sched.ServiceName, state sched.ServiceState) []sched.ServiceName {
	list := Dependents(cfg, name)
	if state == sched.ServiceStarted {
		list = Dependencies(cfg, name)
	}
	return slices.DeleteFunc(list, func(n sched.ServiceName) bool {
		other, _ := cfg.Service(n)
		started := other.State == sched.ServiceStarted
		return started == (state == sched.ServiceStarted)
	})
}

// SetState sets the State of one service, by name or former name, and keeps
// the rest of the text byte for byte. Before it returns the new text, it compares
// the parsed texts and returns an error if anything but the state would change.
func SetState(data []byte, name sched.ServiceName, state sched.ServiceState) ([]byte, error) {
	before, err := Parse(data)
	if err != nil {
		return nil, err
	}
	s, ok := before.Service(name)
	if !ok {
		return nil, fmt.Errorf("%w %q", ErrUnknownService, name)
	}
	if s.State == state {
		return data, nil
	}
	idx, err := newIndex(data)
	if err != nil {
		return nil, err
	}
	i := slices.IndexFunc(before.Services, func(o sched.Service) bool { return o.Name == s.Name })
	out := splice(data, idx, elementKey("Services", i), state)
	after, err := Parse(out)
	if err != nil {
		return nil, fmt.Errorf("set state of service %s: the edited text is invalid: %w", s.Name, err)
	}
	s.State = state
	if d := Diff(before, after); len(d.Changes) > 0 {
		return nil, eris.Errorf("set state of service %s: the edit would change more than the state; edit the text by hand", s.Name)
	}
	return out, nil
}

// splice replaces the value of State in the table of a service, or adds the key
// after Name.
func splice(data []byte, idx *index, key string, state sched.ServiceState) []byte {
	value := strconv.Quote(string(state))
	if p, ok := idx.spans[key+".State"]; ok && p.valueEnd > p.valueStart {
		return bytes.Join([][]byte{data[:p.valueStart], data[p.valueEnd:]}, []byte(value))
	}
	p := idx.spans[key+".Name"]
	lineStart := bytes.LastIndexByte(data[:p.valueStart], '\n') + 1
	indent := data[lineStart : len(data)-len(bytes.TrimLeft(data[lineStart:], " \t"))]
	if !bytes.HasPrefix(bytes.TrimLeft(data[lineStart:], " \t"), []byte("Name")) {
		// The service is an inline table.
		return bytes.Join([][]byte{data[:p.valueEnd], data[p.valueEnd:]}, []byte(", State = "+value))
	}
	newline := "\n"
	end := bytes.IndexByte(data[p.valueEnd:], '\n')
	if end < 0 {
		insert := newline + string(indent) + "State = " + value
		return append(slices.Clone(data), insert...)
	}
	end += p.valueEnd
	if end > 0 && data[end-1] == '\r' {
		newline = "\r\n"
	}
	insert := string(indent) + "State = " + value + newline
	return bytes.Join([][]byte{data[:end+1], data[end+1:]}, []byte(insert))
}
