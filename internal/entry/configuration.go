package entry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/config"
)

// configuration guards the machine that accepts revisions of the configuration.
type configuration struct {
	mu sync.Mutex
	m  *config.Machine
	// waiters holds the channels on which callers of Edit wait for the reply.
	waiters map[uint64]chan config.ReplyCmd
	// current is the configuration in force, or nil.
	current atomic.Pointer[sched.Config]
}

// init creates the machine. idPrefix is the prefix of the ids of its edits.
func (c *configuration) init(idPrefix string) {
	c.m = config.New(idPrefix)
	c.waiters = map[uint64]chan config.ReplyCmd{}
}

// inForce returns the configuration in force, or nil.
func (c *configuration) inForce() *sched.Config { return c.current.Load() }

// revision returns the revision in force, or 0.
func (c *configuration) revision() sched.Revision {
	if cfg := c.current.Load(); cfg != nil {
		return cfg.Revision
	}
	return 0
}

// postConfig sends a message to the machine and executes the commands that it
// returns. A revision comes into force while the lock is held, so that revisions
// are applied in order.
func (e *Entry) postConfig(msg sched.Msg) {
	e.conf.mu.Lock()
	var effects []func(context.Context)
	for _, c := range e.conf.m.Update(time.Now(), msg) {
		switch c := c.(type) {
		case config.ApplyCmd:
			e.apply(c.Config)
		case config.ReplyCmd:
			if ch, ok := e.conf.waiters[c.Waiter]; ok {
				delete(e.conf.waiters, c.Waiter)
				ch <- c
			}
		case config.WriteCmd:
			effects = append(effects, func(ctx context.Context) { e.writeConfig(ctx, c) })
		case config.ReadCmd:
			effects = append(effects, func(ctx context.Context) { e.readConfig(ctx, c) })
		case config.FetchCmd:
			effects = append(effects, func(ctx context.Context) { e.fetchConfig(ctx, c.Peer) })
		}
	}
	e.conf.mu.Unlock()
	for _, f := range effects {
		e.spawn(f)
	}
}

// apply puts a configuration in force. The caller holds the configuration lock.
func (e *Entry) apply(cfg *sched.Config) {
	e.log.Info("configuration in force", "revision", cfg.Revision)
	e.conf.current.Store(cfg)
	e.createOwner(cfg)
	for _, s := range e.shards.Load().byID {
		s.configure(cfg)
	}
}

func (e *Entry) tickConfig() { e.postConfig(sched.TickMsg{}) }

func (e *Entry) readConfig(ctx context.Context, c config.ReadCmd) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	item, err := e.Store.Get(ctx, c.Key)
	if err != nil && !errors.Is(err, sched.ErrNotFound) {
		e.postConfig(config.ReadFailedMsg{Read: c.Read, Err: err})
		return
	}
	e.postConfig(config.StoredMsg{
		Key: c.Key, Value: item.Value, Version: item.Version, Source: config.SourcePoll, Read: c.Read,
	})
}

func (e *Entry) writeConfig(ctx context.Context, c config.WriteCmd) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	version, err := e.Store.Put(ctx, c.Key, c.Value, c.Prev)
	if err != nil {
		e.postConfig(config.WriteFailedMsg{ID: c.ID, Err: err})
		return
	}
	e.postConfig(config.WriteDoneMsg{ID: c.ID, Version: version})
}

func (e *Entry) fetchConfig(ctx context.Context, name sched.EntryName) {
	p, ok := e.dialEntry(name)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	_, value, err := p.StoredConfig(ctx)
	if err != nil || len(value) == 0 {
		e.stats.Count("Peers", "ConfigFailed")
		return
	}
	e.postConfig(config.StoredMsg{Value: value, Source: config.SourcePeer})
}

// peerRevision tells the configuration machine that a peer has a newer revision
// in force than this entry.
func (e *Entry) peerRevision(name sched.EntryName, r sched.Revision) {
	if r > e.conf.revision() {
		e.postConfig(config.PeerRevisionMsg{Peer: name, Revision: r})
	}
}

// watchConfig watches the stored configuration until the entry ends, so that an
// accepted revision is known at once.
func (e *Entry) watchConfig(ctx context.Context) {
	var after sched.Version
	for ctx.Err() == nil {
		item, err := e.Store.Watch(ctx, config.CurrentKey, after, watchWait)
		switch {
		case err == nil:
			after = item.Version
			e.postConfig(config.StoredMsg{Value: item.Value, Version: item.Version, Source: config.SourceWatch})
		case errors.Is(err, sched.ErrNotFound):
		case !pause(ctx, watchRetry):
			return
		}
	}
}

// StoredConfig implements peer.Backend.
func (e *Entry) StoredConfig() (sched.Revision, []byte) {
	e.conf.mu.Lock()
	defer e.conf.mu.Unlock()
	stored, _ := e.conf.m.Stored()
	if stored.Revision == 0 {
		return 0, nil
	}
	return stored.Revision, stored.Encode()
}

// Edit replaces the text of the configuration if ifMatch is the accepted
// revision. It returns the new revision or an error of package config.
func (e *Entry) Edit(ctx context.Context, text, author string, ifMatch sched.Revision) (sched.Revision, error) {
	id := e.ids.Add(1)
	ch := make(chan config.ReplyCmd, 1)
	e.conf.mu.Lock()
	e.conf.waiters[id] = ch
	e.conf.mu.Unlock()
	e.postConfig(config.EditMsg{Waiter: id, Text: text, IfMatch: ifMatch, Author: author})
	select {
	case r := <-ch:
		return r.Revision, r.Err
	case <-ctx.Done():
		e.conf.mu.Lock()
		delete(e.conf.waiters, id)
		e.conf.mu.Unlock()
		return 0, ctx.Err()
	}
}
