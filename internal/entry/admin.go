package entry

import (
	"context"
	"errors"
	"net/http"

	"github.com/mangoslip/mangoslip/internal/admin"
	"github.com/mangoslip/mangoslip/pkg/client"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/config"
	"github.com/mangoslip/mangoslip/pkg/text"
)

// adminBackend implements admin.Backend, which serves operators.
type adminBackend struct{ e *Entry }

var _ admin.Backend = adminBackend{}

// errNotReady is returned while the entry cannot accept requests.
var errNotReady = errors.New("no configuration in force, ownership table unknown, or planned stop")

// errIncomplete is returned with a list of jobs that lacks those of an entry that
// did not answer.
var errIncomplete = errors.New("an entry did not answer, so the list is not whole; try again")

// stateRetries is how often a change of state is retried after it conflicted with
// another edit.
const stateRetries = 3

// Config implements admin.Backend.
func (b adminBackend) Config(context.Context) (config.Stored, error) {
	b.e.conf.mu.Lock()
	defer b.e.conf.mu.Unlock()
	stored, _ := b.e.conf.m.Stored()
	return stored, nil
}

// PutConfig implements admin.Backend.
func (b adminBackend) PutConfig(ctx context.Context, ed admin.Edit) (sched.Revision, error) {
	return b.e.Edit(ctx, ed.Text, ed.Author, ed.IfMatch)
}

// SetState implements admin.Backend. It edits the accepted text. If another edit
// was accepted in between, it applies the change to the newer text.
func (b adminBackend) SetState(ctx context.Context, ed admin.StateEdit) (sched.Revision, []sched.ServiceName, error) {
	var conflict *config.ConflictError
	for try := 0; ; try++ {
		stored, err := b.Config(ctx)
		if err != nil {
			return 0, nil, err
		}
		edited, changed, err := text.SetStates([]byte(stored.Text), ed.Service, ed.State, ed.Cascade)
		if err != nil {
			return 0, nil, err
		}
		if len(changed) == 0 {
			return stored.Revision, nil, nil
		}
		revision, err := b.e.Edit(ctx, string(edited), ed.Author, stored.Revision)
		if err == nil || !errors.As(err, &conflict) || try == stateRetries {
			return revision, changed, err
		}
	}
}

// Status implements admin.Backend.
func (b adminBackend) Status(context.Context) (client.Status, error) { return b.e.Status(), nil }

// Workers implements admin.Backend.
func (b adminBackend) Workers(context.Context) (any, error) { return b.e.workerStatus(), nil }

// Jobs implements admin.Backend.
func (b adminBackend) Jobs(ctx context.Context) ([]sched.JobStatus, error) {
	jobs, reason := b.e.Jobs(ctx)
	if reason != "" {
		return jobs, errIncomplete
	}
	return jobs, nil
}

// Metrics implements admin.Backend.
func (b adminBackend) Metrics(w http.ResponseWriter, r *http.Request) {
	b.e.gauges(b.e.now())
	b.e.stats.ServeHTTP(w, r)
}

// Ready implements admin.Backend.
func (b adminBackend) Ready() error {
	if !b.e.Ready() {
		return errNotReady
	}
	return nil
}
