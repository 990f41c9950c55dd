package member

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// TargetReport returns the newest report of a target.
func (v *View) TargetReport(target id.Target) (TargetReport, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	t := v.targets[target]
	if t == nil {
		return TargetReport{}, false
	}
	return t.current.Report, true
}

// EntryReport returns the newest report of an entry.
func (v *View) EntryReport(entry id.Entry) (EntryReport, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.entries[entry]
	if e == nil {
		return EntryReport{}, false
	}
	return e.current.Report, true
}

// UnreachableEntries returns the entries that are suspect, or gone without
// having announced that they leave. They may be on the other side of a network
// partition.
func (v *View) UnreachableEntries() []EntryReport {
	v.mu.Lock()
	defer v.mu.Unlock()
	var unreachable []EntryReport
	for _, e := range v.entries {
		if !e.departing && (e.current.State == Suspect || e.current.State == Gone) {
			unreachable = append(unreachable, e.current.Report)
		}
	}
	return unreachable
}

// KnownEntries returns the number of entries that are neither leaving nor gone,
// including suspect ones.
func (v *View) KnownEntries() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := 0
	for _, e := range v.entries {
		if !e.departing && e.current.State != Gone {
			known++
		}
	}
	return known
}

// SetTimeouts sets how long an entry's report keeps it live, and the silence
// after which members are gone. Both have to grow with the number of members,
// because the heartbeat interval does.
func (v *View) SetTimeouts(entryTTL, goneAfter time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cfg.EntryTTL, v.cfg.GoneAfter = entryTTL, goneAfter
}
