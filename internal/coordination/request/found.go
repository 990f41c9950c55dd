package request

import (
	"slices"

	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// foundList is what target processes hold of one request.
type foundList []FoundAttempt

// best returns the attempt to go on with for a caller that has the tokens below
// from; nil when there is none. The loser of a race may hold another text than
// the caller has seen, so an attempt counts only with at least as many tokens.
// The error is Corrupt when attempts that the caller may have read contradict
// each other.
func (l foundList) best(from id.TokenIndex) (*FoundAttempt, error) {
	list := l.ofNewestLineage()
	if longer := list.withTokens(from); len(longer) > 0 {
		list = longer
	}
	if len(list) == 0 {
		return nil, nil
	}
	best := &list[0]
	for i := range list[1:] {
		best = better(best, &list[i+1])
	}
	for i := range list {
		if !agree(best.Tokens, list[i].Tokens, from) {
			return nil, fault.New("foundList.best", Corrupt, "two attempts have different tokens before %d", from)
		}
	}
	return best, nil
}

// ofNewestLineage returns the attempts of the newest owner's text.
func (l foundList) ofNewestLineage() foundList {
	var newest *FoundAttempt
	for i := range l {
		if newest == nil || l[i].Epoch > newest.Epoch {
			newest = &l[i]
		}
	}
	return slices.DeleteFunc(slices.Clone(l), func(f FoundAttempt) bool { return f.Spec.Lineage != newest.Spec.Lineage })
}

func (l foundList) withTokens(n id.TokenIndex) foundList {
	return slices.DeleteFunc(slices.Clone(l), func(f FoundAttempt) bool { return len(f.Tokens) < int(n) })
}

// better returns the attempt to go on with: whole before others, then the
// longest, then one that runs, then the newest.
func better(a, b *FoundAttempt) *FoundAttempt {
	switch {
	case (a.Finish != nil) != (b.Finish != nil):
		return pick(a.Finish != nil, a, b)
	case len(a.Tokens) != len(b.Tokens):
		return pick(len(a.Tokens) > len(b.Tokens), a, b)
	case a.Running != b.Running:
		return pick(a.Running, a, b)
	default:
		return pick(a.Attempt >= b.Attempt, a, b)
	}
}

func pick(first bool, a, b *FoundAttempt) *FoundAttempt {
	if first {
		return a
	}
	return b
}

// agree reports whether two texts are the same below from, as far as both go.
func agree(a, b []generation.Token, from id.TokenIndex) bool {
	n := min(len(a), len(b), int(from))
	return slices.Equal(a[:n], b[:n])
}
