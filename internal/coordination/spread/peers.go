package spread

import (
	"cmp"
	"slices"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/id"
)

// readyEntriesByZone returns the other ready entries: those of this process's
// zone and those of other zones.
func (s *Spreader) readyEntriesByZone() (near, far []Peer) {
	snapshot := s.view.Snapshot()
	for i := range snapshot.Entries {
		e := &snapshot.Entries[i]
		if e.State != member.Ready || e.Report.Entry == s.cfg.Entry {
			continue
		}
		peer := Peer{Name: string(e.Report.Entry), Address: e.Report.Address}
		if e.Report.Place.Zone == s.cfg.Place.Zone {
			near = append(near, peer)
		} else {
			far = append(far, peer)
		}
	}
	return near, far
}

// rankedEntry is an entry with its rendezvous hashing score.
type rankedEntry struct {
	report *member.EntryReport
	score  uint64
}

// rank returns the ready entries for which include is true, highest rendezvous
// score first.
func rank(snapshot *member.Snapshot, key string, include func(*member.EntryReport) bool) []rankedEntry {
	var out []rankedEntry
	for i := range snapshot.Entries {
		e := &snapshot.Entries[i]
		if e.State == member.Ready && include(&e.Report) {
			out = append(out, rankedEntry{&e.Report, id.RendezvousScore(key, string(e.Report.Entry))})
		}
	}
	slices.SortFunc(out, func(a, b rankedEntry) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.report.Entry, b.report.Entry))
	})
	return out
}

// IsWatcher reports whether this entry is one of the entries of its zone that
// watch the key-value service.
func (s *Spreader) IsWatcher() bool {
	best := rank(s.view.Snapshot(), "watch", func(r *member.EntryReport) bool {
		return r.Place.Zone == s.cfg.Place.Zone
	})
	for _, r := range best[:min(len(best), s.cfg.Watchers)] {
		if r.report.Entry == s.cfg.Entry {
			return true
		}
	}
	return false
}

// reportEntriesFor returns the entries that a target reports to: half of them
// in its own zone, then others in its region, and at least one in another
// region.
func (s *Spreader) reportEntriesFor(target string, update *Update) []member.EntryReport {
	place := s.placeOf(target, update)
	all := rank(s.view.Snapshot(), "report/"+target, func(*member.EntryReport) bool { return true })
	var out []member.EntryReport
	add := func(upTo int, include func(*member.EntryReport) bool) {
		for _, r := range all {
			if len(out) >= upTo {
				return
			}
			if include(r.report) && !slices.ContainsFunc(out, func(o member.EntryReport) bool { return o.Entry == r.report.Entry }) {
				out = append(out, *r.report)
			}
		}
	}
	n := s.cfg.ReportTo
	add(n/2, func(r *member.EntryReport) bool { return r.Place.Zone == place.Zone })
	add(n-1, func(r *member.EntryReport) bool { return r.Place.Region == place.Region })
	add(n, func(r *member.EntryReport) bool { return r.Place.Region != place.Region })
	add(n, func(*member.EntryReport) bool { return true })
	return out
}

// placeOf returns the location of a target from its report, preferring the one
// in update over the one in the view.
func (s *Spreader) placeOf(target string, update *Update) member.Place {
	for i := range update.Loads {
		if string(update.Loads[i].Target) == target {
			return update.Loads[i].Place
		}
	}
	report, _ := s.view.TargetReport(id.Target(target))
	return report.Place
}
