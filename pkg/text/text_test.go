package text_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/text"
)

func example(t testing.TB, name string) []byte {
	data, err := os.ReadFile("../../examples/" + name)
	require.NoError(t, err)
	return data
}

func parse(t *testing.T, data []byte) *sched.Config {
	cfg, err := text.Parse(data)
	require.NoError(t, err)
	return cfg
}

// replace replaces the first occurrence of old, which must exist.
func replace(t *testing.T, data []byte, old, replacement string) []byte {
	require.Contains(t, string(data), old)
	return bytes.Replace(data, []byte(old), []byte(replacement), 1)
}

// requireProblems requires that Parse reports exactly as many problems as want
// has texts, and that each text is part of the error.
func requireProblems(t *testing.T, data []byte, want ...string) {
	t.Helper()
	_, err := text.Parse(data)
	require.Error(t, err)
	require.Len(t, strings.Split(err.Error(), "\n"), len(want), err.Error())
	for _, w := range want {
		require.Contains(t, err.Error(), w)
	}
}

// Guards against an example that does not parse, and against a service or team
// that cannot be found by a former name.
func TestExamplesParse(t *testing.T) {
	parse(t, example(t, "kigali.toml"))
	cfg := parse(t, example(t, "deepmala.toml"))
	s, ok := cfg.Service("HooghlyOrders")
	require.True(t, ok)
	require.Equal(t, sched.ServiceName("Orders"), s.Name)
	team, ok := cfg.Team("Hooghly")
	require.True(t, ok)
	require.Equal(t, sched.TeamName("Desk"), team.Name)
}

// Guards against an inconsistent text that is accepted, or that is refused
// without the line and key of the problem.
func TestParseRefuses(t *testing.T) {
	data := example(t, "kigali.toml")
	cases := []struct{ name, old, replacement, want string }{
		{"cycle", `Name = "Quotes"`, "Name = \"Quotes\"\nDependsOn = [\"Invoices\"]", "line 15: Services[0].DependsOn: dependencies form a cycle: Quotes -> Invoices -> Commissions -> Quotes"},
		{"unknown service", `["Quotes"]`, `["Rates"]`, `line 28: Services[1].DependsOn[0]: service "Commissions" depends on unknown service "Rates"; known are Quotes`},
		{"unknown team", `Team = "Pricing"`, `Team = "Prices"`, `line 16: Services[0].Team: service "Quotes" has unknown team "Prices"`},
		{"unknown key", `Timeout = "2s"`, `TimeOut = "2s"`, "line 31: Services[1].TimeOut: unknown key; write Timeout"},
		{"duplicate name", `Name = "Invoices"`, `Name = "Quotes"`, `line 38: Services[2].Name: name "Quotes" is already used at Services[0].Name`},
		{"slots above the worker", `Memory = "4GiB"`, `Memory = "80GB"`, "line 45: Services[2].SlotResources.Memory: of service \"Invoices\" times 2 Slots exceeds the WorkerSize of 125GB"},
		{"zero timeout", `Timeout = "2s"`, `Timeout = "0s"`, "line 31: Services[1].Timeout: of service \"Commissions\" is zero"},
		{"objective above timeout", `Objective = "50ms"`, `Objective = "1s"`, "line 17: Services[0].Objective: of service \"Quotes\" is 1s, above its Timeout of 500ms"},
		{"wrong unit", `Memory = "125GB"`, `Memory = "125XB"`, `line 10: WorkerSize.Memory: is "125XB"; write a size`},
		{"wrong type", `Slots = 2`, `Slots = "2"`, "line 43: Services[2].Slots: is \"2\"; write a whole number"},
		{"syntax", `Slots = 2`, `Slots = `, "line 43: "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			changed := replace(t, data, c.old, c.replacement)
			_, err := text.Parse(changed)
			require.ErrorContains(t, err, c.want)
		})
	}
	t.Run("former name clashes", func(t *testing.T) {
		requireProblems(t, replace(t, example(t, "deepmala.toml"), `["Hooghly"]`, `["Billing"]`),
			`Teams[0].FormerNames[0]: name "Billing" is already used at Teams[1].Name`)
	})
	t.Run("all at once", func(t *testing.T) {
		changed := replace(t, data, `State = "Started"`, `State = "Running"`)
		changed = replace(t, changed, `Slots = 2`, `Slots = -1`)
		changed = replace(t, changed, `RunTime = "10m"`, `Runs = "10m"`)
		requireProblems(t, changed, "Services[0].State", "Services[2].Slots", "Classes.Runs", "Classes[1].RunTime")
	})
}

// Guards against a state edit that changes anything else in the text.
func TestSetStateKeepsTheRest(t *testing.T) {
	data := example(t, "kigali.toml")
	t.Run("replaces", func(t *testing.T) {
		out, err := text.SetState(data, "Commissions", sched.ServiceStopped)
		require.NoError(t, err)
		i := bytes.Index(data, []byte(`"Commissions"`))
		j := i + bytes.Index(data[i:], []byte(`"Started"`))
		require.Equal(t, string(data[:j])+`"Stopped"`+string(data[j+len(`"Started"`):]), string(out))
	})
	t.Run("adds", func(t *testing.T) {
		out, err := text.SetState(data, "Invoices", sched.ServiceDraining)
		require.NoError(t, err)
		require.Equal(t, string(replace(t, data, "Name = \"Invoices\"\n", "Name = \"Invoices\"\nState = \"Draining\"\n")), string(out))
	})
	t.Run("adds with CRLF and a comment", func(t *testing.T) {
		crlf := bytes.ReplaceAll(replace(t, data, `Name = "Invoices"`, `  Name = "Invoices" # "x"`), []byte("\n"), []byte("\r\n"))
		out, err := text.SetState(crlf, "Invoices", sched.ServiceStopped)
		require.NoError(t, err)
		require.Equal(t, string(replace(t, crlf, "# \"x\"\r\n", "# \"x\"\r\n  State = \"Stopped\"\r\n")), string(out))
	})
	t.Run("inline table", func(t *testing.T) {
		inline := []byte("DataCentres = [\"A\"]\nServices = [{ Name = \"S\", Team = \"T\", Timeout = \"1s\", Objective = \"1s\", Slots = 1, Connections = 1 }]\nTeams = [{ Name = \"T\" }]\n")
		out, err := text.SetState(inline, "S", sched.ServiceStopped)
		require.NoError(t, err)
		require.Equal(t, string(replace(t, inline, `"S"`, `"S", State = "Stopped"`)), string(out))
	})
	t.Run("former name", func(t *testing.T) {
		out, err := text.SetState(example(t, "deepmala.toml"), "HooghlyOrders", sched.ServiceStopped)
		require.NoError(t, err)
		s, _ := parse(t, out).Service("Orders")
		require.Equal(t, sched.ServiceStopped, s.State)
	})
	t.Run("unknown", func(t *testing.T) {
		_, err := text.SetState(data, "Rates", sched.ServiceStopped)
		require.ErrorIs(t, err, text.ErrUnknownService)
	})
}

// Guards against a state edit without a cascade that conflicts with the state of
// other services, and against a cascade that leaves out one of them.
func TestSetStatesCascade(t *testing.T) {
	data := example(t, "kigali.toml")
	_, _, err := text.SetStates(data, "Quotes", sched.ServiceStopped, false)
	var dep *text.DependencyError
	require.ErrorAs(t, err, &dep)
	require.Equal(t, []sched.ServiceName{"Invoices", "Commissions"}, dep.Others)

	stopped, changed, err := text.SetStates(data, "Quotes", sched.ServiceStopped, true)
	require.NoError(t, err)
	require.Equal(t, []sched.ServiceName{"Invoices", "Commissions", "Quotes"}, changed)
	require.Empty(t, text.Blocked(parse(t, stopped)))

	_, _, err = text.SetStates(stopped, "Invoices", sched.ServiceStarted, false)
	require.ErrorAs(t, err, &dep)
	_, changed, err = text.SetStates(stopped, "Invoices", sched.ServiceStarted, true)
	require.NoError(t, err)
	require.Equal(t, []sched.ServiceName{"Quotes", "Commissions", "Invoices"}, changed)
}

// Guards against a difference that omits services that stop because of a
// dependency.
func TestDiffNamesStops(t *testing.T) {
	data := example(t, "kigali.toml")
	stopped, err := text.SetState(data, "Quotes", sched.ServiceStopped)
	require.NoError(t, err)
	d := text.Diff(parse(t, data), parse(t, stopped))
	require.Equal(t, []text.Change{{
		Kind: text.Changed, Item: "Service", Name: "Quotes",
		Fields: []text.FieldChange{{Field: "State", Old: "Started", New: "Stopped"}},
	}}, d.Changes)
	require.Equal(t, []text.Stop{{Service: "Invoices", Because: "Quotes"}, {Service: "Commissions", Because: "Quotes"}}, d.Stops)
	same := text.Diff(parse(t, data), parse(t, data))
	require.True(t, same.Empty())
}

// Guards against input that makes Parse panic, and against a state edit that
// results in an invalid text or in another state than requested.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"kigali.toml", "deepmala.toml"} {
		f.Add(example(f, name))
	}
	f.Add([]byte("Services = [{ Name = \"S\" }]\n[[Services]]\n"))
	f.Add([]byte("[Services.Name]\nCPU = 1e999\n[[Services.Name]]"))
	f.Add([]byte("DataCentres = [\"A\"]\n[[Teams]]\nName = \"T\"\nQuota.CPU = \"9m\""))
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, err := text.Parse(data)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		require.Len(t, text.StartOrder(cfg), len(cfg.Services))
		for _, s := range cfg.Services {
			out, err := text.SetState(data, s.Name, sched.ServiceStopped)
			if err != nil {
				continue // SetState may refuse an unusual layout, but must not damage it.
			}
			after, err := text.Parse(out)
			require.NoError(t, err)
			changed, _ := after.Service(s.Name)
			require.Equal(t, sched.ServiceStopped, changed.State)
		}
	})
}
