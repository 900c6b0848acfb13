package fleet

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// maxTextBytes bounds a name in the list, and maxServices the services of a
	// worker.
	maxTextBytes = 200
	maxServices  = 1024
	// maxErrorBytes bounds what is logged of the error of a row.
	maxErrorBytes = 200
)

// decodeList decodes the instance list. A row that does not describe an instance is
// logged once and left out, so that it does not hide the others.
func (c *Client) decodeList(body []byte) ([]sched.Instance, error) {
	rows, err := splitList(body)
	if err != nil {
		return nil, err
	}
	list := make([]sched.Instance, 0, len(rows))
	for _, row := range rows {
		in, err := decodeInstance(row)
		if err == nil {
			list = append(list, in)
			continue
		}
		if name := cut(in.Name, maxTextBytes); c.invalid.First(name) {
			c.log.Warn("row of the instance list is invalid", "name", name, "bytes", len(row), "error", cut(err.Error(), maxErrorBytes))
		}
	}
	return list, nil
}

// cut returns at most the first n bytes of a text.
func cut(s string, n int) string { return strings.ToValidUTF8(s[:min(n, len(s))], "") }

// decodeInstance decodes and checks one row of the list.
func decodeInstance(row []byte) (sched.Instance, error) {
	var in sched.Instance
	if err := json.Unmarshal(row, &in); err != nil {
		return in, err
	}
	switch {
	case in.Name == "" || len(in.Name) > maxTextBytes:
		return in, errors.New("the name is empty or too long")
	case in.Role != sched.RoleEntry && in.Role != sched.RoleWorker:
		return in, fmt.Errorf("unknown role %q", in.Role)
	case in.State != sched.StateLive && in.State != sched.StateLeaving:
		return in, fmt.Errorf("unknown state %q", in.State)
	case hasNoPort(in.Data) || hasNoPort(in.Control):
		return in, errors.New("an address has no port")
	case !in.Capacity.Possible():
		return in, fmt.Errorf("impossible capacity %s", in.Capacity)
	case len(in.DataCentre) > maxTextBytes || len(in.Rack) > maxTextBytes || len(in.Services) > maxServices:
		return in, errors.New("a text or the list of services is too long")
	}
	return in, nil
}

// hasNoPort reports whether an address that is given has port 0.
func hasNoPort(a netip.AddrPort) bool { return a.IsValid() && a.Port() == 0 }

// errNoList means that an answer is not a complete JSON list.
var errNoList = errors.New("answer is not a complete list")

// splitList returns the elements of a JSON list. It does not check them: package json
// refuses a whole list of which one element is nested too deeply.
func splitList(b []byte) ([][]byte, error) {
	if string(bytes.TrimSpace(b)) == "null" {
		return nil, nil
	}
	var elements [][]byte
	start, depth := -1, 0
	inString, escaped := false, false
	for i, c := range b {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped, inString = c == '\\', c != '"'
		case c == '"':
			inString = depth > 0
		case c == '[' || c == '{':
			if depth++; depth == 1 && c == '[' {
				start = i + 1
			}
		case c == ']' || c == '}':
			if depth--; depth == 0 && start >= 0 {
				return appendElement(elements, b[start:i]), nil
			}
		case c == ',' && depth == 1 && start >= 0:
			elements = append(elements, b[start:i])
			start = i + 1
		}
		if depth == 0 && c > ' ' || depth > 0 && start < 0 {
			return nil, errNoList
		}
	}
	return nil, errNoList
}

// appendElement appends the last element of a list, which is missing in an empty list.
func appendElement(elements [][]byte, last []byte) [][]byte {
	if len(elements) == 0 && len(bytes.TrimSpace(last)) == 0 {
		return nil
	}
	return append(elements, last)
}
