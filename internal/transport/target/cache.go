package target

import (
	"context"

	protocol "foxtailward.example/foxtailward/internal/protocol/engine"
)

// CacheNews is what an engine's prefix cache did since the last news.
type CacheNews struct {
	Events []protocol.CacheEvent
	// Lost says that events are missing before or among these, so that what
	// was held of the cache may be wrong.
	Lost bool
}

// newsOf returns the news in a page that was asked for after a number. An
// engine that has started anew numbers its events from 1 again.
func newsOf(page *protocol.CacheEvents, after uint64) CacheNews {
	news := CacheNews{Events: page.Events, Lost: page.Next < after}
	for _, e := range page.Events {
		news.Lost = news.Lost || e.Number != after+1
		after = e.Number
	}
	return news
}

// pollCache reads the changes of the prefix cache and hands them on. What
// can't be read now is read the next time.
func (r *runner) pollCache(ctx context.Context) {
	hook := r.p.deps.CacheNews
	if hook == nil {
		return
	}
	page, err := r.engine.CacheEvents(ctx, r.cacheAfter)
	if err != nil {
		return
	}
	news := newsOf(page, r.cacheAfter)
	r.cacheAfter = page.Next
	if news.Lost || len(news.Events) > 0 {
		hook(news)
	}
}
