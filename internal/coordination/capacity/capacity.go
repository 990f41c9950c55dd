// Package capacity decides whether an entry takes new connections, by how much of its own
// processor and link is in use. Entries of one deployment may have very unequal limits, while
// clients spread over them evenly.
//
// An entry that has too little room says that it is not ready, so that new clients go to the
// others. That is bounded: it never lasts for more than a small share of the entry's time, and
// only a small part of the entries of a zone does so at the same time, since the others get
// the load.
//
// # Usage
//
//	d := capacity.New(name, now)
//	decision := d.Observe(now, capacity.Load{Processor: 0.97, Lag: lag}, others)
//	if !decision.Accepts { … }
package capacity

import (
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// chokedTime is how long an entry must be choked before it takes no new connections, and
	// relievedTime how long it must not be before it takes them again.
	chokedTime   = time.Second
	relievedTime = time.Second
	// fullShare is the share of a limit in use from which the entry is choked, and relievedShare
	// that up to which it is relieved.
	fullShare     = 0.9
	relievedShare = 0.7
	// minLag is how late the entry's own timers are, at least, if its processor is too slow
	// for its load. A busy processor without a lag delays no caller.
	minLag = 50 * time.Millisecond
	// An entry may be away for firstAway and for awayShare of its time since its start. It
	// does not leave for less than minAway.
	firstAway = time.Second
	awayShare = 1.0 / 16
	minAway   = time.Second
	// maxAwayShare is the largest share of the entries of a zone that are away at the same time.
	maxAwayShare = 0.25
)

// Load is how much of its limits an entry uses.
type Load struct {
	// Processor and Link are shares of the entry's limits; 0 if they are not known.
	Processor, Link float64
	// Lag is by how much the entry's own timers were late.
	Lag time.Duration
}

// Others are the other entries of the same zone that are alive.
type Others struct {
	Alive int
	// Away are those of them that take no new connections.
	Away []id.Entry
}

// Reason says why a decision was taken.
type Reason string

// Reasons.
const (
	// HasRoom means that the entry is not choked.
	HasRoom Reason = "hasRoom"
	// ByProcessor and ByLink mean that the entry is choked by its processor or its link.
	ByProcessor Reason = "processor"
	ByLink      Reason = "link"
	// OthersAway means that enough other entries of the zone are away.
	OthersAway Reason = "othersAway"
	// AllowanceSpent means that the entry has been away for as long as it may be.
	AllowanceSpent Reason = "allowanceSpent"
)

// Decision says whether the entry takes new connections.
type Decision struct {
	Accepts bool
	Reason  Reason
}

// Decider decides for one entry. It is not safe for concurrent use.
type Decider struct {
	name    id.Entry
	started time.Time

	away bool
	// since is when the entry began to be choked, or while it is away, to be relieved; zero if
	// it is not.
	since time.Time
	// spent is the time for which the entry has been away until observedAt.
	spent      time.Duration
	observedAt time.Time
}

// New returns a Decider for an entry that has started now and takes connections.
func New(name id.Entry, now time.Time) *Decider {
	return &Decider{name: name, started: now, observedAt: now}
}

// Observe returns the decision for the load at this time.
func (d *Decider) Observe(now time.Time, l Load, o Others) Decision {
	if d.away {
		d.spent += max(0, now.Sub(d.observedAt))
	}
	d.observedAt = now
	if d.away {
		return d.whileAway(now, l, o)
	}
	reason := l.choke(fullShare)
	switch {
	case !d.lasts(now, reason != HasRoom, chokedTime):
		return Decision{true, reason}
	case float64(len(o.Away)+1) > o.mostAway():
		return Decision{true, OthersAway}
	case d.allowance(now)-d.spent < minAway:
		return Decision{true, AllowanceSpent}
	}
	d.away, d.since = true, time.Time{}
	return Decision{false, reason}
}

// whileAway decides for an entry that takes no new connections.
func (d *Decider) whileAway(now time.Time, l Load, o Others) Decision {
	reason := l.choke(relievedShare)
	back := HasRoom
	switch {
	case d.spent >= d.allowance(now):
		back = AllowanceSpent
	case d.yields(o):
		back = OthersAway
	case !d.lasts(now, reason == HasRoom, relievedTime):
		return Decision{false, reason}
	}
	d.away, d.since = false, time.Time{}
	return Decision{true, back}
}

// lasts reports whether a condition has held for so long, without a break.
func (d *Decider) lasts(now time.Time, holds bool, long time.Duration) bool {
	if !holds {
		d.since = time.Time{}
		return false
	}
	if d.since.IsZero() {
		d.since = now
	}
	return now.Sub(d.since) >= long
}

// allowance returns for how long the entry may have been away since its start.
func (d *Decider) allowance(now time.Time) time.Duration {
	return firstAway + time.Duration(awayShare*float64(now.Sub(d.started)))
}

// yields reports whether the entry comes back because too many left at the same time. Of
// these, the ones whose names come first stay away.
func (d *Decider) yields(o Others) bool {
	return float64(len(o.Away)+1) > o.mostAway() && slices.Min(append([]id.Entry{d.name}, o.Away...)) != d.name
}

// mostAway returns how many entries of the zone may be away.
func (o *Others) mostAway() float64 { return maxAwayShare * float64(o.Alive+1) }

// choke returns which limit is in use up to a share, or HasRoom. A lag alone is no sign of
// one: a host that was paused is late as well.
func (l *Load) choke(share float64) Reason {
	switch {
	case l.Processor >= share && l.Lag >= minLag:
		return ByProcessor
	case l.Link >= share:
		return ByLink
	}
	return HasRoom
}
