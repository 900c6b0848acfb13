// Package flags reads the settings of a subcommand from its flags and from
// MANGOSLIP_… environment variables. A flag on the command line takes
// precedence over the environment, and the environment over the default.
//
// # Usage
//
//	func (c *entryCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
//		args, err := flags.FromEnv(f)
//		if err != nil {
//			return flags.Usage(f, err)
//		}
//		…
//	}
//
// The variable of a flag is the flag's name in upper case with underscores
// instead of dashes: -store-addr is read from MANGOSLIP_STORE_ADDR.
package flags

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/peterbourgon/ff/v3"
	"github.com/rotisserie/eris"
)

const envPrefix = "MANGOSLIP"

// FromEnv sets each flag that was not given on the command line from its
// environment variable and returns the arguments that follow the flags.
func FromEnv(f *flag.FlagSet) ([]string, error) {
	args := f.Args()
	if err := ff.Parse(f, nil, ff.WithEnvVarPrefix(envPrefix)); err != nil {
		return nil, err
	}
	return args, nil
}

// Execute reads the settings, calls validate with the arguments and then run.
// The exit status is 2 if the settings are invalid and 1 if run fails.
func Execute(
	ctx context.Context, f *flag.FlagSet,
	validate func(args []string) error, run func(context.Context) error,
) subcommands.ExitStatus {
	args, err := FromEnv(f)
	if err == nil {
		err = validate(args)
	}
	if err != nil {
		return Usage(f, err)
	}
	if err := run(ctx); err != nil {
		return Failure(f, err)
	}
	return subcommands.ExitSuccess
}

// Usage reports a usage error on standard error and returns exit status 2.
func Usage(f *flag.FlagSet, err error) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "mangoslip %s: %v\nRun 'mangoslip %s -h' for the settings.\n", f.Name(), err, f.Name())
	return subcommands.ExitUsageError
}

// Failure reports a failed command on standard error and returns exit status 1.
func Failure(f *flag.FlagSet, err error) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "mangoslip %s: %v\n", f.Name(), err)
	return subcommands.ExitFailure
}

// AddrVar defines a flag for an IP address with a port. An empty default value
// leaves the address unset.
func AddrVar(f *flag.FlagSet, p *netip.AddrPort, name, value, usage string) {
	if value != "" {
		*p = netip.MustParseAddrPort(value)
	}
	f.TextVar(&addrText{p}, name, &addrText{p}, usage)
}

// addrText is the value of an address flag. An empty text is an unset address.
type addrText struct{ p *netip.AddrPort }

// MarshalText implements encoding.TextMarshaler.
func (a *addrText) MarshalText() ([]byte, error) {
	if a.p == nil || !a.p.IsValid() {
		return nil, nil
	}
	return a.p.MarshalText()
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *addrText) UnmarshalText(b []byte) error {
	if a.p == nil {
		a.p = new(netip.AddrPort)
	}
	if len(strings.TrimSpace(string(b))) == 0 {
		*a.p = netip.AddrPort{}
		return nil
	}
	v, err := netip.ParseAddrPort(string(b))
	if err != nil {
		return eris.Errorf("%q is not an IP address with a port", b)
	}
	*a.p = v
	return nil
}
