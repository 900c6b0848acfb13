package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// Guards against output that leaves out a late job or how many are not shown, against
// names that act on the terminal, and against an unknown list that looks empty.
func TestLateOutput(t *testing.T) {
	for _, c := range []struct {
		status          int
		body, out, fail string
	}{
		{http.StatusOK, `{"Leader": "entry-3", "Known": true, "More": 12, "Late": [
			{"Job": "000000000000a1f0", "Queue": "Orders & more", "State": "Running", "AgeSeconds": 12.5, "ObjectiveSeconds": 9.8,
			 "LateSeconds": 2.7, "TasksLeft": 3, "Waits": "no suitable worker with free capacity"},
			{"Job": "x\u001b[2J\ty", "Queue": "Orders & more", "State": "Queued", "AgeSeconds": 4, "ObjectiveSeconds": 3.25,
			 "LateSeconds": 1.04, "TasksLeft": 20}]}`, "late", ""},
		{http.StatusOK, `{"Leader": "entry-3", "Known": true, "Late": []}`, "late_none", ""},
		{http.StatusOK, `{}`, "", "does not know"},
		{http.StatusServiceUnavailable, `{"Known": false}`, "", "cannot tell now"},
		{http.StatusNotFound, "404 page not found", "", "status 404"},
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}))
		list, err := fetchLate(t.Context(), strings.TrimPrefix(srv.URL, "http://"), "Orders & more")
		srv.Close()
		if c.fail != "" {
			require.ErrorContains(t, err, c.fail)
			continue
		}
		require.NoError(t, err)
		goldie.New(t).Assert(t, c.out, []byte(renderLate(&list)))
	}
}
