package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/mangoslip/mangoslip/internal/flags"
	"github.com/mangoslip/mangoslip/pkg/client"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/text"
)

type diffCmd struct{ adminFlags }

func (*diffCmd) Name() string     { return "diff" }
func (*diffCmd) Synopsis() string { return "show what a services text would change" }
func (*diffCmd) Usage() string {
	return "diff FILE\n  Compare a services text with the accepted one.\n"
}
func (c *diffCmd) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

func (c *diffCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cl, name, err := c.connect(f, "services text")
	if err != nil {
		return flags.Usage(f, err)
	}
	out, err := diffFile(ctx, cl, name)
	if err != nil {
		return flags.Failure(f, err)
	}
	fmt.Print(out)
	return subcommands.ExitSuccess
}

// diffFile returns the output of the diff subcommand for the named file.
func diffFile(ctx context.Context, cl *client.Client, name string) (string, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return "", fmt.Errorf("%w; name a file that you can read", err)
	}
	to, err := text.Parse(data)
	if err != nil {
		return "", fmt.Errorf("%s is not valid, correct these lines:\n%w", name, err)
	}
	current, revision, err := cl.Config(ctx)
	if err != nil {
		return "", err
	}
	from := &sched.Config{}
	if revision > 0 {
		if from, err = text.Parse([]byte(current)); err != nil {
			return "", fmt.Errorf("the accepted text is not valid, apply a valid one:\n%w", err)
		}
	}
	d := text.Diff(from, to)
	return fmt.Sprintf("compared with revision %d:\n%s", revision, d.String()), nil
}
