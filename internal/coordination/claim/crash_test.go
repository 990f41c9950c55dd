package claim_test

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/claim"
	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// failure is what goes wrong at one operation of an invocation.
type failure string

const (
	noFailure    failure = "none"
	notSent      failure = "notSent"      // the operation fails without effect
	responseLost failure = "responseLost" // the operation takes effect and its response is lost
	entryBefore  failure = "entryBefore"  // the entry crashes before it
	entryAfter   failure = "entryAfter"   // the entry crashes after it
	targetBefore failure = "targetBefore" // the target process restarts before it
	targetAfter  failure = "targetAfter"  // the target process restarts after it
	paused       failure = "paused"       // the entry is paused while the caller's retry runs
)

var failures = []failure{notSent, responseLost, entryBefore, entryAfter, targetBefore, targetAfter, paused}

// system is a key-value service, a target process and its service.
type system struct {
	store       *fakeStore
	incarnation id.Incarnation
	seen        bool
	fenced      bool
	hasReply    bool
	runs        int
	// outcomes are the outcomes reported to the caller.
	outcomes []claim.Outcome
}

func (s *system) restart() {
	s.incarnation++
	s.seen, s.fenced, s.hasReply = false, false, false
}

func (s *system) call(c claim.Claim) claim.Outcome {
	switch {
	case c.Incarnation != s.incarnation || s.fenced:
		return claim.NotRun
	case s.seen:
		return claim.Unknown
	}
	s.seen = true
	s.runs++
	s.hasReply = true
	return claim.Done
}

func (s *system) fence(c claim.Claim) claim.Outcome {
	switch {
	case c.Incarnation != s.incarnation:
		return claim.Unknown
	case s.hasReply:
		return claim.Done
	case s.seen:
		return claim.Unknown
	}
	s.fenced = true
	return claim.NotRun
}

// plan is the operation, counted from 0, at which an invocation fails, and how.
type plan struct {
	at      int
	failure failure
}

// invoke runs one invocation with the failure of p. If the failure is a pause, retry runs
// meanwhile. It returns the number of operations.
func (s *system) invoke(p plan, retry func()) int {
	operations := 0
	// operate performs one operation; lost is the error for a lost response.
	operate := func(do func(), lost error) error {
		n := operations
		operations++
		if n != p.at {
			do()
			return nil
		}
		return s.inject(p.failure, do, lost, retry)
	}
	c := &claim.Claimer{
		Clock: clockwork.NewFakeClock(),
		Get: func(ctx context.Context, key string) (item store.Item, err error) {
			err = operate(func() { item, _ = s.store.get(ctx, key) }, fault.New("crashTest", store.Unavailable, "down"))
			return item, err
		},
		Commit: func(ctx context.Context, txn store.Txn) (r store.Result, err error) {
			kind := store.Unknown
			if p.failure == notSent {
				kind = store.Unavailable
			}
			err = operate(func() { r, _ = s.store.commit(ctx, txn) }, fault.New("crashTest", kind, "no answer"))
			return r, err
		},
		Fence: func(_ context.Context, current claim.Claim) (o claim.Outcome, _ *claim.Reply, err error) {
			err = operate(func() { o = s.fence(current) }, errors.New("no answer"))
			return o, reply, err
		},
	}
	inv := claim.Invocation{Request: "ans-1", Owner: "e", Target: "t", Incarnation: s.incarnation}
	inv.Call = func(_ context.Context, own claim.Claim) (o claim.Outcome, _ *claim.Reply, err error) {
		err = operate(func() { o = s.call(own) }, errors.New("no answer"))
		return o, reply, err
	}
	done := make(chan struct{})
	go func() {
		// A crash of the entry ends this goroutine, and its caller gets no outcome.
		defer close(done)
		s.outcomes = append(s.outcomes, c.Do(context.Background(), inv).Outcome)
	}()
	<-done
	return operations
}

func (s *system) inject(f failure, do func(), lost error, retry func()) error {
	switch f {
	case notSent:
		return lost
	case responseLost:
		do()
		return lost
	case entryBefore:
		runtime.Goexit()
	case entryAfter:
		do()
		runtime.Goexit()
	case targetBefore:
		s.restart()
	case paused:
		retry()
	}
	do()
	if f == targetAfter {
		s.restart()
	}
	return nil
}

// maxOperations is more than the number of operations of any invocation.
const maxOperations = 7

// TestClaimerCrashPoints fails an invocation and its caller's retry through another entry
// at each operation in each way, and counts the runs at the service: at most one, none
// if the caller was told notRun, and one if it was told done.
func TestClaimerCrashPoints(t *testing.T) {
	is := is.New(t)
	plans := []plan{{failure: noFailure, at: -1}}
	for at := range maxOperations {
		for _, f := range failures {
			plans = append(plans, plan{at, f})
		}
	}
	outcomes, maxSeen := map[claim.Outcome]int{}, 0
	for _, first := range plans {
		for _, second := range plans {
			s := &system{store: newFakeStore(), incarnation: 1}
			retried := false
			retry := func() {
				if !retried {
					retried = true
					maxSeen = max(maxSeen, s.invoke(second, func() {}))
				}
			}
			maxSeen = max(maxSeen, s.invoke(first, retry))
			retry()
			s.invoke(plan{failure: noFailure, at: -1}, func() {}) // a last retry without a failure
			description := fmt.Sprintf("%v then %v: outcomes %v, %d runs", first, second, s.outcomes, s.runs)
			for _, o := range s.outcomes {
				outcomes[o]++
				if (o == claim.NotRun && s.runs > 0) || (o == claim.Done && s.runs == 0) || s.runs > 1 {
					t.Fatal(description)
				}
			}
			is.True(len(s.outcomes) > 0) // the last invocation reports an outcome
		}
	}
	is.True(maxSeen < maxOperations)
	is.True(outcomes[claim.Done] > 0 && outcomes[claim.NotRun] > 0 && outcomes[claim.Unknown] > 0)
	t.Logf("%d combinations, outcomes %v", len(plans)*len(plans), outcomes)
}
