// Package roster tracks the other entries, from the messages that they send
// about themselves and about each other. No list of entries is configured: an
// entry starts with a few seed addresses, which may be outdated, and learns the
// rest.
//
// # Usage
//
//	r := roster.New(self, seeds)
//	if r.Observe(now, roster.Peer{…}, mentioned) != roster.Stale { … }
//	for _, address := range r.Addresses(now) { … }
//	n := r.LimitSharers(now)
//
// A Roster is safe for concurrent use.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// aliveTimeout is how long an entry counts as running after its last
	// message.
	aliveTimeout = 3 * time.Second
	// peerRetention is how long messages are still sent to an entry that fell
	// silent, so that both sides of a network partition find each other again.
	peerRetention = 30 * time.Second
	// limitTimeout is how long after its last message an entry still counts
	// when common limits are divided. It is longer than the windows of those
	// limits.
	limitTimeout = 15 * time.Second
	// restartTime is how long an entry that has stopped takes until it serves
	// again.
	restartTime = time.Second
	// minEntries is the number of entries assumed until more are known.
	minEntries = 4
	// maxPeers limits the number of addresses that peers can add.
	maxPeers = 1000
)

// Peer is what another entry reports about itself.
type Peer struct {
	Name    id.Entry
	Address string
	// Zone is empty if the entry does not say.
	Zone        id.Zone
	Incarnation id.Incarnation
	Sequence    id.Sequence
	// StopsIn is the time until the entry ends after finishing its work; 0
	// while it serves.
	StopsIn time.Duration
}

// newer reports whether p is newer than o, a report of the same entry.
func (p *Peer) newer(o *Peer) bool {
	if p.Incarnation != o.Incarnation {
		return p.Incarnation > o.Incarnation
	}
	return p.Sequence > o.Sequence
}

// Roster holds the other entries that one entry knows.
type Roster struct {
	self  string
	seeds []string

	mu    sync.Mutex
	peers map[string]*peerState
}

// peerState is the state of one address.
type peerState struct {
	peer       Peer
	receivedAt time.Time
	// mentionedAt is when the address was last mentioned by any entry.
	mentionedAt time.Time
}

// alive reports whether a message was recently received from the address.
func (s *peerState) alive(now time.Time) bool {
	return !s.receivedAt.IsZero() && now.Sub(s.receivedAt) <= aliveTimeout
}

// New returns a Roster for the entry at the address self, which starts with the
// addresses of the seeds.
func New(self string, seeds []string) *Roster {
	return &Roster{self: self, seeds: seeds, peers: map[string]*peerState{}}
}

// Verdict classifies a received message.
type Verdict string

// Verdicts.
const (
	// Stale messages are not newer than one that was received before, or come
	// from this entry itself.
	Stale Verdict = "stale"
	// First messages are the first ones of an incarnation.
	First Verdict = "first"
	// Next messages are newer than all previous ones of the incarnation.
	Next Verdict = "next"
)

// Observe records a message of a peer, together with the addresses that the
// peer mentions, and classifies the message.
func (r *Roster) Observe(now time.Time, p Peer, mentioned []string) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.getOrCreate(p.Address)
	if state == nil || (!state.receivedAt.IsZero() && !p.newer(&state.peer)) {
		return Stale
	}
	verdict := Next
	if state.receivedAt.IsZero() || state.peer.Incarnation != p.Incarnation {
		verdict = First
	}
	state.peer, state.receivedAt, state.mentionedAt = p, now, now
	for _, address := range mentioned {
		if other := r.getOrCreate(address); other != nil {
			other.mentionedAt = now
		}
	}
	return verdict
}

// getOrCreate returns the state of an address. It returns nil for the own
// address, and for a new address once maxPeers are known.
func (r *Roster) getOrCreate(address string) *peerState {
	if address == r.self {
		return nil
	}
	state := r.peers[address]
	if state == nil && len(r.peers) < maxPeers {
		state = &peerState{}
		r.peers[address] = state
	}
	return state
}

// Addresses returns the addresses to send messages to, in sorted order: the
// seeds, and every address that a message recently came from or mentioned.
func (r *Roster) Addresses(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses := slices.DeleteFunc(slices.Clone(r.seeds), func(a string) bool { return a == r.self })
	for address, state := range r.peers {
		if now.Sub(state.mentionedAt) > peerRetention {
			delete(r.peers, address)
			continue
		}
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// Alive returns the addresses of the entries that a message was recently
// received from.
func (r *Roster) Alive(now time.Time) []string {
	return r.aliveWhere(now, func(*Peer) bool { return true })
}

// AliveIn returns those of them that are in a zone.
func (r *Roster) AliveIn(now time.Time, zone id.Zone) []string {
	return r.aliveWhere(now, func(p *Peer) bool { return p.Zone == zone })
}

func (r *Roster) aliveWhere(now time.Time, wanted func(*Peer) bool) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var addresses []string
	for address, state := range r.peers {
		if state.alive(now) && wanted(&state.peer) {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// CountAlive returns the number of entries that a message was recently received from.
func (r *Roster) CountAlive(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, state := range r.peers {
		if state.alive(now) {
			n++
		}
	}
	return n
}

// Rank returns the place of this entry in an order of the running entries of a zone, which
// all of them agree on as far as they know each other. The first place is 0.
func (r *Roster) Rank(now time.Time, zone id.Zone) int {
	return id.RendezvousRank("rank", r.self, r.AliveIn(now, zone))
}

// Closest returns the addresses of n running entries for a key, by rendezvous hashing, so
// that entries which know the same ones choose the same. They are in different
// availability zones as far as possible. This entry is not among them.
func (r *Roster) Closest(now time.Time, key string, n int) []string {
	type candidate struct {
		address string
		zone    id.Zone
		score   uint64
	}
	r.mu.Lock()
	var candidates []candidate
	for address, state := range r.peers {
		if state.alive(now) {
			candidates = append(candidates, candidate{address, state.peer.Zone, xxhash.Sum64String(key + "/" + address)})
		}
	}
	r.mu.Unlock()
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	var closest, rest []string
	zones := map[id.Zone]bool{}
	for _, c := range candidates {
		if zones[c.zone] {
			rest = append(rest, c.address)
			continue
		}
		zones[c.zone] = true
		closest = append(closest, c.address)
	}
	closest = append(closest, rest...)
	return closest[:min(n, len(closest))]
}

// LimitShare returns the share of a common limit that the entries which reach
// each other may use together. It is the whole limit as long as none of the
// counted entries is silent.
func (r *Roster) LimitShare(now time.Time) float64 { return r.shareOfContacts(now, minEntries) }

// ContactShare returns the same for an entry that has had the time to meet all others, so
// that there may be fewer than minEntries.
func (r *Roster) ContactShare(now time.Time) float64 { return r.shareOfContacts(now, 1) }

// shareOfContacts returns the part of the entries that share common limits, at least
// least, which this entry hears from.
func (r *Roster) shareOfContacts(now time.Time, least int) float64 {
	return float64(1+r.CountAlive(now)) / float64(max(r.LimitSharers(now), least))
}

// LimitSharers returns the number of entries that share common limits,
// including this one.
func (r *Roster) LimitSharers(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 1
	for _, state := range r.peers {
		if !state.receivedAt.IsZero() && now.Sub(state.receivedAt) <= limitTimeout {
			n++
		}
	}
	return n
}

// TimeUntilServing returns the time until another entry accepts new work: 0 if
// one does now, otherwise the time until the first of those that are stopping
// has restarted. The result is false if no other running entry is known.
func (r *Roster) TimeUntilServing(now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	soonest, known := time.Duration(0), false
	for _, state := range r.peers {
		if !state.alive(now) {
			continue
		}
		wait := time.Duration(0)
		if state.peer.StopsIn > 0 {
			wait = max(0, state.peer.StopsIn-now.Sub(state.receivedAt)) + restartTime
		}
		if !known || wait < soonest {
			soonest, known = wait, true
		}
	}
	return soonest, known
}
