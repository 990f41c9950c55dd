package direct

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
)

// lacks reports whether an entry with the version knows more than this one.
func (x *exchange) lacks(v catalog.Version) bool {
	cfg := x.e.directory.View().Config
	if cfg == nil {
		return v > 0
	}
	return v > cfg.Version || !x.e.listed.Load()
}

func (x *exchange) mayAsk(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.askedAt.IsZero() && now.Sub(x.askedAt) < beliefPause {
		return false
	}
	x.askedAt = now
	return true
}

// readBelief reads what another entry knows of the key-value service.
func (x *exchange) readBelief(ctx context.Context, address string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+beliefPath, nil)
	if err != nil {
		x.e.deps.Log.Emit(event.PeerUpdateRejected, "peer", address, "error", err)
		return
	}
	res, err := x.client.Do(req)
	if err != nil {
		x.e.deps.Log.Emit(event.PeerUpdateRejected, "peer", address, "error", err)
		return
	}
	defer res.Body.Close()
	var b direct.StoreSnapshot
	if err := json.NewDecoder(http.MaxBytesReader(nil, res.Body, maxBeliefBytes)).Decode(&b); err != nil {
		x.e.deps.Log.Emit(event.PeerUpdateRejected, "peer", address, "error", err)
		return
	}
	x.follower.takeBelief(&b)
}

// serveBelief tells another entry what this one knows of the key-value service.
func (x *exchange) serveBelief(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != beliefPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The reader may be gone, which is its own matter.
	_ = json.NewEncoder(w).Encode(x.follower.belief())
}

// belief returns the items that are believed, for an entry that can't read them.
func (f *follower) belief() direct.StoreSnapshot {
	var b direct.StoreSnapshot
	f.locked(func() {
		b.Config = f.configItem
		for _, i := range f.targetItems {
			b.Targets = append(b.Targets, i)
		}
	})
	slices.SortFunc(b.Targets, func(a, c store.Item) int { return strings.Compare(a.Key, c.Key) })
	return b
}

// takeBelief notes what another entry knows. Its list of targets serves while
// this entry does not reach the key-value service.
func (f *follower) takeBelief(b *direct.StoreSnapshot) {
	f.locked(func() {
		f.adopt(b.Config)
		if len(b.Targets) == 0 || (f.e.listed.Load() && !f.e.directory.StoreUnavailable()) {
			return
		}
		first := !f.e.listed.Swap(true)
		gone := f.e.directory.ReplaceFromPeer(f.decodeTargets(b.Targets))
		f.gone(gone)
		if first || len(gone) > 0 {
			f.e.deps.Log.Emit(event.StoreSnapshotAdopted, "targets", len(b.Targets), "gone", len(gone))
		}
	})
}

// away reports whether the key-value service does not answer.
func (f *follower) away() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.e.directory.StoreUnavailable()
}
