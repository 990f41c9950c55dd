package entry

import (
	"context"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/confstore"
	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Timing of the calls to the key-value service.
const (
	// storePause is the time between two tries of a call that failed, and
	// between two looks whether this entry should watch.
	storePause = time.Second
	// storeTimeout bounds the reads of the configuration.
	storeTimeout = 5 * time.Second
	// seedLease is how long an entry's address stays in the key-value service
	// after its last renewal.
	seedLease = time.Minute
	// seedRenew is the time between two renewals.
	seedRenew = 20 * time.Second
)

// configure keeps the configuration up to date from the key-value service:
// once at the start when no other process tells it, and by a watch while this
// entry is one of those that watch for its zone.
func (p *Process) configure(ctx context.Context) {
	if p.deps.Store == nil {
		return
	}
	repository := confstore.New(p.deps.Store, p.deps.Clock)
	p.readSeeds(ctx)
	for ctx.Err() == nil {
		switch {
		case p.deps.Current.Revision() == 0:
			p.noteStore(p.load(ctx, repository))
		case p.spreader.Watches():
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
	p.spreader.LearnSnapshot(s)
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

// keepWatching ends a watch when this entry is no longer to watch, and renews
// this entry's address meanwhile.
func (p *Process) keepWatching(ctx context.Context, cancel context.CancelFunc) {
	var renewed time.Time
	var lease store.LeaseID
	for ctx.Err() == nil {
		if !p.spreader.Watches() {
			cancel()
			return
		}
		if now := p.deps.Clock.Now(); now.Sub(renewed) >= seedRenew {
			renewed = now
			lease = p.writeSeed(ctx, lease)
		}
		p.wait(ctx, storePause)
	}
}

// catchUp reads the changes after the revision in force, or the whole when
// they are no longer held.
func (p *Process) catchUp(ctx context.Context, repository *confstore.Repository) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	changes, err := repository.Since(ctx, p.deps.Current.Revision())
	if err != nil {
		return p.load(ctx, repository)
	}
	p.spreader.Learn(changes...)
	p.afterNews()
	return nil
}

// seedKey returns the key of an entry's address.
func seedKey(e id.Entry) string { return store.SeedPrefix + string(e) }

// writeSeed keeps this entry's address in the key-value service, for processes
// that start and know nobody. It returns the lease.
func (p *Process) writeSeed(ctx context.Context, lease store.LeaseID) store.LeaseID {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if lease != 0 {
		if _, err := p.deps.Store.KeepAlive(ctx, lease); err == nil {
			return lease
		}
	}
	lease, err := p.deps.Store.Grant(ctx, seedLease)
	if err != nil {
		return 0
	}
	_, err = p.deps.Store.Commit(ctx, store.Txn{
		Puts: []store.Put{{Key: seedKey(p.settings.Name), Value: []byte(p.Address()), Lease: lease}},
	})
	if err != nil {
		return 0
	}
	return lease
}

// readSeeds reads the addresses that other entries keep.
func (p *Process) readSeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := p.deps.Store.List(ctx, store.SeedPrefix)
	if err != nil {
		p.noteStore(err)
		return
	}
	var seeds []string
	for i := range page.Items {
		seeds = append(seeds, string(page.Items[i].Value))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stored = seeds
}

// storedSeeds returns what readSeeds has read.
func (p *Process) storedSeeds() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stored
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
		p.emit(event.StoreBack)
	}
}

func (p *Process) wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-p.deps.Clock.After(d):
	}
}
