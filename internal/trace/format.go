package trace

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/tasks"
)

// constantNames maps numeric constants to the names that the transcript shows.
var constantNames = map[any]string{
	sched.RecordDedup:          "Dedup",
	sched.RecordTask:           "Task",
	tasks.CallLost:             "Lost",
	tasks.CallOK:               "OK",
	tasks.CallRefused:          "Refused",
	tasks.CallOtherIncarnation: "OtherIncarnation",
	tasks.CallUnavailable:      "Unavailable",
	tasks.EventAssign:          "Assign",
	tasks.EventAssigned:        "Assigned",
	tasks.EventCancel:          "Cancel",
	tasks.EventFinished:        "Finished",
	tasks.EventFinishAck:       "FinishAck",
	tasks.EventProgress:        "Progress",
}

// omittedFields are the fields that the transcript omits because they only
// repeat the setup of a session.
var omittedFields = map[string]bool{
	"Resources": true, "Instances": true, "Targets": true, "Inventory": true, "Workers": true,
}

// fields formats the fields of a struct, each preceded by a space.
func (t *Trace) fields(v any) string {
	if v == nil {
		return ""
	}
	return t.structFields(reflect.ValueOf(v))
}

func (t *Trace) structFields(v reflect.Value) string {
	var b strings.Builder
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if !f.IsExported() || omittedFields[f.Name] || (v.Field(i).IsZero() && !isMeaningfulZero(v.Field(i))) {
			continue
		}
		if text := t.text(v.Field(i)); text != "{}" {
			fmt.Fprintf(&b, " %s=%s", f.Name, text)
		}
	}
	return b.String()
}

// isMeaningfulZero reports whether a zero value is shown in the transcript. Only
// outcomes are, because their zero value means unknown or lost.
func isMeaningfulZero(v reflect.Value) bool {
	switch v.Interface().(type) {
	case sched.Outcome, tasks.CallOutcome:
		return true
	default:
		return false
	}
}

// text formats one value.
func (t *Trace) text(v reflect.Value) string {
	switch x := v.Interface().(type) {
	case time.Time:
		return strconv.FormatFloat(x.Sub(t.start).Seconds(), 'f', 3, 64)
	case []byte:
		return strconv.Itoa(len(x)) + "B"
	case error:
		return strconv.Quote(x.Error())
	case sched.Config:
		return "Revision" + strconv.FormatUint(uint64(x.Revision), 10)
	case fmt.Stringer:
		return x.String()
	}
	if v.Comparable() {
		if name, ok := constantNames[v.Interface()]; ok {
			return name
		}
	}
	return t.textOfKind(v)
}

func (t *Trace) textOfKind(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		return t.text(v.Elem())
	case reflect.Struct:
		return "{" + strings.TrimPrefix(t.structFields(v), " ") + "}"
	case reflect.Slice:
		parts := make([]string, v.Len())
		for i := range parts {
			parts[i] = t.text(v.Index(i))
		}
		return "[" + strings.Join(parts, " ") + "]"
	case reflect.String:
		if strings.ContainsAny(v.String(), " \n") {
			return strconv.Quote(v.String())
		}
		return v.String()
	default:
		return fmt.Sprint(v.Interface())
	}
}
