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
	return t.now.Report, true
}

// EntryReport returns the newest report of an entry.
func (v *View) EntryReport(entry id.Entry) (EntryReport, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.entries[entry]
	if e == nil {
		return EntryReport{}, false
	}
	return e.now.Report, true
}

// UnreachableEntries returns the entries that are suspect, or gone without having
// said that they leave. They may be on the other side of a partition.
func (v *View) UnreachableEntries() []EntryReport {
	v.mu.Lock()
	defer v.mu.Unlock()
	var lost []EntryReport
	for _, e := range v.entries {
		if !e.left && (e.now.State == Suspect || e.now.State == Gone) {
			lost = append(lost, e.now.Report)
		}
	}
	return lost
}

// KnownEntries returns the number of entries that are live or lost.
func (v *View) KnownEntries() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := 0
	for _, e := range v.entries {
		if !e.left && e.now.State != Gone {
			known++
		}
	}
	return known
}

// SetTimeouts sets how long an entry's report makes it live, and after which
// silence members are gone. They grow with the deployment, as heartbeats do.
func (v *View) SetTimeouts(entryLife, goneAfter time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cfg.EntryTTL, v.cfg.GoneAfter = entryLife, goneAfter
}
