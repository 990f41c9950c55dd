package store

import (
	"context"
	"sync"
)

// ReturnTracker ends the calls that have waited since before the service returned from
// an outage. Their connections may be dead, which no call shows before its own time-out,
// while others answer. It is safe for concurrent use.
//
//	ctx, cancel := tracker.While(ctx)
//	err := s.Watch(ctx, …) // by another goroutine: tracker.Returned()
type ReturnTracker struct {
	mu sync.Mutex
	// returned is closed when the service returns.
	returned chan struct{}
}

// NewReturnTracker returns a tracker.
func NewReturnTracker() *ReturnTracker { return &ReturnTracker{returned: make(chan struct{})} }

// Returned records that a call was answered after an outage.
func (t *ReturnTracker) Returned() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.returned)
	t.returned = make(chan struct{})
}

// While returns a context that ends with ctx, or when the service next returns.
func (t *ReturnTracker) While(ctx context.Context) (context.Context, context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return until(ctx, t.returned)
}

// until returns a context that ends with ctx, or when a channel is closed.
func until(ctx context.Context, ended <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-ctx.Done():
		case <-ended:
			cancel()
		}
	}()
	return ctx, cancel
}
