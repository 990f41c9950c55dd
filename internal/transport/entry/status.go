package entry

import (
	"maps"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/protocol/status"
	"foxtailward.example/foxtailward/internal/state/id"
)

// status returns this entry's view of the deployment.
func (p *Process) status() *status.Status {
	now := p.deps.Clock.Now()
	s := &status.Status{
		Entry: p.settings.Name, At: now, Revision: p.deps.Current.Revision(),
		Limits: p.limits.usage(), Store: p.storeStatus(),
	}
	if p.leaving.Load() {
		s.Drains = []status.Drain{p.drainStatus()}
	}
	revisions := p.spreader.Revisions()
	for _, e := range p.view.Entries() {
		s.Members = append(s.Members, entryMember(&e, now))
	}
	for _, t := range p.view.Targets() {
		s.Members = append(s.Members, targetMember(&t, revisions[string(t.Report.Target)], now))
	}
	return s
}

func entryMember(e *member.Entry, now time.Time) status.Member {
	r := &e.Report
	return status.Member{
		Name: string(r.Entry), Role: status.Entry, State: e.State, Since: e.Since,
		Zone: r.Place.Zone, Region: r.Place.Region, Address: r.Address,
		Revision: r.Revision, AgeMs: now.Sub(r.At).Milliseconds(),
	}
}

func targetMember(t *member.Target, revision id.Revision, now time.Time) status.Member {
	r := &t.Report
	return status.Member{
		Name: string(r.Target), Role: status.Target, State: t.State, Since: t.Since,
		Zone: r.Place.Zone, Region: r.Place.Region, Address: r.Address,
		Revision: revision, AgeMs: now.Sub(r.At).Milliseconds(),
		Model: r.Model, Version: r.Version, Service: r.Service,
		Running: r.Running, Queued: r.Queued, Slots: r.Slots,
	}
}

// AvailableTargets returns the number of targets that accept work, in this entry's
// view.
func (p *Process) AvailableTargets() int {
	now := p.deps.Clock.Now()
	n := 0
	for _, t := range p.view.Targets() {
		if t.TakesWork(now) {
			n++
		}
	}
	return n
}

// LiveEntries returns the number of live entries, in this entry's view.
func (p *Process) LiveEntries() int { return len(p.view.Snapshot().LiveEntries()) }

// storeStatus returns whether the key-value service is available to this entry.
func (p *Process) storeStatus() status.StoreHealth {
	p.mu.Lock()
	defer p.mu.Unlock()
	return status.StoreHealth{Available: p.deps.Store != nil && !p.storeDown, LastAnswer: p.lastStoreResponse}
}

// drainStatus returns the requests that this entry waits for while it drains.
func (p *Process) drainStatus() status.Drain {
	d := status.Drain{Name: string(p.settings.Name), Role: status.Entry, Since: p.leavingSince()}
	for _, r := range p.coordinator.Pending() {
		w := status.PendingRequest{Request: r}
		if a, ok := p.coordinator.Find(r); ok {
			spec := a.Spec()
			w.Contract, w.Class, w.Tokens, w.MaxTokens = spec.Contract, spec.Class, a.TokenCount(), spec.MaxTokens
		}
		d.Pending = append(d.Pending, w)
	}
	for _, r := range p.callCoordinator.Pending() {
		d.Pending = append(d.Pending, status.PendingRequest{Request: r})
	}
	return d
}

func (p *Process) leavingSince() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.drainStartedAt
}

// usage returns the limits, and the number of running requests, of the contracts
// that have requests running here.
func (l *limits) usage() []status.LimitUsage {
	var out []status.LimitUsage
	contracts := l.process.deps.Current.Snapshot().Contracts
	for _, name := range slices.Sorted(maps.Keys(contracts)) {
		if running := l.limiter.Running(name); running > 0 {
			out = append(out, status.LimitUsage{Contract: name, Limits: contracts[name].Limits, Running: running})
		}
	}
	return out
}
