package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/internal/flags"
	"github.com/mangoslip/mangoslip/internal/late"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// lateTimeout bounds the request. The entry itself waits 250 ms for the leader.
	lateTimeout = 5 * time.Second
	// maxLateBody bounds the answer that is read, in bytes.
	maxLateBody = 4 << 20
)

// lateCmd lists the late jobs of a deployment on the platform.
type lateCmd struct{ addr, queue string }

func (*lateCmd) Name() string     { return "late" }
func (*lateCmd) Synopsis() string { return "list the jobs that miss their objective (serve)" }
func (*lateCmd) Usage() string {
	return "late [-addr HOST:PORT] [-queue NAME]\n" +
		"  List the late jobs, the most late first. Any entry on the platform answers.\n"
}

func (c *lateCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.addr, "addr", "127.0.0.1:9600", "metrics `address` of an entry")
	f.StringVar(&c.queue, "queue", "", "only the jobs of this queue")
}

func (c *lateCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return flags.Execute(ctx, f, c.validate, c.run)
}

func (c *lateCmd) validate(args []string) error {
	if len(args) > 0 {
		return eris.Errorf("unexpected argument %q", args[0])
	}
	_, port, err := net.SplitHostPort(c.addr)
	if err == nil && port == "" {
		err = eris.Errorf("%q has no port", c.addr)
	}
	return eris.Wrap(err, "-addr") // nil if err is nil
}

func (c *lateCmd) run(ctx context.Context) error {
	list, err := fetchLate(ctx, c.addr, c.queue)
	if err == nil {
		fmt.Print(renderLate(&list))
	}
	return err
}

// fetchLate asks the entry with the given metrics address for the late jobs.
func fetchLate(ctx context.Context, addr, queue string) (list late.List, err error) {
	ctx, cancel := context.WithTimeout(ctx, lateTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: addr, Path: late.Path, RawQuery: url.Values{"queue": {queue}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return late.List{}, sched.Wrap(err, "ask for late jobs", addr)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return late.List{}, sched.Wrap(err, "ask for late jobs", addr)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return late.List{}, eris.Errorf("%s cannot tell now which jobs are late; ask again in %s s",
			addr, resp.Header.Get("Retry-After"))
	default:
		return late.List{}, eris.Errorf("%s answers with status %d", addr, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLateBody)).Decode(&list); err != nil {
		return late.List{}, sched.Wrap(err, "read late jobs", addr)
	}
	if !list.Known {
		return late.List{}, eris.Errorf("%s does not know which jobs are late", addr)
	}
	return list, nil
}

// renderLate returns the table of late jobs.
func renderLate(l *late.List) string {
	if len(l.Late) == 0 {
		return fmt.Sprintf("no job is late (leader %s)\n", l.Leader)
	}
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "JOB\tQUEUE\tSTATE\tAGE\tOBJECTIVE\tLATE\tTASKS LEFT\tWAITS\n")
	for i := range l.Late {
		j := &l.Late[i]
		waits := j.Waits
		if waits == "" {
			waits = "-"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.1fs\t%.1fs\t%.1fs\t%d\t%s\n", printable(string(j.Job)), printable(string(j.Queue)),
			j.State, j.AgeSeconds, j.ObjectiveSeconds, j.LateSeconds, j.TasksLeft, waits)
	}
	_ = w.Flush()
	fmt.Fprintf(&b, "%d late jobs (leader %s)", len(l.Late)+l.More, l.Leader)
	if l.More > 0 {
		fmt.Fprintf(&b, ", %d of them not shown", l.More)
	}
	return b.String() + "\n"
}

// printable replaces the control characters of a name that a caller chose, which would
// otherwise act on the terminal or break the table.
func printable(name string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r >= 0x7f && r < 0xa0 {
			return '?'
		}
		return r
	}, name)
}
