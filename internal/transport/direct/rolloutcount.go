package direct

import (
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/coordination/rollout"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// lossTime is the time in which all broken connections of a target count as one failure,
// because a target that crashes breaks off all its requests.
const lossTime = time.Second

// countFirstEvent counts the begin of a stream at a target.
func (c *call) countFirstEvent(t *catalog.Target, sent, now time.Time) {
	c.countAnswer(t, rollout.Answer{Took: now.Sub(sent)}, sent)
}

// countOutcome counts how an attempt ended. A client that left says something only if it waited
// for longer than the route's objective.
func (c *call) countOutcome(t *catalog.Target, outcome balance.Outcome, sent, now time.Time) {
	began := c.route.Kind == catalog.Streaming && !c.attemptBegan.IsZero()
	a := rollout.Answer{Took: now.Sub(sent)}
	switch outcome {
	case balance.Succeeded:
		if began && c.answer.events > 1 {
			c.countAnswer(t, rollout.Answer{Took: now.Sub(c.attemptBegan) / time.Duration(c.answer.events-1), Pace: true}, sent)
		}
		if began {
			return
		}
	case balance.ClientCancelled:
		if began || c.route.LatencyObjective == 0 || a.Took < c.route.LatencyObjective {
			return
		}
	case balance.Failed:
		a.Failed = true
	case balance.Lost, balance.Rerouted:
		if !c.e.rollouts.firstLoss(t, now) {
			return
		}
		a.Failed = true
	default:
		return
	}
	c.countAnswer(t, a, sent)
}

// firstLoss reports whether the target broke off no other request within lossTime.
func (r *rollouts) firstLoss(t *catalog.Target, now time.Time) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.states[t.Service]
	if st == nil {
		return false
	}
	last, known := st.lostAt[t.ID]
	if known && now.Sub(last) < lossTime {
		return false
	}
	if st.lostAt == nil {
		st.lostAt = map[id.Target]time.Time{}
	}
	st.lostAt[t.ID] = now
	return true
}

// countAnswer counts an answer of a target by its version. The time says nothing while the
// target is warming up.
func (c *call) countAnswer(t *catalog.Target, a rollout.Answer, sent time.Time) {
	r := c.e.rollouts
	if r == nil || t.SoftwareUnknown {
		return
	}
	now := c.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.states[c.service]
	if st == nil || st.Stage == nil || !st.Active() {
		return
	}
	role := st.Stage.Role(t.Software)
	if role != rollout.NewVersion && role != rollout.OldVersion {
		return
	}
	a.Route, a.New = c.route.Name, role == rollout.NewVersion
	if sent.Before(t.WarmAt) {
		a.Took = 0
	}
	st.Add(a)
	if a.New && a.Failed && st.Examine(now) {
		r.foundBad(st)
		r.e.updatePeers()
	}
}
