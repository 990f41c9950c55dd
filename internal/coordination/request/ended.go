package request

import (
	"slices"
	"time"
)

// endedAnswers is a list of ended answers without readers.
type endedAnswers []*Answer

// exceeding returns the answers to evict so that the rest has at most maxTokens
// tokens. The answers that ended last are kept.
func (e endedAnswers) exceeding(maxTokens int) endedAnswers {
	slices.SortFunc(e, func(a, b *Answer) int { return b.endTime().Compare(a.endTime()) })
	total := 0
	for i, a := range e {
		total += int(a.tokenCount())
		if total > maxTokens {
			return e[i:]
		}
	}
	return nil
}

// endTime returns the time at which the answer ended.
func (a *Answer) endTime() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.endedAt
}
