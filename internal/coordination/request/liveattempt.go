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

// liveAttempt is an attempt while it runs. During a race, two run in parallel.
type liveAttempt struct {
	target member.TargetReport
	number id.Attempt
	// targetNumber is the attempt's number at its target process. It differs from
	// number when the attempt was started by another owner.
	targetNumber     id.Attempt
	stream           *Stream
	stallDetector    StallDetector
	startedAt        time.Time
	timeToFirstToken time.Duration
	prefixTokens     int
	decodedTokens    int
	// stalledAt is the time at which the attempt was first considered stalled.
	stalledAt time.Time
	// waitUntil is the time at which a stalled attempt that was not given up is
	// checked again. It is zero while the attempt delivers tokens.
	waitUntil time.Time
	done      func(Usage)
}

// attemptGroup holds the attempts that run in parallel: usually one, and two
// during a race.
type attemptGroup struct {
	live   liveAttempts
	events chan attemptEvent
}

// attemptEvent is a frame of an attempt, or the error that ended its stream.
type attemptEvent struct {
	attempt *liveAttempt
	frame   Frame
	err     error
}

// runAttempt runs one attempt, or a race of two, to its end. It returns nil if
// the answer is complete, and the last loss otherwise.
func (r *runner) runAttempt(ctx context.Context, choice *Choice) *Loss {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := &attemptGroup{events: make(chan attemptEvent, frameQueueSize)}
	defer func() { r.closeAttempts(g.live, nil) }()
	loss := r.addAttempt(ctx, g, &choice.Target, choice.Action)
	if choice.SecondTarget != nil && len(g.live) > 0 {
		r.addAttempt(ctx, g, choice.SecondTarget, startRacing)
	}
	for len(g.live) > 0 {
		lost, done, reason := r.nextEvent(ctx, g)
		switch {
		case done:
			return nil
		case lost == nil || r.keepStalled(ctx, g, lost, reason):
			continue
		}
		loss = r.removeLost(g, lost, reason)
	}
	if loss != nil {
		r.probeHeld(ctx, loss)
	}
	return loss
}

// startRacing is the internal action that starts the second attempt of a race.
const startRacing Action = "race"

// addAttempt opens an attempt at t and adds it to the group.
func (r *runner) addAttempt(ctx context.Context, g *attemptGroup, t *member.TargetReport, action Action) *Loss {
	l, loss := r.openAttempt(ctx, t, action, g.events)
	if loss == nil {
		g.live = append(g.live, l)
	}
	return loss
}

// openAttempt opens an attempt at t and starts receiving its frames.
func (r *runner) openAttempt(ctx context.Context, t *member.TargetReport, action Action, events chan<- attemptEvent) (*liveAttempt, *Loss) {
	spec := r.answer.Spec()
	l := &liveAttempt{target: *t, startedAt: r.clock.Now(), done: r.policy.AttemptStarted(t, &spec)}
	var err error
	if l.stream, err = r.openStream(ctx, l, &spec, action); err != nil {
		loss := r.newLoss(l, err)
		l.done(Usage{Target: t.Target, Class: spec.Class, Loss: loss})
		r.answer.dropAttempt(l.number)
		return nil, loss
	}
	l.stallDetector = r.policy.NewStallDetector(t, &spec, r.answer.tokenCount(), l.startedAt)
	r.log.Emit(event.AttemptStarted, "request", spec.Request, "attempt", l.number, "target", t.Target)
	if action != Rejoin {
		r.cancelLost(&spec, l.number)
	}
	go receive(ctx, l, events)
	return l, nil
}

func (r *runner) openStream(ctx context.Context, l *liveAttempt, spec *generation.Spec, action Action) (*Stream, error) {
	if action == Rejoin {
		l.number = r.answer.currentAttempt()
		l.targetNumber = l.number
		if r.adoptable != nil {
			l.targetNumber, r.adoptable = r.adoptable.Attempt, nil
		}
		return r.targets.Adopt(ctx, &l.target, AdoptRequest{
			Request: spec.Request, Epoch: r.answer.ownerEpoch(), Attempt: l.targetNumber, From: r.answer.tokenCount(),
		})
	}
	var prefix []generation.Token
	if action == startRacing {
		l.number, prefix = r.answer.beginRace()
	} else {
		l.number, prefix = r.answer.beginAttempt()
	}
	l.targetNumber, l.prefixTokens = l.number, len(prefix)
	return r.targets.Start(ctx, &l.target, StartRequest{Spec: spec, Epoch: r.answer.ownerEpoch(), Attempt: l.number, Prefix: prefix})
}

// receive copies an attempt's frames into the bounded queue of its group, until
// the stream ends.
func receive(ctx context.Context, l *liveAttempt, events chan<- attemptEvent) {
	for {
		f, err := l.stream.Next()
		select {
		case events <- attemptEvent{attempt: l, frame: f, err: err}:
		case <-ctx.Done():
			return
		}
		if err != nil || f.Finish != nil {
			return
		}
	}
}

// nextEvent waits for one event or for the next stall check. It returns a lost
// attempt and the reason of its loss, or done when the answer is complete.
func (r *runner) nextEvent(ctx context.Context, g *attemptGroup) (lost *liveAttempt, done bool, reason error) {
	now := r.clock.Now()
	stalled, check := g.live.nextStall(now)
	if stalled != nil {
		return stalled, false, fault.New("runner.nextEvent", Stalled, "no token arrived within the stall timeout")
	}
	timer := r.clock.NewTimer(check.Sub(now))
	defer timer.Stop()
	select {
	case e := <-g.events:
		if !g.live.has(e.attempt) {
			return nil, false, nil
		}
		if e.err != nil {
			return e.attempt, false, e.err
		}
		done, err := r.addFrame(e.attempt, &e.frame)
		if err != nil {
			return e.attempt, false, err
		}
		r.endRace(g, e.attempt)
		return nil, done, nil
	case <-timer.Chan():
		return nil, false, nil
	case <-ctx.Done():
		return g.live[0], false, fault.Wrap("runner.nextEvent", Lost, ctx.Err())
	}
}

// addFrame adds a frame to the answer and reports whether the answer is
// complete.
func (r *runner) addFrame(l *liveAttempt, f *Frame) (bool, error) {
	now := r.clock.Now()
	l.stallDetector.TokensReceived(now, len(f.Tokens))
	l.waitUntil = time.Time{}
	f.Attempt = l.number
	added, verdict := r.answer.addFrame(f)
	if added > 0 {
		l.decodedTokens += added
		r.attemptsWithoutProgress = 0
		r.recordProgress(l, now)
	}
	switch verdict {
	case merge.Accepted, merge.Duplicate:
		return f.Finish != nil, nil
	case merge.Fenced:
		r.metrics.CountDroppedTokens(len(f.Tokens))
		r.log.Emit(event.FrameDropped, "target", l.target.Target, "attempt", l.targetNumber, "first", f.First, "tokens", len(f.Tokens))
		return false, nil
	default:
		return false, fault.New("runner.addFrame", Corrupt, "frame at token %d: %v", f.First, verdict)
	}
}

// recordProgress notes that tokens arrived, and measures the gap if the answer
// was interrupted by a loss.
func (r *runner) recordProgress(l *liveAttempt, now time.Time) {
	r.mayHaveRun = true
	if l.timeToFirstToken == 0 {
		l.timeToFirstToken = max(now.Sub(l.startedAt), 1)
	}
	if r.interruptedAt.IsZero() {
		return
	}
	gap := now.Sub(r.interruptedAt)
	r.interruptedAt = time.Time{}
	r.metrics.ObserveResumeGap(gap)
	spec := r.answer.Spec()
	r.log.Emit(event.AttemptResumed, "request", spec.Request, "target", l.target.Target,
		"gapMs", gap.Milliseconds(), "tokens", r.answer.tokenCount())
}

// endRace closes the other attempt of a race that l has won.
func (r *runner) endRace(g *attemptGroup, l *liveAttempt) {
	if len(g.live) < 2 || l.decodedTokens == 0 || r.answer.racing() {
		return
	}
	r.closeAttempts(g.live.without(l), nil)
	g.live = liveAttempts{l}
}

// keepStalled requests the policy's decision about an attempt that stalled. It reports whether
// the attempt is kept, either to wait for it or to race it against another one.
func (r *runner) keepStalled(ctx context.Context, g *attemptGroup, l *liveAttempt, reason error) bool {
	if !fault.Is(reason, Stalled) || len(g.live) > 1 || ctx.Err() != nil {
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
		r.pendingChoice = &choice
		return false
	}
	l.waitUntil = now.Add(choice.Wait)
	if choice.Action == Dispatch {
		l.waitUntil = now.Add(raceTimeout)
		return r.addAttempt(ctx, g, &choice.Target, startRacing) == nil
	}
	return true
}

// raceTimeout is how long a stalled attempt may race another one before it is
// checked for a stall again.
const raceTimeout = 30 * time.Second

// probeHeld asks the target process of a broken connection whether it still
// holds the attempt, so that reading can continue from it.
func (r *runner) probeHeld(ctx context.Context, loss *Loss) {
	if loss.Kind != Lost || ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	found, err := r.targets.Find(ctx, &loss.Target, r.answer.Spec().Request, 0)
	if err != nil {
		return
	}
	for i := range found {
		if found[i].Epoch == r.answer.ownerEpoch() && found[i].Attempt == r.answer.currentAttempt() && (found[i].Running || found[i].Finish != nil) {
			loss.StillHeld = true
		}
	}
}

// probeTimeout is the timeout of the query to a target process whose connection
// broke.
const probeTimeout = 300 * time.Millisecond

// removeLost closes a lost attempt and removes it from its group.
func (r *runner) removeLost(g *attemptGroup, lost *liveAttempt, reason error) *Loss {
	loss := r.newLoss(lost, reason)
	g.live = g.live.without(lost)
	if len(g.live) > 0 {
		r.answer.dropAttempt(lost.number)
	}
	r.closeAttempts(liveAttempts{lost}, loss)
	return loss
}

// closeAttempts closes the streams of attempts, cancels their work at the
// engines and reports their usage to the policy.
func (r *runner) closeAttempts(closing liveAttempts, loss *Loss) {
	spec := r.answer.Spec()
	complete := r.answer.complete()
	for _, l := range closing {
		l.stream.Close()
		if (!complete || l.number != r.answer.currentAttempt()) && (loss == nil || loss.Kind != Lost) {
			go r.sendCancel(l.target, spec.Request, r.answer.ownerEpoch(), l.targetNumber+1)
		}
		if l.number > 1 {
			r.metrics.CountRecomputedTokens(l.prefixTokens + spec.PromptTokens())
		}
		l.done(Usage{Target: l.target.Target, Class: spec.Class, DecodedTokens: l.decodedTokens, Loss: loss, TimeToFirstToken: l.timeToFirstToken, PrefixTokens: l.prefixTokens})
	}
}

// cancelLost cancels the attempt that the target process of a broken connection
// may still be running, once a newer attempt has started.
func (r *runner) cancelLost(spec *generation.Spec, below id.Attempt) {
	if n := len(r.losses); n > 0 && r.losses[n-1].Kind == Lost {
		go r.sendCancel(r.losses[n-1].Target, spec.Request, r.answer.ownerEpoch(), below)
	}
}

// sendCancel cancels the attempts whose number is lower than below at a target
// process. The error is ignored because an unreachable target process stops them
// itself when its orphan grace ends.
func (r *runner) sendCancel(t member.TargetReport, request id.Request, epoch id.Epoch, below id.Attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = r.targets.Cancel(ctx, &t, request, epoch, below)
}

// newLoss records and logs the loss of an attempt that ended with err.
func (r *runner) newLoss(l *liveAttempt, err error) *Loss {
	kind, ok := fault.KindOf[Kind](err)
	if !ok {
		kind = Lost
	}
	loss := &Loss{Target: l.target, Kind: kind, Started: mayHaveStarted(kind), Detail: err.Error(), At: r.clock.Now()}
	r.mayHaveRun = r.mayHaveRun || loss.Started
	if kind == UnknownAttempt {
		r.markNotHeld(loss.Target.Target)
	}
	if loss.Started {
		r.attemptsWithoutProgress++
	}
	if loss.Started && r.interruptedAt.IsZero() {
		r.interruptedAt = loss.At
	}
	e := event.AttemptLost
	if kind == Stalled {
		e = event.AttemptStalled
	}
	r.log.Emit(e, "request", r.answer.Spec().Request, "target", l.target.Target, "kind", kind,
		"tokens", r.answer.tokenCount(), "error", err)
	r.answer.addDecision(Decision{At: loss.At, Step: "lost", Target: l.target.Target, Reason: string(kind)})
	return loss
}

// markNotHeld notes that a target process no longer holds the attempts that were
// lost there.
func (r *runner) markNotHeld(t id.Target) {
	for i := range r.losses {
		if r.losses[i].Target.Target == t {
			r.losses[i].StillHeld = false
		}
	}
}

// mayHaveStarted reports whether an engine may have received an attempt that
// ended with an error of this kind.
func mayHaveStarted(kind Kind) bool {
	switch kind {
	case Busy, Leaving, Fenced, Mismatch, UnknownAttempt:
		return false
	}
	return true
}

// liveAttempts lists attempts that run in parallel.
type liveAttempts []*liveAttempt

// nextStall returns an attempt that has stalled, or else the time of the next
// check.
func (ls liveAttempts) nextStall(now time.Time) (*liveAttempt, time.Time) {
	var next time.Time
	for _, l := range ls {
		stalled, at := l.stallDetector.Check(now)
		if now.Before(l.waitUntil) {
			stalled, at = false, l.waitUntil
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

func (ls liveAttempts) has(l *liveAttempt) bool {
	for _, v := range ls {
		if v == l {
			return true
		}
	}
	return false
}

func (ls liveAttempts) without(l *liveAttempt) liveAttempts {
	var rest liveAttempts
	for _, v := range ls {
		if v != l {
			rest = append(rest, v)
		}
	}
	return rest
}
