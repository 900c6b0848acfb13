package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/internal/flags"
	"github.com/mangoslip/mangoslip/pkg/client"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// batchFlags holds the flags of the subcommands that call the batch API.
type batchFlags struct{ addr netip.AddrPort }

// SetFlags implements subcommands.Command.
func (c *batchFlags) SetFlags(f *flag.FlagSet) {
	flags.AddrVar(f, &c.addr, "addr", "127.0.0.1:7080", "callers' address of an entry")
}

// connect reads the settings and returns a client and the arguments. If the
// number of arguments is not wantArgs, it returns usage as the error message.
func (c *batchFlags) connect(f *flag.FlagSet, wantArgs int, usage string) (*client.Client, []string, error) {
	args, err := flags.FromEnv(f)
	if err == nil && len(args) != wantArgs {
		err = eris.New(usage)
	}
	return client.New(c.addr, ""), args, err
}

type submitCmd struct {
	batchFlags
	key string
}

func (*submitCmd) Name() string     { return "submit" }
func (*submitCmd) Synopsis() string { return "submit a job" }
func (*submitCmd) Usage() string    { return "submit [-key KEY] FILE\n  Submit the job in a JSON file.\n" }

// SetFlags implements subcommands.Command.
func (c *submitCmd) SetFlags(f *flag.FlagSet) {
	c.batchFlags.SetFlags(f)
	f.StringVar(&c.key, "key", "", "idempotency key; a repeat with the same key finds the same job; generated if empty")
}

func (c *submitCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cl, args, err := c.connect(f, 1, "name one job file")
	if err != nil {
		return flags.Usage(f, err)
	}
	data, err := os.ReadFile(args[0])
	if err != nil {
		return flags.Failure(f, fmt.Errorf("%w; name a file that you can read", err))
	}
	var job client.Job
	dec := json.NewDecoder(strings.NewReader(string(data)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&job); err != nil {
		return flags.Failure(f, fmt.Errorf("%s: %w; see examples/job.json", args[0], err))
	}
	if _, err := job.Spec(""); err != nil {
		return flags.Failure(f, fmt.Errorf("%s: %w", args[0], err))
	}
	if c.key == "" {
		c.key = rand.Text()
	}
	status, err := cl.Submit(ctx, job, c.key)
	if err != nil {
		return flags.Failure(f, fmt.Errorf("%w; repeat with -key %s, which cannot run the job twice", err, c.key))
	}
	fmt.Println(status.ID)
	return subcommands.ExitSuccess
}

type jobsCmd struct{ batchFlags }

func (*jobsCmd) Name() string     { return "jobs" }
func (*jobsCmd) Synopsis() string { return "list jobs" }
func (*jobsCmd) Usage() string {
	return "jobs\n  List all jobs with the number of tasks in each phase.\n"
}

func (c *jobsCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cl, _, err := c.connect(f, 0, "jobs takes no argument")
	if err != nil {
		return flags.Usage(f, err)
	}
	jobs, err := cl.Jobs(ctx)
	if err != nil {
		return flags.Failure(f, err)
	}
	for i := range jobs {
		fmt.Println(jobLine(&jobs[i]))
	}
	return subcommands.ExitSuccess
}

// phases lists the task phases in the order in which jobLine prints them.
var phases = []sched.TaskPhase{
	sched.PhaseQueued, sched.PhaseStarting, sched.PhaseRunning, sched.PhaseStopping,
	sched.PhaseSucceeded, sched.PhaseFailed, sched.PhaseCancelled, sched.PhaseNotRunnable,
}

// jobLine returns a one-line summary of a job with the number of its tasks in
// each phase.
func jobLine(j *sched.JobStatus) string {
	count := map[sched.TaskPhase]int{}
	for _, t := range j.Tasks {
		count[t.Phase]++
	}
	line := fmt.Sprintf("%s team=%s urgent=%t tasks=%d", j.ID, j.Team, j.Urgent, len(j.Tasks))
	for _, p := range phases {
		if count[p] > 0 {
			line += fmt.Sprintf(" %s=%d", p, count[p])
		}
	}
	return line
}

type cancelCmd struct{ batchFlags }

func (*cancelCmd) Name() string     { return "cancel" }
func (*cancelCmd) Synopsis() string { return "cancel a job" }
func (*cancelCmd) Usage() string {
	return "cancel JOB\n  Cancel the tasks of a job that have not ended.\n"
}

func (c *cancelCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cl, args, err := c.connect(f, 1, "name one job, as 'mangoslip jobs' lists it")
	if err != nil {
		return flags.Usage(f, err)
	}
	status, err := cl.Cancel(ctx, sched.JobID(args[0]))
	if err != nil {
		return flags.Failure(f, err)
	}
	fmt.Println(jobLine(&status))
	return subcommands.ExitSuccess
}
