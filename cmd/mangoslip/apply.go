package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/internal/flags"
	"github.com/mangoslip/mangoslip/pkg/client"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/text"
)

// statusPollInterval is the time between two status requests of apply -wait.
const statusPollInterval = 250 * time.Millisecond

type applyCmd struct {
	adminFlags
	wait time.Duration
	base uint64
}

func (*applyCmd) Name() string     { return "apply" }
func (*applyCmd) Synopsis() string { return "replace the accepted services text" }
func (*applyCmd) Usage() string {
	return "apply [-if-match REVISION] [-wait DURATION] FILE\n  Replace the accepted services text and print the new revision.\n"
}

func (c *applyCmd) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.DurationVar(&c.wait, "wait", 0, "how long to wait until the revision is in force at all live entries; 0 does not wait")
	f.Uint64Var(&c.base, "if-match", 0, "revision that the edit is based on, as printed by diff; 0 means the current one")
}

func (c *applyCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cl, name, err := c.connect(f, "services text")
	if err != nil {
		return flags.Usage(f, err)
	}
	revision, err := c.apply(ctx, cl, name)
	if err != nil {
		return flags.Failure(f, err)
	}
	fmt.Printf("revision %d\n", revision)
	if err := waitInForce(ctx, cl, revision, c.wait); err != nil {
		return flags.Failure(f, err)
	}
	return subcommands.ExitSuccess
}

// apply checks the services text in the named file, sends it to the entry and
// returns the new revision.
func (c *applyCmd) apply(ctx context.Context, cl *client.Client, name string) (sched.Revision, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return 0, fmt.Errorf("%w; name a file that you can read", err)
	}
	if _, err := text.Parse(data); err != nil {
		return 0, fmt.Errorf("%s is not valid, correct these lines:\n%w", name, err)
	}
	base := sched.Revision(c.base)
	if base == 0 {
		if _, base, err = cl.Config(ctx); err != nil {
			return 0, err
		}
	}
	return cl.PutConfig(ctx, data, base, c.author)
}

// waitInForce polls the status until revision r is in force at all live
// entries. If that takes longer than wait, it returns an error that names the
// lagging entries. A wait of 0 returns nil at once.
func waitInForce(ctx context.Context, cl *client.Client, r sched.Revision, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	deadline := time.After(wait)
	for {
		status, err := cl.Status(ctx)
		if err == nil {
			err = checkInForce(&status, r)
		}
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-deadline:
			return fmt.Errorf("revision %d is accepted, but %w", r, err)
		case <-time.After(statusPollInterval):
		}
	}
}

// checkInForce returns an error that names the live entries at which revision
// r is not yet in force.
func checkInForce(s *client.Status, r sched.Revision) error {
	if len(s.Entries) == 0 {
		return eris.New("the entry lists no entries; ask again with 'mangoslip status'")
	}
	if lagging := s.Lagging(r); len(lagging) > 0 {
		return eris.Errorf("not yet in force at %v; check that these entries reach the store", lagging)
	}
	return nil
}
