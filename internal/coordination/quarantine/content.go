package quarantine

import (
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// Content is what may crash the targets that run a request: the request as a whole, which
// callers may send again, or a part of its prompt, which other requests have too.
type Content struct {
	// Request is the fingerprint of the whole request.
	Request id.Fingerprint
	// Parts are the fingerprints of the parts that it may share with other requests.
	Parts []id.Fingerprint
}

// fingerprints returns the request's fingerprint and those of its parts.
func (c *Content) fingerprints() []id.Fingerprint {
	return append([]id.Fingerprint{c.Request}, c.Parts...)
}

// minPartRequests is the number of different requests with a part that must have run at
// failures before the part is suspected. Those of a single request say nothing of its
// parts.
const minPartRequests = 2

const (
	// provenTime is how long a part is trusted after a target has lived on with an answer
	// on it.
	provenTime = 10 * time.Second
	// maxProven bounds the parts that a Tracker trusts; the oldest is dropped first.
	maxProven = 8192
)

// RecordProof records that a target has begun to write an answer on a part, and lived on.
// It clears the part of the failures known so far.
func (t *Tracker) RecordProof(now time.Time, part id.Fingerprint) {
	t.trust(now, part)
	t.RecordCompletion(part)
}

// trust records that a part is proven, and keeps the bound on their number.
func (t *Tracker) trust(now time.Time, part id.Fingerprint) {
	if _, known := t.proven[part]; !known && len(t.proven) >= maxProven {
		t.dropOldestProofs(now)
	}
	t.proven[part] = now
}

// dropOldestProofs drops the proofs that are too old to matter, and half of the others if
// there are none.
func (t *Tracker) dropOldestProofs(now time.Time) {
	for age := provenTime; len(t.proven) >= maxProven; age /= 2 {
		for part, at := range t.proven {
			if now.Sub(at) > age {
				delete(t.proven, part)
			}
		}
	}
}

// isProven reports whether f is a part that was proven a short time ago.
func (t *Tracker) isProven(now time.Time, f id.Fingerprint) bool {
	at, known := t.proven[f]
	return known && now.Sub(at) <= provenTime
}

// isSingle reports whether f is a part that only one request had at all failures.
func (t *Tracker) isSingle(f id.Fingerprint) bool {
	requests := map[id.Fingerprint]bool{}
	for _, fail := range t.failuresOf(f) {
		request := fail.suspects[f].request
		if request == 0 {
			return false
		}
		requests[request] = true
	}
	return len(requests) < minPartRequests
}

// mayBlame reports whether f may be held to crash targets at all.
func (t *Tracker) mayBlame(now time.Time, f id.Fingerprint) bool {
	return !t.isProven(now, f) && (t.ends(f) == 0 || !t.isPart(f) || !t.isSingle(f))
}

// sharesBlame reports whether f is a part that is suspected only together with another one
// that the content lacks: the other ran at all failures at which f did. A request without it
// shows which of them is to blame.
func (t *Tracker) sharesBlame(f id.Fingerprint, c Content) bool {
	fails := t.failuresOf(f)
	if len(fails) == 0 || !t.isPart(f) {
		return false
	}
	for other, s := range fails[0].suspects {
		if s.request != 0 && !slices.Contains(c.Parts, other) && other != f && t.ranTogether(f, other) {
			return true
		}
	}
	return false
}

// isPart reports whether f is known as a part.
func (t *Tracker) isPart(f id.Fingerprint) bool {
	for _, fail := range t.byFingerprint[f] {
		if fail.suspects[f].request != 0 {
			return true
		}
	}
	return false
}

// belongsTogether reports whether one of two suspects of a failure is a part of the other.
func (fail *failure) belongsTogether(f, other id.Fingerprint) bool {
	return fail.suspects[f].request == other || fail.suspects[other].request == f
}
