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
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/timing"
)

const (
	// reconnectDelay is the time between two attempts to reach the key-value
	// service. Up to the same time again is added as random jitter.
	reconnectDelay = 150 * time.Millisecond
	// removeMissingInterval is how often targets are removed that did not reappear
	// after an outage of the key-value service.
	removeMissingInterval = 250 * time.Millisecond
	// goneRetention is how long what was learned of a target is kept after it was last
	// listed.
	goneRetention = time.Minute
)

// storeWatcher updates the directory from the key-value service.
type storeWatcher struct {
	e *Entry
	// eras is the era of the key-value service's answers.
	eras *store.EraTracker
	// mu serializes updates of the directory.
	mu sync.Mutex
	// undecodable maps the key of an item that could not be decoded to its
	// revision, so that each revision is logged once.
	undecodable map[string]int64
	// configAppliedAt is when the current configuration was applied.
	configAppliedAt time.Time
	// newestVersion is the highest version of the configuration that another entry
	// has in force, and newestSeenAt when the first entry said so.
	newestVersion catalog.Version
	newestSeenAt  time.Time
	// storeAnsweredAt is when the key-value service last answered.
	storeAnsweredAt time.Time
	// configItem and targetItems are the items as last read. Other entries can
	// request them. configEra is the era of configItem.
	configItem  store.Item
	configEra   store.Era
	targetItems map[string]store.Item
	// gone holds the targets that are no longer listed, with the time since which. What was
	// learned of them is kept for goneRetention, because a record may lapse and be back.
	gone map[id.TargetIncarnation]goneTarget
	// cancelConfigWatch ends the watch of the configuration, so that it continues after
	// configItem; nil before the first watch.
	cancelConfigWatch context.CancelFunc
}

func newStoreWatcher(e *Entry) *storeWatcher {
	return &storeWatcher{e: e, eras: store.NewEraTracker(), undecodable: map[string]int64{}, targetItems: map[string]store.Item{}, gone: map[id.TargetIncarnation]goneTarget{}}
}

// goneTarget is a target that is no longer listed.
type goneTarget struct {
	target *catalog.Target
	since  time.Time
}

// run watches the key-value service until ctx ends.
func (w *storeWatcher) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { w.watchConfig(ctx) })
	wg.Go(func() { w.watchTargets(ctx) })
	wg.Go(func() { w.removeMissing(ctx) })
	wg.Wait()
}

// watchTargets lists the targets and then watches them for changes. It starts over
// whenever the watch or the era of its list ends.
func (w *storeWatcher) watchTargets(ctx context.Context) {
	for ctx.Err() == nil {
		page, ok := w.list(ctx, w.e.deps.Codec.TargetPrefix)
		if !ok {
			w.pause(ctx)
			continue
		}
		w.withLock(func() { w.replaceTargets(page) })
		eraCtx, cancel := w.eras.While(ctx, page.Era)
		_ = w.watch(eraCtx, w.e.deps.Codec.TargetPrefix, page.Point(), func(c store.Change) {
			w.withLock(func() { w.applyTargetChange(c) })
		})
		cancel()
	}
}

// list reads the keys with a prefix. It returns false if they can't be read or their
// era has ended.
func (w *storeWatcher) list(ctx context.Context, prefix string) (store.Page, bool) {
	start := w.e.deps.Clock.Now()
	page, err := w.e.deps.Store.List(ctx, prefix)
	w.e.metrics.storeCall("list", err, w.e.deps.Clock.Since(start))
	if err != nil {
		w.recordStoreFailure(prefix, err)
		return page, false
	}
	if !w.observeEra(page.Era) {
		return page, false
	}
	w.withLock(w.recordStoreAnswer)
	return page, true
}

// watch calls each for every change of the keys with a prefix, until the watch ends.
func (w *storeWatcher) watch(ctx context.Context, prefix string, after store.Point, each func(store.Change)) error {
	start := w.e.deps.Clock.Now()
	err := w.e.deps.Store.Watch(ctx, prefix, after, func(c store.Change) {
		w.withLock(func() { w.storeAnsweredAt = w.e.deps.Clock.Now() })
		each(c)
	})
	w.e.metrics.storeCall("watch", err, w.e.deps.Clock.Since(start))
	if ctx.Err() == nil && !fault.Is(err, store.Compacted) {
		w.e.deps.Log.Emit(event.WatchEnded, "prefix", prefix, "error", err)
	}
	return err
}

// observeEra records the era of an answer. It returns false if the era has ended,
// so that the answer must not be used.
func (w *storeWatcher) observeEra(era store.Era) bool {
	switch w.eras.Observe(era) {
	case store.Ended:
		return false
	case store.Begun:
		w.withLock(func() {
			w.e.directory.MarkStoreRestored(w.e.deps.Clock.Now())
			clear(w.undecodable)
		})
		w.e.deps.Log.Emit(event.StoreRestored, "era", era)
	case store.Current:
	}
	return true
}

// withLock runs a change of the directory under the lock. It closes configured
// once the configuration and the targets are known.
func (w *storeWatcher) withLock(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
	if w.e.directory.View().Config != nil && w.e.targetsListed.Load() {
		w.e.closeConfigured.Do(func() { close(w.e.configured) })
	}
}

func (w *storeWatcher) recordStoreFailure(prefix string, err error) {
	w.withLock(func() {
		if w.e.directory.MarkStoreUnavailable() {
			w.e.deps.Log.Emit(event.StoreDown, "prefix", prefix, "error", err)
		}
	})
}

// ages returns the time since the key-value service last answered, and since the
// current configuration was applied; 0 if that has never happened.
func (w *storeWatcher) ages() (store, config time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.e.deps.Clock.Now()
	if !w.storeAnsweredAt.IsZero() {
		store = now.Sub(w.storeAnsweredAt)
	}
	if !w.configAppliedAt.IsZero() {
		config = now.Sub(w.configAppliedAt)
	}
	return store, config
}

func (w *storeWatcher) recordStoreAnswer() {
	w.storeAnsweredAt = w.e.deps.Clock.Now()
	if w.e.directory.MarkStoreAvailable(w.e.deps.Clock.Now()) {
		w.e.deps.Log.Emit(event.StoreRecovered)
	}
}

func (w *storeWatcher) pause(ctx context.Context) {
	wait := reconnectDelay + time.Duration(w.e.deps.Random()*float64(reconnectDelay))
	timing.Sleep(ctx, w.e.deps.Clock, wait)
}

// logUndecodable logs an item that can't be decoded, once per revision.
func (w *storeWatcher) logUndecodable(i store.Item, err error) {
	if w.undecodable[i.Key] == i.ModRevision {
		return
	}
	w.undecodable[i.Key] = i.ModRevision
	w.e.deps.Log.Emit(event.RevisionRefused, "key", i.Key, "revision", i.ModRevision, "error", err)
}

func (w *storeWatcher) replaceTargets(page store.Page) {
	listed := w.decodeTargets(page.Items)
	w.delistTargets(w.e.directory.Replace(w.e.deps.Clock.Now(), listed))
	w.recordListed(listed...)
	w.e.targetsListed.Store(true)
}

// decodeTargets decodes a list of targets and skips items that can't be decoded. It
// keeps the newest item of each target that has not left.
func (w *storeWatcher) decodeTargets(items []store.Item) catalog.Targets {
	now := w.e.deps.Clock.Now()
	var listed catalog.Targets
	known := w.targetItems
	w.targetItems = make(map[string]store.Item, len(items))
	for i := range items {
		t, err := w.e.deps.Codec.DecodeTarget(items[i], now)
		if err != nil {
			w.logUndecodable(items[i], err)
			continue
		}
		w.keepNewest(t, items[i], known)
		listed = append(listed, t)
	}
	return listed
}

// keepNewest keeps the item of a target that is listed as t, or the known one if that is
// newer.
func (w *storeWatcher) keepNewest(t *catalog.Target, item store.Item, known map[string]store.Item) {
	switch w.e.directory.Newest(t) {
	case nil:
	case t:
		w.targetItems[item.Key] = item
	default:
		if newest, ok := known[item.Key]; ok {
			w.targetItems[item.Key] = newest
		}
	}
}

func (w *storeWatcher) applyTargetChange(c store.Change) {
	now := w.e.deps.Clock.Now()
	name, ok := w.e.deps.Codec.ParseTargetID(c.Item.Key)
	if !ok {
		return
	}
	if c.Deleted {
		delete(w.targetItems, c.Item.Key)
		if t := w.e.directory.Remove(now, name); t != nil {
			w.delistTargets(catalog.Targets{t})
		}
		return
	}
	t, err := w.e.deps.Codec.DecodeTarget(c.Item, now)
	if err != nil {
		w.logUndecodable(c.Item, err)
		return
	}
	w.keepNewest(t, c.Item, w.targetItems)
	w.recordListed(t)
	if w.e.directory.Put(t) {
		w.e.observeVersionsLocked()
		w.e.deps.Log.Emit(event.MemberChanged, "target", t.ID, "state", t.State, "zone", t.Zone, "software", t.SoftwareText(), "incarnation", t.Incarnation, "sequence", t.Sequence, "revision", c.Item.ModRevision)
	}
}

// addSuccessor records that a target has replaced another one. It returns false
// if this does not change the directory, for example because it was known.
func (w *storeWatcher) addSuccessor(s direct.Successor) bool {
	var t *catalog.Target
	w.withLock(func() {
		if t = w.e.directory.AddSuccessor(w.e.deps.Clock.Now(), s.Predecessor, s.Target); t == nil {
			return
		}
		w.delistTargets(catalog.Targets{{ID: s.Predecessor, Service: t.Service, Address: t.Address, Zone: t.Zone}})
		w.e.deps.Log.Emit(event.MemberChanged, "target", t.ID, "state", "found", "zone", t.Zone, "of", s.Predecessor)
	})
	return t != nil
}

// recordListed records that targets are listed. What was learned of one whose start was not
// known holds for the start that its record names now.
func (w *storeWatcher) recordListed(listed ...*catalog.Target) {
	now := w.e.deps.Clock.Now()
	for _, t := range listed {
		delete(w.gone, t.Key())
		w.e.withdrawn.Listed(now, t.Key())
		w.e.limits.listed(t.Key())
	}
}

// delistTargets drops the connections of targets that are no longer listed.
func (w *storeWatcher) delistTargets(ts catalog.Targets) {
	now := w.e.deps.Clock.Now()
	for _, t := range ts {
		w.e.pool.CloseIdle(t.Address)
		w.gone[t.Key()] = goneTarget{target: t, since: now}
		w.e.deps.Log.Emit(event.MemberChanged, "target", t.ID, "state", "gone", "zone", t.Zone)
	}
}

// forgetGone drops what was learned of targets that have been gone for long.
func (w *storeWatcher) forgetGone() {
	now := w.e.deps.Clock.Now()
	var forgotten catalog.Targets
	for key, g := range w.gone {
		if now.Sub(g.since) <= goneRetention {
			continue
		}
		delete(w.gone, key)
		if w.e.directory.View().Targets[g.target.Service].Find(key.Target) == nil {
			forgotten = append(forgotten, g.target)
		}
	}
	w.e.balancer.Forget(forgotten)
	w.e.limits.forget(forgotten)
}

// removeMissing periodically removes the targets that did not reappear after an
// outage of the key-value service, and forgets those that have been gone for long.
func (w *storeWatcher) removeMissing(ctx context.Context) {
	timing.Every(ctx, w.e.deps.Clock, removeMissingInterval, func() {
		w.withLock(func() {
			w.delistTargets(w.e.directory.RemoveMissing(w.e.deps.Clock.Now()))
			w.forgetGone()
		})
	})
}
