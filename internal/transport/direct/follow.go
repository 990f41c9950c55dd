package direct

import (
	"context"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// Pauses of the follower.
const (
	// followPause is the time between two tries to reach the key-value service;
	// up to as much again is added at random.
	followPause = 150 * time.Millisecond
	// settleEvery is the time between two looks for targets that stay missing.
	settleEvery = 250 * time.Millisecond
)

// follower keeps the directory in step with the key-value service.
type follower struct {
	e *Entry
	// mu makes it one writer of the directory.
	mu sync.Mutex
	// badItems holds the revision of items that could not be decoded, so that
	// each is logged once.
	badItems map[string]int64
	// adoptedAt is when the configuration in force was taken over.
	adoptedAt time.Time
	// heardAt is when the key-value service last answered.
	heardAt time.Time
	// configItem and targetItems are what was read, for other entries.
	configItem  store.Item
	targetItems map[string]store.Item
}

func newFollower(e *Entry) *follower {
	return &follower{e: e, badItems: map[string]int64{}, targetItems: map[string]store.Item{}}
}

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { f.follow(ctx, f.e.deps.Codec.ConfigPrefix, f.replaceConfig, f.changeConfig) })
	duties.Go(func() { f.follow(ctx, f.e.deps.Codec.TargetPrefix, f.replaceTargets, f.changeTarget) })
	duties.Go(func() { f.settle(ctx) })
	duties.Wait()
}

// follow reads the keys with a prefix and then their changes, again and again.
func (f *follower) follow(ctx context.Context, prefix string, replace func(store.Page), change func(store.Change)) {
	for ctx.Err() == nil {
		begun := f.e.deps.Clock.Now()
		page, err := f.e.deps.Store.List(ctx, prefix)
		f.e.meters.called("list", err, f.e.deps.Clock.Since(begun))
		if err != nil {
			f.lost(prefix, err)
			f.pause(ctx)
			continue
		}
		f.locked(func() {
			f.regained()
			replace(page)
		})
		begun = f.e.deps.Clock.Now()
		err = f.e.deps.Store.Watch(ctx, prefix, page.Revision, func(c store.Change) {
			f.locked(func() {
				f.heardAt = f.e.deps.Clock.Now()
				change(c)
			})
		})
		f.e.meters.called("watch", err, f.e.deps.Clock.Since(begun))
		if ctx.Err() == nil && !fault.Is(err, store.Compacted) {
			f.e.deps.Log.Emit(event.WatchEnded, "prefix", prefix, "error", err)
		}
	}
}

// locked carries out a change of what is believed.
func (f *follower) locked(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	if f.e.directory.View().Config != nil && f.e.listed.Load() {
		f.e.configure.Do(func() { close(f.e.configured) })
	}
}

func (f *follower) lost(prefix string, err error) {
	f.locked(func() {
		if f.e.directory.MarkStoreUnavailable() {
			f.e.deps.Log.Emit(event.StoreDown, "prefix", prefix, "error", err)
		}
	})
}

// ages returns how long ago the key-value service last told of anything, or was
// read, and how long the configuration has been in force; 0 for never.
func (f *follower) ages() (store, config time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.e.deps.Clock.Now()
	if !f.heardAt.IsZero() {
		store = now.Sub(f.heardAt)
	}
	if !f.adoptedAt.IsZero() {
		config = now.Sub(f.adoptedAt)
	}
	return store, config
}

func (f *follower) regained() {
	f.heardAt = f.e.deps.Clock.Now()
	if f.e.directory.MarkStoreAvailable(f.e.deps.Clock.Now()) {
		f.e.deps.Log.Emit(event.StoreRecovered)
	}
}

func (f *follower) pause(ctx context.Context) {
	wait := followPause + time.Duration(f.e.deps.Random()*float64(followPause))
	select {
	case <-ctx.Done():
	case <-f.e.deps.Clock.After(wait):
	}
}

func (f *follower) replaceConfig(page store.Page) {
	for i := range page.Items {
		f.adopt(page.Items[i])
	}
}

func (f *follower) changeConfig(c store.Change) {
	if !c.Deleted {
		f.adopt(c.Item)
	}
}

func (f *follower) adopt(i store.Item) {
	if i.Key != f.e.deps.Codec.ConfigKey {
		return
	}
	cfg, err := f.e.deps.Codec.DecodeConfig(i.Value)
	if err != nil {
		f.refused(i, err)
		return
	}
	if f.e.directory.UpdateConfig(cfg) {
		f.configItem, f.adoptedAt = i, f.e.deps.Clock.Now()
		f.e.deps.Log.Emit(event.RevisionInForce, "version", cfg.Version, "revision", i.ModRevision, "routes", len(cfg.Routes))
	}
}

// refused logs an item that can't be decoded, once for each revision.
func (f *follower) refused(i store.Item, err error) {
	if f.badItems[i.Key] == i.ModRevision {
		return
	}
	f.badItems[i.Key] = i.ModRevision
	f.e.deps.Log.Emit(event.RevisionRefused, "key", i.Key, "revision", i.ModRevision, "error", err)
}

func (f *follower) replaceTargets(page store.Page) {
	listed := f.decodeTargets(page.Items)
	f.gone(f.e.directory.Replace(f.e.deps.Clock.Now(), listed))
	f.e.listed.Store(true)
}

// decodeTargets returns the targets of a list, without what can't be decoded.
func (f *follower) decodeTargets(items []store.Item) catalog.Targets {
	now := f.e.deps.Clock.Now()
	var listed catalog.Targets
	clear(f.targetItems)
	for i := range items {
		t, err := f.e.deps.Codec.DecodeTarget(items[i], now)
		if err != nil {
			f.refused(items[i], err)
			continue
		}
		f.targetItems[items[i].Key] = items[i]
		listed = append(listed, t)
	}
	return listed
}

func (f *follower) changeTarget(c store.Change) {
	now := f.e.deps.Clock.Now()
	name, ok := f.e.deps.Codec.ParseTargetID(c.Item.Key)
	if !ok {
		return
	}
	if c.Deleted {
		delete(f.targetItems, c.Item.Key)
		if t := f.e.directory.Remove(now, name); t != nil {
			f.gone(catalog.Targets{t})
		}
		return
	}
	t, err := f.e.deps.Codec.DecodeTarget(c.Item, now)
	if err != nil {
		f.refused(c.Item, err)
		return
	}
	f.targetItems[c.Item.Key] = c.Item
	if f.e.directory.Put(t) {
		f.e.deps.Log.Emit(event.MemberChanged, "target", t.ID, "state", t.State, "zone", t.Zone, "incarnation", t.Incarnation, "revision", c.Item.ModRevision)
	}
}

// found notes that a target has taken another one's place, and reports whether
// that is news.
func (f *follower) found(s direct.Successor) bool {
	var t *catalog.Target
	f.locked(func() {
		if t = f.e.directory.AddSuccessor(f.e.deps.Clock.Now(), s.Predecessor, s.Target); t == nil {
			return
		}
		f.gone(catalog.Targets{{ID: s.Predecessor, Service: t.Service, Address: t.Address, Zone: t.Zone}})
		f.e.deps.Log.Emit(event.MemberChanged, "target", t.ID, "state", "found", "zone", t.Zone, "of", s.Predecessor)
	})
	return t != nil
}

// gone forgets what was known of targets that have left.
func (f *follower) gone(ts catalog.Targets) {
	for _, t := range ts {
		f.e.pool.CloseIdle(t.Address)
		f.e.deps.Log.Emit(event.MemberChanged, "target", t.ID, "state", "gone", "zone", t.Zone)
	}
	f.e.balancer.Forget(ts)
}

// settle removes targets that did not return after the service did.
func (f *follower) settle(ctx context.Context) {
	ticker := f.e.deps.Clock.NewTicker(settleEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			f.locked(func() { f.gone(f.e.directory.RemoveMissing(f.e.deps.Clock.Now())) })
		}
	}
}
