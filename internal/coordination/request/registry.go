package request

import (
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// registry holds the answers that this entry owns or has owned.
type registry struct {
	mu      sync.Mutex
	answers map[id.Request]*Answer
	// owners holds, by request, the entry that announced that it owns it.
	owners map[id.Request]ownerRecord
}

// ownerRecord is an entry's announcement that it owns a request.
type ownerRecord struct {
	owner id.Entry
	at    time.Time
}

func newRegistry() *registry {
	return &registry{answers: map[id.Request]*Answer{}, owners: map[id.Request]ownerRecord{}}
}

// recordOwner records that owner owns r, unless this entry or another one
// already owns it. It then returns this entry's answer or the other entry. While
// neither this entry nor owner has started the request, the one with the higher
// score owns it, so that two entries do not wait for each other.
func (g *registry) recordOwner(r id.Request, owner, self id.Entry, now time.Time) (*Answer, id.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a := g.answers[r]; a != nil && a.State() != StateFailed {
		if a.runsLocally() || id.RendezvousScore(string(r), string(self)) > id.RendezvousScore(string(r), string(owner)) {
			return a, ""
		}
		return nil, ""
	}
	if o, ok := g.owners[r]; ok && o.owner != owner {
		return nil, o.owner
	}
	g.owners[r] = ownerRecord{owner: owner, at: now}
	return nil, ""
}

// removeOwner removes the announcement of an entry that does not hold r.
func (g *registry) removeOwner(r id.Request, owner id.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.owners[r].owner == owner {
		delete(g.owners, r)
	}
}

// recordedOwner returns the entry that announced that it owns r, if any.
func (g *registry) recordedOwner(r id.Request) id.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.owners[r].owner
}

// expireOwners removes announcements that are at least retention old.
func (g *registry) expireOwners(now time.Time, retention time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for r, o := range g.owners {
		if now.Sub(o.at) >= retention {
			delete(g.owners, r)
		}
	}
}

// find returns the answer to r, or nil.
func (g *registry) find(r id.Request) *Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.answers[r]
}

// reserve returns the existing answer to r, or stores candidate if there is none
// or it failed. It reports whether candidate was stored.
func (g *registry) reserve(r id.Request, candidate *Answer) (*Answer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if old := g.answers[r]; old != nil && old.State() != StateFailed {
		return old, false
	}
	g.answers[r] = candidate
	return candidate, true
}

// remove removes the answer to r if it is a.
func (g *registry) remove(r id.Request, a *Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answers[r] == a {
		delete(g.answers, r)
	}
}

// all returns all answers.
func (g *registry) all() []*Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]*Answer, 0, len(g.answers))
	for _, a := range g.answers {
		out = append(out, a)
	}
	return out
}

// sweep removes expired answers and announcements. It also removes the answers
// that ended first while ended answers hold more than maxTokens tokens. It
// returns the running answers that are abandoned.
func (g *registry) sweep(now time.Time, retention, grace time.Duration, maxTokens int) []*Answer {
	g.expireOwners(now, retention)
	var abandoned []*Answer
	var ended endedAnswers
	for _, a := range g.all() {
		switch {
		case a.abandoned(now, grace):
			abandoned = append(abandoned, a)
		case a.expired(now, retention):
			g.remove(a.Spec().Request, a)
		case a.expired(now, 0):
			ended = append(ended, a)
		}
	}
	for _, a := range ended.exceeding(maxTokens) {
		g.remove(a.Spec().Request, a)
	}
	return abandoned
}
