package direct

import (
	"context"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/timing"
)

const (
	// clockCheckInterval is the time between two checks of the clocks.
	clockCheckInterval = 200 * time.Millisecond
	// clockCheckTolerance is how late a check may come, and how far the clocks may
	// drift apart between two checks, without being taken for a pause.
	clockCheckTolerance = 200 * time.Millisecond
	// pauseSettleTime is how long after a pause what arrived meanwhile may not have been read.
	pauseSettleTime = 500 * time.Millisecond
)

// pauseDetector detects that this process or its host was paused. Data received
// before a pause may be read only after it and then seems newer than it is. The
// monotonic clock keeps running while the process is stopped, but not while the
// host is suspended. The time since boot includes both. It is safe for
// concurrent use.
type pauseDetector struct {
	mu sync.Mutex
	// checkedAt and sinceBoot are the two clocks at the last check.
	checkedAt time.Time
	sinceBoot time.Duration
	// endedAt is when the last pause was detected; zero if there was none.
	endedAt time.Time
}

// check compares the clocks with those of the last check. It returns how long
// the process was paused, or 0, and how long of this the host was suspended.
func (d *pauseDetector) check(now time.Time, sinceBoot time.Duration) (paused, suspended time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	monotonic := now.Sub(d.checkedAt)
	suspended = sinceBoot - d.sinceBoot - monotonic
	first := d.checkedAt.IsZero()
	d.checkedAt, d.sinceBoot = now, sinceBoot
	if first || (monotonic <= clockCheckInterval+clockCheckTolerance && suspended <= clockCheckTolerance) {
		return 0, 0
	}
	d.endedAt = now
	return monotonic + suspended, suspended
}

// endedWithin reports whether a pause was detected less than the given time ago.
func (d *pauseDetector) endedWithin(now time.Time, within time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.endedAt.IsZero() && now.Sub(d.endedAt) < within
}

// watchClocks checks the clocks periodically until ctx ends.
func (e *Entry) watchClocks(ctx context.Context) {
	e.checkClocks()
	timing.Every(ctx, e.deps.Clock, clockCheckInterval, func() {
		e.checkClocks()
		e.ownLoad.measure(clockCheckInterval)
	})
}

func (e *Entry) checkClocks() {
	now := e.deps.Clock.Now()
	paused, suspended := e.pauses.check(now, e.sinceBoot(now))
	if paused > 0 {
		e.deps.Log.Emit(event.PauseDetected, "lasted", paused, "suspended", suspended)
	}
}

// pausedWithin reports whether this process or its host was paused within the time before now, also
// if the pause has just ended.
func (e *Entry) pausedWithin(d time.Duration) bool {
	e.checkClocks()
	return e.pauses.endedWithin(e.deps.Clock.Now(), d)
}

// sinceBoot returns the time since the host booted, or the monotonic time since
// the entry's start if the former is not available.
func (e *Entry) sinceBoot(now time.Time) time.Duration {
	if e.deps.SinceBoot == nil {
		return now.Sub(e.startedAt)
	}
	return e.deps.SinceBoot()
}
