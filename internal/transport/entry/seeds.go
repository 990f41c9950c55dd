package entry

import (
	"context"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/timing"
)

// Timing of the entries' addresses (seeds) in the key-value service.
const (
	// seedTTL is how long an address is kept after its last renewal.
	seedTTL = time.Minute
	// seedRenewInterval is the time between two renewals.
	seedRenewInterval = 20 * time.Second
	// shortSeedReadInterval is the time between two reads while fewer than
	// fewEntries entries are known, and longSeedReadInterval the time otherwise.
	// Frequent reads let entries that start at the same time find each other.
	shortSeedReadInterval = 5 * time.Second
	longSeedReadInterval  = time.Minute
	fewEntries            = 8
)

// maintainSeeds reads the addresses of other entries. It also keeps this entry's
// address in the key-value service while the entry is one of the watchers of its
// zone.
func (p *Process) maintainSeeds(ctx context.Context) {
	if p.deps.Store == nil {
		return
	}
	var read, renewed time.Time
	var lease store.LeaseID
	for ctx.Err() == nil {
		now := p.deps.Clock.Now()
		if now.Sub(read) >= p.seedReadInterval() {
			read = now
			p.readSeeds(ctx)
		}
		if p.spreader.IsWatcher() && now.Sub(renewed) >= seedRenewInterval {
			renewed = now
			lease = p.writeSeed(ctx, lease)
		}
		timing.Sleep(ctx, p.deps.Clock, storePollInterval)
	}
}

func (p *Process) seedReadInterval() time.Duration {
	if len(p.view.Entries()) < fewEntries {
		return shortSeedReadInterval
	}
	return longSeedReadInterval
}

// seedKey returns the key of an entry's address.
func seedKey(e id.Entry) string { return store.SeedPrefix + string(e) }

// writeSeed renews this entry's address in the key-value service, or writes it if
// the lease has expired. Starting processes that know no entry read the address.
// writeSeed returns the lease.
func (p *Process) writeSeed(ctx context.Context, lease store.LeaseID) store.LeaseID {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if lease != 0 {
		if _, err := p.deps.Store.KeepAlive(ctx, lease); err == nil {
			return lease
		}
	}
	lease, err := p.deps.Store.Grant(ctx, seedTTL)
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

// readSeeds reads the addresses of entries from the key-value service.
func (p *Process) readSeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := p.deps.Store.List(ctx, store.SeedPrefix)
	if err != nil {
		p.recordStoreResult(err)
		return
	}
	var seeds []string
	for i := range page.Items {
		seeds = append(seeds, string(page.Items[i].Value))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seedsFromStore = seeds
}

// storedSeeds returns the addresses that readSeeds last read.
func (p *Process) storedSeeds() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seedsFromStore
}
