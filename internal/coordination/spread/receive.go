package spread

import (
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/id"
)

// membersPerPage limits the reports in one answer to WantMembers.
const membersPerPage = 100

// maxWantedKeys limits the keys whose full reports one message requests.
const maxWantedKeys = 32

// Receive applies a peer's update and returns the reply.
func (s *Spreader) Receive(update Update, now time.Time) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	fromEntry := update.Self != nil || s.isEntry(update.From.Name)
	waiting := s.wantedKeys
	if !fromEntry {
		s.wantedKeys = nil
	}
	s.apply(&update, now)
	reply := Update{From: s.sender()}
	if fromEntry {
		reply.Quarantines = s.pendingQuarantines(now)
	} else if report, ok := s.view.TargetReport(id.Target(update.From.Name)); ok {
		reply.HostLeaving = s.view.HostLeaving(report.Place.Host)
	}
	if update.From.Revision < s.config.current.Revision {
		reply.Changes, reply.Snapshot = s.config.since(update.From.Revision)
	}
	s.addWantedReports(&reply, update.Wants)
	if update.WantMembers > 0 {
		s.addMemberPage(&reply, update.WantMembers)
	} else if fromEntry && s.cfg.Entry != "" {
		s.addReports(&reply, update.From.Name)
	}
	if update.WantEntries && s.cfg.Entry != "" {
		reply.KnownEntries = append(reply.KnownEntries, s.reportEntriesFor(update.From.Name, &update)...)
	}
	if s.cfg.Entry != "" && (update.Self != nil || update.WantEntries) {
		reply.Self = s.selfReport(now)
	}
	if !fromEntry {
		// A target is asked only for its own report. Reports of other members
		// are requested from an entry in the next round.
		reply.Wants, s.wantedKeys = s.wantedKeys, waiting
	}
	return reply
}

func (s *Spreader) isEntry(name string) bool {
	_, ok := s.view.EntryReport(id.Entry(name))
	return ok
}

// HandleReply applies a peer's reply. now is the time at which the request was
// sent, because the report times in reply were computed relative to it when the
// message was decoded.
func (s *Spreader) HandleReply(to Peer, reply Update, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(&reply, now)
	if s.cfg.Target != "" {
		s.handleTargetReply(to, &reply, now)
		return
	}
	switch {
	case reply.MoreMembers > 0:
		s.nextMember = reply.MoreMembers
		if s.resyncPeer.Address == "" && reply.Self != nil {
			s.resyncPeer = Peer{Name: string(reply.Self.Entry), Address: reply.Self.Address}
		}
	case reply.Self != nil && (to == s.resyncPeer || (!s.joined && to.Name == "")):
		s.resyncDone(now)
	}
}

// handleTargetReply updates the entries that this target reports to.
func (s *Spreader) handleTargetReply(to Peer, reply *Update, now time.Time) {
	if len(reply.Wants) == 0 && to.Name != "" {
		s.sentSequences[to.Name] = s.targetReport.Sequence
	} else {
		delete(s.sentSequences, to.Name)
	}
	s.hostLeaving = s.hostLeaving || reply.HostLeaving
	if len(reply.KnownEntries) == 0 {
		return
	}
	s.reportTo = s.reportTo[:0]
	for i := range reply.KnownEntries {
		e := &reply.KnownEntries[i]
		s.reportTo = append(s.reportTo, Peer{Name: string(e.Entry), Address: e.Address})
	}
	s.entriesRequestedAt = now
	s.joined = true
	if len(s.reportTo) > 0 && to.Name == "" {
		s.targetReportUrgent = true
	}
}

// HandleFailure records that a peer did not answer. An entry marks the peer as
// unreachable in its view; a target stops reporting to it.
func (s *Spreader) HandleFailure(to Peer, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if to == s.resyncPeer {
		s.resyncPeer = Peer{}
	}
	if s.cfg.Target == "" {
		s.view.MarkEntryUnreachable(id.Entry(to.Name), now)
		return
	}
	delete(s.sentSequences, to.Name)
	for i := range s.reportTo {
		if s.reportTo[i] == to {
			s.reportTo = append(s.reportTo[:i], s.reportTo[i+1:]...)
			break
		}
	}
	// Ask again at once: the remaining entries know which entry replaces the
	// unreachable one.
	s.entriesRequestedAt = time.Time{}
}

// apply applies everything in an update.
func (s *Spreader) apply(update *Update, now time.Time) {
	if update.From.Name != "" {
		s.revisions[update.From.Name] = update.From.Revision
	}
	increased := s.config.apply(update.Changes)
	increased = s.config.replace(update.Snapshot) || increased
	s.markUrgentIf(increased)
	if update.From.Revision > s.config.current.Revision {
		s.newerPeer = update.From.Name
	}
	for _, q := range update.Quarantines {
		s.addQuarantine(q, now)
	}
	if s.cfg.Target != "" {
		return
	}
	if update.Self != nil {
		s.applyEntryReport(*update.Self, now, fromOwner)
	}
	for i := range update.Entries {
		s.applyEntryReport(update.Entries[i], now, fromGossip)
	}
	for i := range update.Loads {
		s.applyTargetReport(update.Loads[i], now, fromGossip)
	}
	for i := range update.KnownEntries {
		s.applyEntryReport(update.KnownEntries[i], now, fromResponse)
	}
	for i := range update.KnownLoads {
		s.applyTargetReport(update.KnownLoads[i], now, fromResponse)
	}
	for _, d := range update.EntryDigests {
		s.applyEntryDigest(d, now)
	}
	for _, d := range update.LoadDigests {
		s.applyLoadDigest(d, now)
	}
}

// reportSource says how a report arrived, which decides whether it is gossiped
// further.
type reportSource uint8

const (
	// fromOwner reports come from the entry itself, which sends its own
	// heartbeats to other entries.
	fromOwner reportSource = iota
	// fromGossip reports were forwarded by another process.
	fromGossip
	// fromResponse reports answer a request and are not gossiped further.
	fromResponse
)

func (s *Spreader) applyEntryReport(report member.EntryReport, now time.Time, from reportSource) {
	if s.cfg.Target != "" || report.Entry == s.cfg.Entry {
		return
	}
	old, known := s.view.EntryReport(report.Entry)
	if !s.view.UpdateEntry(report, now) {
		return
	}
	if report.State == member.Gone {
		s.records.drop(EntryKey(&report))
	}
	s.revisions[string(report.Entry)] = max(s.revisions[string(report.Entry)], report.Revision)
	changed := !known || old.State != report.State || old.Incarnation != report.Incarnation || old.Address != report.Address
	rec := s.records.getOrCreate("", report.Entry, EntryKey(&report))
	if from == fromResponse || (from == fromOwner && !changed) {
		rec.sequence = report.Sequence
		return
	}
	rec.note(report.Sequence, now, 0, changed)
}

func (s *Spreader) applyEntryDigest(d EntryDigest, now time.Time) {
	rec := s.records.byKey[d.Key]
	if rec == nil || rec.entry == "" {
		s.addWantedKey(d.Key)
		return
	}
	if d.Sequence <= rec.sequence || rec.entry == s.cfg.Entry {
		return
	}
	report, ok := s.view.EntryReport(rec.entry)
	if !ok || report.State != member.Ready {
		s.addWantedKey(d.Key)
		return
	}
	report.Sequence, report.At, report.Revision = d.Sequence, d.At, d.Revision
	if s.view.UpdateEntry(report, now) {
		s.revisions[string(rec.entry)] = max(s.revisions[string(rec.entry)], d.Revision)
		rec.note(d.Sequence, now, 0, false)
	}
}

func (s *Spreader) applyTargetReport(report member.TargetReport, now time.Time, from reportSource) {
	old, known := s.view.TargetReport(report.Target)
	if !s.view.UpdateTarget(report, now) {
		s.ensureRecord(&old, known, &report)
		return
	}
	changed := !known || !sameExceptLoad(&old, &report)
	rec := s.records.getOrCreate(report.Target, "", TargetKey(&report))
	if from == fromResponse {
		rec.sequence, rec.pendingSince = report.Sequence, now
		return
	}
	rec.note(report.Sequence, now, loadGossipInterval(s.records.targets), changed)
}

// ensureRecord creates the record of a report that the view already has from
// another source, such as the target's own replies. Without a record, every
// digest of the target would cause another request for the full report, and the
// report received would be discarded again because it is not newer.
func (s *Spreader) ensureRecord(old *member.TargetReport, known bool, report *member.TargetReport) {
	key := TargetKey(report)
	if !known || TargetKey(old) != key || s.records.byKey[key] != nil {
		return
	}
	s.records.getOrCreate(report.Target, "", key).sequence = old.Sequence
}

func (s *Spreader) applyLoadDigest(d LoadDigest, now time.Time) {
	rec := s.records.byKey[d.Key]
	if rec == nil || rec.target == "" {
		s.addWantedKey(d.Key)
		return
	}
	if d.Sequence <= rec.sequence {
		return
	}
	report, ok := s.view.TargetReport(rec.target)
	if !ok || report.State != member.Ready {
		s.addWantedKey(d.Key)
		return
	}
	report.Sequence, report.At = d.Sequence, d.At
	report.Running, report.Queued, report.ShortRunning = d.Running, d.Queued, d.ShortRunning
	report.Pace, report.QueuedPrefill = d.Pace, d.QueuedPrefill
	if s.view.UpdateTarget(report, now) {
		rec.note(d.Sequence, now, loadGossipInterval(s.records.targets), false)
	}
}

func (s *Spreader) addWantedKey(key Key) {
	if len(s.wantedKeys) < maxWantedKeys && !slices.Contains(s.wantedKeys, key) {
		s.wantedKeys = append(s.wantedKeys, key)
	}
}

// addWantedReports adds the full reports for at most maxWantedKeys of the
// requested keys.
func (s *Spreader) addWantedReports(reply *Update, wants []Key) {
	for _, key := range wants[:min(len(wants), maxWantedKeys)] {
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

// addMemberPage adds one page of the list of all members, starting at the
// 1-based position from.
func (s *Spreader) addMemberPage(reply *Update, from int) {
	snapshot := s.view.Snapshot()
	total := len(snapshot.Entries) + len(snapshot.Targets)
	i := from - 1
	for ; i < min(total, from-1+membersPerPage); i++ {
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

// ObserveSender records the sender of a message of another protocol. If its
// revision is higher, this process requests the missing changes.
func (s *Spreader) ObserveSender(from Sender) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from.Name == "" {
		return
	}
	s.revisions[from.Name] = max(s.revisions[from.Name], from.Revision)
	if from.Revision > s.config.current.Revision {
		s.newerPeer = from.Name
	}
}
