package engine

import (
	"context"
	"sync"
)

// faults are the failures in force. The engine's lock guards them.
type faults struct {
	dead        bool
	refuse      bool
	ignoreFence bool
	slow        float64
	marker      string
	stallAll    bool
	stalled     map[string]bool
}

func newFaults(ignoreFence bool) faults {
	return faults{slow: 1, ignoreFence: ignoreFence, stalled: map[string]bool{}}
}

// stalls reports whether the request's tokens stop.
func (f *faults) stalls(request string) bool { return f.stallAll || f.stalled[request] }

// gate holds the engine's work back while it is closed. The zero value is
// open.
type gate struct {
	mu sync.Mutex
	// closed is closed by open; nil while the gate is open.
	closed chan struct{}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

// wait returns once the gate is open, or with ctx's error.
func (g *gate) wait(ctx context.Context) error {
	for {
		g.mu.Lock()
		closed := g.closed
		g.mu.Unlock()
		if closed == nil {
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-closed:
		}
	}
}

// Crash ends the engine as kill -9 does: all connections are cut, new ones are
// refused, and the cache is lost.
func (e *Engine) Crash() {
	e.mu.Lock()
	died := !e.faults.dead
	e.faults.dead = true
	onDeath := e.onDeath
	e.mu.Unlock()
	if !died {
		return
	}
	e.counts.deaths.Add(1)
	e.life.Add(1)
	e.sendBudget.Store(0)
	e.abortAll()
	e.gate.open()
	if onDeath != nil {
		onDeath()
	}
}

// Crashed reports whether the engine has died and was not revived.
func (e *Engine) Crashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.dead
}

// Restart starts a dead engine anew: with an empty cache, without faults, and
// with no memory of orders. It fails when a Server's address is taken.
func (e *Engine) Restart() error {
	e.mu.Lock()
	revived := e.faults.dead
	if revived {
		e.boot()
	}
	onRevival := e.onRevival
	e.mu.Unlock()
	e.signal()
	if revived && onRevival != nil {
		return onRevival()
	}
	return nil
}

// CrashAfterTokens makes the engine die once n more tokens have been sent.
func (e *Engine) CrashAfterTokens(n int) { e.sendBudget.Store(int64(n)) }

// CrashOnPrompt makes the engine die when a prompt that contains marker starts to run;
// an empty marker ends this.
func (e *Engine) CrashOnPrompt(marker string) {
	e.set(func(f *faults) { f.marker = marker })
}

// Pause stops the engine as SIGSTOP does: connections stay open and nothing is
// sent, health checks included.
func (e *Engine) Pause() { e.gate.close() }

// Resume ends a pause.
func (e *Engine) Resume() { e.gate.open() }

// Stall stops the tokens of one request, or of all when request is empty,
// while the engine goes on otherwise.
func (e *Engine) Stall(request string) {
	e.set(func(f *faults) {
		if request == "" {
			f.stallAll = true
			return
		}
		f.stalled[request] = true
	})
}

// Unstall ends the stall of one request, or all stalls when request is empty.
func (e *Engine) Unstall(request string) {
	e.set(func(f *faults) {
		if request == "" {
			f.stallAll, f.stalled = false, map[string]bool{}
			return
		}
		delete(f.stalled, request)
	})
}

// SetSlowdown multiplies all costs of steps by factor.
func (e *Engine) SetSlowdown(factor float64) {
	e.set(func(f *faults) { f.slow = factor })
}

// SetRefusing makes the engine answer new generations with 503, or ends this.
func (e *Engine) SetRefusing(on bool) {
	e.set(func(f *faults) { f.refuse = on })
}

// SetIgnoreFence makes the engine carry out orders with an old fencing number, or
// ends this.
func (e *Engine) SetIgnoreFence(on bool) {
	e.set(func(f *faults) { f.ignoreFence = on })
}

// LoseCacheEvents loses the next n cache events; their numbers are used up.
func (e *Engine) LoseCacheEvents(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.losing = n
}

// ClearCache empties the prefix cache.
func (e *Engine) ClearCache() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.clear()
}

func (e *Engine) set(change func(*faults)) {
	e.mu.Lock()
	change(&e.faults)
	e.mu.Unlock()
	e.signal()
}

// reserve asks to send n tokens. It returns how many may be sent, and whether
// the engine dies after them.
func (e *Engine) reserve(n int) (allowed int, last bool) {
	for {
		left := e.sendBudget.Load()
		if left < 0 {
			return n, false
		}
		take := min(int64(n), left)
		if e.sendBudget.CompareAndSwap(left, left-take) {
			return int(take), left == take && n > 0
		}
	}
}
