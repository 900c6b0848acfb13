package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/mangoslip/mangoslip/internal/audit"
	"github.com/mangoslip/mangoslip/internal/site"
)

// defaultWorkers is the default number of workers in each data centre.
const defaultWorkers = 8

// pollInterval is a fifth of the interval at which the state of jobs is polled.
const pollInterval = 50 * time.Millisecond

// session is the site and the state of one demo.
type session struct {
	Settings
	*site.Site
	started time.Time
	// loadStarted is when the callers started; text is the current services
	// text.
	loadStarted time.Time
	text        string
}

func newSession(s Settings) (*session, error) {
	if s.Workers == 0 {
		s.Workers = defaultWorkers
	}
	if s.Token == "" {
		s.Token = "demo"
	}
	if s.Out == nil {
		s.Out = io.Discard
	}
	if s.Log == nil {
		s.Log = slog.New(slog.DiscardHandler)
	}
	deployment, err := site.New(site.WithWorkers(s.Workers), site.WithToken(s.Token),
		site.WithLogger(s.Log), site.WithAuthor("demo"))
	if err != nil {
		return nil, err
	}
	return &session{Settings: s, Site: deployment, started: time.Now(), text: deployment.Text()}, nil
}

// apply makes a services text the current configuration.
func (s *session) apply(ctx context.Context, t string) error {
	_, err := s.Apply(ctx, t)
	return err
}

// printAddresses prints the addresses of the entries, for use with curl.
func (s *session) printAddresses() {
	for _, e := range s.Live() {
		fmt.Fprintf(s.Out, "Name=%s DataCentre=%s Front=http://%s Admin=http://%s\n",
			e.Name, e.DataCentre, e.FrontAddr, e.AdminAddr)
	}
}

// logRevisions adds the current revision of each entry to the audit log. An
// entry that has just started has none until it has read the store; it is left
// out, because it is not ready and serves nothing until then.
func (s *session) logRevisions(l *audit.Log) {
	for _, e := range s.Entries() {
		if r := e.Revision(); r > 0 {
			l.AddRevision(audit.RevisionInForce{Entry: e.Name, At: time.Now(), Revision: r})
		}
	}
}
