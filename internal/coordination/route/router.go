package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Router chooses targets for one entry.
type Router struct {
	cfg      Config
	headroom smoothed
	view     *member.View
	index    atomic.Pointer[index]
	building sync.Mutex

	mu       sync.RWMutex
	replicas map[id.Target]*replica
	stats    map[poolKey]*poolStats
	hintsMu  sync.Mutex
}

// New returns a router over the view.
func New(cfg Config, view *member.View) *Router {
	cfg.Defaults()
	r := &Router{
		cfg:      cfg,
		view:     view,
		replicas: map[id.Target]*replica{},
		stats:    map[poolKey]*poolStats{},
	}
	r.SetHeadroom(cfg.HeadroomShare)
	r.index.Store(&index{})
	return r
}

// SetHeadroom sets the part of a target's slots that only short work uses.
func (r *Router) SetHeadroom(share float64) { r.headroom.bits.Store(math.Float64bits(share)) }

// replica returns what is held of a target, and starts to hold it.
func (r *Router) replica(name id.Target) *replica {
	r.mu.RLock()
	rep := r.replicas[name]
	r.mu.RUnlock()
	if rep != nil {
		return rep
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if rep = r.replicas[name]; rep == nil {
		rep = &replica{name: name}
		r.replicas[name] = rep
	}
	return rep
}

func (r *Router) statsOf(key poolKey) *poolStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stats[key]
	if s == nil {
		s = &poolStats{}
		r.stats[key] = s
	}
	return s
}

// forget drops what is held of targets that the view no longer has and that
// carry none of this entry's work.
func (r *Router) forget(seen map[id.Target]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, rep := range r.replicas {
		if !seen[name] && rep.own.Load() == 0 {
			delete(r.replicas, name)
		}
	}
}

// current returns the index, rebuilt when the view has changed. A target's
// state is read from the view for each decision, so an index of some
// milliseconds' age can only miss a new target.
func (r *Router) current(now time.Time) *index {
	idx := r.index.Load()
	snapshot := r.view.Snapshot()
	if idx.version == snapshot.Version || (idx.version != 0 && now.Sub(idx.built) < r.cfg.RebuildInterval) {
		return idx
	}
	if !r.building.TryLock() {
		return idx
	}
	defer r.building.Unlock()
	idx = r.buildIndex(snapshot, now)
	r.index.Store(idx)
	return idx
}

// Begin counts work that was sent to target; tokens are those of its prompt.
func (r *Router) Begin(target id.Target, class generation.Class, tokens int, now time.Time) {
	rep := r.replica(target)
	rep.own.Add(1)
	if class == generation.Short {
		rep.ownShort.Add(1)
	}
	rep.ownPrefill.Add(int32(tokens))
	rep.recent.add(now, class, 1)
}

// PrefillDone notes that the prompt of tokens is computed.
func (r *Router) PrefillDone(target id.Target, tokens int) {
	r.replica(target).ownPrefill.Add(-int32(tokens))
}

// End counts the end of work that Begin counted; tokens are those of a prompt
// that Started was not called for, else 0.
func (r *Router) End(target id.Target, class generation.Class, tokens int, now time.Time) {
	rep := r.replica(target)
	rep.own.Add(-1)
	if class == generation.Short {
		rep.ownShort.Add(-1)
	}
	rep.ownPrefill.Add(-int32(tokens))
	rep.recent.add(now, class, -1)
}

// InFlight returns how much of this entry's work target carries.
func (r *Router) InFlight(target id.Target) int { return int(r.replica(target).own.Load()) }

// Observation is what an attempt showed of its target.
type Observation struct {
	Model   id.Model
	Service id.Service
	// Failed says that the target failed or refused for a fault of its own.
	Failed bool
	// Pace is the time between two tokens, or a call's whole time; zero when
	// it is not known.
	Pace time.Duration
	// Tokens is the length of the answer.
	Tokens int
}

// Weights of a new observation in what is known of all replicas of a pool.
const (
	tokensSmoothing    = 0.05
	poolPaceSmoothing  = 0.05
	occupancySmoothing = 0.05
	// observationsToJudge is the number of observations of a replica's pace
	// before it may be put aside as slow.
	observationsToJudge = 3
)

// Observe takes over what an attempt showed, and puts its target aside or
// takes it back.
func (r *Router) Observe(target id.Target, o Observation, now time.Time) {
	rep := r.replica(target)
	key := poolKey{model: o.Model, service: o.Service}
	stats := r.statsOf(key)
	if o.Tokens > 0 {
		stats.tokens.add(float64(o.Tokens), tokensSmoothing)
	}
	if o.Failed {
		if rep.outlier.failures.Add(1) >= int32(r.cfg.ConsecutiveFailures) || rep.outlier.until.Load() != 0 {
			r.putAside(rep, key, now)
		}
		return
	}
	rep.outlier.failures.Store(0)
	if o.Pace > 0 && r.isSlow(rep, stats, o.Pace) {
		r.putAside(rep, key, now)
		return
	}
	if rep.outlier.until.Load() != 0 {
		rep.outlier.takeBack()
	} else if o.Pace > 0 {
		rep.outlier.times.Store(max(0, rep.outlier.times.Load()-1))
	}
}

// isSlow compares the replica's own pace with that of all. A replica that was
// put aside is judged by its probe alone.
func (r *Router) isSlow(rep *replica, stats *poolStats, pace time.Duration) bool {
	all := stats.pace.load()
	if rep.outlier.until.Load() != 0 {
		return all > 0 && float64(pace) > r.cfg.SlowFactor*all
	}
	own, n := rep.outlier.observePace(pace)
	slow := all > 0 && n >= observationsToJudge && float64(own) > r.cfg.SlowFactor*all
	if all == 0 || float64(pace) <= r.cfg.SlowFactor*all {
		stats.pace.add(float64(pace), poolPaceSmoothing)
	}
	return slow
}

// putAside keeps a replica from work for a time, unless too many are aside.
func (r *Router) putAside(rep *replica, key poolKey, now time.Time) {
	until := rep.outlier.until.Load()
	if now.UnixNano() < until {
		// Work that was under way before says nothing new.
		return
	}
	if until == 0 && !r.mayPutAside(key) {
		return
	}
	rep.outlier.putAside(now, r.cfg.EjectionTime, r.cfg.MaxEjectionTime)
}

// mayPutAside reports whether one more replica may be put aside. One of two or
// more always may.
func (r *Router) mayPutAside(key poolKey) bool {
	p := r.index.Load().pools[key]
	if p == nil {
		return true
	}
	already := 0
	for _, rep := range p.ready {
		if rep.outlier.until.Load() != 0 {
			already++
		}
	}
	return len(p.ready) > 1 && already < max(1, int(r.cfg.MaxEjectionShare*float64(len(p.ready))))
}
