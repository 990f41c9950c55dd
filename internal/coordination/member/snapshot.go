package member

import (
	"sync/atomic"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// Suspicion is the reason for which a member is suspect.
type Suspicion string

// Suspicions.
const (
	// NotSuspected is the zero value.
	NotSuspected Suspicion = ""
	// Silent members have not sent a recent report. Work may still be offered
	// to the target's own process, because the process itself rejects work when
	// it is leaving.
	Silent Suspicion = "silent"
	// Refused members closed or refused a connection.
	Refused Suspicion = "refused"
	// Flapping members fell silent too often and get no work for some time.
	Flapping Suspicion = "flapping"
)

// Target is the state of one target in a view. It is immutable; an update
// stores a new Target.
type Target struct {
	Report    TargetReport
	State     State
	Suspicion Suspicion
	// Since is the time at which the target entered the state.
	Since time.Time
	// Expires is the time after which the report no longer allows new work.
	Expires time.Time
	// HeldUntil is the time until which a flapping target gets no work.
	HeldUntil time.Time
	// Silences is the number of times that the target fell silent within the
	// flap window.
	Silences int
}

// TakesWork reports whether new work may be sent to the target at now. It
// checks the age of the report itself and so does not depend on Tick being
// called in time.
func (t *Target) TakesWork(now time.Time) bool {
	return t.State == Ready && now.Before(t.Expires)
}

// MayBeTried reports whether work may be offered to the target's own process
// although there is no recent report. The process accepts or rejects the work
// itself.
func (t *Target) MayBeTried(now time.Time) bool {
	if t.State == Ready {
		return !now.Before(t.Expires)
	}
	return t.State == Suspect && t.Suspicion == Silent
}

// TargetRef holds the newest Target of one name. Reading it takes no lock.
type TargetRef struct {
	name   id.Target
	target atomic.Pointer[Target]
}

// Load returns the newest Target. Callers must not modify it.
func (r *TargetRef) Load() *Target { return r.target.Load() }

// Entry is the state of one entry in a view.
type Entry struct {
	Report    EntryReport
	State     State
	Suspicion Suspicion
	Since     time.Time
}

// Live reports whether the entry owns requests and limits.
func (e *Entry) Live() bool { return e.State == Ready }

// Snapshot is the state of the view at one time. A new one is created when a
// member joins, leaves or changes its state or location. A change of load alone
// does not create one; it is visible through the TargetRefs.
type Snapshot struct {
	// Version increases with each snapshot of a view.
	Version uint64
	// Targets are sorted by name, without those that are gone.
	Targets []*TargetRef
	// Entries are sorted by name, without those that are gone.
	Entries []Entry
	// LostZones are the zones whose members fell silent at the same time.
	LostZones []id.Zone
}

// LiveEntries returns the names of the entries that own requests and limits.
func (s *Snapshot) LiveEntries() []id.Entry {
	names := make([]id.Entry, 0, len(s.Entries))
	for i := range s.Entries {
		if s.Entries[i].Live() {
			names = append(names, s.Entries[i].Report.Entry)
		}
	}
	return names
}
