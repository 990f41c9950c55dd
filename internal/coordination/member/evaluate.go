package member

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// evaluateTarget updates t's state from its report, the host list and failures
// at now.
func (v *View) evaluateTarget(t *targetRecord, now time.Time) {
	state, suspicion := v.stateOf(t, now)
	if state == Suspect && suspicion == Silent && t.current.State == Ready {
		v.recordSilence(t, now)
	}
	if state != t.current.State || suspicion != t.current.Suspicion {
		v.recordTargetChange(t, state, suspicion, now)
		t.current.State, t.current.Suspicion, t.current.Since = state, suspicion, now
		v.dirty = true
	}
	if state == Gone && t.goneAt.IsZero() {
		t.goneAt = now
	} else if state != Gone {
		t.goneAt = time.Time{}
	}
	t.storeRef()
	v.setInSnapshot(t, state != Gone)
}

// storeRef stores t in its TargetRef, unless the TargetRef already holds the
// same report and state.
func (t *targetRecord) storeRef() {
	old := t.ref.Load()
	if old != nil && old.State == t.current.State && old.Suspicion == t.current.Suspicion &&
		old.Report.Incarnation == t.current.Report.Incarnation && old.Report.Sequence == t.current.Report.Sequence {
		return
	}
	stored := t.current
	t.ref.target.Store(&stored)
}

func (v *View) stateOf(t *targetRecord, now time.Time) (State, Suspicion) {
	r := &t.current.Report
	silence := now.Sub(r.At)
	switch {
	case r.State == Gone || silence >= v.cfg.GoneAfter:
		return Gone, NotSuspected
	case t.departing || v.leavingHosts[r.Place.Host]:
		return Leaving, NotSuspected
	case !t.unreachableAt.IsZero() && !r.At.After(t.unreachableAt):
		return Suspect, Refused
	case silence >= v.cfg.ReportTTL:
		return Suspect, Silent
	case r.State == Joining:
		return Joining, NotSuspected
	case r.State != Ready:
		return Suspect, Silent
	case now.Before(t.current.HeldUntil):
		return Suspect, Flapping
	}
	return Ready, NotSuspected
}

// steadyReports is the number of consecutive timely reports after which a
// silence counts. A target that has not reported steadily is not counted as
// flapping or as part of a zone failure.
const steadyReports = 3

// recordSilence records that a steadily reporting target fell silent. If that
// happened too often within the flap window, the target is held back for a time
// that doubles with each further silence, up to a maximum.
func (v *View) recordSilence(t *targetRecord, now time.Time) {
	if t.streak < steadyReports {
		return
	}
	keep := t.silences[:0]
	for _, at := range t.silences {
		if now.Sub(at) < v.cfg.FlapWindow {
			keep = append(keep, at)
		}
	}
	t.silences = append(keep, now)
	t.current.Silences = len(t.silences)
	extra := len(t.silences) - v.cfg.FlapLimit
	if extra < 0 {
		return
	}
	hold := v.cfg.FlapHold << min(extra, 10)
	t.current.HeldUntil = now.Add(min(hold, v.cfg.FlapHoldMax))
}

// recordTargetChange records a change of state. A silence is held back in the
// zone's pending list at first, because it may be part of a zone failure. The
// silence of a target that has not reported steadily is not recorded.
func (v *View) recordTargetChange(t *targetRecord, to State, suspicion Suspicion, now time.Time) {
	change := Change{
		Kind: TargetChanged, Target: t.current.Report.Target, Zone: t.current.Report.Place.Zone,
		From: t.current.State, To: to, Suspicion: suspicion, At: now,
	}
	if to == Suspect && suspicion == Silent {
		if t.streak >= steadyReports {
			v.zone(change.Zone).pending = append(v.zone(change.Zone).pending, change)
		}
		return
	}
	v.recordChange(change)
}

// recordChange records a change unless it is a consequence of the loss of its
// zone.
func (v *View) recordChange(change Change) {
	if v.zone(change.Zone).lost && (change.To == Suspect || change.To == Gone) {
		return
	}
	v.changes = append(v.changes, change)
}

func (v *View) evaluateEntry(e *entryRecord, now time.Time) {
	state, suspicion := v.stateOfEntry(e, now)
	if state != e.current.State || suspicion != e.current.Suspicion {
		v.recordEntryChange(e, state, suspicion, now)
		e.current.State, e.current.Suspicion, e.current.Since = state, suspicion, now
		v.dirty, v.dirtyEntries = true, true
	}
	if state == Gone && e.goneAt.IsZero() {
		e.goneAt = now
	} else if state != Gone {
		e.goneAt = time.Time{}
	}
}

func (v *View) recordEntryChange(e *entryRecord, to State, suspicion Suspicion, now time.Time) {
	r := &e.current.Report
	change := Change{
		Kind: EntryChanged, Entry: r.Entry, Zone: r.Place.Zone,
		From: e.current.State, To: to, Suspicion: suspicion, At: now,
	}
	if suspicion == Silent {
		v.zone(change.Zone).pending = append(v.zone(change.Zone).pending, change)
		return
	}
	v.recordChange(change)
}

func (v *View) stateOfEntry(e *entryRecord, now time.Time) (State, Suspicion) {
	r := &e.current.Report
	silence := now.Sub(r.At)
	switch {
	case r.Entry == v.self && r.State == Ready && !v.leavingHosts[r.Place.Host]:
		return Ready, NotSuspected
	case r.State == Gone || silence >= v.cfg.GoneAfter:
		return Gone, NotSuspected
	case e.departing || v.leavingHosts[r.Place.Host]:
		return Leaving, NotSuspected
	case !e.unreachableAt.IsZero() && !r.At.After(e.unreachableAt):
		return Suspect, Refused
	case silence >= v.cfg.EntryTTL:
		return Suspect, Silent
	case r.State == Joining:
		return Joining, NotSuspected
	}
	return Ready, NotSuspected
}

func (v *View) zone(name id.Zone) *zoneState {
	z := v.zones[name]
	if z == nil {
		z = &zoneState{}
		v.zones[name] = z
	}
	return z
}
