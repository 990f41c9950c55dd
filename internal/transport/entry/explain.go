package entry

import (
	"context"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/protocol/status"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
)

// stepLost is the step that records a lost attempt of an answer. The other steps of
// answers are actions of request.Choice.
const stepLost = "lost"

// explain returns the decisions made about a request, by this entry or by the
// request's home entry.
func (p *Process) explain(ctx context.Context, r id.Request) (*status.Explanation, bool) {
	if a, ok := p.coordinator.Find(r); ok {
		return p.explainAnswer(a), true
	}
	if e, ok := p.explainCall(r); ok {
		return e, true
	}
	home := id.HomeEntry(r, p.view.Snapshot().LiveEntries())
	if home == "" || home == p.settings.Name {
		return nil, false
	}
	reply, err := p.entryClient.Explain(ctx, home, r)
	if err != nil || !reply.GetFound() {
		return nil, false
	}
	return explanationOf(r, home, reply), true
}

func (p *Process) explainAnswer(a *request.Answer) *status.Explanation {
	spec := a.Spec()
	e := &status.Explanation{
		Request: spec.Request, Contract: spec.Contract, Owner: p.settings.Name, Model: spec.Model,
		State: status.RequestState(a.State()), Lineage: spec.Lineage, Tokens: a.TokenCount(),
	}
	for _, d := range a.Decisions() {
		e.Decisions = append(e.Decisions, decisionOf(d.At, d.Step, d.Target, d.Reason))
	}
	return e
}

func explanationOf(r id.Request, home id.Entry, reply *peerpb.ExplainReply) *status.Explanation {
	e := &status.Explanation{
		Request: r, Contract: id.Contract(reply.GetContract()), Owner: home, Model: id.Model(reply.GetModel()),
		State: status.RequestState(reply.GetState()), Tokens: id.TokenIndex(reply.GetTokens()),
	}
	for _, d := range reply.GetDecisions() {
		at := time.UnixMilli(d.GetAtUnixMs()).UTC()
		e.Decisions = append(e.Decisions, decisionOf(at, d.GetStep(), id.Target(d.GetTarget()), d.GetReason()))
	}
	return e
}

// decisionOf converts one step of a request to a status.Decision.
func decisionOf(at time.Time, step string, target id.Target, reason string) status.Decision {
	e := event.RouteChosen
	switch step {
	case stepLost:
		e = event.AttemptLost
	case string(request.Hold), string(request.GiveUp):
		e = event.RouteRefused
	}
	d := status.NewDecision(at, e, 0, target, reason)
	d.Detail = step
	return d
}

// decisions returns the decisions made here about a request, for another entry.
func (p *Process) decisions(r id.Request) *peerpb.ExplainReply {
	a, ok := p.coordinator.Find(r)
	if !ok {
		return p.callDecisions(r)
	}
	spec := a.Spec()
	reply := &peerpb.ExplainReply{
		Found: true, Contract: string(spec.Contract), State: string(a.State()),
		Model: string(spec.Model), Tokens: uint32(a.TokenCount()),
	}
	for _, d := range a.Decisions() {
		reply.Decisions = append(reply.Decisions, &peerpb.Decision{
			AtUnixMs: d.At.UnixMilli(), Step: d.Step, Target: string(d.Target), Reason: d.Reason,
		})
	}
	return reply
}
