package soak

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Bounds for what a target gets that names a limit. They are the users': from contactTime
// after it first named the limit, it gets within limitWindow at most limitFactor times what
// that allows, and limitSlack requests, from the entries that nothing disturbed.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// Times and rates of limits.
const (
	firstLimit   = 2 * time.Second
	limitPause   = 3 * time.Second
	limitSpread  = 4 * time.Second
	minLimitTime = 7 * time.Second
	// minLimit and maxLimit are in requests per second.
	minLimit = 0.5
	maxLimit = 20
)

// newTargetLimits returns a plan of targets that name limits for a while.
func newTargetLimits(opts Options, r *rand.Rand) plan {
	var p plan
	for at := firstLimit + randomDuration(limitSpread, r); at < opts.Duration; at += limitPause + randomDuration(limitSpread, r) {
		// The limits differ by their order of magnitude.
		limit := minLimit * math.Pow(maxLimit/minLimit, r.Float64())
		p = append(p, step{
			at: at, duration: minLimitTime + randomDuration(limitSpread, r), selector: r.Uint64(),
			action: action{name: "targetLimited", planned: true, run: func(ctx context.Context, w *world, s *step) {
				w.replica(s).limits.name(ctx, limit, s.duration)
			}},
		})
	}
	return p
}

// namedLimit is a limit that a target named.
type namedLimit struct {
	target    id.Target
	perSecond float64
	// from is when an answer first named it, and to when the last one did; from is zero
	// if none has.
	from, to time.Time
	// arrivals are the attempts that reached the target meanwhile.
	arrivals []arrival
}

// targetLimits holds the limits that a replica names, one after the other. It is safe for
// concurrent use.
type targetLimits struct {
	mu      sync.Mutex
	current *namedLimit
	past    []*namedLimit
}

// name names a limit for a time, unless the replica names one already.
func (l *targetLimits) name(ctx context.Context, perSecond float64, lasts time.Duration) {
	limit := &namedLimit{perSecond: perSecond}
	l.mu.Lock()
	if l.current != nil {
		l.mu.Unlock()
		return
	}
	l.current = limit
	l.past = append(l.past, limit)
	l.mu.Unlock()
	sleep(ctx, lasts)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == limit {
		l.current = nil
	}
}

// end ends the current limit, because another incarnation begins.
func (l *targetLimits) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = nil
}

// answer records an attempt that reaches the target, and returns the limit that the answer
// names; 0 for none.
func (l *targetLimits) answer(target id.Target, attempt direct.AttemptID) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.current
	if limit == nil {
		return 0
	}
	now := time.Now()
	if limit.from.IsZero() {
		limit.target, limit.from = target, now
	}
	limit.to = now
	limit.arrivals = append(limit.arrivals, arrival{attempt, now})
	return limit.perSecond
}

// checkTargetLimits checks that no target got more than its limit allowed.
func (w *world) checkTargetLimits() {
	for _, p := range w.replicas {
		for _, limit := range p.limits.past {
			w.checkTargetLimit(limit)
		}
	}
}

func (w *world) checkTargetLimit(limit *namedLimit) {
	allowed := limitFactor*limitWindow.Seconds()*limit.perSecond + limitSlack
	for i, first := range limit.arrivals {
		if first.at.Sub(limit.from) < contactTime {
			continue
		}
		n := 0
		for _, a := range limit.arrivals[i:] {
			if a.at.Sub(first.at) < limitWindow && !w.disturbances[w.history.entryOf(a.attempt)].overlap(a.at.Add(-contactTime), a.at) {
				n++
			}
		}
		if float64(n) > allowed {
			w.history.recordViolation(LimitKept, first.attempt, "target %s, which had named a limit of %.1f a second, got %d requests in %v, want at most %.0f",
				limit.target, limit.perSecond, n, limitWindow, allowed)
			return
		}
	}
}
