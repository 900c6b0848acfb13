// Package procs tests mangoslip as it is deployed. The platform, the workers and
// the entries are separate processes on loopback ports. Failures are injected as
// signals to the processes and as faults of the stand-ins for the platform and the
// workers. Package audit compares the answers that callers got with what the
// stand-ins recorded.
//
// # Usage
//
//	s := newSite(t, 3)
//	a := s.send(request{service: "Quotes", method: http.MethodGet})
//	s.kill(s.entries["entry-1"])
//	s.check()
//
// Every wait polls for a condition and is bounded. The bounds are those of
// docs/design.md plus [slack], which allows for the race detector and for other
// work on the machine.
package procs

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"golang.org/x/sync/semaphore"
)

// maxProcesses is the maximum number of processes that run at a time, counted
// over all tests.
const maxProcesses = 15

var (
	// binary is the program under test, built with the race detector.
	binary    string
	processes = semaphore.NewWeighted(maxProcesses)
)

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the binary into a temporary directory, runs the tests and removes
// the directory.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "procs")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "mangoslip")
	build := exec.Command("go", "build", "-race", "-buildvcs=false", "-o", binary,
		"github.com/mangoslip/mangoslip/cmd/mangoslip")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
