package entry

import (
	"context"
	"strings"
	"time"

	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// Timing of a drain.
const (
	// drainLook is the time between two looks whether the work is done.
	drainLook = 50 * time.Millisecond
	// drainLogEvery is the time between two log lines of a long drain.
	drainLogEvery = 30 * time.Second
	// leaveNotice is how long a leaving entry still takes new requests, so that
	// the balancer and the other entries learn that it leaves.
	leaveNotice = time.Second
	// flushTimeout is how long the last bytes may take to leave.
	flushTimeout = 3 * time.Second
)

// drain stops taking new work and waits until none is left or the process was
// cut.
func (p *Process) drain() {
	p.mu.Lock()
	p.leftAt = p.deps.Clock.Now()
	p.mu.Unlock()
	p.leaving.Store(true)
	p.emit(event.DrainStarted, "waiting", len(p.Pending()))
	p.pause(leaveNotice)
	p.desk.Drain()
	ticker := p.deps.Clock.NewTicker(drainLook)
	defer ticker.Stop()
	logged := p.deps.Clock.Now()
	for {
		waiting := p.Pending()
		if len(waiting) == 0 {
			return
		}
		if now := p.deps.Clock.Now(); now.Sub(logged) >= drainLogEvery {
			logged = now
			p.emit(event.DrainWaiting, "count", len(waiting), "work", strings.Join(waiting, "; "))
		}
		select {
		case <-p.life.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (p *Process) pause(d time.Duration) {
	select {
	case <-p.life.Done():
	case <-p.deps.Clock.After(d):
	}
}

// Pending names the work that a stopping process waits for.
func (p *Process) Pending() []string {
	var names []string
	for _, r := range p.desk.Pending() {
		names = append(names, string(r))
	}
	for _, r := range p.counter.Pending() {
		names = append(names, string(r))
	}
	return names
}

// Abort ends the process at once and returns the names of the work that is lost
// by it.
func (p *Process) Abort() []string {
	names := p.Pending()
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

// stop closes the listeners, letting the last bytes of ended answers leave.
func (p *Process) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if p.callers.Shutdown(ctx) != nil {
		_ = p.callers.Close()
	}
	p.desk.Close()
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
