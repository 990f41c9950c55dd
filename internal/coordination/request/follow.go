package request

import (
	"context"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
)

// follow reads on from what the target processes hold, after another entry
// took over the request. It starts no work and fences nobody. It returns nil
// when the answer is whole.
func (d *Desk) follow(ctx context.Context, a *Answer, models []id.Model) *answer.Refusal {
	spec := a.Spec()
	d.cfg.Log.Emit(event.AttemptFenced, "request", spec.Request, "tokens", a.next())
	moved := d.cfg.Clock.Now()
	for {
		found, _ := d.search(ctx, models, spec.Request)
		if found != nil && found.Spec.Lineage != spec.Lineage {
			return conflict(spec.Request, "another entry generated the answer anew")
		}
		if found != nil && a.adopt(found) > 0 {
			moved = d.cfg.Clock.Now()
		}
		if a.whole() {
			return nil
		}
		if d.cfg.Clock.Since(moved) > followPatience {
			return lost(spec.Request)
		}
		if !sleep(ctx, d.cfg.Clock.After(followEvery)) {
			return lost(spec.Request)
		}
	}
}

// adopt takes what another owner's attempt has more than this answer, and
// returns how many tokens that were.
func (a *Answer) adopt(f *Found) int {
	a.mu.Lock()
	number := max(f.Attempt, a.attempt+1)
	a.attempt = number
	a.joiner.Begin(number)
	a.mu.Unlock()
	added, _ := a.take(&Frame{Attempt: number, First: 0, Tokens: f.Tokens, Finish: f.Finish})
	return added
}

// sleep waits for a timer and returns false when ctx ends first.
func sleep(ctx context.Context, timer <-chan time.Time) bool {
	select {
	case <-timer:
		return true
	case <-ctx.Done():
		return false
	}
}
