package target

import (
	"context"

	protocol "foxtailward.example/foxtailward/internal/protocol/engine"
)

// CacheUpdate is what an engine's prefix cache did since the last news.
type CacheUpdate struct {
	Events []protocol.CacheEvent
	// EventsLost says that events are missing before or among these, so that what
	// was held of the cache may be wrong.
	EventsLost bool
}

// newsOf returns the news in a page that was asked for after a number. An
// engine that has started anew numbers its events from 1 again.
func newsOf(page *protocol.CacheEvents, after uint64) CacheUpdate {
	news := CacheUpdate{Events: page.Events, EventsLost: page.Next < after}
	for _, e := range page.Events {
		news.EventsLost = news.EventsLost || e.Number != after+1
		after = e.Number
	}
	return news
}

// pollCache reads the changes of the prefix cache and hands them on. What
// can't be read now is read the next time.
func (r *runner) pollCache(ctx context.Context) {
	hook := r.p.deps.OnCacheUpdate
	if hook == nil {
		return
	}
	page, err := r.engine.CacheEvents(ctx, r.cacheAfter)
	if err != nil {
		return
	}
	news := newsOf(page, r.cacheAfter)
	r.cacheAfter = page.Next
	if news.EventsLost || len(news.Events) > 0 {
		hook(news)
	}
}
