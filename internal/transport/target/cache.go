package target

import (
	"context"

	protocol "foxtailward.example/foxtailward/internal/protocol/engine"
)

// CacheUpdate holds the events of an engine's prefix cache since the previous
// update.
type CacheUpdate struct {
	Events []protocol.CacheEvent
	// EventsLost reports that events are missing before or among these, so that
	// what is known of the cache may be wrong.
	EventsLost bool
}

// newCacheUpdate returns the update for a page that was requested with the
// event number after. An engine that has restarted numbers its events from 1
// again.
func newCacheUpdate(page *protocol.CacheEvents, after uint64) CacheUpdate {
	update := CacheUpdate{Events: page.Events, EventsLost: page.Next < after}
	for _, e := range page.Events {
		update.EventsLost = update.EventsLost || e.Number != after+1
		after = e.Number
	}
	return update
}

// pollCache reads the new events of the prefix cache and passes them to
// OnCacheUpdate. After an error the next poll reads the same events.
func (r *runner) pollCache(ctx context.Context) {
	hook := r.p.deps.OnCacheUpdate
	if hook == nil {
		return
	}
	page, err := r.engine.CacheEvents(ctx, r.cacheAfter)
	if err != nil {
		return
	}
	update := newCacheUpdate(page, r.cacheAfter)
	r.cacheAfter = page.Next
	if update.EventsLost || len(update.Events) > 0 {
		hook(update)
	}
}
