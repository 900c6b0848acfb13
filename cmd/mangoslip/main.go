// Command mangoslip schedules latency-critical services and batch tasks that
// share machines.
//
// # Usage
//
//	mangoslip entry      run an entry instance
//	mangoslip serve      run an entry on the platform
//	mangoslip demo       run the stand-ins, six entries and workers in one process
//	mangoslip help       list all subcommands
//
// Every setting can be given as a flag or as a MANGOSLIP_… environment
// variable. The exit status is 0 (success), 1 (failure) or 2 (usage error).
//
// The subcommands entry and serve run two different kinds of entry. Each entry of
// the first kind (package internal/entry) owns some shards, which are parts of the
// jobs, slots and idempotency keys. It forwards requests to targets on workers and
// runs batch tasks. The entries of the second kind (package internal/daemon) elect
// one leader, which runs all jobs on the platform's workers.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// subcommandsByGroup returns the subcommands by the heading under which help
// lists them.
func subcommandsByGroup() map[string][]subcommands.Command {
	return map[string][]subcommands.Command{
		"": {
			subcommands.HelpCommand(), subcommands.FlagsCommand(),
			&entryCmd{}, &serveCmd{}, &demoCmd{}, &checkCmd{}, &versionCmd{},
		},
		"operators": {
			&diffCmd{}, &applyCmd{}, &statusCmd{},
			&stateCmd{action: "start"}, &stateCmd{action: "drain"}, &stateCmd{action: "stop"},
			&releaseCmd{}, &lateCmd{},
		},
		"batch":                               {&submitCmd{}, &jobsCmd{}, &cancelCmd{}, &explainCmd{}},
		"stand-ins for development and tests": {&platformCmd{}, &workerCmd{}},
	}
}

func main() {
	for group, cmds := range subcommandsByGroup() {
		for _, c := range cmds {
			subcommands.Register(c, group)
		}
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}
