package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/mangoslip/mangoslip/internal/admin"
	"github.com/mangoslip/mangoslip/pkg/client"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/config"
	"github.com/mangoslip/mangoslip/pkg/text"
)

// adminBackend implements admin.Backend.
type adminBackend struct{ e *Entry }

var _ admin.Backend = adminBackend{}

// errNotReady is answered while the entry cannot take requests.
var errNotReady = errors.New("no configuration in force, ownership table unknown, or planned stop")

// errIncomplete means that an entry did not answer.
var errIncomplete = errors.New("an entry did not answer, so the list is not whole; try again")

// stateRetries bounds the edits of a state that lose against other edits.
const stateRetries = 3

// Config implements admin.Backend.
func (o adminBackend) Config(context.Context) (config.Stored, error) {
	o.e.conf.mu.Lock()
	defer o.e.conf.mu.Unlock()
	stored, _ := o.e.conf.m.Stored()
	return stored, nil
}

// PutConfig implements admin.Backend.
func (o adminBackend) PutConfig(ctx context.Context, ed admin.Edit) (sched.Revision, error) {
	return o.e.Edit(ctx, ed.Text, ed.Author, ed.IfMatch)
}

// SetState implements admin.Backend. The change is made to the text in force;
// if another edit came first, it is made again to the newer one.
func (o adminBackend) SetState(ctx context.Context, ed admin.StateEdit) (sched.Revision, []sched.ServiceName, error) {
	var conflict *config.ConflictError
	for try := 0; ; try++ {
		stored, err := o.Config(ctx)
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
		revision, err := o.e.Edit(ctx, string(edited), ed.Author, stored.Revision)
		if err == nil || !errors.As(err, &conflict) || try == stateRetries {
			return revision, changed, err
		}
	}
}

// Status implements admin.Backend.
func (o adminBackend) Status(context.Context) (client.Status, error) { return o.e.Status(), nil }

// Workers implements admin.Backend.
func (o adminBackend) Workers(context.Context) (any, error) { return o.e.workerStatus(), nil }

// Jobs implements admin.Backend.
func (o adminBackend) Jobs(ctx context.Context) ([]sched.JobStatus, error) {
	jobs, reason := o.e.Jobs(ctx)
	if reason != "" {
		return jobs, errIncomplete
	}
	return jobs, nil
}

// Metrics implements admin.Backend.
func (o adminBackend) Metrics(w http.ResponseWriter, r *http.Request) {
	o.e.gauges(time.Now())
	o.e.stats.ServeHTTP(w, r)
}

// Ready implements admin.Backend.
func (o adminBackend) Ready() error {
	if !o.e.Ready() {
		return errNotReady
	}
	return nil
}
