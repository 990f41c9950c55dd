package direct

import (
	"context"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/timing"
)

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
			if w.e.peerExchange != nil {
				w.e.peerExchange.reportChange(c)
			}
		})
		cancel()
	}
}

func (w *storeWatcher) replaceTargets(page store.Page) {
	listed := w.decodeTargets(page.Items, fromList)
	w.delistTargets(w.e.directory.Replace(w.e.deps.Clock.Now(), listed))
	w.recordListed(listed...)
	w.e.targetsListed.Store(true)
}

// decodeTargets decodes a list of targets and keeps the newest item of each target that
// has not left. An item that can't be decoded says nothing: if its target is known, the
// known record stands for it.
func (w *storeWatcher) decodeTargets(items []store.Item, source itemSource) catalog.Targets {
	now := w.e.deps.Clock.Now()
	var listed catalog.Targets
	known := w.targetItems
	w.targetItems = make(map[string]store.Item, len(items))
	for i := range items {
		t, err := w.e.deps.Codec.DecodeTarget(items[i], now)
		if err != nil {
			w.logUndecodable(items[i], err)
			if t = w.knownTarget(items[i].Key); t != nil {
				listed = append(listed, t)
				if item, ok := known[items[i].Key]; ok {
					w.targetItems[item.Key] = item
				}
			}
			continue
		}
		if source == fromEntry {
			// The other entry may have read the item in an earlier era.
			t.Revision = 0
		}
		w.keepNewest(t, items[i], known)
		listed = append(listed, t)
	}
	return listed
}

// keyOf returns the key of a target's item, or the prefix of all of them if it is not known.
func (w *storeWatcher) keyOf(target id.Target) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key := range w.targetItems {
		if name, ok := w.e.deps.Codec.ParseTargetID(key); ok && name == target {
			return key
		}
	}
	return w.e.deps.Codec.TargetPrefix
}

// knownTarget returns the known record of the target whose item has the key, or nil.
func (w *storeWatcher) knownTarget(key string) *catalog.Target {
	name, ok := w.e.deps.Codec.ParseTargetID(key)
	if !ok {
		return nil
	}
	return w.e.directory.View().Find(name)
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
		if t := w.e.directory.View().Find(name); t != nil && t.Revision > 0 && c.Item.ModRevision > 0 && c.Item.ModRevision < t.Revision {
			// Another entry has reported a later record.
			return
		}
		delete(w.targetItems, c.Item.Key)
		if t := w.e.directory.Remove(now, name, c.Item.ModRevision); t != nil {
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
		if t = w.e.directory.AddSuccessor(w.e.deps.Clock.Now(), id.TargetIncarnation{Target: s.Predecessor, Incarnation: s.Incarnation}, s.Target); t == nil {
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
		if t.Incarnation != 0 {
			w.e.startsNamed.Store(true)
		}
		delete(w.gone, t.Key())
		if w.e.withdrawn.Listed(now, t.Key()) {
			w.e.checkLeaving(t)
		}
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
	w.e.balancer.Forget(now, forgotten)
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
