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
	// pledges names the entries that said that they own a request.
	pledges map[id.Request]pledge
}

// pledge is an entry's word that it owns a request.
type pledge struct {
	owner id.Entry
	at    time.Time
}

func newRegistry() *registry {
	return &registry{answers: map[id.Request]*Answer{}, pledges: map[id.Request]pledge{}}
}

// pledge notes that owner owns r, unless this entry owns it or another one has
// pledged. It returns the answer, or the other entry. While neither of two has
// begun, the one with the higher score owns it, so that no two entries wait for
// each other.
func (g *registry) pledge(r id.Request, owner, self id.Entry, now time.Time) (*Answer, id.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a := g.answers[r]; a != nil && a.State() != StateFailed {
		if a.begun() || id.RendezvousScore(string(r), string(self)) > id.RendezvousScore(string(r), string(owner)) {
			return a, ""
		}
		return nil, ""
	}
	if p, ok := g.pledges[r]; ok && p.owner != owner {
		return nil, p.owner
	}
	g.pledges[r] = pledge{owner: owner, at: now}
	return nil, ""
}

// unpledge forgets the pledge of an entry that does not hold r after all.
func (g *registry) unpledge(r id.Request, owner id.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pledges[r].owner == owner {
		delete(g.pledges, r)
	}
}

// pledged returns the entry that pledged to own r.
func (g *registry) pledged(r id.Request) id.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pledges[r].owner
}

// forgetPledges drops the pledges that are older than retention.
func (g *registry) forgetPledges(now time.Time, retention time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for r, p := range g.pledges {
		if now.Sub(p.at) >= retention {
			delete(g.pledges, r)
		}
	}
}

// find returns the answer of r, or nil.
func (g *registry) find(r id.Request) *Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.answers[r]
}

// reserve returns the answer of r, or puts fresh in its place. An answer that
// ended without a whole text is replaced. It reports whether fresh was taken.
func (g *registry) reserve(r id.Request, fresh *Answer) (*Answer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if old := g.answers[r]; old != nil && old.State() != StateFailed {
		return old, false
	}
	g.answers[r] = fresh
	return fresh, true
}

// remove forgets the answer of r when it is a.
func (g *registry) remove(r id.Request, a *Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answers[r] == a {
		delete(g.answers, r)
	}
}

// all returns the answers.
func (g *registry) all() []*Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]*Answer, 0, len(g.answers))
	for _, a := range g.answers {
		out = append(out, a)
	}
	return out
}

// sweep forgets expired answers, and the oldest ended ones while more than
// maxTokens tokens of ended answers are held. It returns the running answers
// that nobody reads.
func (g *registry) sweep(now time.Time, retention, grace time.Duration, maxTokens int) []*Answer {
	g.forgetPledges(now, retention)
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
	for _, a := range ended.beyond(maxTokens) {
		g.remove(a.Spec().Request, a)
	}
	return abandoned
}
