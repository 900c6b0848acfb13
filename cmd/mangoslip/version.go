package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

// version is the release version of this source tree.
const version = "0.1.0"

type versionCmd struct{}

func (*versionCmd) Name() string           { return "version" }
func (*versionCmd) Synopsis() string       { return "print the version" }
func (*versionCmd) Usage() string          { return "version\n  Print the version.\n" }
func (*versionCmd) SetFlags(*flag.FlagSet) {}

func (*versionCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("mangoslip", version)
	return subcommands.ExitSuccess
}
