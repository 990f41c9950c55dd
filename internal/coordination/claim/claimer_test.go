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

// fakeStore is a key-value service in memory. A fault is called before each
// commit; its error is returned, before the write or after it.
type fakeStore struct {
	mu       sync.Mutex
	items    map[string]store.Item
	revision int64
	commits  int
	largest  int
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
	s.largest = max(s.largest, len(txn.Puts))
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

func only(at int, kind store.Kind) func(int) error {
	return func(n int) error {
		if n != at {
			return nil
		}
		return fault.New("fake", kind, "commit %d", n)
	}
}

// service counts runs; its target process answers fences as it should.
type service struct {
	runs   int
	fenced bool
	// answer replaces the reply to a call that has run; nil is a good one.
	answer error
	// refuse keeps the call from the service.
	refuse bool
}

var reply = &claim.Reply{Status: 200, Body: []byte("shipped")}

func (s *service) call(context.Context, claim.Claim) (claim.Outcome, *claim.Reply, error) {
	if s.refuse || s.fenced {
		return claim.NotRun, nil, nil
	}
	s.runs++
	return claim.Done, reply, s.answer
}

func (s *service) fence(context.Context, claim.Claim) (claim.Outcome, *claim.Reply, error) {
	if s.runs > 0 {
		return claim.Done, reply, nil
	}
	s.fenced = true
	return claim.NotRun, nil, nil
}

func newClaimer(s *fakeStore, v *service) *claim.Claimer {
	return &claim.Claimer{
		Get: s.get, Commit: s.commit, Fence: v.fence, Clock: clockwork.NewFakeClock(),
		Lease: func() store.LeaseID { return 7 },
	}
}

func work(v *service, fresh bool) claim.Invocation {
	return claim.Invocation{Request: "ans-1", GeneratedID: fresh, Owner: "e1", Target: "t1", Incarnation: 1, Call: v.call}
}

func TestClaimerDo(t *testing.T) {
	tests := []struct {
		name   string
		change func(s *fakeStore, v *service)
		fresh  bool
		want   claim.Outcome
		runs   int
		// again is the outcome of the caller's retry through another entry,
		// once all works.
		again claim.Outcome
	}{
		{"all works", func(*fakeStore, *service) {}, false, claim.Done, 1, claim.Done},
		{"the claim's answer is lost", func(s *fakeStore, _ *service) { s.after = only(1, store.Unknown) }, false, claim.Done, 1, claim.Done},
		{"the claim is lost", func(s *fakeStore, _ *service) { s.before = only(1, store.Unknown) }, false, claim.Done, 1, claim.Done},
		{"the store is down, fresh", func(s *fakeStore, _ *service) { s.before = only(1, store.Unavailable) }, true, claim.NotRun, 0, ""},
		{"the store is down, keyed", func(s *fakeStore, _ *service) { s.before = only(1, store.Unavailable) }, false, claim.Unknown, 0, claim.Done},
		{"the store is throttled, fresh", func(s *fakeStore, _ *service) { s.before = only(1, store.Throttled) }, true, claim.NotRun, 0, ""},
		{"the target refuses", func(_ *fakeStore, v *service) { v.refuse = true }, false, claim.NotRun, 0, claim.NotRun},
		{"the reply is lost", func(_ *fakeStore, v *service) { v.answer = errors.New("cut") }, false, claim.Done, 1, claim.Done},
		{"the outcome is not written", func(s *fakeStore, _ *service) { s.before = only(2, store.Unavailable) }, false, claim.Done, 1, claim.Done},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, v := newFakeStore(), &service{}
			tt.change(s, v)
			got := newClaimer(s, v).Do(t.Context(), work(v, tt.fresh))
			is.Equal(got.Outcome, tt.want)
			is.Equal(v.runs, tt.runs)
			is.Equal(got.Reply != nil, tt.want == claim.Done)
			if tt.again == "" {
				return
			}
			s.before, s.after, v.refuse, v.answer = nil, nil, false, nil
			second := newClaimer(s, v).Do(t.Context(), work(v, false))
			is.Equal(second.Outcome, tt.again)
			is.Equal(second.Reply != nil, tt.again == claim.Done)
			is.True(v.runs <= 1)
		})
	}
}

// TestClaimerPausedOwner: an owner that is paused before it sends the call is
// fenced by the caller's retry, and sends it too late.
func TestClaimerPausedOwner(t *testing.T) {
	is := is.New(t)
	s, v := newFakeStore(), &service{}
	var retry claim.Result
	w := work(v, false)
	w.Call = func(ctx context.Context, c claim.Claim) (claim.Outcome, *claim.Reply, error) {
		retry = newClaimer(s, v).Do(ctx, work(v, false))
		return v.call(ctx, c)
	}
	first := newClaimer(s, v).Do(t.Context(), w)
	is.Equal(retry.Outcome, claim.NotRun)
	is.Equal(first.Outcome, claim.NotRun)
	is.Equal(v.runs, 0)
}

// TestClaimerRefuse: a caller that comes back and meets a limit learns what
// became of its call; one that was refused first is not run later.
func TestClaimerRefuse(t *testing.T) {
	is := is.New(t)
	s, v := newFakeStore(), &service{}
	c := newClaimer(s, v)
	is.Equal(c.Refuse(t.Context(), work(v, true)).Outcome, claim.NotRun)
	is.Equal(s.commits, 0) // a fresh request needs no record
	is.Equal(c.Do(t.Context(), work(v, false)).Outcome, claim.Done)
	is.Equal(c.Refuse(t.Context(), work(v, false)).Outcome, claim.Done)

	other := work(v, false)
	other.Request = "ans-2"
	is.Equal(c.Refuse(t.Context(), other).Outcome, claim.NotRun)
	is.Equal(c.Do(t.Context(), other).Outcome, claim.NotRun)
	is.Equal(v.runs, 1)

	other.Request = "ans-3"
	s.before = func(int) error { return fault.New("fake", store.Unavailable, "down") }
	is.Equal(c.Refuse(t.Context(), other).Outcome, claim.Unknown)
}

// TestClaimerGone: a caller that is gone before the call is sent has not run
// it.
func TestClaimerGone(t *testing.T) {
	is := is.New(t)
	s, v := newFakeStore(), &service{}
	ctx, cancel := context.WithCancel(t.Context())
	c := newClaimer(s, v)
	c.Commit = func(ctx context.Context, txn store.Txn) (store.Result, error) {
		defer cancel()
		return s.commit(ctx, txn)
	}
	is.Equal(c.Do(ctx, work(v, false)).Outcome, claim.NotRun)
	is.Equal(v.runs, 0)
	record, err := claim.Decode(s.items[store.ClaimPrefix+"ans-1"].Value)
	is.NoErr(err)
	is.Equal(record.State, claim.StateNotRun)
}

// TestBatch: 200 claims at once need far fewer writes, one key's second claim
// fails alone, and no transaction is above the bound.
func TestBatch(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	_, err := s.commit(t.Context(), put("k7"))
	is.NoErr(err)
	s.commits = 0
	gate := make(chan struct{})
	b := claim.NewBatcher(func(ctx context.Context, txn store.Txn) (store.Result, error) {
		<-gate // the first write waits until all have asked
		return s.commit(ctx, txn)
	})
	results := make([]store.Result, 200)
	errs := make([]error, len(results))
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { results[i], errs[i] = b.Commit(t.Context(), put(fmt.Sprint("k", i))) })
	}
	for b.QueueLen() < len(results)-1 {
		// The others are on their way into the queue.
		continue
	}
	close(gate)
	wg.Wait()
	for i, r := range results {
		is.NoErr(errs[i])
		is.Equal(r.Succeeded, i != 7)
	}
	is.Equal(len(s.items), len(results))
	is.True(s.largest <= 48)
	// One write alone, five joint ones, and the joint one with k7 one by one.
	is.True(s.commits <= 1+5+48)
}

func put(key string) store.Txn {
	return store.Txn{Compares: []store.Compare{{Key: key}}, Puts: []store.Put{{Key: key, Value: []byte("x")}}}
}

// TestBatchFailure: each ask of a joint write whose answer is lost learns that.
func TestBatchFailure(t *testing.T) {
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
	is.True(got.Reply == nil) // too large to be kept
	for _, bad := range []string{"", "{}", `{"state":"other"}`} {
		_, err := claim.Decode([]byte(bad))
		is.True(err != nil)
	}
}

// TestBatchHangs: an ask whose time is over does not wait for a write that
// hangs, and a settled outcome is told meanwhile.
func TestBatchHangs(t *testing.T) {
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

// TestLeases: claims of one hour share a lease, which lasts a day longer; a
// lease that the key-value service has lost is replaced.
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
