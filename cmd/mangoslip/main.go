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
// Every setting is a flag and a MANGOSLIP_… environment variable. Exit status
// is 0, 1 (failed) or 2 (usage).
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// subcommandsByGroup lists the subcommands; each has a file of its own.
func subcommandsByGroup() map[string][]subcommands.Command {
	return map[string][]subcommands.Command{
		"": {
			subcommands.HelpCommand(), subcommands.FlagsCommand(),
			&entryCmd{}, &serveCmd{}, &demoCmd{}, &checkCmd{}, &versionCmd{},
		},
		"operators": {
			&diffCmd{}, &applyCmd{}, &statusCmd{},
			&stateCmd{action: "start"}, &stateCmd{action: "drain"}, &stateCmd{action: "stop"},
			&releaseCmd{},
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
