package member

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// View combines reports, the host list, direct evidence and silence. Its
// methods may be called from several goroutines; Snapshot takes no lock.
type View struct {
	cfg  Config
	self id.Entry

	mu           sync.Mutex
	targets      map[id.Target]*targetRecord
	entries      map[id.Entry]*entryRecord
	entryOrder   []*entryRecord
	zones        map[id.Zone]*zoneState
	changes      []Change
	hostsAt      time.Time
	leavingHosts map[id.Host]bool
	// dirty says that a state or place has changed, dirtyEntries an entry's.
	dirty        bool
	dirtyEntries bool
	// shown are the slots of the snapshot, by name; it is copied to be changed.
	shown []*TargetRef

	snapshot atomic.Pointer[Snapshot]
}

// targetRecord is the changing state behind a slot.
type targetRecord struct {
	slot *TargetRef
	now  Target
	// shown says that the snapshot has the slot.
	shown bool
	// evidence is when a connection was last refused or cut.
	evidence time.Time
	// left says that this incarnation said it leaves; it stays so.
	left bool
	// streak counts the reports that came in time, one after another. Only a
	// target that reports steadily is missed when it falls silent.
	streak   int
	silences []time.Time
	goneAt   time.Time
}

type entryRecord struct {
	name     id.Entry
	now      Entry
	evidence time.Time
	left     bool
	goneAt   time.Time
}

// NewView returns an empty view. Self is the entry that holds it, which never
// suspects itself; empty at a target process.
func NewView(cfg Config, self id.Entry) *View {
	cfg.Defaults()
	v := &View{
		cfg:     cfg,
		self:    self,
		targets: map[id.Target]*targetRecord{},
		entries: map[id.Entry]*entryRecord{},
		zones:   map[id.Zone]*zoneState{},
	}
	v.snapshot.Store(&Snapshot{})
	return v
}

// Snapshot returns the view as it stands, without a lock.
func (v *View) Snapshot() *Snapshot { return v.snapshot.Load() }

// Targets returns a copy of what the view holds of each target.
func (v *View) Targets() []Target {
	slots := v.Snapshot().Targets
	out := make([]Target, len(slots))
	for i, s := range slots {
		out[i] = *s.Load()
	}
	return out
}

// Entries returns what the view holds of each entry. It must not be changed.
func (v *View) Entries() []Entry { return v.Snapshot().Entries }

// UpdateTarget takes over a report and returns whether it was news. An older report
// than the last one, or one of a gone incarnation, is ignored.
func (v *View) UpdateTarget(report TargetReport, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	t := v.targets[report.Target]
	if t == nil {
		t = &targetRecord{slot: &TargetRef{name: report.Target}}
		t.now.State = Joining
		t.now.Since = now
		v.targets[report.Target] = t
	} else if !t.accepts(&report) {
		return false
	}
	if report.Incarnation != t.now.Report.Incarnation {
		t.left, t.streak = false, 0
		v.dirty = true
	}
	v.dirty = v.dirty || moved(&t.now.Report, &report)
	if report.At.Before(t.now.Expires) {
		t.streak++
	} else {
		t.streak = 1
	}
	t.left = t.left || report.State == Leaving || report.State == Gone
	t.now.Report = report
	t.now.Expires = report.At.Add(v.cfg.ReportTTL)
	v.judgeTarget(t, now)
	v.publish()
	return true
}

// accepts reports whether r may take the place of what is known.
func (t *targetRecord) accepts(r *TargetReport) bool {
	if !r.Newer(&t.now.Report) {
		return false
	}
	if t.now.State != Gone || r.Incarnation > t.now.Report.Incarnation {
		return true
	}
	// A target that said it left does not come back; one that was only silent
	// does, with a report that was made after it was given up.
	return !t.left && r.At.After(t.goneAt)
}

// moved reports whether something other than the load has changed.
func moved(old, report *TargetReport) bool {
	return old.Model != report.Model || old.Version != report.Version || old.Role != report.Role ||
		old.Address != report.Address || old.Place != report.Place || old.Slots != report.Slots ||
		old.Service != report.Service || !slices.Equal(old.Adapters, report.Adapters)
}

// UpdateEntry takes over a report and returns whether it was news.
func (v *View) UpdateEntry(report EntryReport, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.entries[report.Entry]
	if e == nil {
		e = &entryRecord{name: report.Entry}
		e.now.State = Joining
		e.now.Since = now
		v.entries[report.Entry] = e
		v.entryOrder = slices.Insert(v.entryOrder, v.placeOf(e.name), e)
	} else if !e.accepts(&report) {
		return false
	}
	if report.Incarnation != e.now.Report.Incarnation {
		e.left = false
	}
	old := &e.now.Report
	if old.Address != report.Address || old.Revision != report.Revision || old.Place != report.Place {
		v.dirty, v.dirtyEntries = true, true
	}
	e.left = e.left || report.State == Leaving || report.State == Gone
	e.now.Report = report
	v.judgeEntry(e, now)
	v.publish()
	return true
}

func (e *entryRecord) accepts(r *EntryReport) bool {
	if !r.Newer(&e.now.Report) {
		return false
	}
	if e.now.State != Gone || r.Incarnation > e.now.Report.Incarnation {
		return true
	}
	return !e.left && r.At.After(e.goneAt)
}

// MarkTargetReachable notes that the target itself answered at now, which ends a suspicion
// by evidence.
func (v *View) MarkTargetReachable(target id.Target, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if t := v.targets[target]; t != nil && !t.evidence.IsZero() {
		t.evidence = time.Time{}
		v.judgeTarget(t, now)
		v.publish()
	}
}

// MarkTargetUnreachable notes that the target refused or cut a connection at now. It is suspect
// until it is heard again or sends a report that was made later.
func (v *View) MarkTargetUnreachable(target id.Target, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if t := v.targets[target]; t != nil {
		t.evidence = now
		v.judgeTarget(t, now)
		v.publish()
	}
}

// MarkEntryUnreachable notes that an entry refused or cut a connection at now.
func (v *View) MarkEntryUnreachable(entry id.Entry, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if e := v.entries[entry]; e != nil {
		e.evidence = now
		v.judgeEntry(e, now)
		v.publish()
	}
}

// Tick judges silence at now and returns the changes since the last Tick.
func (v *View) Tick(now time.Time) []Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, t := range v.targets {
		v.judgeTarget(t, now)
		if t.now.State == Gone && now.Sub(t.goneAt) > v.cfg.ForgetAfter {
			delete(v.targets, name)
		}
	}
	for name, e := range v.entries {
		v.judgeEntry(e, now)
		if e.now.State == Gone && now.Sub(e.goneAt) > v.cfg.ForgetAfter {
			delete(v.entries, name)
			at := v.placeOf(name)
			v.entryOrder = slices.Delete(v.entryOrder, at, at+1)
		}
	}
	v.judgeZones(now)
	v.publish()
	changes := v.changes
	v.changes = nil
	return changes
}

// publish makes a new snapshot when more than loads have changed.
func (v *View) publish() {
	if !v.dirty {
		return
	}
	last := v.snapshot.Load()
	next := &Snapshot{Version: last.Version + 1, Targets: v.shown, Entries: last.Entries}
	if v.dirtyEntries {
		next.Entries = v.sortedEntries()
	}
	for _, zone := range slices.Sorted(maps.Keys(v.zones)) {
		if v.zones[zone].lost {
			next.LostZones = append(next.LostZones, zone)
		}
	}
	v.dirty, v.dirtyEntries = false, false
	v.snapshot.Store(next)
}

// show adds a target's slot to those of the snapshot, or takes it out.
func (v *View) show(t *targetRecord, shown bool) {
	if t.shown == shown {
		return
	}
	t.shown = shown
	at, _ := slices.BinarySearchFunc(v.shown, t.slot.name, func(s *TargetRef, name id.Target) int {
		return cmp.Compare(s.name, name)
	})
	next := make([]*TargetRef, 0, len(v.shown)+1)
	next = append(next, v.shown[:at]...)
	if shown {
		next = append(next, t.slot)
	} else {
		at++
	}
	v.shown = append(next, v.shown[at:]...)
	v.dirty = true
}

// sortedEntries returns the entries of the next snapshot.
func (v *View) sortedEntries() []Entry {
	out := make([]Entry, 0, len(v.entryOrder))
	for _, e := range v.entryOrder {
		if e.now.State != Gone {
			out = append(out, e.now)
		}
	}
	return out
}

// placeOf returns where an entry is, or goes, in the order of names.
func (v *View) placeOf(name id.Entry) int {
	at, _ := slices.BinarySearchFunc(v.entryOrder, name, func(e *entryRecord, name id.Entry) int {
		return cmp.Compare(e.name, name)
	})
	return at
}
