package text

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// span is the position of a key and its value in the text.
type span struct {
	line int
	// valueStart and valueEnd are the byte offsets of a string value.
	valueStart, valueEnd int
	// keyEnd is the offset after the last byte of the key.
	keyEnd int
}

// index maps the path of each key ("Services[0].Timeout") to its position.
type index struct {
	spans map[string]span
	// tables is the number of elements seen so far in each array of tables.
	tables map[string]int
	parser *unstable.Parser
}

// newIndex scans the text. A syntax error is returned as [Problems].
func newIndex(data []byte) (*index, error) {
	idx := &index{spans: map[string]span{}, tables: map[string]int{}, parser: &unstable.Parser{}}
	idx.parser.Reset(data)
	prefix := ""
	for idx.parser.NextExpression() {
		e := idx.parser.Expression()
		switch e.Kind {
		case unstable.Table:
			prefix = idx.tablePath(e)
		case unstable.ArrayTable:
			prefix = idx.tablePath(e)
			n := idx.tables[prefix]
			idx.tables[prefix] = n + 1
			keySpan := idx.spans[prefix]
			prefix += "[" + strconv.Itoa(n) + "]"
			idx.spans[prefix] = keySpan
		case unstable.KeyValue:
			idx.keyValue(prefix, e)
		}
	}
	if err := idx.parser.Error(); err != nil {
		return nil, Problems{syntaxProblem(data, err)}
	}
	return idx, nil
}

// tablePath records the position of a table header and returns the table's path.
// A part of the header that names an array of tables refers to its last element.
func (x *index) tablePath(e *unstable.Node) string {
	path, keySpan := "", span{}
	for it := e.Key(); it.Next(); {
		if n := x.tables[path]; n > 0 {
			path += "[" + strconv.Itoa(n-1) + "]"
		}
		path = join(path, string(it.Node().Data))
		keySpan = x.keySpan(it.Node())
	}
	x.spans[path] = keySpan
	return path
}

// keyValue records the position of a key, of the tables that a dotted key implies
// and of the keys within the value.
func (x *index) keyValue(prefix string, e *unstable.Node) {
	path, keySpan := prefix, span{}
	for it := e.Key(); it.Next(); {
		path = join(path, string(it.Node().Data))
		keySpan = x.keySpan(it.Node())
		if _, ok := x.spans[path]; !ok {
			x.spans[path] = keySpan
		}
	}
	value := e.Value()
	if value.Kind == unstable.String {
		keySpan.valueStart = int(value.Raw.Offset)
		keySpan.valueEnd = keySpan.valueStart + int(value.Raw.Length)
	}
	x.spans[path] = keySpan
	x.children(path, value)
}

// children records the positions of the keys and elements in a value. Elements
// of an array have the position of the array's key.
func (x *index) children(path string, value *unstable.Node) {
	n := 0
	for it := value.Children(); it.Next(); {
		child := it.Node()
		switch value.Kind {
		case unstable.InlineTable:
			x.keyValue(path, child)
		case unstable.Array:
			element := path + "[" + strconv.Itoa(n) + "]"
			x.spans[element] = x.spans[path]
			x.children(element, child)
			n++
		}
	}
}

// keySpan returns the position of a key, without that of its value.
func (x *index) keySpan(key *unstable.Node) span {
	shape := x.parser.Shape(key.Raw)
	return span{line: shape.Start.Line, keyEnd: int(key.Raw.Offset) + int(key.Raw.Length)}
}

// line returns the line number of a path or, if the text does not contain it, of
// its nearest ancestor; 0 if there is none.
func (x *index) line(path string) int {
	for path != "" {
		if s, ok := x.spans[path]; ok {
			return s.line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return 0
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}
