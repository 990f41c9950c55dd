package request

import (
	"context"
	"sync"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// findPrevious looks for an answer begun by an earlier owner of the request. It
// returns a reader when that owner is alive, the best attempt still held by a
// target process when it is gone, and neither when there is no earlier answer.
func (co *Coordinator) findPrevious(ctx context.Context, c *contract.Contract, relay RelayRequest) (*answer.Reader, *FoundAttempt, error) {
	previous, alive := co.peers.PreviousOwner(relay.Request)
	if owner := co.answers.recordedOwner(relay.Request); owner != "" && owner != co.cfg.Self {
		previous, alive = owner, true
	}
	unkeyed := relay.Spec != nil && relay.From == 0 && !relay.Request.Keyed()
	if unkeyed || previous == co.cfg.Self {
		return nil, nil, nil
	}
	if alive && previous != co.cfg.Self && relay.Via.allows(previous) {
		reader, err := co.readFrom(ctx, c, previous, relay)
		if !fault.Is(err, Lost) && !isRefusal(err, answer.CauseNotFound) {
			return reader, nil, err
		}
		co.answers.removeOwner(relay.Request, previous)
	}
	list, unreachable := co.findHeld(ctx, c.Models, relay.Request)
	found, err := list.best(relay.From)
	if err != nil {
		return nil, nil, lostRefusal(relay.Request)
	}
	if found != nil && found.Spec.Contract != c.Name {
		return nil, nil, notFoundRefusal(relay.Request)
	}
	if found == nil && unreachable > 0 && relay.Spec == nil {
		return nil, nil, &answer.Refusal{
			Outcome: answer.Unknown, Cause: answer.CauseLost, Request: relay.Request, RetryAfter: findTimeout,
			Detail: "not every process that may hold the answer could be asked",
		}
	}
	if found != nil {
		co.cfg.Log.Emit(event.RequestAdopted, "request", relay.Request, "target", found.Target.Target,
			"tokens", len(found.Tokens), "running", found.Running)
	}
	return nil, found, nil
}

// readFrom opens the answer at its previous owner e without starting a
// generation there.
func (co *Coordinator) readFrom(ctx context.Context, c *contract.Contract, e id.Entry, relay RelayRequest) (*answer.Reader, error) {
	readOnly := relay
	readOnly.Spec = nil
	return co.relayTo(ctx, c, e, readOnly)
}

// findHeld queries the target processes of the models for attempts of a
// request. It returns the attempts and the number of target processes that did
// not answer.
func (co *Coordinator) findHeld(ctx context.Context, models []id.Model, r id.Request) (foundAttempts, int) {
	var mu sync.Mutex
	var all foundAttempts
	unreachable := 0
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentFinds)
	for _, t := range co.policy.Candidates(models) {
		wait.Add(1)
		slots <- struct{}{}
		go func() {
			defer wait.Done()
			defer func() { <-slots }()
			found, err := co.findAt(ctx, &t, r)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable++
			}
			all = append(all, found...)
		}()
	}
	wait.Wait()
	return all, unreachable
}

func (co *Coordinator) findAt(ctx context.Context, t *member.TargetReport, r id.Request) ([]FoundAttempt, error) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	return co.targets.Find(ctx, t, r, 0)
}
