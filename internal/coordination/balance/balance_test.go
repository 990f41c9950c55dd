package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

// reportValid is how long the reports of other entries count.
const reportValid = 2 * time.Second

func engine() *catalog.Engine {
	return &catalog.Engine{MemoryTokens: 88000, SupportsBackup: true}
}

func request() balance.Request {
	return balance.Request{Engine: engine(), PromptTokens: 8000, OutputTokens: 1000}
}

// targets returns n ready targets of a service in each zone.
func targets(service id.Service, n int, zones ...id.Zone) catalog.Targets {
	var ts catalog.Targets
	for _, zone := range zones {
		for i := range n {
			ts = append(ts, &catalog.Target{
				ID: id.Target(fmt.Sprintf("%s-%s-%d", service, zone, i)), Service: service, Zone: zone,
				Address: fmt.Sprintf("10.0.0.%d:80", len(ts)+1), Slots: 12, State: catalog.Ready,
			})
		}
	}
	return ts
}

func newBalancer() *balance.Balancer { return balance.New("a", func() float64 { return 0 }) }

func TestChoose(t *testing.T) {
	tests := []struct {
		name    string
		targets catalog.Targets
		tried   map[id.Target]bool
		before  func(b *balance.Balancer, ts catalog.Targets)
		want    id.Target
	}{
		{name: "none", want: ""},
		{name: "own zone first", targets: targets("m", 1, "b", "a"), want: "m-a-0"},
		{name: "not the tried one", targets: targets("m", 1, "b", "a"), tried: map[id.Target]bool{"m-a-0": true}, want: "m-b-0"},
		{name: "least prefill", targets: targets("m", 1, "b", "a"), want: "m-b-0", before: func(b *balance.Balancer, ts catalog.Targets) {
			b.Start(start, balance.Choice{Target: ts[1]}, request(), nil)
		}},
		{name: "not a draining one", targets: targets("m", 1, "b", "a"), want: "m-b-0", before: func(_ *balance.Balancer, ts catalog.Targets) {
			ts[1].State = catalog.Draining
		}},
		{name: "not one that was just lost", targets: targets("m", 1, "b", "a"), want: "m-b-0", before: func(b *balance.Balancer, ts catalog.Targets) {
			b.Start(start, balance.Choice{Target: ts[1]}, request(), nil).End(start, balance.Lost)
		}},
		{name: "not one whose address belongs to another", targets: targets("m", 1, "b", "a"), want: "m-b-0", before: func(b *balance.Balancer, ts catalog.Targets) {
			b.Start(start, balance.Choice{Target: ts[1]}, request(), nil).End(start, balance.Replaced)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer()
			if tt.before != nil {
				tt.before(b, tt.targets)
			}
			choice, ok := b.Choose(start, request(), tt.targets, tt.tried)
			is.Equal(ok, tt.want != "")
			if ok {
				is.Equal(choice.Target.ID, tt.want)
			}
		})
	}
}

// The backup copy must be in another availability zone, since a zone's targets
// may fail together.
func TestChooseBackup(t *testing.T) {
	is := is.New(t)
	ts := targets("m", 2, "a", "b")
	choice, ok := newBalancer().Choose(start, request(), ts, nil)
	is.True(ok)
	is.True(choice.Backup != nil)
	is.True(choice.Backup.Zone != choice.Target.Zone)

	choice, ok = newBalancer().Choose(start, request(), ts[:2], nil)
	is.True(ok)
	is.True(choice.Backup == nil) // there is no other zone
}

// Two losses in one zone within zoneWindow make all targets of the zone suspect
// that were known before, but none that is listed later.
func TestChooseZoneLost(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	ts := targets("m", 3, "a", "b")
	_, ok := b.Choose(start, request(), ts, nil)
	is.True(ok)
	first := b.Start(start, balance.Choice{Target: ts[0]}, request(), nil)
	second := b.Start(start, balance.Choice{Target: ts[1]}, request(), nil)
	is.True(!first.End(start, balance.Lost))
	is.True(second.End(start.Add(100*time.Millisecond), balance.Lost)) // the zone is lost with it
	later := start.Add(time.Second)
	is.True(b.Suspected(later, ts[2]))

	choice, ok := b.Choose(later, request(), ts, nil)
	is.True(ok)
	is.Equal(choice.Target.Zone, id.Zone("b"))

	again := &catalog.Target{ID: "m-a-new", Service: "m", Zone: "a", Address: "10.0.0.1:80", State: catalog.Ready}
	choice, ok = b.Choose(later, request(), append(ts, again), nil)
	is.True(ok)
	is.Equal(choice.Target.ID, again.ID)
	is.True(!b.Suspected(start.Add(5*time.Second), ts[2])) // it is no longer avoided with its zone
}

// Losses of single targets must not make a zone suspect while its other targets
// keep sending.
func TestChooseZoneAlive(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	ts := targets("m", 5, "a", "b")
	var attempts []*balance.Attempt
	cancelled := 0
	for _, target := range ts[:5] {
		attempts = append(attempts, b.Start(start, balance.Choice{Target: target}, request(), nil))
	}
	b.Start(start, balance.Choice{Target: ts[4]}, request(), func() { cancelled++ })
	attempts[0].End(start, balance.Lost)
	for i := 2; i < 5; i++ {
		attempts[i].RecordActivity(start.Add(200 * time.Millisecond))
	}
	is.True(!attempts[1].End(start.Add(400*time.Millisecond), balance.Lost))
	is.Equal(cancelled, 0)
	is.True(!b.Suspected(start.Add(500*time.Millisecond), ts[4]))
}

// When a zone is lost, requests that wait for their first event there are
// cancelled, so that they can be sent elsewhere. Requests that are being
// answered are not.
func TestStartCancel(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	ts := targets("m", 4, "a", "b")
	cancelled := map[string]int{}
	begin := func(name string, target *catalog.Target) *balance.Attempt {
		return b.Start(start, balance.Choice{Target: target}, request(), func() { cancelled[name]++ })
	}
	begin("waits", ts[0])
	begin("runs", ts[1]).MarkStarted(start)
	begin("elsewhere", ts[4])
	begin("first", ts[2]).End(start, balance.Lost)
	is.Equal(len(cancelled), 0)
	begin("second", ts[3]).End(start, balance.Lost)
	is.Equal(cancelled, map[string]int{"waits": 1})
}

// Simultaneous losses in several zones are attributed to the entry's own host: no
// target is avoided because of them, and none is reported to other entries.
func TestAttemptEndOwnHost(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	ts := targets("m", 3, "a", "b", "c")
	var attempts []*balance.Attempt
	for _, target := range ts {
		attempts = append(attempts, b.Start(start, balance.Choice{Target: target}, request(), nil))
	}
	at := start.Add(time.Second)
	for i, attempt := range attempts {
		if i%3 == 2 {
			continue // the third target of each zone is not lost
		}
		attempt.End(at.Add(time.Duration(i)*time.Millisecond), balance.Lost)
	}
	later := at.Add(10 * time.Millisecond)
	for _, target := range ts {
		is.True(!b.Suspected(later, target))
	}
	is.Equal(len(b.RecentLosses(later)), 0)

	// A target that accepts no connection is still avoided.
	b.Start(later, balance.Choice{Target: ts[0]}, request(), nil).End(later, balance.Unreachable)
	is.True(b.Suspected(later, ts[0]))
	is.True(!b.Suspected(later, ts[1]))
}

// Requests that were cancelled because their zone was lost must not count as
// further losses, since one loss would then cause the next.
func TestAttemptEndRerouted(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	ts := targets("m", 4, "a", "b")
	begin := func(target *catalog.Target) *balance.Attempt {
		return b.Start(start, balance.Choice{Target: target}, request(), nil)
	}
	first, second := begin(ts[0]), begin(ts[1])
	first.End(start, balance.Rerouted)
	is.True(!second.End(start, balance.Rerouted))
	is.Equal(len(b.RecentLosses(start)), 0)
	is.True(!b.Suspected(start, ts[0]))
	is.True(!b.Suspected(start, ts[2]))
}

// Losses that other entries report count like the entry's own.
func TestApplyPeerLoss(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	ts := targets("m", 4, "a", "b")
	cancelled := 0
	b.Start(start.Add(-time.Second), balance.Choice{Target: ts[0]}, request(), func() { cancelled++ })
	is.True(!b.ApplyPeerLoss(start, ts[1], 50*time.Millisecond))
	is.True(!b.ApplyPeerLoss(start, ts[1], 60*time.Millisecond)) // the same loss, reported again
	is.Equal(cancelled, 0)
	is.True(b.ApplyPeerLoss(start, ts[2], 20*time.Millisecond))
	is.Equal(cancelled, 1)
	is.Equal(len(b.RecentLosses(start)), 0) // only own losses are reported
}

func TestApplyPeerReplaced(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	ts := targets("m", 1, "a")
	b.Start(start, balance.Choice{Target: ts[0]}, request(), nil).End(start, balance.Replaced)
	reported := b.RecentlyReplaced(start.Add(100 * time.Millisecond))
	lost := id.TargetIncarnation{Target: ts[0].ID, Incarnation: ts[0].Incarnation}
	is.Equal(reported, map[id.TargetIncarnation]time.Duration{lost: 100 * time.Millisecond})

	other := newBalancer()
	other.ApplyPeerReplaced(start, ts[0], reported[lost])
	is.True(other.Suspected(start.Add(5*time.Second), ts[0]))
	again := *ts[0]
	again.Incarnation = 7
	is.True(!other.Suspected(start.Add(5*time.Second), &again)) // it has started again
}

// What another entry has in flight counts until its report expires.
func TestApplyPeerLoads(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	ts := targets("m", 1, "a", "b")
	b.ApplyPeerLoads(start, "e2", map[id.Target]balance.Load{ts[0].ID: {Running: 1, PrefillTokens: 8000, MemoryTokens: 9000}}, reportValid)
	choice, _ := b.Choose(start, request(), ts, nil)
	is.Equal(choice.Target.ID, ts[1].ID)
	b.ApplyPeerLoads(start.Add(3*time.Second), "e3", nil, reportValid)
	choice, _ = b.Choose(start.Add(3*time.Second), request(), ts, nil)
	is.Equal(choice.Target.ID, ts[0].ID)
}

func TestAttemptEnd(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	ts := targets("m", 1, "a", "b")
	attempt := b.Start(start, balance.Choice{Target: ts[0], Backup: ts[1]}, request(), nil)
	attempt.End(start, balance.Succeeded)
	attempt.End(start, balance.Lost) // a second outcome is ignored
	choice, ok := b.Choose(start, request(), ts, nil)
	is.True(ok)
	is.Equal(choice.Target.ID, ts[0].ID)
}

// A target that fails requests gets fewer, and is tried again after a while.
func TestChooseOutlier(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	ts := targets("app", 1, "a", "b")
	req := balance.Request{}
	for range 10 {
		b.Start(start, balance.Choice{Target: ts[0]}, req, nil).End(start, balance.Failed)
	}
	choice, _ := b.Choose(start, req, ts, nil)
	is.Equal(choice.Target.ID, ts[1].ID)
	choice, _ = b.Choose(start.Add(20*time.Second), req, ts, nil)
	is.Equal(choice.Target.ID, ts[0].ID)
}

// A target whose address belongs to another one gets no requests, even when no
// other target is left: it would refuse them, and each refusal would use up
// retry budget.
func TestChooseReplaced(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	ts := targets("m", 2, "a")
	for _, target := range ts {
		b.Start(start, balance.Choice{Target: target}, request(), nil).End(start, balance.Replaced)
	}
	_, ok := b.Choose(start.Add(time.Second), request(), ts, nil)
	is.True(!ok)
	_, ok = b.Choose(start.Add(11*time.Second), request(), ts, nil)
	is.True(ok)
}

func TestHeardFrom(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	all := targets("m", 2, "a")
	key := all[0].Key()
	choice := balance.Choice{Target: all[0]}
	is.True(b.HeardFrom(key).IsZero()) // nothing is known
	b.Start(start, choice, request(), nil).End(start, balance.Lost)
	is.True(b.HeardFrom(key).IsZero()) // it said nothing
	for i, outcome := range []balance.Outcome{balance.Refused, balance.Succeeded, balance.Failed} {
		at := start.Add(time.Duration(i+1) * time.Second)
		b.Start(at, choice, request(), nil).End(at, outcome)
		is.Equal(b.HeardFrom(key), at)
	}
	is.True(b.HeardFrom(id.TargetIncarnation{Target: key.Target, Incarnation: key.Incarnation + 1}).IsZero()) // another incarnation
}

// A loss that is seen late, after the target has started again under its name, must be
// reported as that of the earlier incarnation.
func TestRecentLossesIncarnation(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	before := targets("m", 1, "a")[0]
	before.Incarnation = 1
	attempt := b.Start(start, balance.Choice{Target: before}, request(), nil)
	after := *before
	after.Incarnation = 2
	b.Start(start, balance.Choice{Target: &after}, request(), nil)
	attempt.End(start, balance.Lost)
	is.Equal(b.RecentLosses(start), map[id.TargetIncarnation]time.Duration{{Target: before.ID, Incarnation: 1}: 0})
}
