package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/netip"
	"strings"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/internal/fake"
	"github.com/mangoslip/mangoslip/internal/flags"
	"github.com/mangoslip/mangoslip/internal/fleet"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// maxWorkers is the maximum number of workers in one process; each has two
	// listeners.
	maxWorkers = 1000
	maxPort    = 1<<16 - 1
)

// workerCmd runs stand-ins of workers and their targets.
type workerCmd struct {
	name, dataCentre, rack, services string
	count, slots, connections        int
	data, control, list              netip.AddrPort
	cpu, memory                      int64
	accelerators                     int
	slotCPU, slotMemory              int64
}

func (*workerCmd) Name() string { return "worker" }

func (*workerCmd) Synopsis() string {
	return "run stand-ins of workers and their targets (development and tests)"
}

func (*workerCmd) Usage() string {
	return `worker [flags]
  Run one or more stand-ins of workers with their targets and register them at
  the stand-in of the instance list. They are for development and tests: tasks
  only simulate their run time, targets echo. Faults are set with
  PUT /fake/faults on the control address. With -count above 1, names get a
  number as a suffix, and ports other than 0 count up.
`
}

func (c *workerCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.name, "name", "worker", "`name` of the worker")
	f.StringVar(&c.dataCentre, "data-centre", "", "`name` of the data centre")
	f.StringVar(&c.rack, "rack", "rack-1", "`name` of the rack")
	f.StringVar(&c.services, "services", "", "`names` of the services whose targets run here, separated by commas")
	f.IntVar(&c.count, "count", 1, "number of workers in this process")
	f.IntVar(&c.slots, "slots", 8, "slots of each service")
	f.IntVar(&c.connections, "connections", 64, "limit of open connections at the targets")
	flags.AddrVar(f, &c.data, "data-addr", "127.0.0.1:0", "`address` of the targets")
	flags.AddrVar(f, &c.control, "control-addr", "127.0.0.1:0", "`address` for task commands")
	flags.AddrVar(f, &c.list, "list-addr", "127.0.0.1:7002", "`address` of the instance list")
	f.Int64Var(&c.cpu, "cpu", 32000, "processors in thousandths of a core")
	f.Int64Var(&c.memory, "memory", 125_000_000_000, "memory in bytes")
	f.IntVar(&c.accelerators, "accelerators", 0, "number of accelerators")
	f.Int64Var(&c.slotCPU, "slot-cpu", 0, "processors that a busy slot takes, in thousandths of a core")
	f.Int64Var(&c.slotMemory, "slot-memory", 0, "memory that a busy slot takes, in bytes")
}

func (c *workerCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return flags.Execute(ctx, f, c.validate, c.run)
}

func (c *workerCmd) validate(args []string) error {
	switch {
	case len(args) > 0:
		return eris.Errorf("unexpected argument %q", args[0])
	case c.name == "" || c.dataCentre == "":
		return eris.New("-name and -data-centre are needed")
	case c.count < 1 || c.count > maxWorkers:
		return eris.Errorf("-count %d is not in 1 to %d", c.count, maxWorkers)
	case !c.data.IsValid() || !c.control.IsValid() || !c.list.IsValid():
		return eris.New("-data-addr, -control-addr and -list-addr are needed")
	case int(c.data.Port())+c.count > maxPort || int(c.control.Port())+c.count > maxPort:
		return eris.Errorf("-count %d exceeds the ports that follow -data-addr or -control-addr", c.count)
	case c.slots < 1 || c.connections < 1:
		return eris.New("-slots and -connections must be positive")
	case c.cpu < 0 || c.memory < 0 || c.accelerators < 0 || c.slotCPU < 0 || c.slotMemory < 0:
		return eris.New("resources must not be negative")
	}
	return nil
}

func (c *workerCmd) run(ctx context.Context) error {
	list := fleet.New(c.list)
	defer list.Close()
	var parts []func(context.Context) error
	for i := range c.count {
		parts = append(parts, func(ctx context.Context) error { return c.serve(ctx, list, i) })
	}
	return fake.Run(ctx, parts...)
}

// serve listens on the addresses of the i-th worker, registers it at the
// instance list and serves it until ctx ends.
func (c *workerCmd) serve(ctx context.Context, list *fleet.Client, i int) error {
	data, err := net.Listen("tcp", nthAddr(c.data, i).String())
	if err != nil {
		return err
	}
	control, err := net.Listen("tcp", nthAddr(c.control, i).String())
	if err != nil {
		_ = data.Close()
		return err
	}
	cfg := c.config(i)
	return fake.Run(ctx, func(ctx context.Context) error {
		return fake.NewWorker(cfg).Serve(ctx, data, control)
	}, func(ctx context.Context) error {
		if _, err := list.Register(ctx, cfg.Instance(data.Addr(), control.Addr())); err != nil {
			return err
		}
		fmt.Printf("worker=%s data=%s control=%s\n", cfg.Name, data.Addr(), control.Addr())
		<-ctx.Done()
		return nil
	})
}

// nthAddr returns the address of the i-th worker, counted from 0: the port is
// i above that of the first worker. Port 0, any free port, stays 0.
func nthAddr(a netip.AddrPort, i int) netip.AddrPort {
	if a.Port() == 0 {
		return a
	}
	return netip.AddrPortFrom(a.Addr(), a.Port()+uint16(i))
}

// config returns the configuration of the i-th worker, counted from 0.
func (c *workerCmd) config(i int) fake.WorkerConfig {
	name := c.name
	if c.count > 1 {
		name = fmt.Sprintf("%s-%d", c.name, i+1)
	}
	cfg := fake.WorkerConfig{
		Name:        sched.WorkerName(name),
		DataCentre:  sched.DataCentre(c.dataCentre),
		Rack:        c.rack,
		Connections: c.connections,
		Capacity: sched.Resources{
			CPU: sched.MilliCPU(c.cpu), Memory: sched.Bytes(c.memory), Accelerators: c.accelerators,
		},
	}
	for s := range strings.SplitSeq(c.services, ",") {
		if s = strings.TrimSpace(s); s == "" {
			continue
		}
		cfg.Services = append(cfg.Services, fake.ServiceLimit{
			Service: sched.ServiceName(s), Slots: c.slots,
			SlotResources: sched.Resources{CPU: sched.MilliCPU(c.slotCPU), Memory: sched.Bytes(c.slotMemory)},
		})
	}
	return cfg
}
