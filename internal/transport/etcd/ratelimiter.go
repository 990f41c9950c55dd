package etcd

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// delayLogInterval is the minimum time between two log lines about calls that
// are delayed by the rate limit.
const delayLogInterval = 10 * time.Second

// rateLimiter delays calls to keep to a rate and rejects those that it would delay
// for longer than maxWait.
type rateLimiter struct {
	limiter *rate.Limiter
	maxWait time.Duration
	clock   clockwork.Clock
	log     *event.Log
	metrics *clientMetrics

	mu         sync.Mutex
	lastLogged time.Time
}

func newRateLimiter(perSecond float64, maxWait time.Duration, clock clockwork.Clock, log *event.Log, counters *clientMetrics) *rateLimiter {
	burst := int(math.Ceil(min(perSecond, math.MaxInt32)))
	return &rateLimiter{
		limiter: rate.NewLimiter(rate.Limit(perSecond), max(1, burst)),
		maxWait: maxWait,
		clock:   clock,
		log:     log,
		metrics: counters,
	}
}

// wait blocks until the rate limit allows one more call. Its errors have the
// kind store.Throttled.
func (l *rateLimiter) wait(ctx context.Context, op string) error {
	now := l.clock.Now()
	reservation := l.limiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return nil
	}
	l.logDelay(now, op, delay)
	if delay > l.maxWait {
		reservation.CancelAt(now)
		l.metrics.throttled.Inc(1)
		return fault.New(op, store.Throttled, "the budget allows the next call in %v", delay)
	}
	if err := sleep(ctx, l.clock, delay); err != nil {
		reservation.CancelAt(l.clock.Now())
		return fault.Wrap(op, store.Throttled, err)
	}
	return nil
}

// logDelay logs that calls are delayed, at most once per delayLogInterval.
func (l *rateLimiter) logDelay(now time.Time, op string, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lastLogged.IsZero() && now.Sub(l.lastLogged) < delayLogInterval {
		return
	}
	l.lastLogged = now
	l.log.Emit(event.StoreSlow, "call", op, "wait", delay)
}

// sleep waits for d on clock, or returns ctx's error.
func sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.Chan():
		return nil
	}
}
