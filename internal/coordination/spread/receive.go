package spread

import (
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/id"
)

// membersPerPart bounds the reports in one answer to WantMembers.
const membersPerPart = 100

// maxWants bounds the keys that one message asks for.
const maxWants = 32

// Receive takes over a peer's news and returns the answer.
func (s *Spreader) Receive(news Update, now time.Time) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	fromEntry := news.Self != nil || s.isEntry(news.From.Name)
	waiting := s.wants
	if !fromEntry {
		s.wants = nil
	}
	s.take(&news, now)
	reply := Update{From: s.sender()}
	if fromEntry {
		reply.Quarantines = s.quarantineNews(now)
	} else if report, ok := s.view.TargetReport(id.Target(news.From.Name)); ok {
		reply.HostLeaving = s.view.HostLeaving(report.Place.Host)
	}
	if news.From.Revision < s.config.current.Revision {
		reply.Changes, reply.Snapshot = s.config.since(news.From.Revision)
	}
	s.addWanted(&reply, news.Wants)
	if news.WantMembers > 0 {
		s.addMembers(&reply, news.WantMembers)
	} else if fromEntry && s.cfg.Entry != "" {
		s.fill(&reply, news.From.Name)
	}
	if news.WantEntries && s.cfg.Entry != "" {
		reply.KnownEntries = append(reply.KnownEntries, s.entriesFor(news.From.Name, &news)...)
	}
	if s.cfg.Entry != "" && (news.Self != nil || news.WantEntries) {
		reply.Self = s.selfNow(now)
	}
	if !fromEntry {
		// A target's own report is asked of the target; all else is asked of an
		// entry, with the next round.
		reply.Wants, s.wants = s.wants, waiting
	}
	return reply
}

func (s *Spreader) isEntry(name string) bool {
	_, ok := s.view.EntryReport(id.Entry(name))
	return ok
}

// HandleReply takes over a peer's answer. Now is when the request was sent for
// the times in reply, which its conversion has set already.
func (s *Spreader) HandleReply(to Peer, reply Update, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.take(&reply, now)
	if s.cfg.Target != "" {
		s.answeredTarget(to, &reply, now)
		return
	}
	switch {
	case reply.MoreMembers > 0:
		s.joinFrom = reply.MoreMembers
		if s.joinPeer.Address == "" && reply.Self != nil {
			s.joinPeer = Peer{Name: string(reply.Self.Entry), Address: reply.Self.Address}
		}
	case reply.Self != nil && (to == s.joinPeer || (!s.joined && to.Name == "")):
		s.walked(now)
	}
}

// answeredTarget takes over which entries the target reports to.
func (s *Spreader) answeredTarget(to Peer, reply *Update, now time.Time) {
	if len(reply.Wants) == 0 && to.Name != "" {
		s.ownSent[to.Name] = s.own.Sequence
	} else {
		delete(s.ownSent, to.Name)
	}
	s.leaving = s.leaving || reply.HostLeaving
	if len(reply.KnownEntries) == 0 {
		return
	}
	s.reportTo = s.reportTo[:0]
	for i := range reply.KnownEntries {
		e := &reply.KnownEntries[i]
		s.reportTo = append(s.reportTo, Peer{Name: string(e.Entry), Address: e.Address})
	}
	s.askedAt = now
	s.joined = true
	if len(s.reportTo) > 0 && to.Name == "" {
		s.ownUrgent = true
	}
}

// HandleFailure notes that a peer did not answer.
func (s *Spreader) HandleFailure(to Peer, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if to == s.joinPeer {
		s.joinPeer = Peer{}
	}
	if s.cfg.Target == "" {
		s.view.MarkEntryUnreachable(id.Entry(to.Name), now)
		return
	}
	delete(s.ownSent, to.Name)
	for i := range s.reportTo {
		if s.reportTo[i] == to {
			s.reportTo = append(s.reportTo[:i], s.reportTo[i+1:]...)
			break
		}
	}
	// The entries that are left know who takes the lost one's place.
	s.askedAt = time.Time{}
}

// take takes over all that news says.
func (s *Spreader) take(news *Update, now time.Time) {
	if news.From.Name != "" {
		s.revisions[news.From.Name] = news.From.Revision
	}
	rose := s.config.apply(news.Changes)
	rose = s.config.replace(news.Snapshot) || rose
	s.noteRise(rose)
	if news.From.Revision > s.config.current.Revision {
		s.behind = news.From.Name
	}
	for _, q := range news.Quarantines {
		s.addQuarantine(q, now)
	}
	if s.cfg.Target != "" {
		return
	}
	if news.Self != nil {
		s.takeEntry(*news.Self, now, own)
	}
	for i := range news.Entries {
		s.takeEntry(news.Entries[i], now, passOn)
	}
	for i := range news.Loads {
		s.takeLoad(news.Loads[i], now, passOn)
	}
	for i := range news.KnownEntries {
		s.takeEntry(news.KnownEntries[i], now, known)
	}
	for i := range news.KnownLoads {
		s.takeLoad(news.KnownLoads[i], now, known)
	}
	for _, d := range news.EntryDigests {
		s.takeEntryDigest(d, now)
	}
	for _, d := range news.LoadDigests {
		s.takeLoadDigest(d, now)
	}
}

// source is where a report comes from, which says whether it is passed on.
type source uint8

const (
	// own reports come from the entry itself, which spreads its heartbeats.
	own source = iota
	passOn
	known
)

func (s *Spreader) takeEntry(report member.EntryReport, now time.Time, from source) {
	if s.cfg.Target != "" || report.Entry == s.cfg.Entry {
		return
	}
	old, held := s.view.EntryReport(report.Entry)
	if !s.view.UpdateEntry(report, now) {
		return
	}
	if report.State == member.Gone {
		s.records.drop(EntryKey(&report))
	}
	s.revisions[string(report.Entry)] = max(s.revisions[string(report.Entry)], report.Revision)
	changed := !held || old.State != report.State || old.Incarnation != report.Incarnation || old.Address != report.Address
	rec := s.records.of("", report.Entry, EntryKey(&report))
	if from == known || (from == own && !changed) {
		rec.sequence = report.Sequence
		return
	}
	rec.note(report.Sequence, now, 0, changed)
}

func (s *Spreader) takeEntryDigest(d EntryDigest, now time.Time) {
	rec := s.records.byKey[d.Key]
	if rec == nil || rec.entry == "" {
		s.want(d.Key)
		return
	}
	if d.Sequence <= rec.sequence || rec.entry == s.cfg.Entry {
		return
	}
	report, ok := s.view.EntryReport(rec.entry)
	if !ok || report.State != member.Ready {
		s.want(d.Key)
		return
	}
	report.Sequence, report.At, report.Revision = d.Sequence, d.At, d.Revision
	if s.view.UpdateEntry(report, now) {
		s.revisions[string(rec.entry)] = max(s.revisions[string(rec.entry)], d.Revision)
		rec.note(d.Sequence, now, 0, false)
	}
}

func (s *Spreader) takeLoad(report member.TargetReport, now time.Time, from source) {
	old, held := s.view.TargetReport(report.Target)
	if !s.view.UpdateTarget(report, now) {
		s.noteHeld(&old, held, &report)
		return
	}
	changed := !held || !sameKind(&old, &report)
	rec := s.records.of(report.Target, "", TargetKey(&report))
	if from == known {
		rec.sequence, rec.newsAt = report.Sequence, now
		return
	}
	rec.note(report.Sequence, now, loadNewsEvery(s.records.targets), changed)
}

// noteHeld makes the record of a report that the view has from elsewhere, such
// as the target's own replies. Without it each digest of the target would be
// asked for again and never taken.
func (s *Spreader) noteHeld(old *member.TargetReport, held bool, report *member.TargetReport) {
	key := TargetKey(report)
	if !held || TargetKey(old) != key || s.records.byKey[key] != nil {
		return
	}
	s.records.of(report.Target, "", key).sequence = old.Sequence
}

func (s *Spreader) takeLoadDigest(d LoadDigest, now time.Time) {
	rec := s.records.byKey[d.Key]
	if rec == nil || rec.target == "" {
		s.want(d.Key)
		return
	}
	if d.Sequence <= rec.sequence {
		return
	}
	report, ok := s.view.TargetReport(rec.target)
	if !ok || report.State != member.Ready {
		s.want(d.Key)
		return
	}
	report.Sequence, report.At = d.Sequence, d.At
	report.Running, report.Queued, report.ShortRunning = d.Running, d.Queued, d.ShortRunning
	report.Pace, report.QueuedPrefill = d.Pace, d.QueuedPrefill
	if s.view.UpdateTarget(report, now) {
		rec.note(d.Sequence, now, loadNewsEvery(s.records.targets), false)
	}
}

func (s *Spreader) want(key Key) {
	if len(s.wants) < maxWants && !slices.Contains(s.wants, key) {
		s.wants = append(s.wants, key)
	}
}

// addWanted adds the whole reports of the wanted keys.
func (s *Spreader) addWanted(reply *Update, wants []Key) {
	for _, key := range wants[:min(len(wants), maxWants)] {
		rec := s.records.byKey[key]
		if rec == nil {
			continue
		}
		if rec.entry != "" {
			if report, ok := s.view.EntryReport(rec.entry); ok {
				reply.KnownEntries = append(reply.KnownEntries, report)
			}
		} else if report, ok := s.view.TargetReport(rec.target); ok {
			reply.KnownLoads = append(reply.KnownLoads, report)
		}
	}
}

// addMembers adds a part of all members, from a position on.
func (s *Spreader) addMembers(reply *Update, from int) {
	snapshot := s.view.Snapshot()
	total := len(snapshot.Entries) + len(snapshot.Targets)
	i := from - 1
	for ; i < min(total, from-1+membersPerPart); i++ {
		if i < len(snapshot.Entries) {
			reply.KnownEntries = append(reply.KnownEntries, snapshot.Entries[i].Report)
		} else {
			reply.KnownLoads = append(reply.KnownLoads, snapshot.Targets[i-len(snapshot.Entries)].Load().Report)
		}
	}
	if i < total {
		reply.MoreMembers = i + 1
	}
}

// ObserveSender takes over who sent a message of another protocol: a higher revision
// makes this process ask for it.
func (s *Spreader) ObserveSender(from Sender) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from.Name == "" {
		return
	}
	s.revisions[from.Name] = max(s.revisions[from.Name], from.Revision)
	if from.Revision > s.config.current.Revision {
		s.behind = from.Name
	}
}
