package store

import (
	"context"
	"sort"
	"strings"

	kv "foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// batch is the set of changes that a watcher gets in one read. It contains all
// matching changes of a revision or none.
type batch struct {
	changes  []kv.Change
	revision int64
	// compacted is the compaction revision if the requested changes are no longer in
	// the history, else 0.
	compacted     int64
	cancellations int
	changed       chan struct{}
}

// changesSince returns the changes after revision of the keys that matches accepts.
func (s *Service) changesSince(matches func(key string) bool, revision int64) batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteExpiredLeases()
	b := batch{revision: max(revision, s.revision), cancellations: s.cancellations, changed: s.changed}
	if revision+1 < s.compacted {
		b.compacted = s.compacted
		return b
	}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Item.ModRevision > revision })
	for _, c := range s.history[first:] {
		if matches(c.Item.Key) {
			b.changes = append(b.changes, c)
		}
	}
	return b
}

// watch calls onBatch with every batch after revision, and also with an empty first
// one, until ctx ends, the watches are cancelled, or the changes are compacted.
func (s *Service) watch(ctx context.Context, matches func(string) bool, revision int64, onBatch func(batch) error) error {
	const op = "Service.watch"
	s.counts.openWatches.Add(1)
	defer s.counts.openWatches.Add(-1)
	if s.Revision() < revision {
		return fault.New(op, kv.Compacted, "revision %d does not exist", revision)
	}
	first := s.changesSince(matches, revision)
	for b := first; ; b = s.changesSince(matches, b.revision) {
		if b.compacted != 0 {
			return fault.New(op, kv.Compacted, "revision %d was compacted at %d", revision, b.compacted)
		}
		if b.cancellations != first.cancellations || s.down() {
			return fault.New(op, kv.Unavailable, "the watch was cancelled")
		}
		if err := onBatch(b); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return fault.Wrap(op, kv.Unavailable, ctx.Err())
		case <-b.changed:
		}
	}
}

func hasPrefix(prefix string) func(string) bool {
	return func(key string) bool { return strings.HasPrefix(key, prefix) }
}

// notifyWatchers wakes the watchers.
func (s *Service) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// CancelWatches ends all watches and has no other effect.
func (s *Service) CancelWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelWatchesLocked()
}

func (s *Service) cancelWatchesLocked() {
	s.cancellations++
	s.notifyWatchers()
}

// Compact deletes the changes before revision from the history.
func (s *Service) Compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactLocked(min(revision, s.revision))
}

func (s *Service) compactLocked(revision int64) {
	s.compacted = max(s.compacted, revision)
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Item.ModRevision >= revision })
	s.history = append([]kv.Change(nil), s.history[first:]...)
}
