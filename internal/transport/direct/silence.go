package direct

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/coordination/detect"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// silenceCheckInterval is how often a silence that may not end a run is judged again.
const silenceCheckInterval = 50 * time.Millisecond

// stallConfig returns the silence after which an engine counts as lost. With a
// ceiling of 450 ms, enough of the usual gap objective of 700 ms is left to
// resume elsewhere.
func stallConfig() detect.Config {
	return detect.Config{
		MinTimeout:           350 * time.Millisecond,
		MaxTimeout:           450 * time.Millisecond,
		Deviations:           5.5,
		LongestGapFactor:     2,
		LongestGapHalfLife:   time.Minute,
		MinFirstTokenTimeout: 2 * time.Second,
		FirstTokenFactor:     2,
	}
}

// silenceWatch ends a run once its target has been silent for too long, if that may end
// the run. It is safe for concurrent use.
type silenceWatch struct {
	clock  clockwork.Clock
	mayEnd func() bool
	// end ends the run. It is called at most once.
	end func()

	mu    sync.Mutex
	timer clockwork.Timer
	// due is when the next bytes must have arrived; zero while none are awaited.
	due time.Time
	// checkAt is when the timer fires; zero if it is not set.
	checkAt time.Time
	stopped bool
	expired bool
}

// newSilenceWatch returns a watch that does not wait for anything yet. mayEnd must not call
// the watch.
func newSilenceWatch(clock clockwork.Clock, mayEnd func() bool, end func()) *silenceWatch {
	return &silenceWatch{clock: clock, mayEnd: mayEnd, end: end}
}

// expect says that the next bytes must arrive until due.
func (w *silenceWatch) expect(due time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = due
	if w.checkAt.IsZero() || due.Before(w.checkAt) {
		w.setTimer(due)
	}
}

// received says that nothing is awaited for now.
func (w *silenceWatch) received() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = time.Time{}
}

// stop ends the watch. It reports whether the watch has ended the run.
func (w *silenceWatch) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.expired
}

// setTimer sets when the silence is judged next. The caller holds the lock.
func (w *silenceWatch) setTimer(at time.Time) {
	w.checkAt = at
	wait := at.Sub(w.clock.Now())
	if w.timer == nil {
		w.timer = w.clock.AfterFunc(wait, w.check)
		return
	}
	w.timer.Reset(wait)
}

// check judges the silence.
func (w *silenceWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkAt = time.Time{}
	now := w.clock.Now()
	switch {
	case w.stopped || w.expired || w.due.IsZero():
	case now.Before(w.due):
		w.setTimer(w.due)
	case w.mayEnd():
		w.expired = true
		w.end()
	default:
		w.setTimer(now.Add(silenceCheckInterval))
	}
}

// silenceEnds returns a function that reports whether silence of the target may end the run
// that begins now. It may not where no other run may follow: the client would lose its answer
// though the target may only have paused the run. A stream that its client can resume
// ends all the same if nothing at all is heard from the target.
func (s *stream) silenceEnds(t *catalog.Target) func() bool {
	c := s.c
	if !c.route.Idempotent() {
		return func() bool { return false }
	}
	moreRuns := c.runs+1 < c.maxRuns() && c.sends < c.maxRuns()+extraStreamSends
	return func() bool {
		if !s.began.Load() || (moreRuns && c.mayRetry(t.ID)) {
			return true
		}
		return c.now().Sub(c.e.balancer.HeardFrom(t.Key())) >= stallConfig().MaxTimeout
	}
}

// mayRetry reports whether the request may be sent to another target than the current one:
// the retry budget allows it, and such a target is usable.
func (c *call) mayRetry(current id.Target) bool {
	now := c.now()
	if !c.e.retryBudgets.mayRetry(now, c.service, c.e.roster.LimitShare(now)) {
		return false
	}
	return slices.ContainsFunc(c.targets().Ready(), func(t *catalog.Target) bool {
		return t.ID != current && !c.e.balancer.Suspected(now, t)
	})
}
