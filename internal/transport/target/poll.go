package target

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/event"
)

// Timing of the polls of the engine or service.
const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = time.Second
	// maxPollFailures is the number of consecutive failed polls after which the
	// engine counts as down. A single lost answer must not make the target
	// refuse work.
	maxPollFailures = 2
)

// poll updates the target's state and the load that the engine reports.
func (p *Process) poll() {
	ticker := p.deps.Clock.NewTicker(pollInterval)
	defer ticker.Stop()
	failures := maxPollFailures
	for {
		err := p.pollOnce()
		if err == nil {
			failures = 0
		} else {
			failures++
		}
		p.updateState(failures, err)
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// pollOnce checks the health of the engine or service and reads the engine's
// load.
func (p *Process) pollOnce() error {
	ctx, cancel := clockwork.WithTimeout(p.ctx, p.deps.Clock, pollTimeout)
	defer cancel()
	if p.runner == nil {
		return p.callRunner.health(ctx)
	}
	return p.runner.poll(ctx)
}

// updateState sets the state after the given number of consecutive failed
// polls. err is the error of the last one.
func (p *Process) updateState(failures int, err error) {
	if failures == 0 && p.runner != nil && p.runner.changingModel() {
		// Another model is about to be loaded, so the state stays Joining and
		// entries send no requests.
		return
	}
	switch {
	case failures == 0 && p.reporter.setState(member.Ready):
		p.emit(event.EngineUp)
		p.emit(event.ProcessReady)
	case failures >= maxPollFailures && p.reporter.setState(member.Joining):
		p.emit(event.EngineDown, "error", err)
	}
}

// poll reads the engine's health, cache events and load.
func (r *runner) poll(ctx context.Context) error {
	if err := r.engine.Health(ctx); err != nil {
		return err
	}
	r.pollCache(ctx)
	m, err := r.engine.Metrics(ctx)
	if err != nil {
		// An engine that is healthy but reports no load still takes work.
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.metrics = m
	return nil
}
