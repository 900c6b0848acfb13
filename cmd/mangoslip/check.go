package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/internal/flags"
	"github.com/mangoslip/mangoslip/pkg/text"
)

type checkCmd struct{}

func (*checkCmd) Name() string     { return "check" }
func (*checkCmd) Synopsis() string { return "check a services text" }
func (*checkCmd) Usage() string {
	return "check FILE\n  Check a services text and print its services in start order.\n"
}
func (*checkCmd) SetFlags(*flag.FlagSet) {}

func (*checkCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return flags.Usage(f, eris.New("name one services text"))
	}
	out, err := checkFile(f.Arg(0))
	if err != nil {
		return flags.Failure(f, err)
	}
	fmt.Print(out)
	return subcommands.ExitSuccess
}

// checkFile returns the output of the check subcommand for the named file.
func checkFile(name string) (string, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return "", fmt.Errorf("%w; name a file that you can read", err)
	}
	cfg, err := text.Parse(data)
	if err != nil {
		return "", fmt.Errorf("%s is not valid, correct these lines:\n%w", name, err)
	}
	out := fmt.Sprintf("%s is valid: %d data centres, %d services, %d teams, %d classes\n",
		name, len(cfg.DataCentres), len(cfg.Services), len(cfg.Teams), len(cfg.Classes))
	for _, n := range text.StartOrder(cfg) {
		s, _ := cfg.Service(n)
		out += fmt.Sprintf("%s %s\n", s.Name, s.State)
	}
	return out, nil
}
