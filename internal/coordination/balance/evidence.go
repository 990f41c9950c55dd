package balance

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Evidence says what showed that a target was lost.
type Evidence string

// Kinds of evidence.
const (
	// Untyped means that nothing is known about it. The loss counts.
	Untyped Evidence = ""
	// Connection means that a connection was refused, reset or closed.
	Connection Evidence = "connection"
	// StreamSilence means that a run stopped which had sent events.
	StreamSilence Evidence = "streamSilence"
	// PausedStream means the same at an engine whose memory was full, so that it may have
	// preempted the run. Only many such losses show that a zone is lost.
	PausedStream Evidence = "pausedStream"
	// StartSilence means that a run sent nothing though nothing was in front of it.
	StartSilence Evidence = "startSilence"
	// OverdueStart means that a run sent nothing at a target that gave other signs of life, or that
	// a backlog in front of it may explain it. It does not show that the target is lost.
	OverdueStart Evidence = "overdueStart"
)

const (
	// startMargin and startFactor times the expected wait are how long a run may be silent
	// before its first event if a backlog was in front of it.
	startMargin = 2 * time.Second
	startFactor = 2
	// minAhead is the least expected wait for others that explains silence.
	minAhead = 250 * time.Millisecond
	// generationTime is how long a generation is expected to occupy a slot.
	generationTime = 6 * time.Second
	// fullShare is the share of an engine's memory from which it may preempt runs.
	fullShare = 0.9
	// silenceBefore is the part of a silence that ended a run during which another run's event
	// from the target contradicts the loss. It is less than the shortest such silence, by the
	// time that messages between entries take.
	silenceBefore = 200 * time.Millisecond
)

// startWait is the time that a run was expected to wait for its first event when it was sent.
type startWait struct {
	sent time.Time
	// ahead is the time until its turn comes, and own the time that its prompt takes then.
	ahead, own time.Duration
}

// expectedWait returns how long a request that is sent to the target now waits for its first
// event. A target of a plain service has a request wait while all of its slots are taken.
func (b *Balancer) expectedWait(now time.Time, t *catalog.Target, request *Request) startWait {
	r := b.record(now, t)
	l := b.total(r, t)
	w := startWait{sent: now}
	if request.Engine == nil {
		w.ahead = slotWait(t, l)
		return w
	}
	pace := b.paceOf(now, r, l, t)
	w.ahead = max(slotWait(t, l), memoryWait(request, l)) + pace.computeTime(now, b.backlogOf(now, t.ID, l))
	w.own = pace.computeTime(now, float64(request.PromptTokens))
	return w
}

// slotWait returns how long a request waits for a slot at a target with a load.
func slotWait(t *catalog.Target, l Load) time.Duration {
	if t.Slots == 0 || l.Running < t.Slots {
		return 0
	}
	return time.Duration(l.Running-t.Slots+1) * generationTime / time.Duration(t.Slots)
}

// memoryWait returns how long a request waits until generations have freed the memory that it
// needs at an engine with a load. All of the memory is freed once in a generationTime.
func memoryWait(request *Request, l Load) time.Duration {
	size := request.Engine.MemoryTokens
	if size == 0 || l.MemoryTokens+request.memory() <= size {
		return 0
	}
	return time.Duration(float64(l.MemoryTokens+request.memory()-size) / float64(size) * float64(generationTime))
}

// computeTime returns how long an engine takes for so many tokens of prompts, as usual at least.
func (p Pace) computeTime(now time.Time, tokens float64) time.Duration {
	usual := seconds(tokens / drainPerSecond)
	return time.Duration(max(1, p.Slowness(now, usual)) * float64(usual))
}

// SilenceEvidence returns what the attempt's silence shows, if it ends for that.
func (a *Attempt) SilenceEvidence(now time.Time) Evidence {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	r := a.balancer.look(now, a.target)
	switch {
	case a.started && a.request.Engine != nil && a.balancer.memoryFull(r, a):
		return PausedStream
	case a.started && a.request.Engine != nil:
		return StreamSilence
	case r.unansweredNow(now):
		return StartSilence
	case r.heardAt().After(a.wait.sent) && now.Sub(r.heardAt()) <= signValidFor && !r.silentSince(r.lostAt, a):
		return OverdueStart
	case a.ahead(now) >= minAhead && !r.silentSince(r.lostAt, a):
		return OverdueStart
	}
	return StartSilence
}

// memoryFull reports whether the generations at the attempt's engine may need more memory than it
// has, so that it preempts some of them.
func (b *Balancer) memoryFull(r *record, a *Attempt) bool {
	size := a.request.Engine.MemoryTokens
	l := b.total(r, a.target)
	return size > 0 && float64(l.MemoryTokens) >= fullShare*float64(size)
}

// EndWith is like End. evidence says what showed a loss.
func (a *Attempt) EndWith(now time.Time, o Outcome, evidence Evidence) bool {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if a.ended {
		return false
	}
	a.ended = true
	a.work.learn(now, a, o)
	a.endWait(now)
	a.release(now)
	if evidence == OverdueStart {
		rec := a.balancer.record(now, a.target)
		rec.recordOutcome(now, 1)
		rec.suspect(now)
		return false
	}
	a.balancer.recordEvidence(now, a.target, evidence)
	return a.balancer.recordOutcome(now, a.target, o, evidence)
}

// recordEvidence records what showed that a target was lost.
func (b *Balancer) recordEvidence(at time.Time, t *catalog.Target, evidence Evidence) {
	if evidence == Untyped {
		return
	}
	r := b.record(at, t)
	r.evidence = evidence
	if evidence == Connection || evidence == StreamSilence {
		r.lostAt = at
	}
}

// LossEvidence returns what showed the last loss of an incarnation of a target.
func (b *Balancer) LossEvidence(key id.TargetIncarnation) Evidence {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.targets[key.Target]; r != nil && r.incarnation == key.Incarnation {
		return r.evidence
	}
	return Untyped
}

// ApplyPeerLossBy is like ApplyPeerLoss. evidence says what showed the loss. It does not count
// if a backlog may explain it, or if this entry has heard from the target in the meantime.
func (b *Balancer) ApplyPeerLossBy(now time.Time, t *catalog.Target, ago time.Duration, evidence Evidence) bool {
	if evidence == OverdueStart || (evidence != Untyped && b.contradicts(now, t, now.Add(-ago), evidence)) {
		return false
	}
	if evidence == Connection || evidence == StreamSilence {
		b.mu.Lock()
		if r := b.record(now, t); now.Add(-ago).After(r.lostAt) {
			r.lostAt = now.Add(-ago)
		}
		b.mu.Unlock()
	}
	return b.applyPeerLoss(now, t, ago, evidence)
}

// contradicts reports whether this entry has heard from a target since another entry lost it,
// or during the silence that ended the other entry's run.
func (b *Balancer) contradicts(now time.Time, t *catalog.Target, lostAt time.Time, evidence Evidence) bool {
	if evidence == StreamSilence || evidence == PausedStream || evidence == StartSilence {
		lostAt = lostAt.Add(-silenceBefore)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.look(now, t).heardAt().After(lostAt)
}
