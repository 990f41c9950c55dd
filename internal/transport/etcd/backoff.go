package etcd

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/state/event"
)

// lostAnswerThreshold is the number of consecutive lost answers after which the
// service counts as down. A single lost answer must not block the read that the
// caller makes next to find out whether its write took effect.
const lostAnswerThreshold = 3

// jitterFraction is the fraction of each backoff that is random.
const jitterFraction = 0.5

// backoff decides when calls may be sent to a service that does not answer.
type backoff struct {
	minDelay, maxDelay time.Duration
	jitter             float64
	clock              clockwork.Clock
	log                *event.Log

	mu     sync.Mutex
	random *rand.Rand
	// delay is the current backoff before jitter; 0 while the service answers.
	delay       time.Duration
	nextProbe   time.Time
	lostAnswers int
	// probing is true while a probe is in flight.
	probing bool
}

func newBackoff(minDelay, maxDelay time.Duration, clock clockwork.Clock, source rand.Source, log *event.Log) *backoff {
	return &backoff{minDelay: minDelay, maxDelay: maxDelay, jitter: jitterFraction, clock: clock, random: rand.New(source), log: log}
}

// allow reports whether a call may be sent now. While the service is down, it
// allows a single call, the probe, after each backoff.
func (b *backoff) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.delay == 0 {
		return true
	}
	if b.probing || b.clock.Now().Before(b.nextProbe) {
		return false
	}
	b.probing = true
	return true
}

// wait blocks until a call may be sent or ctx ends; it returns ctx's error.
func (b *backoff) wait(ctx context.Context) error {
	for !b.allow() {
		b.mu.Lock()
		remaining := max(b.nextProbe.Sub(b.clock.Now()), b.minDelay)
		b.mu.Unlock()
		if err := sleep(ctx, b.clock, remaining); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// recordSuccess resets the backoff after an answer from the service.
func (b *backoff) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.delay > 0 {
		b.log.Emit(event.StoreRecovered)
	}
	b.delay, b.lostAnswers, b.probing = 0, 0, false
}

// recordUnreachable increases the backoff because no endpoint accepted a call.
func (b *backoff) recordUnreachable(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.increase(err)
}

// recordLostAnswer counts a call that was sent but not answered. It increases
// the backoff from lostAnswerThreshold on, or at once if the service is already
// down.
func (b *backoff) recordLostAnswer(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lostAnswers++
	if b.lostAnswers >= lostAnswerThreshold || b.delay > 0 {
		b.increase(err)
	}
}

// releaseProbe allows another probe after a call that ended without showing
// whether the service is up.
func (b *backoff) releaseProbe() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}

// increase doubles the backoff. Its jitter keeps processes that lost the service
// at the same time from probing it at the same time.
func (b *backoff) increase(err error) {
	if b.delay == 0 {
		b.log.Emit(event.StoreDown, "error", err)
	}
	b.delay = min(max(b.minDelay, 2*b.delay), b.maxDelay)
	b.nextProbe = b.clock.Now().Add(b.jitteredDelay())
	b.probing = false
}

func (b *backoff) jitteredDelay() time.Duration {
	fixed := time.Duration((1 - b.jitter) * float64(b.delay))
	return fixed + time.Duration(b.random.Int64N(int64(b.delay-fixed)+1))
}
