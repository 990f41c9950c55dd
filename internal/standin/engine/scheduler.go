package engine

import (
	"container/heap"
	"context"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// maxScheduleLag is how far the steps may lag behind the clock. If they lag further,
// the engine stops catching up and continues from the current time.
const maxScheduleLag = 50 * time.Millisecond

// counters count the engine's work since New. Crashes do not reset them.
type counters struct {
	prefilled, cached, decoded, sent      atomic.Int64
	started, finished, cancelled, refused atomic.Int64
	crashes                               atomic.Int64
}

// Stats are the engine's counters.
type Stats struct {
	// PrefilledTokens and CachedTokens count the prompt and prefix tokens that were
	// computed and those that came from the cache.
	PrefilledTokens int64 `json:"prefilled"`
	CachedTokens    int64 `json:"cached"`
	// DecodedTokens counts generated tokens, SentTokens those written to a
	// connection.
	DecodedTokens int64 `json:"decoded"`
	SentTokens    int64 `json:"sent"`
	// Started, Finished and Cancelled count generations. A generation that was
	// aborted by a crash is in neither of the last two.
	Started   int64 `json:"started"`
	Finished  int64 `json:"finished"`
	Cancelled int64 `json:"cancelled"`
	// Refused counts the requests refused because of a fault command.
	Refused int64 `json:"refused"`
	Crashes int64 `json:"deaths"`
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	// Requests lists the running generations.
	Requests []RunningRequest `json:"requests"`
}

// RunningRequest is a running generation.
type RunningRequest struct {
	RequestID string `json:"request"`
	// TokenCount is the number of the answer's tokens so far, including the prefix.
	TokenCount int `json:"produced"`
}

// Stats returns the current counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Stats{
		PrefilledTokens: e.counts.prefilled.Load(),
		CachedTokens:    e.counts.cached.Load(),
		DecodedTokens:   e.counts.decoded.Load(),
		SentTokens:      e.counts.sent.Load(),
		Started:         e.counts.started.Load(),
		Finished:        e.counts.finished.Load(),
		Cancelled:       e.counts.cancelled.Load(),
		Refused:         e.counts.refused.Load(),
		Crashes:         e.counts.crashes.Load(),
		Running:         len(e.running),
		Waiting:         len(e.queue),
		Requests:        make([]RunningRequest, 0, len(e.running)),
	}
	for _, r := range e.running {
		s.Requests = append(s.Requests, RunningRequest{RequestID: r.request, TokenCount: r.tokenCount})
	}
	return s
}

// schedule runs the steps of the batch until ctx ends.
func (e *Engine) schedule(ctx context.Context) {
	defer close(e.done)
	due := e.clock.Now()
	for e.pauser.wait(ctx) == nil {
		cost, busy, crash := e.planStep()
		if crash {
			e.Crash()
			continue
		}
		if !busy {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
				due = e.clock.Now()
				continue
			}
		}
		due = e.sleep(ctx, due, cost)
		if e.pauser.wait(ctx) != nil {
			return
		}
		e.runStep()
	}
}

// sleep waits until cost has passed since due, and returns that time. Counting from
// due instead of from now keeps the average step time when timers fire late.
func (e *Engine) sleep(ctx context.Context, due time.Time, cost time.Duration) time.Time {
	due = due.Add(cost)
	wait := due.Sub(e.clock.Now())
	if wait < -maxScheduleLag {
		due = e.clock.Now()
	}
	if wait <= 0 {
		runtime.Gosched()
		return due
	}
	timer := e.clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
	return due
}

// planStep admits queued streams and plans the next step. It returns the step's
// cost and whether there is a step to run. crash reports that a prompt with the
// marker of CrashOnPrompt was about to run.
func (e *Engine) planStep() (cost time.Duration, busy, crash bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.crashed {
		return 0, false, false
	}
	if e.admit() {
		return 0, false, true
	}
	prefillLeft, active := e.opts.PrefillChunk, 0
	for _, s := range e.running {
		s.stalled = e.faults.isStalled(s.request)
		if s.stalled {
			continue
		}
		active++
		s.plannedPrefill = min(prefillLeft, s.prefillLeft)
		prefillLeft -= s.plannedPrefill
	}
	if active == 0 {
		return 0, false, false
	}
	costs := e.opts.Costs
	cost = costs.Step + time.Duration(active)*costs.StepPerGeneration +
		time.Duration(e.opts.PrefillChunk-prefillLeft)*costs.Prefill
	cost = time.Duration(float64(cost) * e.faults.slowdown)
	e.lastStep = cost
	return cost, true, false
}

// admit moves streams from the queue into free slots. It stops and returns true at
// a prompt with the marker of CrashOnPrompt.
func (e *Engine) admit() (crash bool) {
	for len(e.running) < e.opts.Slots && len(e.queue) > 0 {
		s := heap.Pop(&e.queue).(*stream)
		if e.faults.crashMarker != "" && strings.Contains(s.prompt, e.faults.crashMarker) {
			heap.Push(&e.queue, s)
			return true
		}
		s.admit(e.cache.match(s.hashes))
		e.counts.cached.Add(int64(s.cachedTokens))
		e.running = append(e.running, s)
	}
	return false
}

// runStep runs the step that planStep has planned.
func (e *Engine) runStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = slices.DeleteFunc(e.running, func(s *stream) bool {
		if s.stalled || !e.advance(s) {
			return false
		}
		e.counts.finished.Add(1)
		s.finish()
		return true
	})
}

// advance prefills the planned number of tokens of s. Once the input is computed, it
// generates one token. It reports whether the answer has ended.
func (e *Engine) advance(s *stream) (ended bool) {
	if s.prefillLeft > 0 {
		e.counts.prefilled.Add(int64(s.plannedPrefill))
		s.prefillLeft -= s.plannedPrefill
		if s.prefillLeft > 0 {
			return false
		}
		for _, h := range s.hashes {
			e.cache.store(h)
		}
		s.hashes = nil
	}
	if s.tokenCount >= s.maxTokens {
		return true
	}
	id := s.generator.Peek()
	if hash, full := s.append(id); full {
		e.cache.store(hash)
	}
	s.decodedTokens++
	e.counts.decoded.Add(1)
	s.pushToken(id)
	return s.tokenCount >= s.maxTokens
}

// enqueue queues s for the scheduler. It returns false if the engine has crashed.
func (e *Engine) enqueue(s *stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.crashed {
		return false
	}
	e.nextSeq++
	s.seq = e.nextSeq
	heap.Push(&e.queue, s)
	e.counts.started.Add(1)
	e.wakeScheduler()
	return true
}

// cancelStream removes s if it is still queued or running.
func (e *Engine) cancelStream(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.queueIndex >= 0 {
		heap.Remove(&e.queue, s.queueIndex)
		e.counts.cancelled.Add(1)
		return
	}
	i := slices.Index(e.running, s)
	if i < 0 {
		return
	}
	e.running = slices.Delete(e.running, i, i+1)
	e.counts.cancelled.Add(1)
	e.wakeScheduler()
}

// abortAll aborts all streams.
func (e *Engine) abortAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.running {
		s.abort()
	}
	for _, s := range e.queue {
		s.queueIndex = -1
		s.abort()
	}
	e.running, e.queue = nil, nil
}
