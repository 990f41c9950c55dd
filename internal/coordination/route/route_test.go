package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/route"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func report(n int) member.TargetReport {
	return member.TargetReport{
		Target: id.Target(fmt.Sprintf("t-%03d", n)), Incarnation: 1, Sequence: 1, State: member.Ready,
		Place:   member.Place{Zone: id.Zone(fmt.Sprint("z-", n%6)), Region: id.Region(fmt.Sprint("r-", n%2))},
		Address: "10.0.0.1:1", Model: "report", Version: "v1", Slots: 8,
		Pace: 31 * time.Millisecond, PrefillPerToken: 100 * time.Microsecond, At: start,
	}
}

func viewOf(reports ...member.TargetReport) *member.View {
	v := member.NewView(member.Config{}, "entry")
	for _, r := range reports {
		v.UpdateTarget(r, start)
	}
	return v
}

func viewOfMany(n int) *member.View {
	reports := make([]member.TargetReport, n)
	for i := range reports {
		reports[i] = report(i)
		reports[i].Running = i % 8
	}
	return viewOf(reports...)
}

var cfg = route.Config{Zone: "z-0", Region: "r-0"}

func request() route.Request {
	return route.Request{Model: "report", Class: generation.Standard, PromptTokens: 500, OutputTokens: 400}
}

func source() *rand.Rand { return rand.New(rand.NewPCG(7, 7)) }

func TestChoose(t *testing.T) {
	busy, idle, old, leaving, other := report(0), report(6), report(12), report(18), report(24)
	busy.Running, busy.Queued = 8, 4
	old.Version = "v0"
	leaving.State = member.Leaving
	other.Model = "other"
	far := report(1)
	for _, test := range []struct {
		name    string
		reports []member.TargetReport
		change  func(*route.Request)
		want    id.Target
		reason  route.Reason
	}{
		{"least wait", []member.TargetReport{busy, idle}, nil, idle.Target, route.LeastWait},
		{"version", []member.TargetReport{idle, old}, func(req *route.Request) { req.Version = "v0" }, old.Target, route.OnlyReplica},
		{"excluded", []member.TargetReport{busy, idle}, func(req *route.Request) { req.Exclude = []id.Target{idle.Target} }, busy.Target, route.OnlyReplica},
		{"leaving", []member.TargetReport{busy, leaving}, nil, busy.Target, route.OnlyReplica},
		{"model", []member.TargetReport{other}, nil, "", route.NoReplica},
		{"none left", []member.TargetReport{idle}, func(req *route.Request) { req.Exclude = []id.Target{idle.Target} }, "", route.NoneAvailable},
		{"no such adapter", []member.TargetReport{idle}, func(req *route.Request) { req.Adapter = "a" }, "", route.NoReplica},
		{"own zone at equal load", []member.TargetReport{far, idle}, nil, idle.Target, route.LeastWait},
		{"zone of a failed target avoided", []member.TargetReport{far, idle}, func(req *route.Request) { req.AvoidZone = "z-0" }, far.Target, route.LeastWait},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			req := request()
			if test.change != nil {
				test.change(&req)
			}
			decision, ok := route.New(cfg, viewOf(test.reports...)).Choose(req, start, source())
			is.Equal(ok, test.want != "")
			is.Equal(decision.Target, test.want)
			is.Equal(decision.Reason, test.reason)
		})
	}
}

// With an expired load report, the decision is marked Unconfirmed, so that the
// target itself must accept the request.
func TestExpiredReportIsUnconfirmed(t *testing.T) {
	is := is.New(t)
	r := route.New(cfg, viewOf(report(0)))
	decision, ok := r.Choose(request(), start.Add(3*time.Second), source())
	is.True(ok)
	is.Equal(decision.Reason, route.Unconfirmed)
}

// TestChooseDoesNotHerd checks that entries with the same report of one idle
// target do not all choose it, and that one entry spreads its requests by its own
// in-flight counts.
func TestChooseDoesNotHerd(t *testing.T) {
	is := is.New(t)
	reports := make([]member.TargetReport, 64)
	for i := range reports {
		reports[i] = report(i)
		reports[i].Running = 6
	}
	reports[0].Running = 0
	counts := map[id.Target]int{}
	for i := range 350 {
		place := report(i).Place
		r := route.New(route.Config{Zone: place.Zone, Region: place.Region}, viewOf(reports...))
		d, _ := r.Choose(request(), start, rand.New(rand.NewPCG(uint64(i), 1)))
		counts[d.Target]++
	}
	worst := 0
	for _, n := range counts {
		worst = max(worst, n)
	}
	is.True(worst <= 350/4)

	r := route.New(cfg, viewOfMany(64))
	rng := source()
	own := map[id.Target]int{}
	for range 200 {
		d, _ := r.Choose(request(), start, rng)
		r.Begin(d.Target, generation.Standard, 500, start)
		own[d.Target]++
	}
	for _, n := range own {
		is.True(n <= 8) // no target gets more than its slots while others have free ones
	}
}

// Long requests must not get the slots that are reserved for short ones.
func TestHeadroom(t *testing.T) {
	is := is.New(t)
	nearlyFull := report(0)
	nearlyFull.Running = 7
	r := route.New(cfg, viewOf(nearlyFull))
	long := request()
	long.Class = generation.Long
	d, ok := r.Choose(long, start, source())
	is.True(ok)
	is.True(!d.HasFreeSlot)
	short := request()
	short.Class = generation.Short
	d, _ = r.Choose(short, start, source())
	is.True(d.HasFreeSlot)
}

func TestOutlierIsEjectedAndProbed(t *testing.T) {
	is := is.New(t)
	r := route.New(cfg, viewOf(report(0), report(6), report(12), report(18)))
	rng := source()
	_, _ = r.Choose(request(), start, rng)
	for range 20 {
		for _, n := range []int{6, 12, 18} {
			r.Observe(report(n).Target, route.Observation{Model: "report", Pace: 31 * time.Millisecond}, start)
		}
	}
	for range 5 {
		r.Observe("t-000", route.Observation{Model: "report", Pace: 400 * time.Millisecond}, start)
	}
	for range 100 {
		d, _ := r.Choose(request(), start.Add(time.Second), rng)
		is.True(d.Target != "t-000")
	}
	later := start.Add(2100 * time.Millisecond)
	probes := 0
	for range 100 {
		if d, _ := r.Choose(request(), later, rng); d.Target == "t-000" {
			is.Equal(d.Reason, route.Probe)
			probes++
		}
	}
	is.Equal(probes, 1)
	r.Observe("t-000", route.Observation{Model: "report", Pace: 30 * time.Millisecond}, later)
	seen := false
	for range 100 {
		d, _ := r.Choose(request(), later, rng)
		seen = seen || d.Target == "t-000"
		r.Begin(d.Target, generation.Standard, 0, later)
	}
	is.True(seen)
}

func TestCacheHints(t *testing.T) {
	is := is.New(t)
	r := route.New(cfg, viewOf(report(0), report(6), report(12)))
	req := request()
	req.PromptTokens, req.BlockTokens = 4096, 16
	for i := range uint64(256) {
		req.Blocks = append(req.Blocks, i*7919+1)
	}
	var events []route.CacheEvent
	for i, b := range req.Blocks {
		events = append(events, route.CacheEvent{Number: uint64(i + 1), Kind: route.BlockStored, Block: b})
	}
	r.ApplyCacheEvents("t-006", events[:128])
	d, _ := r.Choose(req, start, source())
	is.Equal(d.Target, id.Target("t-006"))
	is.Equal(d.Reason, route.CachedPrefix)
	is.Equal(d.CachedTokens, 128*16)
	r.ApplyCacheEvents("t-006", events[:64]) // repeated events change nothing
	r.ApplyCacheEvents("t-006", events[200:])
	d, _ = r.Choose(req, start, source())
	is.Equal(d.CachedTokens, 128*16/2) // a gap halves the accuracy
	r.RecordCacheResult("t-006", d.CachedTokens, 0)
	after, _ := r.Choose(req, start, source())
	is.True(after.CachedTokens < d.CachedTokens)
	r.ApplyCacheEvents("t-006", []route.CacheEvent{{Number: 257, Kind: route.CacheCleared}})
	d, _ = r.Choose(req, start, source())
	is.Equal(d.CachedTokens, 0)
}

// For random views and requests, the chosen target must be ready, serve the
// requested version and not be excluded. If there is such a target, one must be
// chosen.
func TestChooseMatchesRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := member.NewView(member.Config{}, "entry")
		byName := map[id.Target]member.TargetReport{}
		for i := range rapid.IntRange(0, 40).Draw(t, "targets") {
			r := report(i)
			r.Version = rapid.SampledFrom([]id.Version{"v0", "v1"}).Draw(t, "version")
			r.State = rapid.SampledFrom([]member.State{member.Ready, member.Leaving, member.Joining, member.Gone}).Draw(t, "state")
			r.Running = rapid.IntRange(0, 9).Draw(t, "running")
			byName[r.Target] = r
			v.UpdateTarget(r, start)
			if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
				v.MarkTargetUnreachable(r.Target, start.Add(time.Millisecond))
				r.State = member.Suspect
				byName[r.Target] = r
			}
		}
		req := request()
		req.Version = rapid.SampledFrom([]id.Version{"", "v0", "v1"}).Draw(t, "want")
		req.Exclude = []id.Target{id.Target(fmt.Sprintf("t-%03d", rapid.IntRange(0, 40).Draw(t, "exclude")))}
		now := start.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "age")) * time.Millisecond)
		possible := 0
		for _, r := range byName {
			if r.State == member.Ready && (req.Version == "" || r.Version == req.Version) && r.Target != req.Exclude[0] {
				possible++
			}
		}
		d, ok := route.New(cfg, v).Choose(req, now, source())
		if ok != (possible > 0) {
			t.Fatalf("Choose returned %v with %d possible targets", ok, possible)
		}
		if !ok {
			return
		}
		chosen := byName[d.Target]
		if chosen.State != member.Ready || chosen.Target == req.Exclude[0] || (req.Version != "" && chosen.Version != req.Version) {
			t.Fatalf("chose target %+v for another version, excluded or not ready", chosen)
		}
	})
}

// requestWithBlocks returns a request with a prompt of 4,096 tokens in blocks of
// 16.
func requestWithBlocks() route.Request {
	req := request()
	req.PromptTokens, req.BlockTokens = 4096, 16
	for i := range uint64(256) {
		req.Blocks = append(req.Blocks, i*7919+1)
	}
	return req
}

func TestChooseAllocatesNothing(t *testing.T) {
	is := is.New(t)
	r := route.New(cfg, viewOfMany(760))
	rng := source()
	req := requestWithBlocks()
	r.AddCachedBlocks("t-006", req.Blocks)
	_, _ = r.Choose(req, start, rng)
	is.Equal(testing.AllocsPerRun(1000, func() { _, _ = r.Choose(req, start, rng) }), 0.0)
}

func BenchmarkChoose760(b *testing.B) {
	for _, bench := range []struct {
		name    string
		request route.Request
	}{{"plain", request()}, {"prefix", requestWithBlocks()}} {
		b.Run(bench.name, func(b *testing.B) {
			r := route.New(cfg, viewOfMany(760))
			rng := source()
			for i := range 760 {
				r.AddCachedBlocks(report(i).Target, bench.request.Blocks)
			}
			b.ReportAllocs()
			for b.Loop() {
				_, _ = r.Choose(bench.request, start, rng)
			}
		})
	}
}

func BenchmarkRebuild760(b *testing.B) {
	b.ReportAllocs()
	v := viewOfMany(760)
	for b.Loop() {
		_, _ = route.New(cfg, v).Choose(request(), start, source())
	}
}
