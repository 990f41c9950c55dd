// Package roster keeps which other entries there are, from what they tell of
// themselves and of one another. Nobody writes a list: an entry starts with a
// few addresses, which may be stale, and learns the rest.
//
// # Usage
//
//	r := roster.New(self, seeds)
//	if r.Heard(now, roster.Peer{…}, known) != roster.Stale { … }
//	for _, address := range r.Addresses(now) { … }
//	n := r.Count(now)
//
// A Roster is safe for concurrent use.
package roster

import (
	"slices"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// aliveTime is how long an entry counts as running after its last message.
	aliveTime = 3 * time.Second
	// tellTime is how long an entry that fell silent is still told news, so that
	// both sides of a partition find each other again.
	tellTime = 30 * time.Second
	// countTime is how long an entry counts for shares of common limits. It is
	// longer than the windows of those limits.
	countTime = 15 * time.Second
	// restartTime is how long an entry that has stopped takes to serve again.
	restartTime = time.Second
	// leastEntries is how many entries are reckoned with before they are known.
	leastEntries = 4
	// maxPeers bounds what others may add.
	maxPeers = 1000
)

// Peer is another entry, by its own word.
type Peer struct {
	Name        id.Entry
	Address     string
	Incarnation id.Incarnation
	Sequence    id.Sequence
	// StopsIn is how long the entry finishes its work before it ends; 0 while it
	// serves.
	StopsIn time.Duration
}

// newer reports whether p was said after o by the same entry.
func (p *Peer) newer(o *Peer) bool {
	if p.Incarnation != o.Incarnation {
		return p.Incarnation > o.Incarnation
	}
	return p.Sequence > o.Sequence
}

// Roster is the other entries that one entry knows.
type Roster struct {
	self  string
	seeds []string

	mu    sync.Mutex
	peers map[string]*known
}

// known is an address and what was last heard from there.
type known struct {
	peer  Peer
	heard time.Time
	// named is when the address was last named by somebody.
	named time.Time
}

// New returns a Roster of the entry at the address self, which begins with the
// seeds' addresses.
func New(self string, seeds []string) *Roster {
	return &Roster{self: self, seeds: seeds, peers: map[string]*known{}}
}

// Verdict says what a message is to the one that hears it.
type Verdict string

// Verdicts.
const (
	// Stale messages are older than one that was heard before, or its own.
	Stale Verdict = "stale"
	// First messages are the first of their entry's incarnation.
	First Verdict = "first"
	// Next messages are newer than all before.
	Next Verdict = "next"
)

// Observe notes a message of a peer, which names the addresses that it hears.
func (r *Roster) Observe(now time.Time, p Peer, names []string) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.at(p.Address)
	if k == nil || (!k.heard.IsZero() && !p.newer(&k.peer)) {
		return Stale
	}
	verdict := Next
	if k.heard.IsZero() || k.peer.Incarnation != p.Incarnation {
		verdict = First
	}
	k.peer, k.heard, k.named = p, now, now
	for _, name := range names {
		if other := r.at(name); other != nil {
			other.named = now
		}
	}
	return verdict
}

// at returns what is known of an address; nil for the own one and beyond the
// bound.
func (r *Roster) at(address string) *known {
	if address == r.self {
		return nil
	}
	k := r.peers[address]
	if k == nil && len(r.peers) < maxPeers {
		k = &known{}
		r.peers[address] = k
	}
	return k
}

// Addresses returns whom to tell news: the seeds, and whoever was heard or named
// lately. They are in order.
func (r *Roster) Addresses(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses := slices.DeleteFunc(slices.Clone(r.seeds), func(a string) bool { return a == r.self })
	for address, k := range r.peers {
		if now.Sub(k.named) > tellTime {
			delete(r.peers, address)
			continue
		}
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// Alive returns the addresses of the entries that run, as far as is known.
func (r *Roster) Alive(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var addresses []string
	for address, k := range r.peers {
		if !k.heard.IsZero() && now.Sub(k.heard) <= aliveTime {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// LimitShare returns the part of a common limit that the entries which hear each other
// may use together: all of it while none of those counted is silent.
func (r *Roster) LimitShare(now time.Time) float64 {
	alive := 1 + len(r.Alive(now))
	return float64(alive) / float64(max(r.LimitSharers(now), leastEntries))
}

// LimitSharers returns how many entries share common limits, this one included.
func (r *Roster) LimitSharers(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 1
	for _, k := range r.peers {
		if !k.heard.IsZero() && now.Sub(k.heard) <= countTime {
			n++
		}
	}
	return n
}

// TimeUntilServing returns how long it takes until another entry takes new work: 0
// if one does now, else the time until the first of those that are stopping has
// started again. It is false where no other entry is known.
func (r *Roster) TimeUntilServing(now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	soonest, known := time.Duration(0), false
	for _, k := range r.peers {
		if k.heard.IsZero() || now.Sub(k.heard) > aliveTime {
			continue
		}
		wait := time.Duration(0)
		if k.peer.StopsIn > 0 {
			wait = max(0, k.peer.StopsIn-now.Sub(k.heard)) + restartTime
		}
		if !known || wait < soonest {
			soonest, known = wait, true
		}
	}
	return soonest, known
}
