package entry

import (
	"context"
	"errors"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/owner"
)

// Times of calls to the store.
const (
	// watchWait is how long one watch waits for a change.
	watchWait = 10 * time.Second
	// watchRetry is the pause after a failed watch.
	watchRetry = time.Second
	// storeCallTimeout bounds one call to the store.
	storeCallTimeout = 2 * time.Second
)

// createOwner creates the ownership machine when the first configuration comes
// into force. Before that the data centres are not known.
func (e *Entry) createOwner(cfg *sched.Config) {
	e.own.Lock()
	defer e.own.Unlock()
	if e.own.m != nil {
		return
	}
	e.own.m = owner.New(e.Name, e.process,
		owner.WithDataCentre(e.DataCentre),
		owner.WithAddress(e.PeerAddr),
		owner.WithLayout(cfg.DataCentres, cfg.ShardsPerDataCentre),
		owner.WithSeed(uint64(time.Now().UnixNano())))
}

// postOwner sends a message to the ownership machine and executes the commands
// that it returns.
func (e *Entry) postOwner(msg sched.Msg) {
	e.own.Lock()
	if e.own.m == nil {
		e.own.Unlock()
		return
	}
	cmds := e.own.m.Update(e.now(), msg)
	e.syncShards()
	set := e.shards.Load()
	for _, c := range cmds {
		e.ownerCommand(set, c)
	}
	e.syncDeadlines(set)
	e.own.Unlock()
}

// syncShards adds the shards that are new in the layout of the ownership table.
// The caller holds the ownership lock.
func (e *Entry) syncShards() {
	old := e.shards.Load()
	layout := e.own.m.Layout()
	if len(layout) == len(old.layout) {
		return
	}
	set := &shardSet{layout: layout, byID: make(map[sched.ShardID]*shard, len(layout))}
	for _, id := range layout {
		s, ok := old.byID[id]
		if !ok {
			s = newShard(e, id, len(layout))
		}
		set.byID[id] = s
	}
	e.shards.Store(set)
}

// syncDeadlines sets the time until which effects of each shard may start. The
// caller holds the ownership lock.
func (e *Entry) syncDeadlines(set *shardSet) {
	for id, s := range set.byID {
		until := e.own.m.ServeUntil(id)
		if until.IsZero() {
			s.serveUntil.Store(0)
			continue
		}
		s.serveUntil.Store(int64(until.Sub(e.start)))
	}
}

// ownerCommand executes a command of the ownership machine. The caller holds the
// ownership lock, so that the acquisitions and stops of a shard are executed in
// order. A stop that is executed before the acquisition would be ignored, and the
// shard would never be released.
func (e *Entry) ownerCommand(set *shardSet, c sched.Cmd) {
	switch c := c.(type) {
	case owner.ReadTableCmd:
		e.spawn(e.readTable)
	case owner.WriteTableCmd:
		e.spawn(func(ctx context.Context) { e.writeTable(ctx, c) })
	case owner.AcquiredCmd:
		e.log.Info("shard acquired", "shard", c.Shard, "epoch", c.Epoch)
		e.stats.Count("Shards", "Acquired")
		set.byID[c.Shard].acquire(c.Epoch)
	case owner.ResumedCmd:
		e.log.Info("shard resumed", "shard", c.Shard, "epoch", c.Epoch)
		set.byID[c.Shard].resume(c.Epoch)
	case owner.LostCmd:
		e.log.Info("shard stopped", "shard", c.Shard, "epoch", c.Epoch, "reason", c.Reason, "final", c.Final)
		e.stats.Count("Shards", string(c.Reason))
		s := set.byID[c.Shard]
		s.serveUntil.Store(0)
		s.stop(c)
	}
}

func (e *Entry) readTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	sent := e.now()
	item, err := e.OwnershipStore.Get(ctx, owner.Key)
	switch {
	case errors.Is(err, sched.ErrNotFound):
		e.postOwner(owner.TableReadMsg{SentAt: sent})
	case err != nil:
		e.stats.Count("Store", "ReadFailed")
		e.postOwner(owner.TableReadFailedMsg{Err: err})
	default:
		e.postOwner(owner.TableReadMsg{SentAt: sent, Value: item.Value, Version: item.Version})
	}
}

func (e *Entry) writeTable(ctx context.Context, c owner.WriteTableCmd) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	version, err := e.OwnershipStore.Put(ctx, owner.Key, c.Value, c.Prev)
	if err != nil {
		e.stats.Count("Store", "TableWriteFailed")
		e.postOwner(owner.TableWriteFailedMsg{ID: c.ID, Err: err})
		return
	}
	e.postOwner(owner.TableWrittenMsg{ID: c.ID, Version: version})
}

// watchTable watches the ownership table until the entry ends, so that claims and
// releases are known before the next periodic read.
func (e *Entry) watchTable(ctx context.Context) {
	for {
		var after sched.Version
		e.own.Lock()
		if e.own.m != nil {
			_, after, _ = e.own.m.LastTable()
		}
		e.own.Unlock()
		if after == 0 {
			if !pause(ctx, watchRetry) {
				return
			}
			continue
		}
		sent := e.now()
		item, err := e.OwnershipStore.Watch(ctx, owner.Key, after, watchWait)
		switch {
		case err == nil:
			e.postOwner(owner.TableReadMsg{SentAt: sent, Value: item.Value, Version: item.Version})
		case errors.Is(err, sched.ErrNotFound):
		case !pause(ctx, watchRetry):
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// Intervals of the ticks that the machines get.
const (
	// tickInterval is the interval of the ticks of the journals.
	tickInterval = 10 * time.Millisecond
	// slowTickEvery is the number of ticks between two slow ticks. Ownership,
	// configuration, pools, tasks and idempotency records get only slow ticks.
	slowTickEvery = 10
)

// tick sends ticks to the machines until the entry ends.
func (e *Entry) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var interval time.Duration
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		slow := n%slowTickEvery == 0
		if slow {
			e.postOwner(sched.TickMsg{})
			e.tickConfig()
		}
		set := e.shards.Load()
		if slow {
			e.ready.Store(e.conf.inForce() != nil && len(set.layout) > 0 && e.canPlace(set))
			interval = e.commitInterval(set)
		}
		for _, s := range set.byID {
			s.tick(slow, interval)
		}
	}
}

// canPlace reports whether the entry knows a place where a request could run: it
// serves a shard, or a peer has reported free slots. A new process that serves no
// shard knows none before its first heartbeat.
func (e *Entry) canPlace(set *shardSet) bool {
	for _, s := range set.byID {
		if s.serving() {
			return true
		}
	}
	e.hints.Lock()
	defer e.hints.Unlock()
	for _, v := range e.hints.views {
		if len(v.Slots) > 0 {
			return true
		}
	}
	return false
}

// commitInterval returns the time between two commits of a shard. It divides the
// entry's store writes equally among the shards that the entry owns.
func (e *Entry) commitInterval(set *shardSet) time.Duration {
	owned := 0
	for _, s := range set.byID {
		if s.serveUntil.Load() != 0 {
			owned++
		}
	}
	return time.Duration(float64(max(owned, 1)) / e.StoreWrites * float64(time.Second))
}

// ownerOf returns the entry that owns a shard according to the ownership table.
func (e *Entry) ownerOf(id sched.ShardID) (sched.EntryName, bool) {
	e.own.Lock()
	defer e.own.Unlock()
	if e.own.m == nil {
		return "", false
	}
	return e.own.m.OwnerOf(id)
}

// keyShard returns the shard that an idempotency key or a job id belongs to.
func (e *Entry) keyShard(name string) (sched.ShardID, bool) {
	e.own.Lock()
	defer e.own.Unlock()
	if e.own.m == nil {
		return sched.ShardID{}, false
	}
	return e.own.m.KeyShard(name)
}
