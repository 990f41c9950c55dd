package etcd

import (
	"slices"
	"sort"
	"strings"
	"sync"

	"foxtailward.example/foxtailward/internal/coordination/store"
)

const (
	// recentKept is the number of changes that a hub keeps for late joiners.
	recentKept = 1024
	// subscriberBatches is how far a subscriber may fall behind.
	subscriberBatches = 256
)

// hubs are the open connections of watches.
type hubs struct {
	mu   sync.Mutex
	open []*hub
}

// hub is one connection that watches a prefix for several subscribers. The
// lock of hubs guards it.
type hub struct {
	prefix string
	// floor is the revision after which the hub knows all changes.
	floor       int64
	recent      []store.Change
	subscribers []*subscriber
	cancel      func()
}

// subscriber is one watch.
type subscriber struct {
	prefix string
	// batches holds the changes of whole revisions.
	batches chan []store.Change
	// ended is closed once err is set.
	ended chan struct{}
	err   error
}

func newSubscriber(prefix string) *subscriber {
	return &subscriber{
		prefix:  prefix,
		batches: make(chan []store.Change, subscriberBatches),
		ended:   make(chan struct{}),
	}
}

func (s *subscriber) end(err error) {
	s.err = err
	close(s.ended)
}

// matching returns the changes of s's keys after revision.
func (s *subscriber) matching(changes []store.Change, revision int64) []store.Change {
	var out []store.Change
	for _, c := range changes {
		if c.Item.ModRevision > revision && strings.HasPrefix(c.Item.Key, s.prefix) {
			out = append(out, c)
		}
	}
	return out
}

// covers reports whether the hub knows all changes of prefix after revision.
func (h *hub) covers(prefix string, revision int64) bool {
	return revision >= h.floor && strings.HasPrefix(prefix, h.prefix)
}

// join adds s to a hub that covers its keys, or to a new one made by start,
// which is called with the lock held.
func (h *hubs) join(s *subscriber, revision int64, start func(*hub)) *hub {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, open := range h.open {
		if !open.covers(s.prefix, revision) {
			continue
		}
		if backlog := s.matching(open.recent, revision); len(backlog) > 0 {
			s.batches <- backlog
		}
		open.subscribers = append(open.subscribers, s)
		return open
	}
	fresh := &hub{prefix: s.prefix, floor: revision, subscribers: []*subscriber{s}}
	h.open = append(h.open, fresh)
	start(fresh)
	return fresh
}

// leave takes s from its hub; the last one closes the connection.
func (h *hubs) leave(from *hub, s *subscriber) {
	h.mu.Lock()
	defer h.mu.Unlock()
	from.subscribers = slices.DeleteFunc(from.subscribers, func(other *subscriber) bool { return other == s })
	if len(from.subscribers) == 0 {
		h.remove(from)
		from.cancel()
	}
}

func (h *hubs) remove(gone *hub) {
	h.open = slices.DeleteFunc(h.open, func(other *hub) bool { return other == gone })
}

// close ends a hub and all its subscribers with err.
func (h *hubs) close(gone *hub, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.remove(gone)
	for _, s := range gone.subscribers {
		s.end(err)
	}
	gone.subscribers = nil
}

// publish hands the changes of whole revisions to the subscribers. One that is
// too far behind is ended with behind; it watches anew from where it is.
func (h *hubs) publish(from *hub, changes []store.Change, behind error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	from.remember(changes)
	from.subscribers = slices.DeleteFunc(from.subscribers, func(s *subscriber) bool {
		matching := s.matching(changes, 0)
		if len(matching) == 0 {
			return false
		}
		select {
		case s.batches <- matching:
			return false
		default:
			s.end(behind)
			return true
		}
	})
}

// remember keeps the newest changes and raises the floor over the others.
func (h *hub) remember(changes []store.Change) {
	h.recent = append(h.recent, changes...)
	if len(h.recent) <= recentKept {
		return
	}
	h.floor = h.recent[len(h.recent)-recentKept-1].Item.ModRevision
	kept := sort.Search(len(h.recent), func(i int) bool { return h.recent[i].Item.ModRevision > h.floor })
	h.recent = slices.Clone(h.recent[kept:])
}
