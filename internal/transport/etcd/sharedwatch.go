package etcd

import (
	"slices"
	"sort"
	"strings"
	"sync"

	"foxtailward.example/foxtailward/internal/coordination/store"
)

const (
	// maxRecentChanges is the number of changes that a shared watch keeps for
	// subscribers that join later.
	maxRecentChanges = 1024
	// subscriberQueueLength is the number of batches that a subscriber may fall
	// behind by.
	subscriberQueueLength = 256
)

// sharedWatches holds the open watch connections.
type sharedWatches struct {
	mu   sync.Mutex
	open []*sharedWatch
}

// sharedWatch is one connection that watches a prefix on behalf of several
// subscribers. The mutex of sharedWatches guards its fields.
type sharedWatch struct {
	prefix string
	// historyStart is the revision after which all changes of the prefix are
	// known: those up to now are in recentChanges.
	historyStart  int64
	recentChanges []store.Change
	subscribers   []*subscriber
	cancel        func()
}

// subscriber is one call of Watch.
type subscriber struct {
	prefix string
	// batches queues changes; a batch holds whole revisions.
	batches chan []store.Change
	// ended is closed once err is set.
	ended chan struct{}
	err   error
}

func newSubscriber(prefix string) *subscriber {
	return &subscriber{
		prefix:  prefix,
		batches: make(chan []store.Change, subscriberQueueLength),
		ended:   make(chan struct{}),
	}
}

func (s *subscriber) end(err error) {
	s.err = err
	close(s.ended)
}

// matching returns the changes of the subscriber's keys after revision.
func (s *subscriber) matching(changes []store.Change, revision int64) []store.Change {
	var out []store.Change
	for _, c := range changes {
		if c.Item.ModRevision > revision && strings.HasPrefix(c.Item.Key, s.prefix) {
			out = append(out, c)
		}
	}
	return out
}

// covers reports whether the watch knows all changes of prefix after revision.
func (w *sharedWatch) covers(prefix string, revision int64) bool {
	return revision >= w.historyStart && strings.HasPrefix(prefix, w.prefix)
}

// join adds s to a watch that covers its keys after revision. If there is none, it
// creates one and calls start with the mutex held.
func (ws *sharedWatches) join(s *subscriber, revision int64, start func(*sharedWatch)) *sharedWatch {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for _, w := range ws.open {
		if !w.covers(s.prefix, revision) {
			continue
		}
		if backlog := s.matching(w.recentChanges, revision); len(backlog) > 0 {
			s.batches <- backlog
		}
		w.subscribers = append(w.subscribers, s)
		return w
	}
	created := &sharedWatch{prefix: s.prefix, historyStart: revision, subscribers: []*subscriber{s}}
	ws.open = append(ws.open, created)
	start(created)
	return created
}

// leave removes s from its watch. The connection is closed when the last
// subscriber leaves.
func (ws *sharedWatches) leave(w *sharedWatch, s *subscriber) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w.subscribers = slices.DeleteFunc(w.subscribers, func(other *subscriber) bool { return other == s })
	if len(w.subscribers) == 0 {
		ws.remove(w)
		w.cancel()
	}
}

func (ws *sharedWatches) remove(w *sharedWatch) {
	ws.open = slices.DeleteFunc(ws.open, func(other *sharedWatch) bool { return other == w })
}

// close removes a watch and ends all its subscribers with err.
func (ws *sharedWatches) close(w *sharedWatch, err error) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.remove(w)
	for _, s := range w.subscribers {
		s.end(err)
	}
	w.subscribers = nil
}

// publish queues the changes of whole revisions for the subscribers. A subscriber
// whose queue is full is ended with errBehind; its caller watches again from the
// last revision that it received.
func (ws *sharedWatches) publish(w *sharedWatch, changes []store.Change, errBehind error) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w.recordRecent(changes)
	w.subscribers = slices.DeleteFunc(w.subscribers, func(s *subscriber) bool {
		matching := s.matching(changes, 0)
		if len(matching) == 0 {
			return false
		}
		select {
		case s.batches <- matching:
			return false
		default:
			s.end(errBehind)
			return true
		}
	})
}

// recordRecent appends changes to the history. If it grows too long, the oldest
// changes are dropped, whole revisions at a time, and historyStart is raised.
func (w *sharedWatch) recordRecent(changes []store.Change) {
	w.recentChanges = append(w.recentChanges, changes...)
	if len(w.recentChanges) <= maxRecentChanges {
		return
	}
	w.historyStart = w.recentChanges[len(w.recentChanges)-maxRecentChanges-1].Item.ModRevision
	start := sort.Search(len(w.recentChanges), func(i int) bool { return w.recentChanges[i].Item.ModRevision > w.historyStart })
	w.recentChanges = slices.Clone(w.recentChanges[start:])
}
