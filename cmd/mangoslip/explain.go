package main

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"

	"github.com/mangoslip/mangoslip/internal/flags"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

type explainCmd struct{ batchFlags }

func (*explainCmd) Name() string     { return "explain" }
func (*explainCmd) Synopsis() string { return "say why the tasks of a job wait or failed" }
func (*explainCmd) Usage() string {
	return "explain JOB\n  List the tasks of a job with what they wait for and what to do.\n"
}

func (c *explainCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cl, args, err := c.connect(f, 1, "name one job, as 'mangoslip jobs' lists it")
	if err != nil {
		return flags.Usage(f, err)
	}
	status, err := cl.Job(ctx, sched.JobID(args[0]))
	if err != nil {
		return flags.Failure(f, err)
	}
	fmt.Print(explain(&status))
	return subcommands.ExitSuccess
}

// waitAdvice says for each wait reason why a task waits and what to do.
var waitAdvice = map[sched.WaitReason]string{
	sched.WaitQuota:        "the team's quota is in use; wait, or raise Quota in the services text",
	sched.WaitCapacity:     "the workers are full; wait, or submit the job as urgent",
	sched.WaitNoWorkerFits: "no worker is large enough; cancel the job and ask for less",
	sched.WaitBackoff:      "an attempt failed; the next one starts after a pause",
	sched.WaitRecovery:     "its shard has a new owner; it waits for the workers' inventories",
	sched.WaitAssignment:   "it is being handed to the shard that runs it",
}

// explain returns the output of the explain subcommand for a job.
func explain(j *sched.JobStatus) string {
	var b strings.Builder
	fmt.Fprintln(&b, jobLine(j))
	for _, t := range j.Tasks {
		fmt.Fprintf(&b, "%d %s", t.Index, t.Phase)
		if t.Worker != "" {
			fmt.Fprintf(&b, " worker=%s", t.Worker)
		}
		if t.Attempts > 0 {
			fmt.Fprintf(&b, " attempts=%d", t.Attempts)
		}
		if t.Wait != "" && !t.Phase.Final() {
			fmt.Fprintf(&b, " wait=%s: %s", t.Wait, waitAdvice[t.Wait])
		}
		if t.Error != "" {
			fmt.Fprintf(&b, " error=%q", t.Error)
		}
		fmt.Fprintln(&b)
	}
	return b.String()
}
