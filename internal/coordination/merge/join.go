// Package merge puts the tokens of a request's attempts together into one
// answer.
//
// A request may need several attempts, since engines die. Frames of an attempt
// arrive late, twice, out of order or after the attempt was given up. A Joiner
// holds the answer so far and takes only the next tokens of the attempt that
// may write; everything else is told apart by a verdict and leaves the answer
// as it is.
//
// # Usage
//
//	j := join.New()
//	j.Begin(1)
//	fresh, verdict := j.Tokens(1, 0, tokens)
//	// The engine dies: go on elsewhere, after the tokens that are held.
//	j.Begin(2)
//	start(2, j.Log())
//	verdict = j.Finish(2, finish)
//	if verdict == join.Accepted { … }
//
// A Joiner does no I/O and is not safe for concurrent use.
package merge

import (
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Verdict says what became of a frame.
type Verdict string

// Verdicts.
const (
	// Accepted frames added to the answer or ended it.
	Accepted Verdict = "accepted"
	// Duplicate frames hold nothing that is not held already.
	Duplicate Verdict = "duplicate"
	// Fenced frames come from an attempt that may no longer write.
	Fenced Verdict = "fenced"
	// Gap frames start after the next index; what lies between is missing.
	Gap Verdict = "gap"
	// Mismatch frames contradict what is held: overlapping tokens differ, or
	// the count or checksum of the end does. The attempt cannot be used.
	Mismatch Verdict = "mismatch"
	// Closed frames come after the answer's end.
	Closed Verdict = "closed"
)

// Merger joins the attempts of one request. Its zero value is ready for use.
type Merger struct {
	log []generation.Token
	sum generation.Checksum
	// current may write. So may racer, until one of the two has written.
	current id.Attempt
	racer   id.Attempt
	// highest is the highest attempt number ever begun.
	highest id.Attempt
	// seen says that a caller was given tokens of this text.
	seen           bool
	restartAllowed bool
	restarts       int
	finished       *generation.Finish
}

// New returns a Joiner that holds nothing.
func New() *Merger { return &Merger{} }

// Begin makes a the only attempt that may write, and fences all others. The
// number must be higher than any before, or be that of an attempt that may
// write now. Begin reports whether a may write.
func (j *Merger) Begin(a id.Attempt) bool {
	if a == 0 || j.finished != nil {
		return false
	}
	if a <= j.highest && !j.MayWrite(a) {
		return false
	}
	j.current, j.racer = a, 0
	j.highest = max(j.highest, a)
	return true
}

// BeginRace lets a write beside the current attempt. The first of the two that adds
// to the answer, or ends it, becomes the current one; the other is fenced. Race
// reports whether a may write.
func (j *Merger) BeginRace(a id.Attempt) bool {
	if j.current == 0 || j.racer != 0 || j.finished != nil || a <= j.highest {
		return false
	}
	j.racer, j.highest = a, a
	return true
}

// Drop takes a out of a race and leaves the other attempt alone. The current
// attempt of no race stays, so that it may still go on until another begins.
func (j *Merger) Drop(a id.Attempt) {
	switch {
	case j.racer == 0:
	case a == j.racer:
		j.racer = 0
	case a == j.current:
		j.current, j.racer = j.racer, 0
	}
}

// MayWrite reports whether tokens of a can still be accepted.
func (j *Merger) MayWrite(a id.Attempt) bool {
	return a != 0 && (a == j.current || a == j.racer)
}

// CurrentAttempt returns the current attempt, and 0 before the first.
func (j *Merger) CurrentAttempt() id.Attempt { return j.current }

// RacingAttempt returns the attempt that races the current one, or 0.
func (j *Merger) RacingAttempt() id.Attempt { return j.racer }

// AddTokens hands in tokens of a, the first of which has the index first. What
// overlaps the answer is compared and cut off. It returns the tokens that were
// added, which stay valid and must not be changed.
func (j *Merger) AddTokens(a id.Attempt, first id.TokenIndex, tokens []generation.Token) ([]generation.Token, Verdict) {
	if !j.MayWrite(a) {
		return nil, Fenced
	}
	if j.finished != nil {
		return nil, Closed
	}
	held := len(j.log)
	if uint64(first) > uint64(held) {
		return nil, Gap
	}
	overlap := min(held-int(first), len(tokens))
	for i, t := range tokens[:overlap] {
		if j.log[int(first)+i] != t {
			return nil, Mismatch
		}
	}
	if overlap == len(tokens) {
		return nil, Duplicate
	}
	j.settle(a)
	j.add(tokens[overlap:])
	return j.log[held:len(j.log):len(j.log)], Accepted
}

func (j *Merger) add(tokens []generation.Token) {
	j.log = append(j.log, tokens...)
	for _, t := range tokens {
		j.sum = j.sum.Add(t)
	}
}

// settle ends a race that a has won.
func (j *Merger) settle(a id.Attempt) {
	j.current, j.racer = a, 0
}

// Finish hands in the end of a. It is accepted when its count and checksum are
// those of the tokens held. Gap means that tokens before the end are missing;
// the end can be handed in again once they came.
func (j *Merger) Finish(a id.Attempt, f generation.Finish) Verdict {
	if !j.MayWrite(a) {
		return Fenced
	}
	if j.finished != nil {
		return j.again(f)
	}
	switch {
	case uint64(f.TokenCount) > uint64(len(j.log)):
		return Gap
	case uint64(f.TokenCount) < uint64(len(j.log)) || f.Checksum != j.sum || !f.Reason.Valid():
		return Mismatch
	}
	j.settle(a)
	j.finished = &f
	return Accepted
}

// again judges an end that comes after the accepted one.
func (j *Merger) again(f generation.Finish) Verdict {
	if f.TokenCount == j.finished.TokenCount && f.Checksum == j.finished.Checksum && f.Reason == j.finished.Reason {
		return Duplicate
	}
	return Closed
}

// Log returns the answer so far. It stays valid and must not be changed.
func (j *Merger) Log() []generation.Token {
	return j.log[:len(j.log):len(j.log)]
}

// NextIndex returns the index of the next token.
func (j *Merger) NextIndex() id.TokenIndex { return id.TokenIndex(len(j.log)) }

// Checksum returns the checksum of the answer so far.
func (j *Merger) Checksum() generation.Checksum { return j.sum }

// Finished returns the end that was accepted, and nil before it.
func (j *Merger) Finished() *generation.Finish { return j.finished }

// MarkSeen notes that a caller was given tokens of this text.
func (j *Merger) MarkSeen() { j.seen = true }

// AllowRestart notes that the caller accepts a new text from the start.
func (j *Merger) AllowRestart() { j.restartAllowed = true }

// MayRestart reports whether the answer may start anew: it has not ended, and
// no caller saw tokens of it or the caller accepts a new text.
func (j *Merger) MayRestart() bool {
	return j.finished == nil && (!j.seen || j.restartAllowed)
}

// Restart drops the answer so far, so that a new text begins, and fences all
// attempts. The owner gives the new text a new lineage. Restart reports
// whether it was allowed; the answer stays as it is otherwise. Attempt numbers
// rise on over it.
func (j *Merger) Restart() bool {
	if !j.MayRestart() {
		return false
	}
	// Readers may still hold the old log, so its memory is not used again.
	j.log, j.sum = nil, 0
	j.current, j.racer = 0, 0
	j.seen = false
	j.restarts++
	return true
}

// Restarts returns how many times the text began anew.
func (j *Merger) Restarts() int { return j.restarts }
