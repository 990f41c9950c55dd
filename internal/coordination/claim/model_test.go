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

// key encodes st completely in a short string.
func (st *state) key() string {
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
	for i := range st.invocations {
		inv := &st.invocations[i]
		b = append(b, initial(inv.machine.Action), initial(inv.machine.Outcome), byte(inv.machine.CurrentClaim.Nonce), initial(inv.machine.CurrentClaim.State),
			byte(inv.sent), initial(inv.lateSettle), byte(inv.machine.OwnClaim.Incarnation), byte(inv.machine.CurrentClaim.Incarnation))
		b = append(b, initialAt(inv.reply, len("replied")))
		// The field createRetried is not exported, so it is observed by its effect.
		flag(inv.started, inv.crashed, inv.answered, inv.lateCreate, inv.machine.Next(claim.Absent, claim.Claim{}).Action == claim.Answer)
	}
	for _, t := range st.targets {
		b = append(b, byte(t.incarnation), byte(t.pending), byte(t.pendingIncarnation))
		flag(t.seen, t.fenced, t.hasReply)
	}
	b = append(b, byte(st.storedClaim.Nonce), byte(st.storedClaim.Incarnation), initial(st.storedClaim.State), byte(st.runs), byte(st.open),
		byte(st.lostResponses), byte(st.outages), byte(st.lostReplies), byte(st.targetCrashes), byte(st.entryCrashes))
	flag(st.written, st.reportedNotRun, st.reportedDone)
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
	st := state{lostResponses: s.lostResponses, outages: s.outages, lostReplies: s.lostReplies, targetCrashes: s.targetCrashes, entryCrashes: s.entryCrashes}
	for i := range st.targets {
		st.targets[i].incarnation = 1
	}
	s.open(&st, 0)
	return st
}

// open starts invocation i with the current incarnation of its target.
func (s *setup) open(st *state, i int) {
	t := s.targets[i]
	st.open = i
	newMachine := claim.NewMachine
	if s.refusals[i] {
		newMachine = claim.NewRefusalMachine
	}
	st.invocations[i] = modelInvocation{started: true, machine: newMachine(claim.Claim{
		Request: "r", Owner: id.Entry(fmt.Sprint(i)), Nonce: uint64(i + 1),
		Target: id.Target(fmt.Sprint(t)), Incarnation: st.targets[t].incarnation,
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
		st := e.queue[len(e.queue)-1]
		e.queue = e.queue[:len(e.queue)-1]
		e.expand(st)
	}
	return e
}

// visit checks the invariants of st and queues it, unless it was visited before.
func (e *explorer) visit(st state) {
	k := st.key()
	if e.seen[k] {
		return
	}
	e.seen[k] = true
	e.queue = append(e.queue, st)
	switch {
	case st.runs > 1:
		e.violation = "the call ran twice"
	case st.reportedNotRun && st.runs > 0:
		e.violation = "the call ran, and its caller was told notRun"
	case st.reportedDone && st.runs != 1:
		e.violation = "the caller was told done, and the call did not run"
	}
}

func (e *explorer) expand(st state) {
	for i := range st.invocations {
		if inv := &st.invocations[i]; inv.started {
			e.deliverLate(st, i)
			if !inv.crashed && !inv.answered {
				e.step(st, i)
			}
		}
	}
	for t := range st.targets {
		e.stepTarget(st, t)
	}
	e.stepCaller(st)
}

// stepCaller lets the caller receive an answer, or give up and retry.
func (e *explorer) stepCaller(st state) {
	inv := &st.invocations[st.open]
	again := st.open+1 < e.invocations
	if again && !inv.answered {
		next := st
		e.open(&next, st.open+1)
		e.visit(next)
	}
	if inv.crashed || inv.answered || inv.machine.Action != claim.Answer {
		return
	}
	st.invocations[st.open].answered = true
	e.outcomes[inv.machine.Outcome]++
	st.reportedNotRun = st.reportedNotRun || inv.machine.Outcome == claim.NotRun
	st.reportedDone = st.reportedDone || inv.machine.Outcome == claim.Done
	if again && inv.machine.Outcome != claim.Done {
		e.visit(st)
		e.open(&st, st.open+1)
	}
	e.visit(st)
}

// deliverLate lets a write or a call of invocation i arrive, even if the invocation has
// ended.
func (e *explorer) deliverLate(st state, i int) {
	inv := &st.invocations[i]
	if inv.lateCreate {
		next := st
		next.invocations[i].lateCreate = false
		next.create(inv.machine.OwnClaim)
		e.visit(next)
	}
	if inv.lateSettle != "" {
		next := st
		next.invocations[i].lateSettle = ""
		next.settle(inv.machine.CurrentClaim, inv.lateSettle)
		e.visit(next)
	}
	if inv.sent == 1 {
		e.deliver(st, i)
	}
}

// deliver delivers the call of invocation i to its target process.
func (e *explorer) deliver(st state, i int) {
	t := &st.targets[e.targets[i]]
	st.invocations[i].sent = 2
	switch {
	case t.incarnation != st.invocations[i].machine.OwnClaim.Incarnation && !e.callAnyIncarnation:
		st.invocations[i].reply = claim.RepliedNotRun
	case t.fenced:
		st.invocations[i].reply = claim.RepliedNotRun
	case t.seen:
		st.invocations[i].reply = claim.RepliedUnknown
	default:
		t.seen = true
		t.pending, t.pendingIncarnation = i+1, t.incarnation
	}
	e.visit(st)
}

// stepTarget lets a service run its call, or a target process crash and restart.
func (e *explorer) stepTarget(st state, t int) {
	p := &st.targets[t]
	if p.pending != 0 {
		next := st
		q := &next.targets[t]
		next.runs++
		if q.incarnation == q.pendingIncarnation {
			q.hasReply = true
			next.invocations[q.pending-1].reply = claim.RepliedDone
		}
		q.pending, q.pendingIncarnation = 0, 0
		e.visit(next)
	}
	if st.targetCrashes > 0 {
		st.targetCrashes--
		*p = process{incarnation: p.incarnation + 1, pending: p.pending, pendingIncarnation: p.pendingIncarnation}
		e.visit(st)
	}
}

// step applies each possible event of the current action of invocation i.
func (e *explorer) step(st state, i int) {
	if st.entryCrashes > 0 {
		next := st
		next.entryCrashes--
		next.invocations[i].crashed = true
		e.visit(next)
	}
	switch st.invocations[i].machine.Action {
	case claim.Create, claim.Read:
		e.stepStore(st, i)
	case claim.Settle:
		e.stepSettle(st, i)
	case claim.Dispatch:
		e.stepDispatch(st, i)
	case claim.Fence:
		e.stepFence(st, i)
	}
}

func (e *explorer) advance(st state, i int, ev claim.Event, found claim.Claim) {
	st.invocations[i].machine = st.invocations[i].machine.Next(ev, found)
	e.visit(st)
}

func (e *explorer) stepStore(st state, i int) {
	machine := st.invocations[i].machine
	if st.outages > 0 {
		next := st
		next.outages--
		ev := claim.NotWritten
		if machine.Action == claim.Read {
			ev = claim.ResponseLost
		}
		e.advance(next, i, ev, claim.Claim{})
	}
	if machine.Action == claim.Create && st.lostResponses > 0 {
		next := st
		next.lostResponses--
		later := next
		later.invocations[i].lateCreate = true
		e.advance(later, i, claim.ResponseLost, claim.Claim{})
		next.create(machine.OwnClaim)
		e.advance(next, i, claim.ResponseLost, claim.Claim{})
	}
	switch {
	case machine.Action == claim.Create && st.create(machine.OwnClaim):
		e.advance(st, i, claim.Created, claim.Claim{})
	case st.written:
		e.advance(st, i, claim.Found, st.storedClaim)
	case e.absentCountsAsOwn:
		e.advance(st, i, claim.Created, claim.Claim{})
	default:
		e.advance(st, i, claim.Absent, claim.Claim{})
	}
}

func (st *state) create(c claim.Claim) bool {
	if st.written {
		return false
	}
	st.written, st.storedClaim = true, c
	return true
}

func (st *state) settle(c claim.Claim, s claim.State) {
	if st.written && st.storedClaim.Same(&c) && st.storedClaim.State == claim.Claimed {
		st.storedClaim.State = s
	}
}

func (e *explorer) stepSettle(st state, i int) {
	machine := st.invocations[i].machine
	state := claim.StateNotRun
	if machine.Outcome == claim.Done {
		state = claim.StateDone
	}
	if st.outages > 0 {
		next := st
		next.outages--
		e.advance(next, i, claim.Settled, claim.Claim{})
	}
	if st.lostResponses > 0 {
		next := st
		next.lostResponses--
		next.invocations[i].lateSettle = state
		e.advance(next, i, claim.Settled, claim.Claim{})
	}
	st.settle(machine.CurrentClaim, state)
	e.advance(st, i, claim.Settled, claim.Claim{})
}

func (e *explorer) stepDispatch(st state, i int) {
	inv := &st.invocations[i]
	switch {
	case inv.sent == 0:
		st.invocations[i].sent = 1
		e.visit(st)
		return
	case inv.reply != "":
		e.advance(st, i, inv.reply, claim.Claim{})
	}
	// The reply is lost, or the connection broke because the target process crashed.
	switch {
	case st.lostReplies > 0:
		st.lostReplies--
	case st.targets[e.targets[i]].incarnation == inv.machine.OwnClaim.Incarnation:
		return
	}
	e.advance(st, i, claim.RepliedUnknown, claim.Claim{})
}

func (e *explorer) stepFence(st state, i int) {
	current := st.invocations[i].machine.CurrentClaim
	if st.lostReplies > 0 {
		next := st
		next.lostReplies--
		e.advance(next, i, claim.RepliedUnknown, claim.Claim{}) // the fence did not arrive
		e.fence(&next, current)
		e.advance(next, i, claim.RepliedUnknown, claim.Claim{})
	}
	ev := e.fence(&st, current)
	e.advance(st, i, ev, claim.Claim{})
}

func (e *explorer) fence(st *state, current claim.Claim) claim.Event {
	t := &st.targets[current.Target[0]-'0']
	switch {
	case t.incarnation != current.Incarnation && !e.fenceAnyIncarnation:
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
