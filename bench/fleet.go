package bench

import (
	"crypto/rand"
	"fmt"
	"net/netip"
	"strings"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/owner"
	"github.com/mangoslip/mangoslip/pkg/sched/pool"
	"github.com/mangoslip/mangoslip/pkg/text"
)

// must returns v and panics if err is not nil.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// workerInstances returns n workers, spread over 34 data centres, as the
// instance list shows them.
func workerInstances(n int) []sched.Instance {
	out := make([]sched.Instance, n)
	for i := range out {
		out[i] = sched.Instance{
			Name: fmt.Sprintf("worker-%05d", i), Role: sched.RoleWorker, State: sched.StateLive,
			DataCentre: sched.DataCentre(fmt.Sprintf("Region%02d-%d", i%12, i%34)), Rack: fmt.Sprintf("rack-%04d", i/8),
			Generation: uint64(100_000 + i),
			Data:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8080),
			Control:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8081),
			Capacity:   sched.Resources{CPU: 32_000, Memory: 125 << 30, Accelerators: 2},
			Services:   serviceNames,
		}
	}
	return out
}

// ownedTable returns an ownership table in which every shard has an owner, and
// the entries that own the shards as the instance list shows them.
func ownedTable(shards int) (owner.Table, []sched.Instance) {
	dcs := make([]sched.DataCentre, shards/2)
	for i := range dcs {
		dcs[i] = sched.DataCentre(fmt.Sprintf("Region%02d-%d", i%12, i))
	}
	t := owner.NewTable(dcs, 2)
	t.WriteID = "entry-00000." + rand.Text() + ".1"
	list := make([]sched.Instance, shards)
	for i := range t.Shards {
		name := fmt.Sprintf("entry-%05d", i)
		t.Shards[i].Epoch = 7
		t.Shards[i].Owner = owner.Holder{Name: sched.EntryName(name), Generation: uint64(100_000 + i), Process: rand.Text()}
		list[i] = sched.Instance{
			Name: name, Role: sched.RoleEntry, State: sched.StateLive,
			DataCentre: t.Shards[i].ID.DataCentre, Generation: uint64(100_000 + i),
		}
	}
	return t, list
}

// configText returns the text of a configuration with a number of services and
// teams.
func configText(services, teams int) string {
	var s strings.Builder
	s.WriteString("DataCentres = [\"Gasabo\"]\nShardsPerDataCentre = 2\n\n[WorkerSize]\nCPU = 32\nMemory = \"125GB\"\n")
	for i := range services {
		name := fmt.Sprintf("Service-%04d", i)
		if i < len(serviceNames) {
			name = string(serviceNames[i])
		}
		fmt.Fprintf(&s, "\n[[Services]]\nName = %q\nState = \"Started\"\nTeam = \"Team-0000\"\nObjective = \"80ms\"\n", name)
		s.WriteString("Timeout = \"800ms\"\nSlots = 8\nConnections = 64\nSlotResources = { CPU = \"500m\", Memory = \"1GiB\" }\nIdempotentMethods = [\"GET\", \"HEAD\"]\n")
		if i%10 > 0 {
			s.WriteString("DependsOn = [\"Quotes\"]\n")
		}
	}
	for i := range teams {
		fmt.Fprintf(&s, "\n[[Teams]]\nName = \"Team-%04d\"\nQuota = { CPU = 300, Memory = \"1200GB\", Accelerators = 50 }\n", i)
	}
	return s.String()
}

// newReadyPool returns a pool machine whose workers have all answered their
// first inventory.
func newReadyPool(workers int, cfg *sched.Config, opts ...pool.Option) *pool.Machine {
	m := pool.New(opts...)
	m.Update(benchStart, pool.ConfigMsg{Config: cfg})
	m.Update(benchStart, pool.WorkersMsg{Workers: workerInstances(workers)})
	for _, cmd := range m.Update(benchStart, pool.AcquiredMsg{Epoch: 1}) {
		if c, ok := cmd.(pool.InventoryCmd); ok {
			m.Update(benchStart, pool.InventoryMsg{Worker: c.Worker, Epoch: 1})
		}
	}
	return m
}

func parsedConfig(services, teams int) *sched.Config {
	cfg := must(text.Parse([]byte(configText(services, teams))))
	cfg.Revision = 1
	return cfg
}
