package member

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// ChangeKind says what changed in a view.
type ChangeKind string

// Kinds of changes.
const (
	TargetChanged ChangeKind = "targetChanged"
	EntryChanged  ChangeKind = "entryChanged"
	ZoneLost      ChangeKind = "zoneLost"
	ZoneRecovered ChangeKind = "zoneBack"
)

// Change is one change of a view, to be logged and acted on.
type Change struct {
	Kind      ChangeKind
	Target    id.Target
	Entry     id.Entry
	Zone      id.Zone
	From      State
	To        State
	Suspicion Suspicion
	At        time.Time
	// Members is the number of silent members of a lost zone.
	Members int
}

// zoneState is what a view holds of a zone.
type zoneState struct {
	lost bool
	// pending are silences not yet told; they may be the zone's loss.
	pending []Change
}
