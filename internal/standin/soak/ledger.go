package soak

import (
	"fmt"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Guarantee names what must hold.
type Guarantee string

// Promises.
const (
	// AtMostOnce: a request that may not be repeated runs at most once.
	AtMostOnce Guarantee = "once"
	// RefusedNotRun: a request that was refused as not run has not run and never does.
	RefusedNotRun Guarantee = "notRun"
	// CompleteAnswer: a successful answer is the target's whole answer to this request.
	CompleteAnswer Guarantee = "whole"
	// EventsInOrder: the events of a stream come in order, each once, up to the last.
	EventsInOrder Guarantee = "ordered"
	// MatchesRequest: targets run only what a client sent, for whom it was sent.
	MatchesRequest Guarantee = "asked"
	// RequestsServed: outside of faults requests are served, and after them again.
	RequestsServed Guarantee = "served"
	// ConfigInForce: outside of faults a change of the configuration is in force in time.
	ConfigInForce Guarantee = "inForce"
	// DrainRespected: outside of faults nothing is sent to a target that leaves.
	DrainRespected Guarantee = "drained"
	// StopsAfterDisconnect: work stops when its client has left.
	StopsAfterDisconnect Guarantee = "left"
	// ProcessLifecycle: processes end only when they are told to, and in time.
	ProcessLifecycle Guarantee = "running"
)

// Violation is a promise that did not hold.
type Violation struct {
	Promise Guarantee
	Attempt direct.AttemptID
	Detail  string
	// At is the time since the start of the run.
	At time.Duration
}

// String returns the break as one line.
func (b Violation) String() string {
	return fmt.Sprintf("%s at %v: attempt %s: %s", b.Promise, b.At.Round(time.Millisecond), b.Attempt, b.Detail)
}

// sent is an attempt as its client sent it.
type sent struct {
	at      time.Time
	path    string
	body    string
	account catalog.AccountName
	// refused says that the answer promised that the attempt was not run.
	refused bool
	// leftAt is when the client left without waiting for the answer.
	leftAt time.Time
}

// ran is one run of an attempt at a target.
type ran struct {
	target id.Target
	begun  time.Time
	ended  time.Time
}

// ledger holds what clients sent and what targets ran. It is safe for concurrent
// use.
type ledger struct {
	start time.Time

	mu     sync.Mutex
	sent   map[direct.AttemptID]*sent
	runs   map[direct.AttemptID][]*ran
	broken []Violation
	counts map[string]int
}

func newLedger(start time.Time) *ledger {
	return &ledger{start: start, sent: map[direct.AttemptID]*sent{}, runs: map[direct.AttemptID][]*ran{}, counts: map[string]int{}}
}

// breaks notes a promise that did not hold.
func (l *ledger) breaks(p Guarantee, attempt direct.AttemptID, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note(p, attempt, fmt.Sprintf(format, args...))
}

func (l *ledger) note(p Guarantee, attempt direct.AttemptID, detail string) {
	l.broken = append(l.broken, Violation{Promise: p, Attempt: attempt, Detail: detail, At: time.Since(l.start)})
}

// count counts something for the report.
func (l *ledger) count(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[what]++
}

// sends notes that a client is about to send an attempt.
func (l *ledger) sends(attempt direct.AttemptID, s sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[attempt] = &s
}

// refused notes that an attempt was refused as not run.
func (l *ledger) refused(attempt direct.AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[attempt].refused = true
}

// left notes that the client of an attempt has left.
func (l *ledger) left(attempt direct.AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[attempt].leftAt = time.Now()
}

// begins notes a run at a target and checks that it was asked for. The returned
// function ends the run.
func (l *ledger) begins(attempt direct.AttemptID, target id.Target, path, body string, account catalog.AccountName) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := &ran{target: target, begun: time.Now()}
	l.runs[attempt] = append(l.runs[attempt], run)
	s := l.sent[attempt]
	switch {
	case s == nil:
		l.note(MatchesRequest, attempt, fmt.Sprintf("%s ran what no client sent", target))
	case s.path != path || s.body != body:
		l.note(MatchesRequest, attempt, fmt.Sprintf("%s ran %s %q, sent was %s %q", target, path, body, s.path, s.body))
	case s.account != account:
		l.note(MatchesRequest, attempt, fmt.Sprintf("%s ran it for account %q, want %q", target, account, s.account))
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		run.ended = time.Now()
	}
}

// ranAt returns how often an attempt was run so far.
func (l *ledger) ranAt(attempt direct.AttemptID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs[attempt])
}

// leaveTime is how long work may go on after its client has left.
const leaveTime = 1500 * time.Millisecond

// audit checks what can be told only at the end. excused reports whether a fault
// lay between two times.
func (l *ledger) audit(excused func(from, to time.Time) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for attempt, runs := range l.runs {
		s := l.sent[attempt]
		if s == nil {
			continue
		}
		if repeatOf(s.path) == catalog.Unsafe && len(runs) > 1 {
			l.note(AtMostOnce, attempt, fmt.Sprintf("it ran %d times, at %s and %s", len(runs), runs[0].target, runs[1].target))
		}
		if s.refused && len(runs) > 0 {
			l.note(RefusedNotRun, attempt, fmt.Sprintf("it was refused as not run, and ran at %s", runs[0].target))
		}
		for _, r := range runs {
			late := !s.leftAt.IsZero() && !r.ended.IsZero() && r.ended.Sub(s.leftAt) > leaveTime
			if late && !excused(s.leftAt, r.ended) {
				l.note(StopsAfterDisconnect, attempt, fmt.Sprintf("%s worked on %v after its client had left", r.target, r.ended.Sub(s.leftAt)))
			}
		}
	}
}
