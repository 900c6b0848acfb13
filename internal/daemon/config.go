package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// configEvery is the period of reads of the configuration beside the
	// watch, which may be silent for a while.
	configEvery   = 900 * time.Millisecond
	configTimeout = 500 * time.Millisecond
	watchWait     = 3 * time.Second
	retryPause    = 150 * time.Millisecond
)

// followConfig keeps the newest configuration in force.
func (e *Entry) followConfig(ctx context.Context) {
	e.t.Go(func() error { e.watchConfig(ctx); return nil })
	lost := false
	for ctx.Err() == nil {
		item, err := e.readConfig(ctx)
		switch {
		case err == nil:
			e.applyConfig(item, "read")
		case errors.Is(err, sched.ErrNotFound):
		default:
			if !lost {
				e.log.Warn("store lost", "step", "read configuration", "error", err)
			}
			lost = true
			pause(ctx, retryPause)
			continue
		}
		if lost {
			e.log.Info("store regained", "step", "read configuration")
			lost = false
		}
		if e.configSet.Load() {
			pause(ctx, configEvery)
		} else {
			pause(ctx, retryPause)
		}
	}
}

func (e *Entry) readConfig(ctx context.Context) (sched.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	item, err := e.Store.Get(ctx, e.ConfigKey)
	e.jobs.Health().Note(err)
	return item, err
}

// watchConfig applies configurations as they are written.
func (e *Entry) watchConfig(ctx context.Context) {
	var after sched.Version
	for ctx.Err() == nil {
		if after == 0 {
			item, err := e.readConfig(ctx)
			if err != nil {
				pause(ctx, retryPause)
				continue
			}
			after = item.Version
		}
		changes, next, err := e.Store.Watch(ctx, e.ConfigKey, after, watchWait)
		if err != nil {
			after = 0
			pause(ctx, retryPause)
			continue
		}
		after = next
		for _, c := range changes {
			if !c.Removed && c.Key == e.ConfigKey {
				e.applyConfig(c.Item, "watch")
			}
		}
	}
}

// applyConfig puts a configuration in force unless a newer one is.
func (e *Entry) applyConfig(item sched.Item, source string) {
	if uint64(item.Version) <= e.revision.Load() {
		return
	}
	e.configMu.Lock()
	defer e.configMu.Unlock()
	if uint64(item.Version) <= e.revision.Load() {
		return
	}
	fleet, err := e.Apply(item.Value)
	if err != nil {
		e.log.Error("configuration is not usable", "version", item.Version, "source", source, "error", err)
		e.revision.Store(uint64(item.Version))
		return
	}
	e.revision.Store(uint64(item.Version))
	e.configSet.Store(true)
	e.leader.SetFleet(fleet)
	e.stats.Gauge("ConfigRevision", int64(fleet.Revision))
	e.log.Info("configuration in force", "revision", fleet.Revision, "version", item.Version, "source", source,
		"queues", len(fleet.Queues))
}
