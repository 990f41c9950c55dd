package peer

import (
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/id"
)

// FromLoad returns the message for r as it is sent at now.
func FromLoad(r *member.TargetReport, now time.Time) *peerpb.Load {
	adapters := make([]string, len(r.Adapters))
	for i, a := range r.Adapters {
		adapters[i] = string(a)
	}
	return &peerpb.Load{
		Target:              string(r.Target),
		Incarnation:         int64(r.Incarnation),
		Sequence:            uint64(r.Sequence),
		State:               string(r.State),
		Zone:                string(r.Place.Zone),
		Region:              string(r.Place.Region),
		Host:                string(r.Place.Host),
		Address:             r.Address,
		Model:               string(r.Model),
		Version:             string(r.Version),
		Adapters:            adapters,
		Service:             string(r.Service),
		Role:                string(r.Role),
		Slots:               uint32(r.Slots),
		Running:             uint32(r.Running),
		Queued:              uint32(r.Queued),
		ShortRunning:        uint32(r.ShortRunning),
		PaceUs:              r.Pace.Microseconds(),
		QueuedPrefillTokens: uint64(r.QueuedPrefill),
		PrefillUsPerToken:   r.PrefillPerToken.Microseconds(),
		AgeMs:               age(r.At, now),
		Fences:              r.Fences,
	}
}

// ToLoad returns the report in m, which was received at now, if it is valid.
// The report's time is in the receiver's clock, so the clocks of the
// processes need not agree.
func ToLoad(m *peerpb.Load, now time.Time) (*member.TargetReport, error) {
	adapters := make([]id.Adapter, len(m.GetAdapters()))
	for i, a := range m.GetAdapters() {
		adapters[i] = id.Adapter(a)
	}
	r := &member.TargetReport{
		Target:          id.Target(m.GetTarget()),
		Incarnation:     id.Incarnation(m.GetIncarnation()),
		Sequence:        id.Sequence(m.GetSequence()),
		State:           member.State(m.GetState()),
		Place:           member.Place{Host: id.Host(m.GetHost()), Zone: id.Zone(m.GetZone()), Region: id.Region(m.GetRegion())},
		Address:         m.GetAddress(),
		Model:           id.Model(m.GetModel()),
		Version:         id.Version(m.GetVersion()),
		Adapters:        adapters,
		Service:         id.Service(m.GetService()),
		Role:            member.Role(m.GetRole()),
		Slots:           int(m.GetSlots()),
		Running:         int(m.GetRunning()),
		Queued:          int(m.GetQueued()),
		ShortRunning:    int(m.GetShortRunning()),
		Pace:            time.Duration(m.GetPaceUs()) * time.Microsecond,
		QueuedPrefill:   int(m.GetQueuedPrefillTokens()),
		PrefillPerToken: time.Duration(m.GetPrefillUsPerToken()) * time.Microsecond,
		At:              now.Add(-time.Duration(max(0, m.GetAgeMs())) * time.Millisecond),
		Fences:          m.GetFences(),
	}
	return r, r.Validate()
}

// FromEntry returns the message for r as it is sent at now.
func FromEntry(r *member.EntryReport, now time.Time) *peerpb.EntryReport {
	return &peerpb.EntryReport{
		Entry:          string(r.Entry),
		Incarnation:    int64(r.Incarnation),
		Sequence:       uint64(r.Sequence),
		State:          string(r.State),
		Zone:           string(r.Place.Zone),
		Region:         string(r.Place.Region),
		Host:           string(r.Place.Host),
		Address:        r.Address,
		ConfigRevision: int64(r.Revision),
		AgeMs:          age(r.At, now),
	}
}

// ToEntry returns the report in m, which was received at now, if it is valid.
func ToEntry(m *peerpb.EntryReport, now time.Time) (*member.EntryReport, error) {
	r := &member.EntryReport{
		Entry:       id.Entry(m.GetEntry()),
		Incarnation: id.Incarnation(m.GetIncarnation()),
		Sequence:    id.Sequence(m.GetSequence()),
		State:       member.State(m.GetState()),
		Place:       member.Place{Host: id.Host(m.GetHost()), Zone: id.Zone(m.GetZone()), Region: id.Region(m.GetRegion())},
		Address:     m.GetAddress(),
		Revision:    id.Revision(m.GetConfigRevision()),
		At:          now.Add(-time.Duration(max(0, m.GetAgeMs())) * time.Millisecond),
	}
	return r, r.Validate()
}

func age(at, now time.Time) int64 {
	return max(0, now.Sub(at).Milliseconds())
}
