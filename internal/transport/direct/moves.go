package direct

import (
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
)

// moveInterval is how often more of the runs that wait in a lost zone may leave it.
const moveInterval = 50 * time.Millisecond

// zoneMoves has runs that wait for targets of lost zones leave them, as the retry budget and the
// free slots of other targets allow. It is safe for concurrent use.
type zoneMoves struct {
	e *Entry

	mu sync.Mutex
	// scheduled holds the services for which a round runs or follows. The value says that a
	// target was lost since the last round began.
	scheduled map[id.Service]bool
}

func newZoneMoves(e *Entry) *zoneMoves { return &zoneMoves{e: e, scheduled: map[id.Service]bool{}} }

// targetLost begins a round for a service that has lost a target.
func (m *zoneMoves) targetLost(service id.Service) {
	if m.e.competes(service) && m.schedule(service) {
		m.round(service)
	}
}

// schedule reports whether the caller begins the next round.
func (m *zoneMoves) schedule(service id.Service) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, runs := m.scheduled[service]; runs {
		m.scheduled[service] = true
		return false
	}
	m.scheduled[service] = false
	return true
}

// begin records that a round begins.
func (m *zoneMoves) begin(service id.Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.scheduled[service] = false
}

// end reports whether no other round follows: nobody waits on, and no target was lost meanwhile.
func (m *zoneMoves) end(service id.Service, left int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if (left > 0 || m.scheduled[service]) && !m.e.stopped() {
		return false
	}
	delete(m.scheduled, service)
	return true
}

// round has as many runs leave as may now. If others wait on, another round follows.
func (m *zoneMoves) round(service id.Service) {
	e := m.e
	m.begin(service)
	now := e.deps.Clock.Now()
	for _, t := range e.balancer.Stranded(now, service) {
		if !e.signs.ask(t) {
			e.balancer.RecordSign(now, t, false)
		}
	}
	budget := e.retryBudgets.available(now, service, e.roster.LimitShare(now), streamReportAge)
	room := e.balancer.FreeSlots(now, e.directory.View().Targets[service])
	moves := e.balancer.TakeMoves(now, service, min(budget, room))
	if len(moves.Taken) > 0 {
		first, last := moves.Taken[0], moves.Taken[len(moves.Taken)-1]
		e.deps.Log.Emit(event.WaitingMoved, "service", service, "moved", len(moves.Taken), "left", moves.Left, "budget", budget, "room", room,
			"firstPriority", first.Priority, "firstBegun", first.Begun, "lastPriority", last.Priority)
		e.metrics.waitingMoved(service, len(moves.Taken))
	}
	if !m.end(service, moves.Left) {
		e.deps.Clock.AfterFunc(moveInterval, func() { m.round(service) })
	}
}

// judgeSilence returns a function that reports whether silence may end a run that begins now: not
// before its turn could have come at a target that lives, and otherwise as mayEnd says.
func (s *stream) judgeSilence(run *balance.Attempt, t *catalog.Target, mayEnd func() bool) func() bool {
	c := s.c
	if !c.e.competes(c.service) || c.requirements.Engine == nil {
		return mayEnd
	}
	sent, latest := c.now(), s.latestRetry(false)
	var logged sync.Once
	return func() bool {
		now := c.now()
		verdict := run.JudgeSilence(now)
		if verdict == balance.SilenceUnclear && !c.e.signs.ask(t) && !run.SilenceExplained(now, latest) {
			verdict = balance.SilenceEnds
		}
		if verdict == balance.SilenceExpected {
			logged.Do(func() {
				c.log(event.SilenceExplained, "target", t.ID, "silent", now.Sub(sent), "ahead", run.ExpectedWait(now))
				c.e.metrics.silenceExplained(c.service)
			})
		}
		return verdict == balance.SilenceEnds && mayEnd()
	}
}
