package limit

import (
	"fmt"
	"math"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Refusal says that a request is over a limit.
type Refusal struct {
	Limit Limit
	// RetryAfter is when the caller would be admitted if nobody else waits. For
	// concurrency it is an estimate, since running answers end when they end.
	RetryAfter time.Duration
	// GrantRequest is set when the owner may have what is missing; the caller's request
	// is tried once more after the owner's answer.
	GrantRequest *GrantRequest
}

// Error returns the limit and the wait.
func (r *Refusal) Error() string {
	return fmt.Sprintf("limit %s is reached; retry after %v", r.Limit, r.RetryAfter)
}

// Ticket is an admitted request.
type Ticket struct {
	Contract id.Contract
	tokens   float64
	begun    time.Time
}

// Limiter admits requests at one entry.
type Limiter struct {
	mu       sync.Mutex
	accounts map[id.Contract]*localAccount
}

// NewLimiter returns a limiter that holds no share.
func NewLimiter() *Limiter { return &Limiter{accounts: map[id.Contract]*localAccount{}} }

// localAccount is the state of one contract at one entry.
type localAccount struct {
	limits   contract.Limits
	filled   time.Time
	requests float64
	tokens   float64

	rateRequests float64
	rateTokens   float64
	rateUntil    time.Time
	slots        int
	slotsUntil   time.Time
	running      int

	// askedAt is the last ask, missedAt the last one for a request that waited.
	askedAt  time.Time
	missedAt time.Time
	askAfter time.Duration
	// ownerReady is when the owner could grant another request at once.
	ownerReady   time.Time
	refusedUntil time.Time
	refusedBy    Limit
	nextAfter    time.Duration
	// toldUntil is when the caller that was refused last was told to come back,
	// if a share was in force; zero once a request is admitted. Until then what
	// the share has saved is kept for that caller.
	toldUntil time.Time
	// owes is set when a request was admitted only because of a told time. No
	// other one is until the account is even.
	owes      bool
	contended bool
	tight     bool
	renewAt   time.Time

	// silent is since when the owner has not answered, at the rates of then.
	silent         time.Time
	silentRequests float64
	silentTokens   float64
	entries        int

	demand demand
	hold   float64
}

// demand is the smoothed rate of what callers want.
type demand struct {
	at       time.Time
	requests float64
	tokens   float64
	// observed is the part of the smoothing time that was observed, 0 to 1. A
	// young account's rate is taken over what was observed alone.
	observed float64
}

// demandTime is the time over which demand is smoothed.
const demandTime = 15 * time.Second

// leastObserved is half a second's part of the smoothing time.
var leastObserved = 1 - math.Exp(-0.5/demandTime.Seconds())

// burstRequests is the number of recent requests from which a young account's
// rate is taken for one; fewer may have come together by chance.
const burstRequests = 10

// rates returns the requests and tokens a second that callers want.
func (d *demand) rates() (requests, tokens float64) {
	if d.requests*demandTime.Seconds() < burstRequests {
		return d.requests, d.tokens
	}
	part := max(d.observed, leastObserved)
	return d.requests / part, d.tokens / part
}

func (d *demand) decay(now time.Time) {
	elapsed := now.Sub(d.at).Seconds()
	if d.at.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	keep := math.Exp(-elapsed / demandTime.Seconds())
	d.requests *= keep
	d.tokens *= keep
	d.observed = d.observed*keep + 1 - keep
	d.at = now
}

func (d *demand) add(tokens float64, now time.Time) {
	d.decay(now)
	d.requests += 1 / demandTime.Seconds()
	d.tokens += tokens / demandTime.Seconds()
}

func (l *Limiter) account(c *contract.Contract, now time.Time) *localAccount {
	a := l.accounts[c.Name]
	if a == nil {
		a = &localAccount{filled: now, entries: 1}
		l.accounts[c.Name] = a
	}
	a.limits = c.Limits
	return a
}

// Admit takes a request of a contract that is expected to use cost tokens,
// prompt and answer together.
func (l *Limiter) Admit(c *contract.Contract, cost int, now time.Time) (Ticket, *Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(c, now)
	a.refill(now)
	missing, after := a.missing(now)
	if missing == "" || (missing != Concurrency && (a.promised(now) || a.soonEven(after, now))) {
		return a.take(c.Name, cost, now), nil
	}
	if missing == Concurrency && a.promised(now) && a.silent.IsZero() && now.Sub(a.askedAt) >= slotRetry {
		ask := a.ask(c.Name, now)
		ask.Slots = 1
		a.askedAt = now
		return Ticket{}, &Refusal{Limit: missing, RetryAfter: slotRetry, GrantRequest: &ask}
	}
	if a.mayAsk(missing, now) {
		ask := a.ask(c.Name, now)
		ask.Requests, ask.Tokens, ask.Slots = 1, float64(cost), a.wantedSlots()
		ask.ReturnedRequests, a.requests = max(0, a.requests), min(0, a.requests)
		if ask.ReturnedTokens == 0 {
			// A debt stays with the share that pays it.
			ask.ReturnedTokens, a.tokens = max(0, a.tokens), min(0, a.tokens)
		}
		a.askedAt, a.missedAt = now, now
		return Ticket{}, &Refusal{Limit: missing, RetryAfter: after, GrantRequest: &ask}
	}
	a.demand.add(float64(cost), now)
	return Ticket{}, a.refuse(missing, after, cost, now)
}

// take admits a request. One that only a told time admits is owed until the
// account is even again.
func (a *localAccount) take(name id.Contract, cost int, now time.Time) Ticket {
	missing, after := a.missing(now)
	even := missing == "" || missing == Concurrency || a.soonEven(after, now)
	a.owes = !even
	a.toldUntil = time.Time{}
	a.requests--
	a.tokens -= float64(cost)
	a.running++
	a.demand.add(float64(cost), now)
	return Ticket{Contract: name, tokens: float64(cost), begun: now}
}

// refuse returns the refusal of a request that the owner is not asked for.
// The caller may come back to another entry, so it is told a time by which
// the limit holds one more request than it is known to hold now.
func (a *localAccount) refuse(missing Limit, after time.Duration, cost int, now time.Time) *Refusal {
	requests, tokens := a.rates(now)
	if requests > 0 && missing != Concurrency {
		after = max(after, timeFor(1, requests), timeFor(float64(cost)+1, tokens),
			a.ownerReady.Sub(now), a.missedAt.Add(a.askAfter).Sub(now))
	}
	if wait := a.refusedUntil.Sub(now); wait > 0 && (requests == 0 || missing == Concurrency) {
		missing, after = a.refusedBy, wait
		if now.After(a.askedAt) {
			after += a.nextAfter
		}
	}
	if after == 0 {
		after = slotRetry
	}
	if missing != Concurrency && requests > 0 {
		a.toldUntil = now.Add(after)
	}
	return &Refusal{Limit: missing, RetryAfter: after}
}

// missing returns the limit that refuses a request now, and how long for. Of
// two rates the one that takes longer counts.
func (a *localAccount) missing(now time.Time) (Limit, time.Duration) {
	requests, tokens := a.rates(now)
	var limit Limit
	var wait time.Duration
	if a.requests < 1 {
		limit, wait = RequestsPerSecond, timeFor(1-a.requests, requests)
	}
	if a.tokens <= 0 {
		if w := timeFor(1-a.tokens, tokens); limit == "" || w > wait {
			limit, wait = TokensPerSecond, w
		}
	}
	if a.running >= a.slotsNow(now) {
		limit = Concurrency
		wait = max(wait, seconds(a.hold/float64(max(1, a.limits.Concurrency))))
	}
	return limit, wait
}

// longestWait is told when a share is so small that its wait is no forecast.
const longestWait = time.Minute

func timeFor(amount, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return min(seconds(amount/rate), longestWait)
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Ceil(s*1000)) * time.Millisecond
}

// rates returns the share in force: the granted one, or the decayed last one
// when the owner is silent.
func (a *localAccount) rates(now time.Time) (requests, tokens float64) {
	if !a.silent.IsZero() {
		decay := math.Exp2(-now.Sub(a.silent).Seconds() / FallbackHalfLife.Seconds())
		floor := floorPart / float64(a.entries)
		return max(a.silentRequests*decay, floor*float64(a.limits.RequestsPerSecond)),
			max(a.silentTokens*decay, floor*float64(a.limits.TokensPerSecond))
	}
	if now.After(a.rateUntil) {
		return 0, 0
	}
	return a.rateRequests, a.rateTokens
}

// slotsNow returns how many requests may run. Without an owner the last slots
// stay for a while, and the entry has its part of the floor in any case.
func (a *localAccount) slotsNow(now time.Time) int {
	if a.silent.IsZero() {
		return a.slots
	}
	floor := max(1, int(floorPart*float64(a.limits.Concurrency)/float64(a.entries)))
	if now.Before(a.slotsUntil) {
		return max(a.slots, floor)
	}
	return floor
}

func (a *localAccount) refill(now time.Time) {
	requests, tokens := a.rates(now)
	elapsed := max(0, now.Sub(a.filled)).Seconds()
	a.filled = now
	a.requests = min(a.requests+requests*elapsed, max(a.requests, savedRequests, requests*saved.Seconds()))
	a.tokens = min(a.tokens+tokens*elapsed, max(a.tokens, 1, tokens*saved.Seconds()))
}

// wantedSlots returns how many slots the entry asks for besides those in use:
// what a second brings, and the usual variation of what runs. While the limit
// is far, a burst asks for a part of what runs, so that it needs few asks.
func (a *localAccount) wantedSlots() int {
	requests, _ := a.demand.rates()
	wanted := requests + math.Sqrt(float64(a.running))
	if !a.tight {
		wanted = max(wanted, burstSlots*float64(a.running))
	}
	return 1 + int(wanted)
}

// burstSlots is the part of the running requests whose number a burst asks for
// as slots.
const burstSlots = 0.5

// An unused share is kept for saved, and at least savedRequests of it.
const (
	saved         = 3 * time.Second
	savedRequests = 2
)

// mayAsk reports whether the owner may have what is missing and may be asked.
// An entry with a share keeps to its renewal while the limit is contended.
func (a *localAccount) mayAsk(missing Limit, now time.Time) bool {
	switch {
	case !a.silent.IsZero() || a.refusedUntil.Sub(now) > creditTime:
		return false
	case now.After(a.rateUntil):
		return true
	case missing == Concurrency:
		// An owner that has no slot says when to ask again.
		return true
	case a.contended:
		return now.Sub(a.missedAt) >= a.askAfter
	}
	// While the owner has enough for all, nobody is refused for asking often.
	return true
}

func (a *localAccount) ask(name id.Contract, now time.Time) GrantRequest {
	a.demand.decay(now)
	wantRequests, wantTokens := a.demand.rates()
	ask := GrantRequest{
		Contract:          name,
		RequestsPerSecond: wantRequests,
		TokensPerSecond:   wantTokens,
		Running:           a.running,
	}
	if now.Before(a.rateUntil) {
		ask.HeldRequestsPerSecond, ask.HeldTokensPerSecond = a.rateRequests, a.rateTokens
		return ask
	}
	if a.keeps(now) {
		return ask
	}
	if !a.silent.IsZero() {
		// What the owner will not hear of is not given back.
		ask.ReturnedTokens = min(0, a.tokens)
		return ask
	}
	ask.ReturnedTokens = a.tokens
	if a.tokens > 0 {
		// Given back before it is known to have arrived, so that a lost
		// answer loses tokens and never doubles them.
		a.tokens = 0
	}
	return ask
}

// toldGrace is how long after a told time its caller is awaited.
const toldGrace = time.Second

// keeps reports whether a caller that was told to come back is still awaited
// and what the last share has saved is enough for it.
func (a *localAccount) keeps(now time.Time) bool {
	return !now.After(a.toldUntil.Add(toldGrace)) && a.requests >= 1 && a.tokens > 0
}

// promised reports whether a caller was told to come back now. It is admitted
// also when the share has ended or become smaller since, and its debt was
// handed to the owner, whose bucket then has the debts of others too.
func (a *localAccount) promised(now time.Time) bool {
	return !a.owes && !now.Before(a.toldUntil) && !now.After(a.toldUntil.Add(toldGrace))
}

// creditTime is the longest wait for which a request is admitted at once: to
// send its caller away and back takes longer.
const creditTime = 10 * time.Millisecond

// soonEven reports whether a share in force has what is missing within
// creditTime. The request takes its whole cost, so the share is never ahead by
// more than creditTime.
func (a *localAccount) soonEven(after time.Duration, now time.Time) bool {
	requests, tokens := a.rates(now)
	return requests > 0 && tokens > 0 && after <= creditTime
}

// ApplyGrant takes over the owner's answer.
func (l *Limiter) ApplyGrant(g Grant, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[g.Contract]
	if a == nil {
		return
	}
	a.refill(now)
	a.silent = time.Time{}
	a.requests += float64(g.Requests)
	a.tokens += g.Tokens
	if g.ReturnedTokens < 0 {
		a.tokens -= g.ReturnedTokens
	}
	a.rateRequests, a.rateTokens = g.RequestsPerSecond, g.TokensPerSecond
	a.rateUntil = now
	if g.RenewAfter > 0 {
		a.rateUntil = now.Add(g.ValidFor)
	}
	a.slots, a.slotsUntil = g.Slots, now.Add(SlotTTL)
	a.askAfter = g.RenewAfter
	a.ownerReady = now.Add(g.RetryAfter)
	a.renewAt = now.Add(SlotRenewInterval)
	if g.RenewAfter > 0 {
		a.renewAt = now.Add(g.RenewAfter)
	}
	a.contended, a.tight = g.Contended, g.NearLimit
	a.refusedUntil = time.Time{}
	if g.RefusedBy != "" {
		a.refusedUntil, a.refusedBy, a.nextAfter = now.Add(g.RetryAfter), g.RefusedBy, g.RetryIncrement
	}
}

// OwnerUnreachable notes that a contract's owner did not answer. The last share
// stays in force and decays; entries is the number of known entries, which
// share the floor.
func (l *Limiter) OwnerUnreachable(name id.Contract, entries int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[name]
	if a == nil || !a.silent.IsZero() {
		return
	}
	a.refill(now)
	requests, tokens := a.rates(now)
	if requests == 0 {
		// Without a share, what was admitted of late stands in for it.
		a.demand.decay(now)
		wantRequests, wantTokens := a.demand.rates()
		requests = min(wantRequests, float64(a.limits.RequestsPerSecond))
		tokens = min(wantTokens, float64(a.limits.TokensPerSecond))
	}
	a.silent, a.silentRequests, a.silentTokens = now, requests, tokens
	a.entries = max(1, entries)
}

// DueRenewals returns the asks that are due: of contracts with running requests,
// with a share, or whose owner was silent.
func (l *Limiter) DueRenewals(now time.Time) []GrantRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var asks []GrantRequest
	for name, a := range l.accounts {
		if now.Before(a.renewAt) {
			continue
		}
		a.refill(now)
		a.demand.decay(now)
		idle := a.running == 0 && a.demand.requests < 1/MaxShareInterval.Seconds() && !a.tight
		if idle && a.silent.IsZero() && a.tokens >= 0 {
			if now.Sub(a.renewAt) > idleAccount {
				delete(l.accounts, name)
			}
			continue
		}
		a.askedAt = now
		a.renewAt = now.Add(SlotRenewInterval)
		if !a.silent.IsZero() {
			a.renewAt = now.Add(MinShareInterval)
		}
		ask := a.ask(name, now)
		if a.rateRequests > 0 {
			ask.Slots = a.wantedSlots()
		}
		asks = append(asks, ask)
	}
	return asks
}

// holdSmoothing is the weight of a new running time.
const holdSmoothing = 0.1

// CorrectCost replaces the cost that was estimated by the tokens that were used.
func (l *Limiter) CorrectCost(t Ticket, used int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[t.Contract]; a != nil {
		a.refill(now)
		a.tokens += t.tokens - float64(used)
		a.tellSoon(now)
		a.hold += holdSmoothing * (now.Sub(t.begun).Seconds() - a.hold)
	}
}

// tellSoon lets the owner hear of what came free when others wait for it.
func (a *localAccount) tellSoon(now time.Time) {
	if !a.tight {
		return
	}
	soon := a.askedAt.Add(slotRetry)
	if soon.Before(now) {
		soon = now
	}
	if soon.Before(a.renewAt) {
		a.renewAt = soon
	}
}

// Release gives the ticket's slot back. It is called once for each ticket.
func (l *Limiter) Release(t Ticket, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[t.Contract]; a != nil {
		a.running = max(0, a.running-1)
		a.tellSoon(now)
	}
}

// Running returns how many requests of a contract run at this entry.
func (l *Limiter) Running(name id.Contract) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[name]; a != nil {
		return a.running
	}
	return 0
}
