// Package demo runs the whole system in one process over loopback sockets: the
// stand-ins for the store, the instance list and the workers, six entries in
// three data centres, callers, and a script of failures. At the end it audits
// the records of the stand-ins against the invariants of the system.
//
// # Usage
//
//	sum, err := demo.Run(ctx, demo.Settings{For: 10 * time.Second, Out: os.Stdout})
//	fmt.Println(sum)
//
// With For 0 it runs until ctx ends, without callers and failures, and prints
// the addresses of the entries.
package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/mangoslip/mangoslip/internal/audit"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Settings configures a demo.
type Settings struct {
	// For is how long the callers send requests; with 0, there are no
	// callers and the demo runs until the context ends.
	For time.Duration
	// Workers is the number of workers in each data centre; the default is
	// 8.
	Workers int
	// Seed seeds the random choices of the callers.
	Seed uint64
	// Out receives the addresses of the entries and the events of the
	// script; the default discards them.
	Out io.Writer
	// Log receives the log lines of the entries; the default discards them.
	Log *slog.Logger
	// Token is the bearer token of operators; the default is "demo".
	Token string
}

// Summary holds the counts of a demo.
type Summary struct {
	Requests, Answered, Refused, Unknown int
	P99                                  time.Duration
	TasksDone, Evictions                 int
	Audit                                audit.Result
}

// String returns the counts as one line of Key=Value pairs, which a script can
// parse.
func (s Summary) String() string {
	c := s.Audit.Counts
	return fmt.Sprintf("Requests=%d Answered=%d Refused=%d Unknown=%d P99=%s TasksDone=%d Evictions=%d "+
		"DuplicateRuns=%d LostTasks=%d Overcommits=%d FalseNotRun=%d ConfigReversions=%d",
		s.Requests, s.Answered, s.Refused, s.Unknown, s.P99.Round(10*time.Microsecond), s.TasksDone, s.Evictions,
		c.DuplicateRuns+c.OverlappingRuns, c.LostTasks, c.Overcommits, c.FalseNotRun+c.WrongAnswers, c.ConfigReversions)
}

// OK reports whether the audit found no violation.
func (s Summary) OK() bool { return s.Audit.Counts.Total() == 0 }

// jobsTimeout limits the wait for accepted jobs to end after the callers have
// stopped.
const jobsTimeout = 45 * time.Second

// Run starts the site and its callers, injects the failures of the script,
// waits for accepted jobs, and returns the counts with the result of the audit.
func Run(ctx context.Context, s Settings) (Summary, error) {
	ses, err := newSession(s)
	if err != nil {
		return Summary{}, err
	}
	defer ses.Close()
	if err := ses.Start(ctx); err != nil {
		return Summary{}, err
	}
	ses.printAddresses()
	if s.For == 0 {
		<-ctx.Done()
		return Summary{}, nil
	}
	l := newLoad(ses, s.Seed)
	loadCtx, stop := context.WithTimeout(ctx, s.For)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		ses.runScript(loadCtx, s.For)
	}()
	l.run(loadCtx)
	<-done
	ses.printEvent("callers stopped, waiting for accepted tasks")
	l.waitForJobs(ctx, jobsTimeout)
	l.report()
	return ses.summary(l), nil
}

// printEvent prints a line with the time since the start.
func (s *session) printEvent(format string, args ...any) {
	fmt.Fprintf(s.Out, "%6.2fs %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// summary audits the records of the stand-ins, prints the violations and
// returns the counts.
func (s *session) summary(l *load) Summary {
	ev := audit.Evidence{Workers: s.Records(), Log: l.log.Snapshot()}
	sum := l.summary()
	sum.Audit = audit.Check(ev)
	for _, w := range ev.Workers {
		for _, t := range w.Tasks {
			switch t.State {
			case sched.TaskSucceeded:
				sum.TasksDone++
			case sched.TaskStopped:
				sum.Evictions++
			}
		}
	}
	for i, f := range sum.Audit.Findings {
		if i == maxFindings {
			s.printEvent("… %d more findings", len(sum.Audit.Findings)-i)
			break
		}
		s.printEvent("violation: %s", f)
	}
	return sum
}

// maxFindings limits how many violations are printed.
const maxFindings = 20
