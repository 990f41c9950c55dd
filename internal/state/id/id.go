// Package id names the things that foxtailward counts, addresses and compares.
//
// Each identifier and unit has a type of its own, so that a zone is never
// passed where a host is meant and a token index never where a token is.
//
// # Usage
//
//	home := id.Home(request, entries)
//	key := id.ForKey("staplerdienst", "order-4711")
package id

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Names of places, processes and customers. Each is unique in a deployment.
type (
	// Region is a group of availability zones.
	Region string
	// Zone is an availability zone.
	Zone string
	// Host is a machine; the host list names hosts.
	Host string
	// Entry is an entry process, named after its host.
	Entry string
	// Target is a model engine or plain service with the process beside it.
	Target string
	// Contract is a customer's contract.
	Contract string
)

// Names of what a target serves.
type (
	// Model is a model family that callers ask for.
	Model string
	// Version is a version of a model's weights.
	Version string
	// Adapter is a set of weights applied over a model; empty means none.
	Adapter string
	// Service is a plain service.
	Service string
)

// Numbers that order events. All start at 1; zero means none.
type (
	// Revision numbers accepted configuration changes.
	Revision int64
	// Incarnation numbers the starts of one process, as Unix milliseconds.
	Incarnation int64
	// Sequence numbers the reports of one incarnation.
	Sequence uint64
	// Epoch numbers the owners of one request.
	Epoch uint64
	// Attempt numbers the attempts of one request within its lineage.
	Attempt uint32
	// Fence numbers the leaders that give orders.
	Fence int64
	// TokenIndex is the position of a token in an answer, from 0.
	TokenIndex uint32
)

// Lineage names one generation of a request. Attempts that continue one
// another share it; an answer that was restarted has a new one.
type Lineage string

// Fingerprint identifies what a request asks for, whoever sends it.
type Fingerprint uint64

// Request is the id of a request and of its answer. It has the form
// "ans-HHHHHHHH-…": H is the home part, the rest is random or a hash.
type Request string

const (
	requestPrefix   = "ans-"
	homePartDigits  = 8
	noHomePart      = "00000000"
	randomPartBytes = 12
)

// NewRequest returns a fresh id whose home is entry while entry lives.
func NewRequest(entry Entry) Request {
	var random [randomPartBytes]byte
	// crypto/rand.Read never fails since Go 1.24.
	_, _ = rand.Read(random[:])
	return Request(requestPrefix + homePart(entry) + "-" + hex.EncodeToString(random[:]))
}

// RequestForKey returns the id that all requests of a contract with one idempotency
// key share, whichever entry receives them.
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

// Keyed reports whether r was made from an idempotency key.
func (r Request) Keyed() bool { return r.Valid() && r.homePart() == noHomePart }

// homePart returns r's home part.
func (r Request) homePart() string {
	if !r.Valid() {
		return noHomePart
	}
	return string(r)[len(requestPrefix) : len(requestPrefix)+homePartDigits]
}

// RendezvousScore ranks node for key by rendezvous hashing; the highest score wins.
func RendezvousScore(key, node string) uint64 {
	return hash64(key, node)
}

// HomeEntry returns the entry that owns r among entries, or "" when there is none.
// The entry in r's home part goes first; the others follow by score.
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

// OwnerOf returns the entry that owns key among entries, by score alone.
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

func homePart(e Entry) string {
	part := hexDigits(hash64(string(e)))[:homePartDigits]
	if part == noHomePart {
		return "00000001"
	}
	return part
}

// hash64 hashes parts with a separator, so that ("ab", "c") and ("a", "bc")
// differ.
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

// FingerprintOf hashes what a request asks for.
func FingerprintOf(parts ...string) Fingerprint {
	return Fingerprint(hash64(parts...))
}

// String returns f as 16 hexadecimal digits.
func (f Fingerprint) String() string { return hexDigits(uint64(f)) }
