package direct

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/timing"
)

const (
	// surveyTimeout limits how long a request waits until the processes of all targets have
	// named their starts.
	surveyTimeout = 500 * time.Millisecond
	// maxSurveyCalls limits the concurrent calls of a survey, and surveyPacePerTarget the calls of
	// surveys that follow each other: 1,000 a second.
	maxSurveyCalls      = 32
	surveyPacePerTarget = time.Millisecond
)

// survey asks all targets of a service for their starts, one time after the other. next is what the
// requests wait for that have come since the current time began.
type survey struct {
	running bool
	next    *surveyResult
}

type surveyResult struct {
	done      chan struct{}
	confirmed bool
}

// confirmAll reports whether the processes of all targets of a service are those of their records, as they
// say themselves from now on. A target that does not answer may be another process.
func (r *reportReader) confirmAll(ctx context.Context, service id.Service) bool {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	next := r.joinSurvey(service)
	select {
	case <-next.done:
		return next.confirmed
	case <-ctx.Done():
		return false
	}
}

// joinSurvey returns the result of the next survey of a service.
func (r *reportReader) joinSurvey(service id.Service) *surveyResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.surveys[service]
	if s == nil {
		s = &survey{}
		r.surveys[service] = s
	}
	if s.next == nil {
		s.next = &surveyResult{done: make(chan struct{})}
	}
	if !s.running {
		s.running = true
		go r.runSurveys(service, s)
	}
	return s.next
}

// runSurveys surveys a service as long as requests wait for it.
func (r *reportReader) runSurveys(service id.Service, s *survey) {
	for {
		r.mu.Lock()
		current := s.next
		s.next = nil
		if current == nil {
			s.running = false
			delete(r.surveys, service)
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		targets := r.e.directory.View().Targets[service]
		current.confirmed = r.readSaved() && r.survey(targets)
		close(current.done)
		timing.Sleep(context.Background(), r.e.deps.Clock, time.Duration(len(targets))*surveyPacePerTarget)
	}
}

// readSaved reads what the other entries have saved, and reports whether this entry knows all versions that they had told
// before: without the key-value service it does if it hears from all of them.
func (r *reportReader) readSaved() bool {
	ctx, cancel := context.WithTimeout(context.Background(), surveyTimeout)
	defer cancel()
	return r.e.saver.readOthers(ctx) || r.e.hearsAll(r.e.deps.Clock.Now())
}

// survey asks targets once.
func (r *reportReader) survey(targets catalog.Targets) bool {
	ctx, cancel := context.WithTimeout(context.Background(), surveyTimeout)
	defer cancel()
	var others atomic.Bool
	var wg sync.WaitGroup
	calls := make(chan struct{}, maxSurveyCalls)
	for _, t := range targets {
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
