package spread

import (
	"math/rand/v2"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Spreader holds the gossip state of one process. It is safe for concurrent
// use.
type Spreader struct {
	cfg  Config
	view *member.View
	rng  *rand.Rand

	mu          sync.Mutex
	config      configuration
	records     *records
	quarantines map[id.Fingerprint]*quarantineRecord
	revisions   map[string]id.Revision
	// self is the report of this entry, targetReport the one of this target;
	// only one of them is used.
	self               member.EntryReport
	targetReport       member.TargetReport
	sentSequences      map[string]id.Sequence
	targetReportUrgent bool
	// reportTo are the entries that this target reports to.
	reportTo           []Peer
	entriesRequestedAt time.Time
	heartbeatAt        time.Time
	roundAt            time.Time
	reconnectedAt      time.Time
	seedContactedAt    time.Time
	urgent             bool
	newerPeer          string
	wantedKeys         []Key
	nextMember         int
	resyncPeer         Peer
	joined             bool
	resyncAt           time.Time
	rounds             int
	hostLeaving        bool
}

// New returns a Spreader without known members or configuration. view is the
// entry's view; a target process passes an empty one.
func New(cfg Config, view *member.View, rng *rand.Rand, now time.Time) *Spreader {
	cfg.Defaults()
	s := &Spreader{
		cfg: cfg, view: view, rng: rng,
		config:        configuration{current: conf.Empty(), logLength: cfg.ChangeLogLength},
		records:       newRecords(),
		quarantines:   map[id.Fingerprint]*quarantineRecord{},
		revisions:     map[string]id.Revision{},
		sentSequences: map[string]id.Sequence{},
		nextMember:    1,
	}
	// Start at a random time within a round, so that processes started at the
	// same time do not send in step.
	s.roundAt = now.Add(time.Duration(rng.Int64N(int64(cfg.RoundEvery))))
	s.self = member.EntryReport{
		Entry: cfg.Entry, Incarnation: cfg.Incarnation, State: member.Joining,
		Place: cfg.Place, Address: cfg.Address, At: now,
	}
	return s
}

// SetState sets the state in this entry's reports.
func (s *Spreader) SetState(state member.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.self.State != state {
		s.self.State = state
		s.heartbeatAt = time.Time{}
		s.urgent = true
	}
}

// SetTargetReport sets the report that a target process sends in the next
// round. If anything but the load has changed, the report is sent immediately.
func (s *Spreader) SetTargetReport(report member.TargetReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !sameExceptLoad(&s.targetReport, &report) {
		s.targetReportUrgent = true
		clear(s.sentSequences)
	}
	s.targetReport = report
}

// Urgent reports whether Round should be called before the next round is due.
func (s *Spreader) Urgent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.urgent || s.targetReportUrgent || s.newerPeer != ""
}

// Joined reports whether the process has received the list of members and a
// configuration from another process.
func (s *Spreader) Joined() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joined
}

// Revisions returns, for each known process, the configuration revision that it
// last reported.
func (s *Spreader) Revisions() map[string]id.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]id.Revision, len(s.revisions))
	for name, revision := range s.revisions {
		out[name] = revision
	}
	return out
}

func (s *Spreader) sender() Sender {
	name := string(s.cfg.Entry)
	if name == "" {
		name = string(s.cfg.Target)
	}
	return Sender{Name: name, Revision: s.config.current.Revision, Incarnation: s.cfg.Incarnation}
}

// Round returns the messages that are due at now. Callers call it about ten
// times per round interval, and immediately while Urgent.
func (s *Spreader) Round(now time.Time) []Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.Target != "" {
		return s.targetRound(now)
	}
	return s.entryRound(now)
}

// targetRound returns the messages that report to the target's entries.
func (s *Spreader) targetRound(now time.Time) []Message {
	if now.Before(s.roundAt) && !s.targetReportUrgent {
		return s.targetRequestChanges()
	}
	if !s.targetReportUrgent {
		s.roundAt = s.nextRound(now)
	}
	s.targetReportUrgent, s.urgent, s.newerPeer = false, false, ""
	if len(s.reportTo) == 0 {
		return s.contactSeed(now)
	}
	requestEntries := now.Sub(s.entriesRequestedAt) >= s.cfg.ReportEntriesEvery
	out := make([]Message, 0, len(s.reportTo))
	for i, peer := range s.reportTo {
		update := Update{From: s.sender()}
		s.addTargetReport(&update, peer)
		if i == 0 && requestEntries {
			update.WantEntries = true
			s.entriesRequestedAt = now
		}
		out = append(out, Message{To: peer, Update: update})
	}
	return out
}

// targetRequestChanges requests further changes from an entry that has a higher
// revision.
func (s *Spreader) targetRequestChanges() []Message {
	name := s.newerPeer
	s.newerPeer = ""
	for _, peer := range s.reportTo {
		if peer.Name == name && s.revisions[name] > s.config.current.Revision {
			return []Message{{To: peer, Update: Update{From: s.sender(), WantConfig: true}}}
		}
	}
	return nil
}

// addTargetReport adds the target's report: the full report the first time,
// then only its load digest.
func (s *Spreader) addTargetReport(update *Update, peer Peer) {
	if s.targetReport.Target == "" {
		return
	}
	if s.sentSequences[peer.Name] == 0 || s.targetReport.State != member.Ready {
		update.Loads = []member.TargetReport{s.targetReport}
		return
	}
	update.LoadDigests = []LoadDigest{newLoadDigest(&s.targetReport)}
}

func newLoadDigest(r *member.TargetReport) LoadDigest {
	return LoadDigest{
		Key: TargetKey(r), Sequence: r.Sequence, At: r.At,
		Running: r.Running, Queued: r.Queued, ShortRunning: r.ShortRunning,
		Pace: r.Pace, QueuedPrefill: r.QueuedPrefill,
	}
}

func (s *Spreader) nextRound(now time.Time) time.Time {
	next := s.roundAt.Add(s.cfg.RoundEvery)
	if next.Before(now) {
		next = now.Add(s.cfg.RoundEvery)
	}
	return next
}

// contactSeed requests from a random seed the entries to report to (targets) or
// all members (entries).
func (s *Spreader) contactSeed(now time.Time) []Message {
	if len(s.cfg.Seeds) == 0 {
		return nil
	}
	peer := Peer{Address: s.cfg.Seeds[s.rng.IntN(len(s.cfg.Seeds))]}
	if peer.Address == s.cfg.Address {
		return nil
	}
	update := Update{From: s.sender(), WantConfig: true}
	if s.cfg.Target != "" {
		update.WantEntries = true
		s.entriesRequestedAt = now
		s.addTargetReport(&update, peer)
	} else {
		update.Self = s.selfReport(now)
		update.WantMembers = s.nextMember
	}
	return []Message{{To: peer, Update: update}}
}

// selfReport returns this entry's report as of now.
func (s *Spreader) selfReport(now time.Time) *member.EntryReport {
	report := s.self
	report.Revision = s.config.current.Revision
	report.At = now
	return &report
}

// entryRound exchanges updates with one entry of this zone and one of another
// zone.
func (s *Spreader) entryRound(now time.Time) []Message {
	var out []Message
	s.heartbeat(now)
	if s.urgent {
		s.urgent = false
		out = append(out, s.urgentUpdates(now)...)
	}
	if s.newerPeer != "" {
		out = append(out, s.requestChanges(now)...)
	}
	if now.Before(s.roundAt) {
		return out
	}
	s.roundAt = s.nextRound(now)
	s.prune()
	s.dropQuarantines(now)
	near, far := s.readyEntriesByZone()
	if len(near)+len(far) == 0 {
		return append(out, s.contactSeed(now)...)
	}
	if !s.joined || s.resyncDue(now) {
		out = append(out, s.requestMembers(now, near, far)...)
	}
	for _, peers := range [][]Peer{near, far} {
		if len(peers) > 0 {
			out = append(out, s.updateFor(peers[s.rng.IntN(len(peers))], now))
		}
	}
	return append(out, s.reconnect(now)...)
}

// pruneRounds is the number of rounds between two calls that remove the records
// of members that the view no longer holds.
const pruneRounds = 64

// prune removes the records of members that the view no longer holds.
func (s *Spreader) prune() {
	s.rounds++
	if s.rounds%pruneRounds != 0 {
		return
	}
	for key, rec := range s.records.byKey {
		_, known := s.view.TargetReport(rec.target)
		if rec.entry != "" {
			_, known = s.view.EntryReport(rec.entry)
		}
		if !known {
			s.records.drop(key)
			delete(s.revisions, string(rec.entry)+string(rec.target))
		}
	}
	s.records.compact()
}

// HostLeaving reports whether an entry informed this target process that its
// host is marked as leaving in the host list.
func (s *Spreader) HostLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hostLeaving
}

// heartbeat creates a new report of this entry when one is due.
func (s *Spreader) heartbeat(now time.Time) {
	interval := heartbeatInterval(s.records.entries)
	if now.Sub(s.heartbeatAt) < interval {
		return
	}
	s.view.SetTimeouts(max(member.DefaultEntryTTL, 6*interval),
		max(member.DefaultGoneAfter, 8*loadGossipInterval(s.records.targets), 8*interval))
	changed := s.heartbeatAt.IsZero()
	s.heartbeatAt = now
	s.self.Sequence++
	report := s.selfReport(now)
	s.view.UpdateEntry(*report, now)
	s.records.getOrCreate("", s.cfg.Entry, EntryKey(report)).note(s.self.Sequence, now, 0, changed)
}

// After joining, an entry requests the list of all members again, once soon and
// then rarely. This finds members that it has missed, for example when many
// processes start at the same time. Pages are requested only in some of the
// rounds.
const (
	firstResyncDelay = 40 * time.Second
	resyncDelay      = 30 * time.Minute
	resyncPageRounds = 4
)

// resyncDue reports whether the next page of the member list should be
// requested.
func (s *Spreader) resyncDue(now time.Time) bool {
	return !now.Before(s.resyncAt) && s.rounds%resyncPageRounds == 0
}

// resyncDone records that the last page of the member list was received, and
// schedules the next resync with random jitter.
func (s *Spreader) resyncDone(now time.Time) {
	after := resyncDelay
	if !s.joined {
		after = firstResyncDelay
	}
	s.joined = true
	s.nextMember, s.resyncPeer = 1, Peer{}
	s.resyncAt = now.Add(after/2 + time.Duration(s.rng.Int64N(int64(after))))
}

// On average one in selfReportEvery messages carries the sender's own report,
// for peers that do not know the sender.
const selfReportEvery = 4

// updateFor returns a message with everything that is due to be sent to a peer.
func (s *Spreader) updateFor(peer Peer, now time.Time) Message {
	update := Update{From: s.sender(), Quarantines: s.pendingQuarantines(now)}
	if s.rng.IntN(selfReportEvery) == 0 {
		update.Self = s.selfReport(now)
	}
	s.addReports(&update, peer.Name)
	if revision, known := s.revisions[peer.Name]; known {
		update.Changes, update.Snapshot = s.config.since(revision)
	}
	update.Wants, s.wantedKeys = s.wantedKeys, nil
	return Message{To: peer, Update: update}
}

// addReports adds the next batch of members' reports and digests, without that
// of the entry exclude.
func (s *Spreader) addReports(update *Update, exclude string) {
	picked := s.records.pick(&s.cfg, exclude)
	for _, name := range picked.targets {
		report, ok := s.view.TargetReport(name)
		if !ok {
			continue
		}
		if picked.full[TargetKey(&report)] || report.State != member.Ready {
			update.Loads = append(update.Loads, report)
		} else {
			update.LoadDigests = append(update.LoadDigests, newLoadDigest(&report))
		}
	}
	for _, name := range picked.entries {
		report, ok := s.view.EntryReport(name)
		if !ok {
			continue
		}
		key := EntryKey(&report)
		if picked.full[key] || report.State != member.Ready {
			update.Entries = append(update.Entries, report)
		} else {
			update.EntryDigests = append(update.EntryDigests, EntryDigest{Key: key, Sequence: report.Sequence, At: report.At, Revision: report.Revision})
		}
	}
}

// urgentUpdates sends the newest changes and state reports to a few random
// entries.
func (s *Spreader) urgentUpdates(now time.Time) []Message {
	near, far := s.readyEntriesByZone()
	all := append(near, far...)
	var out []Message
	for _, i := range s.rng.Perm(len(all))[:min(s.cfg.UrgentPeers, len(all))] {
		m := s.updateFor(all[i], now)
		if m.Update.Changes == nil && m.Update.Snapshot == nil {
			m.Update.Changes = s.newestChange()
		}
		out = append(out, m)
	}
	return out
}

// newestChange returns the last change. It is sent to peers whose revision is
// not known.
func (s *Spreader) newestChange() []conf.Change {
	if n := len(s.config.changes); n > 0 {
		return s.config.changes[n-1:]
	}
	return nil
}

// requestChanges requests the missing changes from an entry that has a higher
// revision.
func (s *Spreader) requestChanges(now time.Time) []Message {
	name := s.newerPeer
	s.newerPeer = ""
	report, ok := s.view.EntryReport(id.Entry(name))
	if !ok || s.revisions[name] <= s.config.current.Revision {
		return nil
	}
	m := s.updateFor(Peer{Name: name, Address: report.Address}, now)
	m.Update.WantConfig = true
	return []Message{m}
}

// requestMembers requests the next page of the list of all members from one
// entry.
func (s *Spreader) requestMembers(now time.Time, near, far []Peer) []Message {
	if s.resyncPeer.Address == "" {
		all := append(near, far...)
		s.resyncPeer = all[s.rng.IntN(len(all))]
	}
	update := Update{From: s.sender(), Self: s.selfReport(now), WantMembers: s.nextMember, WantConfig: true}
	return []Message{{To: s.resyncPeer, Update: update}}
}

// Intervals between two exchanges of an entry with a seed. They let entries
// that started from different seeds find each other. The shorter one applies
// while fewer than fewEntries entries are known.
const (
	seedIntervalFewEntries = 5 * time.Second
	minSeedInterval        = time.Minute
	fewEntries             = 8
)

// reconnect contacts an unreachable entry, which may be reachable again after a
// partition, and from time to time a seed.
func (s *Spreader) reconnect(now time.Time) []Message {
	var out []Message
	// All entries together contact a seed about once a second.
	interval := max(minSeedInterval, time.Duration(s.records.entries)*time.Second)
	if s.records.entries < fewEntries {
		interval = seedIntervalFewEntries
	}
	if now.Sub(s.seedContactedAt) >= interval && len(s.cfg.Seeds) > 0 {
		// Subtract a random time, so that the entries' contacts spread out over
		// time.
		s.seedContactedAt = now.Add(-time.Duration(s.rng.Int64N(int64(interval) / 2)))
		address := s.cfg.Seeds[s.rng.IntN(len(s.cfg.Seeds))]
		if address != s.cfg.Address {
			out = append(out, s.updateWithSelf(Peer{Address: address}, now))
		}
	}
	unreachable := s.view.UnreachableEntries()
	if now.Sub(s.reconnectedAt) >= s.cfg.ReconnectEvery && len(unreachable) > 0 {
		s.reconnectedAt = now
		entry := unreachable[s.rng.IntN(len(unreachable))]
		out = append(out, s.updateWithSelf(Peer{Name: string(entry.Entry), Address: entry.Address}, now))
	}
	return out
}

// updateWithSelf returns an update that carries this entry's report, for a peer
// that may not know this entry.
func (s *Spreader) updateWithSelf(peer Peer, now time.Time) Message {
	m := s.updateFor(peer, now)
	m.Update.Self = s.selfReport(now)
	return m
}

// SetSeeds sets the seed addresses.
func (s *Spreader) SetSeeds(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Seeds = addresses
}
