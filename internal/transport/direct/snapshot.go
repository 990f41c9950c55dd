package direct

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/progress"
)

const (
	// snapshotPath serves the entry's list of targets.
	snapshotPath = "/belief"
	// minSnapshotInterval is the least time between the reads of two lists. After a
	// read that took long, it is snapshotPauseFactor times as long as the read.
	minSnapshotInterval = 300 * time.Millisecond
	snapshotPauseFactor = 4
	// peerTimeout limits the time until another entry begins to answer.
	peerTimeout = 500 * time.Millisecond
)

// get reads from another entry. It fails if the answer makes no progress.
func (x *peerExchange) get(ctx context.Context, address, path string) (status int, body []byte, err error) {
	const op = "peerExchange.get"
	ctx, guard := progress.NewGuard(ctx, peerTimeout)
	defer guard.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, nil, fault.Wrap(op, PeerFailed, err)
	}
	res, err := x.client.Do(req)
	if err != nil {
		return 0, nil, fault.Wrap(op, PeerFailed, err)
	}
	defer res.Body.Close()
	body, err = guard.ReadAll(res.Body, direct.MaxStoreCopyBytes, nil)
	return res.StatusCode, body, fault.Wrap(op, PeerFailed, err)
}

// serve answers other entries.
func (x *peerExchange) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case configPath:
		x.configs.serve(w)
	case snapshotPath:
		x.serveSnapshot(w)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// writeCopy writes the answer to an entry that reads a copy.
func (x *peerExchange) writeCopy(w http.ResponseWriter, data []byte) {
	w.Header().Set("Content-Type", "application/octet-stream")
	if err := progress.Write(w, data); err != nil {
		x.e.deps.Log.Emit(event.PeerUpdateRejected, "error", err)
	}
}

// serveSnapshot sends this entry's list of targets to another entry.
func (x *peerExchange) serveSnapshot(w http.ResponseWriter) {
	data, err := x.storeWatcher.snapshot().Encode()
	if err != nil {
		x.e.deps.Log.Emit(event.TaskFailed, "duty", "snapshot", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	x.writeCopy(w, data)
}

// startSnapshotRead reads another entry's list of targets in the background. It does
// nothing if such a read is in progress or ended a short time ago.
func (x *peerExchange) startSnapshotRead(ctx context.Context, address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.e.deps.Clock.Now()
	if x.snapshotReading || now.Before(x.nextSnapshotAt) {
		return
	}
	x.snapshotReading = true
	go func() {
		x.readSnapshot(ctx, address)
		x.mu.Lock()
		defer x.mu.Unlock()
		end := x.e.deps.Clock.Now()
		x.snapshotReading = false
		x.nextSnapshotAt = end.Add(max(minSnapshotInterval, snapshotPauseFactor*end.Sub(now)))
	}()
}

func (x *peerExchange) readSnapshot(ctx context.Context, address string) {
	status, data, err := x.get(ctx, address, snapshotPath)
	var copied *direct.StoreCopy
	if err == nil && status == http.StatusOK {
		copied, err = direct.DecodeStoreCopy(data)
	}
	if err != nil || copied == nil {
		x.e.deps.Log.Emit(event.PeerUpdateRejected, "peer", address, "status", status, "error", err)
		return
	}
	x.storeWatcher.applySnapshot(copied)
}

// snapshot returns the current targets, for entries that can't reach the key-value
// service.
func (w *storeWatcher) snapshot() *direct.StoreCopy {
	s := &direct.StoreCopy{Era: w.eras.Era()}
	w.withLock(func() {
		for _, i := range w.targetItems {
			s.Items = append(s.Items, i)
		}
	})
	slices.SortFunc(s.Items, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return s
}

// applySnapshot applies the list of targets of another entry. It is used only while
// this entry has no list of its own or can't reach the key-value service.
func (w *storeWatcher) applySnapshot(s *direct.StoreCopy) {
	w.withLock(func() {
		if len(s.Items) == 0 || (w.e.targetsListed.Load() && !w.e.directory.StoreUnavailable()) {
			return
		}
		first := !w.e.targetsListed.Swap(true)
		listed := w.decodeTargets(s.Items, fromEntry)
		gone := w.e.directory.ReplaceFromPeer(listed)
		w.delistTargets(gone)
		w.recordListed(listed...)
		if first || len(gone) > 0 {
			w.e.deps.Log.Emit(event.StoreSnapshotAdopted, "targets", len(s.Items), "gone", len(gone))
		}
	})
}

// storeUnavailable reports whether the key-value service is not answering.
func (w *storeWatcher) storeUnavailable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.e.directory.StoreUnavailable()
}
