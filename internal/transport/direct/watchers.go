package direct

import (
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/protocol/direct"
)

// All entries watch the key-value service, whose calls have a price. Where there are many,
// a few of each zone watch it closely and report the changes of targets to the others of
// their zone, which watch it at longer intervals. Those need nobody: what is not reported
// to them, they read a little later.
const (
	// closeWatchers is the number of entries of a zone that watch closely.
	closeWatchers = 2
	// Between a change and the next watch, an entry pauses watchPausePerEntry for each
	// entry, up to maxWatchPause if it watches closely and up to maxLoosePause otherwise.
	// Both are well below the time within which changes must take effect.
	watchPausePerEntry = 50 * time.Millisecond
	maxWatchPause      = time.Second
	maxLoosePause      = 2500 * time.Millisecond
	// closeWatchTime is how long a watch without changes lasts. It is short because a dead
	// connection is noticed only when this time has passed. Entries that do not watch
	// closely let it grow with their number from looseWatchEntries on, up to
	// maxLooseWatchTime.
	closeWatchTime    = 3 * time.Second
	maxLooseWatchTime = 9 * time.Second
	looseWatchEntries = 16
	// maxChangesKept limits the changes that wait to be reported, and maxChangesPerMessage
	// those in one message.
	maxChangesKept       = 400
	maxChangesPerMessage = 40
)

// watchesClosely reports whether this entry is among those of its zone that do.
func (e *Entry) watchesClosely() bool {
	return e.roster.Rank(e.deps.Clock.Now(), e.cfg.Place.Zone) < closeWatchers
}

// WatchPause returns how long to wait between a change of the keys with a prefix and the
// next watch. The configuration changes rarely, so that all watch it closely.
func (e *Entry) WatchPause(prefix string) time.Duration {
	most := maxLoosePause
	if prefix == e.deps.Codec.ConfigPrefix || e.watchesClosely() {
		most = maxWatchPause
	}
	return min(watchPausePerEntry*time.Duration(e.roster.LimitSharers(e.deps.Clock.Now())), most)
}

// WatchTime returns how long a watch without changes lasts.
func (e *Entry) WatchTime() time.Duration {
	entries := e.roster.LimitSharers(e.deps.Clock.Now())
	if entries <= looseWatchEntries || e.watchesClosely() {
		return closeWatchTime
	}
	return min(closeWatchTime*time.Duration(entries)/looseWatchEntries, maxLooseWatchTime)
}

// reportChange has a change of a target reported to the other entries of the zone, if this
// entry watches more closely than they do.
func (x *peerExchange) reportChange(c store.Change) {
	if x.roster.LimitSharers(x.e.deps.Clock.Now()) <= looseWatchEntries || !x.e.watchesClosely() {
		return
	}
	x.mu.Lock()
	x.targetChanges = append(x.targetChanges, direct.TargetChange{Key: c.Item.Key, Value: c.Item.Value, Revision: c.Item.ModRevision, Deleted: c.Deleted})
	// The oldest ones are read by the others themselves.
	x.targetChanges = x.targetChanges[max(0, len(x.targetChanges)-maxChangesKept):]
	x.mu.Unlock()
	x.sendNow()
}

// sendTargetChanges reports the changes of targets that wait for it.
func (x *peerExchange) sendTargetChanges() {
	x.mu.Lock()
	changes := x.targetChanges
	x.targetChanges = nil
	x.mu.Unlock()
	if len(changes) == 0 {
		return
	}
	addresses := x.roster.AliveIn(x.e.deps.Clock.Now(), x.e.cfg.Place.Zone)
	for part := range slices.Chunk(changes, maxChangesPerMessage) {
		x.sendPartial(addresses, func(u *direct.PeerUpdate) { u.TargetChanges, u.Era = part, x.storeWatcher.eras.Era() })
	}
}

// applyReportedChanges applies the changes of targets that another entry has reported. Those
// of another era of the key-value service say nothing here.
func (w *storeWatcher) applyReportedChanges(u *direct.PeerUpdate) {
	if len(u.TargetChanges) == 0 || u.Era != w.eras.Era() || !w.e.targetsListed.Load() {
		return
	}
	w.withLock(func() {
		for i := range u.TargetChanges {
			c := &u.TargetChanges[i]
			w.applyTargetChange(store.Change{Item: store.Item{Key: c.Key, Value: c.Value, ModRevision: c.Revision}, Deleted: c.Deleted})
		}
	})
}
