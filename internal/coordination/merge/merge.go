// Package merge merges the tokens of a request's attempts into one answer.
//
// A request may need several attempts because engines fail. Frames of an attempt
// can arrive late, twice, out of order, or after the attempt was abandoned. A
// Merger holds the answer so far and accepts only the next tokens of an attempt
// that may write. Any other frame leaves the answer unchanged, and its verdict
// says why it was rejected.
//
// # Usage
//
//	m := merge.New()
//	m.Begin(1)
//	fresh, verdict := m.AddTokens(1, 0, tokens)
//	// The engine fails: continue at another one, after the tokens received so far.
//	m.Begin(2)
//	start(2, m.Log())
//	verdict = m.Finish(2, finish)
//	if verdict == merge.Accepted { … }
//
// A Merger does no I/O and is not safe for concurrent use.
package merge

import (
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Verdict says how a frame was handled.
type Verdict string

// Verdicts.
const (
	// Accepted frames added tokens to the answer or finished it.
	Accepted Verdict = "accepted"
	// Duplicate frames contain nothing new.
	Duplicate Verdict = "duplicate"
	// Fenced frames come from an attempt that may no longer write.
	Fenced Verdict = "fenced"
	// Gap frames start after the next index, so tokens in between are missing.
	Gap Verdict = "gap"
	// Mismatch frames contradict the answer: overlapping tokens differ, or the
	// finish has another count or checksum or no valid reason. The attempt must
	// not be used any further.
	Mismatch Verdict = "mismatch"
	// Closed frames arrived after the answer was finished.
	Closed Verdict = "closed"
)

// Merger merges the attempts of one request. Its zero value is ready for use.
type Merger struct {
	log []generation.Token
	sum generation.Checksum
	// current may write. So may racing, until one of the two has added tokens.
	current id.Attempt
	racing  id.Attempt
	// highest is the highest attempt number that was begun.
	highest id.Attempt
	// delivered means that a caller has received tokens of this text.
	delivered      bool
	restartAllowed bool
	restarts       int
	finished       *generation.Finish
}

// New returns a Merger with an empty answer.
func New() *Merger { return &Merger{} }

// Begin makes a the only attempt that may write, and fences all others. The
// number must be higher than all previous ones, or be that of an attempt that may
// write now. Begin reports whether a may write.
func (m *Merger) Begin(a id.Attempt) bool {
	if a == 0 || m.finished != nil {
		return false
	}
	if a <= m.highest && !m.MayWrite(a) {
		return false
	}
	m.current, m.racing = a, 0
	m.highest = max(m.highest, a)
	return true
}

// BeginRace lets a write in parallel with the current attempt. The first of the
// two that adds tokens to the answer or finishes it becomes the current attempt,
// and the other one is fenced. BeginRace reports whether a may write.
func (m *Merger) BeginRace(a id.Attempt) bool {
	if m.current == 0 || m.racing != 0 || m.finished != nil || a <= m.highest {
		return false
	}
	m.racing, m.highest = a, a
	return true
}

// Drop removes a from a race, so that only the other attempt may write. Without
// a race it has no effect: the current attempt may write until another one
// begins.
func (m *Merger) Drop(a id.Attempt) {
	switch {
	case m.racing == 0:
	case a == m.racing:
		m.racing = 0
	case a == m.current:
		m.current, m.racing = m.racing, 0
	}
}

// MayWrite reports whether tokens of a can still be accepted.
func (m *Merger) MayWrite(a id.Attempt) bool {
	return a != 0 && (a == m.current || a == m.racing)
}

// CurrentAttempt returns the current attempt, or 0 before the first one.
func (m *Merger) CurrentAttempt() id.Attempt { return m.current }

// RacingAttempt returns the attempt that races the current one, or 0.
func (m *Merger) RacingAttempt() id.Attempt { return m.racing }

// AddTokens adds tokens of a, of which the first has index first. Tokens that
// overlap the answer are compared with it and skipped. It returns the added
// tokens, which stay valid and must not be modified.
func (m *Merger) AddTokens(a id.Attempt, first id.TokenIndex, tokens []generation.Token) ([]generation.Token, Verdict) {
	if !m.MayWrite(a) {
		return nil, Fenced
	}
	if m.finished != nil {
		return nil, Closed
	}
	held := len(m.log)
	if uint64(first) > uint64(held) {
		return nil, Gap
	}
	overlap := min(held-int(first), len(tokens))
	for i, t := range tokens[:overlap] {
		if m.log[int(first)+i] != t {
			return nil, Mismatch
		}
	}
	if overlap == len(tokens) {
		return nil, Duplicate
	}
	m.endRace(a)
	m.add(tokens[overlap:])
	return m.log[held:len(m.log):len(m.log)], Accepted
}

func (m *Merger) add(tokens []generation.Token) {
	m.log = append(m.log, tokens...)
	for _, t := range tokens {
		m.sum = m.sum.Add(t)
	}
}

// endRace ends a race that a has won.
func (m *Merger) endRace(a id.Attempt) {
	m.current, m.racing = a, 0
}

// Finish adds the finish of a. It is accepted if its count and checksum match the
// answer and its reason is valid. Gap means that tokens before the finish are
// missing; Finish can be called again when they have arrived.
func (m *Merger) Finish(a id.Attempt, f generation.Finish) Verdict {
	if !m.MayWrite(a) {
		return Fenced
	}
	if m.finished != nil {
		return m.repeatedFinish(f)
	}
	switch {
	case uint64(f.TokenCount) > uint64(len(m.log)):
		return Gap
	case uint64(f.TokenCount) < uint64(len(m.log)) || f.Checksum != m.sum || !f.Reason.Valid():
		return Mismatch
	}
	m.endRace(a)
	m.finished = &f
	return Accepted
}

// repeatedFinish returns the verdict on a finish that arrives after the accepted
// one.
func (m *Merger) repeatedFinish(f generation.Finish) Verdict {
	if f.TokenCount == m.finished.TokenCount && f.Checksum == m.finished.Checksum && f.Reason == m.finished.Reason {
		return Duplicate
	}
	return Closed
}

// Log returns the tokens of the answer so far. The slice stays valid and must not
// be modified.
func (m *Merger) Log() []generation.Token {
	return m.log[:len(m.log):len(m.log)]
}

// NextIndex returns the index of the next token.
func (m *Merger) NextIndex() id.TokenIndex { return id.TokenIndex(len(m.log)) }

// Checksum returns the checksum of the answer so far.
func (m *Merger) Checksum() generation.Checksum { return m.sum }

// Finished returns the accepted finish, or nil if there is none yet.
func (m *Merger) Finished() *generation.Finish { return m.finished }

// MarkDelivered records that a caller has received tokens of this text.
func (m *Merger) MarkDelivered() { m.delivered = true }

// AllowRestart records that the caller accepts a new text from the beginning.
func (m *Merger) AllowRestart() { m.restartAllowed = true }

// MayRestart reports whether the answer may be restarted: it is not finished, and
// either no caller has received tokens of it or the caller accepts a new text.
func (m *Merger) MayRestart() bool {
	return m.finished == nil && (!m.delivered || m.restartAllowed)
}

// Restart discards the answer so far, so that a new text can begin, and fences
// all attempts. The owner gives the new text a new lineage. Restart reports
// whether a restart is allowed; if not, it changes nothing. Attempt numbers
// continue to increase after a restart.
func (m *Merger) Restart() bool {
	if !m.MayRestart() {
		return false
	}
	// Readers may still use the old log, so its memory is not reused.
	m.log, m.sum = nil, 0
	m.current, m.racing = 0, 0
	m.delivered = false
	m.restarts++
	return true
}

// Restarts returns the number of restarts.
func (m *Merger) Restarts() int { return m.restarts }
