package overload

import (
	"slices"
	"time"
)

// returning is a request that was refused and told to come back.
type returning struct {
	at       time.Time
	priority int
	cost     float64
}

// retryAfter returns when a request that is refused may come back, and expects it then: after
// what waits and is at least as urgent, and what was told to come back and is.
func (l *Line) retryAfter(p *Place, now time.Time) time.Duration {
	ahead := p.Item.Cost
	for _, w := range l.waiting {
		if w.Item.Priority <= p.Item.Priority {
			ahead += w.Item.Cost
		}
	}
	l.forgetReturned(now)
	for _, r := range l.returning {
		if r.priority <= p.Item.Priority {
			ahead += r.cost
		}
	}
	wait, known := l.rate.timeFor(ahead)
	if !known {
		wait = defaultRetryAfter
	}
	// What comes meanwhile takes its part of the room, and will probably for as long as it did.
	wait = max(minRetryAfter, ceilToMillisecond(time.Duration(float64(wait)*l.rate.pressure())), l.refusedFor(now))
	if p.Item.MaxRetryAfter > 0 {
		wait = min(wait, p.Item.MaxRetryAfter)
	}
	if len(l.returning) < l.cfg.MaxQueued {
		l.returning = append(l.returning, returning{at: now.Add(wait), priority: p.Item.Priority, cost: p.Item.Cost})
	}
	return wait
}

// refusedFor returns for how long requests have been refused, without a pause of refusalPause.
func (l *Line) refusedFor(now time.Time) time.Duration {
	if l.refusedAt.IsZero() || now.Sub(l.refusedAt) > refusalPause {
		l.refusedSince = now
	}
	l.refusedAt = now
	return now.Sub(l.refusedSince)
}

// expected returns how many requests that are at least as urgent as a request were told to come
// back before all that waits has started. The line keeps places for them, so that they are not
// refused again.
func (l *Line) expected(p *Place, now time.Time) int {
	l.forgetReturned(now)
	wait, known := l.waitAt(len(l.waiting))
	if !known {
		wait = defaultRetryAfter
	}
	n := 0
	for _, r := range l.returning {
		if r.priority <= p.Item.Priority && r.at.Before(now.Add(wait)) {
			n++
		}
	}
	return n
}

// forgetReturned drops the requests that should have come back.
func (l *Line) forgetReturned(now time.Time) {
	l.returning = slices.DeleteFunc(l.returning, func(r returning) bool { return !r.at.After(now) })
}
