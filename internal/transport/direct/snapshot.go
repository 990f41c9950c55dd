package direct

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
)

// isBehind reports whether an entry with configuration version v has data that
// this entry lacks.
func (x *peerExchange) isBehind(v catalog.Version) bool {
	cfg := x.e.directory.View().Config
	if cfg == nil {
		return v > 0
	}
	return v > cfg.Version || !x.e.targetsListed.Load()
}

func (x *peerExchange) beginSnapshotRead(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.snapshotReadAt.IsZero() && now.Sub(x.snapshotReadAt) < minSnapshotInterval {
		return false
	}
	x.snapshotReadAt = now
	return true
}

// readSnapshot reads another entry's snapshot of the key-value service and
// applies it.
func (x *peerExchange) readSnapshot(ctx context.Context, address string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+snapshotPath, nil)
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
	var s direct.StoreSnapshot
	body := &countingReader{r: http.MaxBytesReader(nil, res.Body, maxSnapshotBytes)}
	if err := json.NewDecoder(body).Decode(&s); err != nil {
		x.e.deps.Log.Emit(event.PeerUpdateRejected, "peer", address, "bytes", body.n, "error", err)
		return
	}
	x.storeWatcher.applySnapshot(&s)
}

// countingReader counts the bytes that were read.
type countingReader struct {
	r io.Reader
	n int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}

// serveSnapshot sends this entry's snapshot of the key-value service to another
// entry.
func (x *peerExchange) serveSnapshot(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != snapshotPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the reader has disconnected.
	_ = json.NewEncoder(w).Encode(x.storeWatcher.snapshot())
}

// snapshot returns the current items, for entries that can't reach the key-value
// service.
func (w *storeWatcher) snapshot() direct.StoreSnapshot {
	var s direct.StoreSnapshot
	w.withLock(func() {
		s.Config = w.configItem
		for _, i := range w.targetItems {
			s.Targets = append(s.Targets, i)
		}
	})
	slices.SortFunc(s.Targets, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return s
}

// applySnapshot applies the snapshot of another entry. Its list of targets is
// used only while this entry has no list of its own or can't reach the key-value
// service.
func (w *storeWatcher) applySnapshot(s *direct.StoreSnapshot) {
	w.withLock(func() {
		w.applyConfig(s.Config, "entry")
		if len(s.Targets) == 0 || (w.e.targetsListed.Load() && !w.e.directory.StoreUnavailable()) {
			return
		}
		first := !w.e.targetsListed.Swap(true)
		gone := w.e.directory.ReplaceFromPeer(w.decodeTargets(s.Targets))
		w.forgetTargets(gone)
		if first || len(gone) > 0 {
			w.e.deps.Log.Emit(event.StoreSnapshotAdopted, "targets", len(s.Targets), "gone", len(gone))
		}
	})
}

// storeUnavailable reports whether the key-value service is not answering.
func (w *storeWatcher) storeUnavailable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.e.directory.StoreUnavailable()
}
