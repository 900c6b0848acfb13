package client_test

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/client"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Guards against an example that the API would refuse, and against resources and
// run times that are read in the wrong unit.
func TestExampleJob(t *testing.T) {
	data, err := os.ReadFile("../../examples/job.json")
	require.NoError(t, err)
	var job client.Job
	require.NoError(t, json.Unmarshal(data, &job))
	spec, err := job.Spec("j1")
	require.NoError(t, err)
	require.Len(t, spec.Tasks, 21)
	require.Equal(t, sched.Resources{CPU: 8000, Memory: 24 << 30}, spec.Tasks[20].Resources)
	require.Equal(t, 36*time.Hour, spec.Tasks[20].RunTime)
}

// Guards against a task count that is expanded without a limit and exhausts
// memory.
func TestJobIsBounded(t *testing.T) {
	job := client.Job{Team: "T", Tasks: []client.Task{{Class: "C", Count: client.MaxTasks}, {Class: "C"}}}
	_, err := job.Spec("j1")
	require.ErrorContains(t, err, "at most 10000 tasks")
}
