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

// loadInterval is the minimum time between two load reports on one stream,
// and the age at which a report is renewed.
const loadInterval = 100 * time.Millisecond

// loadCounts are the figures of a report that change with the load.
type loadCounts struct {
	running, shortRunning, queued int
	queuedPrefill                 int
	pace                          time.Duration
	prefillPerToken               time.Duration
}

// reporter creates the load reports of a target.
type reporter struct {
	clock  clockwork.Clock
	counts func() loadCounts

	mu         sync.Mutex
	latest     member.TargetReport
	lastCounts loadCounts
	// message is latest as a protobuf message. All streams share it, so it is
	// never modified.
	message *peerpb.Load
}

func newReporter(s settings.Target, clock clockwork.Clock, count func() loadCounts) *reporter {
	r := &reporter{clock: clock, counts: count}
	r.latest = member.TargetReport{
		Target:      s.Name,
		Incarnation: id.Incarnation(clock.Now().UnixMilli()),
		State:       member.Joining,
		Place:       member.Place{Host: s.Place.Host, Zone: s.Place.Zone, Region: s.Place.Region},
		Address:     s.PeerAddress,
	}
	if e := s.Engine; e != nil {
		r.latest.Model, r.latest.Version, r.latest.Adapters = e.Model, e.Version, e.Adapters
		r.latest.Role, r.latest.Fences, r.latest.Slots = member.Role(e.Role), e.SupportsFencing, e.Slots
	}
	if v := s.Service; v != nil {
		r.latest.Service, r.latest.Slots = v.Name, v.Slots
	}
	return r
}

// update changes the report and makes load build a new message.
func (r *reporter) update(edit func(*member.TargetReport)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	edit(&r.latest)
	r.message = nil
}

func (r *reporter) setAddress(address string) {
	r.update(func(v *member.TargetReport) { v.Address = address })
}

func (r *reporter) setIncarnation(incarnation id.Incarnation) {
	r.update(func(v *member.TargetReport) { v.Incarnation = incarnation })
}

// setState sets the state and reports whether it changed. A target that is
// leaving stays so for the rest of its incarnation.
func (r *reporter) setState(state member.State) bool {
	changed := false
	r.update(func(v *member.TargetReport) {
		if v.State != member.Leaving && v.State != state {
			v.State, changed = state, true
		}
	})
	return changed
}

func (r *reporter) address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest.Address
}

// snapshot returns the latest report without updating its load figures.
func (r *reporter) snapshot() member.TargetReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest
}

// report returns an up-to-date report.
func (r *reporter) report() *member.TargetReport {
	r.load()
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.latest
	return &report
}

// load returns the report as a message, which must not be modified. A new one
// is built if a figure has changed or the last one is older than
// loadInterval.
func (r *reporter) load() *peerpb.Load {
	now := r.clock.Now()
	c := r.counts()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.message != nil && c == r.lastCounts && now.Sub(r.latest.At) < loadInterval {
		return r.message
	}
	r.lastCounts = c
	r.latest.Sequence++
	r.latest.At = now
	r.latest.Running, r.latest.ShortRunning, r.latest.Queued = c.running, c.shortRunning, c.queued
	r.latest.QueuedPrefill, r.latest.Pace, r.latest.PrefillPerToken = c.queuedPrefill, c.pace, c.prefillPerToken
	r.message = peer.FromLoad(&r.latest, now)
	return r.message
}
