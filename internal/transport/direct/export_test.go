package direct

import (
	"context"

	"foxtailward.example/foxtailward/internal/coordination/roster"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
)

// RequestCopy has a run copied from one target to another, and returns the handle of the
// copy.
func (e *Entry) RequestCopy(ctx context.Context, source, holder *catalog.Target, run string) (string, error) {
	return e.requestCopy(ctx, source, holder, direct.AttemptID(run))
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
