package spread

import (
	"math/rand/v2"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Spreader is the state of one process. Its methods may be called from several
// goroutines.
type Spreader struct {
	cfg  Config
	view *member.View
	rng  *rand.Rand

	mu          sync.Mutex
	config      configuration
	records     *records
	quarantines map[id.Fingerprint]*quarantine
	revisions   map[string]id.Revision
	// self is the entry's own report, own the target's.
	self      member.EntryReport
	own       member.TargetReport
	ownSent   map[string]id.Sequence
	ownUrgent bool
	// reportTo is where a target reports to.
	reportTo []Peer
	askedAt  time.Time
	beatAt   time.Time
	roundAt  time.Time
	lostAt   time.Time
	seedAt   time.Time
	urgent   bool
	behind   string
	wants    []Key
	joinFrom int
	joinPeer Peer
	joined   bool
	walkAt   time.Time
	rounds   int
	leaving  bool
}

// New returns a process that knows nobody and has no configuration. View is
// the entry's; a target process has an empty one.
func New(cfg Config, view *member.View, rng *rand.Rand, now time.Time) *Spreader {
	cfg.Defaults()
	s := &Spreader{
		cfg: cfg, view: view, rng: rng,
		config:      configuration{current: conf.Empty(), kept: cfg.ChangeLogLength},
		records:     newRecords(),
		quarantines: map[id.Fingerprint]*quarantine{},
		revisions:   map[string]id.Revision{},
		ownSent:     map[string]id.Sequence{},
		joinFrom:    1,
	}
	// Processes that start together must not speak together.
	s.roundAt = now.Add(time.Duration(rng.Int64N(int64(cfg.RoundEvery))))
	s.self = member.EntryReport{
		Entry: cfg.Entry, Incarnation: cfg.Incarnation, State: member.Joining,
		Place: cfg.Place, Address: cfg.Address, At: now,
	}
	return s
}

// SetState sets the state that the entry reports.
func (s *Spreader) SetState(state member.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.self.State != state {
		s.self.State = state
		s.beatAt = time.Time{}
		s.urgent = true
	}
}

// SetTargetReport sets the report that a target process sends with the next round. A
// change of state is sent at once.
func (s *Spreader) SetTargetReport(report member.TargetReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !sameKind(&s.own, &report) {
		s.ownUrgent = true
		clear(s.ownSent)
	}
	s.own = report
}

// Urgent reports whether Round should be called before its time.
func (s *Spreader) Urgent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.urgent || s.ownUrgent || s.behind != ""
}

// Joined reports whether the process has heard all members and a configuration
// of another process.
func (s *Spreader) Joined() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joined
}

// Revisions returns the revision that each known process was last heard to
// have in force.
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

// Round returns the messages that are due at now. It is called about ten times
// a round, and at once while Urgent.
func (s *Spreader) Round(now time.Time) []Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.Target != "" {
		return s.targetRound(now)
	}
	return s.entryRound(now)
}

// targetRound reports to the target's entries.
func (s *Spreader) targetRound(now time.Time) []Message {
	if now.Before(s.roundAt) && !s.ownUrgent {
		return s.targetBehind()
	}
	if !s.ownUrgent {
		s.roundAt = s.nextRound(now)
	}
	s.ownUrgent, s.urgent, s.behind = false, false, ""
	if len(s.reportTo) == 0 {
		return s.askSeeds(now)
	}
	ask := now.Sub(s.askedAt) >= s.cfg.ReportEntriesEvery
	out := make([]Message, 0, len(s.reportTo))
	for i, peer := range s.reportTo {
		news := Update{From: s.sender()}
		s.addOwn(&news, peer)
		if i == 0 && ask {
			news.WantEntries = true
			s.askedAt = now
		}
		out = append(out, Message{To: peer, Update: news})
	}
	return out
}

// targetBehind asks an entry that has a higher revision for more changes.
func (s *Spreader) targetBehind() []Message {
	name := s.behind
	s.behind = ""
	for _, peer := range s.reportTo {
		if peer.Name == name && s.revisions[name] > s.config.current.Revision {
			return []Message{{To: peer, Update: Update{From: s.sender(), WantConfig: true}}}
		}
	}
	return nil
}

// addOwn adds the target's report: whole the first time, then its load alone.
func (s *Spreader) addOwn(news *Update, peer Peer) {
	if s.own.Target == "" {
		return
	}
	if s.ownSent[peer.Name] == 0 || s.own.State != member.Ready {
		news.Loads = []member.TargetReport{s.own}
		return
	}
	news.LoadDigests = []LoadDigest{digestOf(&s.own)}
}

func digestOf(r *member.TargetReport) LoadDigest {
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

// askSeeds asks a seed for the entries to report to, or for all members.
func (s *Spreader) askSeeds(now time.Time) []Message {
	if len(s.cfg.Seeds) == 0 {
		return nil
	}
	peer := Peer{Address: s.cfg.Seeds[s.rng.IntN(len(s.cfg.Seeds))]}
	if peer.Address == s.cfg.Address {
		return nil
	}
	news := Update{From: s.sender(), WantConfig: true}
	if s.cfg.Target != "" {
		news.WantEntries = true
		s.askedAt = now
		s.addOwn(&news, peer)
	} else {
		news.Self = s.selfNow(now)
		news.WantMembers = s.joinFrom
	}
	return []Message{{To: peer, Update: news}}
}

// selfNow returns the entry's report as of now.
func (s *Spreader) selfNow(now time.Time) *member.EntryReport {
	report := s.self
	report.Revision = s.config.current.Revision
	report.At = now
	return &report
}

// entryRound swaps news with an entry of the own zone and one of another.
func (s *Spreader) entryRound(now time.Time) []Message {
	var out []Message
	s.beat(now)
	if s.urgent {
		s.urgent = false
		out = append(out, s.urgentNews(now)...)
	}
	if s.behind != "" {
		out = append(out, s.askBehind(now)...)
	}
	if now.Before(s.roundAt) {
		return out
	}
	s.roundAt = s.nextRound(now)
	s.prune()
	s.dropQuarantines(now)
	near, far := s.entriesByDistance()
	if len(near)+len(far) == 0 {
		return append(out, s.askSeeds(now)...)
	}
	if !s.joined || s.walks(now) {
		out = append(out, s.askMembers(now, near, far)...)
	}
	for _, peers := range [][]Peer{near, far} {
		if len(peers) > 0 {
			out = append(out, s.newsFor(peers[s.rng.IntN(len(peers))], now))
		}
	}
	return append(out, s.reconnect(now)...)
}

// pruneRounds is the number of rounds between two searches for forgotten
// members.
const pruneRounds = 64

// prune drops the records of members that the view has forgotten.
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

// HostLeaving reports whether an entry told a target process that the host
// list says its host is leaving.
func (s *Spreader) HostLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// beat makes a new report of the entry itself when it is due.
func (s *Spreader) beat(now time.Time) {
	every := heartbeatEvery(s.records.entries)
	if now.Sub(s.beatAt) < every {
		return
	}
	s.view.SetTimeouts(max(member.DefaultEntryTTL, 6*every),
		max(member.DefaultGoneAfter, 8*loadNewsEvery(s.records.targets), 8*every))
	changed := s.beatAt.IsZero()
	s.beatAt = now
	s.self.Sequence++
	report := s.selfNow(now)
	s.view.UpdateEntry(*report, now)
	s.records.of("", s.cfg.Entry, EntryKey(report)).note(s.self.Sequence, now, 0, changed)
}

// An entry that has joined asks another one for all members again, once soon
// and then rarely, to find those that it has missed, as when many processes
// start together. It asks for one part in some rounds only.
const (
	walkSoon   = 40 * time.Second
	walkRarely = 30 * time.Minute
	walkRounds = 4
)

// walks reports whether the next part of a walk is due.
func (s *Spreader) walks(now time.Time) bool {
	return !now.Before(s.walkAt) && s.rounds%walkRounds == 0
}

// walked notes the end of a walk through all members.
func (s *Spreader) walked(now time.Time) {
	after := walkRarely
	if !s.joined {
		after = walkSoon
	}
	s.joined = true
	s.joinFrom, s.joinPeer = 1, Peer{}
	s.walkAt = now.Add(after/2 + time.Duration(s.rng.Int64N(int64(after))))
}

// introduceEvery is the number of messages of which one carries the sender's
// own report, for a peer that does not know it.
const introduceEvery = 4

func (s *Spreader) newsFor(peer Peer, now time.Time) Message {
	news := Update{From: s.sender(), Quarantines: s.quarantineNews(now)}
	if s.rng.IntN(introduceEvery) == 0 {
		news.Self = s.selfNow(now)
	}
	s.fill(&news, peer.Name)
	if revision, known := s.revisions[peer.Name]; known {
		news.Changes, news.Snapshot = s.config.since(revision)
	}
	news.Wants, s.wants = s.wants, nil
	return Message{To: peer, Update: news}
}

// fill adds the members' news.
func (s *Spreader) fill(news *Update, without string) {
	picked := s.records.pick(&s.cfg, without)
	for _, name := range picked.targets {
		report, ok := s.view.TargetReport(name)
		if !ok {
			continue
		}
		if picked.fullOf[TargetKey(&report)] || report.State != member.Ready {
			news.Loads = append(news.Loads, report)
		} else {
			news.LoadDigests = append(news.LoadDigests, digestOf(&report))
		}
	}
	for _, name := range picked.entries {
		report, ok := s.view.EntryReport(name)
		if !ok {
			continue
		}
		key := EntryKey(&report)
		if picked.fullOf[key] || report.State != member.Ready {
			news.Entries = append(news.Entries, report)
		} else {
			news.EntryDigests = append(news.EntryDigests, EntryDigest{Key: key, Sequence: report.Sequence, At: report.At, Revision: report.Revision})
		}
	}
}

// urgentNews passes the newest changes and states on to a few entries.
func (s *Spreader) urgentNews(now time.Time) []Message {
	near, far := s.entriesByDistance()
	all := append(near, far...)
	var out []Message
	for _, i := range s.rng.Perm(len(all))[:min(s.cfg.UrgentPeers, len(all))] {
		m := s.newsFor(all[i], now)
		if m.Update.Changes == nil && m.Update.Snapshot == nil {
			m.Update.Changes = s.newestChange()
		}
		out = append(out, m)
	}
	return out
}

// newestChange returns the last change, for peers whose revision is not known.
func (s *Spreader) newestChange() []conf.Change {
	if n := len(s.config.changes); n > 0 {
		return s.config.changes[n-1:]
	}
	return nil
}

// askBehind asks an entry that has a higher revision for the changes.
func (s *Spreader) askBehind(now time.Time) []Message {
	name := s.behind
	s.behind = ""
	report, ok := s.view.EntryReport(id.Entry(name))
	if !ok || s.revisions[name] <= s.config.current.Revision {
		return nil
	}
	m := s.newsFor(Peer{Name: name, Address: report.Address}, now)
	m.Update.WantConfig = true
	return []Message{m}
}

// askMembers asks one entry for all members, part by part.
func (s *Spreader) askMembers(now time.Time, near, far []Peer) []Message {
	if s.joinPeer.Address == "" {
		all := append(near, far...)
		s.joinPeer = all[s.rng.IntN(len(all))]
	}
	news := Update{From: s.sender(), Self: s.selfNow(now), WantMembers: s.joinFrom, WantConfig: true}
	return []Message{{To: s.joinPeer, Update: news}}
}

// Times between two swaps of an entry with a seed, while it knows few entries
// and later. Entries that started from different seeds find one another so.
const (
	seedEvery  = 5 * time.Second
	seedRarely = time.Minute
	fewEntries = 8
)

// reconnect tries a lost entry, which may be back behind a partition, or a
// seed.
func (s *Spreader) reconnect(now time.Time) []Message {
	var out []Message
	// All entries together swap with a seed about once a second.
	every := max(seedRarely, time.Duration(s.records.entries)*time.Second)
	if s.records.entries < fewEntries {
		every = seedEvery
	}
	if now.Sub(s.seedAt) >= every && len(s.cfg.Seeds) > 0 {
		// A random part is taken off, so that entries do not come together.
		s.seedAt = now.Add(-time.Duration(s.rng.Int64N(int64(every) / 2)))
		address := s.cfg.Seeds[s.rng.IntN(len(s.cfg.Seeds))]
		if address != s.cfg.Address {
			out = append(out, s.introduce(Peer{Address: address}, now))
		}
	}
	lost := s.view.UnreachableEntries()
	if now.Sub(s.lostAt) >= s.cfg.ReconnectEvery && len(lost) > 0 {
		s.lostAt = now
		pick := lost[s.rng.IntN(len(lost))]
		out = append(out, s.introduce(Peer{Name: string(pick.Entry), Address: pick.Address}, now))
	}
	return out
}

// introduce swaps news with an entry that may not know this one.
func (s *Spreader) introduce(peer Peer, now time.Time) Message {
	m := s.newsFor(peer, now)
	m.Update.Self = s.selfNow(now)
	return m
}

// SetSeeds sets the addresses of processes to ask while no entry is known.
func (s *Spreader) SetSeeds(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Seeds = addresses
}
