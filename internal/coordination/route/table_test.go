package route_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/route"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// triesPerChoice bounds how many busy targets a job meets before it is held.
const triesPerChoice = 3

// weighed is the policy of this package: short work goes at once, other work
// is held at the entry until a target has room for its class. A target without
// room refuses with its load.
func weighed(l *loop, j *job) int {
	ask := route.Request{Model: "report", Class: j.class, PromptTokens: j.prompt, OutputTokens: j.tokens}
	for range triesPerChoice {
		d, ok := l.routers[j.entry].Choose(ask, l.time(), l.rng)
		if !ok || (j.class != generation.Short && !d.HasFreeSlot) {
			return -1
		}
		i := slices.IndexFunc(l.names, func(n id.Target) bool { return n == d.Target })
		load := l.reportOf(i)
		if j.class == generation.Short && len(ask.Exclude) == triesPerChoice-1 || route.HasCapacity(&load, j.class, route.DefaultHeadroomShare) {
			return i
		}
		l.views[j.entry].UpdateTarget(load, l.time())
		ask.Exclude = append(ask.Exclude, d.Target)
	}
	return -1
}

func roundRobin(l *loop, j *job) int {
	l.turn[j.entry]++
	return l.turn[j.entry] % len(l.engines)
}

// leastRequests takes the engine with the fewest of the entry's own requests.
func leastRequests(l *loop, j *job) int {
	best := l.rng.IntN(len(l.engines))
	for i := range l.engines {
		if l.inFlight[j.entry][i] < l.inFlight[j.entry][best] {
			best = i
		}
	}
	return best
}

// powerOfTwo takes the less loaded of two engines, by reports and own counts.
func powerOfTwo(l *loop, j *job) int {
	a, b := l.rng.IntN(len(l.engines)), l.rng.IntN(len(l.engines))
	if l.reported[b]+l.inFlight[j.entry][b] < l.reported[a]+l.inFlight[j.entry][a] {
		return b
	}
	return a
}

// scenario is a deployment with its load.
type scenario struct {
	name    string
	engines int
	slots   int
	zones   int
	// load is the part of all slots that long work wants.
	load float64
	// burst is the part that one large customer wants besides, for 30 s.
	burst float64
	// slow is the number of engines that are four times slower.
	slow int
}

const (
	counted    = 60 * time.Second
	countedEnd = 240 * time.Second
)

// measure runs a policy on a scenario.
func (s scenario) measure(p policy, load, burst float64, seed uint64) (p50, p99 time.Duration, tokens float64) {
	l := newLoop(s.engines, s.slots, s.zones, p, seed)
	for i := range s.slow {
		l.engines[i].slow = 4
	}
	total := float64(s.engines * s.slots)
	// Short: 40 tokens, 2 in 100 of the slots. Long: 600 tokens after 2,000.
	l.stream(generation.Short, 200, 40, 0.02*total/(40*basePace.Seconds()), 0, countedEnd)
	hold := 600*basePace.Seconds()*(1+batchCost) + 2000*prefillPerToken.Seconds()
	if load > 0 {
		l.stream(generation.Long, 2000, 600, load*total/hold, 0, countedEnd)
	}
	if burst > 0 {
		l.stream(generation.Long, 2000, 600, burst*total/hold, 90*time.Second, 120*time.Second)
	}
	l.run(countedEnd + time.Minute)
	times, tokens := l.times(generation.Short, counted, countedEnd)
	return quantile(times, 0.5), quantile(times, 0.99), tokens
}

var scenarios = []scenario{
	{name: "staplerdienst, 36 in 4 zones", engines: 36, slots: 16, zones: 4, load: 0.95, burst: 1},
	{name: "belediye, 36 in 3 zones", engines: 36, slots: 32, zones: 3, load: 0.95, burst: 1},
	{name: "36, two slow engines", engines: 36, slots: 16, zones: 4, load: 0.85, burst: 1, slow: 2},
	{name: "letter's mix, 25 of a model in 6 zones", engines: 25, slots: 32, zones: 6, load: 0.95, burst: 2},
}

// Short questions' p99 with long work at 95 in 100 and a burst of one large
// customer, at most twice the unloaded one, against other policies.
func TestRoutingTable(t *testing.T) {
	is := is.NewRelaxed(t)
	policies := []struct {
		name string
		p    policy
	}{{"weighed", weighed}, {"round robin", roundRobin}, {"least requests", leastRequests}, {"power of two", powerOfTwo}}
	t.Logf("%-40s %-15s %9s %9s %7s %9s", "scenario", "policy", "p50 ms", "p99 ms", "ratio", "tokens/s")
	for _, s := range scenarios {
		// The unloaded time is that of engines that are not slow.
		free := s
		free.slow = 0
		_, unloaded, _ := free.measure(powerOfTwo, 0, 0, 1)
		for _, p := range policies {
			var p50, p99 time.Duration
			var tokens float64
			for seed := range uint64(3) {
				a, b, c := s.measure(p.p, s.load, s.burst, seed+1)
				p50, p99, tokens = max(p50, a), max(p99, b), tokens+c/3
			}
			ratio := float64(p99) / float64(unloaded)
			t.Logf("%-40s %-15s %9d %9d %7.2f %9.0f", s.name, p.name, p50.Milliseconds(), p99.Milliseconds(), ratio, tokens)
			if p.name == "weighed" {
				is.True(ratio <= 2)
			}
		}
	}
}
