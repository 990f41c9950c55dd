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

// slowEvery is the least time between two log lines about held back calls.
const slowEvery = 10 * time.Second

// budget keeps calls to a rate.
type budget struct {
	limiter *rate.Limiter
	maxWait time.Duration
	clock   clockwork.Clock
	log     *event.Log
	meters  *meters

	mu     sync.Mutex
	logged time.Time
}

func newBudget(perSecond float64, maxWait time.Duration, clock clockwork.Clock, log *event.Log, m *meters) *budget {
	burst := int(math.Ceil(min(perSecond, math.MaxInt32)))
	return &budget{
		limiter: rate.NewLimiter(rate.Limit(perSecond), max(1, burst)),
		maxWait: maxWait,
		clock:   clock,
		log:     log,
		meters:  m,
	}
}

// take waits until the budget allows one more call. Its error is Throttled.
func (b *budget) take(ctx context.Context, op string) error {
	now := b.clock.Now()
	reservation := b.limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait == 0 {
		return nil
	}
	b.tell(now, op, wait)
	if wait > b.maxWait {
		reservation.CancelAt(now)
		b.meters.throttled.Inc(1)
		return fault.New(op, store.Throttled, "the budget allows the next call in %v", wait)
	}
	if err := sleep(ctx, b.clock, wait); err != nil {
		reservation.CancelAt(b.clock.Now())
		return fault.Wrap(op, store.Throttled, err)
	}
	return nil
}

// tell logs that calls are held back, at most once in slowEvery.
func (b *budget) tell(now time.Time, op string, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.logged.IsZero() && now.Sub(b.logged) < slowEvery {
		return
	}
	b.logged = now
	b.log.Emit(event.StoreSlow, "call", op, "wait", wait)
}

// sleep waits on clock, or returns ctx's error.
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
