package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Guarantee is a property of foxtailward that a run checks. Its values are written to
// the report.
type Guarantee string

// Guarantees.
const (
	// AtMostOnce: a request that must not be repeated runs at most once.
	AtMostOnce Guarantee = "once"
	// RefusedNotRun: an attempt that was refused as not run has not run and never runs
	// later.
	RefusedNotRun Guarantee = "notRun"
	// CompleteAnswer: a successful response is the target's complete answer to this
	// request.
	CompleteAnswer Guarantee = "whole"
	// EventsInOrder: a client receives all events of a stream, in order and once each.
	EventsInOrder Guarantee = "ordered"
	// MatchesRequest: targets run only requests that a client sent, unchanged and for
	// the account that sent them.
	MatchesRequest Guarantee = "asked"
	// RequestsServed: requests are served while no fault is active, and again after
	// faults.
	RequestsServed Guarantee = "served"
	// ConfigInForce: a configuration change is applied in time while no fault is active.
	ConfigInForce Guarantee = "inForce"
	// DrainRespected: draining targets get no requests while no fault is active.
	DrainRespected Guarantee = "drained"
	// StopsAfterDisconnect: a target stops working on a request when its client has
	// disconnected.
	StopsAfterDisconnect Guarantee = "left"
	// CrashingRefused: a request that has crashed three targets is not sent to others.
	CrashingRefused Guarantee = "crashingRefused"
	// HarmlessAccepted: a request that crashes no target is not refused as if it did.
	HarmlessAccepted Guarantee = "harmlessAccepted"
	// LimitKept means that a target that names a limit gets no more requests than that
	// allows, from all entries together.
	LimitKept Guarantee = "limitKept"
	// RestKept means that a target that wants a rest gets no requests from the entry that it
	// asked.
	RestKept Guarantee = "restKept"
	// SoftwareKept means that a stream holds events of one version of its target's software.
	SoftwareKept Guarantee = "softwareKept"
	// StreamsGoOn means that streams that clients resume go on about as often as new ones
	// begin, while their versions serve.
	StreamsGoOn Guarantee = "streamsGoOn"
	// AnsweredAtStops means that planned work cuts no request that a target has run.
	AnsweredAtStops Guarantee = "answeredAtStops"
	// SoundEnds means that unframed streams whose last event has arrived end as whole.
	SoundEnds Guarantee = "soundEnds"
	// RolloutKept means that a bad version gets no more than its share and is not completed, and
	// that, without faults, roll-outs come to their end in time.
	RolloutKept Guarantee = "rolloutKept"
	// PlanMet means that a run met the case that its plan is for.
	PlanMet Guarantee = "planMet"
	// ProcessLifecycle: processes exit only when they are told to, and in time.
	ProcessLifecycle Guarantee = "running"
)

// Violation is a case in which a guarantee did not hold. The names of its fields are
// part of the JSON report.
type Violation struct {
	Promise Guarantee
	Attempt direct.AttemptID
	Detail  string
	// At is the time of the violation, relative to the start of the run.
	At time.Duration
}

// String formats the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %v: attempt %s: %s", v.Promise, v.At.Round(time.Millisecond), v.Attempt, v.Detail)
}

// sentAttempt is an attempt as a client sent it.
type sentAttempt struct {
	sentAt  time.Time
	path    string
	body    string
	account catalog.AccountName
	// entry is the name of the entry that the attempt was sent to.
	entry string
	// refused is set if the response said that the attempt was not run.
	refused bool
	// disconnectedAt is when the client disconnected without waiting for the answer.
	disconnectedAt time.Time
}

// targetRun is one execution of an attempt by a target.
type targetRun struct {
	target    id.Target
	startedAt time.Time
	endedAt   time.Time
}

// history records what clients sent and what targets ran, and the violations. It is
// safe for concurrent use.
type history struct {
	start time.Time

	mu         sync.Mutex
	sent       map[direct.AttemptID]*sentAttempt
	runs       map[direct.AttemptID][]*targetRun
	violations []Violation
	counts     map[string]int
}

func newHistory(start time.Time) *history {
	return &history{start: start, sent: map[direct.AttemptID]*sentAttempt{}, runs: map[direct.AttemptID][]*targetRun{}, counts: map[string]int{}}
}

// recordViolation records that a guarantee did not hold.
func (h *history) recordViolation(g Guarantee, attempt direct.AttemptID, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addViolation(g, attempt, fmt.Sprintf(format, args...))
}

func (h *history) addViolation(g Guarantee, attempt direct.AttemptID, detail string) {
	h.violations = append(h.violations, Violation{Promise: g, Attempt: attempt, Detail: detail, At: time.Since(h.start)})
}

// count increments a count of the report.
func (h *history) count(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[name]++
}

// countN adds to a count of the report.
func (h *history) countN(name string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n > 0 {
		h.counts[name] += n
	}
}

// countOf returns a count of the report.
func (h *history) countOf(name string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts[name]
}

// recordSent records that a client is about to send an attempt.
func (h *history) recordSent(attempt direct.AttemptID, s sentAttempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent[attempt] = &s
}

// recordRefusal records that an attempt was refused as not run.
func (h *history) recordRefusal(attempt direct.AttemptID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent[attempt].refused = true
}

// recordDisconnect records that the client of an attempt has disconnected.
func (h *history) recordDisconnect(attempt direct.AttemptID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent[attempt].disconnectedAt = time.Now()
}

// recordRunStart records the start of a run at a target and checks that the run
// matches a sent attempt. The returned function records the run's end.
func (h *history) recordRunStart(attempt direct.AttemptID, target id.Target, path, body string, account catalog.AccountName) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	run := &targetRun{target: target, startedAt: time.Now()}
	h.runs[attempt] = append(h.runs[attempt], run)
	s := h.sent[attempt]
	switch {
	case s == nil:
		h.addViolation(MatchesRequest, attempt, fmt.Sprintf("target %s ran an attempt that no client sent", target))
	case s.path != path || s.body != body:
		h.addViolation(MatchesRequest, attempt, fmt.Sprintf("target %s ran %s with body %q, but the client sent %s with body %q", target, path, body, s.path, s.body))
	case s.account != account:
		h.addViolation(MatchesRequest, attempt, fmt.Sprintf("target %s ran it for account %q, want %q", target, account, s.account))
	}
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		run.endedAt = time.Now()
	}
}

// entryOf returns the name of the entry that an attempt was sent to.
func (h *history) entryOf(attempt direct.AttemptID) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.sent[attempt]; s != nil {
		return s.entry
	}
	return ""
}

// sentAt returns when an attempt was sent; zero for an unknown one.
func (h *history) sentAt(attempt direct.AttemptID) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.sent[attempt]; s != nil {
		return s.sentAt
	}
	return time.Time{}
}

// runCount returns the number of runs of an attempt so far.
func (h *history) runCount(attempt direct.AttemptID) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.runs[attempt])
}

// endedBefore is how long ago a run may have ended whose entry has just closed the client's
// connection.
const endedBefore = 300 * time.Millisecond

// running reports whether a target runs an attempt, or did so just now.
func (h *history) running(attempt direct.AttemptID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.runs[attempt], func(r *targetRun) bool {
		return r.endedAt.IsZero() || time.Since(r.endedAt) <= endedBefore
	})
}

// maxWorkAfterDisconnect is how long a target may work on a request after its client
// has disconnected.
const maxWorkAfterDisconnect = 1500 * time.Millisecond

// check checks the guarantees that can be checked only at the end of the run. excused
// reports whether a fault was active between two times.
func (h *history) check(excused func(from, to time.Time) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for attempt, runs := range h.runs {
		s := h.sent[attempt]
		if s == nil {
			continue
		}
		if runsOnce(s.path) && len(runs) > 1 {
			h.addViolation(AtMostOnce, attempt, fmt.Sprintf("it ran %d times, first at targets %s and %s", len(runs), runs[0].target, runs[1].target))
		}
		if s.refused && len(runs) > 0 {
			h.addViolation(RefusedNotRun, attempt, fmt.Sprintf("it was refused as not run, but ran at target %s", runs[0].target))
		}
		for _, r := range runs {
			late := !s.disconnectedAt.IsZero() && !r.endedAt.IsZero() && r.endedAt.Sub(s.disconnectedAt) > maxWorkAfterDisconnect
			if late && !excused(s.disconnectedAt, r.endedAt) {
				h.addViolation(StopsAfterDisconnect, attempt, fmt.Sprintf("target %s worked until %v after its client had disconnected", r.target, r.endedAt.Sub(s.disconnectedAt)))
			}
		}
	}
}
