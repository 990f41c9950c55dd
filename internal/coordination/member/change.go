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

// zoneState is the state of a zone in a view.
type zoneState struct {
	lost bool
	// pending holds silences that are not reported yet, because they may turn
	// out to be part of a zone failure.
	pending []Change
}
