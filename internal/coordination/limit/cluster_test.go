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

// global is the naive version: one limiter for the whole deployment.
type global struct {
	limits   contract.Limits
	requests float64
	tokens   float64
	running  int
	filled   time.Time
}

func (g *global) admit(cost int, now time.Time) bool {
	elapsed := now.Sub(g.filled).Seconds()
	g.filled = now
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

// cluster is entries with their limiters, one of which owns each contract.
type cluster struct {
	names  []id.Entry
	locals map[id.Entry]*limit.Limiter
	shares map[id.Entry]*limit.Allocator
	// hears says whether two entries reach one another; nil if all do.
	hears func(a, b id.Entry) bool
	// owners are those of contracts while all entries reach one another.
	owners map[id.Contract]id.Entry
	known  int
	asks   int
}

func newCluster(n int) *cluster {
	c := &cluster{locals: map[id.Entry]*limit.Limiter{}, shares: map[id.Entry]*limit.Allocator{}, known: n}
	c.owners = map[id.Contract]id.Entry{}
	for i := range n {
		name := id.Entry(fmt.Sprintf("e-%03d", i))
		c.names = append(c.names, name)
		c.locals[name] = limit.NewLimiter()
		c.shares[name] = limit.NewAllocator()
	}
	return c
}

// owner returns the owner that entry sees, and the audience there.
func (c *cluster) owner(entry id.Entry, name id.Contract) (id.Entry, limit.EntryCounts) {
	if c.hears == nil {
		if c.owners[name] == "" {
			c.owners[name] = limit.OwnerOf(name, c.names)
		}
		return c.owners[name], limit.EntryCounts{Live: len(c.names), Known: max(c.known, len(c.names))}
	}
	var live []id.Entry
	for _, other := range c.names {
		if c.hears(entry, other) {
			live = append(live, other)
		}
	}
	return limit.OwnerOf(name, live), limit.EntryCounts{Live: len(live), Known: max(c.known, len(live))}
}

func (c *cluster) ask(entry id.Entry, ask limit.GrantRequest, limits contract.Limits, now time.Time) {
	owner, audience := c.owner(entry, ask.Contract)
	c.asks++
	if owner == "" {
		c.locals[entry].OwnerUnreachable(ask.Contract, c.known, now)
		return
	}
	c.locals[entry].ApplyGrant(c.shares[owner].Grant(entry, ask, limits, audience, now), now)
}

func (c *cluster) admit(entry id.Entry, k *contract.Contract, cost int, now time.Time) (limit.Ticket, *limit.Refusal) {
	ticket, refusal := c.locals[entry].Admit(k, cost, now)
	if refusal != nil && refusal.GrantRequest != nil {
		c.ask(entry, *refusal.GrantRequest, k.Limits, now)
		ticket, refusal = c.locals[entry].Admit(k, cost, now)
	}
	return ticket, refusal
}

func (c *cluster) renew(limits contract.Limits, now time.Time) {
	for _, name := range c.names {
		for _, ask := range c.locals[name].DueRenewals(now) {
			c.ask(name, ask, limits, now)
		}
	}
}

// run is what a load did.
type run struct {
	admitted   int
	tokens     int
	maxRunning int
	byEntry    map[id.Entry]int
	global     int
	refusals   []limit.Refusal
}

func (r *run) count(entry id.Entry, used int, counted bool) {
	if counted {
		r.admitted++
		r.tokens += used
		r.byEntry[entry]++
	}
}

// traffic is the load of one contract.
type traffic struct {
	contract *contract.Contract
	// within says that no request uses more than its estimate.
	within bool
	// rate is in requests a second over all entries.
	rate float64
	// cost is the mean cost; hold the time that a request runs.
	cost  int
	hold  time.Duration
	pick  func(rng *rand.Rand, names []id.Entry) id.Entry
	lasts time.Duration
	// warm is how long the load runs before it is counted.
	warm   time.Duration
	before func(now time.Duration)
}

type running struct {
	entry  id.Entry
	ticket limit.Ticket
	used   int
	ends   time.Time
}

// drive runs a load on the cluster and the same one on the global limiter.
func drive(c *cluster, load traffic, from time.Time, seed uint64) run {
	rng := rand.New(rand.NewPCG(seed, 1))
	naive := &global{limits: load.contract.Limits, filled: from}
	naive.requests, naive.tokens = float64(naive.limits.RequestsPerSecond), float64(naive.limits.TokensPerSecond)
	out := run{byEntry: map[id.Entry]int{}}
	var active, naiveActive []running
	next := from
	counted := from.Add(load.warm)
	for now := from; now.Before(counted.Add(load.lasts)); now = now.Add(step) {
		if load.before != nil {
			load.before(now.Sub(from))
		}
		active = finish(active, now, func(r running) {
			c.locals[r.entry].CorrectCost(r.ticket, r.used, now)
			c.locals[r.entry].Release(r.ticket, now)
		})
		naiveActive = finish(naiveActive, now, func(running) { naive.running-- })
		c.renew(load.contract.Limits, now)
		for ; next.Before(now); next = next.Add(time.Duration(rng.ExpFloat64() / load.rate * float64(time.Second))) {
			entry := load.pick(rng, c.names)
			used := load.cost/2 + rng.IntN(load.cost)
			if load.within {
				used = min(used, load.cost)
			}
			ends := now.Add(load.hold)
			ticket, refusal := c.admit(entry, load.contract, load.cost, now)
			if refusal == nil {
				active = append(active, running{entry, ticket, used, ends})
				out.maxRunning = max(out.maxRunning, len(active))
				out.count(entry, used, !now.Before(counted))
			} else {
				out.refusals = append(out.refusals, *refusal)
			}
			if naive.admit(load.cost, now) {
				naiveActive = append(naiveActive, running{ends: ends})
				if !now.Before(counted) {
					out.global++
				}
			}
		}
	}
	finish(active, counted.Add(load.lasts+load.hold), func(r running) {
		c.locals[r.entry].Release(r.ticket, counted.Add(load.lasts))
	})
	return out
}

func finish(active []running, now time.Time, done func(running)) []running {
	keep := active[:0]
	for _, r := range active {
		if now.Before(r.ends) {
			keep = append(keep, r)
		} else {
			done(r)
		}
	}
	return keep
}

func anyEntry(rng *rand.Rand, names []id.Entry) id.Entry { return names[rng.IntN(len(names))] }

func kontrakt(requests, tokens, concurrency int) *contract.Contract {
	return &contract.Contract{Name: "staplerdienst", Limits: contract.Limits{
		RequestsPerSecond: requests, TokensPerSecond: tokens, Concurrency: concurrency}}
}
