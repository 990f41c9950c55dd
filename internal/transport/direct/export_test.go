package direct

import (
	"context"

	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
)

// RequestCopy has a run copied from one target to another, and returns the handle of the
// copy.
func (e *Entry) RequestCopy(ctx context.Context, source, holder *catalog.Target, run string) (string, error) {
	return e.requestCopy(ctx, source, holder, direct.AttemptID(run))
}
