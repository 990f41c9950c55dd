package balance_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/state/id"
)

func say(slowness float64) *balance.TargetLoad {
	return &balance.TargetLoad{Slots: 12, Slowness: slowness}
}

func TestPaceSlowness(t *testing.T) {
	spell := balance.Pace{Word: 2.5, WordAt: start, Usual: 1, Class: 1}
	tests := map[string]struct {
		pace balance.Pace
		age  time.Duration
		span time.Duration
		want float64
	}{
		"nothing said":                   {pace: balance.Pace{Usual: 1, Class: 1}, want: 1},
		"nothing said, slow for good":    {pace: balance.Pace{Usual: 1, Class: 1.3}, want: 1.3},
		"just said":                      {pace: spell, want: 2.5},
		"half a spell later":             {pace: spell, age: 300 * time.Millisecond, want: 1.75},
		"a spell later":                  {pace: spell, age: 600 * time.Millisecond, want: 1},
		"long ago":                       {pace: spell, age: time.Hour, want: 1},
		"from the future":                {pace: spell, age: -time.Hour, want: 2.5},
		"work as long as a spell":        {pace: spell, span: 600 * time.Millisecond, want: 1.75},
		"work far longer than a spell":   {pace: spell, span: 30 * time.Second, want: 1 + 1.5*0.01},
		"work that begins after a spell": {pace: spell, age: 600 * time.Millisecond, span: time.Second, want: 1},
		"far beyond the limit":           {pace: balance.Pace{Word: 8, WordAt: start, Usual: 8, Class: 8}, want: 8},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(math.Abs(tt.pace.Slowness(start.Add(tt.age), tt.span)-tt.want) < 1e-9)
		})
	}
}

// Odd figures leave requests going to all targets, and one without a figure changes nothing.
func TestObserveLoadOdd(t *testing.T) {
	for name, odd := range map[string]float64{"nothing": 0, "negative": -3, "not a number": math.NaN(), "infinite": math.Inf(1), "tiny": 1e-300, "huge": 1e300} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer()
			ts := targets("app", 2, "a")
			b.ObserveLoad(start, ts[0], say(odd))
			slowness := b.Pace(start, ts[0]).Slowness(start, 0)
			is.True(slowness >= 0.5 && slowness <= 8) // what is believed stays within its limits
			for _, later := range []time.Duration{0, time.Second} {
				used := map[id.Target]int{}
				for range 120 {
					choice, ok := b.Choose(start.Add(later), balance.Request{Kind: "r"}, ts, nil)
					is.True(ok)
					used[choice.Target.ID]++
					b.Start(start.Add(later), choice, balance.Request{Kind: "r"}, nil)
				}
				is.True(len(used) == 2 && used[ts[0].ID] <= 90) // neither is flooded
			}
		})
	}
}

// A word reaches the other entries once, with its age, and an older one does not replace it.
func TestTakePaces(t *testing.T) {
	is := is.New(t)
	ts := targets("app", 1, "a")
	from, to := newBalancer(), newBalancer()
	is.Equal(from.TakePaces(start), nil) // nothing is known
	from.ObserveLoad(start, ts[0], say(2.5))
	now := start.Add(100 * time.Millisecond)
	reports := from.TakePaces(now)
	is.Equal(reports[ts[0].ID], balance.PaceReport{Slowness: 2.5, AgeMS: 100})
	is.Equal(from.TakePaces(now), nil) // it was told

	to.ApplyPeerPaces(now, reports)
	is.True(!to.Uneven("app")) // nothing is known of the target
	to.Suspected(now, ts[0])
	to.ApplyPeerPaces(now, reports)
	is.True(to.Uneven("app"))
	is.Equal(to.Pace(now, ts[0]).WordAt, start)
	to.ObserveLoad(now, ts[0], say(1))
	to.ApplyPeerPaces(now, reports)
	is.Equal(to.Pace(now, ts[0]).Word, 1.0) // the later word holds
	for _, bad := range []balance.PaceReport{{Slowness: 2, AgeMS: -1}, {Slowness: 2, AgeMS: 600}, {Slowness: -2}, {}, {Slowness: math.NaN()}} {
		to.ApplyPeerPaces(now.Add(time.Second), map[id.Target]balance.PaceReport{ts[0].ID: bad})
		is.Equal(to.Pace(now, ts[0]).Word, 1.0)
	}
}

// What a service's targets say changes nothing for other services.
func TestChooseOtherService(t *testing.T) {
	is := is.New(t)
	ts := targets("m", 2, "a", "b")
	silent, told := newBalancer(), newBalancer()
	told.ObserveLoad(start, targets("app", 1, "a")[0], say(2.5))
	for i := range 40 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		want, _ := silent.Choose(now, request(), ts, nil)
		got, ok := told.Choose(now, request(), ts, nil)
		is.True(ok)
		is.Equal(got, want)
		silent.Start(now, want, request(), nil)
		told.Start(now, got, request(), nil)
	}
}

// An engine gets no run and no copy beyond its memory, and once none has room the request is
// not placed, instead of at the fullest one.
func TestChooseMemory(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	b.Ordered = true
	ts := targets("m", 2, "a", "b")
	used := map[id.Target]int{}
	var attempts []*balance.Attempt
	for {
		choice, ok := b.Choose(start, request(), ts, nil)
		if !ok {
			break
		}
		used[choice.Target.ID] += 9000
		if choice.Backup != nil {
			used[choice.Backup.ID] += 9000
		}
		attempts = append(attempts, b.Start(start, choice, request(), nil))
		for _, tokens := range used {
			is.True(tokens <= engine().MemoryTokens)
		}
	}
	is.True(len(attempts) >= 4*88000/9000/2) // at least half of the memory holds runs
	is.True(b.OutOfMemory(start, request(), ts))
	is.True(!b.Fits(start, request(), ts[0]))
	is.True(!b.OutOfMemory(start, balance.Request{Engine: engine(), PromptTokens: 100}, ts))
	is.True(!b.OutOfMemory(start, request(), nil)) // no target is another reason
	attempts[0].End(start, balance.Succeeded)
	_, ok := b.Choose(start, request(), ts, nil)
	is.True(ok)
}
