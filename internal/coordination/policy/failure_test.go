package policy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/policy"
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/coordination/route"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// bench is a policy over a view of engines that report once a second.
type bench struct {
	clock   *clockwork.FakeClock
	view    *member.View
	policy  *policy.Policy
	reports []member.TargetReport
	// silent engines report no more.
	silent map[id.Target]bool
}

func newBench(engines int) *bench {
	b := &bench{
		clock: clockwork.NewFakeClock(), view: member.NewView(member.Config{}, "e1"), silent: map[id.Target]bool{},
	}
	for i := range engines {
		b.reports = append(b.reports, member.TargetReport{
			Target: id.Target(fmt.Sprintf("t%02d", i)), Incarnation: 1, State: member.Ready,
			Place:   member.Place{Host: id.Host(fmt.Sprintf("h%02d", i)), Zone: id.Zone(fmt.Sprintf("z%d", i%4))},
			Address: "127.0.0.1:1", Model: "report", Version: "1", Role: member.Mixed,
			Slots: 16, Pace: 31 * time.Millisecond, PrefillPerToken: time.Millisecond,
		})
	}
	snapshot := conf.Empty()
	b.policy = policy.New(policy.Dependencies{
		View: b.view, Router: route.New(route.Config{}, b.view), Clock: b.clock,
		Conf: func() *conf.Snapshot { return snapshot }, Random: rand.New(rand.NewPCG(1, 2)),
	})
	b.pass(0)
	return b
}

// pass lets whole seconds go by; each one the engines that live report.
func (b *bench) pass(seconds int) {
	for i := 0; i == 0 || i < seconds; i++ {
		if seconds > 0 {
			b.clock.Advance(time.Second)
		}
		now := b.clock.Now()
		for j := range b.reports {
			r := &b.reports[j]
			r.Sequence++
			r.At = now
			if !b.silent[r.Target] {
				b.view.UpdateTarget(*r, now)
			}
		}
		b.view.Tick(now)
	}
}

func (b *bench) spec(n int) *generation.Spec {
	return &generation.Spec{
		Request: id.Request(fmt.Sprintf("ans-%d", n)), Contract: "staplerdienst", Model: "report", Version: "1",
		Class: generation.Standard, Prefer: generation.PreferLatency, MaxTokens: 4000,
		Prompt: fmt.Sprintf("truck %d", n), Deadline: b.clock.Now().Add(10 * time.Minute),
	}
}

// held is one answer at its owner.
type held struct {
	place  request.RouteRequest
	target member.TargetReport
	end    func(request.Usage)
}

// start places an answer that has prefix tokens.
func (b *bench) start(spec *generation.Spec, prefix id.TokenIndex) (*held, request.Choice) {
	h := &held{place: request.RouteRequest{Spec: spec}}
	choice := b.again(h)
	h.place.PrefixTokens = prefix
	return h, choice
}

// again asks where an answer goes on, and begins there if it may.
func (b *bench) again(h *held) request.Choice {
	choice := b.policy.Place(h.place, b.clock.Now())
	if choice.Action == request.Dispatch || choice.Action == request.Restart {
		h.target = choice.Target
		h.end = b.policy.Begin(&h.target, h.place.Spec)
	}
	return choice
}

// lose ends an answer's attempt.
func (b *bench) lose(h *held, kind request.Kind, holds bool) {
	loss := request.Loss{Target: h.target, Kind: kind, Started: true, StillHeld: holds, At: b.clock.Now()}
	h.place.Losses = append(h.place.Losses, loss)
	h.place.AttemptsWithoutProgress++
	h.end(request.Usage{Target: h.target.Target, Class: h.place.Spec.Class, Loss: &loss})
}

// TestPolicyKiller: a request that ends each engine that runs it, sent again
// under new ids, takes at most three; another request still runs.
func TestPolicyKiller(t *testing.T) {
	for _, engines := range []int{2, 12} {
		is := is.New(t)
		b := newBench(engines)
		killed := 0
		for n := range 20 {
			spec := b.spec(7)
			spec.Request = id.Request(fmt.Sprintf("ans-%d", n))
			if refusal := b.policy.CheckQuarantine(spec); refusal != nil {
				is.Equal(refusal.Outcome, answer.NotRun)
				is.True(refusal.RetryAfter > 0)
				continue
			}
			h, choice := b.start(spec, 0)
			for choice.Action != request.GiveUp {
				if choice.Action == request.Dispatch {
					killed++
					b.lose(h, request.EngineFailed, false)
				}
				b.pass(15) // the engine starts again
				choice = b.again(h)
			}
			is.Equal(choice.Cause, answer.CauseQuarantined)
			b.policy.End(spec, false)
		}
		is.True(killed <= 3)
		_, choice := b.start(b.spec(8), 0)
		is.Equal(choice.Action, request.Dispatch)
	}
}

// TestPolicyRack: a zone's engines die at once, three times; nothing that ran
// there is refused, and all of it goes on in other zones at first.
func TestPolicyRack(t *testing.T) {
	is := is.New(t)
	b := newBench(24)
	var answers []*held
	for n := range 60 {
		h, choice := b.start(b.spec(n), 100)
		is.Equal(choice.Action, request.Dispatch)
		answers = append(answers, h)
	}
	for round := range 3 {
		zone := id.Zone(fmt.Sprintf("z%d", round))
		for _, r := range b.reports {
			b.silent[r.Target] = r.Place.Zone == zone
		}
		for _, h := range answers {
			if h.target.Place.Zone != zone {
				continue
			}
			b.lose(h, request.Lost, false)
		}
		b.view.Tick(b.clock.Now())
		b.pass(15)
		for _, h := range answers {
			if len(h.place.Losses) == 0 || h.target.Place.Zone != zone {
				continue
			}
			for choice := b.again(h); choice.Action == request.Hold; choice = b.again(h) {
				b.pass(1)
			}
			is.True(h.target.Place.Zone != zone) // it is still down
			h.place.AttemptsWithoutProgress = 0
		}
	}
	for _, h := range answers {
		is.True(b.policy.CheckQuarantine(h.place.Spec) == nil)
	}
}

// TestPolicyHalfLost: with half of the engines lost, answers go on by the
// budget; those that wait are held, not ended, and all go on in time.
func TestPolicyHalfLost(t *testing.T) {
	is := is.New(t)
	b := newBench(12)
	var lost []*held
	for n := range 96 {
		h, choice := b.start(b.spec(n), 2000)
		is.Equal(choice.Action, request.Dispatch)
		if h.target.Place.Zone == "z0" || h.target.Place.Zone == "z1" {
			lost = append(lost, h)
			continue
		}
	}
	is.True(len(lost) >= 30)
	for _, r := range b.reports {
		b.silent[r.Target] = r.Place.Zone == "z0" || r.Place.Zone == "z1"
	}
	for _, h := range lost {
		b.lose(h, request.Lost, false)
	}
	atOnce := 0
	waiting := lost
	for len(waiting) > 0 {
		var still []*held
		for _, h := range waiting {
			choice := b.again(h)
			is.True(choice.Action == request.Dispatch || choice.Action == request.Hold)
			if choice.Action == request.Hold {
				still = append(still, h)
			}
		}
		if atOnce == 0 {
			atOnce = len(waiting) - len(still)
		}
		waiting = still
		b.pass(1)
		if b.clock.Now().After(lost[0].place.Spec.Deadline) {
			break
		}
	}
	is.True(atOnce <= 3) // the reserve of 4,000 tokens, overdrawn by one answer
	is.Equal(len(waiting), 0)
}

// TestPolicyLoss: the way to go on after each kind of loss.
func TestPolicyLoss(t *testing.T) {
	tests := []struct {
		name   string
		kind   request.Kind
		holds  bool
		change func(b *bench, h *held)
		want   request.Action
	}{
		{"engine died", request.EngineFailed, false, nil, request.Dispatch},
		{"connection lost, the attempt runs", request.Lost, true, nil, request.Rejoin},
		{"connection lost, the target too", request.Lost, false, nil, request.Dispatch},
		{"stalled", request.Stalled, true, nil, request.Dispatch},
		{"stalled, cost", request.Stalled, true, func(_ *bench, h *held) { h.place.Spec.Prefer = generation.PreferCost }, request.Hold},
		{"all engines are leaving", request.EngineFailed, false, func(b *bench, _ *held) {
			for i := range b.reports {
				b.reports[i].State = member.Leaving
			}
		}, request.Hold},
		{"no engine reports", request.EngineFailed, false, func(b *bench, _ *held) {
			for _, r := range b.reports {
				b.silent[r.Target] = true
			}
		}, request.Hold},
		{"the version is gone", request.EngineFailed, false, func(b *bench, _ *held) { b.setVersion("2") }, request.Hold},
		{"the version is gone, nothing was seen", request.EngineFailed, false, func(b *bench, h *held) {
			b.setVersion("2")
			h.place.PrefixTokens, h.place.MayRestart = 0, true
		}, request.Restart},
		{"the deadline is over", request.EngineFailed, false, func(b *bench, h *held) {
			h.place.Spec.Deadline = b.clock.Now()
		}, request.GiveUp},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(8)
			h, _ := b.start(b.spec(1), 200)
			first := h.target.Target
			b.lose(h, tt.kind, tt.holds)
			if tt.change != nil {
				tt.change(b, h)
			}
			b.pass(4) // what stopped reporting has expired
			choice := b.again(h)
			is.Equal(choice.Action, tt.want)
			if choice.Action == request.Dispatch && tt.kind == request.Stalled {
				is.True(choice.Target.Target != first)
			}
		})
	}
}

func (b *bench) setVersion(v id.Version) {
	for i := range b.reports {
		b.reports[i].Version = v
	}
}

// TestPolicyWatch: a stall is found in time, and a pause of an engine is not
// taken for one.
func TestPolicyWatch(t *testing.T) {
	is := is.New(t)
	b := newBench(2)
	now := b.clock.Now()
	w := b.policy.Watch(&b.reports[0], b.spec(1), 0, now)
	for range 200 {
		now = now.Add(31 * time.Millisecond)
		w.TokensReceived(now, 1)
	}
	stalled, next := w.Check(now.Add(2 * time.Second))
	is.True(!stalled)
	for last := now; !stalled; stalled, next = w.Check(next) {
		is.True(next.Sub(last) <= 5*time.Second) // leaves a second to go on
	}
}

// TestPolicyAlone: an answer that two deaths made a suspect to be run alone is
// not held back by itself when a target refuses it, and another request with
// its fingerprint waits until it has ended.
func TestPolicyAlone(t *testing.T) {
	is := is.New(t)
	b := newBench(8)
	h, choice := b.start(b.spec(1), 100)
	for range 2 {
		is.Equal(choice.Action, request.Dispatch)
		b.lose(h, request.EngineFailed, false)
		b.pass(15)
		choice = b.again(h)
	}
	is.Equal(choice.Action, request.Dispatch)
	b.lose(h, request.Busy, false)
	is.Equal(b.again(h).Action, request.Dispatch)

	twin := b.spec(1)
	twin.Request = "ans-twin"
	_, choice = b.start(twin, 0)
	is.Equal(choice.Action, request.Hold)
	b.policy.End(twin, false)
	_, choice = b.start(twin, 0)
	is.Equal(choice.Action, request.Hold) // its end is not the other's
	b.policy.End(h.place.Spec, true)
	_, choice = b.start(twin, 0)
	is.Equal(choice.Action, request.Dispatch)
}
