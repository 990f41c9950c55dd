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

// View combines reports, the host list, connection failures and silence into
// the state of each member. It is safe for concurrent use, and Snapshot takes
// no lock.
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
	// dirty says that a member's state or location has changed since the last
	// snapshot, dirtyEntries that an entry's has.
	dirty        bool
	dirtyEntries bool
	// targetRefs are the targets of the snapshot, sorted by name. The slice is
	// replaced, not modified, because snapshots share it.
	targetRefs []*TargetRef

	snapshot atomic.Pointer[Snapshot]
}

// targetRecord is the mutable state of a target.
type targetRecord struct {
	ref     *TargetRef
	current Target
	// inSnapshot says that the target is part of the snapshot.
	inSnapshot bool
	// unreachableAt is when the target last refused or closed a connection.
	unreachableAt time.Time
	// departing says that this incarnation has announced that it leaves. It is
	// never reset within the incarnation.
	departing bool
	// streak is the number of consecutive reports that arrived in time. Silence
	// counts only for a target that has reported steadily.
	streak   int
	silences []time.Time
	goneAt   time.Time
}

type entryRecord struct {
	name          id.Entry
	current       Entry
	unreachableAt time.Time
	departing     bool
	goneAt        time.Time
}

// NewView returns an empty view. self is the entry that owns the view, which
// never suspects itself; it is empty in a target process.
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

// Snapshot returns the current state of the view, without taking a lock.
func (v *View) Snapshot() *Snapshot { return v.snapshot.Load() }

// Targets returns a copy of the state of each target.
func (v *View) Targets() []Target {
	refs := v.Snapshot().Targets
	out := make([]Target, len(refs))
	for i, ref := range refs {
		out[i] = *ref.Load()
	}
	return out
}

// Entries returns the state of each entry. Callers must not modify it.
func (v *View) Entries() []Entry { return v.Snapshot().Entries }

// UpdateTarget applies a report and returns whether it was newer than the last
// one. Older reports and reports of a gone incarnation are ignored.
func (v *View) UpdateTarget(report TargetReport, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	t := v.targets[report.Target]
	if t == nil {
		t = &targetRecord{ref: &TargetRef{name: report.Target}}
		t.current.State = Joining
		t.current.Since = now
		v.targets[report.Target] = t
	} else if !t.accepts(&report) {
		return false
	}
	if report.Incarnation != t.current.Report.Incarnation {
		t.departing, t.streak = false, 0
		v.dirty = true
	}
	v.dirty = v.dirty || changedBeyondLoad(&t.current.Report, &report)
	if report.At.Before(t.current.Expires) {
		t.streak++
	} else {
		t.streak = 1
	}
	t.departing = t.departing || report.State == Leaving || report.State == Gone
	t.current.Report = report
	t.current.Expires = report.At.Add(v.cfg.ReportTTL)
	v.evaluateTarget(t, now)
	v.publish()
	return true
}

// accepts reports whether r may replace the current report.
func (t *targetRecord) accepts(r *TargetReport) bool {
	if !r.Newer(&t.current.Report) {
		return false
	}
	if t.current.State != Gone || r.Incarnation > t.current.Report.Incarnation {
		return true
	}
	// A target that announced its departure does not come back. One that was
	// only silent does, with a report made after the target was declared gone.
	return !t.departing && r.At.After(t.goneAt)
}

// changedBeyondLoad reports whether anything but the load has changed.
func changedBeyondLoad(old, report *TargetReport) bool {
	return old.Model != report.Model || old.Version != report.Version || old.Role != report.Role ||
		old.Address != report.Address || old.Place != report.Place || old.Slots != report.Slots ||
		old.Service != report.Service || !slices.Equal(old.Adapters, report.Adapters)
}

// UpdateEntry applies a report and returns whether it was newer than the last
// one.
func (v *View) UpdateEntry(report EntryReport, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.entries[report.Entry]
	if e == nil {
		e = &entryRecord{name: report.Entry}
		e.current.State = Joining
		e.current.Since = now
		v.entries[report.Entry] = e
		v.entryOrder = slices.Insert(v.entryOrder, v.entryIndex(e.name), e)
	} else if !e.accepts(&report) {
		return false
	}
	if report.Incarnation != e.current.Report.Incarnation {
		e.departing = false
	}
	old := &e.current.Report
	if old.Address != report.Address || old.Revision != report.Revision || old.Place != report.Place {
		v.dirty, v.dirtyEntries = true, true
	}
	e.departing = e.departing || report.State == Leaving || report.State == Gone
	e.current.Report = report
	v.evaluateEntry(e, now)
	v.publish()
	return true
}

func (e *entryRecord) accepts(r *EntryReport) bool {
	if !r.Newer(&e.current.Report) {
		return false
	}
	if e.current.State != Gone || r.Incarnation > e.current.Report.Incarnation {
		return true
	}
	return !e.departing && r.At.After(e.goneAt)
}

// MarkTargetReachable records that the target itself answered at now. This ends
// a suspicion that a failed connection has caused.
func (v *View) MarkTargetReachable(target id.Target, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if t := v.targets[target]; t != nil && !t.unreachableAt.IsZero() {
		t.unreachableAt = time.Time{}
		v.evaluateTarget(t, now)
		v.publish()
	}
}

// MarkTargetUnreachable records that the target refused or closed a connection
// at now. The target is suspect until it answers or sends a report made after
// that time.
func (v *View) MarkTargetUnreachable(target id.Target, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if t := v.targets[target]; t != nil {
		t.unreachableAt = now
		v.evaluateTarget(t, now)
		v.publish()
	}
}

// MarkEntryUnreachable records that an entry refused or closed a connection at
// now.
func (v *View) MarkEntryUnreachable(entry id.Entry, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if e := v.entries[entry]; e != nil {
		e.unreachableAt = now
		v.evaluateEntry(e, now)
		v.publish()
	}
}

// Tick evaluates silence at now and returns the changes since the last Tick.
func (v *View) Tick(now time.Time) []Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, t := range v.targets {
		v.evaluateTarget(t, now)
		if t.current.State == Gone && now.Sub(t.goneAt) > v.cfg.ForgetAfter {
			delete(v.targets, name)
		}
	}
	for name, e := range v.entries {
		v.evaluateEntry(e, now)
		if e.current.State == Gone && now.Sub(e.goneAt) > v.cfg.ForgetAfter {
			delete(v.entries, name)
			at := v.entryIndex(name)
			v.entryOrder = slices.Delete(v.entryOrder, at, at+1)
		}
	}
	v.evaluateZones(now)
	v.publish()
	changes := v.changes
	v.changes = nil
	return changes
}

// publish stores a new snapshot if more than the load has changed.
func (v *View) publish() {
	if !v.dirty {
		return
	}
	last := v.snapshot.Load()
	next := &Snapshot{Version: last.Version + 1, Targets: v.targetRefs, Entries: last.Entries}
	if v.dirtyEntries {
		next.Entries = v.snapshotEntries()
	}
	for _, zone := range slices.Sorted(maps.Keys(v.zones)) {
		if v.zones[zone].lost {
			next.LostZones = append(next.LostZones, zone)
		}
	}
	v.dirty, v.dirtyEntries = false, false
	v.snapshot.Store(next)
}

// setInSnapshot adds a target to the targets of the snapshot, or removes it.
func (v *View) setInSnapshot(t *targetRecord, present bool) {
	if t.inSnapshot == present {
		return
	}
	t.inSnapshot = present
	at, _ := slices.BinarySearchFunc(v.targetRefs, t.ref.name, func(ref *TargetRef, name id.Target) int {
		return cmp.Compare(ref.name, name)
	})
	next := make([]*TargetRef, 0, len(v.targetRefs)+1)
	next = append(next, v.targetRefs[:at]...)
	if present {
		next = append(next, t.ref)
	} else {
		at++
	}
	v.targetRefs = append(next, v.targetRefs[at:]...)
	v.dirty = true
}

// snapshotEntries returns the entries of the next snapshot.
func (v *View) snapshotEntries() []Entry {
	out := make([]Entry, 0, len(v.entryOrder))
	for _, e := range v.entryOrder {
		if e.current.State != Gone {
			out = append(out, e.current)
		}
	}
	return out
}

// entryIndex returns the index of an entry in entryOrder, or the index at which
// it is to be inserted.
func (v *View) entryIndex(name id.Entry) int {
	at, _ := slices.BinarySearchFunc(v.entryOrder, name, func(e *entryRecord, name id.Entry) int {
		return cmp.Compare(e.name, name)
	})
	return at
}
