// Package limit holds a contract's tokens a second, requests a second and
// concurrency over all entries.
//
// One entry owns a contract's limit: the first by rendezvous hashing over the
// live entries. It keeps one token bucket for the whole deployment and a count
// of the slots held. An entry without credit asks the owner before it admits,
// so that a contract with few requests is limited as by one process. When a
// contract has more requests than the owner should be asked for, the owner
// hands out shares: rates that an entry draws on by itself until the next ask.
// An entry whose owner is silent goes on with its last share, which decays to
// a small floor.
//
// # Bounds
//
// With L tokens (or requests) a second, over any time t in which the owner is
// heard, at most L·t + L·1s + two requests for each entry that admits, or three
// seconds of its share if that is more, are taken: the bucket's burst, what
// entries have saved up, and what each one's last request goes into debt by. An
// entry may admit one request more, the one that it has told a time, when its
// share ended meanwhile. The debt is paid before the next request.
//
// Slots are never above the limit while owners are heard. An owner grants only
// the part of the limit that live entries have of the known ones, so the sides
// of a partition share the limit until the lost side counts as gone; from then
// on each side may use the whole. Entries that hear no owner use at most their
// last shares, halved each FallbackHalfLife, and a quarter of the limit together
// in the end; of the slots they have that quarter besides those they held.
//
// # Retry-After
//
// A caller that comes back to the same entry when it was told to is admitted
// if it alone waits and running requests use no more than their estimates;
// while the contract has no shares out, at any other entry too. For concurrency
// the time is an estimate.
//
// # Usage
//
//	ticket, refusal := local.Admit(contract, cost, now)
//	if refusal != nil && refusal.Ask != nil {
//		grant, err := askOwner(*refusal.Ask)   // or local.OwnerSilent
//		local.Granted(grant, now)
//		ticket, refusal = local.Admit(contract, cost, now)
//	}
//	…
//	local.Correct(ticket, actualTokens, now)
//	local.Release(ticket, now)
package limit

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// GrantRequest is what an entry asks of a contract's owner.
type GrantRequest struct {
	Contract id.Contract
	// RequestsPerSecond and TokensPerSecond are what callers want of late.
	RequestsPerSecond float64
	TokensPerSecond   float64
	// Requests and Tokens are wanted at once, for requests that wait.
	Requests int
	Tokens   float64
	// Slots are wanted besides those in use.
	Slots   int
	Running int
	// ReturnedTokens are unused tokens that go back, or a debt when negative;
	// RequestsBack are unused requests.
	ReturnedTokens   float64
	ReturnedRequests float64
	// HeldRequestsPerSecond and HeldTokensPerSecond are the shares still in
	// force, for an owner that has just taken over.
	HeldRequestsPerSecond float64
	HeldTokensPerSecond   float64
}

// Grant is the owner's answer.
type Grant struct {
	Contract id.Contract
	// Requests and Tokens may be used at once.
	Requests int
	Tokens   float64
	// RequestsPerSecond and TokensPerSecond are the entry's share until it
	// asks again, at most for Lasts.
	RequestsPerSecond float64
	TokensPerSecond   float64
	// Slots is how many requests may run at the entry.
	Slots    int
	ValidFor time.Duration
	// RenewAfter is how long the entry's share is meant to last before it asks
	// again; zero when it has none and asks for each request.
	RenewAfter time.Duration
	// RefusedBy is the limit that refuses what was wanted at once.
	RefusedBy Limit
	// RetryAfter is when the owner could grant another request at once;
	// NextAfter is how much later it would be after one more such request, for
	// callers that are refused without asking again.
	RetryAfter     time.Duration
	RetryIncrement time.Duration
	// Contended says that callers want more than the limit. The entry then
	// keeps to AskAfter.
	Contended bool
	// NearLimit says that little of the limit is left. The entry then tells soon of
	// slots and tokens that came free.
	NearLimit bool
	// ReturnedTokens repeats the ask's, so that a debt is known to be taken over.
	ReturnedTokens float64
}

// Limit names a limit that refuses a request.
type Limit string

// Limits of a contract.
const (
	RequestsPerSecond Limit = "requestsPerSecond"
	TokensPerSecond   Limit = "tokensPerSecond"
	Concurrency       Limit = "concurrency"
)

// Times of the protocol between entries and owners.
const (
	// SlotTTL is how long an owner counts the slots of an entry that it does
	// not hear of.
	SlotTTL = 30 * time.Second
	// SlotRenewInterval is the time between two asks of an entry that holds slots.
	SlotRenewInterval = 5 * time.Second
	// MaxShareInterval is the longest time between two asks of an entry with a share.
	MaxShareInterval = 15 * time.Second
	// MinShareInterval is the shortest.
	MinShareInterval = time.Second
	// FallbackHalfLife is the time in which the share of an entry that hears no
	// owner halves.
	FallbackHalfLife = 10 * time.Second
	// ShareThreshold is how many asks for one contract an owner answers before
	// it hands out shares.
	ShareThreshold = 20
	// burst is the time for which an unused limit is kept.
	burst = time.Second
	// takeover is how long a new owner waits for the asks of entries that hold
	// slots before it hands out all others.
	takeover = SlotRenewInterval
	// floorPart of the limit is used by all entries together when none hears
	// the owner.
	floorPart = 0.25
	// sharesPart is the largest part of the limit that goes out as shares; the
	// rest stays for requests of entries without one.
	sharesPart = 0.98
	// shareDemand is the mean demand of all entries, in requests a second, from
	// which on shares are handed out to all that want as much; an entry that
	// wants ownShareDemand gets one in any case.
	shareDemand    = 0.2
	ownShareDemand = 1
	// spareRequests are granted at most besides the wanted ones to an entry
	// that would soon ask again; spareShare is the part of the bucket that
	// one grant may take for it.
	spareRequests = 3
	spareShare    = 0.125
	// contendedPart of the limit wanted makes it contended.
	contendedPart = 0.9
	// contendedLasts is how long a refusal keeps a contract contended.
	contendedLasts = 5 * time.Second
	// tightPart of the slots in use, or of the bucket missing, makes it tight.
	tightPart = 0.5
	// slotRetry is how long an entry waits before it asks for a slot again.
	slotRetry = 100 * time.Millisecond
	// takeoverPart of the slots may be granted by a new owner at once.
	takeoverPart = 0.125
)

// OwnerOf returns the entry that owns a contract's limit among live entries.
func OwnerOf(contract id.Contract, live []id.Entry) id.Entry {
	return id.OwnerOf("limit/"+string(contract), live)
}
