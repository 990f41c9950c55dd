package target

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/protocol/peer"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/settings"
)

// loadEvery is the shortest time between two loads on one stream, and the age
// at which a report is made anew.
const loadEvery = 100 * time.Millisecond

// counts are the figures of a report that change from moment to moment.
type counts struct {
	running, short, queued int
	queuedPrefill          int
	pace                   time.Duration
	prefillPerToken        time.Duration
}

// reporter makes the load reports of one incarnation.
type reporter struct {
	clock  clockwork.Clock
	counts func() counts

	mu   sync.Mutex
	last member.TargetReport
	seen counts
	// message is last as it is sent; it is shared by all streams and never
	// changed.
	message *peerpb.Load
}

func newReporter(s settings.Target, clock clockwork.Clock, count func() counts) *reporter {
	r := &reporter{clock: clock, counts: count}
	r.last = member.TargetReport{
		Target:      s.Name,
		Incarnation: id.Incarnation(clock.Now().UnixMilli()),
		State:       member.Joining,
		Place:       member.Place{Host: s.Place.Host, Zone: s.Place.Zone, Region: s.Place.Region},
		Address:     s.PeerAddress,
	}
	if e := s.Engine; e != nil {
		r.last.Model, r.last.Version, r.last.Adapters = e.Model, e.Version, e.Adapters
		r.last.Role, r.last.Fences, r.last.Slots = member.Role(e.Role), e.SupportsFencing, e.Slots
	}
	if v := s.Service; v != nil {
		r.last.Service, r.last.Slots = v.Name, v.Slots
	}
	return r
}

// change changes the report's fixed part and makes the next one new.
func (r *reporter) change(edit func(*member.TargetReport)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	edit(&r.last)
	r.message = nil
}

func (r *reporter) setAddress(address string) {
	r.change(func(v *member.TargetReport) { v.Address = address })
}

func (r *reporter) setIncarnation(incarnation id.Incarnation) {
	r.change(func(v *member.TargetReport) { v.Incarnation = incarnation })
}

// setState changes the state and reports whether it was another. A target that
// is leaving never comes back in the same incarnation.
func (r *reporter) setState(state member.State) bool {
	changed := false
	r.change(func(v *member.TargetReport) {
		if v.State != member.Leaving && v.State != state {
			v.State, changed = state, true
		}
	})
	return changed
}

func (r *reporter) address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last.Address
}

// served returns the fixed part of the report.
func (r *reporter) served() member.TargetReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

// report returns a report as of now.
func (r *reporter) report() *member.TargetReport {
	r.load()
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.last
	return &report
}

// load returns the report as a message that must not be changed. It is made
// anew when something differs or when it is old.
func (r *reporter) load() *peerpb.Load {
	now := r.clock.Now()
	c := r.counts()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.message != nil && c == r.seen && now.Sub(r.last.At) < loadEvery {
		return r.message
	}
	r.seen = c
	r.last.Sequence++
	r.last.At = now
	r.last.Running, r.last.ShortRunning, r.last.Queued = c.running, c.short, c.queued
	r.last.QueuedPrefill, r.last.Pace, r.last.PrefillPerToken = c.queuedPrefill, c.pace, c.prefillPerToken
	r.message = peer.FromLoad(&r.last, now)
	return r.message
}
