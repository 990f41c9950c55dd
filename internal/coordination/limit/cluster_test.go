package limit_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/limit"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/id"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const step = 10 * time.Millisecond

// globalLimiter is the reference: a single limiter for the whole deployment.
type globalLimiter struct {
	limits     contract.Limits
	requests   float64
	tokens     float64
	running    int
	refilledAt time.Time
}

func (g *globalLimiter) admit(cost int, now time.Time) bool {
	elapsed := now.Sub(g.refilledAt).Seconds()
	g.refilledAt = now
	g.requests = min(g.requests+elapsed*float64(g.limits.RequestsPerSecond), float64(g.limits.RequestsPerSecond))
	g.tokens = min(g.tokens+elapsed*float64(g.limits.TokensPerSecond), float64(g.limits.TokensPerSecond))
	if g.requests < 1 || g.tokens <= 0 || g.running >= g.limits.Concurrency {
		return false
	}
	g.requests--
	g.tokens -= float64(cost)
	g.running++
	return true
}

// cluster is a set of entries with their limiters. Each contract is owned by one of
// the entries.
type cluster struct {
	names      []id.Entry
	limiters   map[id.Entry]*limit.Limiter
	allocators map[id.Entry]*limit.Allocator
	// connected reports whether two entries reach each other; nil if all do.
	connected func(a, b id.Entry) bool
	// owners caches the owners of contracts while all entries reach each other.
	owners        map[id.Contract]id.Entry
	known         int
	grantRequests int
}

func newCluster(n int) *cluster {
	c := &cluster{limiters: map[id.Entry]*limit.Limiter{}, allocators: map[id.Entry]*limit.Allocator{}, known: n}
	c.owners = map[id.Contract]id.Entry{}
	for i := range n {
		name := id.Entry(fmt.Sprintf("e-%03d", i))
		c.names = append(c.names, name)
		c.limiters[name] = limit.NewLimiter()
		c.allocators[name] = limit.NewAllocator()
	}
	return c
}

// owner returns the contract's owner as seen by entry, and the owner's entry counts.
func (c *cluster) owner(entry id.Entry, name id.Contract) (id.Entry, limit.EntryCounts) {
	if c.connected == nil {
		if c.owners[name] == "" {
			c.owners[name] = limit.OwnerOf(name, c.names)
		}
		return c.owners[name], limit.EntryCounts{Live: len(c.names), Known: max(c.known, len(c.names))}
	}
	var live []id.Entry
	for _, other := range c.names {
		if c.connected(entry, other) {
			live = append(live, other)
		}
	}
	return limit.OwnerOf(name, live), limit.EntryCounts{Live: len(live), Known: max(c.known, len(live))}
}

func (c *cluster) requestGrant(entry id.Entry, req limit.GrantRequest, limits contract.Limits, now time.Time) {
	owner, counts := c.owner(entry, req.Contract)
	c.grantRequests++
	if owner == "" {
		c.limiters[entry].OwnerUnreachable(req.Contract, c.known, now)
		return
	}
	c.limiters[entry].ApplyGrant(c.allocators[owner].Grant(entry, req, limits, counts, now), now)
}

func (c *cluster) admit(entry id.Entry, k *contract.Contract, cost int, now time.Time) (limit.Ticket, *limit.Refusal) {
	ticket, refusal := c.limiters[entry].Admit(k, cost, now)
	if refusal != nil && refusal.GrantRequest != nil {
		c.requestGrant(entry, *refusal.GrantRequest, k.Limits, now)
		ticket, refusal = c.limiters[entry].Admit(k, cost, now)
	}
	return ticket, refusal
}

func (c *cluster) renew(limits contract.Limits, now time.Time) {
	for _, name := range c.names {
		for _, req := range c.limiters[name].DueRenewals(now) {
			c.requestGrant(name, req, limits, now)
		}
	}
}

// result is the outcome of a simulated load.
type result struct {
	admitted   int
	tokens     int
	maxRunning int
	byEntry    map[id.Entry]int
	global     int
	refusals   []limit.Refusal
}

func (r *result) countAdmitted(entry id.Entry, used int, counted bool) {
	if counted {
		r.admitted++
		r.tokens += used
		r.byEntry[entry]++
	}
}

// traffic is the load of one contract.
type traffic struct {
	contract *contract.Contract
	// withinEstimate limits the cost of each request to its estimate.
	withinEstimate bool
	// rate is in requests per second over all entries.
	rate float64
	// cost is the mean cost, runTime how long each request runs.
	cost      int
	runTime   time.Duration
	pickEntry func(rng *rand.Rand, names []id.Entry) id.Entry
	duration  time.Duration
	// warmUp is how long the load runs before admitted requests are counted.
	warmUp time.Duration
	before func(now time.Duration)
}

type running struct {
	entry  id.Entry
	ticket limit.Ticket
	used   int
	endsAt time.Time
}

// simulate runs a load on the cluster, and the same load on the reference limiter.
func simulate(c *cluster, load traffic, begin time.Time, seed uint64) result {
	rng := rand.New(rand.NewPCG(seed, 1))
	reference := &globalLimiter{limits: load.contract.Limits, refilledAt: begin}
	reference.requests, reference.tokens = float64(reference.limits.RequestsPerSecond), float64(reference.limits.TokensPerSecond)
	out := result{byEntry: map[id.Entry]int{}}
	var active, referenceActive []running
	next := begin
	counted := begin.Add(load.warmUp)
	for now := begin; now.Before(counted.Add(load.duration)); now = now.Add(step) {
		if load.before != nil {
			load.before(now.Sub(begin))
		}
		active = removeFinished(active, now, func(r running) {
			c.limiters[r.entry].CorrectCost(r.ticket, r.used, now)
			c.limiters[r.entry].Release(r.ticket, now)
		})
		referenceActive = removeFinished(referenceActive, now, func(running) { reference.running-- })
		c.renew(load.contract.Limits, now)
		for ; next.Before(now); next = next.Add(time.Duration(rng.ExpFloat64() / load.rate * float64(time.Second))) {
			entry := load.pickEntry(rng, c.names)
			used := load.cost/2 + rng.IntN(load.cost)
			if load.withinEstimate {
				used = min(used, load.cost)
			}
			endsAt := now.Add(load.runTime)
			ticket, refusal := c.admit(entry, load.contract, load.cost, now)
			if refusal == nil {
				active = append(active, running{entry, ticket, used, endsAt})
				out.maxRunning = max(out.maxRunning, len(active))
				out.countAdmitted(entry, used, !now.Before(counted))
			} else {
				out.refusals = append(out.refusals, *refusal)
			}
			if reference.admit(load.cost, now) {
				referenceActive = append(referenceActive, running{endsAt: endsAt})
				if !now.Before(counted) {
					out.global++
				}
			}
		}
	}
	removeFinished(active, counted.Add(load.duration+load.runTime), func(r running) {
		c.limiters[r.entry].Release(r.ticket, counted.Add(load.duration))
	})
	return out
}

func removeFinished(active []running, now time.Time, done func(running)) []running {
	unfinished := active[:0]
	for _, r := range active {
		if now.Before(r.endsAt) {
			unfinished = append(unfinished, r)
		} else {
			done(r)
		}
	}
	return unfinished
}

func randomEntry(rng *rand.Rand, names []id.Entry) id.Entry { return names[rng.IntN(len(names))] }

func newContract(requests, tokens, concurrency int) *contract.Contract {
	return &contract.Contract{Name: "staplerdienst", Limits: contract.Limits{
		RequestsPerSecond: requests, TokensPerSecond: tokens, Concurrency: concurrency}}
}
