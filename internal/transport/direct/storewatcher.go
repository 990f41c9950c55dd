package direct

import (
	"context"
	"errors"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
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
	// returns ends watches that began before the service's return from an outage.
	returns *store.ReturnTracker
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
	return &storeWatcher{e: e, eras: store.NewEraTracker(), returns: store.NewReturnTracker(), undecodable: map[string]int64{}, targetItems: map[string]store.Item{}, gone: map[id.TargetIncarnation]goneTarget{}}
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

// errReturned ends a watch that began before the service's return from an outage.
var errReturned = errors.New("the key-value service has returned from an outage")

// watch calls each for every change of the keys with a prefix, until the watch ends.
func (w *storeWatcher) watch(ctx context.Context, prefix string, after store.Point, each func(store.Change)) error {
	watchCtx, cancel := w.returns.While(ctx)
	defer cancel()
	start := w.e.deps.Clock.Now()
	err := w.e.deps.Store.Watch(watchCtx, prefix, after, func(c store.Change) {
		w.withLock(func() { w.storeAnsweredAt = w.e.deps.Clock.Now() })
		each(c)
	})
	w.e.metrics.storeCall("watch", err, w.e.deps.Clock.Since(start))
	if ctx.Err() == nil && watchCtx.Err() != nil {
		err = errReturned
	}
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
		w.e.versions.ForgetSaved()
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
	w.closeIdle()
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
		w.closeIdle()
		w.returns.Returned()
	}
}

// closeIdle closes connections to the service that may be dead.
func (w *storeWatcher) closeIdle() {
	if w.e.deps.Store.CloseIdle != nil {
		w.e.deps.Store.CloseIdle()
	}
}

// awaitStore waits until the service answers again after a watch has failed. It lists no
// items, because a list of the configuration may be large, and because a watch is not
// answered before something changes.
func (w *storeWatcher) awaitStore(ctx context.Context) {
	for ctx.Err() == nil {
		w.pause(ctx)
		if _, ok := w.list(ctx, w.e.deps.Codec.ConfigKey+"/"); ok {
			return
		}
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
