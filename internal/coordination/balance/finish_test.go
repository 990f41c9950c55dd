package balance_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// objective is when an answer of the plain service is late for its callers.
	objective         = 300 * time.Millisecond
	requestsPerSecond = 200
)

// fakeServer runs requests in its slots, in the order in which they come.
type fakeServer struct {
	free []time.Time
	// slowness returns how long work takes there at a time.
	slowness func(time.Time) float64
}

// run returns when work that arrives now is finished.
func (s *fakeServer) run(now time.Time, work time.Duration) time.Time {
	slices.SortFunc(s.free, time.Time.Compare)
	const step = 5 * time.Millisecond
	at := s.free[0]
	if now.After(at) {
		at = now
	}
	for left := work.Seconds(); left > 0; at = at.Add(step) {
		left -= step.Seconds() / s.slowness(at)
	}
	s.free[0] = at
	return at
}

// run is a request at a server.
type run struct {
	entry    int
	attempt  *balance.Attempt
	target   *catalog.Target
	finished time.Time
}

// play is a load of one plain service: entries send requests of 60 ms.
type play struct {
	targets  catalog.Targets
	servers  map[id.Target]*fakeServer
	entries  []*balance.Balancer
	tells    bool
	inFlight []run
}

// newPlay returns a play on 6 targets of 6 slots in 2 zones. tells says that the targets
// state their pace; ordered that requests are placed by finish in any case.
func newPlay(random *rand.Rand, tells, ordered bool, slowness func(i int, at time.Time) float64) *play {
	p := &play{targets: targets("app", 3, "a", "b"), servers: map[id.Target]*fakeServer{}, tells: tells}
	for i, t := range p.targets {
		t.Slots = 6
		p.servers[t.ID] = &fakeServer{free: make([]time.Time, 6), slowness: func(at time.Time) float64 { return slowness(i, at) }}
	}
	for i := range 4 {
		b := balance.New([]id.Zone{"a", "b"}[i%2], random.Float64)
		b.Ordered = ordered
		b.ReportAge = func() time.Duration { return 150 * time.Millisecond }
		p.entries = append(p.entries, b)
	}
	return p
}

// end ends the runs that are finished by now.
func (p *play) end(now time.Time) {
	slices.SortFunc(p.inFlight, func(a, b run) int { return a.finished.Compare(b.finished) })
	for len(p.inFlight) > 0 && !p.inFlight[0].finished.After(now) {
		r := p.inFlight[0]
		p.inFlight = p.inFlight[1:]
		if p.tells {
			p.entries[r.entry].ObserveLoad(r.finished, r.target, &balance.TargetLoad{Slots: 6, Slowness: p.servers[r.target.ID].slowness(r.finished)})
		}
		r.attempt.End(r.finished, balance.Succeeded)
	}
}

// share tells each entry what the others know.
func (p *play) share(now time.Time) {
	for i, from := range p.entries {
		paces := from.TakePaces(now)
		for j, to := range p.entries {
			if i != j {
				to.ApplyPeerLoads(now, id.Entry(rune('a'+i)), from.Loads(), time.Second)
				to.ApplyPeerPaces(now, paces)
			}
		}
	}
}

// played is what callers got: the mean and the longest time to an answer, and the share of
// late ones.
type played struct {
	mean, worst time.Duration
	late        float64
}

func (p *play) play(random *rand.Rand, lasts time.Duration) played {
	var res played
	n, late, shared := 0, 0, start
	for now := start; now.Sub(start) < lasts; n++ {
		now = now.Add(time.Duration(random.ExpFloat64() / requestsPerSecond * float64(time.Second)))
		p.end(now)
		if now.Sub(shared) >= 150*time.Millisecond {
			p.share(now)
			shared = now
		}
		entry, request := random.IntN(len(p.entries)), balance.Request{Kind: "read"}
		choice, _ := p.entries[entry].Choose(now, request, p.targets, nil)
		finished := p.servers[choice.Target.ID].run(now, 60*time.Millisecond)
		p.inFlight = append(p.inFlight, run{entry, p.entries[entry].Start(now, choice, request, nil), choice.Target, finished})
		took := finished.Sub(now)
		res.mean += took
		res.worst = max(res.worst, took)
		if took > objective {
			late++
		}
	}
	res.mean /= time.Duration(n)
	res.late = float64(late) / float64(n)
	return res
}

// playBoth plays the same load by count and by finish.
func playBoth(seed uint64, tells bool, slowness func(int, time.Time) float64) (byCount, byFinish played) {
	play := func(tells, ordered bool) played {
		random := rand.New(rand.NewPCG(seed, 1))
		return newPlay(random, tells, ordered, slowness).play(random, 20*time.Second)
	}
	return play(false, false), play(tells, true)
}

// Requests avoid a target in a slow spell, one that is slow for good whether it says so or
// not, and a whole zone that is slower, as far as that makes their callers' answers earlier.
// Where all targets are alike, answers are as early as by count.
func TestPlayUneven(t *testing.T) {
	spells := rand.New(rand.NewPCG(7, 7)).Perm(6 * 40)
	tests := map[string]struct {
		tells    bool
		slowness func(i int, at time.Time) float64
	}{
		"all are alike": {tells: true, slowness: slowFor(1)},
		"spells of 600 ms at 15% of the targets": {tells: true, slowness: func(i int, at time.Time) float64 {
			if spells[i*40+int(at.Sub(start)/(600*time.Millisecond))%40] < 36 {
				return 2.5
			}
			return 1
		}},
		"one is slow for good and says so":   {tells: true, slowness: slowFor(2.5, 1)},
		"one is slow for good and is silent": {slowness: slowFor(2.5, 1)},
		"a zone is slower and is silent":     {slowness: slowFor(1.6, 3, 4, 5)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(3) {
				byCount, byFinish := playBoth(seed, tt.tells, tt.slowness)
				t.Logf("seed %d: by count mean %v worst %v late %.4f; by finish mean %v worst %v late %.4f", seed,
					byCount.mean, byCount.worst, byCount.late, byFinish.mean, byFinish.worst, byFinish.late)
				is.True(byFinish.mean < byCount.mean)
				is.True(byFinish.late <= byCount.late)
				is.True(byFinish.worst <= byCount.worst+byCount.mean) // no caller pays for the others
			}
		})
	}
}

// slowFor returns the slowness of some targets.
func slowFor(slowness float64, slow ...int) func(int, time.Time) float64 {
	return func(i int, _ time.Time) float64 {
		if slices.Contains(slow, i) {
			return slowness
		}
		return 1
	}
}

// Requests leave a zone whose targets are crowded, and come back once they are not.
func TestChooseOverflow(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	b.Ordered = true
	ts := targets("m", 1, "a", "b")
	var attempts []*balance.Attempt
	choose := func() id.Zone {
		choice, ok := b.Choose(start, request(), ts, nil)
		is.True(ok)
		return choice.Target.Zone
	}
	is.Equal(choose(), id.Zone("a"))
	for range 2 {
		attempts = append(attempts, b.Start(start, balance.Choice{Target: ts[0]}, request(), nil))
	}
	is.Equal(choose(), id.Zone("b"))
	for _, a := range attempts {
		a.End(start, balance.Succeeded)
	}
	is.Equal(choose(), id.Zone("a"))
}
