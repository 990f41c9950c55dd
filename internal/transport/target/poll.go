package target

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/event"
)

// Times of the poll of the engine or service.
const (
	pollEvery   = 500 * time.Millisecond
	pollTimeout = time.Second
	// downAfter is the number of polls without an answer after which the
	// engine counts as down. One lost answer is no reason to take no work.
	downAfter = 2
)

// poll keeps the state and the engine's own figures up to date.
func (p *Process) poll() {
	ticker := p.deps.Clock.NewTicker(pollEvery)
	defer ticker.Stop()
	failures := downAfter
	for {
		err := p.pollOnce()
		if err == nil {
			failures = 0
		} else {
			failures++
		}
		p.judge(failures, err)
		select {
		case <-p.life.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// pollOnce asks whether the engine or service answers, and reads its load.
func (p *Process) pollOnce() error {
	ctx, cancel := clockwork.WithTimeout(p.life, p.deps.Clock, pollTimeout)
	defer cancel()
	if p.runner == nil {
		return p.caller.health(ctx)
	}
	return p.runner.poll(ctx)
}

// judge sets the state after a number of polls that failed in a row.
func (p *Process) judge(failures int, err error) {
	if failures == 0 && p.runner != nil && p.runner.changes() {
		// Another model is to be loaded; entries are to leave the target alone.
		return
	}
	switch {
	case failures == 0 && p.reporter.setState(member.Ready):
		p.emit(event.EngineUp)
		p.emit(event.ProcessReady)
	case failures >= downAfter && p.reporter.setState(member.Joining):
		p.emit(event.EngineDown, "error", err)
	}
}

// poll reads the engine's health and load.
func (r *runner) poll(ctx context.Context) error {
	if err := r.engine.Health(ctx); err != nil {
		return err
	}
	r.pollCache(ctx)
	m, err := r.engine.Metrics(ctx)
	if err != nil {
		// An engine that serves but tells no load still takes work.
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.metrics = m
	return nil
}
