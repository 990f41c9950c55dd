package member

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// judgeTarget sets t's state from all that is known at now.
func (v *View) judgeTarget(t *targetRecord, now time.Time) {
	state, suspicion := v.stateOf(t, now)
	if state == Suspect && suspicion == Silent && t.now.State == Ready {
		v.countSilence(t, now)
	}
	if state != t.now.State || suspicion != t.now.Suspicion {
		v.noteTarget(t, state, suspicion, now)
		t.now.State, t.now.Suspicion, t.now.Since = state, suspicion, now
		v.dirty = true
	}
	if state == Gone && t.goneAt.IsZero() {
		t.goneAt = now
	} else if state != Gone {
		t.goneAt = time.Time{}
	}
	t.fill()
	v.show(t, state != Gone)
}

// fill puts t into its slot when the slot holds an older judgement.
func (t *targetRecord) fill() {
	held := t.slot.Load()
	if held != nil && held.State == t.now.State && held.Suspicion == t.now.Suspicion &&
		held.Report.Incarnation == t.now.Report.Incarnation && held.Report.Sequence == t.now.Report.Sequence {
		return
	}
	shown := t.now
	t.slot.target.Store(&shown)
}

func (v *View) stateOf(t *targetRecord, now time.Time) (State, Suspicion) {
	r := &t.now.Report
	silence := now.Sub(r.At)
	switch {
	case r.State == Gone || silence >= v.cfg.GoneAfter:
		return Gone, NotSuspected
	case t.left || v.leavingHosts[r.Place.Host]:
		return Leaving, NotSuspected
	case !t.evidence.IsZero() && !r.At.After(t.evidence):
		return Suspect, Refused
	case silence >= v.cfg.ReportTTL:
		return Suspect, Silent
	case r.State == Joining:
		return Joining, NotSuspected
	case r.State != Ready:
		return Suspect, Silent
	case now.Before(t.now.HeldUntil):
		return Suspect, Flapping
	}
	return Ready, NotSuspected
}

// steadyReports is the number of reports in time after which silence counts.
const steadyReports = 3

// countSilence notes a silence of a steady target and holds it back when it
// has been silent too often.
func (v *View) countSilence(t *targetRecord, now time.Time) {
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
	t.now.Silences = len(t.silences)
	extra := len(t.silences) - v.cfg.FlapLimit
	if extra < 0 {
		return
	}
	hold := v.cfg.FlapHold << min(extra, 10)
	t.now.HeldUntil = now.Add(min(hold, v.cfg.FlapHoldMax))
}

// noteTarget records a change of state. A silence waits, since it may be the
// loss of its zone; the silence of a target that never reported steadily is
// no news.
func (v *View) noteTarget(t *targetRecord, to State, suspicion Suspicion, now time.Time) {
	change := Change{
		Kind: TargetChanged, Target: t.now.Report.Target, Zone: t.now.Report.Place.Zone,
		From: t.now.State, To: to, Suspicion: suspicion, At: now,
	}
	if to == Suspect && suspicion == Silent {
		if t.streak >= steadyReports {
			v.zone(change.Zone).pending = append(v.zone(change.Zone).pending, change)
		}
		return
	}
	v.note(change)
}

// note records a change unless it follows from the loss of its zone.
func (v *View) note(change Change) {
	if v.zone(change.Zone).lost && (change.To == Suspect || change.To == Gone) {
		return
	}
	v.changes = append(v.changes, change)
}

func (v *View) judgeEntry(e *entryRecord, now time.Time) {
	state, suspicion := v.stateOfEntry(e, now)
	if state != e.now.State || suspicion != e.now.Suspicion {
		v.noteEntry(e, state, suspicion, now)
		e.now.State, e.now.Suspicion, e.now.Since = state, suspicion, now
		v.dirty, v.dirtyEntries = true, true
	}
	if state == Gone && e.goneAt.IsZero() {
		e.goneAt = now
	} else if state != Gone {
		e.goneAt = time.Time{}
	}
}

func (v *View) noteEntry(e *entryRecord, to State, suspicion Suspicion, now time.Time) {
	r := &e.now.Report
	change := Change{
		Kind: EntryChanged, Entry: r.Entry, Zone: r.Place.Zone,
		From: e.now.State, To: to, Suspicion: suspicion, At: now,
	}
	if suspicion == Silent {
		v.zone(change.Zone).pending = append(v.zone(change.Zone).pending, change)
		return
	}
	v.note(change)
}

func (v *View) stateOfEntry(e *entryRecord, now time.Time) (State, Suspicion) {
	r := &e.now.Report
	silence := now.Sub(r.At)
	switch {
	case r.Entry == v.self && r.State == Ready && !v.leavingHosts[r.Place.Host]:
		return Ready, NotSuspected
	case r.State == Gone || silence >= v.cfg.GoneAfter:
		return Gone, NotSuspected
	case e.left || v.leavingHosts[r.Place.Host]:
		return Leaving, NotSuspected
	case !e.evidence.IsZero() && !r.At.After(e.evidence):
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
