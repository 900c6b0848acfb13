package flow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// reserveWait is how long the reserve for short tasks keeps a perpetual task waiting.
const reserveWait = 1500 * time.Millisecond

// Guards against a move of a running task that then waits, because the capacity for it
// belongs to the reserve for short tasks.
func TestMovedTaskDoesNotWaitForReserve(t *testing.T) {
	moved := 0
	for seed := range uint64(16) {
		e := newScenario(seed+60, 48, 30*time.Second)
		e.Interferes = func(bestEffort, critical string) bool {
			return critical != "" && (bestEffort[len(bestEffort)-1]+critical[len(critical)-1])%2 == 0
		}
		l := e.Lead()
		l.KeepEvents = true
		e.RunFor(40 * time.Second)
		waits := map[string]bool{}
		for _, c := range l.Events {
			a := attrsOf(c)
			task := fmt.Sprint(a["id"], "/", a["task"])
			switch {
			case c.Event == "latency-critical task moved":
				waits[task] = true
				moved++
			case c.Event == "start ordered" && waits[task]:
				delete(waits, task)
				require.Less(t, a["waited"], reserveWait, task)
			}
		}
		requireNoViolations(t, e)
	}
	require.Positive(t, moved)
}
