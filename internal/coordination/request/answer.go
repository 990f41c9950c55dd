package request

import (
	"context"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/merge"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// State is the progress of an answer.
type State string

// States of an answer.
const (
	// StateRunning means that the answer has an attempt or waits for one.
	StateRunning State = "running"
	// StateFinished means that the answer is complete.
	StateFinished State = "finished"
	// StateFailed means that the answer ended before it was complete.
	StateFailed State = "failed"
)

// maxDecisions is the maximum number of decisions kept for one answer.
const maxDecisions = 64

// Decision is one step in the handling of a request, shown to operators.
type Decision struct {
	At     time.Time
	Step   string
	Target id.Target
	Reason string
}

// Answer is the record of one request at its owner. It is safe for concurrent
// use.
type Answer struct {
	mu        sync.Mutex
	cancelRun context.CancelFunc
	// localAttempts means that this entry runs the attempts itself. It is set
	// after the ownership announcement, if no other entry owns the request.
	localAttempts bool
	spec          generation.Spec
	keyed         bool
	epoch         id.Epoch
	attempt       id.Attempt
	merger        *merge.Merger
	state         State
	refusal       *answer.Refusal
	readers       map[*reader]struct{}
	idleSince     time.Time
	endedAt       time.Time
	decisions     []Decision
}

func newAnswer(spec generation.Spec, keyed bool, epoch id.Epoch, now time.Time) *Answer {
	a := &Answer{
		spec:      spec,
		keyed:     keyed,
		epoch:     epoch,
		merger:    merge.New(),
		state:     StateRunning,
		readers:   map[*reader]struct{}{},
		idleSince: now,
	}
	if spec.RestartAllowed {
		a.merger.AllowRestart()
	}
	return a
}

// Spec returns the specification of the generation.
func (a *Answer) Spec() generation.Spec {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.spec
}

// State returns the progress of the answer.
func (a *Answer) State() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}

// Decisions returns a copy of the steps taken so far.
func (a *Answer) Decisions() []Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Decision(nil), a.decisions...)
}

// hasReaders reports whether the answer has open readers.
func (a *Answer) hasReaders() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.readers) > 0
}

// setRun sets the function that cancels the answer's attempts and whether
// this entry runs them (local) or another entry does.
func (a *Answer) setRun(cancel context.CancelFunc, local bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelRun = cancel
	a.localAttempts = local
}

// runsLocally reports whether this entry runs the attempts itself.
func (a *Answer) runsLocally() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.localAttempts
}

// cancel stops the answer's attempts.
func (a *Answer) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelRun != nil {
		a.cancelRun()
	}
}

func (a *Answer) addDecision(d Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.decisions) < maxDecisions {
		a.decisions = append(a.decisions, d)
	}
}

// beginAttempt makes a new attempt the current one and returns its number and
// the prefix that it starts from. The log is never modified in place, so the
// prefix needs no copy.
func (a *Answer) beginAttempt() (id.Attempt, []generation.Token) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempt++
	a.merger.Begin(a.attempt)
	return a.attempt, a.merger.Log()
}

// currentAttempt returns the number of the latest attempt.
func (a *Answer) currentAttempt() id.Attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.attempt
}

// beginRace registers a new attempt that runs in parallel with the current
// one, and returns its number and the prefix that it starts from.
func (a *Answer) beginRace() (id.Attempt, []generation.Token) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempt++
	a.merger.BeginRace(a.attempt)
	return a.attempt, a.merger.Log()
}

// racing reports whether two attempts may add tokens.
func (a *Answer) racing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.merger.RacingAttempt() != 0
}

// dropAttempt removes a lost attempt from a race.
func (a *Answer) dropAttempt(number id.Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.merger.Drop(number)
}

// restore fills a new answer from an attempt found at a target process.
func (a *Answer) restore(f *FoundAttempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempt = f.Attempt
	a.merger.Begin(f.Attempt)
	a.merger.AddTokens(f.Attempt, 0, f.Tokens)
	if f.Finish != nil {
		a.merger.Finish(f.Attempt, *f.Finish)
	}
	// The previous owner may have sent tokens to the caller.
	a.merger.MarkDelivered()
}

// addFrame merges a frame into the answer, notifies the readers, and returns
// the number of tokens added.
func (a *Answer) addFrame(f *Frame) (int, merge.Verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	verdict, added := merge.Accepted, 0
	if len(f.Tokens) > 0 {
		var fresh []generation.Token
		fresh, verdict = a.merger.AddTokens(f.Attempt, f.First, f.Tokens)
		added = len(fresh)
	}
	if f.Finish != nil && (verdict == merge.Accepted || verdict == merge.Duplicate) {
		verdict = a.merger.Finish(f.Attempt, *f.Finish)
	}
	if added > 0 {
		a.notifyReaders()
	}
	return added, verdict
}

// TokenCount returns the number of tokens received so far.
func (a *Answer) TokenCount() id.TokenIndex { return a.tokenCount() }

// tokenCount returns the number of tokens received so far.
func (a *Answer) tokenCount() id.TokenIndex {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.merger.NextIndex()
}

// complete reports whether the answer's finish was accepted.
func (a *Answer) complete() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.merger.Finished() != nil
}

// finishAtLimit finishes an answer that has all requested tokens but whose
// engine was lost before it sent the finish. No engine has anything left to
// generate for it. It reports whether the answer was finished.
func (a *Answer) finishAtLimit() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := int(a.merger.NextIndex())
	if count < a.spec.MaxTokens {
		return false
	}
	a.attempt++
	a.merger.Begin(a.attempt)
	return a.merger.Finish(a.attempt, generation.Finish{
		Reason: generation.Length, TokenCount: id.TokenIndex(count), Checksum: a.merger.Checksum(),
	}) == merge.Accepted
}

// mayRestart reports whether a newly generated text may replace this one.
func (a *Answer) mayRestart() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.merger.MayRestart()
}

// restart discards the text and continues with a new lineage and version. It
// returns false, and changes nothing, when the answer has finished, or when a
// caller has received tokens of the old text without allowing a restart.
func (a *Answer) restart(lineage id.Lineage, version id.Version) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.merger.Restart() {
		return false
	}
	a.spec.Lineage = lineage
	a.spec.Version = version
	for r := range a.readers {
		r.nextIndex = 0
	}
	return true
}

// end closes the answer. A nil refusal means that the answer is complete.
func (a *Answer) end(refusal *answer.Refusal, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state != StateRunning {
		return
	}
	a.state = StateFinished
	if refusal != nil {
		a.state = StateFailed
		refusal.Request = a.spec.Request
		a.refusal = refusal
	}
	a.endedAt = now
	a.notifyReaders()
}

// notifyReaders wakes the readers after a change. The caller must hold mu.
func (a *Answer) notifyReaders() {
	for r := range a.readers {
		select {
		case r.changed <- struct{}{}:
		default:
		}
	}
}

// abandoned reports whether a running answer without an idempotency key has
// had no reader for the grace period.
func (a *Answer) abandoned(now time.Time, grace time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.keyed && a.state == StateRunning && len(a.readers) == 0 && now.Sub(a.idleSince) >= grace
}

// expired reports whether the answer ended at least retention ago and has no
// readers.
func (a *Answer) expired(now time.Time, retention time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state != StateRunning && len(a.readers) == 0 && now.Sub(a.endedAt) >= retention
}

// reader is one reader's position in an answer.
type reader struct {
	answer    *Answer
	buffered  bool
	nextIndex id.TokenIndex
	changed   chan struct{}
}

// newReader returns a reader that begins at index from. A buffered reader
// returns the answer as a single part when it has ended.
func (a *Answer) newReader(from id.TokenIndex, buffered bool) *reader {
	r := &reader{answer: a, buffered: buffered, nextIndex: from, changed: make(chan struct{}, 1)}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers[r] = struct{}{}
	return r
}

func (r *reader) close(now time.Time) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.readers[r]; !ok {
		return
	}
	delete(a.readers, r)
	if len(a.readers) == 0 {
		a.idleSince = now
	}
}

// read blocks until the next part is available.
func (r *reader) read(ctx context.Context) (answer.Part, error) {
	for {
		part, ready, err := r.poll()
		if ready || err != nil {
			return part, err
		}
		select {
		case <-r.changed:
		case <-ctx.Done():
			return answer.Part{}, ctx.Err()
		}
	}
}

// poll returns the part available now and whether there is one. A streamed
// answer that failed delivers its tokens before its refusal.
func (r *reader) poll() (answer.Part, bool, error) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.buffered && a.state == StateRunning {
		return answer.Part{}, false, nil
	}
	part := answer.Part{Lineage: a.spec.Lineage, First: r.nextIndex}
	log := a.merger.Log()
	if int(r.nextIndex) < len(log) && !(r.buffered && a.refusal != nil) {
		part.Tokens = log[r.nextIndex:]
		r.nextIndex = id.TokenIndex(len(log))
		a.merger.MarkDelivered()
	}
	if a.state == StateFinished {
		part.Finish = a.merger.Finished()
		return part, true, nil
	}
	if len(part.Tokens) == 0 && a.refusal != nil {
		return answer.Part{}, false, a.refusal
	}
	return part, len(part.Tokens) > 0, nil
}
