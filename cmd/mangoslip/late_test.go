package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/late"
)

// serveLate serves an answer and returns the address.
func serveLate(t *testing.T, status int, body string) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.String() != late.Path+"?queue=Orders+%26+more" {
			status = http.StatusBadRequest
		}
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// Guards against output that leaves out a late job or the number of those not shown, and
// against names of jobs that act on the terminal.
func TestLateOutput(t *testing.T) {
	list, err := fetchLate(t.Context(), serveLate(t, http.StatusOK, `{"Leader": "entry-3", "Known": true, "More": 12, "Late": [
		{"Job": "000000000000a1f0", "Queue": "Orders & more", "State": "Running", "AgeSeconds": 12.5, "ObjectiveSeconds": 9.8,
		 "LateSeconds": 2.7, "TasksLeft": 3, "Waits": "no suitable worker with free capacity"},
		{"Job": "x\u001b[2J\ty", "Queue": "Orders & more", "State": "Queued", "AgeSeconds": 4, "ObjectiveSeconds": 3.25,
		 "LateSeconds": 1.04, "TasksLeft": 20, "Waits": ""}]}`), "Orders & more")
	require.NoError(t, err)
	goldie.New(t).Assert(t, "late", []byte(renderLate(&list)))
	require.Equal(t, "no job is late (leader entry-3)\n", renderLate(&late.List{Leader: "entry-3", Known: true}))
}

// Guards against an answer without a known list that is printed as if no job were late.
func TestLateIsNotKnown(t *testing.T) {
	for name, c := range map[string]struct {
		status     int
		body, want string
	}{
		"unknown":     {http.StatusServiceUnavailable, `{"Known": false}`, "ask again in 2 s"},
		"older build": {http.StatusNotFound, "404 page not found", "status 404"},
		"not a list":  {http.StatusOK, `{}`, "does not know"},
		"not JSON":    {http.StatusOK, `<html>`, "read late jobs"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := fetchLate(t.Context(), serveLate(t, c.status, c.body), "Orders & more")
			require.ErrorContains(t, err, c.want)
		})
	}
}
