package target

import (
	"context"
	"strings"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
)

const (
	// drainCheckInterval is the interval at which a drain checks whether work is
	// left.
	drainCheckInterval = 50 * time.Millisecond
	// drainLogInterval is the interval at which a long drain logs what it waits
	// for.
	drainLogInterval = 30 * time.Second
)

// Drain makes the process report that it is leaving and refuse new work, and
// waits until no work is left or ctx ends. Running work continues in both
// cases.
func (p *Process) Drain(ctx context.Context) error {
	p.beginDrain()
	ticker := p.deps.Clock.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	logged := p.deps.Clock.Now()
	for {
		waiting := p.Pending()
		if len(waiting) == 0 {
			return nil
		}
		if now := p.deps.Clock.Now(); now.Sub(logged) >= drainLogInterval {
			logged = now
			p.emit(event.DrainWaiting, "count", len(waiting), "work", strings.Join(waiting, "; "))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// drain drains the process and then keeps serving for the linger time. It
// also waits for attempts that are adopted meanwhile.
func (p *Process) drain(ctx context.Context) {
	until := p.deps.Clock.Now().Add(p.deps.Linger)
	for {
		if p.Drain(ctx) != nil || !p.deps.Clock.Now().Before(until) {
			return
		}
		select {
		case <-p.ctx.Done():
			return
		case <-p.deps.Clock.After(drainCheckInterval):
		}
	}
}

// beginDrain makes the process refuse new work. Only the first call has an
// effect.
func (p *Process) beginDrain() {
	p.mu.Lock()
	first := !p.draining
	p.draining = true
	p.mu.Unlock()
	if !first {
		return
	}
	p.reporter.setState(member.Leaving)
	if p.runner != nil {
		p.runner.drain()
	} else {
		p.callRunner.drain()
	}
	p.emit(event.DrainStarted, "waiting", len(p.Pending()))
}

// Pending describes the work that a draining process waits for.
func (p *Process) Pending() []string {
	if p.runner != nil {
		return p.runner.pending()
	}
	return p.callRunner.pending()
}

// Abort ends the process at once and describes the work that was lost.
func (p *Process) Abort() []string {
	p.beginDrain()
	names := p.Pending()
	if p.runner != nil {
		p.runner.abortAll()
	} else {
		p.callRunner.abortAll()
	}
	p.mu.Lock()
	p.aborted = append(p.aborted, names...)
	p.mu.Unlock()
	for _, name := range names {
		p.emit(event.WorkAborted, "work", name)
	}
	p.cancel()
	return names
}

// abortError returns an error that lists the aborted work, or nil if there
// was none.
func (p *Process) abortError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.aborted) == 0 {
		return nil
	}
	return fault.New("Process.Run", WorkAborted, "work aborted by a forced stop: %s", strings.Join(p.aborted, "; "))
}
