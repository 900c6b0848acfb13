package admin_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/admin"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/config"
)

const current = "DataCentres = [\"A\"]\n[[Teams]]\nName = \"T\"\n"

// fakeBackend serves one services text at revision 7 and records the edits.
type fakeBackend struct {
	admin.Backend
	edits  []admin.Edit
	states []admin.StateEdit
}

func (*fakeBackend) Config(context.Context) (config.Stored, error) {
	return config.Stored{Revision: 7, Text: current}, nil
}

func (f *fakeBackend) PutConfig(_ context.Context, e admin.Edit) (sched.Revision, error) {
	if e.IfMatch != 7 {
		return 0, &config.ConflictError{Current: 7}
	}
	f.edits = append(f.edits, e)
	return 8, nil
}

func (f *fakeBackend) SetState(_ context.Context, e admin.StateEdit) (sched.Revision, []sched.ServiceName, error) {
	f.states = append(f.states, e)
	return 8, []sched.ServiceName{e.Service}, nil
}

func (*fakeBackend) Ready() error { return errors.New("starting") }

// call sends a request to the handler. The header Authorization is the token and
// If-Match is ifMatch; each is left out if empty.
func call(f *fakeBackend, method, path, token, ifMatch, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", token)
	}
	if ifMatch != "" {
		r.Header.Set("If-Match", ifMatch)
	}
	w := httptest.NewRecorder()
	admin.New(f, "secret").ServeHTTP(w, r)
	return w
}

// Guards against a path of the operators' API that can be used without the right
// token.
func TestToken(t *testing.T) {
	for _, path := range []string{"/v1/config", "/v1/status", "/v1/workers", "/v1/jobs", "/metrics", "/elsewhere"} {
		for _, token := range []string{"", "Bearer ", "Bearer secre", "Bearer secrets", "secret"} {
			require.Equal(t, http.StatusUnauthorized, call(&fakeBackend{}, "GET", path, token, "", "").Code, "%s %q", path, token)
		}
	}
	require.Equal(t, http.StatusOK, call(&fakeBackend{}, "GET", "/healthz", "", "", "").Code)
	require.Equal(t, http.StatusServiceUnavailable, call(&fakeBackend{}, "GET", "/readyz", "", "", "").Code)
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/v1/config", nil)
	r.Header.Set("Authorization", "Bearer ")
	admin.New(&fakeBackend{}, "").ServeHTTP(w, r)
	require.Equal(t, http.StatusUnauthorized, w.Code, "no token is set")
}

// Guards against an edit that is accepted without a base revision, or with one
// that is not the current revision.
func TestPutConfigNeedsTheCurrentRevision(t *testing.T) {
	f := &fakeBackend{}
	require.Equal(t, `"7"`, call(f, "GET", "/v1/config", "Bearer secret", "", "").Header().Get("ETag"))
	require.Equal(t, http.StatusPreconditionRequired, call(f, "PUT", "/v1/config", "Bearer secret", "", current).Code)
	w := call(f, "PUT", "/v1/config", "Bearer secret", `"6"`, strings.ReplaceAll(current, `"T"`, `"U"`))
	require.Equal(t, http.StatusPreconditionFailed, w.Code)
	require.Contains(t, w.Body.String(), `"Revision":7`)
	require.Contains(t, w.Body.String(), `{"Kind":"Removed","Item":"Team","Name":"T"`)
	require.Empty(t, f.edits)
	require.Equal(t, http.StatusOK, call(f, "PUT", "/v1/config", "Bearer secret", `"7"`, current).Code)
	require.Len(t, f.edits, 1)
	require.Equal(t, http.StatusRequestEntityTooLarge, call(f, "PUT", "/v1/config", "Bearer secret", `"7"`, strings.Repeat("#", 1<<20)).Code)
}

// Guards against a cascade that the operator did not request.
func TestSetState(t *testing.T) {
	f := &fakeBackend{}
	require.Equal(t, http.StatusOK, call(f, "POST", "/v1/services/Quotes/stop", "Bearer secret", "", "").Code)
	require.Equal(t, http.StatusOK, call(f, "POST", "/v1/services/Quotes/drain?Cascade=true", "Bearer secret", "", "").Code)
	require.Equal(t, http.StatusNotFound, call(f, "POST", "/v1/services/Quotes/halt", "Bearer secret", "", "").Code)
	require.Equal(t, []admin.StateEdit{
		{Service: "Quotes", State: sched.ServiceStopped},
		{Service: "Quotes", State: sched.ServiceDraining, Cascade: true},
	}, f.states)
}
