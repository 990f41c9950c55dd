package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/rollout"
	"foxtailward.example/foxtailward/internal/state/id"
)

// answers draws answers of one version on one route.
type answers struct {
	failed, slow float64
	factor       float64
}

func (a answers) draw(random *rand.Rand, route string, isNew bool) rollout.Answer {
	took := time.Duration(float64(60*time.Millisecond) * (0.7 + 0.8*random.Float64()))
	if random.Float64() < a.slow {
		took = time.Duration(float64(took) * a.factor)
	}
	return rollout.Answer{Route: route, New: isNew, Failed: random.Float64() < a.failed, Took: took}
}

// judged plays rounds of 100 ms with 19 old answers and one new one on each of two routes. It
// returns the number of bad answers before the version was found bad, the last finding, and
// whether the version was good at some time of the last 2.5 s, which is enough to go on.
func judged(seed uint64, rounds int, newOnRoute func(round int, route string) answers) (badAnswers int, f rollout.Finding, good bool) {
	random := rand.New(rand.NewPCG(seed, 1))
	ordinary := map[string]answers{"fails": {failed: 0.14}, "sound": {}}
	judge, counts := rollout.NewJudge(), rollout.Counts{}
	now := time.Unix(0, 0)
	for round := range rounds {
		for _, route := range []string{"fails", "sound"} {
			for range 19 {
				counts.Add(ordinary[route].draw(random, route, false))
			}
			drawn := newOnRoute(round, route).draw(random, route, true)
			counts.Add(drawn)
			if drawn.Failed || drawn.Took > 200*time.Millisecond {
				badAnswers++
			}
		}
		now = now.Add(100 * time.Millisecond)
		if f = judge.Observe(now, counts); f.Bad {
			return badAnswers, f, false
		}
		good = good || (f.Good && round >= rounds-25)
	}
	return badAnswers, f, good
}

func TestJudge(t *testing.T) {
	ordinary := func(route string) answers {
		if route == "fails" {
			return answers{failed: 0.14}
		}
		return answers{}
	}
	tests := []struct {
		name string
		new  func(round int, route string) answers
		bad  bool
	}{
		{"good, with 14% ordinary failures of a route", func(_ int, route string) answers { return ordinary(route) }, false},
		{"fails at once", func(int, string) answers { return answers{failed: 0.4} }, true},
		{"several times slower in part", func(_ int, route string) answers {
			return answers{failed: ordinary(route).failed, slow: 0.4, factor: 5}
		}, true},
		{"fails late", func(round int, route string) answers {
			if round < 60 {
				return ordinary(route)
			}
			return answers{failed: 0.5}
		}, true},
		{"fails on one route only", func(_ int, route string) answers {
			if route == "sound" {
				return answers{failed: 0.4}
			}
			return ordinary(route)
		}, true},
		{"fails on the route that has ordinary failures", func(_ int, route string) answers {
			if route == "fails" {
				return answers{failed: 0.7}
			}
			return answers{}
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(40) {
				badAnswers, f, good := judged(seed, 180, tt.new)
				is.Equal(f.Bad, tt.bad)
				is.Equal(good, !tt.bad)
				if tt.bad {
					// A good part of these are the ordinary failures of before.
					is.True(badAnswers < 40)
				}
			}
		})
	}
}

// TestJudgeFewAnswers guards against a version that is trusted without answers on a route.
func TestJudgeFewAnswers(t *testing.T) {
	is := is.New(t)
	judge, counts := rollout.NewJudge(), rollout.Counts{}
	for range 100 {
		counts.Add(rollout.Answer{Route: "a", Took: time.Millisecond})
		counts.Add(rollout.Answer{Route: "b", Took: time.Millisecond})
		counts.Add(rollout.Answer{Route: "a", New: true, Took: time.Millisecond})
	}
	is.True(!judge.Observe(time.Unix(1, 0), counts).Good) // none on b
	for range 10 {
		counts.Add(rollout.Answer{Route: "b", New: true, Took: time.Millisecond})
	}
	is.True(judge.Observe(time.Unix(2, 0), counts).Good)

	// Streams that begin in time and are slow then.
	for n := range 60 {
		counts.Add(rollout.Answer{Route: "a", Took: 30 * time.Millisecond, Pace: true})
		if n%6 == 0 {
			counts.Add(rollout.Answer{Route: "a", New: true, Took: 150 * time.Millisecond, Pace: true})
		}
	}
	is.True(judge.Observe(time.Unix(3, 0), counts).Bad)
}

// TestShareOfManyEntries guards the bound on what an unproven version gets, over 30 entries with
// unequal load, the busiest of which starts again.
func TestShareOfManyEntries(t *testing.T) {
	is := is.New(t)
	const entries, share, tolerance = 30, 0.1, 50
	random := rand.New(rand.NewPCG(7, 7))
	for _, total := range []int{40, 400, 4000, 40000} {
		ledgers := make([]rollout.Ledger, entries)
		toNew := 0
		for n := range total {
			// Entry 0 gets half of the requests.
			i := 0
			if random.IntN(2) == 1 {
				i = random.IntN(entries)
			}
			if n == total/2 {
				ledgers[0] = rollout.Ledger{}
			}
			goesOn := random.IntN(20) == 0
			isNew := ledgers[i].Allows(rollout.Bound{Share: share, Tolerance: tolerance, Entries: entries, Rank: i}, goesOn)
			ledgers[i].Sent(isNew)
			if isNew {
				toNew++
			}
		}
		is.True(float64(toNew) <= share*float64(total)+tolerance)
		is.True(toNew >= min(20, total/4)) // enough to judge by
	}
}

const (
	v1 = id.SoftwareVersion("v1")
	v2 = id.SoftwareVersion("v2")
	v3 = id.SoftwareVersion("v3")
)

func order(to id.SoftwareVersion, revision int64) *rollout.Order {
	return &rollout.Order{Service: "m", To: to, DurationMS: 12_000, Revision: revision}
}

// canary returns a view in the canary stage.
func canary() rollout.View {
	return rollout.View{
		Entry: "e1", Order: order(v2, 5), Share: 0.1, Listed: []id.SoftwareVersion{v1, v2}, NewSlots: 8, OldSlots: 8,
		Stage:   &rollout.Stage{Number: 1, Order: 5, To: v2, Phase: rollout.Canary, Share: 0.1, Old: []id.SoftwareVersion{v1}},
		RunTime: time.Second, SinceOrder: time.Second, SinceStage: time.Second, Entries: []rollout.EntryState{{Stage: 1}, {Stage: 1}},
	}
}

// with returns the canary's view after a change.
func with(change func(v *rollout.View)) rollout.View {
	v := canary()
	change(&v)
	return v
}

// at returns the view at another stage.
func at(phase rollout.Phase, change func(v *rollout.View)) rollout.View {
	return with(func(v *rollout.View) {
		v.Stage.Number, v.Stage.Phase = 2, phase
		v.SinceOrder, v.Entries = 10*time.Second, []rollout.EntryState{{Stage: 2}, {Stage: 2}}
		v.Finding.Good = true
		if change != nil {
			change(v)
		}
	})
}

// back returns the view after an order back to the old version has come while the new one had
// all requests, and its first stage is known.
func back(change func(v *rollout.View)) rollout.View {
	return at(rollout.Whole, func(v *rollout.View) {
		v.Order, v.Finding = order(v1, 9), rollout.Finding{}
		v.Stage = &rollout.Stage{Number: 2, Order: 9, To: v1, Phase: rollout.Whole, Share: 1, Barred: []id.SoftwareVersion{v2}, Reason: rollout.NothingToMove}
		change(v)
	})
}

func TestDecide(t *testing.T) {
	bad := rollout.Finding{Bad: true}
	good := rollout.Finding{Good: true}
	tests := []struct {
		name   string
		view   rollout.View
		next   rollout.Phase
		reason rollout.Reason
	}{
		{"an order", with(func(v *rollout.View) { v.Stage = nil }), rollout.Canary, rollout.Ordered},
		{"an order for the version that serves alone", with(func(v *rollout.View) { v.Stage, v.Listed = nil, []id.SoftwareVersion{v2, v2} }), rollout.Completed, rollout.NothingToMove},
		{"an order before any target is known", with(func(v *rollout.View) { v.Stage, v.Listed = nil, nil }), rollout.Canary, rollout.Ordered},
		{"no order", rollout.View{}, "", rollout.NoOrder},
		{"a second order", with(func(v *rollout.View) { v.Order = order(v3, 9) }), rollout.Canary, rollout.Ordered},
		{"an order back to the old version", with(func(v *rollout.View) { v.Order = order(v1, 9) }), rollout.Whole, rollout.NothingToMove},
		{"back at the old version, runs at the other", back(func(v *rollout.View) { v.Entries[1].AtOld = 4 }), "", rollout.RunsAtOld},
		{"back at the old version, one has not acknowledged", back(func(v *rollout.View) { v.Entries[1].Stage = 1 }), "", rollout.UnknownByOne},
		{"back at the old version, which is not judged", back(func(v *rollout.View) { v.Finding = bad }), rollout.Completed, rollout.Acknowledged},
		{"back at the old version, withdrawn", back(func(v *rollout.View) { v.Order = nil }), rollout.Completed, rollout.Acknowledged},
		{"withdrawn", with(func(v *rollout.View) { v.Order = nil }), rollout.Reverting, rollout.Withdrawn},
		{"withdrawn when completed", at(rollout.Completed, func(v *rollout.View) { v.Order = nil }), "", rollout.IsFinal},
		{"good too early", with(func(v *rollout.View) { v.Finding = good }), "", rollout.SwitchNotDue},
		{"good and due", with(func(v *rollout.View) { v.Finding, v.SinceOrder = good, 10*time.Second }), rollout.Whole, rollout.JudgedGood},
		{"unproven and due", with(func(v *rollout.View) { v.SinceOrder = 10 * time.Second }), "", rollout.FewAnswers},
		{"no target", with(func(v *rollout.View) { v.Finding, v.SinceOrder, v.NewSlots = good, time.Hour, 0 }), "", rollout.NoTarget},
		{"too few targets", with(func(v *rollout.View) { v.Finding, v.SinceOrder, v.NewSlots = good, time.Hour, 3 }), "", rollout.FewTargets},
		{"bad in the canary", with(func(v *rollout.View) { v.Finding = bad }), rollout.Reverting, rollout.JudgedBad},
		{"bad according to another entry", with(func(v *rollout.View) { v.ReportedBad = true }), rollout.Reverting, rollout.JudgedBad},
		{"whole and drained", at(rollout.Whole, nil), rollout.Completed, rollout.Acknowledged},
		{"whole, too early", at(rollout.Whole, func(v *rollout.View) { v.SinceStage = 0 }), "", rollout.WatchingWhole},
		{"whole, one has not acknowledged", at(rollout.Whole, func(v *rollout.View) { v.Entries[1].Stage = 1 }), "", rollout.UnknownByOne},
		{"whole, one says nothing", at(rollout.Whole, func(v *rollout.View) { v.Entries[1] = rollout.EntryState{} }), "", rollout.UnknownByOne},
		{"whole, one runs at the old version", at(rollout.Whole, func(v *rollout.View) { v.Entries[1].AtOld = 1 }), "", rollout.RunsAtOld},
		{"whole, new targets lost", at(rollout.Whole, func(v *rollout.View) { v.NewSlots = 0 }), "", rollout.NoTarget},
		{"bad when whole", at(rollout.Whole, func(v *rollout.View) { v.Finding = bad }), rollout.Reverting, rollout.JudgedBad},
		{"bad when completed", at(rollout.Completed, func(v *rollout.View) { v.Finding = bad }), "", rollout.IsFinal},
		{"reverting, acknowledged", at(rollout.Reverting, nil), rollout.Reverted, rollout.Acknowledged},
		{"reverting, one silent", at(rollout.Reverting, func(v *rollout.View) { v.Entries[1].Stage = 1 }), "", rollout.RunsToNew},
		{"reverting at the time budget", at(rollout.Reverting, func(v *rollout.View) { v.Entries[1].Stage, v.SinceOrder = 1, 12*time.Second }), rollout.Reverted, rollout.TimeUp},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			step := rollout.Decide(tt.view)
			is.Equal(step.Reason, tt.reason)
			if tt.next == "" {
				is.Equal(step.Next, nil)
				return
			}
			is.Equal(step.Next.Phase, tt.next)
			is.NoErr(step.Next.Validate())
			if tt.view.Stage != nil {
				is.Equal(step.Next.Number, tt.view.Stage.Number+1)
			}
		})
	}
}

// item is the key-value service's item of the stage.
type item struct {
	stage    *rollout.Stage
	revision int64
}

// commit writes a stage if the item still has the revision.
func (i *item) commit(next *rollout.Stage, revision int64) bool {
	if revision != i.revision {
		return false
	}
	i.stage, i.revision = next, i.revision+1
	return true
}

// TestDeciderLost plays a whole roll-out in which at each step a decider is paused after it has
// decided, another one takes the step, and then the first one's write arrives late; or the first
// one's write takes effect without an answer.
func TestDeciderLost(t *testing.T) {
	for _, outcome := range []rollout.Phase{rollout.Completed, rollout.Reverted} {
		for _, unanswered := range []bool{false, true} {
			t.Run(fmt.Sprint(outcome, unanswered), func(t *testing.T) {
				is := is.New(t)
				kept := item{}
				var phases []rollout.Phase
				for range 10 {
					v := with(func(v *rollout.View) {
						v.Stage, v.SinceOrder = kept.stage, 10*time.Second
						v.Finding = rollout.Finding{Good: outcome == rollout.Completed, Bad: outcome == rollout.Reverted}
						if kept.stage != nil {
							v.Entries = []rollout.EntryState{{Stage: kept.stage.Number}}
						}
					})
					lost := rollout.Decide(v)
					if lost.Next == nil {
						break
					}
					revision := kept.revision
					if unanswered {
						is.True(kept.commit(lost.Next, revision))
					}
					v.Entry = "e2"
					other := rollout.Decide(v)
					is.Equal(other.Next.Phase, lost.Next.Phase)
					is.Equal(kept.commit(other.Next, revision), !unanswered)
					if !unanswered {
						is.True(!kept.commit(lost.Next, revision)) // the late write
					}
					phases = append(phases, kept.stage.Phase)
				}
				is.Equal(kept.stage.Phase, outcome)
				is.Equal(len(phases), 3)
			})
		}
	}
}

// TestSecondOrder guards against requests to a version of an unfinished order after a second one.
func TestSecondOrder(t *testing.T) {
	is := is.New(t)
	second := order(v3, 9)
	step := rollout.Decide(with(func(v *rollout.View) { v.Order, v.Listed = second, []id.SoftwareVersion{v1, v2, v3} }))
	is.Equal(step.Next.Role(v1), rollout.OldVersion)
	is.Equal(step.Next.Role(v2), rollout.BarredVersion)
	is.Equal(step.Next.Role(v3), rollout.NewVersion)
	is.Equal(step.Next.Role("v9"), rollout.Uninvolved)

	back := rollout.Decide(with(func(v *rollout.View) { v.Order = order(v2, 12); v.Stage = step.Next }))
	is.Equal(back.Next.Role(v2), rollout.NewVersion) // an order for it again
	is.Equal(back.Next.Role(v3), rollout.BarredVersion)

	done := *step.Next
	done.Phase = rollout.Completed
	after := rollout.Decide(with(func(v *rollout.View) {
		v.Order, v.Stage, v.Listed = order("v4", 20), &done, []id.SoftwareVersion{v3}
	}))
	is.Equal(after.Next.Role(v3), rollout.OldVersion) // a completed version serves on
	is.Equal(after.Next.Role(v1), rollout.OldVersion)
}

func TestPermit(t *testing.T) {
	stage := func(phase rollout.Phase) *rollout.Stage {
		return &rollout.Stage{Number: 1, Order: 5, To: v2, Phase: phase, Old: []id.SoftwareVersion{v1}, Barred: []id.SoftwareVersion{v3}}
	}
	tests := []struct {
		name     string
		permit   rollout.Permit
		old, new bool
	}{
		{"no order", rollout.Permit{}, true, true},
		{"an order without a stage", rollout.Permit{Order: order(v2, 5)}, true, false},
		{"a newer order than the stage", rollout.Permit{Order: order(v2, 6), Stage: stage(rollout.Whole), NewServes: true}, true, false},
		{"canary", rollout.Permit{Order: order(v2, 5), Stage: stage(rollout.Canary)}, true, false},
		{"canary, drawn", rollout.Permit{Order: order(v2, 5), Stage: stage(rollout.Canary), Draw: true}, true, true},
		{"canary, drawn, bad", rollout.Permit{Order: order(v2, 5), Stage: stage(rollout.Canary), Draw: true, Stopped: true}, true, false},
		{"canary, goes on", rollout.Permit{Order: order(v2, 5), Stage: stage(rollout.Canary), Began: v2, BeganKnown: true}, true, true},
		{"whole", rollout.Permit{Order: order(v2, 5), Stage: stage(rollout.Whole), NewServes: true}, false, true},
		{"whole, goes on at the old version", rollout.Permit{Order: order(v2, 5), Stage: stage(rollout.Whole), NewServes: true, Began: v1, BeganKnown: true}, true, true},
		{"whole, new targets lost", rollout.Permit{Order: order(v2, 5), Stage: stage(rollout.Whole)}, true, true},
		{"whole, bad", rollout.Permit{Order: order(v2, 5), Stage: stage(rollout.Whole), NewServes: true, Stopped: true}, true, false},
		{"completed", rollout.Permit{Order: order(v2, 5), Stage: stage(rollout.Completed), NewServes: true}, false, true},
		{"reverting", rollout.Permit{Order: order(v2, 5), Stage: stage(rollout.Reverting), Draw: true}, true, false},
		{"reverted, goes on", rollout.Permit{Order: order(v2, 5), Stage: stage(rollout.Reverted), Began: v2, BeganKnown: true}, true, false},
		{"withdrawn", rollout.Permit{Stage: stage(rollout.Whole), NewServes: true}, true, false},
		{"withdrawn when completed", rollout.Permit{Stage: stage(rollout.Completed), NewServes: true}, true, true},
		{"withdrawn when reverted", rollout.Permit{Stage: stage(rollout.Reverted), NewServes: true}, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.permit.Allows(v1), tt.old)
			is.Equal(tt.permit.Allows(v2), tt.new)
			is.True(tt.permit.Allows("v9")) // not part of the order
			is.Equal(tt.permit.Allows(v3), tt.permit.Stage == nil)
		})
	}
}

// TestStateTrusted guards against a version that is taken for good by an entry that has just
// started, or while another entry doubts it.
func TestStateTrusted(t *testing.T) {
	is := is.New(t)
	s := rollout.NewState("m")
	now := time.Unix(100, 0)
	s.SetOrder(now, order(v2, 5))
	s.Adopt(now, canary().Stage)
	for range 100 {
		s.Add(rollout.Answer{Route: "r", Took: time.Millisecond})
		s.Add(rollout.Answer{Route: "r", New: true, Took: time.Millisecond})
	}
	s.Examine(now)
	is.True(!s.Trusted(now, time.Second).Good)
	later := now.Add(4 * time.Second)
	is.True(s.Trusted(later, time.Second).Good)
	from := rollout.Reporter{Address: "b", Incarnation: 1}
	s.Merge(later, from, rollout.Report{Counted: 5, Score: 5})
	is.True(!s.Trusted(later, time.Second).Good)
	is.True(s.Trusted(later.Add(2*time.Second), time.Second).Good) // the doubt is old
	s.Merge(later, from, rollout.Report{Counted: 4, Score: 5})
	is.True(s.Trusted(later, time.Second).Good) // of an earlier order
}

// TestStateStops guards against further requests to a version that this entry, or another one,
// has found bad, before any stage says so.
func TestStateStops(t *testing.T) {
	is := is.New(t)
	bound := rollout.Bound{Share: 0.1, Tolerance: 50, Entries: 2}
	s := rollout.NewState("m")
	now := time.Unix(100, 0)
	s.SetOrder(now, order(v2, 5))
	is.True(!s.Take(v2, false, bound)) // no stage is known
	s.Adopt(now, canary().Stage)
	is.True(s.MayDraw(bound))
	is.True(s.Take(v2, false, bound))

	counts := rollout.Counts{}
	for range 40 {
		counts.Add(rollout.Answer{Route: "r", Took: time.Millisecond})
	}
	for range 10 {
		counts.Add(rollout.Answer{Route: "r", New: true, Failed: true})
	}
	from := rollout.Reporter{Address: "b", Incarnation: 1}
	s.Merge(now, from, rollout.Report{Counted: 5, Counts: counts})
	is.True(s.Examine(now)) // by the other entry's counts
	is.True(!s.Take(v2, false, bound) && !s.Take(v2, true, bound) && !s.MayDraw(bound))
	is.True(s.Report(0, 0).Bad)

	s.SetOrder(now, order(v2, 8))
	is.True(!s.Stopped()) // a new order
	stopped, _ := s.Merge(now, from, rollout.Report{Counted: 5, Bad: true})
	is.True(!stopped) // of the earlier order
	stopped, _ = s.Merge(now, from, rollout.Report{Counted: 8, Bad: true})
	is.True(stopped && s.Stopped())
}

// TestTakeAfterWait guards against a request that waits for a target while the stage changes, and
// is then sent to a version that may get nothing any more.
func TestTakeAfterWait(t *testing.T) {
	tests := []struct {
		name    string
		order   *rollout.Order
		phase   rollout.Phase
		reason  rollout.Reason
		version id.SoftwareVersion
		allowed bool
	}{
		{"the replaced version, completed", order(v2, 5), rollout.Completed, rollout.Acknowledged, v1, false},
		{"the new version, withdrawn", nil, rollout.Whole, rollout.JudgedGood, v2, false},
		{"the new version, reverted and withdrawn", nil, rollout.Reverted, rollout.Acknowledged, v2, false},
		{"the new version, another order", order(v3, 9), rollout.Whole, rollout.JudgedGood, v2, false},
		{"the old version, another order", order(v3, 9), rollout.Whole, rollout.JudgedGood, v1, true},
		{"the new version, completed, ordered again", order(v2, 9), rollout.Completed, rollout.Acknowledged, v2, true},
		{"the old version, ordered back", order(v1, 9), rollout.Whole, rollout.JudgedGood, v1, true},
		{"another version that is ordered", order(v3, 9), rollout.Whole, rollout.JudgedGood, v3, false},
		{"the new version, which served before", order(v2, 5), rollout.Whole, rollout.NothingToMove, v2, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			stage := &rollout.Stage{Number: 2, Order: 5, To: v2, Phase: tt.phase, Share: 1, Old: []id.SoftwareVersion{v1}, Reason: tt.reason}
			s := rollout.NewState("m")
			now := time.Unix(1000, 0)
			s.SetOrder(now, tt.order)
			s.Adopt(now, stage)
			is.Equal(s.Take(tt.version, false, rollout.Bound{Share: 0.1, Tolerance: 50, Entries: 1}), tt.allowed)
			p := rollout.Permit{Stage: stage, Order: tt.order, NewServes: true}
			is.Equal(p.Allows(tt.version), tt.allowed)
		})
	}
}
