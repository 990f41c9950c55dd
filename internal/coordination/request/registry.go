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
}

func newRegistry() *registry {
	return &registry{answers: map[id.Request]*Answer{}}
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
	if old := g.answers[r]; old != nil && old.State() != Ended {
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
