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

// Allocator answers the asks for the contracts that an entry owns.
type Allocator struct {
	mu       sync.Mutex
	accounts map[id.Contract]*account
}

// NewAllocator returns an owner that has granted nothing.
func NewAllocator() *Allocator { return &Allocator{accounts: map[id.Contract]*account{}} }

// account is the state of one contract at its owner.
type account struct {
	since    time.Time
	filled   time.Time
	requests float64
	tokens   float64
	holders  map[id.Entry]*holder
	// asks counts those of the second that began at window.
	window   time.Time
	asks     int
	asksLast int
	used     time.Time
	refused  time.Time
	// refusedSlot is when a slot was last refused.
	refusedSlot time.Time
	// toldUntil is the latest time that an entry was told to refuse until for a
	// rate. No entry is told an earlier one, since callers may come back to
	// another entry than the one that told them.
	toldUntil time.Time
}

// holder is what one entry holds of a contract.
type holder struct {
	demandRequests float64
	demandTokens   float64
	rateRequests   float64
	rateTokens     float64
	rateUntil      time.Time
	slots          int
	slotsUntil     time.Time
	// wants are the slots in use and wanted when the entry last asked for some.
	wants int
	asked time.Time
}

// EntryCounts is the part of the entries that the owner sees.
type EntryCounts struct {
	// Live entries are heard; Known are those and the suspect ones.
	Live  int
	Known int
}

func (a EntryCounts) part() float64 {
	if a.Known <= a.Live || a.Known == 0 {
		return 1
	}
	return float64(a.Live) / float64(a.Known)
}

// Grant answers an entry's ask for a contract with the limits.
func (s *Allocator) Grant(entry id.Entry, ask GrantRequest, limits contract.Limits, audience EntryCounts, now time.Time) Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[ask.Contract]
	if a == nil {
		a = &account{since: now, filled: now, holders: map[id.Entry]*holder{}}
		a.requests = max(1, takeoverPart*float64(limits.RequestsPerSecond))
		a.tokens = max(1, takeoverPart*float64(limits.TokensPerSecond))
		s.accounts[ask.Contract] = a
	}
	part := audience.part()
	a.refill(limits, part, now)
	if ask.Requests > 0 {
		a.countAsk(now)
	}
	h := a.holder(entry, ask, now)
	a.tokens += ask.ReturnedTokens
	a.requests += ask.ReturnedRequests
	grant := Grant{Contract: ask.Contract, ReturnedTokens: ask.ReturnedTokens, ValidFor: SlotTTL}
	if a.hot() && h.shares(a.meanDemand()) {
		a.grantRates(h, &grant, limits, part, now)
	}
	a.grantAtOnce(h, ask, &grant, limits, part, now)
	grant.Contended = grant.Contended || now.Sub(a.refused) < contendedLasts
	grant.NearLimit = a.tight(limits, part, now)
	return grant
}

// tight reports whether little of the limit is left. Where shares are out,
// they adapt to the demand, and only refused slots count.
func (a *account) tight(limits contract.Limits, part float64, now time.Time) bool {
	if now.Sub(a.refusedSlot) < contendedLasts {
		return true
	}
	if a.hot() {
		return false
	}
	held := 0
	for _, h := range a.holders {
		held += h.slots
	}
	return now.Sub(a.refused) < contendedLasts ||
		float64(held) > tightPart*part*float64(limits.Concurrency) ||
		a.tokens < tightPart*part*float64(limits.TokensPerSecond)*burst.Seconds()
}

// RemoveEntry forgets what a gone entry holds.
func (s *Allocator) RemoveEntry(entry id.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.accounts {
		delete(a.holders, entry)
	}
}

// idleAccount is how long an account without asks is kept.
const idleAccount = 5 * time.Minute

// RemoveIdle drops accounts that nobody has asked for.
func (s *Allocator) RemoveIdle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, a := range s.accounts {
		if now.Sub(a.used) > idleAccount {
			delete(s.accounts, name)
		}
	}
}

// refill adds what the time since the last refill has brought, less what
// entries drew by their shares.
func (a *account) refill(limits contract.Limits, part float64, now time.Time) {
	reservedRequests, reservedTokens := a.reserved(nil)
	elapsed := now.Sub(a.filled).Seconds()
	a.filled = now
	a.used = now
	requests, tokens := part*float64(limits.RequestsPerSecond), part*float64(limits.TokensPerSecond)
	a.requests = min(a.requests+max(0, requests-reservedRequests)*elapsed, max(1, requests*burst.Seconds()))
	a.tokens = min(a.tokens+max(0, tokens-reservedTokens)*elapsed, tokens*burst.Seconds())
	for entry, h := range a.holders {
		if now.After(h.rateUntil) {
			h.rateRequests, h.rateTokens = 0, 0
		}
		if now.After(h.slotsUntil) {
			delete(a.holders, entry)
		}
	}
}

// reserved returns the sums of the shares in force, those of without left out.
func (a *account) reserved(without *holder) (requests, tokens float64) {
	for _, h := range a.holders {
		if h != without {
			requests += h.rateRequests
			tokens += h.rateTokens
		}
	}
	return requests, tokens
}

func (a *account) countAsk(now time.Time) {
	if elapsed := now.Sub(a.window); elapsed >= time.Second {
		a.asksLast = 0
		if elapsed < 2*time.Second {
			a.asksLast = a.asks
		}
		a.window, a.asks = now, 0
	}
	a.asks++
}

func (a *account) holder(entry id.Entry, ask GrantRequest, now time.Time) *holder {
	h := a.holders[entry]
	if h == nil {
		// A new owner honours the shares that the last one gave.
		h = &holder{rateRequests: ask.HeldRequestsPerSecond, rateTokens: ask.HeldTokensPerSecond, rateUntil: now.Add(MaxShareInterval)}
		a.holders[entry] = h
	}
	h.demandRequests, h.demandTokens = ask.RequestsPerSecond, ask.TokensPerSecond
	h.slots = ask.Running
	if ask.Slots > 0 {
		h.wants, h.asked = ask.Running+ask.Slots, now
	}
	h.slotsUntil = now.Add(SlotTTL)
	return h
}

// hot reports whether there are more requests than the owner should be asked
// for one by one.
func (a *account) hot() bool {
	demand := 0.0
	for _, h := range a.holders {
		demand += h.demandRequests
	}
	return demand > ShareThreshold || max(a.asks, a.asksLast) > ShareThreshold
}

// meanDemand returns the mean of the entries' wanted requests a second.
func (a *account) meanDemand() float64 {
	total := 0.0
	for _, h := range a.holders {
		total += h.demandRequests
	}
	return total / float64(max(1, len(a.holders)))
}

// shares reports whether a share would serve h more than single grants. Where
// most entries have few requests, shares would lie idle.
func (h *holder) shares(mean float64) bool {
	return h.demandRequests >= ownShareDemand || (h.demandRequests >= shareDemand && mean >= shareDemand)
}

// forShares returns the part of the limit that may go out as shares. What
// entries without one want is kept back, up to a half.
func (a *account) forShares(limit float64, demand func(*holder) float64) float64 {
	others := 0.0
	mean := a.meanDemand()
	for _, h := range a.holders {
		if !h.shares(mean) {
			others += demand(h)
		}
	}
	return limit * max(0.5, min(sharesPart, 1-1.2*others/limit))
}

// grantRates sets the entry's share: its demand and half of what is to spare,
// or its fair part of the limit when all want more. A share grows only into
// what others have let go.
func (a *account) grantRates(h *holder, grant *Grant, limits contract.Limits, part float64, now time.Time) {
	heldRequests, heldTokens := a.reserved(h)
	requests := a.forShares(part*float64(limits.RequestsPerSecond), demandRequests)
	tokens := a.forShares(part*float64(limits.TokensPerSecond), demandTokens)
	fairRequests, fullRequests := a.fairPart(h, requests, demandRequests)
	fairTokens, fullTokens := a.fairPart(h, tokens, demandTokens)
	grant.Contended = fullRequests || fullTokens
	h.rateRequests = min(fairRequests, max(0, requests-heldRequests))
	h.rateTokens = min(fairTokens, max(0, tokens-heldTokens))
	if h.rateRequests == 0 || h.rateTokens == 0 {
		h.rateRequests, h.rateTokens = 0, 0
		return
	}
	horizon := time.Duration(float64(len(a.holders)) / (ShareThreshold / 2) * float64(time.Second))
	horizon = min(max(horizon, MinShareInterval), MaxShareInterval)
	grant.RequestsPerSecond, grant.TokensPerSecond = h.rateRequests, h.rateTokens
	grant.RenewAfter, grant.ValidFor = horizon, horizon+horizon/4
	h.rateUntil = now.Add(grant.ValidFor)
}

func demandRequests(h *holder) float64 { return h.demandRequests }

func demandTokens(h *holder) float64 { return h.demandTokens }

// fairPart returns h's part of supply by max-min fairness over the demands,
// and whether they use it up.
func (a *account) fairPart(h *holder, supply float64, demand func(*holder) float64) (float64, bool) {
	wants := make([]float64, 0, len(a.holders))
	total := 0.0
	mean := a.meanDemand()
	for _, other := range a.holders {
		if other.shares(mean) {
			wants = append(wants, demand(other))
			total += demand(other)
		}
	}
	if total < contendedPart*supply {
		return demand(h) * (1 + min(1, (supply/max(total, 1e-9)-1)/2)), false
	}
	return min(fairLevel(wants, supply), demand(h)), true
}

// fairLevel returns the largest part that any want gets when supply is shared
// by max-min fairness.
func fairLevel(wants []float64, supply float64) float64 {
	slices.Sort(wants)
	left := supply
	for i, want := range wants {
		fair := left / float64(len(wants)-i)
		if want > fair {
			return fair
		}
		left -= want
	}
	return math.Inf(1)
}

// grantAtOnce serves the requests that wait, as one bucket would.
func (a *account) grantAtOnce(h *holder, ask GrantRequest, grant *Grant, limits contract.Limits, part float64, now time.Time) {
	grant.Slots = ask.Running
	given := min(ask.Slots, a.freeSlots(ask, limits, part, now))
	grant.RefusedBy, grant.RetryAfter = a.refusal(ask, given, limits, part)
	if grant.RefusedBy == "" && ask.Requests > 0 {
		grant.Requests = min(ask.Requests+a.spare(h, ask), max(1, int(a.requests)), given)
		grant.Tokens = ask.Tokens * float64(grant.Requests) / float64(ask.Requests)
		a.requests -= float64(grant.Requests)
		a.tokens -= grant.Tokens
	}
	if grant.Requests > 0 || grant.RequestsPerSecond > 0 || (ask.Requests == 0 && ask.Slots > 0) {
		h.slots += given
		grant.Slots = h.slots
	}
	a.noteRefusal(ask, grant, limits, part, now)
}

func (a *account) noteRefusal(ask GrantRequest, grant *Grant, limits contract.Limits, part float64, now time.Time) {
	if grant.RefusedBy == "" {
		return
	}
	a.refused = now
	if grant.RefusedBy == Concurrency {
		a.refusedSlot = now
		return
	}
	grant.RetryAfter = max(grant.RetryAfter, a.toldUntil.Sub(now))
	a.toldUntil = now.Add(grant.RetryAfter)
	requests, tokens := a.freeRates(limits, part)
	grant.RetryIncrement = seconds(max(float64(ask.Requests)/requests, ask.Tokens/tokens))
}

// spare returns how many requests h is granted besides those it wants, so that
// it does not ask for each one. Asks above AsksPerSecond get the more the more
// there are, while the spare ones of all entries are a small part of the bucket.
func (a *account) spare(h *holder, ask GrantRequest) int {
	few := 0
	if h.demandRequests >= shareDemand && ask.Tokens*spareRequests <= a.tokens*spareShare {
		few = min(spareRequests, int(a.requests*spareShare))
	}
	each := spareShare / float64(len(a.holders))
	many := min(float64(a.asks-ShareThreshold), a.requests*each, a.tokens*each/max(1, ask.Tokens))
	return max(few, int(many))
}

// refusal returns the limit that refuses what is wanted at once, and when it
// would be granted.
func (a *account) refusal(ask GrantRequest, slots int, limits contract.Limits, part float64) (Limit, time.Duration) {
	wait := a.retryAfter(limits, part)
	switch {
	case ask.Requests == 0:
		return "", wait
	case slots == 0:
		return Concurrency, slotRetry
	case wait <= creditTime:
		return "", 0
	case a.requests < 1:
		return RequestsPerSecond, wait
	case a.tokens <= 0:
		return TokensPerSecond, wait
	}
	return "", 0
}

// freeSlots returns how many more slots an entry may have. While callers wait for
// slots, no entry gets more than its fair part. An owner that has just taken
// over leaves room for the slots that it has not heard of.
func (a *account) freeSlots(ask GrantRequest, limits contract.Limits, part float64, now time.Time) int {
	total := part * float64(limits.Concurrency)
	if age := now.Sub(a.since); age < takeover {
		total *= takeoverPart + (1-takeoverPart)*age.Seconds()/takeover.Seconds()
	}
	total = math.Floor(max(1, total))
	held, waiting := 0, 1
	wants := make([]float64, 0, len(a.holders))
	for _, other := range a.holders {
		held += other.slots
		if now.Sub(other.asked) < contendedLasts {
			waiting++
			wants = append(wants, float64(other.wants))
		} else {
			wants = append(wants, float64(other.slots))
		}
	}
	free := max(0, int(total)-held)
	if now.Sub(a.refusedSlot) >= contendedLasts {
		return min(free, max(1, free/2))
	}
	// A whole slot more than the level keeps rounding from starving anyone. Few
	// free slots go to the requests that wait, since others would lie idle.
	level := min(fairLevel(wants, total)+1, total)
	free = min(free, max(ask.Requests, free/waiting))
	return min(free, max(0, int(level)-ask.Running))
}

// freeRates returns what of the limit is not handed out as shares.
func (a *account) freeRates(limits contract.Limits, part float64) (requests, tokens float64) {
	reservedRequests, reservedTokens := a.reserved(nil)
	requests = part * float64(limits.RequestsPerSecond)
	tokens = part * float64(limits.TokensPerSecond)
	least := (1 - sharesPart) / 2
	return max(requests-reservedRequests, requests*least), max(tokens-reservedTokens, tokens*least)
}

// retryAfter returns when the bucket holds a request again.
func (a *account) retryAfter(limits contract.Limits, part float64) time.Duration {
	requests, tokens := a.freeRates(limits, part)
	wait := 0.0
	if a.requests < 1 {
		wait = (1 - a.requests) / requests
	}
	if a.tokens <= 0 {
		// One token more than the debt makes the bucket positive.
		wait = max(wait, (1-a.tokens)/tokens)
	}
	return seconds(wait)
}

// Holding is what an entry holds of a contract, for the operators' status.
type Holding struct {
	Entry             id.Entry
	RequestsPerSecond float64
	TokensPerSecond   float64
	Slots             int
}

// Holdings returns what entries hold of a contract, by entry.
func (s *Allocator) Holdings(name id.Contract) []Holding {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[name]
	if a == nil {
		return nil
	}
	var out []Holding
	for entry, h := range a.holders {
		out = append(out, Holding{Entry: entry, RequestsPerSecond: h.rateRequests, TokensPerSecond: h.rateTokens, Slots: h.slots})
	}
	slices.SortFunc(out, func(x, y Holding) int { return cmp.Compare(x.Entry, y.Entry) })
	return out
}
