package claim_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/claim"
	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// fakeStore is an in-memory key-value service. The functions before and after get the
// number of the commit; if one returns an error, Commit fails with it, before or after
// the write.
type fakeStore struct {
	mu       sync.Mutex
	items    map[string]store.Item
	revision int64
	commits  int
	maxPuts  int
	before   func(n int) error
	after    func(n int) error
}

func newFakeStore() *fakeStore { return &fakeStore{items: map[string]store.Item{}} }

func (s *fakeStore) get(_ context.Context, key string) (store.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key], nil
}

func (s *fakeStore) commit(_ context.Context, txn store.Txn) (store.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	s.maxPuts = max(s.maxPuts, len(txn.Puts))
	n := s.commits
	if s.before != nil && s.before(n) != nil {
		return store.Result{}, s.before(n)
	}
	var current []store.Item
	succeeded := true
	for _, c := range txn.Compares {
		item := s.items[c.Key]
		item.Key = c.Key
		current = append(current, item)
		succeeded = succeeded && item.ModRevision == c.ModRevision
	}
	if !succeeded {
		return store.Result{Current: current, Revision: s.revision}, nil
	}
	s.revision++
	for _, p := range txn.Puts {
		s.items[p.Key] = store.Item{Key: p.Key, Value: p.Value, ModRevision: s.revision, Lease: p.Lease}
	}
	if s.after != nil && s.after(n) != nil {
		return store.Result{}, s.after(n)
	}
	return store.Result{Succeeded: true, Revision: s.revision}, nil
}

func failAt(at int, kind store.Kind) func(int) error {
	return func(n int) error {
		if n != at {
			return nil
		}
		return fault.New("fake", kind, "commit %d", n)
	}
}

// service counts its runs; its target process answers fences correctly.
type service struct {
	runs   int
	fenced bool
	// replyErr is returned with the reply to a call that has run; nil for success.
	replyErr error
	// refuse makes the target process refuse calls.
	refuse bool
}

var reply = &claim.Reply{Status: 200, Body: []byte("shipped")}

func (s *service) call(context.Context, claim.Claim) (claim.Outcome, *claim.Reply, error) {
	if s.refuse || s.fenced {
		return claim.NotRun, nil, nil
	}
	s.runs++
	return claim.Done, reply, s.replyErr
}

func (s *service) fence(context.Context, claim.Claim) (claim.Outcome, *claim.Reply, error) {
	if s.runs > 0 {
		return claim.Done, reply, nil
	}
	s.fenced = true
	return claim.NotRun, nil, nil
}

func newClaimer(s *fakeStore, svc *service) *claim.Claimer {
	return &claim.Claimer{
		Get: s.get, Commit: s.commit, Fence: svc.fence, Clock: clockwork.NewFakeClock(),
		Lease: func() store.LeaseID { return 7 },
	}
}

func newInvocation(svc *service, generatedID bool) claim.Invocation {
	return claim.Invocation{Request: "ans-1", GeneratedID: generatedID, Owner: "e1", Target: "t1", Incarnation: 1, Call: svc.call}
}

func TestClaimerDo(t *testing.T) {
	tests := []struct {
		name        string
		setUp       func(s *fakeStore, svc *service)
		generatedID bool
		want        claim.Outcome
		runs        int
		// retryWant is the outcome of the caller's retry through another entry,
		// once all faults are gone; empty for no retry.
		retryWant claim.Outcome
	}{
		{"no fault", func(*fakeStore, *service) {}, false, claim.Done, 1, claim.Done},
		{"the response to the claim is lost", func(s *fakeStore, _ *service) { s.after = failAt(1, store.Unknown) }, false, claim.Done, 1, claim.Done},
		{"the claim is not written", func(s *fakeStore, _ *service) { s.before = failAt(1, store.Unknown) }, false, claim.Done, 1, claim.Done},
		{"the store is down, generated id", func(s *fakeStore, _ *service) { s.before = failAt(1, store.Unavailable) }, true, claim.NotRun, 0, ""},
		{"the store is down, key", func(s *fakeStore, _ *service) { s.before = failAt(1, store.Unavailable) }, false, claim.Unknown, 0, claim.Done},
		{"the store is throttled, generated id", func(s *fakeStore, _ *service) { s.before = failAt(1, store.Throttled) }, true, claim.NotRun, 0, ""},
		{"the target refuses", func(_ *fakeStore, svc *service) { svc.refuse = true }, false, claim.NotRun, 0, claim.NotRun},
		{"the reply is lost", func(_ *fakeStore, svc *service) { svc.replyErr = errors.New("connection closed") }, false, claim.Done, 1, claim.Done},
		{"the outcome is not written", func(s *fakeStore, _ *service) { s.before = failAt(2, store.Unavailable) }, false, claim.Done, 1, claim.Done},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, svc := newFakeStore(), &service{}
			tt.setUp(s, svc)
			got := newClaimer(s, svc).Do(t.Context(), newInvocation(svc, tt.generatedID))
			is.Equal(got.Outcome, tt.want)
			is.Equal(svc.runs, tt.runs)
			is.Equal(got.Reply != nil, tt.want == claim.Done)
			if tt.retryWant == "" {
				return
			}
			s.before, s.after, svc.refuse, svc.replyErr = nil, nil, false, nil
			second := newClaimer(s, svc).Do(t.Context(), newInvocation(svc, false))
			is.Equal(second.Outcome, tt.retryWant)
			is.Equal(second.Reply != nil, tt.retryWant == claim.Done)
			is.True(svc.runs <= 1)
		})
	}
}

// TestClaimerPausedOwner pauses an owner before it sends its call. The caller's retry
// fences the call meanwhile, so that the owner's late call does not run.
func TestClaimerPausedOwner(t *testing.T) {
	is := is.New(t)
	s, svc := newFakeStore(), &service{}
	var retry claim.Result
	inv := newInvocation(svc, false)
	inv.Call = func(ctx context.Context, c claim.Claim) (claim.Outcome, *claim.Reply, error) {
		retry = newClaimer(s, svc).Do(ctx, newInvocation(svc, false))
		return svc.call(ctx, c)
	}
	first := newClaimer(s, svc).Do(t.Context(), inv)
	is.Equal(retry.Outcome, claim.NotRun)
	is.Equal(first.Outcome, claim.NotRun)
	is.Equal(svc.runs, 0)
}

// TestClaimerRefuse checks that a caller that retries and exceeds a limit gets the outcome
// of its earlier call, and that a call that was refused first does not run later.
func TestClaimerRefuse(t *testing.T) {
	is := is.New(t)
	s, svc := newFakeStore(), &service{}
	c := newClaimer(s, svc)
	is.Equal(c.Refuse(t.Context(), newInvocation(svc, true)).Outcome, claim.NotRun)
	is.Equal(s.commits, 0) // a request with a generated id needs no record
	is.Equal(c.Do(t.Context(), newInvocation(svc, false)).Outcome, claim.Done)
	is.Equal(c.Refuse(t.Context(), newInvocation(svc, false)).Outcome, claim.Done)

	other := newInvocation(svc, false)
	other.Request = "ans-2"
	is.Equal(c.Refuse(t.Context(), other).Outcome, claim.NotRun)
	is.Equal(c.Do(t.Context(), other).Outcome, claim.NotRun)
	is.Equal(svc.runs, 1)

	other.Request = "ans-3"
	s.before = func(int) error { return fault.New("fake", store.Unavailable, "down") }
	is.Equal(c.Refuse(t.Context(), other).Outcome, claim.Unknown)
}

// TestClaimerCancelled checks that a call is not run if its caller has gone before the
// call is sent.
func TestClaimerCancelled(t *testing.T) {
	is := is.New(t)
	s, svc := newFakeStore(), &service{}
	ctx, cancel := context.WithCancel(t.Context())
	c := newClaimer(s, svc)
	c.Commit = func(ctx context.Context, txn store.Txn) (store.Result, error) {
		defer cancel()
		return s.commit(ctx, txn)
	}
	is.Equal(c.Do(ctx, newInvocation(svc, false)).Outcome, claim.NotRun)
	is.Equal(svc.runs, 0)
	record, err := claim.Decode(s.items[store.ClaimPrefix+"ans-1"].Value)
	is.NoErr(err)
	is.Equal(record.State, claim.StateNotRun)
}

// TestBatcher checks that 200 concurrent claims need far fewer writes, that the second
// claim of a key fails without affecting others, and that no transaction exceeds the
// bound.
func TestBatcher(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	_, err := s.commit(t.Context(), put("k7"))
	is.NoErr(err)
	s.commits = 0
	unblock := make(chan struct{})
	b := claim.NewBatcher(func(ctx context.Context, txn store.Txn) (store.Result, error) {
		<-unblock // the first write waits until all transactions are queued
		return s.commit(ctx, txn)
	})
	results := make([]store.Result, 200)
	errs := make([]error, len(results))
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { results[i], errs[i] = b.Commit(t.Context(), put(fmt.Sprint("k", i))) })
	}
	for b.QueueLen() < len(results)-1 {
		// Wait for the others to enter the queue.
		continue
	}
	close(unblock)
	wg.Wait()
	for i, r := range results {
		is.NoErr(errs[i])
		is.Equal(r.Succeeded, i != 7)
	}
	is.Equal(len(s.items), len(results))
	is.True(s.maxPuts <= 48)
	// One single write, five merged ones, and those merged with k7 one by one.
	is.True(s.commits <= 1+5+48)
}

func put(key string) store.Txn {
	return store.Txn{Compares: []store.Compare{{Key: key}}, Puts: []store.Put{{Key: key, Value: []byte("x")}}}
}

// TestBatcherFailure checks that each transaction of a merged write gets the error if the
// response is lost.
func TestBatcherFailure(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	s.after = func(int) error { return fault.New("fake", store.Unknown, "lost") }
	b := claim.NewBatcher(s.commit)
	var wg sync.WaitGroup
	errs := make([]error, 20)
	for i := range errs {
		wg.Go(func() { _, errs[i] = b.Commit(t.Context(), put(fmt.Sprint("k", i))) })
	}
	wg.Wait()
	for _, err := range errs {
		is.True(fault.Is(err, store.Unknown))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := b.Commit(ctx, put("other"))
	is.True(err != nil)
}

func TestDecode(t *testing.T) {
	is := is.New(t)
	r := claim.Record{Claim: claim.Claim{Request: "ans-1", Nonce: 1<<64 - 1, State: claim.StateDone}, Reply: reply}
	got, err := claim.Decode(r.Encode())
	is.NoErr(err)
	is.Equal(got, r)
	r.Reply = &claim.Reply{Body: make([]byte, claim.MaxReplyBytes+1)}
	got, err = claim.Decode(r.Encode())
	is.NoErr(err)
	is.True(got.Reply == nil) // too large to be stored
	for _, invalid := range []string{"", "{}", `{"state":"other"}`} {
		_, err := claim.Decode([]byte(invalid))
		is.True(err != nil)
	}
}

// TestBatcherCancelled checks that Commit returns when its context ends, even if a write
// hangs, so that a caller can be answered meanwhile.
func TestBatcherCancelled(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	b := claim.NewBatcher(func(context.Context, store.Txn) (store.Result, error) {
		<-release
		return store.Result{Succeeded: true}, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 3 {
		_, err := b.Commit(ctx, put("k"))
		is.True(errors.Is(err, context.Canceled))
	}
	is.Equal(b.QueueLen(), 0)
}

// TestLeases checks that the claims of one hour share a lease that lasts a day longer, and
// that a lease that the key-value service no longer knows is replaced.
func TestLeases(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	var granted []time.Duration
	refuse := false
	leases := &claim.Leases{Clock: clock, MinRetention: 24 * time.Hour, Grant: func(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
		if refuse {
			return 0, fault.New("fake", store.Unavailable, "down")
		}
		granted = append(granted, ttl)
		return store.LeaseID(len(granted)), nil
	}}
	var bound []store.LeaseID
	lost := store.LeaseID(0)
	commit := leases.Bind(func(_ context.Context, txn store.Txn) (store.Result, error) {
		if txn.Puts[0].Lease == lost {
			return store.Result{}, fault.New("fake", store.Invalid, "no such lease")
		}
		bound = append(bound, txn.Puts[0].Lease)
		return store.Result{Succeeded: true}, nil
	})
	for range 120 {
		_, err := commit(t.Context(), put("k"))
		is.NoErr(err)
		clock.Advance(time.Minute)
	}
	is.Equal(granted, []time.Duration{25 * time.Hour, 25 * time.Hour})
	clock.Advance(-time.Second)
	lost = 2
	_, err := commit(t.Context(), put("k"))
	is.NoErr(err)
	is.Equal(bound[len(bound)-1], store.LeaseID(3))
	refuse = true
	clock.Advance(2 * time.Hour)
	_, err = commit(t.Context(), put("k"))
	is.True(fault.Is(err, store.Unavailable)) // nothing was written
}
