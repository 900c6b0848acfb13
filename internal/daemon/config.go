package daemon

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// configInterval is the interval at which the configuration is read in addition
	// to the watch, which may deliver nothing for a while.
	configInterval = 900 * time.Millisecond
	// configTimeout bounds one read of the configuration.
	configTimeout = 500 * time.Millisecond
	// watchWait is how long one watch call waits for changes.
	watchWait = 3 * time.Second
	// retryPause is the first pause after a failed call to the store, retryMaxPause
	// the longest, and retryJitter the random fraction of a pause. The pauses are
	// short because a configuration has to be in force 2 s after it was accepted.
	retryPause    = 150 * time.Millisecond
	retryMaxPause = 600 * time.Millisecond
	retryJitter   = 0.3
)

// newRetry returns the backoff between calls to a store that does not answer.
func newRetry() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.RandomizationFactor = retryPause, retryMaxPause, retryJitter
	b.Multiplier = 2
	b.Reset()
	return b
}

// followConfig keeps the newest configuration in force until ctx ends.
func (e *Entry) followConfig(ctx context.Context) {
	lost := false
	retry := newRetry()
	for ctx.Err() == nil {
		_, err := e.readConfig(ctx)
		if err != nil {
			if !lost {
				e.log.Warn("store lost", "step", "read configuration", "error", err)
			}
			lost = true
			pause(ctx, retry.NextBackOff())
			continue
		}
		if lost {
			e.log.Info("store regained", "step", "read configuration")
			lost = false
		}
		retry.Reset()
		if e.configSet.Load() {
			pause(ctx, configInterval)
		} else {
			pause(ctx, retryPause)
		}
	}
}

// readConfig reads the configuration, applies it, and returns the store version of
// the read.
func (e *Entry) readConfig(ctx context.Context) (sched.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	items, version, err := e.Store.Range(ctx, e.ConfigKey, false)
	e.jobs.Health().Record(err)
	for _, i := range items {
		if i.Key == e.ConfigKey {
			e.applyConfig(i, "read")
		}
	}
	return version, err
}

// watchConfig applies configurations as they are written.
func (e *Entry) watchConfig(ctx context.Context) {
	var after sched.Version
	retry := newRetry()
	for ctx.Err() == nil {
		if after == 0 {
			version, err := e.readConfig(ctx)
			if err != nil {
				pause(ctx, retry.NextBackOff())
				continue
			}
			after = version
		}
		changes, next, err := e.Store.Watch(ctx, e.ConfigKey, after, watchWait)
		if err != nil {
			after = 0
			pause(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		after = next
		for _, c := range changes {
			if !c.Removed && c.Key == e.ConfigKey {
				e.applyConfig(c.Item, "watch")
			}
		}
	}
}

// applyConfig puts a configuration in force unless that version or a newer one was
// seen before. A version that cannot be applied leaves the previous configuration in
// force and is not tried again.
func (e *Entry) applyConfig(item sched.Item, source string) {
	if uint64(item.Version) <= e.configVersion.Load() {
		return
	}
	e.configMu.Lock()
	defer e.configMu.Unlock()
	if uint64(item.Version) <= e.configVersion.Load() {
		return
	}
	fleet, err := e.Apply(item.Value)
	if err != nil {
		e.log.Error("configuration rejected; the previous one stays in force", "version", item.Version, "source", source, "error", err)
		e.configVersion.Store(uint64(item.Version))
		return
	}
	e.configVersion.Store(uint64(item.Version))
	e.configSet.Store(true)
	e.leader.SetFleet(fleet)
	e.stats.Gauge("ConfigRevision", int64(fleet.Revision))
	e.log.Info("configuration in force", "revision", fleet.Revision, "version", item.Version, "source", source,
		"queues", len(fleet.Queues))
}
