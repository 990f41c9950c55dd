package quarantine

import (
	"cmp"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// Verdict says whether a request may be sent to a target.
type Verdict string

// Verdicts.
const (
	// Allowed requests may be sent now.
	Allowed Verdict = "allowed"
	// MustWait requests may be sent if Confirm says so after SettleTime.
	MustWait Verdict = "wait"
	// HeldBack requests must not be sent while another one with the fingerprint runs.
	HeldBack Verdict = "heldBack"
)

// turnTimeout is how long the report of another entry's turn is valid. It spans
// several reports, because any of them may be lost.
const turnTimeout = 2 * SettleTime

// Turn says that an entry runs a request with a suspected fingerprint, or is about to.
// Only one entry may run such a request at a time, so that the next target failure
// decides whether the request is to blame, and costs one target.
type Turn struct {
	Fingerprint id.Fingerprint `json:"fingerprint"`
	// Running is set once the request may run. Before that, the entry waits for the
	// reports of others.
	Running bool `json:"running,omitempty"`
}

// ownTurn is a turn of this entry.
type ownTurn struct {
	request id.Request
	running bool
	// since is when the request was let run.
	since time.Time
	// trials counts its sends that were trials.
	trials int
}

// peerTurn is another entry's turn as it was reported at a time.
type peerTurn struct {
	at      time.Time
	running bool
}

// turns holds the turns of this entry and of the others.
type turns struct {
	self  id.Entry
	own   map[id.Fingerprint]ownTurn
	peers map[id.Entry]map[id.Fingerprint]peerTurn
}

func newTurns(self id.Entry) turns {
	return turns{self: self, own: map[id.Fingerprint]ownTurn{}, peers: map[id.Entry]map[id.Fingerprint]peerTurn{}}
}

// take begins a turn for a request, or continues it.
func (t *turns) take(now time.Time, f id.Fingerprint, request id.Request) Verdict {
	turn, found := t.own[f]
	switch {
	case found && turn.request != request:
		return HeldBack
	case found && turn.running:
		return Allowed
	case t.mustYield(now, f):
		return HeldBack
	}
	turn.request = request
	t.own[f] = turn
	return MustWait
}

// renew makes a request wait for another turn if a target has ended under it, at a time, in
// this one. What ended that target may still end others.
func (t *turns) renew(f id.Fingerprint, request id.Request, lastEnd time.Time) {
	if turn := t.own[f]; turn.request == request && turn.running && lastEnd.After(turn.since) {
		turn.running = false
		t.own[f] = turn
	}
}

// confirm lets the request run that has waited, unless another entry goes first.
func (t *turns) confirm(now time.Time, f id.Fingerprint, request id.Request) bool {
	turn, found := t.own[f]
	if !found || turn.request != request {
		return false
	}
	if !turn.running && t.mustYield(now, f) {
		delete(t.own, f)
		return false
	}
	if !turn.running {
		turn.running, turn.since = true, now
		t.own[f] = turn
	}
	return true
}

// ranAlone reports whether a run that started at a time was this entry's turn.
func (t *turns) ranAlone(f id.Fingerprint, startedAt time.Time) bool {
	turn := t.own[f]
	return turn.running && !startedAt.Before(turn.since)
}

// mustYield reports whether another entry runs a request with the fingerprint, or waits
// to do so and comes first by name.
func (t *turns) mustYield(now time.Time, f id.Fingerprint) bool {
	for entry, reported := range t.peers {
		turn, found := reported[f]
		if found && now.Sub(turn.at) <= turnTimeout && (turn.running || entry < t.self) {
			return true
		}
	}
	return false
}

func (t *turns) end(f id.Fingerprint, request id.Request) {
	if t.own[f].request == request {
		delete(t.own, f)
	}
}

// merge replaces what another entry has reported.
func (t *turns) merge(now time.Time, from id.Entry, reported []Turn) {
	if len(reported) == 0 {
		delete(t.peers, from)
		return
	}
	byFingerprint := make(map[id.Fingerprint]peerTurn, len(reported))
	for _, turn := range reported {
		byFingerprint[turn.Fingerprint] = peerTurn{now, turn.Running}
	}
	t.peers[from] = byFingerprint
}

// report returns the turns of this entry, in the order of their fingerprints.
func (t *turns) report() []Turn {
	var reported []Turn
	for f, turn := range t.own {
		reported = append(reported, Turn{f, turn.running})
	}
	slices.SortFunc(reported, func(a, b Turn) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return reported
}
