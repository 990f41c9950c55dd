package direct

import (
	"context"
	"errors"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// itemSource says how items of the key-value service were read.
type itemSource string

const (
	fromList  itemSource = "list"
	fromWatch itemSource = "watch"
	fromEntry itemSource = "entry"
	fromWrite itemSource = "write"
)

// watchConfig lists the configuration and then watches it for changes. A watch that
// ends is continued where it was, because a list transfers the whole configuration
// again; only if the service can't continue it, the configuration is listed.
func (w *storeWatcher) watchConfig(ctx context.Context) {
	prefix := w.e.deps.Codec.ConfigPrefix
	for ctx.Err() == nil {
		page, ok := w.list(ctx, prefix)
		if !ok {
			w.pause(ctx)
			continue
		}
		w.e.rollouts.replaceOrders(page)
		for i := range page.Items {
			// The error has been logged.
			_ = w.applyConfig(page.Items[i], page.Era, fromList)
		}
		w.continueConfigWatch(ctx, page.Point())
	}
}

// continueConfigWatch watches the configuration until its era or ctx ends, or the
// service no longer holds the changes.
func (w *storeWatcher) continueConfigWatch(ctx context.Context, point store.Point) {
	prefix := w.e.deps.Codec.ConfigPrefix
	ctx, cancel := w.eras.While(ctx, point.Era)
	defer cancel()
	for ctx.Err() == nil {
		watchCtx, cancelWatch := context.WithCancel(ctx)
		w.withLock(func() {
			if w.configEra == point.Era && point.Revision < w.configItem.ModRevision {
				// The watch doesn't deliver what came before the configuration.
				w.e.rollouts.readAgain()
				point.Revision = max(point.Revision, w.configItem.ModRevision)
			}
			w.cancelConfigWatch = cancelWatch
		})
		err := w.watch(watchCtx, prefix, point, func(c store.Change) {
			w.e.rollouts.applyOrder(c)
			if !c.Deleted {
				// The error has been logged.
				_ = w.applyConfig(c.Item, point.Era, fromWatch)
			}
			point.Revision = max(point.Revision, c.Item.ModRevision)
		})
		superseded := watchCtx.Err() != nil || errors.Is(err, errReturned)
		cancelWatch()
		if fault.Is(err, store.Compacted) || fault.Is(err, store.Restored) {
			return
		}
		if !superseded {
			w.awaitStore(ctx)
		}
	}
}

// currentConfig returns the configuration in force as it was read, with its era.
func (w *storeWatcher) currentConfig() (store.Item, store.Era) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.configItem, w.configEra
}

// applyConfig puts a configuration in force if it is newer than the current one. It
// decodes an item only once, and without holding the lock. It logs and returns the error
// of one that can't be decoded.
func (w *storeWatcher) applyConfig(i store.Item, era store.Era, origin itemSource) error {
	current, currentEra := w.currentConfig()
	if i.Key != w.e.deps.Codec.ConfigKey || (current.ModRevision == i.ModRevision && currentEra == era) {
		return nil
	}
	cfg, err := w.e.deps.Codec.DecodeConfig(i.Value)
	if err != nil {
		w.withLock(func() { w.logUndecodable(i, err) })
		return err
	}
	inForce := false
	w.withLock(func() {
		if inForce = w.e.directory.UpdateConfig(cfg); !inForce {
			return
		}
		w.e.setStreamLifetime(cfg)
		w.configItem, w.configEra, w.configAppliedAt = i, era, w.e.deps.Clock.Now()
		w.e.deps.Log.Emit(event.RevisionInForce, "version", cfg.Version, "revision", i.ModRevision, "routes", len(cfg.Routes),
			"bytes", len(i.Value), "source", origin, "after", w.sinceSeen(cfg.Version))
		if origin == fromEntry && w.cancelConfigWatch != nil {
			// The watch would deliver this configuration again.
			w.cancelConfigWatch()
		}
	})
	if inForce && w.e.configReader != nil {
		w.e.configReader.putInForce(cfg.Version, origin)
	}
	return nil
}

// noteVersion records when another entry first said that it has a version of the
// configuration.
func (w *storeWatcher) noteVersion(v catalog.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v > w.newestVersion {
		w.newestVersion, w.newestSeenAt = v, w.e.deps.Clock.Now()
	}
}

// sinceSeen returns the time since another entry first said that it has a version; 0 if
// none did.
func (w *storeWatcher) sinceSeen(v catalog.Version) time.Duration {
	if v > w.newestVersion || w.newestSeenAt.IsZero() {
		return 0
	}
	return w.e.deps.Clock.Since(w.newestSeenAt)
}
