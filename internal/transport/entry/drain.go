package entry

import (
	"context"
	"strings"
	"time"

	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/timing"
)

// Timing of a drain.
const (
	// drainPollInterval is the time between two checks whether the work is done.
	drainPollInterval = 50 * time.Millisecond
	// drainLogInterval is the time between two log lines of a long drain.
	drainLogInterval = 30 * time.Second
	// deregistrationDelay is how long a leaving entry still accepts new requests,
	// so that the load balancer and the other entries notice that it leaves.
	deregistrationDelay = time.Second
	// flushTimeout limits the time to send the last bytes to callers and peers.
	flushTimeout = 3 * time.Second
)

// drain stops accepting new work and waits until none is left or Abort is called.
func (p *Process) drain() {
	p.mu.Lock()
	p.drainStartedAt = p.deps.Clock.Now()
	p.mu.Unlock()
	p.leaving.Store(true)
	p.emit(event.DrainStarted, "waiting", len(p.Pending()))
	timing.Sleep(p.runCtx, p.deps.Clock, deregistrationDelay)
	p.coordinator.Drain()
	ticker := p.deps.Clock.NewTicker(drainPollInterval)
	defer ticker.Stop()
	logged := p.deps.Clock.Now()
	for {
		waiting := p.Pending()
		if len(waiting) == 0 {
			return
		}
		if now := p.deps.Clock.Now(); now.Sub(logged) >= drainLogInterval {
			logged = now
			p.emit(event.DrainWaiting, "count", len(waiting), "work", strings.Join(waiting, "; "))
		}
		select {
		case <-p.runCtx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// Pending returns the ids of the requests that a stopping process waits for.
func (p *Process) Pending() []string {
	var names []string
	for _, r := range p.coordinator.Pending() {
		names = append(names, string(r))
	}
	for _, r := range p.callCoordinator.Pending() {
		names = append(names, string(r))
	}
	return names
}

// Abort ends the process at once and returns the ids of the requests that are
// lost.
func (p *Process) Abort() []string {
	names := p.Pending()
	p.mu.Lock()
	p.aborted = append(p.aborted, names...)
	p.mu.Unlock()
	for _, name := range names {
		p.emit(event.WorkAborted, "work", name)
	}
	p.cancelRun()
	return names
}

// abortError returns an error that lists the aborted requests, or nil if there
// are none.
func (p *Process) abortError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.aborted) == 0 {
		return nil
	}
	return fault.New("Process.Run", WorkAborted, "work aborted by a forced stop: %s", strings.Join(p.aborted, "; "))
}

// stop closes the listeners after the last bytes of finished answers are sent.
func (p *Process) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if p.callerServer.Shutdown(ctx) != nil {
		_ = p.callerServer.Close()
	}
	p.coordinator.Close()
	p.stopPeers(ctx)
	p.pool.Close()
}

func (p *Process) stopPeers(ctx context.Context) {
	stopped := make(chan struct{})
	go func() {
		p.grpcServer.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-ctx.Done():
		p.grpcServer.Stop()
		<-stopped
	}
}
