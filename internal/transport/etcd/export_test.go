package etcd

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

// Backoff exports the backoff, so that tests can compare its settings.
type Backoff struct{ b *backoff }

// Default settings of the backoff.
const (
	DefaultInitialBackoff = defaultInitialBackoff
	DefaultMaxBackoff     = defaultMaxBackoff
	DefaultJitterFraction = jitterFraction
)

// NewBackoff returns a backoff of which the fraction jitter is random.
func NewBackoff(initial, longest time.Duration, jitter float64, clock clockwork.Clock, source rand.Source) Backoff {
	b := newBackoff(initial, longest, clock, source, nil)
	b.jitter = jitter
	return Backoff{b}
}

// Admit reports whether a call may be sent now.
func (b Backoff) Admit() bool { return b.b.allow() }

// Answered records an answer from the service.
func (b Backoff) Answered() { b.b.recordSuccess() }

// Unreachable records that no endpoint accepted a call.
func (b Backoff) Unreachable() { b.b.recordUnreachable(errors.New("down")) }
