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

// maxBehind is how far the schedule may lag behind the clock before the engine
// gives up catching up.
const maxBehind = 50 * time.Millisecond

// counters are the engine's work since it was made; deaths do not reset them.
type counters struct {
	prefilled, cached, decoded, sent      atomic.Int64
	started, finished, cancelled, refused atomic.Int64
	deaths                                atomic.Int64
}

// Stats are the engine's counters.
type Stats struct {
	// PrefilledTokens and Cached count the prompt and prefix tokens that were
	// computed and that came from the cache.
	PrefilledTokens int64 `json:"prefilled"`
	CachedTokens    int64 `json:"cached"`
	// DecodedTokens counts generated tokens and Sent those given to a connection.
	DecodedTokens int64 `json:"decoded"`
	SentTokens    int64 `json:"sent"`
	// Started, Finished and Cancelled count generations; a generation that a
	// death ended is in none of the last two.
	Started   int64 `json:"started"`
	Finished  int64 `json:"finished"`
	Cancelled int64 `json:"cancelled"`
	// Refused counts the requests that a fault command refused.
	Refused int64 `json:"refused"`
	Crashes int64 `json:"deaths"`
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	// Requests lists the generations that run, with what they have generated.
	Requests []RunningRequest `json:"requests"`
}

// RunningRequest is one generation that runs.
type RunningRequest struct {
	RequestID string `json:"request"`
	// TokenCount counts the answer's tokens, the prefix included.
	TokenCount int `json:"produced"`
}

// Stats returns the counters as they stand.
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
		Crashes:         e.counts.deaths.Load(),
		Running:         len(e.running),
		Waiting:         len(e.queue),
		Requests:        make([]RunningRequest, 0, len(e.running)),
	}
	for _, r := range e.running {
		s.Requests = append(s.Requests, RunningRequest{RequestID: r.request, TokenCount: r.produced})
	}
	return s
}

// schedule is the engine's one duty: it steps the batch until ctx ends.
func (e *Engine) schedule(ctx context.Context) {
	defer close(e.done)
	due := e.clock.Now()
	for e.gate.wait(ctx) == nil {
		cost, busy, doomed := e.plan()
		if doomed {
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
		if e.gate.wait(ctx) != nil {
			return
		}
		e.step()
	}
}

// sleep waits until cost has passed since due, and returns that moment.
// Working from due keeps the pace when the machine's timers are late.
func (e *Engine) sleep(ctx context.Context, due time.Time, cost time.Duration) time.Time {
	due = due.Add(cost)
	wait := due.Sub(e.clock.Now())
	if wait < -maxBehind {
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

// plan admits what the slots allow and sets what the next step does. It
// returns the step's time and whether there is a step to do; doomed says that
// a prompt with the fault's marker was about to run.
func (e *Engine) plan() (cost time.Duration, busy, doomed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.dead {
		return 0, false, false
	}
	if e.admit() {
		return 0, false, true
	}
	prefill, active := e.opts.PrefillChunk, 0
	for _, s := range e.running {
		s.stalled = e.faults.stalls(s.request)
		if s.stalled {
			continue
		}
		active++
		s.planned = min(prefill, s.prefillLeft)
		prefill -= s.planned
	}
	if active == 0 {
		return 0, false, false
	}
	costs := e.opts.Costs
	cost = costs.Step + time.Duration(active)*costs.StepPerGeneration +
		time.Duration(e.opts.PrefillChunk-prefill)*costs.Prefill
	cost = time.Duration(float64(cost) * e.faults.slow)
	e.lastStep = cost
	return cost, true, false
}

// admit moves streams from the queue into free slots and reports whether one
// of them has the fault's marker.
func (e *Engine) admit() (doomed bool) {
	for len(e.running) < e.opts.Slots && len(e.queue) > 0 {
		s := heap.Pop(&e.queue).(*stream)
		if e.faults.marker != "" && strings.Contains(s.prompt, e.faults.marker) {
			heap.Push(&e.queue, s)
			return true
		}
		s.admit(e.cache.match(s.hashes))
		e.counts.cached.Add(int64(s.cached))
		e.running = append(e.running, s)
	}
	return false
}

// step carries out what plan has set.
func (e *Engine) step() {
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

// advance prefills s by what was planned and, once its input is computed,
// generates one token. It reports whether the answer has ended.
func (e *Engine) advance(s *stream) (ended bool) {
	if s.prefillLeft > 0 {
		e.counts.prefilled.Add(int64(s.planned))
		s.prefillLeft -= s.planned
		if s.prefillLeft > 0 {
			return false
		}
		for _, h := range s.hashes {
			e.cache.store(h)
		}
		s.hashes = nil
	}
	if s.produced >= s.limit {
		return true
	}
	id := s.text.Peek()
	if hash, full := s.accept(id); full {
		e.cache.store(hash)
	}
	s.decoded++
	e.counts.decoded.Add(1)
	s.push(id)
	return s.produced >= s.limit
}

// enqueue hands s to the scheduler; it reports false when the engine is dead.
func (e *Engine) enqueue(s *stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.dead {
		return false
	}
	e.nextSeq++
	s.seq = e.nextSeq
	heap.Push(&e.queue, s)
	e.counts.started.Add(1)
	e.signal()
	return true
}

// remove cancels s when it still waits or runs.
func (e *Engine) remove(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.position >= 0 {
		heap.Remove(&e.queue, s.position)
		e.counts.cancelled.Add(1)
		return
	}
	i := slices.Index(e.running, s)
	if i < 0 {
		return
	}
	e.running = slices.Delete(e.running, i, i+1)
	e.counts.cancelled.Add(1)
	e.signal()
}

// abortAll cuts all streams.
func (e *Engine) abortAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.running {
		s.abort()
	}
	for _, s := range e.queue {
		s.position = -1
		s.abort()
	}
	e.running, e.queue = nil, nil
}
