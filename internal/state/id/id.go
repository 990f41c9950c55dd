// Package id defines the identifiers and sequence numbers of foxtailward.
//
// Each has a type of its own, so that the compiler rejects a zone where a host
// is expected, and a token's index where a token is expected.
//
// # Usage
//
//	home := id.HomeEntry(request, entries)
//	key := id.RequestForKey("staplerdienst", "order-4711")
package id

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Names of locations, processes and customers. Each is unique within a
// deployment.
type (
	// Region is a group of availability zones.
	Region string
	// Zone is an availability zone.
	Zone string
	// Host is a machine, as named in the host list.
	Host string
	// Entry is an entry process; it is named after its host.
	Entry string
	// Target is a model engine or plain service together with the target process
	// in front of it.
	Target string
	// Contract is a customer's contract.
	Contract string
)

// Names of what a target serves.
type (
	// Model is a model family, the name by which callers request a model.
	Model string
	// Version is a version of a model's weights.
	Version string
	// Adapter is a set of weights applied on top of a model; empty means none.
	Adapter string
	// Service is a plain service, one that is not a model engine.
	Service string
	// SoftwareVersion is the version of a target's own program, as opposed to that of a
	// model's weights.
	SoftwareVersion string
)

// Numbers that define an order. All but TokenIndex are at least 1, and 0 means none.
type (
	// Revision numbers accepted configuration changes.
	Revision int64
	// Incarnation identifies one run of a process by its start time in Unix
	// milliseconds.
	Incarnation int64
	// Sequence numbers the reports of one incarnation.
	Sequence uint64
	// Epoch numbers the successive owners of one request.
	Epoch uint64
	// Attempt numbers the attempts of one request within its lineage.
	Attempt uint32
	// Fence is a fencing token. It numbers the successive leaders that give orders.
	Fence int64
	// TokenIndex is the position of a token in an answer, counted from 0.
	TokenIndex uint32
)

// Matches reports whether two incarnations of a process may be the same one. An unknown
// one may be any.
func (i Incarnation) Matches(other Incarnation) bool { return i == 0 || other == 0 || i == other }

// TargetIncarnation identifies one start of a target.
type TargetIncarnation struct {
	Target      Target
	Incarnation Incarnation
}

// Lineage identifies one generation of a request's answer. Attempts that continue
// one another share a lineage; an answer that is restarted gets a new one.
type Lineage string

// Fingerprint is a hash of what a request asks for. It does not depend on who
// sends the request.
type Fingerprint uint64

// Request is the id of a request and of its answer. It has the form
// "ans-HHHHHHHH-…", where HHHHHHHH is the home part. In an id from NewRequest, the
// home part is a hash of the name of the request's home entry, and the rest is
// random. In an id from RequestForKey, the home part is 00000000, and the rest is
// a hash of the contract's name and the idempotency key.
type Request string

const (
	requestPrefix   = "ans-"
	homePartDigits  = 8
	noHomePart      = "00000000"
	randomPartBytes = 12
)

// NewRequest returns a new random id. Its home entry is entry as long as entry is
// live.
func NewRequest(entry Entry) Request {
	var random [randomPartBytes]byte
	// crypto/rand.Read never fails since Go 1.24.
	_, _ = rand.Read(random[:])
	return Request(requestPrefix + homePart(entry) + "-" + hex.EncodeToString(random[:]))
}

// RequestForKey returns the id that all requests of a contract with the same
// idempotency key share, whichever entry receives them.
func RequestForKey(contract Contract, key string) Request {
	low := hash64(string(contract), key, "low")
	high := hash64(string(contract), key, "high")
	return Request(requestPrefix + noHomePart + "-" + hexDigits(high) + hexDigits(low))
}

// Valid reports whether r has the form of a request id.
func (r Request) Valid() bool {
	rest, ok := strings.CutPrefix(string(r), requestPrefix)
	if !ok || len(rest) < homePartDigits+2 || rest[homePartDigits] != '-' {
		return false
	}
	for _, c := range rest[homePartDigits+1:] {
		if !strings.ContainsRune("0123456789abcdef", c) {
			return false
		}
	}
	return len(rest) <= homePartDigits+1+2*16
}

// Keyed reports whether r was derived from an idempotency key.
func (r Request) Keyed() bool { return r.Valid() && r.homePart() == noHomePart }

// homePart returns r's home part, or noHomePart if r does not have the form of a
// request id.
func (r Request) homePart() string {
	if !r.Valid() {
		return noHomePart
	}
	return string(r)[len(requestPrefix) : len(requestPrefix)+homePartDigits]
}

// RendezvousScore returns the weight of node for key in rendezvous hashing. The
// node with the highest score owns the key.
func RendezvousScore(key, node string) uint64 {
	return hash64(key, node)
}

// RendezvousRank returns how many of the other nodes have a higher score for key than self,
// so that nodes which know the same ones agree on an order. The first place is 0.
func RendezvousRank(key, self string, others []string) int {
	own := RendezvousScore(key, self)
	rank := 0
	for _, other := range others {
		if RendezvousScore(key, other) > own {
			rank++
		}
	}
	return rank
}

// HomeEntry returns which of entries owns r, or "" if entries is empty. It is the
// entry that r's home part refers to, if entries contains that one, and otherwise
// the entry with the highest rendezvous score.
func HomeEntry(r Request, entries []Entry) Entry {
	var best Entry
	var bestScore uint64
	part := r.homePart()
	for _, e := range entries {
		if part != noHomePart && homePart(e) == part {
			return e
		}
		score := RendezvousScore(string(r), string(e))
		if best == "" || score > bestScore || (score == bestScore && e < best) {
			best, bestScore = e, score
		}
	}
	return best
}

// OwnerOf returns which of entries owns key, by rendezvous score alone; "" if
// entries is empty.
func OwnerOf(key string, entries []Entry) Entry {
	var best Entry
	var bestScore uint64
	for _, e := range entries {
		score := RendezvousScore(key, string(e))
		if best == "" || score > bestScore || (score == bestScore && e < best) {
			best, bestScore = e, score
		}
	}
	return best
}

// homePart returns the home part of the requests whose home entry is e. It never
// returns noHomePart, which is reserved for ids derived from idempotency keys.
func homePart(e Entry) string {
	part := hexDigits(hash64(string(e)))[:homePartDigits]
	if part == noHomePart {
		return "00000001"
	}
	return part
}

// hash64 hashes parts with a separator after each, so that the hashes of
// ("ab", "c") and ("a", "bc") differ.
func hash64(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

func hexDigits(n uint64) string {
	s := strconv.FormatUint(n, 16)
	return strings.Repeat("0", 16-len(s)) + s
}

// FingerprintOf returns the fingerprint of a request that consists of parts.
func FingerprintOf(parts ...string) Fingerprint {
	return Fingerprint(hash64(parts...))
}

// String returns f as 16 hexadecimal digits.
func (f Fingerprint) String() string { return hexDigits(uint64(f)) }
