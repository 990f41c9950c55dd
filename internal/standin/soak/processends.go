package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/protocol/direct"
)

// Times of processes that end without notice.
const (
	firstProcessEnd  = 1500 * time.Millisecond
	minProcessEndGap = 500 * time.Millisecond
	processEndSpread = 1200 * time.Millisecond
	// shapedShare is the share of the clients' requests that have a shape, besides those of
	// residents.
	shapedShare = 0.4
	// plainEndWait is how long after it was sent the process of a plain request is asked whether
	// it serves: two thirds of the latency objective, less what a call takes.
	plainEndWait = plainObjective*2/3 - 100*time.Millisecond
)

// lingerTimes are the times for which a process that was told to stop still serves.
var lingerTimes = []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond}

// Bounds for unframed streams whose last event a client has received.
const (
	// minUnframed is the number of them from which on their share counts.
	minUnframed = 12
	// minWholeShare is the least share of them that ends as whole.
	minWholeShare = 0.5
)

var processEnded = action{name: "processesEnded", run: endProcesses}

// newProcessEnds returns a plan of targets that are told to stop and come back in place.
func newProcessEnds(opts Options, r *rand.Rand) plan {
	var p plan
	for at := firstProcessEnd; at < opts.Duration; at += minProcessEndGap + randomDuration(processEndSpread, r) {
		p = append(p, step{at: at, action: processEnded, selector: r.Uint64()})
	}
	return p
}

// processEnd says whether a process has been told to stop. It is safe for concurrent use.
type processEnd struct {
	mu sync.Mutex
	// told is closed when the process is told to stop.
	told chan struct{}
	// at is when the process will end; zero until it is told to stop.
	at time.Time
}

func newProcessEnd() *processEnd { return &processEnd{told: make(chan struct{})} }

// begin tells the process to stop, which ends after a time.
func (e *processEnd) begin(linger time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.at = time.Now().Add(linger)
	close(e.told)
}

// forget begins anew for the next process.
func (e *processEnd) forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.at, e.told = time.Time{}, make(chan struct{})
}

// begun reports whether the process has been told to stop.
func (e *processEnd) begun() bool { return !e.time().IsZero() }

// time returns when the process will end; zero if it was not told to stop.
func (e *processEnd) time() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.at
}

// wait waits for d, or until the process is told to stop. It returns false if ctx ends first.
func (e *processEnd) wait(ctx context.Context, d time.Duration) bool {
	e.mu.Lock()
	told := e.told
	e.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-told:
	case <-time.After(d):
	}
	return true
}

// endProcesses tells an engine and a target of the plain service to stop. Without LatePlainEnds
// the latter comes back only after the entries have asked for its process, because health checks
// don't name its start.
func endProcesses(ctx context.Context, w *world, s *step) {
	r := rand.New(rand.NewPCG(s.selector, processEndRandomStream))
	targets := []*replica{w.replicas[r.IntN(shopReplicas)], w.engine(s)}
	var ended sync.WaitGroup
	for i, p := range targets {
		linger, downtime := lingerTimes[r.IntN(len(lingerTimes))], randomDuration(targetTTL, r)
		if i == 0 && !w.opts.LatePlainEnds {
			downtime = max(downtime, plainObjective)
		}
		ended.Go(func() { p.endWithoutNotice(ctx, linger, downtime) })
	}
	ended.Wait()
}

// endWithoutNotice tells the target to stop. It ends its unframed answers, serves for a while without
// saying that it is leaving, ends, and comes back in place.
func (p *replica) endWithoutNotice(ctx context.Context, linger, downtime time.Duration) {
	if !p.restartMu.TryLock() {
		return
	}
	defer p.restartMu.Unlock()
	p.ends.begin(linger)
	sleep(ctx, linger)
	p.replaceLocked(ctx, replacement{downtime: downtime, recordDelay: lateRecord})
}

// waitInStream waits for d before the next event of a stream. It returns false if ctx ends first.
// The wait ends when the process is told to stop and ends such streams early.
func (p *replica) waitInStream(ctx context.Context, s *stream, d time.Duration) bool {
	if s.unframed {
		return p.ends.wait(ctx, d)
	}
	if mayEndChunked(ctx, s) {
		return p.departure.stop.wait(ctx, d)
	}
	return sleep(ctx, d)
}

// closesStream reports whether the process ends a stream now, because it was told to stop.
func (p *replica) closesStream(ctx context.Context, s *stream) bool {
	if p.endsChunked(ctx, s) {
		return true
	}
	if !s.unframed || !p.ends.begun() {
		return false
	}
	p.w.history.count("ended early " + prefixOf(s.path))
	return true
}

// prefixOf returns the prefix of a route's path.
func prefixOf(path string) string {
	end := strings.IndexByte(path[1:], '/')
	return path[:end+2]
}

// unframesPlain reports whether a plain answer has neither a length nor chunks.
func (p *replica) unframesPlain(form *shape) bool {
	return p.w.opts.ProcessEnds && form != nil && form.unframed
}

// servePlainUnframed answers with a body that has neither a length nor chunks, after its work. If the
// process was told to stop, it sends a part of the body at once.
func (p *replica) servePlainUnframed(ctx context.Context, w http.ResponseWriter, attempt direct.AttemptID, path, body string, work time.Duration) {
	arrived := time.Now()
	if !p.ends.wait(ctx, work) {
		return
	}
	answer := plainAnswer(attempt, body)
	if p.closesPlain(attempt) {
		p.w.history.count("ended early " + prefixOf(path))
		answer = answer[:len(answer)/2]
	} else if !sleep(ctx, time.Until(arrived.Add(work))) {
		return
	}
	encodeSuccess(w, attempt)
	w.Header().Set("Transfer-Encoding", "identity")
	_, _ = io.WriteString(w, answer)
	// The connection is closed in any case.
	_ = http.NewResponseController(w).Flush()
}

// closesPlain reports whether the process breaks off a plain answer now, because it was told to
// stop. Without LatePlainEnds it does so only if it ends before an entry can ask for it.
func (p *replica) closesPlain(attempt direct.AttemptID) bool {
	at := p.ends.time()
	if at.IsZero() {
		return false
	}
	return p.w.opts.LatePlainEnds || at.Before(p.w.history.sentAt(attempt).Add(plainEndWait))
}

// countUnframed counts an unframed stream whose last event a client has received, and whether it has
// ended as whole.
func (c *client) countUnframed(q *request, whole bool) {
	if q.shape == nil || !q.shape.unframed {
		return
	}
	if !q.gotAll {
		q.gotAll = true
		c.w.history.count("unframed complete " + prefixOf(q.path))
	}
	if whole {
		c.w.history.count("unframed whole " + prefixOf(q.path))
	}
}

// checkProcessEnds records a violation if the run met no stream that it was planned for, or if
// too few unframed streams ended as whole.
func (w *world) checkProcessEnds() {
	if !w.opts.ProcessEnds {
		return
	}
	for _, prefix := range []string{streamPath, oncePath} {
		complete, whole := w.history.countOf("unframed complete "+prefix), w.history.countOf("unframed whole "+prefix)
		if w.history.countOf("ended early "+prefix) == 0 {
			w.history.recordViolation(PlanMet, "", "no unframed answer to %s was ended early", prefix)
		}
		if complete >= minUnframed && float64(whole) < minWholeShare*float64(complete) {
			w.history.recordViolation(SoundEnds, "", "%d of %d unframed answers to %s ended as whole after their last event", whole, complete, prefix)
		}
	}
}
