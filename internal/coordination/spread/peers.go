package spread

import (
	"cmp"
	"slices"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/id"
)

// entriesByDistance returns the ready entries of the own zone and of others.
func (s *Spreader) entriesByDistance() (near, far []Peer) {
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

// ranked is an entry with its rendezvous score.
type ranked struct {
	report *member.EntryReport
	score  uint64
}

// rank returns the ready entries that keep lets through, best score first.
func rank(snapshot *member.Snapshot, key string, keep func(*member.EntryReport) bool) []ranked {
	var out []ranked
	for i := range snapshot.Entries {
		e := &snapshot.Entries[i]
		if e.State == member.Ready && keep(&e.Report) {
			out = append(out, ranked{&e.Report, id.RendezvousScore(key, string(e.Report.Entry))})
		}
	}
	slices.SortFunc(out, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.report.Entry, b.report.Entry))
	})
	return out
}

// IsWatcher reports whether this entry is one of those of its zone that watch
// the key-value service.
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

// entriesFor returns the entries that a target reports to: half of its zone,
// then of its region, and at least one of another region.
func (s *Spreader) entriesFor(target string, news *Update) []member.EntryReport {
	place := s.placeOf(target, news)
	all := rank(s.view.Snapshot(), "report/"+target, func(*member.EntryReport) bool { return true })
	var out []member.EntryReport
	add := func(upTo int, keep func(*member.EntryReport) bool) {
		for _, r := range all {
			if len(out) >= upTo {
				return
			}
			if keep(r.report) && !slices.ContainsFunc(out, func(o member.EntryReport) bool { return o.Entry == r.report.Entry }) {
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

// placeOf returns where a target is, by its report.
func (s *Spreader) placeOf(target string, news *Update) member.Place {
	for i := range news.Loads {
		if string(news.Loads[i].Target) == target {
			return news.Loads[i].Place
		}
	}
	report, _ := s.view.TargetReport(id.Target(target))
	return report.Place
}
