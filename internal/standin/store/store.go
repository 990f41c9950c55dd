// Package store is a small stand-in for the platform's key-value service. It
// stores keys in memory and supports revisions, compare-and-swap, watches and
// leases. Faults can be injected: latency, outages, hangs, dropped requests and
// responses, held writes, cancelled watches, expired leases, compaction and the
// return from an older copy of the state.
//
// # Usage
//
// In a test, directly:
//
//	service := store.New(store.Options{})
//	defer service.Close()
//	s := service.Direct()
//	service.DropResponses(1)
//
// Over HTTP, as the etcd v3 JSON gateway:
//
//	server, err := store.Listen("127.0.0.1:0", store.Options{})
//	defer server.Close()
//	server.SetOutage(true)
package store

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	kv "foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// Kind is the kind of this package's own errors. Calls through kv.Store return
// kv.Error, as the callers of a kv.Store expect.
type Kind string

// Invalid means that a fault command is invalid.
const Invalid Kind = "invalid"

// Error is this package's error.
type Error = fault.Error[Kind]

// retainedChanges limits the history from which watches are served. The service
// compacts the history to about this many changes when it exceeds twice as many.
const retainedChanges = 1 << 16

// Options configures a service.
type Options struct {
	// Clock is the clock; nil means the real one.
	Clock clockwork.Clock
	// Latency is the latency of every call.
	Latency time.Duration
}

// Service is a stand-in key-value service. All methods are safe for concurrent
// use.
type Service struct {
	clock  clockwork.Clock
	faults faults
	counts counts

	mu       sync.Mutex
	closed   bool
	revision int64
	// era rises each time the service returns from a copy.
	era kv.Era
	// compacted is the oldest revision that a watch can start from.
	compacted int64
	items     map[string]storedItem
	// history holds the changes in the order of their revisions.
	history []kv.Change
	leases  map[kv.LeaseID]*lease
	// nextLease is the ID of the next lease.
	nextLease kv.LeaseID
	// nextExpiry is the time at which the next lease expires; zero without leases.
	nextExpiry time.Time
	timer      clockwork.Timer
	// changed is closed when the history grows or watches are cancelled.
	changed chan struct{}
	// cancellations counts how often all watches were cancelled.
	cancellations int
}

type storedItem struct {
	item    kv.Item
	created int64
	version int64
}

// New returns an empty service. Call Close to end it.
func New(opts Options) *Service {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	s := &Service{
		clock: opts.Clock,
		// In etcd the first write has revision 2.
		revision:  1,
		items:     map[string]storedItem{},
		leases:    map[kv.LeaseID]*lease{},
		nextLease: 1,
		changed:   make(chan struct{}),
	}
	s.faults.latency = opts.Latency
	return s
}

// Close ends all watches and stops the leases' timer.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.stopTimer()
	s.cancelWatchesLocked()
}

// Revision returns the newest revision.
func (s *Service) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func (s *Service) get(key string) kv.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteExpiredLeases()
	return s.item(key)
}

// item returns the item of key, or an item without value if the key does not exist.
func (s *Service) item(key string) kv.Item {
	e, ok := s.items[key]
	if !ok {
		return kv.Item{Key: key}
	}
	item := e.item
	item.Value = slices.Clone(item.Value)
	return item
}

func (s *Service) list(prefix string) kv.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteExpiredLeases()
	page := kv.Page{Revision: s.revision, Era: s.era}
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			page.Items = append(page.Items, s.item(key))
		}
	}
	slices.SortFunc(page.Items, func(a, b kv.Item) int { return strings.Compare(a.Key, b.Key) })
	return page
}

func (s *Service) commit(txn kv.Txn) (kv.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteExpiredLeases()
	if err := s.validateTxn(&txn); err != nil {
		return kv.Result{}, err
	}
	for _, c := range txn.Compares {
		if s.items[c.Key].item.ModRevision != c.ModRevision {
			return kv.Result{Revision: s.revision, Era: s.era, Current: s.comparedItems(&txn)}, nil
		}
	}
	if s.modifies(&txn) {
		s.revision++
	}
	for _, p := range txn.Puts {
		s.put(p)
	}
	for _, key := range txn.Deletes {
		s.remove(key)
	}
	s.notifyWatchers()
	return kv.Result{Succeeded: true, Revision: s.revision, Era: s.era}, nil
}

// validateTxn returns an error for a transaction that etcd would refuse.
func (s *Service) validateTxn(txn *kv.Txn) error {
	const op = "Service.commit"
	seen := map[string]bool{}
	for _, p := range txn.Puts {
		if p.Key == "" || seen[p.Key] {
			return fault.New(op, kv.Invalid, "key %q is empty or written twice", p.Key)
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return fault.New(op, kv.Invalid, "requested lease %d not found", p.Lease)
		}
		seen[p.Key] = true
	}
	for _, key := range txn.Deletes {
		if key == "" || seen[key] {
			return fault.New(op, kv.Invalid, "key %q is empty or written twice", key)
		}
		seen[key] = true
	}
	return nil
}

// modifies reports whether txn changes any key. A deletion of a missing key does
// not create a revision.
func (s *Service) modifies(txn *kv.Txn) bool {
	return len(txn.Puts) > 0 || slices.ContainsFunc(txn.Deletes, func(key string) bool {
		_, ok := s.items[key]
		return ok
	})
}

// comparedItems returns the current items of the keys that txn compares.
func (s *Service) comparedItems(txn *kv.Txn) []kv.Item {
	out := make([]kv.Item, len(txn.Compares))
	for i, c := range txn.Compares {
		out[i] = s.item(c.Key)
	}
	return out
}

func (s *Service) put(p kv.Put) {
	e, ok := s.items[p.Key]
	if !ok {
		e.created = s.revision
	}
	s.detachFromLease(e.item)
	e.version++
	e.item = kv.Item{Key: p.Key, Value: slices.Clone(p.Value), ModRevision: s.revision, Lease: p.Lease}
	s.items[p.Key] = e
	if p.Lease != 0 {
		s.leases[p.Lease].keys[p.Key] = true
	}
	s.appendChange(kv.Change{Item: s.item(p.Key)})
}

func (s *Service) remove(key string) {
	e, ok := s.items[key]
	if !ok {
		return
	}
	s.detachFromLease(e.item)
	delete(s.items, key)
	s.appendChange(kv.Change{Item: kv.Item{Key: key, ModRevision: s.revision}, Deleted: true})
}

// detachFromLease removes the key of item from its lease.
func (s *Service) detachFromLease(item kv.Item) {
	if l := s.leases[item.Lease]; l != nil {
		delete(l.keys, item.Key)
	}
}

func (s *Service) appendChange(c kv.Change) {
	s.history = append(s.history, c)
	if len(s.history) > 2*retainedChanges {
		s.compactLocked(s.history[len(s.history)-retainedChanges].Item.ModRevision)
	}
}
