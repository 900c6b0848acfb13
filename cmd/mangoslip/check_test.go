package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/admin"
	"github.com/mangoslip/mangoslip/pkg/client"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/config"
	"github.com/mangoslip/mangoslip/pkg/text"
)

// Guards against check output that omits a service, or that reports a problem
// without its line or key.
func TestCheckOutput(t *testing.T) {
	t.Chdir("../..")
	g := goldie.New(t, goldie.WithFixtureDir("cmd/mangoslip/testdata"))
	out, err := checkFile("examples/deepmala.toml")
	require.NoError(t, err)
	g.Assert(t, "check", []byte(out))
	_, err = checkFile(filepath.Join("cmd", "mangoslip", "testdata", "bad.toml"))
	require.Error(t, err)
	g.Assert(t, "check_bad", []byte(err.Error()+"\n"))
}

// fakeBackend serves one services text at revision 7. It computes the result of
// state edits but does not store it.
type fakeBackend struct {
	admin.Backend
	text   string
	status client.Status
}

func (b *fakeBackend) Status(context.Context) (client.Status, error) { return b.status, nil }

func (b *fakeBackend) Config(context.Context) (config.Stored, error) {
	return config.Stored{Revision: 7, Text: b.text}, nil
}

func (b *fakeBackend) SetState(_ context.Context, e admin.StateEdit) (sched.Revision, []sched.ServiceName, error) {
	_, changed, err := text.SetStates([]byte(b.text), e.Service, e.State, e.Cascade)
	return 8, changed, err
}

func (*fakeBackend) Metrics(http.ResponseWriter, *http.Request) {}

// newTestClient serves b over the admin API and returns a client for it.
func newTestClient(t *testing.T, b *fakeBackend) *client.Client {
	srv := httptest.NewServer(admin.New(b, "secret"))
	t.Cleanup(srv.Close)
	return client.New(netip.MustParseAddrPort(srv.Listener.Addr().String()), "secret")
}

// Guards against diff output that omits a change or a service that stops.
func TestDiffOutput(t *testing.T) {
	t.Chdir("../..")
	data, err := os.ReadFile("examples/deepmala.toml")
	require.NoError(t, err)
	before := strings.Replace(string(data), `Slots = 8`, `Slots = 6`, 1)
	before = strings.Replace(before, `"Settle"`, `"Settlement"`, 1)
	edited, err := text.SetState(data, "Quotes", sched.ServiceDraining)
	require.NoError(t, err)
	name := filepath.Join(t.TempDir(), "edited.toml")
	require.NoError(t, os.WriteFile(name, edited, 0o600))
	out, err := diffFile(t.Context(), newTestClient(t, &fakeBackend{text: before}), name)
	require.NoError(t, err)
	goldie.New(t, goldie.WithFixtureDir("cmd/mangoslip/testdata")).Assert(t, "diff", []byte(out))
}

// Guards against a stop without a cascade that also stops the services that
// depend on the stopped one.
func TestStopNeedsCascade(t *testing.T) {
	data, err := os.ReadFile("../../examples/kigali.toml")
	require.NoError(t, err)
	cl := newTestClient(t, &fakeBackend{text: string(data)})
	_, err = cl.SetState(t.Context(), "Quotes", "stop", false, "ada")
	var refusal *client.Error
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, "DependentServices", refusal.Reason)
	require.Contains(t, refusal.Error(), "stop them first or ask for a cascade")
	change, err := cl.SetState(t.Context(), "Quotes", "stop", true, "ada")
	require.NoError(t, err)
	require.Len(t, change.Changed, 3)
}
