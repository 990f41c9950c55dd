// Package limit enforces a contract's limits on tokens per second, requests per
// second and concurrency across all entries.
//
// One entry owns a contract's limits: the first by rendezvous hashing over the
// live entries. The owner keeps one token bucket for the whole deployment and
// counts the slots held. An entry without credit requests a grant from the owner
// before it admits a request, so a contract with few requests is limited as if
// by a single process. When a contract has more requests than the owner should
// decide one by one, the owner hands out shares: rates that an entry uses on
// its own until it renews them. An entry whose owner is unreachable keeps using
// its last share, which decays to a small floor.
//
// # Bounds
//
// With L tokens (or requests) per second, at most L·t + L·1s + two requests for
// each admitting entry (or three seconds of the entry's share, if that is more)
// are admitted in any time t in which the owner is reachable. The terms beyond
// L·t are the bucket's burst, the credit saved by entries and the debt from
// each entry's last request. An entry may admit one more request, the one whose
// caller it gave a Retry-After, if its share has ended since. A debt is repaid
// before the next request is admitted.
//
// Slots never exceed the limit while owners are reachable. An owner grants only
// the fraction of the limit given by live entries over known entries, so the
// two sides of a partition divide the limit until the lost entries count as
// gone; from then on each side may use the whole limit. Entries that reach no
// owner use at most their last shares, which halve every FallbackHalfLife, and
// together a quarter of the limit in the end; for slots they use that quarter
// in addition to the slots they already held.
//
// # Retry-After
//
// A caller that retries at the same entry after its Retry-After is admitted if
// no other caller waits and running requests use no more than their estimates.
// While the contract has no shares handed out, this holds at any other entry
// too. For the concurrency limit the time is an estimate.
//
// # Usage
//
//	ticket, refusal := limiter.Admit(contract, cost, now)
//	if refusal != nil && refusal.GrantRequest != nil {
//		grant, err := requestGrant(*refusal.GrantRequest)   // or limiter.OwnerUnreachable
//		limiter.ApplyGrant(grant, now)
//		ticket, refusal = limiter.Admit(contract, cost, now)
//	}
//	…
//	limiter.CorrectCost(ticket, actualTokens, now)
//	limiter.Release(ticket, now)
package limit

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// GrantRequest is an entry's request to the owner of a contract's limits.
type GrantRequest struct {
	Contract id.Contract
	// RequestsPerSecond and TokensPerSecond are the recent demand of callers.
	RequestsPerSecond float64
	TokensPerSecond   float64
	// Requests and Tokens are needed immediately, for waiting requests.
	Requests int
	Tokens   float64
	// Slots are wanted in addition to those in use.
	Slots   int
	Running int
	// ReturnedTokens are unused tokens given back to the owner, or a debt if
	// negative; ReturnedRequests are unused requests.
	ReturnedTokens   float64
	ReturnedRequests float64
	// HeldRequestsPerSecond and HeldTokensPerSecond are the share still in
	// force, for an owner that has just taken over.
	HeldRequestsPerSecond float64
	HeldTokensPerSecond   float64
}

// Grant is the owner's answer to a GrantRequest.
type Grant struct {
	Contract id.Contract
	// Requests and Tokens may be used immediately.
	Requests int
	Tokens   float64
	// RequestsPerSecond and TokensPerSecond are the entry's share until its
	// next renewal, at most for ValidFor.
	RequestsPerSecond float64
	TokensPerSecond   float64
	// Slots is how many requests may run at the entry.
	Slots    int
	ValidFor time.Duration
	// RenewAfter is when the entry should renew its share; zero if it has no
	// share and sends a grant request for each request.
	RenewAfter time.Duration
	// RefusedBy is the limit that refused the requests needed immediately.
	RefusedBy Limit
	// RetryAfter is when the owner could grant another request immediately.
	// RetryIncrement is added for each further such request, for callers that
	// the entry refuses without another grant request.
	RetryAfter     time.Duration
	RetryIncrement time.Duration
	// Contended says that demand exceeds the limit. The entry then sends no
	// grant request for waiting requests before RenewAfter.
	Contended bool
	// NearLimit says that little of the limit is left. The entry then reports
	// freed slots and tokens soon.
	NearLimit bool
	// ReturnedTokens repeats the value of the request, to confirm that the
	// owner has taken over a debt.
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

// Parameters of the protocol between entries and owners.
const (
	// SlotTTL is how long an owner counts the slots of an entry from which it
	// receives nothing.
	SlotTTL = 30 * time.Second
	// SlotRenewInterval is the time between two grant requests of an entry that
	// holds slots.
	SlotRenewInterval = 5 * time.Second
	// MaxShareInterval is the longest time between two grant requests of an
	// entry with a share.
	MaxShareInterval = 15 * time.Second
	// MinShareInterval is the shortest such time.
	MinShareInterval = time.Second
	// FallbackHalfLife is the half-life of the share of an entry whose owner is
	// unreachable.
	FallbackHalfLife = 10 * time.Second
	// ShareThreshold is the number of requests per second for one contract above
	// which its owner hands out shares. It applies to the demand that entries
	// report and to the grant requests that the owner receives.
	ShareThreshold = 20
	// burstTime is how long an unused limit accumulates in the owner's bucket.
	burstTime = time.Second
	// takeoverTime is how long a new owner waits for renewals of entries that
	// hold slots before it hands out the remaining slots.
	takeoverTime = SlotRenewInterval
	// fallbackFloorPart is the fraction of the limit that all entries together
	// use when none reaches the owner.
	fallbackFloorPart = 0.25
	// maxSharesPart is the largest fraction of the limit handed out as shares;
	// the rest is kept for requests of entries without a share.
	maxSharesPart = 0.98
	// meanShareDemand is the mean demand over all entries, in requests per
	// second, from which each entry with at least that demand gets a share. An
	// entry whose demand reaches ownShareDemand always gets one.
	meanShareDemand = 0.2
	ownShareDemand  = 1
	// maxSpareRequests is how many requests beyond those wanted are granted to
	// an entry that would soon need another grant. One grant may take at most
	// spareBucketPart of the bucket for them.
	maxSpareRequests = 3
	spareBucketPart  = 0.125
	// contendedPart is the fraction of the limit from which demand makes it
	// contended.
	contendedPart = 0.9
	// contendedTime is how long a contract counts as contended after a refusal.
	contendedTime = 5 * time.Second
	// nearLimitPart is the fraction of slots in use, or of the bucket missing,
	// above which the contract is near its limit.
	nearLimitPart = 0.5
	// slotRetryInterval is how long an entry waits before it requests a slot
	// again, or renews early because the contract is near its limit.
	slotRetryInterval = 100 * time.Millisecond
	// takeoverPart is the fraction of the slots, and of the requests and tokens of
	// one second, that a new owner may grant immediately.
	takeoverPart = 0.125
)

// OwnerOf returns the live entry that owns a contract's limits.
func OwnerOf(contract id.Contract, live []id.Entry) id.Entry {
	return id.OwnerOf("limit/"+string(contract), live)
}
