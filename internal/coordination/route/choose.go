package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/id"
)

// probeTimeout is how long a probe of an ejected replica keeps other requests
// from probing it as well.
const probeTimeout = 5 * time.Second

// avoidedZonePenalty is added to the cost of a target in Request.AvoidZone.
const avoidedZonePenalty = time.Second

// defaultOutputTokens is the mean answer length that is assumed until an answer
// was observed.
const defaultOutputTokens = 400

// candidate is a replica with the expected cost of the request there.
type candidate struct {
	replica      *replica
	target       *member.Target
	cost         float64
	wait         time.Duration
	hasFreeSlot  bool
	cachedTokens int
	savedPrefill time.Duration
}

// selection is the state of one call of Choose. It stays on the stack, so that
// Choose does not allocate.
type selection struct {
	router        *Router
	request       Request
	pool          *pool
	now           time.Time
	headroom      float64
	meanOccupancy float64
	meanTokens    float64
	occupancySum  float64
	scored        int
	seen          [maxSample + 4]*replica
	count         int
	best          candidate
	// uncached is the candidate that would be best without cached prefixes.
	uncached  candidate
	probe     *replica
	freshOnly bool
}

// Choose returns the target for the request. If there is none, it returns false
// and a Decision whose Reason says why.
func (r *Router) Choose(request Request, now time.Time, rng *rand.Rand) (Decision, bool) {
	p := r.current(now).pools[poolKey{model: request.Model, version: request.Version, adapter: request.Adapter, service: request.Service}]
	if p == nil {
		return Decision{Reason: NoReplica}, false
	}
	c := selection{router: r, request: request, pool: p, now: now, headroom: r.headroom.load(), meanOccupancy: p.stats.occupancy.load()}
	c.meanTokens = p.stats.tokens.load()
	if c.meanTokens == 0 {
		c.meanTokens = defaultOutputTokens
	}
	c.freshOnly = true
	c.sample(rng)
	if c.probe != nil && c.probe.outlier.tryProbe(now, probeTimeout) {
		return c.decide(c.score(c.probe, c.probe.target.Load().Load()), Probe), true
	}
	if c.best.replica == nil {
		c.scan(p.ready, rng, inUse)
	}
	if c.best.replica != nil {
		c.scanForFreeSlot(rng)
		return c.decide(c.best, c.reason()), true
	}
	c.freshOnly = false
	if c.scan(p.stale, rng, inUse); c.best.replica == nil {
		c.scan(p.ready, rng, inUse)
	}
	if c.best.replica != nil {
		return c.decide(c.best, Unconfirmed), true
	}
	c.freshOnly = true
	if c.scan(p.ready, rng, ejected); c.best.replica != nil {
		return c.decide(c.best, LastResort), true
	}
	return Decision{Reason: NoneAvailable, Considered: c.count}, false
}

// sample scores the two replicas that consistent hashing of the prompt's first
// block points to, which may have the prefix cached, and random ones. Half of
// the sample size is drawn from the entry's own zone while that has replicas.
func (c *selection) sample(rng *rand.Rand) {
	ready := c.pool.ready
	if len(ready) <= c.router.cfg.SampleSize {
		for _, rep := range ready {
			c.consider(rep, inUse)
		}
		return
	}
	if len(c.request.Blocks) > 0 {
		c.consider(c.pool.ringSuccessor(c.request.Blocks[0]), inUse)
		c.consider(c.pool.ringSuccessor(c.request.Blocks[0]*0x9e3779b97f4a7c15+1), inUse)
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

// scanForFreeSlot scores more replicas in order until one has a free slot, if the
// best one of the sample has none.
func (c *selection) scanForFreeSlot(rng *rand.Rand) {
	ready := c.pool.ready
	if c.best.hasFreeSlot || len(ready) <= c.router.cfg.SampleSize {
		return
	}
	first := rng.IntN(len(ready))
	for i := range min(len(ready), c.router.cfg.ScanLimit) {
		c.consider(ready[(first+i)%len(ready)], inUse)
		if c.best.hasFreeSlot {
			return
		}
	}
}

// scan scores replicas in order from a random one on, at most SampleSize of
// them. It is used when sampling found no usable replica.
func (c *selection) scan(replicas []*replica, rng *rand.Rand, worst standing) {
	if len(replicas) == 0 {
		return
	}
	c.count = 0
	first := rng.IntN(len(replicas))
	for i := range replicas {
		c.consider(replicas[(first+i)%len(replicas)], worst)
		if c.count >= c.router.cfg.SampleSize {
			return
		}
	}
}

// consider scores a replica if it accepts the request and was not scored yet.
// Unless worst is ejected, it skips an ejected replica, and stores one that is
// due for a probe in probe.
func (c *selection) consider(rep *replica, worst standing) {
	if slices.Contains(c.seen[:min(c.count, len(c.seen))], rep) || slices.Contains(c.request.Exclude, rep.name) {
		return
	}
	t := rep.target.Load().Load()
	if c.freshOnly && !t.TakesWork(c.now) || !c.freshOnly && !t.MayBeTried(c.now) {
		return
	}
	switch s := rep.outlier.standing(c.now); {
	case s == probeDue && worst == inUse:
		c.probe = rep
		return
	case s == ejected && worst == inUse:
		return
	}
	if c.count < len(c.seen) {
		c.seen[c.count] = rep
	}
	c.count++
	cand := c.score(rep, t)
	if c.best.replica == nil || cand.cost < c.best.cost {
		c.best = cand
	}
	if c.uncached.replica == nil || cand.cost+float64(cand.savedPrefill) < c.uncached.cost+float64(c.uncached.savedPrefill) {
		c.uncached = cand
	}
}

// score returns the expected cost of the request at a replica, in nanoseconds:
// the time to the last token as far as it depends on the replica, plus the
// network delay.
func (c *selection) score(rep *replica, t *member.Target) candidate {
	report := &t.Report
	l := rep.loadAt(report, c.meanOccupancy, c.router.cfg.AgeScale, c.now)
	c.occupancySum += float64(report.Running+report.Queued) / float64(l.slots)
	c.scored++
	cached := 0
	if len(c.request.Blocks) > 0 {
		cached = min(c.request.PromptTokens, rep.hints.cached(c.request.Blocks, c.request.BlockTokens))
	}
	wait, free := l.wait(c.request.Class, c.headroom, c.meanTokens, c.request.PromptTokens-cached)
	cand := candidate{replica: rep, target: t, wait: wait, hasFreeSlot: free, cachedTokens: cached}
	cand.savedPrefill = time.Duration(cached) * l.prefill
	// Each generation in a batch slows down the others too, so of two replicas
	// with free slots the emptier one is better.
	batchFactor := 1 + min(1, max(0, l.active)/float64(l.slots))
	cand.cost = float64(wait) + float64(c.request.OutputTokens)*float64(l.pace)*batchFactor + c.networkDelay(rep, &report.Place)
	return cand
}

func (c *selection) networkDelay(rep *replica, place *member.Place) float64 {
	delay := 0.0
	switch distance(rep.distance.Load()) {
	case sameZone:
	case sameRegion:
		delay = float64(c.router.cfg.ZoneDelay)
	default:
		delay = float64(c.router.cfg.RegionDelay)
	}
	if c.request.AvoidZone != "" && place.Zone == c.request.AvoidZone {
		delay += float64(avoidedZonePenalty)
	}
	return delay
}

func (c *selection) reason() Reason {
	switch {
	case c.count == 1:
		return OnlyReplica
	case c.best.cachedTokens > 0 && c.best.replica != c.uncached.replica:
		return CachedPrefix
	}
	return LeastWait
}

func (c *selection) decide(chosen candidate, reason Reason) Decision {
	c.pool.stats.occupancy.add(c.occupancySum/float64(c.scored), occupancySmoothing)
	return Decision{
		Target:       chosen.replica.name,
		Address:      chosen.target.Report.Address,
		Version:      chosen.target.Report.Version,
		Reason:       reason,
		Considered:   max(1, c.count),
		Wait:         chosen.wait,
		HasFreeSlot:  chosen.hasFreeSlot,
		CachedTokens: chosen.cachedTokens,
	}
}

// Serves reports whether any target serves the model, including targets whose
// load report is out of date.
func (r *Router) Serves(model id.Model, now time.Time) bool {
	return r.current(now).pools[poolKey{model: model}] != nil
}
