package policy

import (
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// stallLimit is the longest gap between two tokens.
const stallLimit = 4 * time.Second

// Watch follows an attempt.
func (p *Policy) Watch(_ *member.TargetReport, _ *generation.Spec, _ id.Index, start time.Time) request.Watch {
	last, flowing := start, false
	return request.Watch{
		Tokens: func(now time.Time, _ int) { last, flowing = now, true },
		Check: func(now time.Time) (bool, time.Time) {
			limit := last.Add(stallLimit)
			if !flowing {
				limit = start.Add(holdLimit)
			}
			return !now.Before(limit), limit
		},
	}
}
