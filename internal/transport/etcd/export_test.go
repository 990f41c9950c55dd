package etcd

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

// Backoff lets tests weigh backoffs against each other.
type Backoff struct{ b *backoff }

// Defaults of the backoff, for tests.
const (
	DefaultInitialBackoff = defaultBackoffFirst
	DefaultMaxBackoff     = defaultBackoffLongest
	DefaultJitterShare    = jitterShare
)

// NewBackoff returns a backoff with a share of jitter.
func NewBackoff(first, longest time.Duration, jitter float64, clock clockwork.Clock, source rand.Source) Backoff {
	b := newBackoff(first, longest, clock, source, nil)
	b.jitter = jitter
	return Backoff{b}
}

// Admit reports whether a call may go out now.
func (b Backoff) Admit() bool { return b.b.admit() }

// Answered notes that the service answers.
func (b Backoff) Answered() { b.b.answered() }

// Unreachable notes that no endpoint took a call.
func (b Backoff) Unreachable() { b.b.unreachable(errors.New("down")) }
