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

// inherit looks for what an earlier owner has of the request. It returns a
// reader when that owner lives, what its attempts left when it is gone, and
// neither when there was none.
func (d *Coordinator) inherit(ctx context.Context, c *contract.Contract, relay RelayRequest) (*answer.Reader, *FoundAttempt, error) {
	previous, lives := d.peers.PreviousOwner(relay.Request)
	if owner := d.answers.pledged(relay.Request); owner != "" && owner != d.cfg.Self {
		previous, lives = owner, true
	}
	unkeyed := relay.Spec != nil && relay.From == 0 && !relay.Request.Keyed()
	if unkeyed || previous == d.cfg.Self {
		return nil, nil, nil
	}
	if lives && previous != d.cfg.Self && relay.Via.open(previous) {
		reader, err := d.ask(ctx, c, previous, relay)
		if !fault.Is(err, Lost) && !isRefusal(err, answer.CauseNotFound) {
			return reader, nil, err
		}
		d.answers.unpledge(relay.Request, previous)
	}
	list, silent := d.search(ctx, c.Models, relay.Request)
	found, err := list.best(relay.From)
	if err != nil {
		return nil, nil, lost(relay.Request)
	}
	if found != nil && found.Spec.Contract != c.Name {
		return nil, nil, notFound(relay.Request)
	}
	if found == nil && silent > 0 && relay.Spec == nil {
		return nil, nil, &answer.Refusal{
			Outcome: answer.Unknown, Cause: answer.CauseLost, Request: relay.Request, RetryAfter: findTimeout,
			Detail: "not every process that may hold the answer could be asked",
		}
	}
	if found != nil {
		d.cfg.Log.Emit(event.RequestAdopted, "request", relay.Request, "target", found.Target.Target,
			"tokens", len(found.Tokens), "running", found.Running)
	}
	return nil, found, nil
}

// ask reads the answer at the entry that owned it before, without starting it.
func (d *Coordinator) ask(ctx context.Context, c *contract.Contract, e id.Entry, relay RelayRequest) (*answer.Reader, error) {
	readOnly := relay
	readOnly.Spec = nil
	return d.pass(ctx, c, e, readOnly)
}

// search asks the target processes of the models what they hold of a request.
// It returns all of it and the number of those that did not answer.
func (d *Coordinator) search(ctx context.Context, models []id.Model, r id.Request) (foundList, int) {
	var mu sync.Mutex
	var all foundList
	silent := 0
	var wait sync.WaitGroup
	room := make(chan struct{}, findAtOnce)
	for _, t := range d.policy.Candidates(models) {
		wait.Add(1)
		room <- struct{}{}
		go func() {
			defer wait.Done()
			defer func() { <-room }()
			found, err := d.findAt(ctx, &t, r)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent++
			}
			all = append(all, found...)
		}()
	}
	wait.Wait()
	return all, silent
}

func (d *Coordinator) findAt(ctx context.Context, t *member.TargetReport, r id.Request) ([]FoundAttempt, error) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	return d.link.Find(ctx, t, r, 0)
}
