// Package spread decides how configuration, loads, entry reports and
// quarantines travel between processes.
//
// Each target process reports to a few entries, own zone first, each second.
// Each entry swaps news with one entry of its zone and one of another zone a
// second. A swap carries what is new to few bytes: digests of reports whose
// full form the other side has, each passed on a few times, within a budget.
// Every message carries the sender's configuration revision; who is behind
// gets the changes since, or a snapshot. A new revision is passed on at once.
// A few entries of each zone watch the key-value service; rendezvous hashing
// over the live entries says which.
//
// # Usage
//
//	s := spread.New(cfg, view, rng, now)
//	for _, m := range s.Round(now) {
//		reply, err := swap(ctx, m.To.Address, m.News)
//		// s.Failed(m.To, now), or s.Answered(m.To, reply, now)
//	}
//	reply := s.Receive(news, now)      // in the handler of Exchange.Swap
//	if s.Urgent() { /* call Round at once */ }
//
// The time of a report in an answer counts from when the request was sent, so
// that a slow answer never makes a report younger than it is. A handler cannot
// know how long a request was on its way; callers of Swap use a deadline of at
// most 500 ms, which member.DefaultReportLife reckons with.
package spread

import (
	"cmp"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Kind is the kind of this package's errors.
type Kind string

// Refused means that a configuration revision could not be put in force.
const Refused Kind = "refused"

// Error is this package's error.
type Error = fault.Error[Kind]

// Peer is a process to talk to.
type Peer struct {
	Name    string
	Address string
}

// Message is news to send to a peer.
type Message struct {
	To     Peer
	Update Update
}

// Sender goes with every message.
type Sender struct {
	Name        string
	Revision    id.Revision
	Incarnation id.Incarnation
}

// Key names one incarnation of a member, with all of its report that does not
// change from one to the next, in digests.
type Key uint64

// TargetKey returns the key of a target's report.
func TargetKey(r *member.TargetReport) Key {
	d := keyOf("target", string(r.Target), r.Incarnation, string(r.Model), string(r.Version), string(r.Role),
		r.Address, strconv.Itoa(r.Slots))
	for _, a := range r.Adapters {
		_, _ = d.WriteString(string(a) + "\x00")
	}
	return Key(d.Sum64())
}

// EntryKey returns the key of an entry's report.
func EntryKey(r *member.EntryReport) Key {
	return Key(keyOf("entry", string(r.Entry), r.Incarnation, r.Address, string(r.Place.Zone)).Sum64())
}

func keyOf(kind, name string, incarnation id.Incarnation, parts ...string) *xxhash.Digest {
	d := xxhash.NewWithSeed(uint64(incarnation))
	_, _ = d.WriteString(kind + "\x00" + name + "\x00")
	for _, part := range parts {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d
}

// LoadDigest is the changing part of a ready target's report.
type LoadDigest struct {
	Key           Key
	Sequence      id.Sequence
	At            time.Time
	Running       int
	Queued        int
	ShortRunning  int
	Pace          time.Duration
	QueuedPrefill int
}

// EntryDigest is the changing part of a ready entry's report.
type EntryDigest struct {
	Key      Key
	Sequence id.Sequence
	At       time.Time
	Revision id.Revision
}

// Quarantine is a fingerprint that is refused until a time.
type Quarantine struct {
	Fingerprint id.Fingerprint
	Until       time.Time
	// Deaths are the targets that it killed.
	Deaths []id.Target
}

// Update is what one side of a swap tells the other.
type Update struct {
	From Sender
	// Self is set by entries.
	Self         *member.EntryReport
	Loads        []member.TargetReport
	Entries      []member.EntryReport
	LoadDigests  []LoadDigest
	EntryDigests []EntryDigest
	// KnownLoads and KnownEntries answer Wants, WantMembers and WantEntries.
	// They are no news, and are not passed on.
	KnownLoads   []member.TargetReport
	KnownEntries []member.EntryReport
	Quarantines  []Quarantine
	Changes      []conf.Change
	// Snapshot is the whole configuration, when the changes are not held.
	Snapshot *conf.Snapshot
	// Wants are digests' keys for which the sender has no report.
	Wants []Key
	// WantConfig asks for changes after the sender's revision.
	WantConfig bool
	// WantMembers asks for all members from this position on, plus one.
	WantMembers int
	// MoreMembers is where to go on asking; 0 at the end.
	MoreMembers int
	// WantEntries asks which entries a target reports to.
	WantEntries bool
	// HostLeaving tells a target that the host list says its host is leaving.
	HostLeaving bool
}

// Defaults of Config.
const (
	DefaultRoundEvery         = time.Second
	DefaultReportTo           = 8
	DefaultWatchers           = 2
	DefaultUrgentPeers        = 3
	DefaultMaxTransmissions   = 3
	DefaultEntryDigests       = 16
	DefaultLoadDigests        = 10
	DefaultAntiEntropyDigests = 3
	DefaultChangeLogLength    = 512
	DefaultReconnectEvery     = 5 * time.Second
	DefaultReportEntriesEvery = 15 * time.Second
)

// Config says who a process is and bounds what it sends. A zero number means
// its default.
type Config struct {
	// Entry or Target is set.
	Entry       id.Entry
	Target      id.Target
	Incarnation id.Incarnation
	Place       member.Place
	Address     string
	// Seeds are addresses of processes to ask while no entry is known.
	Seeds []string
	// RoundEvery is the time between two rounds, and between two reports of a
	// target.
	RoundEvery time.Duration
	// ReportTo is the number of entries that a target reports to.
	ReportTo int
	// Watchers is the number of entries of a zone that watch the store.
	Watchers int
	// UrgentPeers is the number of entries that a new revision is passed to.
	UrgentPeers int
	// MaxTransmissions is how often an entry passes one piece of news on.
	MaxTransmissions int
	// EntryDigests and LoadDigests bound what one message carries.
	EntryDigests int
	LoadDigests  int
	// AntiEntropyDigests of each kind go with a message although they are no news, in
	// turn, for those who missed them.
	AntiEntropyDigests int
	// ChangeLogLength is the number of changes held for those that are behind.
	ChangeLogLength int
	// ReconnectEvery is the time between two attempts to reach a lost entry.
	ReconnectEvery time.Duration
	// ReportEntriesEvery is the time between two questions of a target for the
	// entries that it reports to.
	ReportEntriesEvery time.Duration
}

// Defaults fills in what c leaves out.
func (c *Config) Defaults() {
	c.RoundEvery = cmp.Or(c.RoundEvery, DefaultRoundEvery)
	c.ReportTo = cmp.Or(c.ReportTo, DefaultReportTo)
	c.Watchers = cmp.Or(c.Watchers, DefaultWatchers)
	c.UrgentPeers = cmp.Or(c.UrgentPeers, DefaultUrgentPeers)
	c.MaxTransmissions = cmp.Or(c.MaxTransmissions, DefaultMaxTransmissions)
	c.EntryDigests = cmp.Or(c.EntryDigests, DefaultEntryDigests)
	c.LoadDigests = cmp.Or(c.LoadDigests, DefaultLoadDigests)
	c.AntiEntropyDigests = cmp.Or(c.AntiEntropyDigests, DefaultAntiEntropyDigests)
	c.ChangeLogLength = cmp.Or(c.ChangeLogLength, DefaultChangeLogLength)
	c.ReconnectEvery = cmp.Or(c.ReconnectEvery, DefaultReconnectEvery)
	c.ReportEntriesEvery = cmp.Or(c.ReportEntriesEvery, DefaultReportEntriesEvery)
}

// Intervals of heartbeats grow with the deployment, so that what a process
// sends does not.
const (
	heartbeatPerEntry = 50 * time.Millisecond
	heartbeatMax      = 20 * time.Second
	loadNewsPerTarget = 80 * time.Millisecond
	loadNewsMax       = time.Minute
)

// heartbeatEvery returns the time between two heartbeats of an entry.
func heartbeatEvery(entries int) time.Duration {
	return min(max(time.Second, time.Duration(entries)*heartbeatPerEntry), heartbeatMax)
}

// loadNewsEvery returns the time after which the load of a target is news
// again at an entry that it does not report to.
func loadNewsEvery(targets int) time.Duration {
	return min(max(time.Second, time.Duration(targets)*loadNewsPerTarget), loadNewsMax)
}
