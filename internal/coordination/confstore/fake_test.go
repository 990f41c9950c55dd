package confstore_test

import (
	"context"
	"slices"
	"strings"
	"sync"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// answerFault is what happens to the answer of one commit.
type answerFault int

const (
	// answered commits are carried out and answered.
	answered answerFault = iota
	// appliedLost commits are carried out, and the answer is lost.
	appliedLost
	// droppedLost commits never arrive, and nobody knows it.
	droppedLost
	// late commits arrive after lateBy further reads.
	late
	// refused commits surely never arrive.
	refused
)

// fakeStore is a key-value service in memory.
type fakeStore struct {
	mu       sync.Mutex
	items    map[string]store.Item
	revision int64
	// faults are used up by the commits, in order.
	faults []answerFault
	held   []store.Txn
	lateBy int
	// before runs ahead of each call, without the lock.
	before  func(call string)
	commits int
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]store.Item{}}
}

func (f *fakeStore) store() *store.Store {
	return &store.Store{Get: f.get, List: f.list, Commit: f.commit}
}

// enter begins a call and carries out the commits that came late.
func (f *fakeStore) enter(ctx context.Context, call string) error {
	if f.before != nil {
		f.before(call)
	}
	if ctx.Err() != nil {
		return fault.Wrap("fakeStore", store.Unavailable, ctx.Err())
	}
	return nil
}

func (f *fakeStore) get(ctx context.Context, key string) (store.Item, error) {
	if err := f.enter(ctx, "get "+key); err != nil {
		return store.Item{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	item, ok := f.items[key]
	if !ok {
		item.Key = key
	}
	f.deliverLate()
	return item, nil
}

func (f *fakeStore) list(ctx context.Context, prefix string) (store.Page, error) {
	if err := f.enter(ctx, "list "+prefix); err != nil {
		return store.Page{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	page := store.Page{Revision: f.revision}
	for key, item := range f.items {
		if strings.HasPrefix(key, prefix) {
			page.Items = append(page.Items, item)
		}
	}
	slices.SortFunc(page.Items, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	f.deliverLate()
	return page, nil
}

func (f *fakeStore) commit(ctx context.Context, txn store.Txn) (store.Result, error) {
	if err := f.enter(ctx, "commit"); err != nil {
		return store.Result{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	kind := answered
	if len(f.faults) > 0 {
		kind, f.faults = f.faults[0], f.faults[1:]
	}
	switch kind {
	case refused:
		return store.Result{}, fault.New("fakeStore.commit", store.Unavailable, "down")
	case droppedLost:
		return store.Result{}, fault.New("fakeStore.commit", store.Unknown, "no answer")
	case late:
		f.held = append(f.held, txn)
		return store.Result{}, fault.New("fakeStore.commit", store.Unknown, "no answer")
	}
	result := f.carryOut(txn)
	if kind == appliedLost {
		return store.Result{}, fault.New("fakeStore.commit", store.Unknown, "no answer")
	}
	return result, nil
}

func (f *fakeStore) deliverLate() {
	if len(f.held) > 0 && f.lateBy > 0 {
		f.lateBy--
		return
	}
	for _, txn := range f.held {
		f.carryOut(txn)
	}
	f.held = nil
}

func (f *fakeStore) carryOut(txn store.Txn) store.Result {
	for _, c := range txn.Compares {
		if f.items[c.Key].ModRevision != c.ModRevision {
			return store.Result{Revision: f.revision}
		}
	}
	f.revision++
	for _, p := range txn.Puts {
		f.items[p.Key] = store.Item{Key: p.Key, Value: p.Value, ModRevision: f.revision}
	}
	for _, key := range txn.Deletes {
		delete(f.items, key)
	}
	return store.Result{Succeeded: true, Revision: f.revision}
}

// count returns the number of keys with a prefix.
func (f *fakeStore) count(prefix string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for key := range f.items {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}
