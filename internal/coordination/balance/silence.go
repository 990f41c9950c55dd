package balance

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// signValidFor is how long a sign of life, or the lack of an answer to a question, is taken for
// the state of a target.
const signValidFor = 1500 * time.Millisecond

const (
	// busyTime is how long a target counts as busier than its load tells after a run there was
	// silent for longer than its own prompt explains, and busyCost is added to its cost then.
	busyTime = 500 * time.Millisecond
	busyCost = 2
)

// look returns the record of a target's incarnation. Unlike record, it does not replace the record
// of another incarnation by a new one.
func (b *Balancer) look(now time.Time, t *catalog.Target) *record {
	if r := b.targets[t.ID]; r != nil && r.incarnation == t.Incarnation {
		return r
	}
	return &record{incarnation: t.Incarnation, group: groupOf(t), since: now}
}

// SilenceVerdict says what the silence of a run means that has sent no event yet.
type SilenceVerdict string

// Verdicts about silence.
const (
	// SilenceExpected means that the run's turn may not have come, at a target that lives.
	SilenceExpected SilenceVerdict = "expected"
	// SilenceUnclear means that the target must be asked whether it lives.
	SilenceUnclear SilenceVerdict = "unclear"
	// SilenceEnds means that silence may end the run.
	SilenceEnds SilenceVerdict = "ends"
)

// JudgeSilence judges the attempt's silence, which is longer than its own prompt explains.
// While it goes on, the target counts as busier than its load tells.
func (a *Attempt) JudgeSilence(now time.Time) SilenceVerdict {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	verdict := a.judgeSilence(now)
	if !a.started && !a.ended {
		a.balancer.look(now, a.target).busyUntil = now.Add(busyTime)
	}
	return verdict
}

func (a *Attempt) judgeSilence(now time.Time) SilenceVerdict {
	r := a.balancer.look(now, a.target)
	switch {
	case a.started || a.ended:
		return SilenceEnds
	case !r.knownState(now):
		return SilenceUnclear
	case r.unanswered():
		return SilenceEnds
	case a.ahead(now) < minAhead:
		return SilenceEnds
	case a.balancer.lostSince(now, a):
		return SilenceUnclear
	}
	return SilenceExpected
}

// SilenceExplained reports whether a backlog explains the attempt's silence so far, where its target
// can't be asked. It does not after latest, or if the target is known to be lost.
func (a *Attempt) SilenceExplained(now, latest time.Time) bool {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if a.started || a.ended || !now.Before(latest) || a.balancer.lostSince(now, a) {
		return false
	}
	ahead := a.ahead(now)
	return ahead >= minAhead && now.Before(a.wait.sent.Add(startMargin+startFactor*(ahead+a.wait.own)))
}

// ExpectedWait returns how long the attempt was expected to wait for others, for the log.
func (a *Attempt) ExpectedWait(now time.Time) time.Duration {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	return a.ahead(now)
}

// ahead returns the expected wait for others. Prompts that were sent later may overtake the
// attempt, if they are more urgent.
func (a *Attempt) ahead(now time.Time) time.Duration {
	if a.request.Engine == nil || a.waitEnded {
		return a.wait.ahead
	}
	r := a.balancer.look(now, a.target)
	l := a.balancer.total(r, a.target)
	later := a.balancer.paceOf(now, r, l, a.target).computeTime(now, float64(max(0, l.PrefillTokens-a.request.PromptTokens)))
	return max(a.wait.ahead, later)
}

// RecordSign records whether a target has answered the question whether it lives. The answer does
// not come from a run, so it says nothing about requests that ran there.
func (b *Balancer) RecordSign(now time.Time, t *catalog.Target, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(now, t)
	if answered {
		r.aliveAt = now
		return
	}
	r.unansweredAt = now
}

// heardAt returns when the target last gave a sign of life.
func (r *record) heardAt() time.Time {
	if r.aliveAt.After(r.lastActivity) {
		return r.aliveAt
	}
	return r.lastActivity
}

// unanswered reports whether the target's last question was not answered, and it has given no sign
// of life since.
func (r *record) unanswered() bool {
	return !r.unansweredAt.IsZero() && !r.heardAt().After(r.unansweredAt)
}

// knownState reports whether the target has given a sign of life lately, or was asked in vain.
func (r *record) knownState(now time.Time) bool {
	heard, asked := r.heardAt(), r.unansweredAt
	return (!heard.IsZero() && now.Sub(heard) <= signValidFor) || (!asked.IsZero() && now.Sub(asked) <= signValidFor)
}

// lostSince reports whether the target was lost, or its zone, by evidence that a backlog can't
// give, and has given no sign of life since.
func (b *Balancer) lostSince(now time.Time, a *Attempt) bool {
	r := b.look(now, a.target)
	return r.silentSince(r.lostAt, a) || r.silentSince(b.zoneRecord(a.target).lostAt, a)
}

// silentSince reports whether a loss at a time may concern the attempt, and the target has given
// no sign of life since.
func (r *record) silentSince(at time.Time, a *Attempt) bool {
	return at.After(a.wait.sent.Add(-zoneSuspectTime)) && !r.heardAt().After(at)
}

// Stranded returns the targets of a service in lost zones at which attempts with a claim wait, and
// of which it is not known whether they live.
func (b *Balancer) Stranded(now time.Time, service id.Service) catalog.Targets {
	b.mu.Lock()
	defer b.mu.Unlock()
	seen := map[id.Target]bool{}
	var stranded catalog.Targets
	for a := range b.waiting {
		if b.mayMove(now, a, service) && !seen[a.target.ID] && !b.look(now, a.target).unansweredNow(now) {
			seen[a.target.ID] = true
			stranded = append(stranded, a.target)
		}
	}
	return stranded
}

// unansweredNow reports whether the target was asked in vain lately.
func (r *record) unansweredNow(now time.Time) bool {
	return r.unanswered() && now.Sub(r.unansweredAt) <= signValidFor
}
