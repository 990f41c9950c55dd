package entry

import (
	"context"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Timing of the entries' addresses in the key-value service.
const (
	// seedLease is how long an address stays after its last renewal.
	seedLease = time.Minute
	// seedRenew is the time between two renewals.
	seedRenew = 20 * time.Second
	// seedsOften and seedsRarely are the times between two reads while few
	// entries are known and otherwise, so that entries that started at once
	// find each other.
	seedsOften  = 5 * time.Second
	seedsRarely = time.Minute
	fewEntries  = 8
)

// keepSeeds reads the addresses of other entries, and keeps this one's while
// it is one of those that watch for its zone.
func (p *Process) keepSeeds(ctx context.Context) {
	if p.deps.Store == nil {
		return
	}
	var read, renewed time.Time
	var lease store.LeaseID
	for ctx.Err() == nil {
		now := p.deps.Clock.Now()
		if now.Sub(read) >= p.readSeedsEvery() {
			read = now
			p.readSeeds(ctx)
		}
		if p.spreader.IsWatcher() && now.Sub(renewed) >= seedRenew {
			renewed = now
			lease = p.writeSeed(ctx, lease)
		}
		p.wait(ctx, storePause)
	}
}

func (p *Process) readSeedsEvery() time.Duration {
	if len(p.view.Entries()) < fewEntries {
		return seedsOften
	}
	return seedsRarely
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
		Puts: []store.Put{{Key: seedKey(p.settings.Name), Value: []byte(p.PeerAddress()), Lease: lease}},
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
