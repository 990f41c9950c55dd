package claim_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/claim"
	"foxtailward.example/foxtailward/internal/state/id"
)

// maxInvocations is the largest number of successive invocations of one request by its
// caller. The caller retries if it was told any outcome but done, or if it gave up
// waiting while the invocation before continues or stays paused forever.
const maxInvocations = 3

// setup configures one small model. Each invocation has its own entry.
type setup struct {
	invocations int
	generatedID bool
	// refusals marks the invocations that are refused before they claim.
	refusals [maxInvocations]bool
	// targets is the target process that each invocation uses.
	targets [maxInvocations]int
	// The number of faults of each kind, which can occur at any time.
	lostResponses, outages, lostReplies, targetCrashes, entryCrashes int
	// Wrong rules, to show that the model detects them.
	callAnyIncarnation  bool // a target process accepts calls for other incarnations
	fenceAnyIncarnation bool // a fence answers for other incarnations
	ineffectiveFence    bool // a fence does not block later calls
	absentCountsAsOwn   bool // an absent claim counts as written
}

// process is a target process with its service.
type process struct {
	incarnation            id.Incarnation
	seen, fenced, hasReply bool
	// pending is the invocation, counted from 1, whose call the service has
	// received and not yet run. It remains if the target process crashes.
	pending            int
	pendingIncarnation id.Incarnation
}

// modelInvocation is one invocation with its messages in flight.
type modelInvocation struct {
	machine          claim.Machine
	started, crashed bool
	answered         bool
	// sent is 1 while the call is in flight to the target, 2 once it was delivered.
	sent  int
	reply claim.Event
	// lateCreate and lateSettle are writes without response that may still take
	// effect.
	lateCreate bool
	lateSettle claim.State
}

// state is one state of the model.
type state struct {
	invocations [maxInvocations]modelInvocation
	targets     [2]process
	written     bool
	storedClaim claim.Claim
	runs        int
	// open is the invocation that the caller waits for.
	open                                                             int
	lostResponses, outages, lostReplies, targetCrashes, entryCrashes int
	reportedNotRun, reportedDone                                     bool
}

// key encodes w completely in a short string.
func (w *state) key() string {
	b := make([]byte, 0, 80)
	flag := func(fs ...bool) {
		var n byte
		for i, f := range fs {
			if f {
				n |= 1 << i
			}
		}
		b = append(b, n)
	}
	for i := range w.invocations {
		a := &w.invocations[i]
		b = append(b, initial(a.machine.Action), initial(a.machine.Outcome), byte(a.machine.CurrentClaim.Nonce), initial(a.machine.CurrentClaim.State),
			byte(a.sent), initial(a.lateSettle), byte(a.machine.OwnClaim.Incarnation), byte(a.machine.CurrentClaim.Incarnation))
		b = append(b, initialAt(a.reply, len("replied")))
		// The field createRetried is not exported, so it is observed by its effect.
		flag(a.started, a.crashed, a.answered, a.lateCreate, a.machine.Next(claim.Absent, claim.Claim{}).Action == claim.Answer)
	}
	for _, t := range w.targets {
		b = append(b, byte(t.incarnation), byte(t.pending), byte(t.pendingIncarnation))
		flag(t.seen, t.fenced, t.hasReply)
	}
	b = append(b, byte(w.storedClaim.Nonce), byte(w.storedClaim.Incarnation), initial(w.storedClaim.State), byte(w.runs), byte(w.open),
		byte(w.lostResponses), byte(w.outages), byte(w.lostReplies), byte(w.targetCrashes), byte(w.entryCrashes))
	flag(w.written, w.reportedNotRun, w.reportedDone)
	return string(b)
}

func initial[T ~string](s T) byte { return initialAt(s, 0) }

func initialAt[T ~string](s T, i int) byte {
	if len(s) <= i {
		return 0
	}
	return s[i]
}

func (s *setup) start() state {
	w := state{lostResponses: s.lostResponses, outages: s.outages, lostReplies: s.lostReplies, targetCrashes: s.targetCrashes, entryCrashes: s.entryCrashes}
	for i := range w.targets {
		w.targets[i].incarnation = 1
	}
	s.open(&w, 0)
	return w
}

// open starts invocation i with the current incarnation of its target.
func (s *setup) open(w *state, i int) {
	t := s.targets[i]
	w.open = i
	newMachine := claim.NewMachine
	if s.refusals[i] {
		newMachine = claim.NewRefusalMachine
	}
	w.invocations[i] = modelInvocation{started: true, machine: newMachine(claim.Claim{
		Request: "r", Owner: id.Entry(fmt.Sprint(i)), Nonce: uint64(i + 1),
		Target: id.Target(fmt.Sprint(t)), Incarnation: w.targets[t].incarnation,
	}, s.generatedID)}
}

// explorer visits all reachable states of a setup.
type explorer struct {
	setup
	seen      map[string]bool
	queue     []state
	outcomes  map[claim.Outcome]int
	violation string
}

const maxStates = 6_000_000

func explore(s setup) *explorer {
	e := &explorer{setup: s, seen: map[string]bool{}, outcomes: map[claim.Outcome]int{}}
	e.visit(s.start())
	for len(e.queue) > 0 && e.violation == "" && len(e.seen) < maxStates {
		w := e.queue[len(e.queue)-1]
		e.queue = e.queue[:len(e.queue)-1]
		e.expand(w)
	}
	return e
}

// visit checks the invariants of w and queues it, unless it was visited before.
func (e *explorer) visit(w state) {
	k := w.key()
	if e.seen[k] {
		return
	}
	e.seen[k] = true
	e.queue = append(e.queue, w)
	switch {
	case w.runs > 1:
		e.violation = "the call ran twice"
	case w.reportedNotRun && w.runs > 0:
		e.violation = "the call ran, and its caller was told notRun"
	case w.reportedDone && w.runs != 1:
		e.violation = "the caller was told done, and the call did not run"
	}
}

func (e *explorer) expand(w state) {
	for i := range w.invocations {
		if a := &w.invocations[i]; a.started {
			e.deliverLate(w, i)
			if !a.crashed && !a.answered {
				e.step(w, i)
			}
		}
	}
	for t := range w.targets {
		e.stepTarget(w, t)
	}
	e.stepCaller(w)
}

// stepCaller lets the caller receive an answer, or give up and retry.
func (e *explorer) stepCaller(w state) {
	a := &w.invocations[w.open]
	again := w.open+1 < e.invocations
	if again && !a.answered {
		next := w
		e.open(&next, w.open+1)
		e.visit(next)
	}
	if a.crashed || a.answered || a.machine.Action != claim.Answer {
		return
	}
	w.invocations[w.open].answered = true
	e.outcomes[a.machine.Outcome]++
	w.reportedNotRun = w.reportedNotRun || a.machine.Outcome == claim.NotRun
	w.reportedDone = w.reportedDone || a.machine.Outcome == claim.Done
	if again && a.machine.Outcome != claim.Done {
		e.visit(w)
		e.open(&w, w.open+1)
	}
	e.visit(w)
}

// deliverLate lets a write or a call of invocation i arrive, even if the invocation has
// ended.
func (e *explorer) deliverLate(w state, i int) {
	a := &w.invocations[i]
	if a.lateCreate {
		next := w
		next.invocations[i].lateCreate = false
		next.create(a.machine.OwnClaim)
		e.visit(next)
	}
	if a.lateSettle != "" {
		next := w
		next.invocations[i].lateSettle = ""
		next.settle(a.machine.CurrentClaim, a.lateSettle)
		e.visit(next)
	}
	if a.sent == 1 {
		e.deliver(w, i)
	}
}

// deliver delivers the call of invocation i to its target process.
func (e *explorer) deliver(w state, i int) {
	t := &w.targets[e.targets[i]]
	w.invocations[i].sent = 2
	switch {
	case t.incarnation != w.invocations[i].machine.OwnClaim.Incarnation && !e.callAnyIncarnation:
		w.invocations[i].reply = claim.RepliedNotRun
	case t.fenced:
		w.invocations[i].reply = claim.RepliedNotRun
	case t.seen:
		w.invocations[i].reply = claim.RepliedUnknown
	default:
		t.seen = true
		t.pending, t.pendingIncarnation = i+1, t.incarnation
	}
	e.visit(w)
}

// stepTarget lets a service run its call, or a target process crash and restart.
func (e *explorer) stepTarget(w state, t int) {
	p := &w.targets[t]
	if p.pending != 0 {
		next := w
		q := &next.targets[t]
		next.runs++
		if q.incarnation == q.pendingIncarnation {
			q.hasReply = true
			next.invocations[q.pending-1].reply = claim.RepliedDone
		}
		q.pending, q.pendingIncarnation = 0, 0
		e.visit(next)
	}
	if w.targetCrashes > 0 {
		w.targetCrashes--
		*p = process{incarnation: p.incarnation + 1, pending: p.pending, pendingIncarnation: p.pendingIncarnation}
		e.visit(w)
	}
}

// step applies each possible event of the current action of invocation i.
func (e *explorer) step(w state, i int) {
	if w.entryCrashes > 0 {
		next := w
		next.entryCrashes--
		next.invocations[i].crashed = true
		e.visit(next)
	}
	switch w.invocations[i].machine.Action {
	case claim.Create, claim.Read:
		e.stepStore(w, i)
	case claim.Settle:
		e.stepSettle(w, i)
	case claim.Dispatch:
		e.stepDispatch(w, i)
	case claim.Fence:
		e.stepFence(w, i)
	}
}

func (e *explorer) advance(w state, i int, ev claim.Event, found claim.Claim) {
	w.invocations[i].machine = w.invocations[i].machine.Next(ev, found)
	e.visit(w)
}

func (e *explorer) stepStore(w state, i int) {
	a := w.invocations[i].machine
	if w.outages > 0 {
		next := w
		next.outages--
		ev := claim.NotWritten
		if a.Action == claim.Read {
			ev = claim.ResponseLost
		}
		e.advance(next, i, ev, claim.Claim{})
	}
	if a.Action == claim.Create && w.lostResponses > 0 {
		next := w
		next.lostResponses--
		later := next
		later.invocations[i].lateCreate = true
		e.advance(later, i, claim.ResponseLost, claim.Claim{})
		next.create(a.OwnClaim)
		e.advance(next, i, claim.ResponseLost, claim.Claim{})
	}
	switch {
	case a.Action == claim.Create && w.create(a.OwnClaim):
		e.advance(w, i, claim.Created, claim.Claim{})
	case w.written:
		e.advance(w, i, claim.Found, w.storedClaim)
	case e.absentCountsAsOwn:
		e.advance(w, i, claim.Created, claim.Claim{})
	default:
		e.advance(w, i, claim.Absent, claim.Claim{})
	}
}

func (w *state) create(c claim.Claim) bool {
	if w.written {
		return false
	}
	w.written, w.storedClaim = true, c
	return true
}

func (w *state) settle(c claim.Claim, s claim.State) {
	if w.written && w.storedClaim.Same(&c) && w.storedClaim.State == claim.Claimed {
		w.storedClaim.State = s
	}
}

func (e *explorer) stepSettle(w state, i int) {
	a := w.invocations[i].machine
	state := claim.StateNotRun
	if a.Outcome == claim.Done {
		state = claim.StateDone
	}
	if w.outages > 0 {
		next := w
		next.outages--
		e.advance(next, i, claim.Settled, claim.Claim{})
	}
	if w.lostResponses > 0 {
		next := w
		next.lostResponses--
		next.invocations[i].lateSettle = state
		e.advance(next, i, claim.Settled, claim.Claim{})
	}
	w.settle(a.CurrentClaim, state)
	e.advance(w, i, claim.Settled, claim.Claim{})
}

func (e *explorer) stepDispatch(w state, i int) {
	a := &w.invocations[i]
	switch {
	case a.sent == 0:
		w.invocations[i].sent = 1
		e.visit(w)
		return
	case a.reply != "":
		e.advance(w, i, a.reply, claim.Claim{})
	}
	// The reply is lost, or the connection broke because the target process crashed.
	switch {
	case w.lostReplies > 0:
		w.lostReplies--
	case w.targets[e.targets[i]].incarnation == a.machine.OwnClaim.Incarnation:
		return
	}
	e.advance(w, i, claim.RepliedUnknown, claim.Claim{})
}

func (e *explorer) stepFence(w state, i int) {
	held := w.invocations[i].machine.CurrentClaim
	if w.lostReplies > 0 {
		next := w
		next.lostReplies--
		e.advance(next, i, claim.RepliedUnknown, claim.Claim{}) // the fence did not arrive
		e.fence(&next, held)
		e.advance(next, i, claim.RepliedUnknown, claim.Claim{})
	}
	ev := e.fence(&w, held)
	e.advance(w, i, ev, claim.Claim{})
}

func (e *explorer) fence(w *state, held claim.Claim) claim.Event {
	t := &w.targets[held.Target[0]-'0']
	switch {
	case t.incarnation != held.Incarnation && !e.fenceAnyIncarnation:
		return claim.RepliedUnknown
	case t.hasReply:
		return claim.RepliedDone
	case t.seen:
		return claim.RepliedUnknown
	}
	t.fenced = !e.ineffectiveFence
	return claim.RepliedNotRun
}

// TestMachineModel explores all interleavings of small models. It checks that the call
// never runs twice, never runs before or after its caller was told notRun, and has run
// if its caller was told done. The models with wrong rules must show a violation.
func TestMachineModel(t *testing.T) {
	faults := setup{invocations: 2, lostResponses: 1, outages: 1, lostReplies: 1, targetCrashes: 1, entryCrashes: 1}
	with := func(change func(*setup)) setup {
		s := faults
		change(&s)
		return s
	}
	tests := []struct {
		name  string
		setup setup
		// wantViolation says that the rules are wrong and the check must find a
		// violation.
		wantViolation bool
	}{
		{"one invocation, generated id", with(func(s *setup) { s.invocations, s.generatedID, s.outages = 1, true, 2 }), false},
		{"retry, same target", faults, false},
		{"retry, other target", with(func(s *setup) { s.targets[1] = 1 }), false},
		{"retry, two crashes", with(func(s *setup) { s.targetCrashes = 2 }), false},
		{"retry, more faults", with(func(s *setup) { s.lostResponses, s.outages, s.lostReplies = 2, 2, 2 }), false},
		{"a retry exceeds a limit", with(func(s *setup) { s.refusals[1] = true }), false},
		{"a retry after a refusal by a limit", with(func(s *setup) { s.refusals[0] = true }), false},
		{"two retries", with(func(s *setup) { s.invocations, s.targets[2] = 3, 1 }), false},
		{"calls for any incarnation", with(func(s *setup) { s.callAnyIncarnation = true }), true},
		{"a fence for any incarnation", with(func(s *setup) { s.fenceAnyIncarnation = true }), true},
		{"a fence without effect", with(func(s *setup) { s.ineffectiveFence = true }), true},
		{"an absent claim counts as written", with(func(s *setup) { s.absentCountsAsOwn = true }), true},
		{"a key counts as generated id", with(func(s *setup) { s.generatedID = true }), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := explore(tt.setup)
			t.Logf("%d states, outcomes: %v, violation: %q", len(e.seen), e.outcomes, e.violation)
			is.Equal(e.violation != "", tt.wantViolation)
			is.True(len(e.seen) < maxStates) // all states were visited
			if tt.wantViolation {
				return
			}
			is.True(tt.setup.refusals[0] || e.outcomes[claim.Done] > 0)
			for _, o := range []claim.Outcome{claim.NotRun, claim.Unknown} {
				is.True(e.outcomes[o] > 0) // each outcome is reachable
			}
		})
	}
}
