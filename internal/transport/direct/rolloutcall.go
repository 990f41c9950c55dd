package direct

import (
	"math"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/rollout"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
)

// bound returns the bound on what an unproven version gets. The caller holds mu.
func (r *rollouts) bound(now time.Time, st *rolloutState) rollout.Bound {
	if st.Order == nil || !st.Active() {
		return rollout.Bound{}
	}
	tolerance := rollout.ToleranceAt(r.e.cfg.Rollouts.Tolerance, r.sinceOrder(now, st), st.Order.Duration())
	if st.Stage != nil && r.e.startedAt.UnixMilli() > st.Stage.BegunMS {
		// The process before this one may have used its part.
		tolerance = 0
	}
	st.noteEntries(r.e.roster.LimitSharers(now))
	return rollout.Bound{
		Share: r.e.cfg.Rollouts.Share, Tolerance: tolerance, Entries: st.entries,
		Rank: id.RendezvousRank("tolerance", r.e.cfg.PeerAddress, r.e.roster.Alive(now)),
	}
}

// drawVersion decides whether the next attempt may be sent to the new version of a roll-out.
// Retries go to the old ones.
func (c *call) drawVersion() {
	r := c.e.rollouts
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.states[c.service]
	c.refusedNew = false
	c.drawn = st != nil && st.Active() && c.software == nil && c.sends == 0 && st.MayDraw(r.bound(c.now(), st))
}

// endDraw reports whether the attempt was drawn for the new version, and ends that.
func (c *call) endDraw() bool {
	drawn := c.drawn
	c.drawn = false
	return drawn
}

// takeShare counts an attempt at the target's version. It returns false if that version may not
// get it; the targets that are chosen from change then.
func (c *call) takeShare(t *catalog.Target) bool {
	if c.e.rollouts == nil || c.e.rollouts.take(c, t) {
		return true
	}
	c.drawn, c.refusedNew = false, true
	// Who waits for room looks for it now, and asks the roll-outs which targets it may use.
	c.endReservation()
	c.endTrial()
	return false
}

// take counts an attempt at the target's version, unless that version may not get it.
func (r *rollouts) take(c *call, t *catalog.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.states[c.service]
	if st == nil {
		return true
	}
	if !st.Take(t.Software, c.software != nil, r.bound(c.now(), st)) {
		return false
	}
	if st.Stage != nil && st.Active() {
		c.e.metrics.rolloutSend(c.service, st.Stage.Role(t.Software))
	}
	return true
}

// takeShareOrPlace does the same for a target whose limit counts the attempt already. It gives
// that back if the version may not get the attempt.
func (c *call) takeShareOrPlace(t *catalog.Target) bool {
	if c.takeShare(t) {
		return true
	}
	c.e.limits.giveBack(t)
	return false
}

// permitted returns the targets whose version may get the request.
func (c *call) permitted(listed catalog.Targets) catalog.Targets {
	r := c.e.rollouts
	if r == nil || len(listed) == 0 {
		return listed
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.states[c.service]
	held := r.held(c.service, listed)
	if len(held) == 0 && (st == nil || (st.Order == nil && st.Stage == nil)) {
		return listed
	}
	p := c.permit(st, listed)
	allowed := slices.DeleteFunc(slices.Clone(listed), func(t *catalog.Target) bool {
		if t.SoftwareUnknown {
			return st != nil && st.Active()
		}
		uninvolved := st == nil || st.Stage == nil || st.Stage.Role(t.Software) == rollout.Uninvolved
		return !p.Allows(t.Software) || (uninvolved && held[t.Software])
	})
	if p.Draw {
		return c.canaryTargets(allowed, p.Stage)
	}
	return allowed
}

// permit returns which versions may get the request. The caller holds the lock of the
// roll-outs.
func (c *call) permit(st *rolloutState, listed catalog.Targets) rollout.Permit {
	if st == nil {
		return rollout.Permit{}
	}
	p := rollout.Permit{Stage: st.Stage, Order: st.Order, Stopped: st.Stopped(), Draw: c.drawn}
	if c.software != nil && !c.refusedNew {
		p.Began, p.BeganKnown = c.software.resolve(listed)
	}
	if st.Stage != nil {
		p.NewServes = slices.ContainsFunc(listed, func(t *catalog.Target) bool {
			return t.State == catalog.Ready && !t.SoftwareUnknown && t.Software == st.Stage.To
		})
	}
	return p
}

// canaryTargets returns the targets of the new version that get the requests of the canary
// stage. They are few, so that each has about the load that it gets later. If none of them can
// be used, it returns those of the other versions.
func (c *call) canaryTargets(allowed catalog.Targets, stage *rollout.Stage) catalog.Targets {
	var ofNew, others catalog.Targets
	for _, t := range allowed {
		switch {
		case t.Software != stage.To:
			others = append(others, t)
		case t.State == catalog.Ready:
			ofNew = append(ofNew, t)
		}
	}
	n := int(math.Ceil(stage.Share * float64(len(ofNew))))
	slices.SortFunc(ofNew, func(a, b *catalog.Target) int {
		if id.RendezvousScore("canary", string(a.ID)) < id.RendezvousScore("canary", string(b.ID)) {
			return -1
		}
		return 1
	})
	usable := slices.DeleteFunc(ofNew[:n], func(t *catalog.Target) bool { return c.tried[t.ID] || c.e.balancer.Suspected(c.now(), t) })
	if len(usable) == 0 {
		return others
	}
	return usable
}

// listedVersions holds the versions of services that were listed before the orders were last
// read. Nothing is sent to others before, because an order may be for them.
type listedVersions struct {
	trusted map[id.Service]map[id.SoftwareVersion]bool
	// logged holds the versions of which it was logged that they are held back.
	logged map[string]bool
}

func newListedVersions() *listedVersions {
	return &listedVersions{trusted: map[id.Service]map[id.SoftwareVersion]bool{}, logged: map[string]bool{}}
}

// listed returns the versions of targets.
func (l *listedVersions) listed(targets map[id.Service]catalog.Targets) map[id.Service]map[id.SoftwareVersion]bool {
	versions := map[id.Service]map[id.SoftwareVersion]bool{}
	for service, ts := range targets {
		versions[service] = map[id.SoftwareVersion]bool{}
		for _, t := range ts {
			if !t.SoftwareUnknown {
				versions[service][t.Software] = true
			}
		}
	}
	return versions
}

// trust records versions that were listed before the orders were read.
func (l *listedVersions) trust(versions map[id.Service]map[id.SoftwareVersion]bool) {
	for service, vs := range versions {
		for v := range vs {
			if l.trusted[service] == nil {
				l.trusted[service] = map[id.SoftwareVersion]bool{}
			}
			l.trusted[service][v] = true
		}
	}
}

// held returns the versions that may not be used before the orders have been read again, and
// has them read. If no version may be used, the one that has served longest is.
func (r *rollouts) held(service id.Service, listed catalog.Targets) map[id.SoftwareVersion]bool {
	if sameSoftware(listed) {
		if r.ordersRead && !r.versions.trusted[service][listed[0].Software] {
			r.versions.trust(map[id.Service]map[id.SoftwareVersion]bool{service: {listed[0].Software: true}})
		}
		return nil
	}
	var held map[id.SoftwareVersion]bool
	var oldest *catalog.Target
	anyTrusted := false
	for _, t := range listed {
		switch {
		case t.SoftwareUnknown:
			continue
		case r.versions.trusted[service][t.Software]:
			anyTrusted = true
			continue
		case held == nil:
			held = map[id.SoftwareVersion]bool{}
		}
		if !held[t.Software] {
			held[t.Software] = true
			r.logHeld(service, t)
		}
		if oldest == nil || t.Incarnation < oldest.Incarnation {
			oldest = t
		}
	}
	if len(held) > 0 {
		signal(r.again)
		if !anyTrusted {
			delete(held, oldest.Software)
		}
	}
	return held
}

// logHeld logs, once for each version, that a version is held back.
func (r *rollouts) logHeld(service id.Service, t *catalog.Target) {
	key := string(service) + "/" + string(t.Software)
	if r.versions.logged[key] {
		return
	}
	r.versions.logged[key] = true
	r.e.deps.Log.Emit(event.RolloutVersionHeld, "service", service, "software", t.Software, "target", t.ID)
}
