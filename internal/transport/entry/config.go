package entry

import (
	"context"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/confstore"
	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/timing"
)

// Timing of the calls to the key-value service.
const (
	// storePollInterval is the time between two attempts of a failed call, and
	// between two checks whether this entry should watch the service.
	storePollInterval = time.Second
	// storeTimeout limits one call, such as a read of the configuration.
	storeTimeout = 5 * time.Second
)

// syncConfig keeps the configuration up to date from the key-value service. It
// loads the configuration as long as none is in force, because no other process
// has sent one yet. After that, it watches for changes while this entry is one
// of the watchers of its zone.
func (p *Process) syncConfig(ctx context.Context) {
	if p.deps.Store == nil {
		return
	}
	repository := confstore.New(p.deps.Store, p.deps.Clock)
	for ctx.Err() == nil {
		switch {
		case p.deps.Current.Revision() == 0:
			p.recordStoreResult(p.loadConfig(ctx, repository))
		case p.spreader.IsWatcher():
			p.recordStoreResult(p.watchConfig(ctx, repository))
		}
		timing.Sleep(ctx, p.deps.Clock, storePollInterval)
	}
}

// loadConfig reads the whole configuration.
func (p *Process) loadConfig(ctx context.Context, repository *confstore.Repository) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s, err := repository.Load(ctx)
	if err != nil {
		return err
	}
	p.spreader.ApplySnapshot(s)
	p.applyConfig()
	return nil
}

// watchConfig applies the changes made so far and then follows new ones until
// the watch fails or this entry is no longer a watcher of its zone.
func (p *Process) watchConfig(ctx context.Context, repository *confstore.Repository) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	head, err := p.deps.Store.Get(ctx, store.HeadKey)
	if err != nil {
		return err
	}
	if err := p.catchUp(ctx, repository); err != nil {
		return err
	}
	p.recordStoreResult(nil)
	go p.stopWatchWhenReplaced(ctx, cancel)
	err = p.deps.Store.Watch(ctx, store.HeadKey, store.Point{Revision: head.ModRevision}, func(store.Change) {
		if err := p.catchUp(ctx, repository); err != nil {
			cancel()
		}
	})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// stopWatchWhenReplaced cancels the watch once this entry is no longer a watcher
// of its zone.
func (p *Process) stopWatchWhenReplaced(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil && p.spreader.IsWatcher() {
		timing.Sleep(ctx, p.deps.Clock, storePollInterval)
	}
	cancel()
}

// catchUp applies the changes after the revision in force. If they cannot be
// read, for example because the service no longer keeps them, it loads the whole
// configuration instead.
func (p *Process) catchUp(ctx context.Context, repository *confstore.Repository) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	changes, err := repository.ChangesSince(ctx, p.deps.Current.Revision())
	if err != nil {
		return p.loadConfig(ctx, repository)
	}
	p.spreader.ApplyChanges(changes...)
	p.applyConfig()
	return nil
}

// recordStoreResult records whether the key-value service answered, and logs
// when it becomes unavailable or available again.
func (p *Process) recordStoreResult(err error) {
	p.mu.Lock()
	down := err != nil
	changed := p.storeDown != down
	p.storeDown = down
	if !down {
		p.lastStoreResponse = p.deps.Clock.Now()
	}
	p.mu.Unlock()
	switch {
	case changed && down:
		p.emit(event.StoreDown, "error", err)
	case changed:
		p.emit(event.StoreRecovered)
	}
}
