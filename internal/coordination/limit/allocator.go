package limit

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Allocator answers grant requests for the contracts that an entry owns. It is safe
// for concurrent use.
type Allocator struct {
	mu     sync.Mutex
	states map[id.Contract]*ownerState
}

// NewAllocator returns an Allocator that has granted nothing.
func NewAllocator() *Allocator { return &Allocator{states: map[id.Contract]*ownerState{}} }

// ownerState is the state of one contract at its owner.
type ownerState struct {
	createdAt  time.Time
	refilledAt time.Time
	requests   float64
	tokens     float64
	holders    map[id.Entry]*holder
	// windowRequests counts the grant requests for waiting requests in the second
	// that began at windowStart, previousWindowRequests those in the second
	// before it.
	windowStart            time.Time
	windowRequests         int
	previousWindowRequests int
	usedAt                 time.Time
	refusedAt              time.Time
	// slotRefusedAt is when a slot was last refused.
	slotRefusedAt time.Time
	// promisedUntil is the latest retry time given to an entry for a rate limit.
	// No entry gets an earlier one afterwards, because callers may retry at
	// another entry than the one that refused them.
	promisedUntil time.Time
}

// holder is the share and the slots that one entry holds of a contract.
type holder struct {
	demandRequests float64
	demandTokens   float64
	shareRequests  float64
	shareTokens    float64
	shareUntil     time.Time
	slots          int
	slotsUntil     time.Time
	// wantedSlots is the number of slots in use plus those requested, at the last
	// request for slots.
	wantedSlots      int
	slotsRequestedAt time.Time
}

// EntryCounts are the numbers of entries as the owner sees them.
type EntryCounts struct {
	// Live entries are reachable; Known includes suspect entries too.
	Live  int
	Known int
}

// livePart returns the fraction of the limits that the owner may grant: that of the live
// entries among the known ones.
func (c EntryCounts) livePart() float64 {
	if c.Known <= c.Live || c.Known == 0 {
		return 1
	}
	return float64(c.Live) / float64(c.Known)
}

// Grant answers an entry's grant request for a contract with the given limits.
func (a *Allocator) Grant(entry id.Entry, req GrantRequest, limits contract.Limits, counts EntryCounts, now time.Time) Grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	o := a.states[req.Contract]
	if o == nil {
		o = &ownerState{createdAt: now, refilledAt: now, holders: map[id.Entry]*holder{}}
		o.requests = max(1, takeoverPart*float64(limits.RequestsPerSecond))
		o.tokens = max(1, takeoverPart*float64(limits.TokensPerSecond))
		a.states[req.Contract] = o
	}
	livePart := counts.livePart()
	o.refill(limits, livePart, now)
	if req.Requests > 0 {
		o.countRequest(now)
	}
	h := o.updateHolder(entry, req, now)
	o.tokens += req.ReturnedTokens
	o.requests += req.ReturnedRequests
	grant := Grant{Contract: req.Contract, ReturnedTokens: req.ReturnedTokens, ValidFor: SlotTTL}
	if o.aboveShareThreshold() && h.qualifiesForShare(o.meanDemand()) {
		o.grantShare(h, &grant, limits, livePart, now)
	}
	o.grantImmediately(h, req, &grant, limits, livePart, now)
	grant.Contended = grant.Contended || now.Sub(o.refusedAt) < contendedTime
	grant.NearLimit = o.nearLimit(limits, livePart, now)
	return grant
}

// nearLimit reports whether little of the limit is left. While the contract has
// shares, these adapt to the demand, and only refused slots count.
func (o *ownerState) nearLimit(limits contract.Limits, livePart float64, now time.Time) bool {
	if now.Sub(o.slotRefusedAt) < contendedTime {
		return true
	}
	if o.aboveShareThreshold() {
		return false
	}
	held := 0
	for _, h := range o.holders {
		held += h.slots
	}
	return now.Sub(o.refusedAt) < contendedTime ||
		float64(held) > nearLimitPart*livePart*float64(limits.Concurrency) ||
		o.tokens < nearLimitPart*livePart*float64(limits.TokensPerSecond)*burstTime.Seconds()
}

// RemoveEntry drops the shares and slots of an entry that is gone.
func (a *Allocator) RemoveEntry(entry id.Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, o := range a.states {
		delete(o.holders, entry)
	}
}

// idleStateTTL is how long the state of a contract without grant requests is kept.
const idleStateTTL = 5 * time.Minute

// RemoveIdle drops the state of contracts without recent grant requests.
func (a *Allocator) RemoveIdle(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, o := range a.states {
		if now.Sub(o.usedAt) > idleStateTTL {
			delete(a.states, name)
		}
	}
}

// refill adds the credit accrued since the last refill, less what entries used
// through their shares, and drops expired shares and holders.
func (o *ownerState) refill(limits contract.Limits, livePart float64, now time.Time) {
	reservedRequests, reservedTokens := o.reservedRates(nil)
	elapsed := now.Sub(o.refilledAt).Seconds()
	o.refilledAt = now
	o.usedAt = now
	requests, tokens := livePart*float64(limits.RequestsPerSecond), livePart*float64(limits.TokensPerSecond)
	o.requests = min(o.requests+max(0, requests-reservedRequests)*elapsed, max(1, requests*burstTime.Seconds()))
	o.tokens = min(o.tokens+max(0, tokens-reservedTokens)*elapsed, tokens*burstTime.Seconds())
	for entry, h := range o.holders {
		if now.After(h.shareUntil) {
			h.shareRequests, h.shareTokens = 0, 0
		}
		if now.After(h.slotsUntil) {
			delete(o.holders, entry)
		}
	}
}

// reservedRates returns the sum of the shares in force, without that of except.
func (o *ownerState) reservedRates(except *holder) (requests, tokens float64) {
	for _, h := range o.holders {
		if h != except {
			requests += h.shareRequests
			tokens += h.shareTokens
		}
	}
	return requests, tokens
}

func (o *ownerState) countRequest(now time.Time) {
	if elapsed := now.Sub(o.windowStart); elapsed >= time.Second {
		o.previousWindowRequests = 0
		if elapsed < 2*time.Second {
			o.previousWindowRequests = o.windowRequests
		}
		o.windowStart, o.windowRequests = now, 0
	}
	o.windowRequests++
}

func (o *ownerState) updateHolder(entry id.Entry, req GrantRequest, now time.Time) *holder {
	h := o.holders[entry]
	if h == nil {
		// A new owner honours the shares granted by its predecessor.
		h = &holder{shareRequests: req.HeldRequestsPerSecond, shareTokens: req.HeldTokensPerSecond, shareUntil: now.Add(MaxShareInterval)}
		o.holders[entry] = h
	}
	h.demandRequests, h.demandTokens = req.RequestsPerSecond, req.TokensPerSecond
	h.slots = req.Running
	if req.Slots > 0 {
		h.wantedSlots, h.slotsRequestedAt = req.Running+req.Slots, now
	}
	h.slotsUntil = now.Add(SlotTTL)
	return h
}

// aboveShareThreshold reports whether there are too many requests for the owner to
// decide one by one.
func (o *ownerState) aboveShareThreshold() bool {
	demand := 0.0
	for _, h := range o.holders {
		demand += h.demandRequests
	}
	return demand > ShareThreshold || max(o.windowRequests, o.previousWindowRequests) > ShareThreshold
}

// meanDemand returns the mean demand of the entries in requests per second.
func (o *ownerState) meanDemand() float64 {
	total := 0.0
	for _, h := range o.holders {
		total += h.demandRequests
	}
	return total / float64(max(1, len(o.holders)))
}

// qualifiesForShare reports whether a share serves h better than single grants. Where
// most entries have few requests, shares would mostly go unused.
func (h *holder) qualifiesForShare(meanDemand float64) bool {
	return h.demandRequests >= ownShareDemand || (h.demandRequests >= meanShareDemand && meanDemand >= meanShareDemand)
}

// shareableRate returns the part of the limit that may be handed out as shares. The
// demand of entries without a share is kept back, up to half of the limit.
func (o *ownerState) shareableRate(limit float64, demand func(*holder) float64) float64 {
	others := 0.0
	mean := o.meanDemand()
	for _, h := range o.holders {
		if !h.qualifiesForShare(mean) {
			others += demand(h)
		}
	}
	return limit * max(0.5, min(maxSharesPart, 1-1.2*others/limit))
}

// grantShare sets the entry's share. It is the demand plus half of its proportional
// part of the unused rate, at most twice the demand, or the fair share of the limit
// if the demands use it up. A share grows only into what other entries have given up.
func (o *ownerState) grantShare(h *holder, grant *Grant, limits contract.Limits, livePart float64, now time.Time) {
	heldRequests, heldTokens := o.reservedRates(h)
	requests := o.shareableRate(livePart*float64(limits.RequestsPerSecond), demandRequests)
	tokens := o.shareableRate(livePart*float64(limits.TokensPerSecond), demandTokens)
	fairRequests, fullRequests := o.fairShare(h, requests, demandRequests)
	fairTokens, fullTokens := o.fairShare(h, tokens, demandTokens)
	grant.Contended = fullRequests || fullTokens
	h.shareRequests = min(fairRequests, max(0, requests-heldRequests))
	h.shareTokens = min(fairTokens, max(0, tokens-heldTokens))
	if h.shareRequests == 0 || h.shareTokens == 0 {
		h.shareRequests, h.shareTokens = 0, 0
		return
	}
	interval := time.Duration(float64(len(o.holders)) / (ShareThreshold / 2) * float64(time.Second))
	interval = min(max(interval, MinShareInterval), MaxShareInterval)
	grant.RequestsPerSecond, grant.TokensPerSecond = h.shareRequests, h.shareTokens
	grant.RenewAfter, grant.ValidFor = interval, interval+interval/4
	h.shareUntil = now.Add(grant.ValidFor)
}

func demandRequests(h *holder) float64 { return h.demandRequests }

func demandTokens(h *holder) float64 { return h.demandTokens }

// fairShare returns h's part of supply by max-min fairness over the demands, and
// whether the demands use up contendedPart of the supply.
func (o *ownerState) fairShare(h *holder, supply float64, demand func(*holder) float64) (float64, bool) {
	demands := make([]float64, 0, len(o.holders))
	total := 0.0
	mean := o.meanDemand()
	for _, other := range o.holders {
		if other.qualifiesForShare(mean) {
			demands = append(demands, demand(other))
			total += demand(other)
		}
	}
	if total < contendedPart*supply {
		return demand(h) * (1 + min(1, (supply/max(total, 1e-9)-1)/2)), false
	}
	return min(fairLevel(demands, supply), demand(h)), true
}

// fairLevel returns the largest part that any demand gets when supply is divided by
// max-min fairness; infinity if the supply covers all demands.
func fairLevel(demands []float64, supply float64) float64 {
	slices.Sort(demands)
	remaining := supply
	for i, demand := range demands {
		fair := remaining / float64(len(demands)-i)
		if demand > fair {
			return fair
		}
		remaining -= demand
	}
	return math.Inf(1)
}

// grantImmediately grants credit and slots for waiting requests, as a single token
// bucket would.
func (o *ownerState) grantImmediately(h *holder, req GrantRequest, grant *Grant, limits contract.Limits, livePart float64, now time.Time) {
	grant.Slots = req.Running
	given := min(req.Slots, o.grantableSlots(req, limits, livePart, now))
	grant.RefusedBy, grant.RetryAfter = o.checkLimits(req, given, limits, livePart)
	if grant.RefusedBy == "" && req.Requests > 0 {
		grant.Requests = min(req.Requests+o.spareRequests(h, req), max(1, int(o.requests)), given)
		grant.Tokens = req.Tokens * float64(grant.Requests) / float64(req.Requests)
		o.requests -= float64(grant.Requests)
		o.tokens -= grant.Tokens
	}
	if grant.Requests > 0 || grant.RequestsPerSecond > 0 || (req.Requests == 0 && req.Slots > 0) {
		h.slots += given
		grant.Slots = h.slots
	}
	o.recordRefusal(req, grant, limits, livePart, now)
}

func (o *ownerState) recordRefusal(req GrantRequest, grant *Grant, limits contract.Limits, livePart float64, now time.Time) {
	if grant.RefusedBy == "" {
		return
	}
	o.refusedAt = now
	if grant.RefusedBy == Concurrency {
		o.slotRefusedAt = now
		return
	}
	grant.RetryAfter = max(grant.RetryAfter, o.promisedUntil.Sub(now))
	o.promisedUntil = now.Add(grant.RetryAfter)
	requests, tokens := o.unsharedRates(limits, livePart)
	grant.RetryIncrement = ceilToMillisecond(max(float64(req.Requests)/requests, req.Tokens/tokens))
}

// spareRequests returns how many requests h is granted beyond those it wants, so that
// it needs no grant request for each one. Above ShareThreshold the number grows with
// the rate of grant requests, while the spare requests of all entries stay a small
// part of the bucket.
func (o *ownerState) spareRequests(h *holder, req GrantRequest) int {
	base := 0
	if h.demandRequests >= meanShareDemand && req.Tokens*maxSpareRequests <= o.tokens*spareBucketPart {
		base = min(maxSpareRequests, int(o.requests*spareBucketPart))
	}
	entryPart := spareBucketPart / float64(len(o.holders))
	burst := min(float64(o.windowRequests-ShareThreshold), o.requests*entryPart, o.tokens*entryPart/max(1, req.Tokens))
	return max(base, int(burst))
}

// checkLimits returns the limit that refuses the requests wanted immediately, and when
// they could be granted.
func (o *ownerState) checkLimits(req GrantRequest, slots int, limits contract.Limits, livePart float64) (Limit, time.Duration) {
	wait := o.retryAfter(limits, livePart)
	switch {
	case req.Requests == 0:
		return "", wait
	case slots == 0:
		return Concurrency, slotRetryInterval
	case wait <= creditWindow:
		return "", 0
	case o.requests < 1:
		return RequestsPerSecond, wait
	case o.tokens <= 0:
		return TokensPerSecond, wait
	}
	return "", 0
}

// grantableSlots returns how many more slots an entry may get. While callers wait for
// slots, no entry gets more than its fair share. An owner that has just taken over
// keeps back slots that entries may hold without having reported them yet.
func (o *ownerState) grantableSlots(req GrantRequest, limits contract.Limits, livePart float64, now time.Time) int {
	total := livePart * float64(limits.Concurrency)
	if age := now.Sub(o.createdAt); age < takeoverTime {
		total *= takeoverPart + (1-takeoverPart)*age.Seconds()/takeoverTime.Seconds()
	}
	total = math.Floor(max(1, total))
	held, waiting := 0, 1
	wanted := make([]float64, 0, len(o.holders))
	for _, other := range o.holders {
		held += other.slots
		if now.Sub(other.slotsRequestedAt) < contendedTime {
			waiting++
			wanted = append(wanted, float64(other.wantedSlots))
		} else {
			wanted = append(wanted, float64(other.slots))
		}
	}
	free := max(0, int(total)-held)
	if now.Sub(o.slotRefusedAt) >= contendedTime {
		return min(free, max(1, free/2))
	}
	// One slot above the fair level, so that rounding starves no entry. If few
	// slots are free, grant them to waiting requests only, since others would
	// go unused.
	level := min(fairLevel(wanted, total)+1, total)
	free = min(free, max(req.Requests, free/waiting))
	return min(free, max(0, int(level)-req.Running))
}

// unsharedRates returns the part of the limit that is not handed out as shares.
func (o *ownerState) unsharedRates(limits contract.Limits, livePart float64) (requests, tokens float64) {
	reservedRequests, reservedTokens := o.reservedRates(nil)
	requests = livePart * float64(limits.RequestsPerSecond)
	tokens = livePart * float64(limits.TokensPerSecond)
	minPart := (1 - maxSharesPart) / 2
	return max(requests-reservedRequests, requests*minPart), max(tokens-reservedTokens, tokens*minPart)
}

// retryAfter returns the time until the bucket covers a request again.
func (o *ownerState) retryAfter(limits contract.Limits, livePart float64) time.Duration {
	requests, tokens := o.unsharedRates(limits, livePart)
	wait := 0.0
	if o.requests < 1 {
		wait = (1 - o.requests) / requests
	}
	if o.tokens <= 0 {
		// One token more than the debt makes the bucket positive.
		wait = max(wait, (1-o.tokens)/tokens)
	}
	return ceilToMillisecond(wait)
}

// Holding is the share and the slots that an entry holds of a contract, for the
// status shown to operators.
type Holding struct {
	Entry             id.Entry
	RequestsPerSecond float64
	TokensPerSecond   float64
	Slots             int
}

// Holdings returns the holdings of a contract, sorted by entry.
func (a *Allocator) Holdings(name id.Contract) []Holding {
	a.mu.Lock()
	defer a.mu.Unlock()
	o := a.states[name]
	if o == nil {
		return nil
	}
	var out []Holding
	for entry, h := range o.holders {
		out = append(out, Holding{Entry: entry, RequestsPerSecond: h.shareRequests, TokensPerSecond: h.shareTokens, Slots: h.slots})
	}
	slices.SortFunc(out, func(x, y Holding) int { return cmp.Compare(x.Entry, y.Entry) })
	return out
}
