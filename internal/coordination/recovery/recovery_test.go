package recovery_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/recovery"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

var start = time.Unix(1_000_000, 0)

// report returns the report of an idle engine that serves version 1, on a host
// of its own.
func report(name id.Target, zone id.Zone) member.TargetReport {
	return member.TargetReport{
		Target: name, Incarnation: 1, State: member.Ready, Model: "report", Version: "1",
		Place: member.Place{Host: id.Host("h-" + name), Zone: zone},
		Slots: 16, Pace: 31 * time.Millisecond, PrefillPerToken: time.Millisecond, At: start,
	}
}

func loss() recovery.Loss {
	return recovery.Loss{
		Spec: &generation.Spec{
			Model: "report", Version: "1", Prompt: "truck 7", MaxTokens: 1000,
			Class: generation.Standard, Deadline: start.Add(5 * time.Minute),
		},
		Kind: recovery.Died, Target: "a", Incarnation: 1, Attempts: 1, HeldTokens: 600, TokensDelivered: true, At: start,
		Place: member.Place{Host: "h-a", Zone: "olten"},
	}
}

// fixture holds the arguments of one call of Choose.
type fixture struct {
	view   recovery.View
	loss   recovery.Loss
	policy recovery.Policy
	now    time.Time
}

func newFixture() *fixture {
	return &fixture{
		view: recovery.View{Targets: []member.TargetReport{
			report("a", "olten"), report("b", "olten"), report("c", "aarau"),
		}},
		loss:   loss(),
		policy: recovery.Policy{Prefer: generation.PreferLatency, RetryAllowed: true, Headroom: 0.25},
		now:    start,
	}
}

func (s *fixture) choose(seed uint64) recovery.Decision {
	return recovery.Choose(s.view, s.loss, s.policy, s.now, rand.New(rand.NewPCG(seed, 0)))
}

func TestChoose(t *testing.T) {
	cost := func(s *fixture) { s.policy.Prefer = generation.PreferCost }
	otherVersion := func(s *fixture) {
		for i := range s.view.Targets {
			s.view.Targets[i].Version = "2"
		}
	}
	tests := []struct {
		name   string
		change func(*fixture)
		action recovery.Action
		reason recovery.Reason
		// target is checked unless it is empty.
		target id.Target
	}{
		{"the connection broke, the attempt runs", func(s *fixture) {
			s.loss.Kind, s.loss.StillRunning = recovery.Disconnected, true
		}, recovery.Adopt, recovery.ReasonStillRuns, ""},
		{"other targets of its zone failed too", func(s *fixture) { s.loss.ZoneFailures = 2 }, recovery.Resume, recovery.ReasonLeastTime, "c"},
		{"the prefix is cached", func(s *fixture) {
			s.view.Cached = func(t id.Target) int { return map[id.Target]int{"b": 500}[t] }
		}, recovery.Resume, recovery.ReasonLeastTime, "b"},
		{"the target with the cached prefix has a long queue", func(s *fixture) {
			s.view.Cached = func(t id.Target) int { return map[id.Target]int{"b": 500}[t] }
			s.view.Targets[1].Queued = 8
		}, recovery.Resume, recovery.ReasonLeastTime, "c"},
		{"the target with the cached prefix has a long queue, cost", func(s *fixture) {
			cost(s)
			s.view.Cached = func(t id.Target) int { return map[id.Target]int{"b": 500}[t] }
			s.view.Targets[1].Queued = 8
		}, recovery.Resume, recovery.ReasonLeastRecompute, "b"},
		{"headroom is left to others, cost", func(s *fixture) {
			cost(s)
			s.view.Targets[1].Running = 15
		}, recovery.Resume, recovery.ReasonLeastRecompute, "c"},
		{"a target on the lost target's host", func(s *fixture) {
			s.view.Targets[1].Place.Host = "h-a"
		}, recovery.Resume, recovery.ReasonLeastTime, "c"},
		{"only a target on the lost target's host", func(s *fixture) {
			s.view.Targets[1].Place.Host = "h-a"
			s.view.Targets = s.view.Targets[:2]
		}, recovery.Resume, recovery.ReasonLeastTime, "b"},
		{"the lost target has restarted", func(s *fixture) {
			s.view.Targets[0].Incarnation = 2
			s.view.Targets = s.view.Targets[:1]
		}, recovery.Resume, recovery.ReasonLeastTime, "a"},
		{"hedged if the budget allows", func(s *fixture) { s.policy.HedgeAllowed = true }, recovery.Hedge, recovery.ReasonHedged, ""},
		{"not hedged, cost", func(s *fixture) {
			cost(s)
			s.policy.HedgeAllowed = true
		}, recovery.Resume, recovery.ReasonLeastRecompute, ""},
		{"a stall is hedged", func(s *fixture) {
			s.policy.HedgeAllowed, s.loss.Kind = true, recovery.Stalled
		}, recovery.Hedge, recovery.ReasonHedged, ""},
		{"a stall is waited for, cost", func(s *fixture) {
			cost(s)
			s.loss.Kind = recovery.Stalled
		}, recovery.WaitTarget, recovery.ReasonMayReturn, ""},
		{"a stall that lasts, cost", func(s *fixture) {
			cost(s)
			s.loss.Kind, s.loss.At = recovery.Stalled, start.Add(-10*time.Second)
		}, recovery.Resume, recovery.ReasonLeastRecompute, ""},
		{"a stall near the deadline, cost", func(s *fixture) {
			cost(s)
			s.loss.Kind, s.loss.Spec.Deadline = recovery.Stalled, start.Add(20*time.Second)
		}, recovery.Resume, recovery.ReasonLeastRecompute, ""},
		{"the budget is used up", func(s *fixture) { s.policy.RetryAllowed = false }, recovery.WaitBudget, recovery.ReasonBudget, ""},
		{"no target has the version", otherVersion, recovery.WaitVersion, recovery.ReasonNoVersion, ""},
		{"no target has the adapter", func(s *fixture) { s.loss.Spec.Adapter = "easy" }, recovery.WaitVersion, recovery.ReasonNoVersion, ""},
		{"no version, no tokens delivered", func(s *fixture) {
			otherVersion(s)
			s.loss.TokensDelivered = false
		}, recovery.Restart, recovery.ReasonNoVersion, ""},
		{"no version, restarts allowed", func(s *fixture) {
			otherVersion(s)
			s.loss.Spec.RestartAllowed = true
		}, recovery.Restart, recovery.ReasonNoVersion, ""},
		{"no version, no tokens delivered, no budget", func(s *fixture) {
			otherVersion(s)
			s.loss.TokensDelivered, s.policy.RetryAllowed = false, false
		}, recovery.WaitBudget, recovery.ReasonBudget, ""},
		{"reports are old", func(s *fixture) { s.now = start.Add(4 * time.Second) }, recovery.WaitVersion, recovery.ReasonNoVersion, ""},
		{"all targets are leaving", func(s *fixture) {
			for i := range s.view.Targets {
				s.view.Targets[i].State = member.Leaving
			}
		}, recovery.WaitVersion, recovery.ReasonNoVersion, ""},
		{"the deadline has passed", func(s *fixture) { s.now = start.Add(5 * time.Minute) }, recovery.Fail, recovery.ReasonDeadline, ""},
		{"the attempts are used up", func(s *fixture) { s.loss.Attempts = 8 }, recovery.Fail, recovery.ReasonAttempts, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newFixture()
			tt.change(s)
			for seed := range uint64(20) {
				d := s.choose(seed)
				is.Equal(d.Action, tt.action)
				is.Equal(d.Reason, tt.reason)
				if tt.target != "" {
					is.Equal(d.Target, tt.target)
				}
				is.Equal(d.Until.IsZero(), d.Action[:4] != "wait")
				is.True(d.Target != "a" || s.view.Targets[0].Incarnation > 1)
				is.True(d.Second == "" || d.Second != d.Target)
			}
		})
	}
}

// Many simultaneous losses must not all go to one target.
func TestChooseSpreads(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	s.view.Targets = append(s.view.Targets, report("d", "bern"), report("e", "bern"))
	count := map[id.Target]int{}
	for seed := range uint64(400) {
		count[s.choose(seed).Target]++
	}
	for _, name := range []id.Target{"b", "c", "d", "e"} {
		is.True(count[name] >= 50) // an even share is 100
	}
}
