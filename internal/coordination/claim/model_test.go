package claim_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/claim"
	"foxtailward.example/foxtailward/internal/state/id"
)

// maxAsks is the number of asks of one caller for one request, one after
// another: the caller asks again when it was told anything but done, or when
// it gave up waiting while the ask before goes on or stays paused for ever.
const maxAsks = 3

// setup is one small model. Each ask has its own entry.
type setup struct {
	asks  int
	fresh bool
	// refusals marks the asks that are refused before they claim.
	refusals [maxAsks]bool
	// targets has the target process that each ask would use.
	targets [maxAsks]int
	// Faults, each at any moment.
	lostAnswers, outages, lostReplies, crashes, deaths int
	// Wrong rules, to show that the check finds them.
	anyIncarnation  bool // a target process takes calls for other incarnations
	weakFence       bool // a fence speaks for other incarnations
	forgetfulFence  bool // a fence forbids nothing
	absentMeansMine bool // a claim that is absent counts as written
}

// process is a target process and what its service was given.
type process struct {
	incarnation        id.Incarnation
	seen, fenced, kept bool
	// pending is the ask, from 1, whose call the service has not run yet. It
	// stays when the target process dies.
	pending            int
	pendingIncarnation id.Incarnation
}

// asking is one ask with what is on its way to and from it.
type asking struct {
	ask           claim.Machine
	started, dead bool
	told          bool
	// sent is 1 while the call is on its way to the target, 2 from then on.
	sent  int
	reply claim.Event
	// lateCreate and lateSettle are writes that may still take effect.
	lateCreate bool
	lateSettle claim.State
}

// world is one state of the model.
type world struct {
	asks    [maxAsks]asking
	targets [2]process
	written bool
	stored  claim.Claim
	runs    int
	// open is the ask that the caller waits for.
	open                                               int
	lostAnswers, outages, lostReplies, crashes, deaths int
	saidNotRun, saidDone                               bool
}

// key encodes w exactly, in few bytes.
func (w *world) key() string {
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
	for i := range w.asks {
		a := &w.asks[i]
		b = append(b, initial(a.ask.Action), initial(a.ask.Outcome), byte(a.ask.CurrentClaim.Nonce), initial(a.ask.CurrentClaim.State),
			byte(a.sent), initial(a.lateSettle), byte(a.ask.OwnClaim.Incarnation), byte(a.ask.CurrentClaim.Incarnation))
		b = append(b, initialAt(a.reply, len("replied")))
		// The ask's own flag "again" is private; it shows in its text.
		flag(a.started, a.dead, a.told, a.lateCreate, a.ask.Next(claim.Absent, claim.Claim{}).Action == claim.Answer)
	}
	for _, t := range w.targets {
		b = append(b, byte(t.incarnation), byte(t.pending), byte(t.pendingIncarnation))
		flag(t.seen, t.fenced, t.kept)
	}
	b = append(b, byte(w.stored.Nonce), byte(w.stored.Incarnation), initial(w.stored.State), byte(w.runs), byte(w.open),
		byte(w.lostAnswers), byte(w.outages), byte(w.lostReplies), byte(w.crashes), byte(w.deaths))
	flag(w.written, w.saidNotRun, w.saidDone)
	return string(b)
}

func initial[T ~string](s T) byte { return initialAt(s, 0) }

func initialAt[T ~string](s T, i int) byte {
	if len(s) <= i {
		return 0
	}
	return s[i]
}

func (s *setup) start() world {
	w := world{lostAnswers: s.lostAnswers, outages: s.outages, lostReplies: s.lostReplies, crashes: s.crashes, deaths: s.deaths}
	for i := range w.targets {
		w.targets[i].incarnation = 1
	}
	s.open(&w, 0)
	return w
}

// open starts ask i. It is for the incarnation that its target has now.
func (s *setup) open(w *world, i int) {
	t := s.targets[i]
	w.open = i
	begin := claim.NewMachine
	if s.refusals[i] {
		begin = claim.NewRefusalMachine
	}
	w.asks[i] = asking{started: true, ask: begin(claim.Claim{
		Request: "r", Owner: id.Entry(fmt.Sprint(i)), Nonce: uint64(i + 1),
		Target: id.Target(fmt.Sprint(t)), Incarnation: w.targets[t].incarnation,
	}, s.fresh)}
}

// explorer visits all states that a setup can reach.
type explorer struct {
	setup
	seen     map[string]bool
	queue    []world
	outcomes map[claim.Outcome]int
	broken   string
}

const maxStates = 6_000_000

func explore(s setup) *explorer {
	e := &explorer{setup: s, seen: map[string]bool{}, outcomes: map[claim.Outcome]int{}}
	e.visit(s.start())
	for len(e.queue) > 0 && e.broken == "" && len(e.seen) < maxStates {
		w := e.queue[len(e.queue)-1]
		e.queue = e.queue[:len(e.queue)-1]
		e.expand(w)
	}
	return e
}

// visit queues w unless it is known, and checks the invariants in it.
func (e *explorer) visit(w world) {
	k := w.key()
	if e.seen[k] {
		return
	}
	e.seen[k] = true
	e.queue = append(e.queue, w)
	switch {
	case w.runs > 1:
		e.broken = "the call ran twice"
	case w.saidNotRun && w.runs > 0:
		e.broken = "the call ran, and its caller was told notRun"
	case w.saidDone && w.runs != 1:
		e.broken = "the caller was told done, and the call did not run"
	}
}

func (e *explorer) expand(w world) {
	for i := range w.asks {
		if a := &w.asks[i]; a.started {
			e.late(w, i)
			if !a.dead && !a.told {
				e.step(w, i)
			}
		}
	}
	for t := range w.targets {
		e.target(w, t)
	}
	e.caller(w)
}

// caller lets the caller hear an answer, or give up and ask again.
func (e *explorer) caller(w world) {
	a := &w.asks[w.open]
	again := w.open+1 < e.asks
	if again && !a.told {
		next := w
		e.open(&next, w.open+1)
		e.visit(next)
	}
	if a.dead || a.told || a.ask.Action != claim.Answer {
		return
	}
	w.asks[w.open].told = true
	e.outcomes[a.ask.Outcome]++
	w.saidNotRun = w.saidNotRun || a.ask.Outcome == claim.NotRun
	w.saidDone = w.saidDone || a.ask.Outcome == claim.Done
	if again && a.ask.Outcome != claim.Done {
		e.visit(w)
		e.open(&w, w.open+1)
	}
	e.visit(w)
}

// late lets a write or a call of ask i arrive, whatever became of the ask.
func (e *explorer) late(w world, i int) {
	a := &w.asks[i]
	if a.lateCreate {
		next := w
		next.asks[i].lateCreate = false
		next.create(a.ask.OwnClaim)
		e.visit(next)
	}
	if a.lateSettle != "" {
		next := w
		next.asks[i].lateSettle = ""
		next.settle(a.ask.CurrentClaim, a.lateSettle)
		e.visit(next)
	}
	if a.sent == 1 {
		e.deliver(w, i)
	}
}

// deliver hands the call of ask i to its target process.
func (e *explorer) deliver(w world, i int) {
	t := &w.targets[e.targets[i]]
	w.asks[i].sent = 2
	switch {
	case t.incarnation != w.asks[i].ask.OwnClaim.Incarnation && !e.anyIncarnation:
		w.asks[i].reply = claim.RepliedNotRun
	case t.fenced:
		w.asks[i].reply = claim.RepliedNotRun
	case t.seen:
		w.asks[i].reply = claim.RepliedUnknown
	default:
		t.seen = true
		t.pending, t.pendingIncarnation = i+1, t.incarnation
	}
	e.visit(w)
}

// target lets a service run its call, or a target process die and come back.
func (e *explorer) target(w world, t int) {
	p := &w.targets[t]
	if p.pending != 0 {
		next := w
		q := &next.targets[t]
		next.runs++
		if q.incarnation == q.pendingIncarnation {
			q.kept = true
			next.asks[q.pending-1].reply = claim.RepliedDone
		}
		q.pending, q.pendingIncarnation = 0, 0
		e.visit(next)
	}
	if w.crashes > 0 {
		w.crashes--
		*p = process{incarnation: p.incarnation + 1, pending: p.pending, pendingIncarnation: p.pendingIncarnation}
		e.visit(w)
	}
}

// step lets ask i's action come to each event that it can come to.
func (e *explorer) step(w world, i int) {
	if w.deaths > 0 {
		next := w
		next.deaths--
		next.asks[i].dead = true
		e.visit(next)
	}
	switch w.asks[i].ask.Action {
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

func (e *explorer) on(w world, i int, ev claim.Event, found claim.Claim) {
	w.asks[i].ask = w.asks[i].ask.Next(ev, found)
	e.visit(w)
}

func (e *explorer) stepStore(w world, i int) {
	a := w.asks[i].ask
	if w.outages > 0 {
		next := w
		next.outages--
		ev := claim.NotWritten
		if a.Action == claim.Read {
			ev = claim.ResponseLost
		}
		e.on(next, i, ev, claim.Claim{})
	}
	if a.Action == claim.Create && w.lostAnswers > 0 {
		next := w
		next.lostAnswers--
		later := next
		later.asks[i].lateCreate = true
		e.on(later, i, claim.ResponseLost, claim.Claim{})
		next.create(a.OwnClaim)
		e.on(next, i, claim.ResponseLost, claim.Claim{})
	}
	switch {
	case a.Action == claim.Create && w.create(a.OwnClaim):
		e.on(w, i, claim.Created, claim.Claim{})
	case w.written:
		e.on(w, i, claim.Found, w.stored)
	case e.absentMeansMine:
		e.on(w, i, claim.Created, claim.Claim{})
	default:
		e.on(w, i, claim.Absent, claim.Claim{})
	}
}

func (w *world) create(c claim.Claim) bool {
	if w.written {
		return false
	}
	w.written, w.stored = true, c
	return true
}

func (w *world) settle(c claim.Claim, s claim.State) {
	if w.written && w.stored.Same(&c) && w.stored.State == claim.Claimed {
		w.stored.State = s
	}
}

func (e *explorer) stepSettle(w world, i int) {
	a := w.asks[i].ask
	state := claim.StateNotRun
	if a.Outcome == claim.Done {
		state = claim.StateDone
	}
	if w.outages > 0 {
		next := w
		next.outages--
		e.on(next, i, claim.Settled, claim.Claim{})
	}
	if w.lostAnswers > 0 {
		next := w
		next.lostAnswers--
		next.asks[i].lateSettle = state
		e.on(next, i, claim.Settled, claim.Claim{})
	}
	w.settle(a.CurrentClaim, state)
	e.on(w, i, claim.Settled, claim.Claim{})
}

func (e *explorer) stepDispatch(w world, i int) {
	a := &w.asks[i]
	switch {
	case a.sent == 0:
		w.asks[i].sent = 1
		e.visit(w)
		return
	case a.reply != "":
		e.on(w, i, a.reply, claim.Claim{})
	}
	// The reply is lost, or the connection broke with the target process.
	switch {
	case w.lostReplies > 0:
		w.lostReplies--
	case w.targets[e.targets[i]].incarnation == a.ask.OwnClaim.Incarnation:
		return
	}
	e.on(w, i, claim.RepliedUnknown, claim.Claim{})
}

func (e *explorer) stepFence(w world, i int) {
	held := w.asks[i].ask.CurrentClaim
	if w.lostReplies > 0 {
		next := w
		next.lostReplies--
		e.on(next, i, claim.RepliedUnknown, claim.Claim{}) // it never came there
		e.fence(&next, held)
		e.on(next, i, claim.RepliedUnknown, claim.Claim{})
	}
	ev := e.fence(&w, held)
	e.on(w, i, ev, claim.Claim{})
}

func (e *explorer) fence(w *world, held claim.Claim) claim.Event {
	t := &w.targets[held.Target[0]-'0']
	switch {
	case t.incarnation != held.Incarnation && !e.weakFence:
		return claim.RepliedUnknown
	case t.kept:
		return claim.RepliedDone
	case t.seen:
		return claim.RepliedUnknown
	}
	t.fenced = !e.forgetfulFence
	return claim.RepliedNotRun
}

// TestAskModel explores all interleavings of small models: the call never runs
// twice, never before or after its caller was told notRun, and always when it
// was told done.
func TestAskModel(t *testing.T) {
	faults := setup{asks: 2, lostAnswers: 1, outages: 1, lostReplies: 1, crashes: 1, deaths: 1}
	with := func(change func(*setup)) setup {
		s := faults
		change(&s)
		return s
	}
	tests := []struct {
		name  string
		setup setup
		// finds says that the rules are wrong and the check must see it.
		finds bool
	}{
		{"one ask, fresh", with(func(s *setup) { s.asks, s.fresh, s.outages = 1, true, 2 }), false},
		{"retry, same target", faults, false},
		{"retry, other target", with(func(s *setup) { s.targets[1] = 1 }), false},
		{"retry, two crashes", with(func(s *setup) { s.crashes = 2 }), false},
		{"retry, more faults", with(func(s *setup) { s.lostAnswers, s.outages, s.lostReplies = 2, 2, 2 }), false},
		{"a retry meets a limit", with(func(s *setup) { s.refusals[1] = true }), false},
		{"a retry after a limit", with(func(s *setup) { s.refusals[0] = true }), false},
		{"two retries", with(func(s *setup) { s.asks, s.targets[2] = 3, 1 }), false},
		{"calls for any incarnation", with(func(s *setup) { s.anyIncarnation = true }), true},
		{"a fence for any incarnation", with(func(s *setup) { s.weakFence = true }), true},
		{"a fence that forbids nothing", with(func(s *setup) { s.forgetfulFence = true }), true},
		{"an absent claim counts as written", with(func(s *setup) { s.absentMeansMine = true }), true},
		{"a key counts as fresh", with(func(s *setup) { s.fresh = true }), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := explore(tt.setup)
			t.Logf("%d states, told: %v, broken: %q", len(e.seen), e.outcomes, e.broken)
			is.Equal(e.broken != "", tt.finds)
			is.True(len(e.seen) < maxStates) // all states were visited
			if tt.finds {
				return
			}
			is.True(tt.setup.refusals[0] || e.outcomes[claim.Done] > 0)
			for _, o := range []claim.Outcome{claim.NotRun, claim.Unknown} {
				is.True(e.outcomes[o] > 0) // each outcome can be reached
			}
		})
	}
}
