package main

import (
	"context"
	"errors"
	"flag"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/internal/daemon"
	"github.com/mangoslip/mangoslip/internal/flags"
	"github.com/mangoslip/mangoslip/internal/intake"
	"github.com/mangoslip/mangoslip/internal/leader"
	"github.com/mangoslip/mangoslip/internal/logger"
	"github.com/mangoslip/mangoslip/internal/quota"
	"github.com/mangoslip/mangoslip/internal/stats"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
	"github.com/mangoslip/mangoslip/platform/advise"
	"github.com/mangoslip/mangoslip/platform/fleet"
	"github.com/mangoslip/mangoslip/platform/front"
	"github.com/mangoslip/mangoslip/platform/meta"
	"github.com/mangoslip/mangoslip/platform/order"
	"github.com/mangoslip/mangoslip/platform/setup"
)

// serveCmd runs an entry on the platform.
type serveCmd struct {
	settingsFile string
	metricsPort  uint
	lease        time.Duration
	dispatchFrom float64
	logLevel     string
	level        slog.LevelVar
	setup        setup.Settings
	intake       intakeFlags
}

func (*serveCmd) Name() string     { return "serve" }
func (*serveCmd) Synopsis() string { return "run an entry on the platform" }
func (*serveCmd) Usage() string {
	return `serve [flags]
  Run an entry on the platform, with the settings file that the platform
  provides: accept callers' jobs, take part in the leader election, and run
  jobs while leading. SIGTERM shuts it down gracefully, SIGHUP reads the
  settings file again.
`
}

// defaultDispatchFrom is the number of workers per core of the leader at which
// other entries start to dispatch orders for it. With more workers, a leader
// that sends all orders itself runs short of processor time when many tasks
// wait, as after a takeover.
const defaultDispatchFrom = 250

func (c *serveCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsFile, "settings", os.Getenv(setup.Variable), "`file` with the platform's settings")
	f.UintVar(&c.metricsPort, "metrics-port", 9600, "`port` for metrics")
	f.DurationVar(&c.lease, "task-lease", 4*time.Second, "duration of the lease of a run")
	f.Float64Var(&c.dispatchFrom, "carry-from", defaultDispatchFrom,
		"workers per core of the leader at which other entries start to dispatch its orders")
	c.intake.set(f)
	f.StringVar(&c.logLevel, "log-level", "info", "debug, info, warn or error")
}

func (c *serveCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return flags.Execute(ctx, f, c.validate, c.run)
}

func (c *serveCmd) validate(args []string) error {
	if len(args) > 0 {
		return eris.Errorf("unexpected argument %q", args[0])
	}
	if c.settingsFile == "" {
		return eris.Errorf("no settings file; set -settings or %s", setup.Variable)
	}
	if c.metricsPort == 0 || c.metricsPort > 65535 {
		return eris.Errorf("-metrics-port %d is not a port", c.metricsPort)
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.logLevel)); err != nil {
		return eris.Wrap(err, "-log-level")
	}
	c.level.Set(level)
	s, err := setup.Load(c.settingsFile)
	if err != nil {
		return err
	}
	if c.dispatchFrom < 0 {
		return eris.Errorf("-carry-from %g is negative", c.dispatchFrom)
	}
	if c.lease <= 0 || c.lease > s.MaxLease {
		return eris.Errorf("-task-lease %s is not between 0 and the platform's bound of %s", c.lease, s.MaxLease)
	}
	c.setup = s
	return c.intake.validate()
}

// heapShare is the fraction of the memory limit that is set as the soft limit of
// the Go runtime, near which the garbage collector runs more often. The rest is
// for stacks, buffers and garbage that is not collected yet.
const heapShare = 0.6

func (c *serveCmd) run(ctx context.Context) error {
	out := logger.New(os.Stdout)
	defer out.Close()
	s := c.setup
	log := slog.New(out.Handler(&c.level)).With("entry", s.Name)
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(s.Memory)))
	}
	st := stats.New()
	store := meta.New(s.StoreAddr, meta.WithCounter(func(call string) { st.Count("Store."+call, 1) }))
	defer store.Close()
	orders := order.New()
	defer orders.Close()
	adviser := advise.New(s.AdviserAddr)
	defer adviser.Close()
	var config atomic.Pointer[fleet.Config]
	e := daemon.New(daemon.Settings{
		Name: s.Name, Front: s.Front, Ready: s.Ready,
		Peer:    netip.AddrPortFrom(s.Address, s.PortLow),
		Metrics: netip.AddrPortFrom(s.Address, uint16(c.metricsPort)),
		Grace:   s.Grace, ReadyPath: front.ReadyPath, DispatchFrom: c.dispatchFrom,
		Callers: c.intake.callers(s), Peers: intake.ForPeers(s.MaxFiles), JobBound: c.intake.jobBound(s),
	}, daemon.Platform{
		Store: store, Orders: orders, Adviser: adviser, ConfigKey: fleet.ConfigKey,
		Apply: func(value []byte) (*sched.FleetConfig, error) {
			cfg, err := fleet.ParseConfig(value)
			if err != nil {
				return nil, err
			}
			config.Store(cfg)
			return cfg.Fleet, nil
		},
		NewFront: func(jobs sched.JobService) http.Handler {
			return front.New(jobs, config.Load, front.WithObserver(recordRequests(log, st)))
		},
		Leader: c.leaderSettings(),
	}, daemon.WithLogger(log), daemon.WithStats(st))
	log.Info("starting", "dataCentre", s.DataCentre, "front", s.Front, "peer", s.Address, "store", s.StoreAddr,
		"processors", s.Processors, "memory", s.Memory, "taskLease", c.lease, "settings", c.settingsFile)
	go c.reload(ctx, log)
	err := e.Run(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// leaderSettings returns the settings of the leader. Without a bound for evacuations
// the operators do not ask for any, and the leader does not read them.
func (c *serveCmd) leaderSettings() leader.Settings {
	s := c.setup
	out := leader.Settings{
		Processors: s.Processors, MembersPrefix: fleet.MembersPrefix, DecodeMembers: fleet.DecodeMembers,
		MachineOptions: []flow.Option{
			flow.WithLease(c.lease, s.MaxLease), flow.WithStopTime(s.StopTime), flow.WithMaxMiss(s.MaxTargetMiss, s.ThrottleTime),
			flow.WithRemoteFactor(s.RemoteDataFactor), flow.WithResumeTime(s.ResumeTime), flow.WithCancelTime(s.CancelTime),
			flow.WithDrainTime(s.DrainTime), flow.WithMaxRuns(quota.MaxRuns(s.Memory)),
		},
	}
	if s.EvacuateTime > 0 {
		out.EvacuationsPrefix, out.DecodeEvacuations = fleet.EvacuationsPrefix, fleet.DecodeEvacuations
		out.MachineOptions = append(out.MachineOptions, flow.WithEvacuateTime(s.EvacuateTime))
	}
	return out
}

// recordRequests returns a function that logs each answered request of a
// caller and counts it in the metrics.
func recordRequests(log *slog.Logger, st *stats.Stats) func(front.RequestSummary) {
	return func(s front.RequestSummary) {
		st.Observe("RequestSeconds", s.Took)
		if s.Reason != "" {
			st.Refused(s.Reason)
		}
		log.Info("request answered", "id", s.Job, "method", s.Method, "queue", s.Queue, "status", s.Status,
			"reason", s.Reason, "state", s.State, "took", s.Took, "config", s.Config, "error", s.Err)
	}
}

// reload reads the settings file again on SIGHUP and logs whether it differs
// from the settings at the start. It applies none of the new settings, because
// the addresses and bounds of a running process do not change.
func (c *serveCmd) reload(ctx context.Context, log *slog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		s, err := setup.Load(c.settingsFile)
		if err != nil {
			log.Error("settings file not read again; the settings at the start stay in force", "file", c.settingsFile, "error", err)
			continue
		}
		log.Info("settings file read again; the settings at the start stay in force", "file", c.settingsFile, "changed", s != c.setup)
	}
}
