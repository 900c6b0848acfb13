package main

import (
	"context"
	"flag"
	"fmt"
	"strconv"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/internal/flags"
	"github.com/mangoslip/mangoslip/pkg/client"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// releaseCmd allows a shard to be served without a damaged batch of its
// journal.
type releaseCmd struct{ adminFlags }

func (*releaseCmd) Name() string     { return "release" }
func (*releaseCmd) Synopsis() string { return "serve a shard without a damaged batch of its journal" }
func (*releaseCmd) Usage() string {
	return `release SHARD SEQUENCE
  Allow a shard to be served without a damaged batch that 'mangoslip status'
  lists. The records of the batch (keys, jobs, ends of tasks) are lost to the
  scheduler; a copy of the batch stays in the store under Damaged/. Check the
  copy before you release the batch.
`
}

func (c *releaseCmd) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

func (c *releaseCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := c.parse(f)
	if err == nil && len(args) != 2 {
		err = eris.New("name a shard and the sequence of a batch, as 'mangoslip status' lists them")
	}
	if err != nil {
		return flags.Usage(f, err)
	}
	shard, err := sched.ParseShardID(args[0])
	if err != nil {
		return flags.Usage(f, err)
	}
	seq, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return flags.Usage(f, eris.Errorf("%q is not the sequence of a batch", args[1]))
	}
	if err := client.New(c.admin, c.token).ReleaseBatch(ctx, shard, seq, c.author); err != nil {
		return flags.Failure(f, err)
	}
	fmt.Printf("batch %d of shard %s is released; the shard is served within seconds\n", seq, shard)
	return subcommands.ExitSuccess
}
