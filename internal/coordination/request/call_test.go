package request_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/state/id"
)

// serviceCalls counts the calls of CallAtMostOnce and RefuseAtMostOnce.
type serviceCalls struct{ atMostOnce, refused int }

func newCallCoordinator(t *testing.T, calls *serviceCalls, clock clockwork.Clock, reply func() (*answer.Reply, error)) (*request.CallCoordinator, *request.Coordinator) {
	t.Helper()
	co := newCoordinator(t, newFakeTargets(1), clock, soloPeers("e1"))
	return request.NewCallCoordinator(co, request.Services{
		Route: func(*answer.Call, []id.Target, time.Time) request.Choice {
			return request.Choice{Action: request.GiveUp, Reason: "noTarget"}
		},
		CallAtMostOnce: func(_ context.Context, o *request.AtMostOnceCall) (*answer.Reply, error) {
			calls.atMostOnce++
			o.RecordStep("claimed", "t", "because")
			return reply()
		},
		RefuseAtMostOnce: func(_ context.Context, _ *request.AtMostOnceCall, r *answer.Refusal) (*answer.Reply, error) {
			calls.refused++
			return nil, r
		},
	}), co
}

func newCall(key string, repeatable bool, body []byte) answer.Call {
	return answer.Call{Contract: testContract("stapler"), Service: "floor", Key: key, Repeatable: repeatable, Method: "POST", Path: "/", Body: body}
}

// TestCallCoordinatorRefuse checks that the refusal of a keyed call that is not
// repeatable goes through RefuseAtMostOnce: an earlier call with the same key may
// have run, so the caller must not get the outcome notRun without proof.
func TestCallCoordinatorRefuse(t *testing.T) {
	tests := []struct {
		name       string
		key        string
		repeatable bool
		refused    int
	}{
		{"keyed, not repeatable", "k", false, 1},
		{"keyed, repeatable", "k", true, 0},
		{"without a key", "", false, 0},
		{"without a key, repeatable", "", true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			calls := &serviceCalls{}
			c, co := newCallCoordinator(t, calls, clockwork.NewRealClock(), nil)
			co.Drain()
			_, err := c.Open(t.Context(), newCall(tt.key, tt.repeatable, nil))
			refusal, ok := err.(*answer.Refusal)
			is.True(ok)
			is.Equal(refusal.Cause, answer.CauseLeaving)
			is.Equal(*calls, serviceCalls{refused: tt.refused})
		})
	}
}

// TestCallCoordinatorFind checks that the steps of a keyed call are recorded with
// its state, and are kept when the call is sent again after a failure.
func TestCallCoordinatorFind(t *testing.T) {
	is := is.New(t)
	calls := &serviceCalls{}
	failing := true
	clock := clockwork.NewFakeClock()
	c, _ := newCallCoordinator(t, calls, clock, func() (*answer.Reply, error) {
		if failing {
			return nil, &answer.Refusal{Outcome: answer.Unknown, Cause: answer.CauseLost}
		}
		return &answer.Reply{Status: 200}, nil
	})
	r := id.RequestForKey("stapler", "call/floor/k")
	_, ok := c.Find(r)
	is.True(!ok)
	_, err := c.Open(t.Context(), newCall("k", false, nil))
	is.True(err != nil)
	known, _ := c.Find(r)
	is.Equal(known.State, request.StateFailed)
	failing = false
	for range 2 {
		_, err = c.Open(t.Context(), newCall("k", false, nil))
		is.NoErr(err)
	}
	is.Equal(calls.atMostOnce, 2) // a successful call is not run again
	known, _ = c.Find(r)
	is.Equal(known.State, request.StateFinished)
	is.Equal(len(known.Decisions), 2)
	is.Equal(known.Decisions[1], request.Decision{At: clock.Now(), Step: "claimed", Target: "t", Reason: "because"})
	clock.Advance(time.Minute)
	c.Sweep(clock.Now(), time.Minute)
	_, ok = c.Find(r)
	is.True(!ok)
}

// TestCallCoordinatorReplyLimit checks that the size of the kept replies is
// limited and that those of the calls that ended first are evicted first.
func TestCallCoordinatorReplyLimit(t *testing.T) {
	is := is.New(t)
	const size, bound = 8 << 20, 64 << 20
	body := make([]byte, size)
	c, _ := newCallCoordinator(t, &serviceCalls{}, clockwork.NewRealClock(), func() (*answer.Reply, error) {
		return &answer.Reply{Status: 200, Body: body}, nil
	})
	found := 0
	for i := range 2 * bound / size {
		_, err := c.Open(t.Context(), newCall(fmt.Sprint(i), false, nil))
		is.NoErr(err)
	}
	for i := range 2 * bound / size {
		if _, ok := c.Find(id.RequestForKey("stapler", fmt.Sprint("call/floor/", i))); ok {
			found++
			is.True(i >= bound/size)
		}
	}
	is.Equal(found, bound/size)
}
