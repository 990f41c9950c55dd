package policy

import (
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/coordination/route"
	"foxtailward.example/foxtailward/internal/state/id"
)

// PlaceCall chooses the target of a call to a plain service.
func (p *Policy) PlaceCall(call *answer.Call, exclude []id.Target, now time.Time) request.Choice {
	routeReq := route.Request{Service: call.Service, Class: call.Contract.Class, Exclude: exclude}
	decision, ok := p.choose(routeReq, now)
	if !ok {
		return request.Choice{Action: request.GiveUp, Wait: defaultRetryAfter, Reason: string(decision.Reason)}
	}
	return p.dispatch(decision)
}
