package request

import (
	"context"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/merge"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
)

// follow reads on from what the target processes hold, after another entry
// took over the request. It starts no work and fences nobody. It returns nil
// when the answer is whole.
func (d *Coordinator) follow(ctx context.Context, a *Answer, models []id.Model) *answer.Refusal {
	spec := a.Spec()
	d.cfg.Log.Emit(event.AttemptFenced, "request", spec.Request, "tokens", a.next())
	moved := d.cfg.Clock.Now()
	for {
		list, _ := d.search(ctx, models, spec.Request)
		found, err := list.best(a.next())
		if err != nil {
			return lost(spec.Request)
		}
		if found != nil && found.Spec.Lineage != spec.Lineage && !a.restart(found.Spec.Lineage, found.Spec.Version) {
			return conflict(spec.Request, "another entry generated the answer anew")
		}
		spec = a.Spec()
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

// mirror copies the answer from the entry that owns it, until its end. When
// that entry is lost, this one owns the request and goes on from what the
// target processes hold.
func (d *Coordinator) mirror(ctx context.Context, r *runner, reader *answer.Reader, models []id.Model) {
	defer reader.Close()
	number, _ := r.answer.begin()
	r.touched = true
	for {
		part, err := reader.Next(ctx)
		if err != nil {
			break
		}
		if r.answer.Spec().Lineage != part.Lineage && !r.answer.restart(part.Lineage, r.answer.Spec().Version) {
			break
		}
		number = r.answer.reopen(number)
		_, verdict := r.answer.take(&Frame{Attempt: number, First: part.First, Tokens: part.Tokens, Finish: part.Finish})
		if part.Finish != nil || verdict == merge.Mismatch {
			return
		}
	}
	list, _ := d.search(ctx, models, r.answer.Spec().Request)
	if found, err := list.best(r.answer.next()); err == nil && found != nil && found.Spec.Lineage == r.answer.Spec().Lineage {
		r.answer.adopt(found)
		r.answer.own(found.Epoch + 1)
		if found.Running {
			r.found = found
		}
	}
}

// reopen makes number the current attempt again after a restart fenced it.
func (a *Answer) reopen(number id.Attempt) id.Attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.joiner.MayWrite(number) {
		return number
	}
	a.attempt++
	a.joiner.Begin(a.attempt)
	return a.attempt
}

// owned returns the owner's number.
func (a *Answer) owned() id.Epoch {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.epoch
}

// own raises the owner's number to at least epoch.
func (a *Answer) own(epoch id.Epoch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.epoch = max(a.epoch, epoch)
}

// adopt takes what another owner's attempt has more than this answer, and
// returns how many tokens that were.
func (a *Answer) adopt(f *FoundAttempt) int {
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
