package direct

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// surveyTimeout limits how long a request waits until the processes of all targets have
	// named their starts, and surveyValidity is how long the answer of one counts.
	surveyTimeout  = 500 * time.Millisecond
	surveyValidity = 500 * time.Millisecond
	// maxSurveyCalls limits the concurrent calls of a survey.
	maxSurveyCalls = 32
)

// confirmAll reports whether the processes of all targets are those of their records, as they
// say themselves now. A target that does not answer may be another process.
func (r *reportReader) confirmAll(ctx context.Context, targets catalog.Targets) bool {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	var others atomic.Bool
	var wg sync.WaitGroup
	calls := make(chan struct{}, maxSurveyCalls)
	for _, t := range r.unconfirmed(targets) {
		calls <- struct{}{}
		wg.Go(func() {
			defer func() { <-calls }()
			if r.confirm(ctx, t).result != confirmed {
				others.Store(true)
				cancel()
			}
		})
	}
	wg.Wait()
	return !others.Load()
}

// unconfirmed returns the targets whose processes have not named their starts recently.
func (r *reportReader) unconfirmed(targets catalog.Targets) catalog.Targets {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireConfirmed()
	var rest catalog.Targets
	for _, t := range targets {
		if _, recent := r.confirmedAt[t.Key()]; t.Incarnation != 0 && !recent {
			rest = append(rest, t)
		}
	}
	return rest
}

// recordConfirmed records that the process of a target's record has answered a report that was
// asked for at the given time.
func (r *reportReader) recordConfirmed(asked time.Time, t *catalog.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireConfirmed()
	r.confirmedAt[t.Key()] = asked
}

// expireConfirmed forgets the answers that no longer count. The caller holds mu.
func (r *reportReader) expireConfirmed() {
	now := r.e.deps.Clock.Now()
	maps.DeleteFunc(r.confirmedAt, func(_ id.TargetIncarnation, at time.Time) bool { return now.Sub(at) > surveyValidity })
}
