package request

import (
	"slices"
	"time"
)

// endedAnswers is a list of answers that nobody reads and nothing writes.
type endedAnswers []*Answer

// beyond returns the answers that do not fit into maxTokens, the oldest first.
func (e endedAnswers) beyond(maxTokens int) endedAnswers {
	slices.SortFunc(e, func(a, b *Answer) int { return b.ended().Compare(a.ended()) })
	held := 0
	for i, a := range e {
		held += int(a.next())
		if held > maxTokens {
			return e[i:]
		}
	}
	return nil
}

// ended returns when the answer ended.
func (a *Answer) ended() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.endedAt
}
