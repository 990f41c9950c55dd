package entry

import (
	"context"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/confstore"
	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/event"
)

// Timing of the calls to the key-value service.
const (
	// storePause is the time between two tries of a call that failed, and
	// between two looks whether this entry should watch.
	storePause = time.Second
	// storeTimeout bounds the reads of the configuration.
	storeTimeout = 5 * time.Second
)

// configure keeps the configuration up to date from the key-value service:
// once at the start when no other process tells it, and by a watch while this
// entry is one of those that watch for its zone.
func (p *Process) configure(ctx context.Context) {
	if p.deps.Store == nil {
		return
	}
	repository := confstore.New(p.deps.Store, p.deps.Clock)
	for ctx.Err() == nil {
		switch {
		case p.deps.Current.Revision() == 0:
			p.noteStore(p.load(ctx, repository))
		case p.spreader.IsWatcher():
			p.noteStore(p.watch(ctx, repository))
		}
		p.wait(ctx, storePause)
	}
}

// load reads the whole configuration.
func (p *Process) load(ctx context.Context, repository *confstore.Repository) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s, err := repository.Load(ctx)
	if err != nil {
		return err
	}
	p.spreader.ApplySnapshot(s)
	p.afterNews()
	return nil
}

// watch catches up and then follows the changes until the watch breaks or
// another entry watches in this one's place.
func (p *Process) watch(ctx context.Context, repository *confstore.Repository) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	head, err := p.deps.Store.Get(ctx, store.HeadKey)
	if err != nil {
		return err
	}
	if err := p.catchUp(ctx, repository); err != nil {
		return err
	}
	p.noteStore(nil)
	go p.keepWatching(ctx, cancel)
	err = p.deps.Store.Watch(ctx, store.HeadKey, head.ModRevision, func(store.Change) {
		if err := p.catchUp(ctx, repository); err != nil {
			cancel()
		}
	})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// keepWatching ends a watch when this entry is no longer to watch.
func (p *Process) keepWatching(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil && p.spreader.IsWatcher() {
		p.wait(ctx, storePause)
	}
	cancel()
}

// catchUp reads the changes after the revision in force, or the whole when
// they are no longer held.
func (p *Process) catchUp(ctx context.Context, repository *confstore.Repository) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	changes, err := repository.ChangesSince(ctx, p.deps.Current.Revision())
	if err != nil {
		return p.load(ctx, repository)
	}
	p.spreader.ApplyChanges(changes...)
	p.afterNews()
	return nil
}

// noteStore logs that the key-value service went or came back.
func (p *Process) noteStore(err error) {
	p.mu.Lock()
	down := err != nil
	changed := p.storeDown != down
	p.storeDown = down
	if !down {
		p.storeAnswer = p.deps.Clock.Now()
	}
	p.mu.Unlock()
	switch {
	case changed && down:
		p.emit(event.StoreDown, "error", err)
	case changed:
		p.emit(event.StoreRecovered)
	}
}

func (p *Process) wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-p.deps.Clock.After(d):
	}
}
