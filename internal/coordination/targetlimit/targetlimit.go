// Package targetlimit keeps to the limits that targets name: how many requests a second a
// target takes from all entries together, for as long as it says so.
//
// Each entry uses a share of a limit, which its caller computes with ShareOf from what the
// entries report their traffic to each other. An entry learns of limits from the answers that
// it gets and from the reports of the others.
//
// # Usage
//
//	limits := targetlimit.New()
//	limits.Observe(now, sentAt, target, targetlimit.Named{Limited: true, PerSecond: 5})
//	if wait := limits.Wait(now, target, share); limits.Take(now, target, share, wait) { … wait, send … }
//	other.Merge(now, limits.Reports(now))
//
// Limits is safe for concurrent use.
package targetlimit

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// PerSecond is a rate of requests.
type PerSecond float64

const (
	// burstTime bounds the requests that may be sent at once: the share's requests of
	// this time, at least one.
	burstTime = 250 * time.Millisecond
	// minRate is used for lower limits, so that the end of a limit is noticed.
	minRate PerSecond = 0.05
	// endReportTime is how long the end of a limit is reported.
	endReportTime = 5 * time.Second
	// maxRetryAfter bounds what a refused request is told. A limit rarely lasts longer
	// unchanged.
	maxRetryAfter = 5 * time.Second
	// never stands for the wait of an entry without a share.
	never = time.Hour
)

// Named is what an answer says about its target's limit.
type Named struct {
	Limited   bool
	PerSecond PerSecond
}

// Report is what an entry knows of a target's limit.
type Report struct {
	Target      id.Target      `json:"target"`
	Incarnation id.Incarnation `json:"incarnation,omitempty"`
	// Limited is false if the limit has ended.
	Limited   bool      `json:"limited,omitempty"`
	PerSecond PerSecond `json:"perSecond,omitempty"`
	// AgeMS is the time since the target said so, in milliseconds.
	AgeMS int64 `json:"ageMs"`
}

// Key returns the incarnation that named the limit.
func (r *Report) Key() id.TargetIncarnation {
	return id.TargetIncarnation{Target: r.Target, Incarnation: r.Incarnation}
}

// limit is the limit of one target.
type limit struct {
	named Named
	// at is when the target was last known to say so.
	at time.Time
	// tokens is the number of requests that may be sent now. It is negative while
	// requests wait for their places.
	tokens   float64
	filledAt time.Time
	// returns is when the next refused request may come back.
	returns time.Time
}

// Limits holds the limits that an entry knows.
type Limits struct {
	mu      sync.Mutex
	targets map[id.TargetIncarnation]*limit
}

// New returns Limits without any.
func New() *Limits { return &Limits{targets: map[id.TargetIncarnation]*limit{}} }

// Observe records what an answer said, to a request that was sent at a time. It returns
// true if a limit has begun or ended, or changed by more than a fifth.
func (l *Limits) Observe(now, sent time.Time, target id.TargetIncarnation, named Named) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.targets[target]
	if !named.Limited && (known == nil || !sent.After(known.at)) {
		// The target may have begun to name a limit since.
		return false
	}
	return l.set(now, now, target, named)
}

// set records what a target said at a time.
func (l *Limits) set(now, at time.Time, target id.TargetIncarnation, named Named) bool {
	known := l.targets[target]
	if known == nil {
		known = &limit{filledAt: now}
		l.targets[target] = known
	}
	before := known.named
	if named.Limited && !before.Limited {
		known.tokens, known.filledAt, known.returns = 0, now, time.Time{}
	}
	known.named, known.at = named, at
	return before.Limited != named.Limited || math.Abs(float64(named.PerSecond-before.PerSecond)) > float64(before.PerSecond)/5
}

// None reports whether no limit is known.
func (l *Limits) None() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.targets) == 0
}

// Limited returns the rate that a target has named, and whether it names one.
func (l *Limits) Limited(target id.TargetIncarnation) (PerSecond, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.targets[target]
	if known == nil || !known.named.Limited {
		return 0, false
	}
	return known.named.PerSecond, true
}

// Wait returns the time until this entry, with its share of the limit, may send a request
// to the target; 0 if it may now.
func (l *Limits) Wait(now time.Time, target id.TargetIncarnation, share float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.targets[target]
	if known == nil || !known.named.Limited {
		return 0
	}
	return known.wait(now, share)
}

// Take counts a request that is sent to the target now, or after the wait that Wait
// returned. It returns false, and counts nothing, if that would take longer than wait.
func (l *Limits) Take(now time.Time, target id.TargetIncarnation, share float64, wait time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.targets[target]
	if known == nil || !known.named.Limited {
		return true
	}
	if known.wait(now, share) > wait {
		return false
	}
	known.tokens--
	return true
}

// Charge counts a request that is sent without waiting.
func (l *Limits) Charge(now time.Time, target id.TargetIncarnation, share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.targets[target]; known != nil && known.named.Limited {
		known.fill(now, share)
		known.tokens--
	}
}

// Return takes back a Take whose request was not sent.
func (l *Limits) Return(target id.TargetIncarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.targets[target]; known != nil {
		known.tokens++
	}
}

// RetryAfter returns when a request that is refused now may come back. Each call moves the
// time on by one request of the share, so that those that come back are spread.
func (l *Limits) RetryAfter(now time.Time, target id.TargetIncarnation, share float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.targets[target]
	if known == nil || !known.named.Limited {
		return 0
	}
	next := now.Add(known.wait(now, share))
	if known.returns.After(next) {
		next = known.returns
	}
	if last := now.Add(maxRetryAfter); next.After(last) {
		next = last
	}
	known.returns = next.Add(interval(known.rate(share)))
	return next.Sub(now)
}

// Reports returns what is known, for the other entries, in the order of the targets.
func (l *Limits) Reports(now time.Time) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var reports []Report
	for target, known := range l.targets {
		if !known.named.Limited && now.Sub(known.at) > endReportTime {
			delete(l.targets, target)
			continue
		}
		reports = append(reports, Report{
			Target: target.Target, Incarnation: target.Incarnation, Limited: known.named.Limited, PerSecond: known.named.PerSecond,
			AgeMS: now.Sub(known.at).Milliseconds(),
		})
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return reports
}

// Merge applies the reports of another entry. Of two observations the later one holds.
func (l *Limits) Merge(now time.Time, reports []Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range reports {
		target := r.Key()
		at := now.Add(-time.Duration(max(0, r.AgeMS)) * time.Millisecond)
		known := l.targets[target]
		if known == nil && !r.Limited {
			continue
		}
		if known == nil || at.After(known.at) {
			l.set(now, at, target, Named{r.Limited, r.PerSecond})
		}
	}
}

// Listed records that a target is listed with an incarnation. A limit of a target whose
// start was not known before is that one's.
func (l *Limits) Listed(target id.TargetIncarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := id.TargetIncarnation{Target: target.Target}
	if known := l.targets[before]; known != nil && target.Incarnation != 0 && l.targets[target] == nil {
		l.targets[target] = known
		delete(l.targets, before)
	}
}

// Forget drops what is known of targets that are gone.
func (l *Limits) Forget(gone func(id.TargetIncarnation) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for target := range l.targets {
		if gone(target) {
			delete(l.targets, target)
		}
	}
}

// rate returns the requests per second of a share.
func (l *limit) rate(share float64) PerSecond {
	return max(l.named.PerSecond, minRate) * PerSecond(share)
}

// fill adds the requests that may be sent since the last call.
func (l *limit) fill(now time.Time, share float64) {
	rate := float64(l.rate(share))
	most := max(1, rate*burstTime.Seconds())
	l.tokens = min(most, l.tokens+rate*max(0, now.Sub(l.filledAt)).Seconds())
	l.filledAt = now
}

func (l *limit) wait(now time.Time, share float64) time.Duration {
	l.fill(now, share)
	// The tolerance covers the rounding of sums.
	const tolerance = 1e-9
	if l.tokens >= 1-tolerance {
		return 0
	}
	rate := l.rate(share)
	if rate <= 0 {
		return never
	}
	return min(never, time.Duration((1-l.tokens)*float64(interval(rate))))
}

// interval returns the time between two requests of a rate.
func interval(rate PerSecond) time.Duration {
	if rate <= 0 {
		return never
	}
	return time.Duration(min(float64(never), float64(time.Second)/float64(rate)))
}
