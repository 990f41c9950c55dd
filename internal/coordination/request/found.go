package request

import (
	"slices"

	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// foundAttempts lists the attempts of one request held by target processes.
type foundAttempts []FoundAttempt

// best returns the attempt to continue from for a caller that has the tokens
// before index from, or nil if there is none. The loser of a race may have
// generated a different text than the caller has seen. Attempts with fewer than
// from tokens are therefore considered only if no attempt has that many. The
// error has kind Corrupt when two attempts differ in tokens that the caller may
// have read.
func (l foundAttempts) best(from id.TokenIndex) (*FoundAttempt, error) {
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
		if !samePrefix(best.Tokens, list[i].Tokens, from) {
			return nil, fault.New("foundAttempts.best", Corrupt, "two attempts differ in the tokens before index %d", from)
		}
	}
	return best, nil
}

// ofNewestLineage returns the attempts with the lineage of the attempt with the
// highest epoch.
func (l foundAttempts) ofNewestLineage() foundAttempts {
	var newest *FoundAttempt
	for i := range l {
		if newest == nil || l[i].Epoch > newest.Epoch {
			newest = &l[i]
		}
	}
	return slices.DeleteFunc(slices.Clone(l), func(f FoundAttempt) bool { return f.Spec.Lineage != newest.Spec.Lineage })
}

func (l foundAttempts) withTokens(n id.TokenIndex) foundAttempts {
	return slices.DeleteFunc(slices.Clone(l), func(f FoundAttempt) bool { return len(f.Tokens) < int(n) })
}

// better returns the attempt to prefer: a finished one, then the one with more
// tokens, then a running one, then the one with the higher number.
func better(a, b *FoundAttempt) *FoundAttempt {
	switch {
	case (a.Finish != nil) != (b.Finish != nil):
		return choose(a.Finish != nil, a, b)
	case len(a.Tokens) != len(b.Tokens):
		return choose(len(a.Tokens) > len(b.Tokens), a, b)
	case a.Running != b.Running:
		return choose(a.Running, a, b)
	default:
		return choose(a.Attempt >= b.Attempt, a, b)
	}
}

func choose(first bool, a, b *FoundAttempt) *FoundAttempt {
	if first {
		return a
	}
	return b
}

// samePrefix reports whether a and b have the same tokens before index from, up
// to the end of the shorter one.
func samePrefix(a, b []generation.Token, from id.TokenIndex) bool {
	n := min(len(a), len(b), int(from))
	return slices.Equal(a[:n], b[:n])
}
