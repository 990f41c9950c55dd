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

// crash is what goes wrong at one operation of an ask.
type crash string

const (
	none         crash = "none"
	notSent      crash = "notSent"      // the operation fails and does nothing
	answerLost   crash = "answerLost"   // it takes effect and its answer is lost
	entryBefore  crash = "entryBefore"  // the entry dies before it
	entryAfter   crash = "entryAfter"   // the entry dies after it
	targetBefore crash = "targetBefore" // the target process dies before it
	targetAfter  crash = "targetAfter"  // the target process dies after it
	paused       crash = "paused"       // the caller's retry goes by in between
)

var crashes = []crash{notSent, answerLost, entryBefore, entryAfter, targetBefore, targetAfter, paused}

// site is a key-value service, a target process and its service.
type site struct {
	store       *fakeStore
	incarnation id.Incarnation
	seen        bool
	fenced      bool
	kept        bool
	runs        int
	// told are the outcomes that the caller heard.
	told []claim.Outcome
}

func (s *site) die() {
	s.incarnation++
	s.seen, s.fenced, s.kept = false, false, false
}

func (s *site) call(c claim.Claim) claim.Outcome {
	switch {
	case c.Incarnation != s.incarnation || s.fenced:
		return claim.NotRun
	case s.seen:
		return claim.Unknown
	}
	s.seen = true
	s.runs++
	s.kept = true
	return claim.Done
}

func (s *site) fence(c claim.Claim) claim.Outcome {
	switch {
	case c.Incarnation != s.incarnation:
		return claim.Unknown
	case s.kept:
		return claim.Done
	case s.seen:
		return claim.Unknown
	}
	s.fenced = true
	return claim.NotRun
}

// plan is the operation, from 0, at which an ask goes wrong, and how.
type plan struct {
	at    int
	crash crash
}

// ask runs one ask by its plan, and retries it when it is paused. It reports
// how many operations it made.
func (s *site) ask(p plan, retry func()) int {
	ops := 0
	// op does one operation; lost says what a lost answer looks like.
	op := func(do func(), lost error) error {
		n := ops
		ops++
		if n != p.at {
			do()
			return nil
		}
		return s.goWrong(p.crash, do, lost, retry)
	}
	c := &claim.Claimer{
		Clock: clockwork.NewFakeClock(),
		Get: func(ctx context.Context, key string) (item store.Item, err error) {
			err = op(func() { item, _ = s.store.get(ctx, key) }, fault.New("walk", store.Unavailable, "down"))
			return item, err
		},
		Commit: func(ctx context.Context, txn store.Txn) (r store.Result, err error) {
			kind := store.Unknown
			if p.crash == notSent {
				kind = store.Unavailable
			}
			err = op(func() { r, _ = s.store.commit(ctx, txn) }, fault.New("walk", kind, "no answer"))
			return r, err
		},
		Fence: func(_ context.Context, held claim.Claim) (o claim.Outcome, _ *claim.Reply, err error) {
			err = op(func() { o = s.fence(held) }, errors.New("no answer"))
			return o, reply, err
		},
	}
	work := claim.Invocation{Request: "ans-1", Owner: "e", Target: "t", Incarnation: s.incarnation}
	work.Call = func(_ context.Context, mine claim.Claim) (o claim.Outcome, _ *claim.Reply, err error) {
		err = op(func() { o = s.call(mine) }, errors.New("no answer"))
		return o, reply, err
	}
	ended := make(chan struct{})
	go func() {
		// An entry that dies ends its goroutine; its caller hears nothing.
		defer close(ended)
		s.told = append(s.told, c.Do(context.Background(), work).Outcome)
	}()
	<-ended
	return ops
}

func (s *site) goWrong(c crash, do func(), lost error, retry func()) error {
	switch c {
	case notSent:
		return lost
	case answerLost:
		do()
		return lost
	case entryBefore:
		runtime.Goexit()
	case entryAfter:
		do()
		runtime.Goexit()
	case targetBefore:
		s.die()
	case paused:
		retry()
	}
	do()
	if c == targetAfter {
		s.die()
	}
	return nil
}

// maxOps is more operations than any ask makes.
const maxOps = 7

// TestClaimerWalk walks every crash point of an ask, and of its caller's retry
// through another entry, and counts runs at the service: never two, and none
// when the caller was told notRun.
func TestClaimerWalk(t *testing.T) {
	is := is.New(t)
	plans := []plan{{crash: none, at: -1}}
	for at := range maxOps {
		for _, c := range crashes {
			plans = append(plans, plan{at, c})
		}
	}
	told, most := map[claim.Outcome]int{}, 0
	for _, first := range plans {
		for _, second := range plans {
			s := &site{store: newFakeStore(), incarnation: 1}
			retried := false
			retry := func() {
				if !retried {
					retried = true
					most = max(most, s.ask(second, func() {}))
				}
			}
			most = max(most, s.ask(first, retry))
			retry()
			s.ask(plan{crash: none, at: -1}, func() {}) // and once more, all well
			what := fmt.Sprintf("%v then %v: told %v, %d runs", first, second, s.told, s.runs)
			for _, o := range s.told {
				told[o]++
				if (o == claim.NotRun && s.runs > 0) || (o == claim.Done && s.runs == 0) || s.runs > 1 {
					t.Fatal(what)
				}
			}
			is.True(len(s.told) > 0) // the last ask is told something
		}
	}
	is.True(most < maxOps)
	is.True(told[claim.Done] > 0 && told[claim.NotRun] > 0 && told[claim.Unknown] > 0)
	t.Logf("%d walks, told %v", len(plans)*len(plans), told)
}
