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

// asked counts how a counter used its services.
type asked struct{ once, forbidden int }

func newCounter(t *testing.T, a *asked, clock clockwork.Clock, reply func() (*answer.Reply, error)) (*request.CallCoordinator, *request.Coordinator) {
	t.Helper()
	d := newDesk(t, newTargets(1), clock, alone("e1"))
	return request.NewCallCoordinator(d, request.Services{
		Route: func(*answer.Call, []id.Target, time.Time) request.Choice {
			return request.Choice{Action: request.GiveUp, Reason: "noTarget"}
		},
		CallAtMostOnce: func(_ context.Context, o *request.AtMostOnceCall) (*answer.Reply, error) {
			a.once++
			o.RecordStep("claimed", "t", "because")
			return reply()
		},
		RefuseAtMostOnce: func(_ context.Context, _ *request.AtMostOnceCall, r *answer.Refusal) (*answer.Reply, error) {
			a.forbidden++
			return nil, r
		},
	}), d
}

func callOf(key string, repeatable bool, body []byte) answer.Call {
	return answer.Call{Contract: customer("stapler"), Service: "floor", Key: key, Repeatable: repeatable, Method: "POST", Path: "/", Body: body}
}

// A refusal of a call that may have run before is never told without proof.
func TestCounterRefusals(t *testing.T) {
	tests := []struct {
		name       string
		key        string
		repeatable bool
		forbidden  int
	}{
		{"keyed, not repeatable", "k", false, 1},
		{"keyed, repeatable", "k", true, 0},
		{"without a key", "", false, 0},
		{"without a key, repeatable", "", true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := &asked{}
			c, d := newCounter(t, a, clockwork.NewRealClock(), nil)
			d.Drain()
			_, err := c.Open(t.Context(), callOf(tt.key, tt.repeatable, nil))
			refusal, ok := err.(*answer.Refusal)
			is.True(ok)
			is.Equal(refusal.Cause, answer.CauseLeaving)
			is.Equal(*a, asked{forbidden: tt.forbidden})
		})
	}
}

// The steps of a keyed call are kept with its state, also when it is asked for
// again after it failed.
func TestCounterFind(t *testing.T) {
	is := is.New(t)
	a := &asked{}
	failing := true
	clock := clockwork.NewFakeClock()
	c, _ := newCounter(t, a, clock, func() (*answer.Reply, error) {
		if failing {
			return nil, &answer.Refusal{Outcome: answer.Unknown, Cause: answer.CauseLost}
		}
		return &answer.Reply{Status: 200}, nil
	})
	r := id.RequestForKey("stapler", "call/floor/k")
	_, ok := c.Find(r)
	is.True(!ok)
	_, err := c.Open(t.Context(), callOf("k", false, nil))
	is.True(err != nil)
	known, _ := c.Find(r)
	is.Equal(known.State, request.StateFailed)
	failing = false
	for range 2 {
		_, err = c.Open(t.Context(), callOf("k", false, nil))
		is.NoErr(err)
	}
	is.Equal(a.once, 2) // what ended well is not asked again
	known, _ = c.Find(r)
	is.Equal(known.State, request.StateFinished)
	is.Equal(len(known.Decisions), 2)
	is.Equal(known.Decisions[1], request.Decision{At: clock.Now(), Step: "claimed", Target: "t", Reason: "because"})
	clock.Advance(time.Minute)
	c.Sweep(clock.Now(), time.Minute)
	_, ok = c.Find(r)
	is.True(!ok)
}

// The kept replies are bounded; those that ended first go first.
func TestCounterBytes(t *testing.T) {
	is := is.New(t)
	const size, bound = 8 << 20, 64 << 20
	body := make([]byte, size)
	c, _ := newCounter(t, &asked{}, clockwork.NewRealClock(), func() (*answer.Reply, error) {
		return &answer.Reply{Status: 200, Body: body}, nil
	})
	kept := 0
	for i := range 2 * bound / size {
		_, err := c.Open(t.Context(), callOf(fmt.Sprint(i), false, nil))
		is.NoErr(err)
	}
	for i := range 2 * bound / size {
		if _, ok := c.Find(id.RequestForKey("stapler", fmt.Sprint("call/floor/", i))); ok {
			kept++
			is.True(i >= bound/size)
		}
	}
	is.Equal(kept, bound/size)
}
