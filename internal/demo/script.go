package demo

import (
	"context"
	"strings"
	"time"

	"github.com/mangoslip/mangoslip/internal/fake"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/text"
)

// step is one action of the script, at a fraction of the total time.
type step struct {
	at float64
	do func(context.Context)
}

// runScript injects failures and runs operator actions while the callers send
// requests.
func (s *session) runScript(ctx context.Context, total time.Duration) {
	victim := ""
	steps := []step{
		{0.10, func(context.Context) {
			s.printEvent("store is cut off")
			s.Store.SetFaults(fake.StoreFaults{Outage: true})
		}},
		{0.25, func(context.Context) {
			s.printEvent("store is back, and loses every 20th answer")
			s.Store.SetFaults(fake.StoreFaults{LoseEvery: 20})
		}},
		{0.35, func(context.Context) {
			for _, r := range s.Live() {
				if len(r.Serving()) > 0 {
					victim = string(r.Name)
					break
				}
			}
			s.printEvent("%s is killed", victim)
			s.Crash(victim)
		}},
		{0.65, func(context.Context) {
			s.printEvent("%s is restarted", victim)
			if err := s.Restart(victim); err != nil {
				s.printEvent("restart failed: %v", err)
			}
		}},
		{0.72, func(ctx context.Context) { s.edit(ctx, "Archive is drained", withArchiveDraining) }},
		{0.82, func(ctx context.Context) { s.edit(ctx, "a new text is applied", withShorterObjective) }},
	}
	for _, st := range steps {
		wait := time.Until(s.loadStarted.Add(time.Duration(st.at * float64(total))))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
			st.do(ctx)
		}
	}
}

// edit changes the services text, applies it and prints the result.
func (s *session) edit(ctx context.Context, what string, change func(string) (string, error)) {
	t, err := change(s.text)
	if err == nil {
		err = s.apply(ctx, t)
	}
	if err != nil {
		s.printEvent("%s: failed: %v", what, err)
		return
	}
	s.text = t
	s.printEvent("%s", what)
}

func withArchiveDraining(t string) (string, error) {
	b, err := text.SetState([]byte(t), "Archive", sched.ServiceDraining)
	return string(b), err
}

func withShorterObjective(t string) (string, error) {
	return strings.Replace(t, `Objective = "150ms"`, `Objective = "140ms"`, 1), nil
}
