package member

import (
	"sync/atomic"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// Suspicion says why a member is suspect.
type Suspicion string

// Suspicions.
const (
	// NotSuspected is the zero value.
	NotSuspected Suspicion = ""
	// Silent members have no report that is young enough. Their own process
	// may be asked, since it refuses work when it is leaving.
	Silent Suspicion = "silent"
	// Refused members cut or refused a connection.
	Refused Suspicion = "refused"
	// Flapping members fell silent too often and are held back for a time.
	Flapping Suspicion = "flapping"
)

// Target is what a view holds of one target. It is never changed; a newer one
// takes its place.
type Target struct {
	Report    TargetReport
	State     State
	Suspicion Suspicion
	// Since is when the state began.
	Since time.Time
	// Expires is when the report no longer lets the target take work.
	Expires time.Time
	// HeldUntil is when damping of a flapping target ends.
	HeldUntil time.Time
	// Silences counts the times that the target fell silent of late.
	Silences int
}

// TakesWork reports whether new work may be sent at now. It holds to the
// report's age even when no Tick came in between.
func (t *Target) TakesWork(now time.Time) bool {
	return t.State == Ready && now.Before(t.Expires)
}

// MayBeTried reports whether the target's own process may be asked to take
// work although no young report is there: it accepts or refuses for itself.
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

// Load returns the newest Target; it must not be changed.
func (s *TargetRef) Load() *Target { return s.target.Load() }

// Entry is what a view holds of one entry.
type Entry struct {
	Report    EntryReport
	State     State
	Suspicion Suspicion
	Since     time.Time
}

// Live reports whether the entry owns requests and limits.
func (e *Entry) Live() bool { return e.State == Ready }

// Snapshot is the view at one time. A member that joins, leaves or changes its
// state or place makes a new snapshot; a mere change of load does not, and is
// seen through the slots.
type Snapshot struct {
	// Version rises with each snapshot of a view.
	Version uint64
	// Targets are sorted by name; those that are gone are left out.
	Targets []*TargetRef
	// Entries are sorted by name; those that are gone are left out.
	Entries []Entry
	// LostZones are the zones whose members fell silent at once.
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
