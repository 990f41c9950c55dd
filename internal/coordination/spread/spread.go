// Package spread implements the gossip protocol that distributes configuration,
// target load, entry reports and quarantines between processes.
//
// Each target process reports to a few entries once a second, preferring those
// in its own zone. Once a second, each entry exchanges updates with one entry
// of its zone and one of another zone. To keep messages small, an update mostly
// carries digests of reports whose full form the other side already has. Each
// report is transmitted a few times, and the size of a message is limited.
// Every message carries the sender's configuration revision; a process that is
// behind receives the missing changes or a snapshot. A new revision is sent out
// immediately. A few entries of each zone watch the key-value service; they are
// chosen by rendezvous hashing over the live entries.
//
// # Usage
//
//	s := spread.New(cfg, view, rng, now)
//	for _, m := range s.Round(now) {
//		reply, err := swap(ctx, m.To.Address, m.Update)
//		// s.HandleFailure(m.To, now), or s.HandleReply(m.To, reply, now)
//	}
//	reply := s.Receive(update, now)    // in the handler of Exchange.Swap
//	if s.Urgent() { /* call Round at once */ }
//
// The age of a report in a reply is counted from the time at which the request
// was sent, so a slow reply never makes a report look younger than it is. A
// handler cannot know how long a request was in transit. Callers of Swap
// therefore set a deadline of at most 500 ms, which member.DefaultReportTTL
// allows for.
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

// Refused means that a configuration revision could not be applied.
const Refused Kind = "refused"

// Error is this package's error.
type Error = fault.Error[Kind]

// Peer is another process and its address.
type Peer struct {
	Name    string
	Address string
}

// Message is an update to send to a peer.
type Message struct {
	To     Peer
	Update Update
}

// Sender identifies the sender of a message and its configuration revision.
type Sender struct {
	Name        string
	Revision    id.Revision
	Incarnation id.Incarnation
}

// Key identifies one incarnation of a member in digests. It is a hash over the
// parts of the report that stay the same between reports.
type Key uint64

// TargetKey returns the key of a target's report.
func TargetKey(r *member.TargetReport) Key {
	d := hashKey("target", string(r.Target), r.Incarnation, string(r.Model), string(r.Version), string(r.Role),
		r.Address, strconv.Itoa(r.Slots))
	for _, a := range r.Adapters {
		_, _ = d.WriteString(string(a) + "\x00")
	}
	return Key(d.Sum64())
}

// EntryKey returns the key of an entry's report.
func EntryKey(r *member.EntryReport) Key {
	return Key(hashKey("entry", string(r.Entry), r.Incarnation, r.Address, string(r.Place.Zone)).Sum64())
}

func hashKey(kind, name string, incarnation id.Incarnation, parts ...string) *xxhash.Digest {
	d := xxhash.NewWithSeed(uint64(incarnation))
	_, _ = d.WriteString(kind + "\x00" + name + "\x00")
	for _, part := range parts {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d
}

// LoadDigest holds the parts of a ready target's report that change between
// reports.
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

// EntryDigest holds the parts of a ready entry's report that change between
// reports.
type EntryDigest struct {
	Key      Key
	Sequence id.Sequence
	At       time.Time
	Revision id.Revision
}

// Quarantine says that requests with a fingerprint are refused until a time.
type Quarantine struct {
	Fingerprint id.Fingerprint
	Until       time.Time
	// Deaths are the targets that crashed while running such a request.
	Deaths []id.Target
}

// Update is the content of a request or a reply of an exchange.
type Update struct {
	From Sender
	// Self is set by entries.
	Self         *member.EntryReport
	Loads        []member.TargetReport
	Entries      []member.EntryReport
	LoadDigests  []LoadDigest
	EntryDigests []EntryDigest
	// KnownLoads and KnownEntries answer Wants, WantMembers and WantEntries.
	// The receiver does not gossip them further.
	KnownLoads   []member.TargetReport
	KnownEntries []member.EntryReport
	Quarantines  []Quarantine
	Changes      []conf.Change
	// Snapshot is the whole configuration. It is set when the sender no longer
	// holds the changes that the receiver lacks.
	Snapshot *conf.Snapshot
	// Wants are the keys of digests for which the sender has no full report.
	Wants []Key
	// WantConfig requests the changes after the sender's revision.
	WantConfig bool
	// WantMembers requests a page of all members, starting at this 1-based
	// position; 0 requests none.
	WantMembers int
	// MoreMembers is the start of the next page; 0 after the last one.
	MoreMembers int
	// WantEntries requests the entries that a target reports to.
	WantEntries bool
	// HostLeaving informs a target that its host is marked as leaving in the
	// host list.
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

// Config identifies a process and limits what it sends. A zero number selects
// the default.
type Config struct {
	// Exactly one of Entry and Target is set.
	Entry       id.Entry
	Target      id.Target
	Incarnation id.Incarnation
	Place       member.Place
	Address     string
	// Seeds are addresses to contact while no entry is known, and from time to
	// time afterwards.
	Seeds []string
	// RoundEvery is the interval between rounds, and between the reports of a
	// target.
	RoundEvery time.Duration
	// ReportTo is the number of entries that a target reports to.
	ReportTo int
	// Watchers is the number of entries per zone that watch the key-value
	// service.
	Watchers int
	// UrgentPeers is the number of entries that a new revision is sent to
	// immediately.
	UrgentPeers int
	// MaxTransmissions is how often an entry sends one report.
	MaxTransmissions int
	// EntryDigests and LoadDigests limit the reports of each kind in one
	// message.
	EntryDigests int
	LoadDigests  int
	// AntiEntropyDigests is the number of digests of each kind that are added
	// to a message although they have been transmitted often enough. They
	// rotate over all members and reach peers that missed them before.
	AntiEntropyDigests int
	// ChangeLogLength is the number of changes kept for peers that are behind.
	ChangeLogLength int
	// ReconnectEvery is the interval between attempts to reach an unreachable
	// entry.
	ReconnectEvery time.Duration
	// ReportEntriesEvery is the interval at which a target requests the list of
	// the entries that it reports to.
	ReportEntriesEvery time.Duration
}

// Defaults sets the fields that are zero to their defaults.
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

// Heartbeat intervals grow with the number of members, so that the amount of
// data that one process sends stays constant.
const (
	heartbeatPerEntry     = 50 * time.Millisecond
	maxHeartbeatInterval  = 20 * time.Second
	loadGossipPerTarget   = 80 * time.Millisecond
	maxLoadGossipInterval = time.Minute
)

// heartbeatInterval returns the interval between two heartbeats of an entry.
func heartbeatInterval(entries int) time.Duration {
	return min(max(time.Second, time.Duration(entries)*heartbeatPerEntry), maxHeartbeatInterval)
}

// loadGossipInterval returns the interval after which the load of a target is
// gossiped again. Entries that the target does not report to learn its load
// that way.
func loadGossipInterval(targets int) time.Duration {
	return min(max(time.Second, time.Duration(targets)*loadGossipPerTarget), maxLoadGossipInterval)
}
