// Package timing waits on a clock until a time or the end of a context.
//
// # Usage
//
//	go timing.Every(ctx, clock, time.Second, s.sweep)
//	for timing.Sleep(ctx, clock, pause) {
//		…
//	}
package timing

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Every calls f once per interval until ctx ends. A call that is due while f runs is
// skipped.
func Every(ctx context.Context, clock clockwork.Clock, interval time.Duration, f func()) {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			f()
		}
	}
}

// Sleep waits for d. It returns false if ctx ends first.
func Sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-clock.After(d):
		return true
	}
}
