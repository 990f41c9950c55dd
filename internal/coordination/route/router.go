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
	cfg       Config
	headroom  smoothed
	view      *member.View
	index     atomic.Pointer[index]
	rebuildMu sync.Mutex

	mu       sync.RWMutex
	replicas map[id.Target]*replica
	stats    map[poolKey]*poolStats
	cacheMu  sync.Mutex
}

// New returns a router that chooses among the targets of the view.
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

// SetHeadroom sets the share of a target's slots that is reserved for requests
// of class Short.
func (r *Router) SetHeadroom(share float64) { r.headroom.bits.Store(math.Float64bits(share)) }

// replica returns the state of a target, and creates it if needed.
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

// pruneReplicas drops the state of targets that are no longer in the view and
// have no requests of this entry in flight.
func (r *Router) pruneReplicas(seen map[id.Target]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, rep := range r.replicas {
		if !seen[name] && rep.inFlight.Load() == 0 {
			delete(r.replicas, name)
		}
	}
}

// current returns the index, and rebuilds it if the view has changed, at most
// once per RebuildInterval. An index that is some milliseconds old can only
// miss a new target, since each decision reads a target's state from the view.
func (r *Router) current(now time.Time) *index {
	idx := r.index.Load()
	snapshot := r.view.Snapshot()
	if idx.version == snapshot.Version || (idx.version != 0 && now.Sub(idx.built) < r.cfg.RebuildInterval) {
		return idx
	}
	if !r.rebuildMu.TryLock() {
		return idx
	}
	defer r.rebuildMu.Unlock()
	idx = r.buildIndex(snapshot, now)
	r.index.Store(idx)
	return idx
}

// Begin counts a request that was sent to the target. tokens is the length of
// its prompt.
func (r *Router) Begin(target id.Target, class generation.Class, tokens int, now time.Time) {
	rep := r.replica(target)
	rep.inFlight.Add(1)
	if class == generation.Short {
		rep.shortInFlight.Add(1)
	}
	rep.pendingPrefill.Add(int32(tokens))
	rep.recent.add(now, class, 1)
}

// PrefillDone records that a prompt of the given number of tokens is computed.
func (r *Router) PrefillDone(target id.Target, tokens int) {
	r.replica(target).pendingPrefill.Add(-int32(tokens))
}

// End counts the end of a request that Begin counted. tokens is the length of
// the prompt if PrefillDone was not called for it, otherwise 0.
func (r *Router) End(target id.Target, class generation.Class, tokens int, now time.Time) {
	rep := r.replica(target)
	rep.inFlight.Add(-1)
	if class == generation.Short {
		rep.shortInFlight.Add(-1)
	}
	rep.pendingPrefill.Add(-int32(tokens))
	rep.recent.add(now, class, -1)
}

// InFlight returns the number of this entry's requests at the target.
func (r *Router) InFlight(target id.Target) int { return int(r.replica(target).inFlight.Load()) }

// Observation is what was measured on one attempt.
type Observation struct {
	Model   id.Model
	Service id.Service
	// Failed says that the target failed, or refused because of a fault of its
	// own.
	Failed bool
	// Pace is the time between two tokens, or the duration of a whole call to a
	// service; zero if unknown.
	Pace time.Duration
	// Tokens is the length of the answer.
	Tokens int
}

// Weights of a new observation in the averages over all replicas of a pool.
const (
	tokensSmoothing    = 0.05
	poolPaceSmoothing  = 0.05
	occupancySmoothing = 0.05
	// minPaceObservations is the number of observations of a replica's pace
	// before it may be ejected as slow.
	minPaceObservations = 3
)

// Observe updates the statistics with an attempt's observation, and ejects or
// restores its target accordingly.
func (r *Router) Observe(target id.Target, o Observation, now time.Time) {
	rep := r.replica(target)
	key := poolKey{model: o.Model, service: o.Service}
	stats := r.statsOf(key)
	if o.Tokens > 0 {
		stats.tokens.add(float64(o.Tokens), tokensSmoothing)
	}
	if o.Failed {
		if rep.outlier.failures.Add(1) >= int32(r.cfg.ConsecutiveFailures) || rep.outlier.ejectedUntil.Load() != 0 {
			r.eject(rep, key, now)
		}
		return
	}
	rep.outlier.failures.Store(0)
	if o.Pace > 0 && r.isSlow(rep, stats, o.Pace) {
		r.eject(rep, key, now)
		return
	}
	if rep.outlier.ejectedUntil.Load() != 0 {
		rep.outlier.restore()
	} else if o.Pace > 0 {
		rep.outlier.ejections.Store(max(0, rep.outlier.ejections.Load()-1))
	}
}

// isSlow compares the replica's smoothed pace with that of the whole pool. An
// ejected replica is judged by the pace of its probe alone.
func (r *Router) isSlow(rep *replica, stats *poolStats, pace time.Duration) bool {
	poolPace := stats.pace.load()
	if rep.outlier.ejectedUntil.Load() != 0 {
		return poolPace > 0 && float64(pace) > r.cfg.SlowFactor*poolPace
	}
	own, n := rep.outlier.observePace(pace)
	slow := poolPace > 0 && n >= minPaceObservations && float64(own) > r.cfg.SlowFactor*poolPace
	if poolPace == 0 || float64(pace) <= r.cfg.SlowFactor*poolPace {
		stats.pace.add(float64(pace), poolPaceSmoothing)
	}
	return slow
}

// eject ejects a replica for a time, unless too many are ejected.
func (r *Router) eject(rep *replica, key poolKey, now time.Time) {
	until := rep.outlier.ejectedUntil.Load()
	if now.UnixNano() < until {
		// The replica is already ejected. Attempts that were in flight at that time
		// don't extend the ejection.
		return
	}
	if until == 0 && !r.mayEject(key) {
		return
	}
	rep.outlier.eject(now, r.cfg.EjectionTime, r.cfg.MaxEjectionTime)
}

// mayEject reports whether one more replica may be ejected. In a pool of two or
// more, one always may.
func (r *Router) mayEject(key poolKey) bool {
	p := r.index.Load().pools[key]
	if p == nil {
		return true
	}
	ejectedCount := 0
	for _, rep := range p.ready {
		if rep.outlier.ejectedUntil.Load() != 0 {
			ejectedCount++
		}
	}
	return len(p.ready) > 1 && ejectedCount < max(1, int(r.cfg.MaxEjectionShare*float64(len(p.ready))))
}
