package policy_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

func placement(r id.Request, c id.Contract, class generation.Class, deadline time.Time) request.RouteRequest {
	return request.RouteRequest{MayRestart: true, Spec: &generation.Spec{
		Request: r, Contract: c, Model: "report", Version: "1", Class: class, Prefer: generation.PreferLatency,
		Prompt: "p", MaxTokens: 400, Deadline: deadline,
	}}
}

// While no target has a free slot, requests wait in a fair order: a short one
// overtakes the long ones of a burst, and one whose deadline cannot be met is
// refused immediately.
func TestPlaceInTurn(t *testing.T) {
	is := is.New(t)
	b := newBench(1)
	for i := range b.reports {
		b.reports[i].Running = b.reports[i].Slots
	}
	b.advance(1)
	now := b.clock.Now()
	for _, r := range []id.Request{"a", "b", "c"} {
		p := placement(r, "large", generation.Long, time.Time{})
		is.Equal(b.policy.Place(p, now).Action, request.Hold)
	}
	short := placement("s", "kiosk", generation.Short, time.Time{})
	is.Equal(b.policy.Place(short, now).Action, request.Hold)
	late := placement("late", "kiosk", generation.Long, now.Add(time.Second))
	refused := b.policy.Place(late, now)
	is.Equal(refused.Action, request.GiveUp)
	is.Equal(refused.Cause, answer.CauseOverload)
	is.True(refused.Wait > 0) // the caller is told when to retry

	b.reports[0].Running = 0
	b.advance(1)
	now = b.clock.Now()
	is.Equal(b.policy.Place(placement("a", "large", generation.Long, time.Time{}), now).Action, request.Hold)
	is.Equal(b.policy.Place(short, now).Action, request.Dispatch) // it overtook the long ones
	is.Equal(b.policy.Place(placement("a", "large", generation.Long, time.Time{}), now).Action, request.Dispatch)

	b.policy.End(placement("b", "large", generation.Long, time.Time{}).Spec, false)
	is.Equal(b.policy.Place(placement("c", "large", generation.Long, time.Time{}), now).Action, request.Dispatch)
}
