package route

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/id"
)

// index holds the replicas by model, version, adapter and service, for one
// snapshot of the view.
type index struct {
	version uint64
	built   time.Time
	pools   map[poolKey]*pool
}

type poolKey struct {
	model   id.Model
	version id.Version
	adapter id.Adapter
	service id.Service
}

// pool holds the replicas that serve one poolKey.
type pool struct {
	// ready are the replicas that accept requests, nearest first: the first
	// local ones are in the entry's own zone, the first region ones in its own
	// region.
	ready  []*replica
	local  int
	region int
	// stale are the replicas without a recent load report.
	stale []*replica
	ring  []ringPoint
	stats *poolStats
}

type ringPoint struct {
	hash    uint64
	replica *replica
}

// poolStats outlives the snapshots. Its floats are stored as bits in atomics. A
// race of two writers loses one observation, which is accepted.
type poolStats struct {
	occupancy smoothed
	tokens    smoothed
	pace      smoothed
}

// smoothed is an exponentially weighted moving average.
type smoothed struct{ bits atomic.Uint64 }

func (s *smoothed) load() float64 { return math.Float64frombits(s.bits.Load()) }

func (s *smoothed) add(value, weight float64) {
	old := s.load()
	if old == 0 {
		weight = 1
	}
	s.bits.Store(math.Float64bits(old + weight*(value-old)))
}

func (r *Router) buildIndex(snapshot *member.Snapshot, now time.Time) *index {
	idx := &index{version: snapshot.Version, built: now, pools: map[poolKey]*pool{}}
	seen := make(map[id.Target]bool, len(snapshot.Targets))
	for _, ref := range snapshot.Targets {
		t := ref.Load()
		rep := r.replica(t.Report.Target)
		rep.target.Store(ref)
		rep.distance.Store(uint32(r.distanceOf(&t.Report.Place)))
		seen[t.Report.Target] = true
		for _, key := range keysOf(&t.Report) {
			idx.add(key, rep, t, r)
		}
	}
	for _, p := range idx.pools {
		buildRing(p)
	}
	r.pruneReplicas(seen)
	return idx
}

func keysOf(report *member.TargetReport) []poolKey {
	if report.Service != "" {
		return []poolKey{{service: report.Service}}
	}
	keys := []poolKey{{model: report.Model}, {model: report.Model, version: report.Version}}
	for _, a := range report.Adapters {
		keys = append(keys,
			poolKey{model: report.Model, adapter: a},
			poolKey{model: report.Model, version: report.Version, adapter: a})
	}
	if report.Version == "" {
		return slices.Compact(keys)
	}
	return keys
}

func (i *index) add(key poolKey, rep *replica, t *member.Target, r *Router) {
	p := i.pools[key]
	if p == nil {
		p = &pool{stats: r.statsOf(poolKey{model: key.model, service: key.service})}
		i.pools[key] = p
	}
	switch {
	case t.State == member.Ready:
		p.ready = append(p.ready, rep)
	case t.State == member.Suspect && t.Suspicion == member.Silent:
		p.stale = append(p.stale, rep)
	}
}

// buildRing sorts a pool by distance and builds its hash ring.
func buildRing(p *pool) {
	slices.SortStableFunc(p.ready, func(a, b *replica) int {
		return cmp.Compare(a.distance.Load(), b.distance.Load())
	})
	for _, rep := range p.ready {
		switch distance(rep.distance.Load()) {
		case sameZone:
			p.local++
			p.region++
		case sameRegion:
			p.region++
		}
		p.ring = append(p.ring, ringPoint{hash: xxhash.Sum64String(string(rep.name)), replica: rep})
	}
	slices.SortFunc(p.ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
}

// distance is how far a target is from this entry.
type distance uint32

const (
	sameZone distance = iota
	sameRegion
	otherRegion
)

func (r *Router) distanceOf(place *member.Place) distance {
	switch {
	case place.Zone == r.cfg.Zone:
		return sameZone
	case place.Region == r.cfg.Region:
		return sameRegion
	}
	return otherRegion
}

// ringSuccessor returns the replica at hash or next after it on the ring.
func (p *pool) ringSuccessor(hash uint64) *replica {
	i, _ := slices.BinarySearchFunc(p.ring, hash, func(point ringPoint, h uint64) int {
		return cmp.Compare(point.hash, h)
	})
	if i == len(p.ring) {
		i = 0
	}
	return p.ring[i].replica
}
