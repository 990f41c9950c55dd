package etcd

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/state/event"
)

// lostTolerated is the number of lost answers in a row before the service
// counts as down. One lost answer must not hold up the read that follows it.
const lostTolerated = 3

// jitterShare is the part of each backoff that is random.
const jitterShare = 0.5

// backoff decides when a service that does not answer is probed.
type backoff struct {
	min, max time.Duration
	jitter   float64
	clock    clockwork.Clock
	log      *event.Log

	mu     sync.Mutex
	random *rand.Rand
	// delay is the current backoff before jitter; 0 while the service answers.
	delay time.Duration
	until time.Time
	lost  int
	// probing says that a call is out to see whether the service is back.
	probing bool
}

func newBackoff(least, most time.Duration, clock clockwork.Clock, source rand.Source, log *event.Log) *backoff {
	return &backoff{min: least, max: most, jitter: jitterShare, clock: clock, random: rand.New(source), log: log}
}

// admit reports whether a call may go out now. After each backoff one call is
// let through as a probe.
func (b *backoff) admit() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.delay == 0 {
		return true
	}
	if b.probing || b.clock.Now().Before(b.until) {
		return false
	}
	b.probing = true
	return true
}

// wait returns once a call may go out, or with ctx's error.
func (b *backoff) wait(ctx context.Context) error {
	for !b.admit() {
		b.mu.Lock()
		left := max(b.until.Sub(b.clock.Now()), b.min)
		b.mu.Unlock()
		if err := sleep(ctx, b.clock, left); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// answered notes that the service answers.
func (b *backoff) answered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.delay > 0 {
		b.log.Emit(event.StoreRecovered)
	}
	b.delay, b.lost, b.probing = 0, 0, false
}

// unreachable notes that no endpoint took a call.
func (b *backoff) unreachable(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.extend(err)
}

// lostAnswer notes that a call was sent and not answered.
func (b *backoff) lostAnswer(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lost++
	if b.lost >= lostTolerated || b.delay > 0 {
		b.extend(err)
	}
}

// givenUp notes that a call ended before it told anything of the service.
func (b *backoff) givenUp() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}

// extend doubles the backoff. A part of it is random, so that processes that
// lost the service at once come back apart.
func (b *backoff) extend(err error) {
	if b.delay == 0 {
		b.log.Emit(event.StoreDown, "error", err)
	}
	b.delay = min(max(b.min, 2*b.delay), b.max)
	b.until = b.clock.Now().Add(b.jittered())
	b.probing = false
}

func (b *backoff) jittered() time.Duration {
	fixed := time.Duration((1 - b.jitter) * float64(b.delay))
	return fixed + time.Duration(b.random.Int64N(int64(b.delay-fixed)+1))
}
