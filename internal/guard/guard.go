// Package guard confines a panic to the part of a process in which it occurs.
//
// A process has many independent loops and calls. If one of them panics, because
// of a message that no test covers or another unexpected error, the others go on.
// The panic becomes an error with the stack, which is logged.
//
// # Usage
//
//	err := guard.Run(func() { machine.Update(now, msg) })
//	guard.Loop(ctx, log, "follow configuration", e.followConfig)
package guard

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"
)

// restartPause is the pause before a loop that panicked is started again.
const restartPause = time.Second

// PanicError is a panic that was confined.
type PanicError struct {
	Value any
	// Stack is the stack of the goroutine that panicked.
	Stack string
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// Run calls f. If f panics, Run returns a [*PanicError].
func Run(f func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Value: v, Stack: string(debug.Stack())}
		}
	}()
	f()
	return nil
}

// Loop calls f, which returns when ctx ends. If f panics, Loop logs the panic and
// calls f again after a pause.
func Loop(ctx context.Context, log *slog.Logger, step string, f func(context.Context)) {
	for {
		err := Run(func() { f(ctx) })
		if err == nil {
			return
		}
		Log(log, step, err)
		t := time.NewTimer(restartPause)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

// Go calls f on a goroutine of its own and logs a panic.
func Go(log *slog.Logger, step string, f func()) {
	go func() { Log(log, step, Run(f)) }()
}

// Log logs the panic that Run returned in a step. It does nothing if err is nil.
func Log(log *slog.Logger, step string, err error) {
	if p, ok := err.(*PanicError); ok { //nolint:errorlint // Run returns it unwrapped.
		log.Error("a part of the process panicked; the others go on", "step", step, "error", p, "stack", p.Stack)
	}
}
