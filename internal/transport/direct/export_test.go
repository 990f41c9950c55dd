package direct

import (
	"context"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/coordination/roster"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// RequestCopy has a run copied from one target to another, and returns the handle of the
// copy.
func (e *Entry) RequestCopy(ctx context.Context, source, holder *catalog.Target, run string) (string, error) {
	return e.requestCopy(ctx, source, holder, direct.AttemptID(run))
}

// SetUneven has a service's targets count as sharing their hosts with others, so that requests
// for it compete.
func (e *Entry) SetUneven(service id.Service) {
	e.balancer.ObserveLoad(e.deps.Clock.Now(), &catalog.Target{ID: "hint", Service: service}, &balance.TargetLoad{Slowness: 1})
}

// MeasureLoad has the entry measure its load after it has sent so many bytes, while it hears
// of the other entries. It reports whether the entry takes new connections.
func (e *Entry) MeasureLoad(sent int64, others ...roster.Peer) bool {
	for _, p := range others {
		e.roster.Observe(e.deps.Clock.Now(), p, nil)
	}
	e.ownLoad.sent.Add(sent)
	e.ownLoad.measure(clockCheckInterval)
	return !e.ownLoad.away.Load()
}
