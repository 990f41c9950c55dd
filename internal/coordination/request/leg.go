package request

import (
	"context"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/join"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// leg is one attempt while it runs. Two legs run during a race.
type leg struct {
	target  member.TargetReport
	number  id.Attempt
	stream  *Stream
	watch   Watch
	begun   time.Time
	first   time.Duration
	decoded int
	end     func(Usage)
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
	events := make(chan legEvent, frameQueue)
	first, loss := r.launch(ctx, &choice.Target, choice.Action, events)
	legs := legs{first}
	if loss != nil {
		legs = nil
	}
	if choice.Second != nil {
		if second, lost := r.launch(ctx, choice.Second, raceLeg, events); lost == nil {
			legs = append(legs, second)
		}
	}
	defer func() { r.retire(legs, nil) }()
	for len(legs) > 0 {
		lost, done, reason := r.step(ctx, legs, events)
		if done {
			return nil
		}
		if lost != nil {
			legs, loss = r.lose(legs, lost, reason)
		}
	}
	return loss
}

// raceLeg starts the second attempt of a race.
const raceLeg Action = "race"

// launch opens an attempt at t.
func (r *runner) launch(ctx context.Context, t *member.TargetReport, action Action, events chan<- legEvent) (*leg, *Loss) {
	spec := r.answer.Spec()
	l := &leg{target: *t, begun: r.clock.Now(), end: r.policy.Begin(t, &spec)}
	var err error
	if l.stream, err = r.dial(ctx, l, &spec, action); err != nil {
		loss := r.loss(l, err)
		l.end(Usage{Target: t.Target, Class: spec.Class, Loss: loss})
		r.answer.drop(l.number)
		return nil, loss
	}
	l.watch = r.policy.Watch(t, &spec, r.answer.next(), l.begun)
	r.log.Emit(event.AttemptStarted, "request", spec.Request, "attempt", l.number, "target", t.Target)
	go receive(ctx, l, events)
	return l, nil
}

func (r *runner) dial(ctx context.Context, l *leg, spec *generation.Spec, action Action) (*Stream, error) {
	if action == Rejoin {
		l.number = r.answer.current()
		return r.link.Adopt(ctx, &l.target, Adopt{
			Request: spec.Request, Epoch: r.answer.epoch, Attempt: l.number, From: r.answer.next(),
		})
	}
	var prefix []generation.Token
	if action == raceLeg {
		l.number, prefix = r.answer.race()
	} else {
		l.number, prefix = r.answer.begin()
	}
	if l.number > 1 {
		r.replayed += len(prefix)
	}
	return r.link.Start(ctx, &l.target, Start{Spec: spec, Epoch: r.answer.epoch, Attempt: l.number, Prefix: prefix})
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
func (r *runner) step(ctx context.Context, legs legs, events <-chan legEvent) (lost *leg, done bool, reason error) {
	now := r.clock.Now()
	stalled, check := legs.check(now)
	if stalled != nil {
		return stalled, false, fault.New("runner.step", Stalled, "no token came in time")
	}
	timer := r.clock.NewTimer(check.Sub(now))
	defer timer.Stop()
	select {
	case e := <-events:
		if !legs.has(e.leg) {
			return nil, false, nil
		}
		if e.err != nil {
			return e.leg, false, e.err
		}
		done, err := r.join(e.leg, &e.frame)
		if err != nil {
			return e.leg, false, err
		}
		return nil, done, nil
	case <-timer.Chan():
		return nil, false, nil
	case <-ctx.Done():
		return legs[0], false, fault.Wrap("runner.step", Lost, ctx.Err())
	}
}

// join adds a frame to the answer and reports whether the answer is whole.
func (r *runner) join(l *leg, f *Frame) (bool, error) {
	now := r.clock.Now()
	l.watch.Tokens(now, len(f.Tokens))
	added, verdict := r.answer.take(f)
	if added > 0 {
		l.decoded += added
		r.idle = 0
		r.flowing(l, now)
	}
	switch verdict {
	case join.Accepted, join.Duplicate:
		return f.Finish != nil, nil
	case join.Fenced:
		r.meter.Dropped(len(f.Tokens))
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
	r.meter.Resumed(gap)
	spec := r.answer.Spec()
	r.log.Emit(event.AttemptResumed, "request", spec.Request, "target", l.target.Target,
		"gapMs", gap.Milliseconds(), "tokens", r.answer.next())
}

// lose takes a lost leg out of an attempt.
func (r *runner) lose(legs legs, lost *leg, reason error) (legs, *Loss) {
	loss := r.loss(lost, reason)
	r.answer.drop(lost.number)
	r.retire(legs.only(lost), loss)
	return legs.without(lost), loss
}

// retire ends legs: their streams, their engines' work and their counts.
func (r *runner) retire(legs legs, loss *Loss) {
	spec := r.answer.Spec()
	whole := r.answer.whole()
	for _, l := range legs {
		l.stream.Close()
		if !whole || l.number != r.answer.current() {
			go r.sendCancel(l.target, spec.Request, r.answer.epoch, l.number+1)
		}
		l.end(Usage{Target: l.target.Target, Class: spec.Class, Decoded: l.decoded, Loss: loss, First: l.first})
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

// started reports whether an engine may have seen an attempt that ended so.
func started(kind Kind) bool {
	switch kind {
	case Busy, Leaving, Fenced, Mismatch, NoAttempt:
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

func (ls legs) only(l *leg) legs { return legs{l} }

func (ls legs) without(l *leg) legs {
	var rest legs
	for _, v := range ls {
		if v != l {
			rest = append(rest, v)
		}
	}
	return rest
}
