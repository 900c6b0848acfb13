package text

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// ChangeKind says what happened to an item of the configuration.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "Added"
	Removed ChangeKind = "Removed"
	Changed ChangeKind = "Changed"
)

// FieldChange is one changed field of an item, with its values as text.
type FieldChange struct {
	Field string
	Old   string
	New   string
}

// Change is one added, removed or changed item.
type Change struct {
	Kind ChangeKind
	// Item is "Service", "Team", "Class" or "Deployment".
	Item string
	Name string
	// Fields is empty for added and removed items.
	Fields []FieldChange
}

// Stop is a service whose state is started but which stops being served, because
// a service that it depends on is no longer started.
type Stop struct {
	Service sched.ServiceName
	Because sched.ServiceName
}

// Difference is the effect of an edit.
type Difference struct {
	Changes []Change
	Stops   []Stop
}

// Empty reports whether nothing changes.
func (d *Difference) Empty() bool { return len(d.Changes) == 0 && len(d.Stops) == 0 }

// String returns one line per change, field and stop.
func (d *Difference) String() string {
	if d.Empty() {
		return "no changes\n"
	}
	var b strings.Builder
	sign := map[ChangeKind]string{Added: "+", Removed: "-", Changed: "~"}
	for _, c := range d.Changes {
		fmt.Fprintf(&b, "%s %s %s\n", sign[c.Kind], c.Item, c.Name)
		for _, f := range c.Fields {
			fmt.Fprintf(&b, "    %s: %s -> %s\n", f.Field, f.Old, f.New)
		}
	}
	for _, s := range d.Stops {
		fmt.Fprintf(&b, "! Service %s stops because it depends on %s\n", s.Service, s.Because)
	}
	return b.String()
}

// Diff returns the changes from one configuration to another. If from is nil, it
// counts as empty.
func Diff(from, to *sched.Config) Difference {
	if from == nil {
		from = &sched.Config{}
	}
	var d Difference
	d.add("Deployment", "", deployment(from), deployment(to))
	diffItems(&d, "Service", from.Services, to.Services, func(s sched.Service) string { return string(s.Name) })
	diffItems(&d, "Team", from.Teams, to.Teams, func(t sched.Team) string { return string(t.Name) })
	diffItems(&d, "Class", from.Classes, to.Classes, func(c sched.BatchClass) string { return string(c.Name) })
	before := Blocked(from)
	after := Blocked(to)
	for _, name := range StopOrder(to) {
		because, blocked := after[name]
		if !blocked {
			continue
		}
		if _, already := before[name]; !already {
			d.Stops = append(d.Stops, Stop{Service: name, Because: because})
		}
	}
	return d
}

// deploymentFields are the settings that are not part of a service, team or
// class. Diff reports them under the item "Deployment".
type deploymentFields struct {
	DataCentres         []sched.DataCentre
	ShardsPerDataCentre int
}

func deployment(c *sched.Config) deploymentFields {
	return deploymentFields{c.DataCentres, c.ShardsPerDataCentre}
}

// diffItems records which items of a list were added, removed or changed. Items
// are matched by name.
func diffItems[T any](d *Difference, item string, from, to []T, name func(T) string) {
	old := map[string]T{}
	for _, v := range from {
		old[name(v)] = v
	}
	kept := map[string]bool{}
	for _, v := range to {
		n := name(v)
		kept[n] = true
		before, ok := old[n]
		if !ok {
			d.Changes = append(d.Changes, Change{Kind: Added, Item: item, Name: n})
			continue
		}
		d.add(item, n, before, v)
	}
	for _, v := range from {
		if !kept[name(v)] {
			d.Changes = append(d.Changes, Change{Kind: Removed, Item: item, Name: name(v)})
		}
	}
}

// add records the fields in which two items differ.
func (d *Difference) add(item, name string, from, to any) {
	a, b := reflect.ValueOf(from), reflect.ValueOf(to)
	var fields []FieldChange
	for i := range a.NumField() {
		oldText, newText := formatValue(a.Field(i).Interface()), formatValue(b.Field(i).Interface())
		if oldText != newText {
			fields = append(fields, FieldChange{Field: a.Type().Field(i).Name, Old: oldText, New: newText})
		}
	}
	if len(fields) > 0 {
		d.Changes = append(d.Changes, Change{Kind: Changed, Item: item, Name: name, Fields: fields})
	}
}

// formatValue renders a field value with the units of the services text.
func formatValue(v any) string {
	switch v := v.(type) {
	case time.Duration:
		return v.String()
	case sched.Resources:
		return fmt.Sprintf("CPU=%s Memory=%s Accelerators=%d", CPU(v.CPU), Memory(v.Memory), v.Accelerators)
	default:
		return fmt.Sprintf("%v", v)
	}
}
