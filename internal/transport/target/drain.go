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
	// drainLook is the time between two looks whether the work is done.
	drainLook = 50 * time.Millisecond
	// drainLogEvery is the time between two log lines of a long drain.
	drainLogEvery = 30 * time.Second
)

// Drain makes the process report that it is leaving and take no new work, and
// waits until no work is left or ctx ends. Running work goes on either way.
func (p *Process) Drain(ctx context.Context) error {
	p.leave()
	ticker := p.deps.Clock.NewTicker(drainLook)
	defer ticker.Stop()
	logged := p.deps.Clock.Now()
	for {
		waiting := p.Pending()
		if len(waiting) == 0 {
			return nil
		}
		if now := p.deps.Clock.Now(); now.Sub(logged) >= drainLogEvery {
			logged = now
			p.emit(event.DrainWaiting, "count", len(waiting), "work", strings.Join(waiting, "; "))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.life.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// drain drains and lingers. What is adopted meanwhile is waited for too.
func (p *Process) drain(ctx context.Context) {
	until := p.deps.Clock.Now().Add(p.deps.Linger)
	for {
		if p.Drain(ctx) != nil || !p.deps.Clock.Now().Before(until) {
			return
		}
		select {
		case <-p.life.Done():
			return
		case <-p.deps.Clock.After(drainLook):
		}
	}
}

// leave makes the process refuse new work; it does so once.
func (p *Process) leave() {
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
		p.caller.drain()
	}
	p.emit(event.DrainStarted, "waiting", len(p.Pending()))
}

// Pending names the work that a stopping process waits for.
func (p *Process) Pending() []string {
	if p.runner != nil {
		return p.runner.waiting()
	}
	return p.caller.waiting()
}

// Abort ends the process at once and returns the names of the work that is lost
// by it.
func (p *Process) Abort() []string {
	p.leave()
	names := p.Pending()
	if p.runner != nil {
		p.runner.cutAll()
	} else {
		p.caller.cutAll()
	}
	p.mu.Lock()
	p.cut = append(p.cut, names...)
	p.mu.Unlock()
	for _, name := range names {
		p.emit(event.WorkAborted, "work", name)
	}
	p.end()
	return names
}

// cutError returns an error that names what was cut; nil when nothing was.
func (p *Process) cutError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.cut) == 0 {
		return nil
	}
	return fault.New("Process.Run", WorkAborted, "cut: %s", strings.Join(p.cut, "; "))
}
