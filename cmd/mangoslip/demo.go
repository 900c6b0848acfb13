package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/mangoslip/mangoslip/internal/demo"
	"github.com/mangoslip/mangoslip/internal/flags"
)

// errInvariantViolated makes the exit status 1. The violations themselves are in
// the output of [demo.Run].
var errInvariantViolated = errors.New("what must always hold was violated; see the lines above")

// demoCmd runs the stand-ins, six entries and workers in one process.
type demoCmd struct {
	demo.Settings
	verbose bool
}

func (*demoCmd) Name() string     { return "demo" }
func (*demoCmd) Synopsis() string { return "run stand-ins, six entries and workers in one process" }
func (*demoCmd) Usage() string {
	return `demo [flags]
  Run the stand-ins of the platform, six entries in three data centres and
  workers in one process over loopback sockets. Callers send quotes, orders with
  idempotency keys and jobs while the store is cut off, an entry is killed and
  restarted, a service is drained and a new services text is applied. The last
  line is a summary; the exit status is 0 only if no invariant was violated.
`
}

func (c *demoCmd) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.For, "for", 10*time.Second, "how long callers send requests; 0 runs without load until interrupted")
	f.IntVar(&c.Workers, "workers", 8, "workers in each data centre")
	f.Uint64Var(&c.Seed, "seed", 1, "seed of the callers' random choices")
	f.StringVar(&c.Token, "token", "demo", "bearer token of operators")
	f.BoolVar(&c.verbose, "verbose", false, "print the log lines of the entries")
}

func (c *demoCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := flags.FromEnv(f); err != nil {
		return flags.Usage(f, err)
	}
	c.Out = os.Stdout
	if c.verbose {
		c.Log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	sum, err := demo.Run(ctx, c.Settings)
	if err != nil {
		return flags.Failure(f, err)
	}
	if c.For == 0 {
		return subcommands.ExitSuccess
	}
	fmt.Println(sum)
	if !sum.OK() {
		return flags.Failure(f, errInvariantViolated)
	}
	return subcommands.ExitSuccess
}
