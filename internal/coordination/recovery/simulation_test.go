package recovery_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/detect"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/merge"
	"foxtailward.example/foxtailward/internal/coordination/recovery"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	simPace    = 31 * time.Millisecond
	simPrefill = time.Millisecond
	simLength  = 400
	// simLimit ends a simulation that does not finish by itself.
	simLimit   = 4 * time.Minute
	laterDelay = 30 * time.Second
)

// simulation runs one answer on virtual time. Detection, merging and the
// recovery decisions are the real code; the engines are simulated. Faults are
// injected when a given number of tokens is held.
type simulation struct {
	now     time.Time
	rng     *rand.Rand
	policy  recovery.Policy
	spec    generation.Spec
	targets []member.TargetReport
	// dead, silent and pausedUntil are the engines' faults: dead, sends nothing
	// more, or paused until a time.
	dead        map[id.Target]bool
	silent      map[id.Target]bool
	pausedUntil map[id.Target]time.Time
	attempts    []*simAttempt
	merger      *merge.Merger
	begun       id.Attempt
	loss        *recovery.Loss
	// decideAt is when a decision to wait is reconsidered.
	decideAt time.Time
	faults   map[int]func(*simulation)
	// later is called once, laterDelay after the start.
	later func(*simulation)
	// lostAt and lastToken are used to measure pause, the longest pause at the
	// caller.
	lostAt, lastToken time.Time
	pause             time.Duration
	fenced            int
	failed            recovery.Reason
}

type simAttempt struct {
	attempt  id.Attempt
	target   id.Target
	held     []generation.Token
	next     time.Time
	detector *detect.Detector
	check    time.Time
	ended    bool
}

// simToken returns the next token. It depends on all tokens before it and on
// the version, so that a wrong continuation changes the text.
func simToken(sum generation.Checksum, version id.Version) generation.Token {
	return generation.Token{ID: uint32(sum>>7) ^ uint32(len(version)), Text: string(version)}
}

func simText(version id.Version) []generation.Token {
	var out []generation.Token
	var sum generation.Checksum
	for range simLength {
		out = append(out, simToken(sum, version))
		sum = sum.Add(out[len(out)-1])
	}
	return out
}

func newSimulation(prefer generation.Preference) *simulation {
	s := &simulation{
		now: start, rng: rand.New(rand.NewPCG(1, 9)), merger: merge.New(),
		policy: recovery.Policy{Prefer: prefer, RetryAllowed: true},
		spec: generation.Spec{
			Model: "report", Version: "1", Prompt: "truck 7", MaxTokens: simLength,
			Class: generation.Standard, Deadline: start.Add(simLimit),
		},
		targets: []member.TargetReport{report("a", "olten"), report("b", "olten"), report("c", "aarau"), report("d", "bern")},
		dead:    map[id.Target]bool{}, silent: map[id.Target]bool{}, pausedUntil: map[id.Target]time.Time{},
		faults: map[int]func(*simulation){},
	}
	s.begin("a", false)
	return s
}

// begin starts an attempt after the tokens held; a dead target refuses it.
func (s *simulation) begin(target id.Target, hedge bool) {
	s.begun++
	begin := s.merger.Begin
	if hedge {
		begin = s.merger.BeginRace
	}
	begin(s.begun)
	a := &simAttempt{attempt: s.begun, target: target, held: slices.Clone(s.merger.Log())}
	compute := s.spec.PromptTokens() + len(a.held)
	if s.dead[target] {
		s.lose(a, recovery.Refused)
		return
	}
	a.next = s.now.Add(time.Duration(compute)*simPrefill + simPace)
	a.detector = detect.New(detect.DefaultConfig(), s.now, detect.Expectation{
		Pace: simPace, PrefillTokens: compute, PrefillPerToken: simPrefill, Deadline: s.spec.Deadline,
	})
	_, a.check = a.detector.Verdict(s.now)
	s.attempts = append(s.attempts, a)
}

// current returns the attempt whose tokens are accepted; of hedged attempts,
// the newer one.
func (s *simulation) current() *simAttempt {
	for _, a := range s.attempts {
		if a.attempt == s.merger.CurrentAttempt() && s.merger.RacingAttempt() == 0 {
			return a
		}
	}
	return s.attempts[len(s.attempts)-1]
}

func (s *simulation) kill(target id.Target) {
	s.dead[target] = true
	for _, a := range s.attempts {
		if a.target == target && !a.ended {
			a.ended = true
			if a == s.current() {
				s.lose(a, recovery.Died)
			}
		}
	}
}

func (s *simulation) lose(a *simAttempt, kind recovery.LossKind) {
	place := member.Place{}
	for _, r := range s.targets {
		if r.Target == a.target {
			place = r.Place
		}
	}
	s.loss = &recovery.Loss{
		Spec: &s.spec, Kind: kind, Target: a.target, Incarnation: 1, Place: place,
		Attempts: int(s.begun), HeldTokens: int(s.merger.NextIndex()), TokensDelivered: s.merger.NextIndex() > 0, At: s.now,
	}
	s.decideAt = s.now
	if s.lostAt.IsZero() {
		s.lostAt = s.lastToken
	}
}

// decide calls Choose if a decision is due, and carries it out.
func (s *simulation) decide() {
	if s.loss == nil || s.now.Before(s.decideAt) {
		return
	}
	for i := range s.targets {
		s.targets[i].At = s.now
	}
	view := recovery.View{Targets: s.targets, Avoid: func(t id.Target) bool { return s.dead[t] && s.now.After(s.loss.At) }}
	decision := recovery.Choose(view, *s.loss, s.policy, s.now, s.rng)
	s.decideAt = decision.Until
	switch decision.Action {
	case recovery.Resume, recovery.Hedge, recovery.Restart:
		s.loss = nil
		if decision.Action == recovery.Restart {
			s.merger.Restart()
			s.spec.Version = "22"
		}
		s.begin(decision.Target, decision.Action == recovery.Hedge)
	case recovery.Fail:
		s.failed, s.loss = decision.Reason, nil
	}
}

// step simulates one millisecond.
func (s *simulation) step() {
	s.now = s.now.Add(time.Millisecond)
	s.decide()
	for _, a := range slices.Clone(s.attempts) {
		s.send(a)
	}
	if a := s.current(); s.loss == nil && !a.ended && !s.now.Before(a.check) {
		var v detect.Verdict
		if v, a.check = a.detector.Verdict(s.now); v != detect.Healthy {
			s.lose(a, recovery.Stalled)
		}
	}
}

// send sends what is due from an engine: a token, or the finish after the last
// one.
func (s *simulation) send(a *simAttempt) {
	if a.ended || s.silent[a.target] || s.now.Before(a.next) || s.now.Before(s.pausedUntil[a.target]) {
		return
	}
	a.next = s.now.Add(simPace)
	if len(a.held) == simLength {
		a.ended = true
		s.merger.Finish(a.attempt, generation.Finish{
			Reason: generation.Length, TokenCount: simLength, Checksum: generation.ChecksumOf(a.held),
		})
		return
	}
	tok := simToken(generation.ChecksumOf(a.held), s.spec.Version)
	first := id.TokenIndex(len(a.held))
	a.held = append(a.held, tok)
	fresh, v := s.merger.AddTokens(a.attempt, first, a.held[first:])
	if v == merge.Fenced {
		s.fenced++
		a.ended = s.fenced >= 3 // the fenced attempt is cancelled soon after
		return
	}
	if len(fresh) == 0 {
		return
	}
	a.detector.RecordTokens(s.now, 1)
	s.loss = nil // the stalled target continues
	if !s.lostAt.IsZero() {
		s.pause = max(s.pause, s.now.Sub(s.lostAt))
		s.lostAt = time.Time{}
	}
	s.lastToken = s.now
	s.injectFault()
}

// injectFault injects the fault that is due at the number of tokens held.
func (s *simulation) injectFault() {
	if f := s.faults[int(s.merger.NextIndex())]; f != nil {
		delete(s.faults, int(s.merger.NextIndex()))
		f(s)
	}
}

// run runs until the answer is complete or has failed.
func (s *simulation) run() {
	s.lastToken = s.now
	s.injectFault()
	for s.merger.Finished() == nil && s.failed == "" && s.now.Sub(start) < simLimit {
		s.step()
		if s.later != nil && s.now.Sub(start) == laterDelay {
			s.later(s)
		}
	}
}

// killCurrent kills the engine of the current attempt.
func killCurrent(s *simulation) { s.kill(s.current().target) }

// TestResumeAfterEngineFailure checks the answer of an attempt whose engine fails after k
// tokens. The answer must be exact, and the pause must stay within the target
// figure: 1.2 × (prefill of the prefix + one decode step) + 20 ms.
func TestResumeAfterEngineFailure(t *testing.T) {
	for _, prefer := range []generation.Preference{generation.PreferLatency, generation.PreferCost} {
		for _, k := range []int{0, 1, simLength / 2, simLength - 1, simLength} {
			is := is.New(t)
			s := newSimulation(prefer)
			s.faults[k] = killCurrent
			s.run()
			is.Equal(s.merger.Log(), simText("1"))
			is.True(s.merger.Finished() != nil)
			is.Equal(s.begun, id.Attempt(2))
			work := time.Duration(s.spec.PromptTokens()+k)*simPrefill + simPace
			is.True(s.pause <= work*12/10+20*time.Millisecond)
		}
	}
}

func TestRecoverFromFaults(t *testing.T) {
	latency, cost := generation.PreferLatency, generation.PreferCost
	tests := []struct {
		name   string
		prefer generation.Preference
		faults map[int]func(*simulation)
		// pause is the longest pause allowed at the caller; zero means any.
		pause time.Duration
		begun id.Attempt
		// fenced says whether frames of a superseded attempt must have arrived.
		fenced bool
		text   id.Version
	}{
		{"a second failure after resuming", latency, map[int]func(*simulation){100: killCurrent, 101: killCurrent}, time.Second, 3, false, "1"},
		{"three failures", latency, map[int]func(*simulation){10: killCurrent, 20: killCurrent, 300: killCurrent}, time.Second, 4, false, "1"},
		{"three engines fail simultaneously", latency, map[int]func(*simulation){100: func(s *simulation) {
			s.dead["b"] = true
			s.dead["c"] = true
			killCurrent(s)
		}}, time.Second, 0, false, "1"},
		{"a stall, the connection open", latency, map[int]func(*simulation){100: func(s *simulation) {
			s.silent["a"] = true
		}}, 6 * time.Second, 2, false, "1"},
		{"a stall, cost", cost, map[int]func(*simulation){100: func(s *simulation) {
			s.silent["a"] = true
		}}, 16 * time.Second, 2, false, "1"},
		{"a stall before the first token", latency, map[int]func(*simulation){0: func(s *simulation) {
			s.silent["a"] = true
		}}, 6 * time.Second, 2, false, "1"},
		{"a pause of 10 s, attempt superseded, engine returns", latency, map[int]func(*simulation){100: func(s *simulation) {
			s.pausedUntil["a"] = s.now.Add(10 * time.Second)
		}}, 6 * time.Second, 2, true, "1"},
		{"a pause of 10 s, waited for, cost", cost, map[int]func(*simulation){100: func(s *simulation) {
			s.pausedUntil["a"] = s.now.Add(10 * time.Second)
		}}, 11 * time.Second, 1, false, "1"},
		{"a pause of 2 s, attempt kept", latency, map[int]func(*simulation){100: func(s *simulation) {
			s.pausedUntil["a"] = s.now.Add(2 * time.Second)
		}}, 0, 1, false, "1"},
		{"a stall, hedged, the stalled attempt sends first", latency, map[int]func(*simulation){370: func(s *simulation) {
			s.policy.HedgeAllowed = true
			s.pausedUntil["a"] = s.now.Add(4300 * time.Millisecond)
		}}, 6 * time.Second, 2, true, "1"},
		{"the version is gone for a while", latency, map[int]func(*simulation){100: func(s *simulation) {
			s.setVersion("22")
			killCurrent(s)
			s.later = func(s *simulation) { s.setVersion("1") }
		}}, 0, 2, false, "1"},
		{"the version is gone, no tokens delivered", latency, map[int]func(*simulation){0: func(s *simulation) {
			s.setVersion("22")
			killCurrent(s)
		}}, time.Second, 2, false, "22"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(tt.prefer)
			s.faults = tt.faults
			s.run()
			is.Equal(s.merger.Log(), simText(tt.text))
			is.True(s.merger.Finished() != nil)
			is.True(tt.pause == 0 || s.pause <= tt.pause)
			is.True(tt.begun == 0 || s.begun == tt.begun)
			is.Equal(s.fenced > 0, tt.fenced)
		})
	}
}

func (s *simulation) setVersion(v id.Version) {
	for i := range s.targets {
		s.targets[i].Version = v
	}
}

// A text that no target can continue must fail at the deadline and not before,
// without tokens of another version.
func TestFailsAtDeadline(t *testing.T) {
	is := is.New(t)
	s := newSimulation(generation.PreferLatency)
	s.faults[100] = func(s *simulation) {
		s.setVersion("22")
		killCurrent(s)
	}
	s.spec.Deadline = start.Add(time.Minute)
	s.run()
	is.Equal(s.failed, recovery.ReasonDeadline)
	is.Equal(s.now.Sub(start), time.Minute)
	is.Equal(s.merger.Log(), simText("1")[:100]) // no tokens of version 22
}
