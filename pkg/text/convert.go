package text

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// converter turns decoded values into typed ones and collects the problems.
type converter struct {
	idx      *index
	problems Problems
}

func (c *converter) fail(key, format string, args ...any) {
	c.problems = append(c.problems, Problem{Line: c.idx.line(key), Key: key, Message: fmt.Sprintf(format, args...)})
}

// config converts the document and returns the worker size for [Check].
func (c *converter) config(doc *document) (*sched.Config, sched.Resources) {
	cfg := &sched.Config{ShardsPerDataCentre: defaultShards}
	for _, name := range c.strings("DataCentres", doc.DataCentres) {
		cfg.DataCentres = append(cfg.DataCentres, sched.DataCentre(name))
	}
	if doc.ShardsPerDataCentre != nil {
		cfg.ShardsPerDataCentre = c.integer("ShardsPerDataCentre", doc.ShardsPerDataCentre)
	}
	for i := range doc.Services {
		cfg.Services = append(cfg.Services, c.service(elementKey("Services", i), &doc.Services[i]))
	}
	for i := range doc.Teams {
		cfg.Teams = append(cfg.Teams, c.team(elementKey("Teams", i), &doc.Teams[i]))
	}
	for i := range doc.Classes {
		cfg.Classes = append(cfg.Classes, c.class(elementKey("Classes", i), &doc.Classes[i]))
	}
	return cfg, c.resources("WorkerSize", doc.WorkerSize)
}

// Defaults of keys that may be left out.
const (
	defaultShards      = 2
	defaultMaxAttempts = 3
)

func (c *converter) service(key string, d *serviceDoc) sched.Service {
	s := sched.Service{
		Name:              sched.ServiceName(c.string(key+".Name", d.Name)),
		State:             sched.ServiceStarted,
		Team:              sched.TeamName(c.string(key+".Team", d.Team)),
		Objective:         c.duration(key+".Objective", d.Objective),
		Timeout:           c.duration(key+".Timeout", d.Timeout),
		Slots:             c.integer(key+".Slots", d.Slots),
		Connections:       c.integer(key+".Connections", d.Connections),
		SlotResources:     c.resources(key+".SlotResources", d.SlotResources),
		IdempotentMethods: c.strings(key+".IdempotentMethods", d.IdempotentMethods),
	}
	if d.State != nil {
		s.State = sched.ServiceState(c.string(key+".State", d.State))
	}
	for _, name := range c.strings(key+".DependsOn", d.DependsOn) {
		s.DependsOn = append(s.DependsOn, sched.ServiceName(name))
	}
	for _, name := range c.strings(key+".FormerNames", d.FormerNames) {
		s.FormerNames = append(s.FormerNames, sched.ServiceName(name))
	}
	return s
}

func (c *converter) team(key string, d *teamDoc) sched.Team {
	t := sched.Team{
		Name:        sched.TeamName(c.string(key+".Name", d.Name)),
		MaxInFlight: c.integer(key+".MaxInFlight", d.MaxInFlight),
		Quota:       c.resources(key+".Quota", d.Quota),
	}
	for _, name := range c.strings(key+".FormerNames", d.FormerNames) {
		t.FormerNames = append(t.FormerNames, sched.TeamName(name))
	}
	return t
}

func (c *converter) class(key string, d *classDoc) sched.BatchClass {
	class := sched.BatchClass{
		Name:        sched.ClassName(c.string(key+".Name", d.Name)),
		RunTime:     c.duration(key+".RunTime", d.RunTime),
		MaxAttempts: defaultMaxAttempts,
	}
	if d.MaxAttempts != nil {
		class.MaxAttempts = c.integer(key+".MaxAttempts", d.MaxAttempts)
	}
	if d.Checkpoints != nil {
		v, ok := d.Checkpoints.(bool)
		if !ok {
			c.fail(key+".Checkpoints", "is %#v; write true or false", d.Checkpoints)
		}
		class.Checkpoints = v
	}
	return class
}

func (c *converter) resources(key string, d resourcesDoc) sched.Resources {
	return sched.Resources{
		CPU:          c.cpu(key+".CPU", d.CPU),
		Memory:       c.memory(key+".Memory", d.Memory),
		Accelerators: c.integer(key+".Accelerators", d.Accelerators),
	}
}

func (c *converter) string(key string, v any) string {
	if v == nil {
		return ""
	}
	s, ok := v.(string)
	if !ok {
		c.fail(key, "is %#v; write a text in quotes", v)
	}
	return s
}

func (c *converter) strings(key string, v any) []string {
	if v == nil {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		c.fail(key, "is %#v; write a list of texts in quotes", v)
		return nil
	}
	var out []string
	for i, e := range list {
		s, ok := e.(string)
		if !ok {
			c.fail(elementKey(key, i), "is %#v; write a text in quotes", e)
			continue
		}
		out = append(out, s)
	}
	return out
}

func (c *converter) integer(key string, v any) int {
	if v == nil {
		return 0
	}
	n, ok := v.(int64)
	if !ok || n < 0 || n > math.MaxInt32 {
		c.fail(key, "is %#v; write a whole number from 0 to %d", v, math.MaxInt32)
		return 0
	}
	return int(n)
}

func (c *converter) duration(key string, v any) time.Duration {
	if v == nil {
		return 0
	}
	s, ok := v.(string)
	d, err := time.ParseDuration(s)
	if !ok || err != nil || d < 0 {
		c.fail(key, "is %#v; write a duration such as \"250ms\", \"30s\" or \"72h\"", v)
		return 0
	}
	return d
}

func (c *converter) memory(key string, v any) sched.Bytes {
	var m Memory
	if err := unmarshalValue(&m, v); err != nil {
		c.fail(key, "%v", err)
	}
	return sched.Bytes(m)
}

func (c *converter) cpu(key string, v any) sched.MilliCPU {
	var m CPU
	if err := unmarshalValue(&m, v); err != nil {
		c.fail(key, "%v", err)
	}
	return sched.MilliCPU(m)
}

// unmarshalValue parses a decoded string or number into to. A missing value
// leaves to unchanged.
func unmarshalValue(to interface{ UnmarshalText([]byte) error }, v any) error {
	if v == nil {
		return nil
	}
	return to.UnmarshalText([]byte(fmt.Sprint(v)))
}

// elementKey returns the path of an element of a list, such as "Services[0]".
func elementKey(key string, i int) string { return key + "[" + strconv.Itoa(i) + "]" }

// Memory is a size in bytes. It is written as a number of bytes or with a unit:
// "2GiB", "125GB", "512MiB".
type Memory sched.Bytes

// UnmarshalText implements encoding.TextUnmarshaler.
func (m *Memory) UnmarshalText(b []byte) error {
	n, err := humanize.ParseBytes(string(b))
	if err != nil || n > math.MaxInt64 {
		return eris.Errorf("is %q; write a size such as \"512MiB\" or \"125GB\"", b)
	}
	*m = Memory(n)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (m Memory) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// String returns the exact size in the first of GiB, MiB, KiB, GB and MB of which
// it is a whole multiple, otherwise in bytes.
func (m Memory) String() string {
	for _, u := range []struct {
		size Memory
		name string
	}{{1 << 30, "GiB"}, {1 << 20, "MiB"}, {1 << 10, "KiB"}, {1e9, "GB"}, {1e6, "MB"}} {
		if m != 0 && m%u.size == 0 {
			return strconv.FormatInt(int64(m/u.size), 10) + u.name
		}
	}
	return strconv.FormatInt(int64(m), 10)
}

// CPU is an amount of processor time, stored in thousandths of a core. It is
// written in cores ("2", "0.5") or in thousandths of a core ("500m").
type CPU sched.MilliCPU

// maxCPU is the maximum of a single value in thousandths of a core. It keeps sums
// over the largest fleet far below the integer range.
const maxCPU = 1_000_000_000

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *CPU) UnmarshalText(b []byte) error {
	s, scale := string(b), 1000.0
	if n := len(s); n > 0 && s[n-1] == 'm' {
		s, scale = s[:n-1], 1
	}
	v, err := strconv.ParseFloat(s, 64)
	if milli := math.Round(v * scale); err == nil && milli >= 0 && milli <= maxCPU {
		*c = CPU(milli)
		return nil
	}
	return eris.Errorf("is %q; write cores such as 2 or \"0.5\", or thousandths such as \"500m\"", b)
}

// MarshalText implements encoding.TextMarshaler.
func (c CPU) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// String returns a whole number of cores, or thousandths if it is not whole.
func (c CPU) String() string {
	if c%1000 == 0 {
		return strconv.FormatInt(int64(c/1000), 10)
	}
	return strconv.FormatInt(int64(c), 10) + "m"
}
