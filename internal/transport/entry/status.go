package entry

import (
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/protocol/status"
)

// status returns this entry's view of the deployment.
func (p *Process) status() *status.Status {
	now := p.deps.Clock.Now()
	s := &status.Status{Entry: p.settings.Name, At: now, Revision: p.deps.Current.Revision()}
	for _, e := range p.view.Entries() {
		s.Members = append(s.Members, entryMember(&e, now))
	}
	for _, t := range p.view.Targets() {
		s.Members = append(s.Members, targetMember(&t, now))
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

func targetMember(t *member.Target, now time.Time) status.Member {
	r := &t.Report
	return status.Member{
		Name: string(r.Target), Role: status.Target, State: t.State, Since: t.Since,
		Zone: r.Place.Zone, Region: r.Place.Region, Address: r.Address,
		AgeMs: now.Sub(r.At).Milliseconds(),
		Model: r.Model, Version: r.Version, Service: r.Service,
		Running: r.Running, Queued: r.Queued, Slots: r.Slots,
	}
}

// Sees returns the number of targets that take work in this entry's view.
func (p *Process) Sees() int {
	now := p.deps.Clock.Now()
	n := 0
	for _, t := range p.view.Targets() {
		if t.TakesWork(now) {
			n++
		}
	}
	return n
}

// SeesEntries returns the number of live entries in this entry's view.
func (p *Process) SeesEntries() int { return len(p.view.Snapshot().LiveEntries()) }
