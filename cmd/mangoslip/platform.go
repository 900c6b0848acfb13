package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/internal/fake"
	"github.com/mangoslip/mangoslip/internal/flags"
)

// defaultListLag is the staleness of the instance list that the ownership rules
// assume (owner.ListLag).
const defaultListLag = time.Second

// platformCmd runs stand-ins of the key-value store and the instance list.
type platformCmd struct {
	store, list netip.AddrPort
	lag         time.Duration
}

func (*platformCmd) Name() string { return "platform" }

func (*platformCmd) Synopsis() string {
	return "run stand-ins of the store and the instance list (development and tests)"
}

func (*platformCmd) Usage() string {
	return `platform [flags]
  Run stand-ins of the key-value store and the instance list in one process.
  They are for development and tests: all state is in memory and is lost when
  the process ends. Faults are set with PUT /fake/faults on each address.
`
}

func (c *platformCmd) SetFlags(f *flag.FlagSet) {
	flags.AddrVar(f, &c.store, "store-addr", "127.0.0.1:7001", "`address` of the store")
	flags.AddrVar(f, &c.list, "list-addr", "127.0.0.1:7002", "`address` of the instance list")
	f.DurationVar(&c.lag, "list-lag", defaultListLag, "how far the list that readers see lags behind")
}

func (c *platformCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return flags.Execute(ctx, f, c.validate, c.run)
}

func (c *platformCmd) validate(args []string) error {
	switch {
	case len(args) > 0:
		return eris.Errorf("unexpected argument %q", args[0])
	case !c.store.IsValid() || !c.list.IsValid():
		return eris.New("-store-addr and -list-addr are needed")
	case c.lag < 0:
		return eris.Errorf("-list-lag %v is negative", c.lag)
	}
	return nil
}

func (c *platformCmd) run(ctx context.Context) error {
	storeLn, err := net.Listen("tcp", c.store.String())
	if err != nil {
		return err
	}
	defer func() { _ = storeLn.Close() }()
	listLn, err := net.Listen("tcp", c.list.String())
	if err != nil {
		return err
	}
	defer func() { _ = listLn.Close() }()
	list := fake.NewList()
	list.SetFaults(fake.ListFaults{Lag: c.lag})
	fmt.Printf("store=%s list=%s\n", storeLn.Addr(), listLn.Addr())
	return fake.Run(ctx,
		func(ctx context.Context) error { return fake.NewStore().Serve(ctx, storeLn) },
		func(ctx context.Context) error { return list.Serve(ctx, listLn) })
}
