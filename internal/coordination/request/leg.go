package request

import (
	"context"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/merge"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// leg is one attempt while it runs. Two legs run during a race.
type leg struct {
	target member.TargetReport
	number id.Attempt
	// held is the attempt's number at its target process.
	held    id.Attempt
	stream  *Stream
	watch   StallDetector
	begun   time.Time
	first   time.Duration
	prefix  int
	decoded int
	// stalledAt is when the leg was first taken for stalled.
	stalledAt time.Time
	// quietUntil is when a kept leg is looked at again; zero while it flows.
	quietUntil time.Time
	end        func(Usage)
}

// race is the legs that run side by side, usually one.
type race struct {
	legs   legs
	events chan legEvent
}

// legEvent is a frame of a leg, or its end.
type legEvent struct {
	leg   *leg
	frame Frame
	err   error
}

// attempt runs one attempt, or a race of two, to its end. It returns nil when
// the answer is whole, else the last loss.
func (r *runner) attempt(ctx context.Context, choice *Choice) *Loss {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &race{events: make(chan legEvent, frameQueue)}
	defer func() { r.retire(a.legs, nil) }()
	loss := r.add(ctx, a, &choice.Target, choice.Action)
	if choice.SecondTarget != nil && len(a.legs) > 0 {
		r.add(ctx, a, choice.SecondTarget, raceLeg)
	}
	for len(a.legs) > 0 {
		lost, done, reason := r.step(ctx, a)
		switch {
		case done:
			return nil
		case lost == nil || r.keeps(ctx, a, lost, reason):
			continue
		}
		loss = r.lose(a, lost, reason)
	}
	if loss != nil {
		r.probe(ctx, loss)
	}
	return loss
}

// raceLeg starts the second attempt of a race.
const raceLeg Action = "race"

// add opens an attempt at t and adds it to the race.
func (r *runner) add(ctx context.Context, a *race, t *member.TargetReport, action Action) *Loss {
	l, loss := r.launch(ctx, t, action, a.events)
	if loss == nil {
		a.legs = append(a.legs, l)
	}
	return loss
}

// launch opens an attempt at t.
func (r *runner) launch(ctx context.Context, t *member.TargetReport, action Action, events chan<- legEvent) (*leg, *Loss) {
	spec := r.answer.Spec()
	l := &leg{target: *t, begun: r.clock.Now(), end: r.policy.AttemptStarted(t, &spec)}
	var err error
	if l.stream, err = r.dial(ctx, l, &spec, action); err != nil {
		loss := r.loss(l, err)
		l.end(Usage{Target: t.Target, Class: spec.Class, Loss: loss})
		r.answer.drop(l.number)
		return nil, loss
	}
	l.watch = r.policy.NewStallDetector(t, &spec, r.answer.next(), l.begun)
	r.log.Emit(event.AttemptStarted, "request", spec.Request, "attempt", l.number, "target", t.Target)
	if action != Rejoin {
		r.cancelBroken(&spec, l.number)
	}
	go receive(ctx, l, events)
	return l, nil
}

func (r *runner) dial(ctx context.Context, l *leg, spec *generation.Spec, action Action) (*Stream, error) {
	if action == Rejoin {
		l.number = r.answer.current()
		l.held = l.number
		if r.found != nil {
			l.held, r.found = r.found.Attempt, nil
		}
		return r.link.Adopt(ctx, &l.target, AdoptRequest{
			Request: spec.Request, Epoch: r.answer.owned(), Attempt: l.held, From: r.answer.next(),
		})
	}
	var prefix []generation.Token
	if action == raceLeg {
		l.number, prefix = r.answer.race()
	} else {
		l.number, prefix = r.answer.begin()
	}
	l.held, l.prefix = l.number, len(prefix)
	return r.link.Start(ctx, &l.target, StartRequest{Spec: spec, Epoch: r.answer.owned(), Attempt: l.number, Prefix: prefix})
}

// receive moves a leg's frames into the bounded queue of the attempt.
func receive(ctx context.Context, l *leg, events chan<- legEvent) {
	for {
		f, err := l.stream.Next()
		select {
		case events <- legEvent{leg: l, frame: f, err: err}:
		case <-ctx.Done():
			return
		}
		if err != nil || f.Finish != nil {
			return
		}
	}
}

// step waits for one event. It returns the leg that was lost with the reason,
// or done when the answer is whole.
func (r *runner) step(ctx context.Context, a *race) (lost *leg, done bool, reason error) {
	now := r.clock.Now()
	stalled, check := a.legs.check(now)
	if stalled != nil {
		return stalled, false, fault.New("runner.step", Stalled, "no token came in time")
	}
	timer := r.clock.NewTimer(check.Sub(now))
	defer timer.Stop()
	select {
	case e := <-a.events:
		if !a.legs.has(e.leg) {
			return nil, false, nil
		}
		if e.err != nil {
			return e.leg, false, e.err
		}
		done, err := r.join(e.leg, &e.frame)
		if err != nil {
			return e.leg, false, err
		}
		r.settle(a, e.leg)
		return nil, done, nil
	case <-timer.Chan():
		return nil, false, nil
	case <-ctx.Done():
		return a.legs[0], false, fault.Wrap("runner.step", Lost, ctx.Err())
	}
}

// join adds a frame to the answer and reports whether the answer is whole.
func (r *runner) join(l *leg, f *Frame) (bool, error) {
	now := r.clock.Now()
	l.watch.TokensReceived(now, len(f.Tokens))
	l.quietUntil = time.Time{}
	f.Attempt = l.number
	added, verdict := r.answer.take(f)
	if added > 0 {
		l.decoded += added
		r.idle = 0
		r.flowing(l, now)
	}
	switch verdict {
	case merge.Accepted, merge.Duplicate:
		return f.Finish != nil, nil
	case merge.Fenced:
		r.meter.CountDroppedTokens(len(f.Tokens))
		r.log.Emit(event.FrameDropped, "target", l.target.Target, "attempt", l.held, "first", f.First, "tokens", len(f.Tokens))
		return false, nil
	default:
		return false, fault.New("runner.join", Corrupt, "frame at %d: %v", f.First, verdict)
	}
}

// flowing notes that the answer's tokens come, perhaps after a loss.
func (r *runner) flowing(l *leg, now time.Time) {
	r.touched = true
	if l.first == 0 {
		l.first = max(now.Sub(l.begun), 1)
	}
	if r.lostAt.IsZero() {
		return
	}
	gap := now.Sub(r.lostAt)
	r.lostAt = time.Time{}
	r.meter.ObserveResumeGap(gap)
	spec := r.answer.Spec()
	r.log.Emit(event.AttemptResumed, "request", spec.Request, "target", l.target.Target,
		"gapMs", gap.Milliseconds(), "tokens", r.answer.next())
}

// settle ends the other legs of a race that l has won.
func (r *runner) settle(a *race, l *leg) {
	if len(a.legs) < 2 || l.decoded == 0 || r.answer.racing() {
		return
	}
	r.retire(a.legs.without(l), nil)
	a.legs = legs{l}
}

// keeps asks the policy about a leg that stalled. It reports whether the leg
// stays: to be waited for, or to race another attempt.
func (r *runner) keeps(ctx context.Context, a *race, l *leg, reason error) bool {
	if !fault.Is(reason, Stalled) || len(a.legs) > 1 || ctx.Err() != nil {
		return false
	}
	spec := r.answer.Spec()
	now := r.clock.Now()
	if l.stalledAt.IsZero() {
		l.stalledAt = now
	}
	loss := Loss{Target: l.target, Kind: Stalled, Started: true, StillHeld: true, Detail: reason.Error(), At: l.stalledAt}
	choice := r.decide(&spec, append(slices.Clone(r.losses), loss))
	if !choice.KeepStalled {
		r.decided = &choice
		return false
	}
	l.quietUntil = now.Add(choice.Wait)
	if choice.Action == Dispatch {
		l.quietUntil = now.Add(raceTime)
		return r.add(ctx, a, &choice.Target, raceLeg) == nil
	}
	return true
}

// raceTime is how long a stalled leg may race another attempt.
const raceTime = 30 * time.Second

// probe asks whether the target process of a broken connection still holds the
// attempt, so that its stream can be read on.
func (r *runner) probe(ctx context.Context, loss *Loss) {
	if loss.Kind != Lost || ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	found, err := r.link.Find(ctx, &loss.Target, r.answer.Spec().Request, 0)
	if err != nil {
		return
	}
	for i := range found {
		if found[i].Epoch == r.answer.owned() && found[i].Attempt == r.answer.current() && (found[i].Running || found[i].Finish != nil) {
			loss.StillHeld = true
		}
	}
}

// probeTimeout bounds the question to a target process whose connection broke.
const probeTimeout = 300 * time.Millisecond

// lose takes a lost leg out of a race.
func (r *runner) lose(a *race, lost *leg, reason error) *Loss {
	loss := r.loss(lost, reason)
	a.legs = a.legs.without(lost)
	if len(a.legs) > 0 {
		r.answer.drop(lost.number)
	}
	r.retire(legs{lost}, loss)
	return loss
}

// retire ends legs: their streams, their engines' work and their counts.
func (r *runner) retire(legs legs, loss *Loss) {
	spec := r.answer.Spec()
	whole := r.answer.whole()
	for _, l := range legs {
		l.stream.Close()
		if (!whole || l.number != r.answer.current()) && (loss == nil || loss.Kind != Lost) {
			go r.sendCancel(l.target, spec.Request, r.answer.owned(), l.held+1)
		}
		if l.number > 1 {
			r.meter.CountRecomputedTokens(l.prefix + spec.PromptTokens())
		}
		l.end(Usage{Target: l.target.Target, Class: spec.Class, DecodedTokens: l.decoded, Loss: loss, TimeToFirstToken: l.first, PrefixTokens: l.prefix})
	}
}

// cancelBroken ends what the target process of a broken connection may still
// run, now that another attempt has begun.
func (r *runner) cancelBroken(spec *generation.Spec, below id.Attempt) {
	if n := len(r.losses); n > 0 && r.losses[n-1].Kind == Lost {
		go r.sendCancel(r.losses[n-1].Target, spec.Request, r.answer.owned(), below)
	}
}

// sendCancel ends the engine's work on attempts below a number. A target
// process that cannot be reached ends them when its orphan grace is over.
func (r *runner) sendCancel(t member.TargetReport, request id.Request, epoch id.Epoch, below id.Attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = r.link.Cancel(ctx, &t, request, epoch, below)
}

// loss records the end of a leg.
func (r *runner) loss(l *leg, err error) *Loss {
	kind, ok := fault.KindOf[Kind](err)
	if !ok {
		kind = Lost
	}
	loss := &Loss{Target: l.target, Kind: kind, Started: started(kind), Detail: err.Error(), At: r.clock.Now()}
	r.touched = r.touched || loss.Started
	if kind == UnknownAttempt {
		r.forget(loss.Target.Target)
	}
	if loss.Started {
		r.idle++
	}
	if loss.Started && r.lostAt.IsZero() {
		r.lostAt = loss.At
	}
	e := event.AttemptLost
	if kind == Stalled {
		e = event.AttemptStalled
	}
	r.log.Emit(e, "request", r.answer.Spec().Request, "target", l.target.Target, "kind", kind,
		"tokens", r.answer.next(), "error", err)
	r.answer.note(Decision{At: loss.At, Step: "lost", Target: l.target.Target, Reason: string(kind)})
	return loss
}

// forget notes that a target process no longer holds the attempt.
func (r *runner) forget(t id.Target) {
	for i := range r.losses {
		if r.losses[i].Target.Target == t {
			r.losses[i].StillHeld = false
		}
	}
}

// started reports whether an engine may have seen an attempt that ended so.
func started(kind Kind) bool {
	switch kind {
	case Busy, Leaving, Fenced, Mismatch, UnknownAttempt:
		return false
	}
	return true
}

// legs is the attempts that run side by side.
type legs []*leg

// check returns a leg that has stalled, or when to check again.
func (ls legs) check(now time.Time) (*leg, time.Time) {
	var next time.Time
	for _, l := range ls {
		stalled, at := l.watch.Check(now)
		if now.Before(l.quietUntil) {
			stalled, at = false, l.quietUntil
		}
		if stalled {
			return l, now
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return nil, next
}

func (ls legs) has(l *leg) bool {
	for _, v := range ls {
		if v == l {
			return true
		}
	}
	return false
}

func (ls legs) without(l *leg) legs {
	var rest legs
	for _, v := range ls {
		if v != l {
			rest = append(rest, v)
		}
	}
	return rest
}
