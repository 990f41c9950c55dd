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

// maxAttempts is the number of targets tried before a job is held at its entry.
const maxAttempts = 3

// routed is the policy of this package. Short jobs are sent at once. Others are
// held at the entry until a target has capacity for their class. A target
// without capacity refuses and returns its load.
func routed(s *simulation, j *job) int {
	request := route.Request{Model: "report", Class: j.class, PromptTokens: j.prompt, OutputTokens: j.tokens}
	for range maxAttempts {
		d, ok := s.routers[j.entry].Choose(request, s.time(), s.rng)
		if !ok || (j.class != generation.Short && !d.HasFreeSlot) {
			return -1
		}
		i := slices.IndexFunc(s.names, func(n id.Target) bool { return n == d.Target })
		load := s.reportOf(i)
		if j.class == generation.Short && len(request.Exclude) == maxAttempts-1 || route.HasCapacity(&load, j.class, route.DefaultHeadroomShare) {
			return i
		}
		s.views[j.entry].UpdateTarget(load, s.time())
		request.Exclude = append(request.Exclude, d.Target)
	}
	return -1
}

func roundRobin(s *simulation, j *job) int {
	s.nextEngine[j.entry]++
	return s.nextEngine[j.entry] % len(s.engines)
}

// leastRequests takes the engine with the fewest of the entry's own requests.
func leastRequests(s *simulation, j *job) int {
	best := s.rng.IntN(len(s.engines))
	for i := range s.engines {
		if s.inFlight[j.entry][i] < s.inFlight[j.entry][best] {
			best = i
		}
	}
	return best
}

// powerOfTwo takes the less loaded of two random engines, by their last report
// plus the entry's own requests.
func powerOfTwo(s *simulation, j *job) int {
	a, b := s.rng.IntN(len(s.engines)), s.rng.IntN(len(s.engines))
	if s.reported[b]+s.inFlight[j.entry][b] < s.reported[a]+s.inFlight[j.entry][a] {
		return b
	}
	return a
}

// scenario is a simulated deployment and its load.
type scenario struct {
	name    string
	engines int
	slots   int
	zones   int
	// load is the offered load of long jobs as a share of all slots.
	load float64
	// burst is the additional load of one large customer for 30 s, as a share of
	// all slots.
	burst float64
	// slowEngines is the number of engines that are four times slower than the
	// others.
	slowEngines int
}

const (
	windowStart = 60 * time.Second
	windowEnd   = 240 * time.Second
)

// measure simulates a policy on the scenario. It returns quantiles of the times
// of short jobs from arrival to end, and the tokens per second of all jobs.
func (s scenario) measure(p policy, load, burst float64, seed uint64) (p50, p99 time.Duration, tokens float64) {
	sim := newSimulation(s.engines, s.slots, s.zones, p, seed)
	for i := range s.slowEngines {
		sim.engines[i].slowFactor = 4
	}
	total := float64(s.engines * s.slots)
	// Short jobs have 40 output tokens and take 2% of the slots. Long jobs have
	// a prompt of 2,000 tokens and 600 output tokens.
	sim.stream(generation.Short, 200, 40, 0.02*total/(40*basePace.Seconds()), 0, windowEnd)
	slotSeconds := 600*basePace.Seconds()*(1+batchCost) + 2000*prefillPerToken.Seconds()
	if load > 0 {
		sim.stream(generation.Long, 2000, 600, load*total/slotSeconds, 0, windowEnd)
	}
	if burst > 0 {
		sim.stream(generation.Long, 2000, 600, burst*total/slotSeconds, 90*time.Second, 120*time.Second)
	}
	sim.run(windowEnd + time.Minute)
	times, tokens := sim.times(generation.Short, windowStart, windowEnd)
	return quantile(times, 0.5), quantile(times, 0.99), tokens
}

var scenarios = []scenario{
	{name: "36 in 4 zones, 16 slots each", engines: 36, slots: 16, zones: 4, load: 0.95, burst: 1},
	{name: "36 in 3 zones, 32 slots each", engines: 36, slots: 32, zones: 3, load: 0.95, burst: 1},
	{name: "36 in 4 zones, two slow engines", engines: 36, slots: 16, zones: 4, load: 0.85, burst: 1, slowEngines: 2},
	{name: "25 in 6 zones, burst of twice the slots", engines: 25, slots: 32, zones: 6, load: 0.95, burst: 2},
}

// TestShortLatencyByPolicy simulates policies under the scenario's long load (85%
// to 95% of the slots) and a burst of one large customer. This package must keep
// the p99 of short jobs within twice that of an unloaded deployment. The other
// policies are printed for comparison.
func TestShortLatencyByPolicy(t *testing.T) {
	is := is.NewRelaxed(t)
	policies := []struct {
		name string
		p    policy
	}{{"route", routed}, {"round robin", roundRobin}, {"least requests", leastRequests}, {"power of two", powerOfTwo}}
	t.Logf("%-40s %-15s %9s %9s %7s %9s", "scenario", "policy", "p50 ms", "p99 ms", "ratio", "tokens/s")
	for _, s := range scenarios {
		// The baseline has no slow engines.
		baseline := s
		baseline.slowEngines = 0
		_, unloaded, _ := baseline.measure(powerOfTwo, 0, 0, 1)
		for _, p := range policies {
			var p50, p99 time.Duration
			var tokens float64
			for seed := range uint64(3) {
				a, b, c := s.measure(p.p, s.load, s.burst, seed+1)
				p50, p99, tokens = max(p50, a), max(p99, b), tokens+c/3
			}
			ratio := float64(p99) / float64(unloaded)
			t.Logf("%-40s %-15s %9d %9d %7.2f %9.0f", s.name, p.name, p50.Milliseconds(), p99.Milliseconds(), ratio, tokens)
			if p.name == "route" {
				is.True(ratio <= 2)
			}
		}
	}
}
