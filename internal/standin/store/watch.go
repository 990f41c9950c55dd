package store

import (
	"context"
	"sort"
	"strings"

	kv "foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// batch is what a watcher reads at once: whole revisions.
type batch struct {
	changes  []kv.Change
	revision int64
	// compacted is set when the changes asked for are no longer held.
	compacted int64
	cuts      int
	changed   chan struct{}
}

// since returns the changes of keys that matches after a revision.
func (s *Service) since(matches func(key string) bool, revision int64) batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	b := batch{revision: max(revision, s.revision), cuts: s.cuts, changed: s.changed}
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

// watch calls each with every batch after revision, also the empty first one,
// until ctx ends, the watches are cut, or the changes are compacted.
func (s *Service) watch(ctx context.Context, matches func(string) bool, revision int64, each func(batch) error) error {
	const op = "Service.watch"
	s.counts.watching.Add(1)
	defer s.counts.watching.Add(-1)
	first := s.since(matches, revision)
	for b := first; ; b = s.since(matches, b.revision) {
		if b.compacted != 0 {
			return fault.New(op, kv.Compacted, "revision %d was compacted at %d", revision, b.compacted)
		}
		if b.cuts != first.cuts || s.down() {
			return fault.New(op, kv.Unavailable, "the watch was cut")
		}
		if err := each(b); err != nil {
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

// notify wakes the watchers.
func (s *Service) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// CancelWatches ends all watches; the service goes on otherwise.
func (s *Service) CancelWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutLocked()
}

func (s *Service) cutLocked() {
	s.cuts++
	s.notify()
}

// Compact forgets the changes before revision.
func (s *Service) Compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactLocked(min(revision, s.revision))
}

func (s *Service) compactLocked(revision int64) {
	s.compacted = max(s.compacted, revision)
	kept := sort.Search(len(s.history), func(i int) bool { return s.history[i].Item.ModRevision >= revision })
	s.history = append([]kv.Change(nil), s.history[kept:]...)
}
