package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/id"
)

// probeLasts is how long a probe of a replica keeps others from trying it.
const probeLasts = 5 * time.Second

// avoidedZoneDelay is what a target of an avoided zone costs besides its wait.
const avoidedZoneDelay = time.Second

// meanTokensAtFirst is the length of an answer before any was observed.
const meanTokensAtFirst = 400

// candidate is one weighed replica.
type candidate struct {
	replica *replica
	target  *member.Target
	cost    float64
	wait    time.Duration
	free    bool
	cached  int
	saved   time.Duration
}

// choice is one decision under way. It lives on the stack.
type choice struct {
	router   *Router
	ask      Request
	pool     *pool
	now      time.Time
	headroom float64
	mean     float64
	tokens   float64
	occupied float64
	weighed  int
	seen     [maxSample + 4]*replica
	count    int
	best     candidate
	uncached candidate
	probe    *replica
	confirm  bool
}

// Choose returns the target for ask, or the reason why there is none.
func (r *Router) Choose(ask Request, now time.Time, rng *rand.Rand) (Decision, bool) {
	p := r.current(now).pools[poolKey{model: ask.Model, version: ask.Version, adapter: ask.Adapter, service: ask.Service}]
	if p == nil {
		return Decision{Reason: NoReplica}, false
	}
	c := choice{router: r, ask: ask, pool: p, now: now, headroom: r.headroom.load(), mean: p.stats.occupancy.load()}
	c.tokens = p.stats.tokens.load()
	if c.tokens == 0 {
		c.tokens = meanTokensAtFirst
	}
	c.confirm = true
	c.sample(rng)
	if c.probe != nil && c.probe.outlier.probe(now, probeLasts) {
		return c.decide(c.weigh(c.probe, c.probe.slot.Load().Load()), Probe), true
	}
	if c.best.replica == nil {
		c.scan(p.ready, rng, inUse)
	}
	if c.best.replica != nil {
		c.lookFurther(rng)
		return c.decide(c.best, c.reason()), true
	}
	c.confirm = false
	if c.scan(p.silent, rng, inUse); c.best.replica == nil {
		c.scan(p.ready, rng, inUse)
	}
	if c.best.replica != nil {
		return c.decide(c.best, Unconfirmed), true
	}
	c.confirm = true
	if c.scan(p.ready, rng, aside); c.best.replica != nil {
		return c.decide(c.best, LastResort), true
	}
	return Decision{Reason: NoneAvailable, Considered: c.count}, false
}

// sample weighs the replicas that hold to the prompt's prefix by the ring, and
// random ones: half of them of the own zone while it has any.
func (c *choice) sample(rng *rand.Rand) {
	ready := c.pool.ready
	if len(ready) <= c.router.cfg.SampleSize {
		for _, rep := range ready {
			c.consider(rep, inUse)
		}
		return
	}
	if len(c.ask.Blocks) > 0 {
		c.consider(c.pool.onRing(c.ask.Blocks[0]), inUse)
		c.consider(c.pool.onRing(c.ask.Blocks[0]*0x9e3779b97f4a7c15+1), inUse)
	}
	if near := c.pool.local; near > 0 {
		for range c.router.cfg.SampleSize / 2 {
			c.consider(ready[rng.IntN(near)], inUse)
		}
	}
	far := c.pool.region
	if far == 0 {
		far = len(ready)
	}
	for c.count < c.router.cfg.SampleSize {
		before := c.count
		c.consider(ready[rng.IntN(far)], inUse)
		if c.count == before && rng.IntN(4) == 0 {
			return
		}
	}
}

// lookFurther weighs more replicas one after another until one has a free
// slot, when all of the sample were full.
func (c *choice) lookFurther(rng *rand.Rand) {
	ready := c.pool.ready
	if c.best.free || len(ready) <= c.router.cfg.SampleSize {
		return
	}
	first := rng.IntN(len(ready))
	for i := range min(len(ready), c.router.cfg.ScanLimit) {
		c.consider(ready[(first+i)%len(ready)], inUse)
		if c.best.free {
			return
		}
	}
}

// scan weighs up to a sample of replicas from a random one on. It is the way
// when sampling found none.
func (c *choice) scan(replicas []*replica, rng *rand.Rand, also standing) {
	if len(replicas) == 0 {
		return
	}
	c.count = 0
	first := rng.IntN(len(replicas))
	for i := range replicas {
		c.consider(replicas[(first+i)%len(replicas)], also)
		if c.count >= c.router.cfg.SampleSize {
			return
		}
	}
}

// consider weighs a replica that may take the work and was not weighed yet.
func (c *choice) consider(rep *replica, worst standing) {
	if slices.Contains(c.seen[:min(c.count, len(c.seen))], rep) || slices.Contains(c.ask.Exclude, rep.name) {
		return
	}
	t := rep.slot.Load().Load()
	if c.confirm && !t.TakesWork(c.now) || !c.confirm && !t.MayBeTried(c.now) {
		return
	}
	switch s := rep.outlier.standing(c.now); {
	case s == dueForProbe && worst == inUse:
		c.probe = rep
		return
	case s == aside && worst == inUse:
		return
	}
	if c.count < len(c.seen) {
		c.seen[c.count] = rep
	}
	c.count++
	weighed := c.weigh(rep, t)
	if c.best.replica == nil || weighed.cost < c.best.cost {
		c.best = weighed
	}
	if c.uncached.replica == nil || weighed.cost+float64(weighed.saved) < c.uncached.cost+float64(c.uncached.saved) {
		c.uncached = weighed
	}
}

// weigh returns the cost of the ask at a replica: the time to its last token
// as far as the replica decides it, and the way there.
func (c *choice) weigh(rep *replica, t *member.Target) candidate {
	report := &t.Report
	l := rep.loadAt(report, c.mean, c.router.cfg.AgeScale, c.now)
	c.occupied += float64(report.Running+report.Queued) / float64(l.slots)
	c.weighed++
	cached := 0
	if len(c.ask.Blocks) > 0 {
		cached = min(c.ask.PromptTokens, rep.hints.cached(c.ask.Blocks, c.ask.BlockTokens))
	}
	wait, free := l.wait(c.ask.Class, c.headroom, c.tokens, c.ask.PromptTokens-cached)
	weighed := candidate{replica: rep, target: t, wait: wait, free: free, cached: cached}
	weighed.saved = time.Duration(cached) * l.prefill
	// A fuller batch is a slower one, for the others too; so of two replicas
	// with free slots the emptier one is the better.
	crowd := 1 + min(1, max(0, l.active)/float64(l.slots))
	weighed.cost = float64(wait) + float64(c.ask.OutputTokens)*float64(l.pace)*crowd + c.delay(rep, &report.Place)
	return weighed
}

func (c *choice) delay(rep *replica, place *member.Place) float64 {
	delay := 0.0
	switch distance(rep.distance.Load()) {
	case sameZone:
	case sameRegion:
		delay = float64(c.router.cfg.ZoneDelay)
	default:
		delay = float64(c.router.cfg.RegionDelay)
	}
	if c.ask.AvoidZone != "" && place.Zone == c.ask.AvoidZone {
		delay += float64(avoidedZoneDelay)
	}
	return delay
}

func (c *choice) reason() Reason {
	switch {
	case c.count == 1:
		return OnlyReplica
	case c.best.cached > 0 && c.best.replica != c.uncached.replica:
		return CachedPrefix
	}
	return LeastWait
}

func (c *choice) decide(chosen candidate, reason Reason) Decision {
	c.pool.stats.occupancy.add(c.occupied/float64(c.weighed), occupancySmoothing)
	return Decision{
		Target:       chosen.replica.name,
		Address:      chosen.target.Report.Address,
		Version:      chosen.target.Report.Version,
		Reason:       reason,
		Considered:   max(1, c.count),
		Wait:         chosen.wait,
		HasFreeSlot:  chosen.free,
		CachedTokens: chosen.cached,
	}
}

// Serves reports whether any target, ready or silent, serves the model.
func (r *Router) Serves(model id.Model, now time.Time) bool {
	return r.current(now).pools[poolKey{model: model}] != nil
}
