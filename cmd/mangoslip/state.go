package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/mangoslip/mangoslip/internal/flags"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// stateCmd implements the subcommands start, drain and stop; action is the name
// of the subcommand.
type stateCmd struct {
	adminFlags
	action  string
	cascade bool
}

func (c *stateCmd) Name() string     { return c.action }
func (c *stateCmd) Synopsis() string { return c.action + " a service" }
func (c *stateCmd) Usage() string {
	return c.action + " SERVICE\n  Set the state of a service in the accepted services text.\n"
}

func (c *stateCmd) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.BoolVar(&c.cascade, "cascade", false, "also change the services that this one needs (start) or that need it (drain, stop)")
}

func (c *stateCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cl, name, err := c.connect(f, "service")
	if err != nil {
		return flags.Usage(f, err)
	}
	change, err := cl.SetState(ctx, sched.ServiceName(name), c.action, c.cascade, c.author)
	if err != nil {
		return flags.Failure(f, err)
	}
	fmt.Printf("revision %d\n", change.Revision)
	for _, s := range change.Changed {
		fmt.Println(s)
	}
	return subcommands.ExitSuccess
}
