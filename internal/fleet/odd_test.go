package fleet_test

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/fleet"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// row returns a row of the list with a field replaced or added.
func row(name, field, value string) string {
	return `{"` + field + `":` + value + `,"Name":"` + name + `","Role":"Worker","State":"Live"` + fill(field) + `}`
}

// fill returns the fields of a valid row other than the given one.
func fill(field string) string {
	var b strings.Builder
	for name, value := range map[string]string{
		"DataCentre": `"Gasabo"`, "Generation": `7`, "Data": `"127.0.0.1:1"`, "Control": `"127.0.0.1:2"`,
		"Capacity": `{"CPU":16000,"Memory":1024}`, "Services": `["Orders"]`,
	} {
		if name != field {
			b.WriteString(`,"` + name + `":` + value)
		}
	}
	return b.String()
}

// readList reads a list with the given body and returns the names in it and what was
// logged. It reads the list twice.
func readList(t *testing.T, body string) (names []string, logged string, err error) {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, body) // An error means that the client has disconnected.
	}))
	defer srv.Close()
	var log strings.Builder
	c := fleet.New(netip.MustParseAddrPort(srv.Listener.Addr().String()), fleet.WithTimeout(time.Minute),
		fleet.WithLogger(slog.New(slog.NewTextHandler(&log, nil))))
	defer c.Close()
	var instances []sched.Instance
	for range 2 {
		if instances, err = c.Instances(t.Context()); err != nil {
			return nil, log.String(), err
		}
	}
	for _, in := range instances {
		names = append(names, in.Name)
	}
	return names, log.String(), nil
}

// Guards against one row that hides the whole list, so that an entry stops following it.
func TestOddRowHidesNoOther(t *testing.T) {
	nested := func(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }
	for name, odd := range map[string]string{
		"nested deeply":        nested(10_001),
		"nested in an unknown": row("odd", "New", nested(100_000)),
		"nested in services":   row("odd", "Services", nested(9_000)),
		"number too large":     row("odd", "Generation", `1e999`),
		"float too large":      row("odd", "Capacity", `{"CPU":1e300}`),
		"sum overflows":        row("odd", "Capacity", `{"CPU":9223372036854775807}`),
		"number negative":      row("odd", "Capacity", `{"Accelerators":-1}`),
		"port out of range":    row("odd", "Data", `"127.0.0.1:65536"`),
		"port 0":               row("odd", "Control", `"127.0.0.1:0"`),
		"host name":            row("odd", "Data", `"worker.example:80"`),
		"another type":         row("odd", "DataCentre", `7`),
		"unknown role":         row("odd", "Role", `"Other"`),
		"no row":               `"text ] } , \" ["`,
		"null":                 `null`,
		"name too long":        row(strings.Repeat("n", 1000), "New", `1`),
	} {
		t.Run(name, func(t *testing.T) {
			if name == "unknown role" {
				odd = strings.Replace(odd, `"Role":"Worker",`, ``, 1)
			}
			names, logged, err := readList(t, "["+row("a", "New", `{}`)+" ,\n"+odd+","+row("b", "New", `"]"`)+"]\n")
			require.NoError(t, err)
			require.Equal(t, []string{"a", "b"}, names)
			require.Equal(t, 1, strings.Count(logged, "row of the instance list is invalid"), "logged once")
			require.Less(t, len(logged), 1000)
		})
	}
}

// Guards against rows that are read from an answer that is cut off, which would make
// live instances look like ones that left.
func TestIncompleteListIsNoList(t *testing.T) {
	whole := "[" + row("a", "New", `{}`) + "," + row("b", "New", `"]"`) + "]"
	for n := range len(whole) {
		_, _, err := readList(t, whole[:n])
		require.ErrorIs(t, err, sched.ErrLost, whole[:n])
	}
	names, _, err := readList(t, whole)
	require.NoError(t, err)
	require.Equal(t, []string{"a", "b"}, names)
	for _, empty := range []string{"[]", " [ ] ", "null"} {
		names, _, err := readList(t, empty)
		require.NoError(t, err)
		require.Empty(t, names)
	}
	for _, other := range []string{`{}`, `7`, `"text"`, `{"a":[]}`} {
		_, _, err := readList(t, other)
		require.ErrorIs(t, err, sched.ErrLost, other)
	}
}
