package direct

import (
	"context"
	"net/http"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
)

const (
	// rerouteTime is how long clients may still be routed to an entry after it has
	// become unready.
	rerouteTime = 2500 * time.Millisecond
	// graceMargin is the time before the end of the grace time at which running
	// requests are aborted.
	graceMargin = 400 * time.Millisecond
	// abortTime limits the time in which aborted requests are answered, and flushTimeout
	// the time in which the last bytes of answers are sent. Both lie within graceMargin.
	abortTime    = 150 * time.Millisecond
	flushTimeout = 100 * time.Millisecond
	// drainPollInterval is how often a draining entry checks for running requests.
	drainPollInterval = 50 * time.Millisecond
	abortPollInterval = 5 * time.Millisecond
)

// drain waits until no stream is running and clients are no longer routed here.
// Then it refuses new requests and waits for the running ones. Shortly before the end
// of the grace time, it aborts those that are left.
func (e *Entry) drain() error {
	start := e.deps.Clock.Now()
	e.drainStart.Store(&start)
	e.draining.Store(true)
	e.endStopping()
	e.deps.Log.Emit(event.DrainStarted, "active", e.activeRequests.Load(), "streams", e.activeStreams.Load())
	end := e.drainEnd(start)
	for now := start; now.Before(end); now = e.deps.Clock.Now() {
		if now.Sub(start) >= rerouteTime && e.activeStreams.Load() == 0 {
			e.closing.Store(true)
		}
		if e.closing.Load() && e.activeRequests.Load() == 0 {
			break
		}
		e.deps.Clock.Sleep(drainPollInterval)
	}
	e.closing.Store(true)
	remaining := e.activeRequests.Load()
	if remaining == 0 {
		e.deps.Log.Emit(event.DrainEnded, "took", e.deps.Clock.Since(start))
		return nil
	}
	e.deps.Log.Emit(event.WorkAborted, "active", remaining)
	e.abortWork()
	return fault.New("Entry.drain", DrainIncomplete, "grace time expired with %d requests still running", remaining)
}

// abortWork ends the running requests. Those whose answer has not begun are answered
// with an error.
func (e *Entry) abortWork() {
	e.endWorking()
	end := e.deps.Clock.Now().Add(abortTime)
	for e.activeRequests.Load() > 0 && e.deps.Clock.Now().Before(end) {
		e.deps.Clock.Sleep(abortPollInterval)
	}
}

// closeServer closes the clients' connections once the answers that requests ended with
// have been sent.
func (e *Entry) closeServer() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if e.server.Shutdown(ctx) != nil {
		// The process is ending, so an error of closing doesn't matter.
		_ = e.server.Close()
	}
}

func (e *Entry) drainEnd(start time.Time) time.Time {
	return start.Add(e.cfg.Limits.Grace() - graceMargin)
}

// stopped reports whether running requests have been aborted.
func (e *Entry) stopped() bool { return e.working.Err() != nil }

// stopsFirst reports whether the entry stops before the request would end if it were sent
// to a target now.
func (c *call) stopsFirst() bool {
	return c.e.closing.Load() || (c.e.draining.Load() && c.now().After(c.latestStart()))
}

// stopsFirst reports the same of a stream. One that has begun goes on as long as it can.
func (s *stream) stopsFirst() bool {
	if s.headSent {
		return s.c.e.stopped()
	}
	return s.c.stopsFirst()
}

// latestStart returns the latest time at which the request may be sent to a target, so that
// it ends before the entry stops. That is certain if its deadline is earlier. Otherwise the
// usual time decides, for requests that may be repeated and come while clients are still
// routed here.
func (c *call) latestStart() time.Time {
	start := c.e.drainStart.Load()
	if start == nil || !c.deadline.After(c.e.drainEnd(*start)) {
		return c.deadline
	}
	if !c.route.Idempotent() {
		return *start
	}
	likely := c.e.drainEnd(*start).Add(-c.expectedTime())
	if rerouted := start.Add(rerouteTime); rerouted.Before(likely) {
		return rerouted
	}
	return likely
}

// expectedTime returns the time within which requests of the route usually
// finish.
func (c *call) expectedTime() time.Duration {
	if c.route.Kind == catalog.Streaming {
		return c.e.likelyStreamTime(c.service)
	}
	return expectedPlainTime
}

// limitBodyTime ends the reading of the body once it comes too late for the request to be
// sent, also if the entry is told to stop meanwhile. The returned function ends that.
func (c *call) limitBodyTime() (stop func()) {
	l := &readLimit{out: http.NewResponseController(c.w)}
	l.set(c.latestStart())
	cancel := context.AfterFunc(c.e.stopping, func() { l.set(c.latestStart()) })
	return func() {
		cancel()
		l.end()
	}
}

// readLimit is the read deadline of a client's connection while a body is read. It is safe
// for concurrent use.
type readLimit struct {
	out *http.ResponseController

	mu    sync.Mutex
	ended bool
}

func (l *readLimit) set(t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		// A connection that is closed is noticed by the reading.
		_ = l.out.SetReadDeadline(t)
	}
}

// end removes the deadline, because the server reads from the connection until the request
// ends.
func (l *readLimit) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	_ = l.out.SetReadDeadline(time.Time{})
}
