package store

import (
	"context"
	"sync"
)

// EraTracker holds the newest era that any answer of the service named. It is safe
// for concurrent use.
//
//	if tracker.Observe(page.Era) == store.Ended { … read again … }
//	ctx, cancel := tracker.While(ctx, page.Era)
type EraTracker struct {
	mu    sync.Mutex
	known bool
	era   Era
	// ended is closed when the era ends.
	ended chan struct{}
}

// EraVerdict says how an era relates to those that were observed before.
type EraVerdict string

// Verdicts.
const (
	// Current is the era of the newest answer, or the first era.
	Current EraVerdict = "current"
	// Begun is an era that has begun since the last answer.
	Begun EraVerdict = "begun"
	// Ended is an era that is over. What an answer of that era says may have been
	// taken back.
	Ended EraVerdict = "ended"
)

// NewEraTracker returns a tracker that knows no era.
func NewEraTracker() *EraTracker { return &EraTracker{ended: make(chan struct{})} }

// Observe records the era of an answer.
func (t *EraTracker) Observe(era Era) EraVerdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !t.known:
		t.known, t.era = true, era
		return Current
	case era < t.era:
		return Ended
	case era == t.era:
		return Current
	}
	t.era = era
	close(t.ended)
	t.ended = make(chan struct{})
	return Begun
}

// Era returns the newest era.
func (t *EraTracker) Era() Era {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// While returns a context that ends with ctx, or when a newer era begins.
func (t *EraTracker) While(ctx context.Context, era Era) (context.Context, context.CancelFunc) {
	t.mu.Lock()
	current, ended := t.era == era, t.ended
	t.mu.Unlock()
	ctx, cancel := until(ctx, ended)
	if !current {
		cancel()
	}
	return ctx, cancel
}
