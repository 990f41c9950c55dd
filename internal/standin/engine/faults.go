package engine

import (
	"context"
	"sync"
)

// faults are the active faults. They are guarded by Engine.mu.
type faults struct {
	crashed     bool
	refusing    bool
	ignoreFence bool
	slowdown    float64
	crashMarker string
	stallAll    bool
	stalled     map[string]bool
}

func newFaults(ignoreFence bool) faults {
	return faults{slowdown: 1, ignoreFence: ignoreFence, stalled: map[string]bool{}}
}

// isStalled reports whether the request generates no tokens because of a fault.
func (f *faults) isStalled(request string) bool { return f.stallAll || f.stalled[request] }

// pauser blocks the engine's work during a pause. The zero value is not paused.
type pauser struct {
	mu sync.Mutex
	// resumed is closed at the end of the pause. It is nil if there is no pause.
	resumed chan struct{}
}

func (p *pauser) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		p.resumed = make(chan struct{})
	}
}

func (p *pauser) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

// wait blocks during a pause, until ctx ends at the latest. It returns ctx's error if
// ctx has ended.
func (p *pauser) wait(ctx context.Context) error {
	for {
		p.mu.Lock()
		resumed := p.resumed
		p.mu.Unlock()
		if resumed == nil {
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-resumed:
		}
	}
}

// Crash stops the engine as kill -9 does: it closes all connections, refuses new
// ones and loses the cache.
func (e *Engine) Crash() {
	e.mu.Lock()
	first := !e.faults.crashed
	e.faults.crashed = true
	onCrash := e.onCrash
	e.mu.Unlock()
	if !first {
		return
	}
	e.counts.crashes.Add(1)
	e.incarnation.Add(1)
	e.sendBudget.Store(0)
	e.abortAll()
	e.pauser.resume()
	if onCrash != nil {
		onCrash()
	}
}

// Crashed reports whether the engine has crashed and was not restarted.
func (e *Engine) Crashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.crashed
}

// Restart starts a crashed engine again, with an empty cache, without faults and
// without a record of earlier orders. With a Server, it fails if the address is in
// use.
func (e *Engine) Restart() error {
	e.mu.Lock()
	crashed := e.faults.crashed
	if crashed {
		e.reset()
	}
	onRestart := e.onRestart
	e.mu.Unlock()
	e.wakeScheduler()
	if crashed && onRestart != nil {
		return onRestart()
	}
	return nil
}

// CrashAfterTokens makes the engine crash once n more tokens have been sent.
func (e *Engine) CrashAfterTokens(n int) { e.sendBudget.Store(int64(n)) }

// CrashOnPrompt makes the engine crash when a prompt that contains marker starts to
// run. An empty marker turns this off.
func (e *Engine) CrashOnPrompt(marker string) {
	e.updateFaults(func(f *faults) { f.crashMarker = marker })
}

// Pause stops the engine as SIGSTOP does: connections stay open, but nothing is
// sent, and health checks are not answered either.
func (e *Engine) Pause() { e.pauser.pause() }

// Resume ends a pause.
func (e *Engine) Resume() { e.pauser.resume() }

// Stall stops token generation for one request, or for all requests if request is
// empty. Everything else in the engine continues.
func (e *Engine) Stall(request string) {
	e.updateFaults(func(f *faults) {
		if request == "" {
			f.stallAll = true
			return
		}
		f.stalled[request] = true
	})
}

// Unstall ends the stall of one request, or all stalls if request is empty.
func (e *Engine) Unstall(request string) {
	e.updateFaults(func(f *faults) {
		if request == "" {
			f.stallAll, f.stalled = false, map[string]bool{}
			return
		}
		delete(f.stalled, request)
	})
}

// SetSlowdown sets the factor by which the costs of all steps are multiplied.
func (e *Engine) SetSlowdown(factor float64) {
	e.updateFaults(func(f *faults) { f.slowdown = factor })
}

// SetRefusing sets whether the engine answers new generations and health checks with
// 503.
func (e *Engine) SetRefusing(on bool) {
	e.updateFaults(func(f *faults) { f.refusing = on })
}

// SetIgnoreFence sets whether the engine applies orders with an outdated fencing
// number.
func (e *Engine) SetIgnoreFence(on bool) {
	e.updateFaults(func(f *faults) { f.ignoreFence = on })
}

// LoseCacheEvents drops the next n cache events. Their numbers are used up, so that
// readers see a gap.
func (e *Engine) LoseCacheEvents(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.eventsToDrop = n
}

// ClearCache empties the prefix cache.
func (e *Engine) ClearCache() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.clear()
}

func (e *Engine) updateFaults(change func(*faults)) {
	e.mu.Lock()
	change(&e.faults)
	e.mu.Unlock()
	e.wakeScheduler()
}

// reserveTokens takes up to n tokens from the send budget. It returns how many may
// be sent, and whether the engine must crash after them.
func (e *Engine) reserveTokens(n int) (allowed int, last bool) {
	for {
		budget := e.sendBudget.Load()
		if budget < 0 {
			return n, false
		}
		taken := min(int64(n), budget)
		if e.sendBudget.CompareAndSwap(budget, budget-taken) {
			return int(taken), budget == taken && n > 0
		}
	}
}
