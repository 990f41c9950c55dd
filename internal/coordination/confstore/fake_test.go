package confstore_test

import (
	"context"
	"sync"

	"foxtailward.example/foxtailward/internal/coordination/store"
	standin "foxtailward.example/foxtailward/internal/standin/store"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// commitFault is the fault injected into one commit.
type commitFault int

const (
	// answered commits are executed and answered.
	answered commitFault = iota
	// appliedLost commits are executed, but the answer is lost.
	appliedLost
	// droppedLost commits never arrive, and the caller gets no answer.
	droppedLost
	// late commits are executed after lateBy further reads; the caller gets no
	// answer.
	late
	// refused commits certainly do not arrive, and the caller is told so.
	refused
)

// fakeStore is the stand-in service with faults injected in a fixed order.
type fakeStore struct {
	inner store.Store
	// before is called before each call.
	before func(call string)

	mu sync.Mutex
	// faults are consumed by the commits, in order.
	faults  []commitFault
	held    []store.Txn
	lateBy  int
	commits int
}

func newFakeStore() *fakeStore {
	return &fakeStore{inner: standin.New(standin.Options{}).Direct()}
}

func (f *fakeStore) store() *store.Store {
	return &store.Store{Get: f.get, List: f.list, Commit: f.commit}
}

func (f *fakeStore) enter(call string) {
	if f.before != nil {
		f.before(call)
	}
}

func (f *fakeStore) get(ctx context.Context, key string) (store.Item, error) {
	f.enter("get " + key)
	item, err := f.inner.Get(ctx, key)
	f.deliverLate()
	return item, err
}

func (f *fakeStore) list(ctx context.Context, prefix string) (store.Page, error) {
	f.enter("list " + prefix)
	page, err := f.inner.List(ctx, prefix)
	f.deliverLate()
	return page, err
}

func (f *fakeStore) commit(ctx context.Context, txn store.Txn) (store.Result, error) {
	f.enter("commit")
	switch f.nextFault(txn) {
	case refused:
		return store.Result{}, fault.New("fakeStore.commit", store.Unavailable, "down")
	case droppedLost, late:
		return store.Result{}, fault.New("fakeStore.commit", store.Unknown, "no answer")
	case appliedLost:
		if _, err := f.inner.Commit(ctx, txn); err != nil {
			return store.Result{}, err
		}
		return store.Result{}, fault.New("fakeStore.commit", store.Unknown, "no answer")
	}
	return f.inner.Commit(ctx, txn)
}

func (f *fakeStore) nextFault(txn store.Txn) commitFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	if len(f.faults) == 0 {
		return answered
	}
	next := f.faults[0]
	f.faults = f.faults[1:]
	if next == late {
		f.held = append(f.held, txn)
	}
	return next
}

// deliverLate executes the late commits that are due.
func (f *fakeStore) deliverLate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.held) > 0 && f.lateBy > 0 {
		f.lateBy--
		return
	}
	for _, txn := range f.held {
		// The caller no longer waits for the answer.
		_, _ = f.inner.Commit(context.Background(), txn)
	}
	f.held = nil
}

// count returns the number of keys with the prefix.
func (f *fakeStore) count(prefix string) int {
	page, _ := f.inner.List(context.Background(), prefix)
	return len(page.Items)
}
