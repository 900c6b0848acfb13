package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/internal/agent"
	"github.com/mangoslip/mangoslip/internal/entry"
	"github.com/mangoslip/mangoslip/internal/flags"
	"github.com/mangoslip/mangoslip/internal/fleet"
	"github.com/mangoslip/mangoslip/internal/store"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// reservedWrites is the number of store writes a second that the store client
// reserves for the ownership of shards. It equals the default of package store.
const reservedWrites = 3

// entryCmd runs an entry instance until it is asked to stop.
type entryCmd struct {
	name, dataCentre     string
	front, peer, admin   netip.AddrPort
	storeAddr, listAddr  netip.AddrPort
	token, tokenFile     string
	writes, reads        float64
	drainWait, drainTime time.Duration
	register             bool
	logLevel             string
	level                slog.Level
}

func (*entryCmd) Name() string     { return "entry" }
func (*entryCmd) Synopsis() string { return "run an entry instance" }
func (*entryCmd) Usage() string {
	return `entry [flags]
  Run an entry instance: serve callers, peers and operators until SIGTERM, then
  stop gracefully. Every flag is also a MANGOSLIP_… environment variable.
`
}

func (c *entryCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.name, "name", "", "unique `name` of this entry")
	f.StringVar(&c.dataCentre, "data-centre", "", "data centre of this entry")
	flags.AddrVar(f, &c.front, "front-addr", "127.0.0.1:7080", "`address` for callers")
	flags.AddrVar(f, &c.peer, "peer-addr", "127.0.0.1:7082", "`address` for other entries")
	flags.AddrVar(f, &c.admin, "admin-addr", "127.0.0.1:7081", "`address` for operators")
	flags.AddrVar(f, &c.storeAddr, "store-addr", "", "`address` of the platform's key-value store")
	flags.AddrVar(f, &c.listAddr, "list-addr", "", "`address` of the platform's instance list")
	f.StringVar(&c.token, "token", "", "bearer token of operators and peers; prefer -token-file or the environment")
	f.StringVar(&c.tokenFile, "token-file", "", "`file` that holds the bearer token")
	f.Float64Var(&c.writes, "store-writes", 25, "store writes a second that this entry may make")
	f.Float64Var(&c.reads, "store-reads", 50, "store reads a second that this entry may make")
	f.DurationVar(&c.drainWait, "drain-wait", entry.DefaultDrainWait, "how long a graceful shutdown waits for the load balancer to notice it")
	f.DurationVar(&c.drainTime, "drain-timeout", entry.DefaultDrainTimeout, "how long a graceful shutdown waits for requests in progress")
	f.BoolVar(&c.register, "register", false, "register at the stand-in of the instance list (development only)")
	f.StringVar(&c.logLevel, "log-level", "info", "debug, info, warn or error")
}

func (c *entryCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return flags.Execute(ctx, f, c.validate, c.run)
}

func (c *entryCmd) validate(args []string) error {
	token, err := c.readToken()
	switch {
	case len(args) > 0:
		return eris.Errorf("unexpected argument %q", args[0])
	case err != nil:
		return err
	case token == "":
		return eris.New("no token; set MANGOSLIP_TOKEN or -token-file")
	case c.name == "" || c.dataCentre == "":
		return eris.New("-name and -data-centre are needed")
	case !c.storeAddr.IsValid() || !c.listAddr.IsValid():
		return eris.New("-store-addr and -list-addr are needed")
	case c.writes <= reservedWrites:
		return eris.Errorf("-store-writes must be above %d, which are kept for ownership", reservedWrites)
	}
	c.token = token
	return c.level.UnmarshalText([]byte(c.logLevel))
}

func (c *entryCmd) run(ctx context.Context) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: c.level})).With("entry", c.name)
	list := fleet.New(c.listAddr, fleet.WithLogger(log))
	kv := store.New(c.storeAddr, store.WithBudget(c.writes, c.reads))
	e, err := entry.New(entry.Settings{
		Name: sched.EntryName(c.name), DataCentre: sched.DataCentre(c.dataCentre),
		FrontAddr: c.front, PeerAddr: c.peer, AdminAddr: c.admin, Token: c.token,
		StoreWrites: c.writes - reservedWrites, DrainWait: c.drainWait, DrainTimeout: c.drainTime,
	}, entry.Platform{
		Store: kv, OwnershipStore: kv.Reserved(), List: list, Workers: agent.NewControlClient(), Targets: agent.NewTargetClient(),
	}, entry.WithLogger(log))
	if err != nil {
		return err
	}
	if c.register {
		if _, err := list.Register(ctx, e.Instance()); err != nil {
			return err
		}
	}
	fmt.Printf("Name=%s Front=%s Peer=%s Admin=%s\n", c.name, e.FrontAddr, e.PeerAddr, e.AdminAddr)
	return e.Run(ctx)
}

// readToken returns the content of the token file if one is set, otherwise
// the value of -token.
func (c *entryCmd) readToken() (string, error) {
	if c.tokenFile == "" {
		return c.token, nil
	}
	b, err := os.ReadFile(c.tokenFile)
	if err != nil {
		return "", eris.Wrap(err, "read token file")
	}
	return strings.TrimSpace(string(b)), nil
}
