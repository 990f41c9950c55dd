package request

import (
	"context"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/merge"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
)

// follow continues the answer from the attempts that target processes hold,
// after another entry took over the request. It starts no attempt and fences no
// other owner. It returns nil when the answer is complete.
func (co *Coordinator) follow(ctx context.Context, a *Answer, models []id.Model) *answer.Refusal {
	spec := a.Spec()
	co.cfg.Log.Emit(event.AttemptFenced, "request", spec.Request, "tokens", a.tokenCount())
	lastProgress := co.cfg.Clock.Now()
	for {
		list, _ := co.findHeld(ctx, models, spec.Request)
		found, err := list.best(a.tokenCount())
		if err != nil {
			return lostRefusal(spec.Request)
		}
		if found != nil && found.Spec.Lineage != spec.Lineage && !a.restart(found.Spec.Lineage, found.Spec.Version) {
			return conflictRefusal(spec.Request, "another entry generated the answer anew")
		}
		spec = a.Spec()
		if found != nil && a.addFound(found) > 0 {
			lastProgress = co.cfg.Clock.Now()
		}
		if a.complete() {
			return nil
		}
		if co.cfg.Clock.Since(lastProgress) > followTimeout {
			return lostRefusal(spec.Request)
		}
		if !sleep(ctx, co.cfg.Clock.After(followInterval)) {
			return lostRefusal(spec.Request)
		}
	}
}

// mirror copies the answer from the entry that owns it, up to its end. When
// that entry becomes unreachable, this one becomes the owner and continues from
// the attempts that target processes hold.
func (co *Coordinator) mirror(ctx context.Context, r *runner, reader *answer.Reader, models []id.Model) {
	defer reader.Close()
	number, _ := r.answer.beginAttempt()
	r.mayHaveRun = true
	for {
		part, err := reader.Next(ctx)
		if err != nil {
			break
		}
		if r.answer.Spec().Lineage != part.Lineage && !r.answer.restart(part.Lineage, r.answer.Spec().Version) {
			break
		}
		number = r.answer.writableAttempt(number)
		_, verdict := r.answer.addFrame(&Frame{Attempt: number, First: part.First, Tokens: part.Tokens, Finish: part.Finish})
		if part.Finish != nil || verdict == merge.Mismatch {
			return
		}
	}
	list, _ := co.findHeld(ctx, models, r.answer.Spec().Request)
	if found, err := list.best(r.answer.tokenCount()); err == nil && found != nil && found.Spec.Lineage == r.answer.Spec().Lineage {
		r.answer.addFound(found)
		r.answer.raiseEpoch(found.Epoch + 1)
		if found.Running {
			r.adoptable = found
		}
	}
}

// writableAttempt returns number if that attempt may still add tokens.
// Otherwise a restart has fenced it, and a new attempt becomes the current one.
func (a *Answer) writableAttempt(number id.Attempt) id.Attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.merger.MayWrite(number) {
		return number
	}
	a.attempt++
	a.merger.Begin(a.attempt)
	return a.attempt
}

// ownerEpoch returns the epoch of this entry as the owner.
func (a *Answer) ownerEpoch() id.Epoch {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.epoch
}

// raiseEpoch raises the owner's epoch to at least epoch.
func (a *Answer) raiseEpoch(epoch id.Epoch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.epoch = max(a.epoch, epoch)
}

// addFound appends the tokens that another owner's attempt has beyond this
// answer, and returns their number.
func (a *Answer) addFound(f *FoundAttempt) int {
	a.mu.Lock()
	number := max(f.Attempt, a.attempt+1)
	a.attempt = number
	a.merger.Begin(number)
	a.mu.Unlock()
	added, _ := a.addFrame(&Frame{Attempt: number, First: 0, Tokens: f.Tokens, Finish: f.Finish})
	return added
}

// sleep waits for timer and returns false if ctx is done first.
func sleep(ctx context.Context, timer <-chan time.Time) bool {
	select {
	case <-timer:
		return true
	case <-ctx.Done():
		return false
	}
}
