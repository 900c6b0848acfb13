package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"
	"github.com/mattn/go-isatty"
	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/internal/flags"
	"github.com/mangoslip/mangoslip/pkg/client"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

type statusCmd struct {
	adminFlags
	output string
}

func (*statusCmd) Name() string     { return "status" }
func (*statusCmd) Synopsis() string { return "show entries and services" }
func (*statusCmd) Usage() string {
	return "status [-o text|json]\n  Show the entries and services as one entry sees them.\n"
}

func (c *statusCmd) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.output, "o", "text", "output: text or json")
}

func (c *statusCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cl, err := c.connectWithoutArgs(f)
	if err == nil && c.output != "text" && c.output != "json" {
		err = eris.New("-o is text or json")
	}
	if err != nil {
		return flags.Usage(f, err)
	}
	status, err := cl.Status(ctx)
	if err != nil {
		return flags.Failure(f, err)
	}
	if c.output == "json" {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		if err := enc.Encode(status); err != nil {
			return flags.Failure(f, err)
		}
		return subcommands.ExitSuccess
	}
	fmt.Print(renderStatus(&status, isatty.IsTerminal(os.Stdout.Fd())))
	return subcommands.ExitSuccess
}

// ANSI escape sequences around a line that needs attention.
const (
	colourOn  = "\x1b[33m"
	colourOff = "\x1b[0m"
)

// renderStatus returns the tables of entries and services. With colour, lines
// that need attention are coloured as a whole, which keeps the columns aligned.
func renderStatus(s *client.Status, colour bool) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "ENTRY\tDATA CENTRE\tSTATE\tIN FORCE\tSHARDS\n")
	highlighted := map[int]bool{}
	line := 1
	for _, e := range s.Entries {
		shards := make([]string, len(e.Shards))
		for i, id := range e.Shards {
			shards[i] = id.String()
		}
		highlighted[line] = e.State != sched.StateLive || e.InForce < s.Revision
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", e.Name, e.DataCentre, e.State, e.InForce, strings.Join(shards, " "))
		line++
	}
	fmt.Fprintf(w, "SERVICE\tSTATE\tBLOCKED BY\tBUSY/SLOTS\tQUEUED\n")
	line++
	for _, v := range s.Services {
		highlighted[line] = v.State != sched.ServiceStarted || v.BlockedBy != ""
		fmt.Fprintf(w, "%s\t%s\t%s\t%d/%d\t%d\n", v.Name, v.State, v.BlockedBy, v.Busy, v.Slots, v.Queued)
		line++
	}
	_ = w.Flush()
	lines := strings.Split(strings.TrimSuffix(b.String(), "\n"), "\n")
	for i := range lines {
		lines[i] = strings.TrimRight(lines[i], " ")
		if colour && highlighted[i] {
			lines[i] = colourOn + lines[i] + colourOff
		}
	}
	return fmt.Sprintf("revision %d, in force here %d\n", s.Revision, s.InForce) +
		strings.Join(lines, "\n") + "\n" + renderDamage(s.Damaged)
}

// renderDamage lists the damaged batches and snapshots, each with what to do.
func renderDamage(damaged []client.DamagedBatch) string {
	var b strings.Builder
	for _, d := range damaged {
		if d.Seq == 0 {
			fmt.Fprintf(&b, "snapshot of shard %s is damaged: %s; restore it in the store\n", d.Shard, d.Error)
			continue
		}
		fmt.Fprintf(&b, "batch %d of shard %s is damaged: %s; check the copy under Damaged/, then 'mangoslip release %s %d'\n",
			d.Seq, d.Shard, d.Error, d.Shard, d.Seq)
	}
	return b.String()
}
