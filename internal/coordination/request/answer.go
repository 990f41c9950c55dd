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

// State is how far an answer is.
type State string

// States of an answer.
const (
	// StateRunning answers have an attempt, or wait for one.
	StateRunning State = "running"
	// StateFinished answers are whole.
	StateFinished State = "finished"
	// StateFailed answers have no whole text and will have none.
	StateFailed State = "failed"
)

// maxDecisions bounds the decisions that are kept of one answer.
const maxDecisions = 64

// Decision is one step of an answer's way, for operators.
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
	// ownAttempts says that this entry runs the attempts, after its pledge.
	ownAttempts bool
	spec        generation.Spec
	keyed       bool
	epoch       id.Epoch
	attempt     id.Attempt
	joiner      *merge.Merger
	state       State
	refusal     *answer.Refusal
	readers     map[*reader]struct{}
	idleSince   time.Time
	endedAt     time.Time
	decisions   []Decision
}

func newAnswer(spec generation.Spec, keyed bool, epoch id.Epoch, now time.Time) *Answer {
	a := &Answer{
		spec:      spec,
		keyed:     keyed,
		epoch:     epoch,
		joiner:    merge.New(),
		state:     StateRunning,
		readers:   map[*reader]struct{}{},
		idleSince: now,
	}
	if spec.RestartAllowed {
		a.joiner.AllowRestart()
	}
	return a
}

// Spec returns what is being generated.
func (a *Answer) Spec() generation.Spec {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.spec
}

// State returns how far the answer is.
func (a *Answer) State() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}

// Decisions returns a copy of the steps so far.
func (a *Answer) Decisions() []Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Decision(nil), a.decisions...)
}

// hasReaders reports whether anybody reads the answer.
func (a *Answer) hasReaders() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.readers) > 0
}

// starts notes how to end the answer's attempts, and whether they are its own
// or another entry's.
func (a *Answer) starts(cancel context.CancelFunc, own bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelRun = cancel
	a.ownAttempts = own
}

// begun reports whether this entry runs the attempts.
func (a *Answer) begun() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ownAttempts
}

// cancel ends the answer's attempts.
func (a *Answer) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelRun != nil {
		a.cancelRun()
	}
}

func (a *Answer) note(d Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.decisions) < maxDecisions {
		a.decisions = append(a.decisions, d)
	}
}

// begin makes a new attempt the current one and returns what it starts from.
// The log is never changed in place, so the prefix needs no copy.
func (a *Answer) begin() (id.Attempt, []generation.Token) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempt++
	a.joiner.Begin(a.attempt)
	return a.attempt, a.joiner.Log()
}

// current returns the number of the newest attempt.
func (a *Answer) current() id.Attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.attempt
}

// race lets a new attempt run beside the current one.
func (a *Answer) race() (id.Attempt, []generation.Token) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempt++
	a.joiner.BeginRace(a.attempt)
	return a.attempt, a.joiner.Log()
}

// racing reports whether two attempts may write.
func (a *Answer) racing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.joiner.RacingAttempt() != 0
}

// drop ends an attempt that was lost.
func (a *Answer) drop(number id.Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.joiner.Drop(number)
}

// seed fills a new answer with what a target process held of it.
func (a *Answer) seed(f *FoundAttempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempt = f.Attempt
	a.joiner.Begin(f.Attempt)
	a.joiner.AddTokens(f.Attempt, 0, f.Tokens)
	if f.Finish != nil {
		a.joiner.Finish(f.Attempt, *f.Finish)
	}
	// The owner before may have passed tokens on to the caller.
	a.joiner.MarkSeen()
}

// take joins a frame, wakes the readers, and returns how many tokens it added.
func (a *Answer) take(f *Frame) (int, merge.Verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	verdict, added := merge.Accepted, 0
	if len(f.Tokens) > 0 {
		var fresh []generation.Token
		fresh, verdict = a.joiner.AddTokens(f.Attempt, f.First, f.Tokens)
		added = len(fresh)
	}
	if f.Finish != nil && (verdict == merge.Accepted || verdict == merge.Duplicate) {
		verdict = a.joiner.Finish(f.Attempt, *f.Finish)
	}
	if added > 0 {
		a.wake()
	}
	return added, verdict
}

// TokenCount returns the number of tokens that the answer has.
func (a *Answer) TokenCount() id.TokenIndex { return a.next() }

// next returns the number of tokens that the answer has.
func (a *Answer) next() id.TokenIndex {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.joiner.NextIndex()
}

// whole reports whether the joined answer has its end.
func (a *Answer) whole() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.joiner.Finished() != nil
}

// full ends an answer that has as many tokens as were asked for but lost its
// end with its engine: no engine has anything left to generate. It reports
// whether it did.
func (a *Answer) full() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	held := int(a.joiner.NextIndex())
	if held < a.spec.MaxTokens {
		return false
	}
	a.attempt++
	a.joiner.Begin(a.attempt)
	return a.joiner.Finish(a.attempt, generation.Finish{
		Reason: generation.Length, TokenCount: id.TokenIndex(held), Checksum: a.joiner.Checksum(),
	}) == merge.Accepted
}

// mayRestart reports whether a new text may replace the old one.
func (a *Answer) mayRestart() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.joiner.MayRestart()
}

// restart drops the text and goes on as another lineage and version. It
// returns false when a caller has seen a token of the old text.
func (a *Answer) restart(lineage id.Lineage, version id.Version) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.joiner.Restart() {
		return false
	}
	a.spec.Lineage = lineage
	a.spec.Version = version
	for r := range a.readers {
		r.next = 0
	}
	return true
}

// end closes the answer. A nil refusal means that it is whole.
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
	a.wake()
}

// wake tells the readers that there is something new. The caller holds mu.
func (a *Answer) wake() {
	for r := range a.readers {
		select {
		case r.changed <- struct{}{}:
		default:
		}
	}
}

// abandoned reports whether nobody has read the answer for the grace.
func (a *Answer) abandoned(now time.Time, grace time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.keyed && a.state == StateRunning && len(a.readers) == 0 && now.Sub(a.idleSince) >= grace
}

// expired reports whether the answer ended longer than retention ago and
// nobody reads it.
func (a *Answer) expired(now time.Time, retention time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state != StateRunning && len(a.readers) == 0 && now.Sub(a.endedAt) >= retention
}

// reader is one reader's place in an answer.
type reader struct {
	answer  *Answer
	whole   bool
	next    id.TokenIndex
	changed chan struct{}
}

// open returns a reader that begins at from. With whole set it gives the
// answer in one part, at its end.
func (a *Answer) open(from id.TokenIndex, whole bool) *reader {
	r := &reader{answer: a, whole: whole, next: from, changed: make(chan struct{}, 1)}
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

// read waits for the next part.
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

// poll returns what there is now. The tokens of an answer that failed are
// given before its refusal.
func (r *reader) poll() (answer.Part, bool, error) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.whole && a.state == StateRunning {
		return answer.Part{}, false, nil
	}
	part := answer.Part{Lineage: a.spec.Lineage, First: r.next}
	log := a.joiner.Log()
	if int(r.next) < len(log) && !(r.whole && a.refusal != nil) {
		part.Tokens = log[r.next:]
		r.next = id.TokenIndex(len(log))
		a.joiner.MarkSeen()
	}
	if a.state == StateFinished {
		part.Finish = a.joiner.Finished()
		return part, true, nil
	}
	if len(part.Tokens) == 0 && a.refusal != nil {
		return answer.Part{}, false, a.refusal
	}
	return part, len(part.Tokens) > 0, nil
}
