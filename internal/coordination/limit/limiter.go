package limit

import (
	"fmt"
	"math"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Refusal is the error for a request that exceeds a limit.
type Refusal struct {
	Limit Limit
	// RetryAfter is when the caller would be admitted if no other caller waits.
	// For concurrency it is an estimate, because the duration of running
	// requests is not known.
	RetryAfter time.Duration
	// GrantRequest is set if the owner may be able to grant what is missing. The
	// caller sends it and tries Admit again after the owner's answer.
	GrantRequest *GrantRequest
}

// Error names the limit and the retry time.
func (r *Refusal) Error() string {
	return fmt.Sprintf("limit %s reached; retry after %v", r.Limit, r.RetryAfter)
}

// Ticket is an admitted request.
type Ticket struct {
	Contract id.Contract
	tokens   float64
	admitted time.Time
}

// Limiter admits requests at one entry. It is safe for concurrent use.
type Limiter struct {
	mu     sync.Mutex
	states map[id.Contract]*localState
}

// NewLimiter returns a Limiter without shares or slots.
func NewLimiter() *Limiter { return &Limiter{states: map[id.Contract]*localState{}} }

// localState is the state of one contract at one entry.
type localState struct {
	limits     contract.Limits
	refilledAt time.Time
	requests   float64
	tokens     float64

	shareRequests float64
	shareTokens   float64
	shareUntil    time.Time
	slots         int
	slotsUntil    time.Time
	running       int

	// requestedAt is the time of the last grant request, waiterRequestedAt that
	// of the last one sent for a waiting request.
	requestedAt       time.Time
	waiterRequestedAt time.Time
	renewAfter        time.Duration
	// ownerReadyAt is when the owner could grant another request immediately.
	ownerReadyAt   time.Time
	refusedUntil   time.Time
	refusedBy      Limit
	retryIncrement time.Duration
	// promisedAt is the retry time given to the caller refused last, if a share
	// was in force; zero once a request has been admitted. Until then the
	// share's saved credit is kept for that caller.
	promisedAt time.Time
	// promiseDebt is set when a request was admitted only because of its promised
	// retry time. No other request is admitted for this reason until the balance
	// is positive again.
	promiseDebt bool
	contended   bool
	nearLimit   bool
	renewAt     time.Time

	// unreachableSince is when the owner stopped answering; zero while it answers.
	// The fallback rates are those in force at that time.
	unreachableSince time.Time
	fallbackRequests float64
	fallbackTokens   float64
	entries          int

	demand       demand
	meanDuration float64
}

func (l *Limiter) state(c *contract.Contract, now time.Time) *localState {
	s := l.states[c.Name]
	if s == nil {
		s = &localState{refilledAt: now, entries: 1}
		l.states[c.Name] = s
	}
	s.limits = c.Limits
	return s
}

// Admit admits or refuses a request of a contract. The request is expected to use
// cost tokens, prompt and answer together.
func (l *Limiter) Admit(c *contract.Contract, cost int, now time.Time) (Ticket, *Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(c, now)
	s.refill(now)
	limit, after := s.blockingLimit(now)
	if limit == "" || (limit != Concurrency && (s.promiseDue(now) || s.availableSoon(after, now))) {
		return s.admit(c.Name, cost, now), nil
	}
	if limit == Concurrency && s.promiseDue(now) && s.unreachableSince.IsZero() && now.Sub(s.requestedAt) >= slotRetryInterval {
		req := s.newGrantRequest(c.Name, now)
		req.Slots = 1
		s.requestedAt = now
		return Ticket{}, &Refusal{Limit: limit, RetryAfter: slotRetryInterval, GrantRequest: &req}
	}
	if s.mayRequestGrant(limit, now) {
		req := s.newGrantRequest(c.Name, now)
		req.Requests, req.Tokens, req.Slots = 1, float64(cost), s.wantedSlots()
		req.ReturnedRequests, s.requests = max(0, s.requests), min(0, s.requests)
		if req.ReturnedTokens == 0 {
			// A debt stays here, where the share repays it.
			req.ReturnedTokens, s.tokens = max(0, s.tokens), min(0, s.tokens)
		}
		s.requestedAt, s.waiterRequestedAt = now, now
		return Ticket{}, &Refusal{Limit: limit, RetryAfter: after, GrantRequest: &req}
	}
	s.demand.add(float64(cost), now)
	return Ticket{}, s.refuse(limit, after, cost, now)
}

// admit records an admitted request. A request admitted only because of its
// promised retry time leaves a debt until the balance is positive again.
func (s *localState) admit(name id.Contract, cost int, now time.Time) Ticket {
	limit, after := s.blockingLimit(now)
	covered := limit == "" || limit == Concurrency || s.availableSoon(after, now)
	s.promiseDebt = !covered
	s.promisedAt = time.Time{}
	s.requests--
	s.tokens -= float64(cost)
	s.running++
	s.demand.add(float64(cost), now)
	return Ticket{Contract: name, tokens: float64(cost), admitted: now}
}

// refuse returns the refusal of a request without a grant request. The caller may
// retry at another entry, so RetryAfter is a time at which the limit allows one
// more request than it is known to allow now.
func (s *localState) refuse(limit Limit, after time.Duration, cost int, now time.Time) *Refusal {
	requests, tokens := s.shareRates(now)
	if requests > 0 && limit != Concurrency {
		after = max(after, refillTime(1, requests), refillTime(float64(cost)+1, tokens),
			s.ownerReadyAt.Sub(now), s.waiterRequestedAt.Add(s.renewAfter).Sub(now))
	}
	if wait := s.refusedUntil.Sub(now); wait > 0 && (requests == 0 || limit == Concurrency) {
		limit, after = s.refusedBy, wait
		if now.After(s.requestedAt) {
			after += s.retryIncrement
		}
	}
	if after == 0 {
		after = slotRetryInterval
	}
	if limit != Concurrency && requests > 0 {
		s.promisedAt = now.Add(after)
	}
	return &Refusal{Limit: limit, RetryAfter: after}
}

// blockingLimit returns the limit that blocks a request now, and for how long. If
// both rates block, the one that blocks longer is returned.
func (s *localState) blockingLimit(now time.Time) (Limit, time.Duration) {
	requests, tokens := s.shareRates(now)
	var limit Limit
	var wait time.Duration
	if s.requests < 1 {
		limit, wait = RequestsPerSecond, refillTime(1-s.requests, requests)
	}
	if s.tokens <= 0 {
		if w := refillTime(1-s.tokens, tokens); limit == "" || w > wait {
			limit, wait = TokensPerSecond, w
		}
	}
	if s.running >= s.availableSlots(now) {
		limit = Concurrency
		wait = max(wait, ceilToMillisecond(s.meanDuration/float64(max(1, s.limits.Concurrency))))
	}
	return limit, wait
}

// maxRetryAfter bounds RetryAfter when a share is so small that its refill time is
// no useful forecast.
const maxRetryAfter = time.Minute

func refillTime(amount, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return min(ceilToMillisecond(amount/rate), maxRetryAfter)
}

func ceilToMillisecond(s float64) time.Duration {
	return time.Duration(math.Ceil(s*1000)) * time.Millisecond
}

// shareRates returns the share in force: the granted one, or the last one with
// decay while the owner is unreachable.
func (s *localState) shareRates(now time.Time) (requests, tokens float64) {
	if !s.unreachableSince.IsZero() {
		decay := math.Exp2(-now.Sub(s.unreachableSince).Seconds() / FallbackHalfLife.Seconds())
		floor := fallbackFloorPart / float64(s.entries)
		return max(s.fallbackRequests*decay, floor*float64(s.limits.RequestsPerSecond)),
			max(s.fallbackTokens*decay, floor*float64(s.limits.TokensPerSecond))
	}
	if now.After(s.shareUntil) {
		return 0, 0
	}
	return s.shareRequests, s.shareTokens
}

// availableSlots returns how many requests may run. While the owner is
// unreachable, the last granted slots stay valid for SlotTTL, and the entry always
// has its part of the fallback floor.
func (s *localState) availableSlots(now time.Time) int {
	if s.unreachableSince.IsZero() {
		return s.slots
	}
	floor := max(1, int(fallbackFloorPart*float64(s.limits.Concurrency)/float64(s.entries)))
	if now.Before(s.slotsUntil) {
		return max(s.slots, floor)
	}
	return floor
}

func (s *localState) refill(now time.Time) {
	requests, tokens := s.shareRates(now)
	elapsed := max(0, now.Sub(s.refilledAt)).Seconds()
	s.refilledAt = now
	s.requests = min(s.requests+requests*elapsed, max(s.requests, minSavedRequests, requests*savedTime.Seconds()))
	s.tokens = min(s.tokens+tokens*elapsed, max(s.tokens, 1, tokens*savedTime.Seconds()))
}

// wantedSlots returns how many slots to request in addition to those in use: one
// second of demand, and the usual variation of the number of running requests.
// Far from the limit, a burst requests a fraction of the running requests, so that
// it needs few grant requests.
func (s *localState) wantedSlots() int {
	requests, _ := s.demand.rates()
	wanted := requests + math.Sqrt(float64(s.running))
	if !s.nearLimit {
		wanted = max(wanted, burstSlotsPart*float64(s.running))
	}
	return 1 + int(wanted)
}

// burstSlotsPart is the number of slots that a burst requests, as a fraction of the
// running requests.
const burstSlotsPart = 0.5

// Credit of an unused share accumulates for savedTime, and to at least
// minSavedRequests.
const (
	savedTime        = 3 * time.Second
	minSavedRequests = 2
)

// promiseGrace is how long after its retry time a caller is still expected.
const promiseGrace = time.Second

// holdsForCaller reports whether a caller with a retry time is still expected and
// the credit saved from the last share is enough for it.
func (s *localState) holdsForCaller(now time.Time) bool {
	return !now.After(s.promisedAt.Add(promiseGrace)) && s.requests >= 1 && s.tokens > 0
}

// promiseDue reports whether a caller's retry time has come. The caller is admitted
// even if the share has ended or shrunk since; its debt may have been handed to the
// owner, whose bucket then has the debts of other entries too.
func (s *localState) promiseDue(now time.Time) bool {
	return !s.promiseDebt && !now.Before(s.promisedAt) && !now.After(s.promisedAt.Add(promiseGrace))
}

// creditWindow is the longest wait for which a request is admitted immediately,
// because a refusal and a retry of the caller would take longer.
const creditWindow = 10 * time.Millisecond

// availableSoon reports whether the share in force will cover the request within
// creditWindow. The request is charged its whole cost, so the share is never
// overdrawn by more than creditWindow.
func (s *localState) availableSoon(after time.Duration, now time.Time) bool {
	requests, tokens := s.shareRates(now)
	return requests > 0 && tokens > 0 && after <= creditWindow
}

// durationSmoothing is the weight of a new sample in meanDuration.
const durationSmoothing = 0.1

// CorrectCost replaces the estimated cost of a request with the tokens it used.
func (l *Limiter) CorrectCost(t Ticket, used int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.states[t.Contract]; s != nil {
		s.refill(now)
		s.tokens += t.tokens - float64(used)
		s.renewSoon(now)
		s.meanDuration += durationSmoothing * (now.Sub(t.admitted).Seconds() - s.meanDuration)
	}
}

// Release frees the ticket's slot. It must be called once for each ticket.
func (l *Limiter) Release(t Ticket, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.states[t.Contract]; s != nil {
		s.running = max(0, s.running-1)
		s.renewSoon(now)
	}
}

// Running returns the number of requests of a contract that run at this entry.
func (l *Limiter) Running(name id.Contract) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.states[name]; s != nil {
		return s.running
	}
	return 0
}
