package limit

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// mayRequestGrant reports whether a grant request may be sent for the blocking
// limit. While the limit is contended, an entry with a share waits until its
// renewal.
func (s *localState) mayRequestGrant(limit Limit, now time.Time) bool {
	switch {
	case !s.unreachableSince.IsZero() || s.refusedUntil.Sub(now) > creditWindow:
		return false
	case now.After(s.shareUntil):
		return true
	case limit == Concurrency:
		// If the owner has no slot, its grant says when to try again.
		return true
	case s.contended:
		return now.Sub(s.waiterRequestedAt) >= s.renewAfter
	}
	// While the owner has enough for all, frequent grant requests are allowed, so
	// that no caller is refused needlessly.
	return true
}

func (s *localState) newGrantRequest(name id.Contract, now time.Time) GrantRequest {
	s.demand.decay(now)
	demandRequests, demandTokens := s.demand.rates()
	req := GrantRequest{
		Contract:          name,
		RequestsPerSecond: demandRequests,
		TokensPerSecond:   demandTokens,
		Running:           s.running,
	}
	if now.Before(s.shareUntil) {
		req.HeldRequestsPerSecond, req.HeldTokensPerSecond = s.shareRequests, s.shareTokens
		return req
	}
	if s.holdsForCaller(now) {
		return req
	}
	if !s.unreachableSince.IsZero() {
		// The owner will probably not receive this request, so no credit is
		// given back.
		req.ReturnedTokens = min(0, s.tokens)
		return req
	}
	req.ReturnedTokens = s.tokens
	if s.tokens > 0 {
		// Deduct before the owner has confirmed, so that a lost answer loses
		// tokens and never duplicates them.
		s.tokens = 0
	}
	return req
}

// ApplyGrant applies the owner's answer to a grant request.
func (l *Limiter) ApplyGrant(g Grant, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[g.Contract]
	if s == nil {
		return
	}
	s.refill(now)
	s.unreachableSince = time.Time{}
	s.requests += float64(g.Requests)
	s.tokens += g.Tokens
	if g.ReturnedTokens < 0 {
		s.tokens -= g.ReturnedTokens
	}
	s.shareRequests, s.shareTokens = g.RequestsPerSecond, g.TokensPerSecond
	s.shareUntil = now
	if g.RenewAfter > 0 {
		s.shareUntil = now.Add(g.ValidFor)
	}
	s.slots, s.slotsUntil = g.Slots, now.Add(SlotTTL)
	s.renewAfter = g.RenewAfter
	s.ownerReadyAt = now.Add(g.RetryAfter)
	s.renewAt = now.Add(SlotRenewInterval)
	if g.RenewAfter > 0 {
		s.renewAt = now.Add(g.RenewAfter)
	}
	s.contended, s.nearLimit = g.Contended, g.NearLimit
	s.refusedUntil = time.Time{}
	if g.RefusedBy != "" {
		s.refusedUntil, s.refusedBy, s.retryIncrement = now.Add(g.RetryAfter), g.RefusedBy, g.RetryIncrement
	}
}

// OwnerUnreachable records that a contract's owner did not answer. The last share
// stays in force and decays. The fallback floor is divided by entries, the number
// of known entries.
func (l *Limiter) OwnerUnreachable(name id.Contract, entries int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[name]
	if s == nil || !s.unreachableSince.IsZero() {
		return
	}
	s.refill(now)
	requests, tokens := s.shareRates(now)
	if requests == 0 {
		// Without a share, start from the recent demand.
		s.demand.decay(now)
		demandRequests, demandTokens := s.demand.rates()
		requests = min(demandRequests, float64(s.limits.RequestsPerSecond))
		tokens = min(demandTokens, float64(s.limits.TokensPerSecond))
	}
	s.unreachableSince, s.fallbackRequests, s.fallbackTokens = now, requests, tokens
	s.entries = max(1, entries)
}

// DueRenewals returns the grant requests that are due: for contracts that have
// running requests or recent demand, that are in debt or near their limit, or whose
// owner did not answer. It drops the state of contracts that have been idle for
// idleStateTTL.
func (l *Limiter) DueRenewals(now time.Time) []GrantRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due []GrantRequest
	for name, s := range l.states {
		if now.Before(s.renewAt) {
			continue
		}
		s.refill(now)
		s.demand.decay(now)
		idle := s.running == 0 && s.demand.requests < 1/MaxShareInterval.Seconds() && !s.nearLimit
		if idle && s.unreachableSince.IsZero() && s.tokens >= 0 {
			if now.Sub(s.renewAt) > idleStateTTL {
				delete(l.states, name)
			}
			continue
		}
		s.requestedAt = now
		s.renewAt = now.Add(SlotRenewInterval)
		if !s.unreachableSince.IsZero() {
			s.renewAt = now.Add(MinShareInterval)
		}
		req := s.newGrantRequest(name, now)
		if s.shareRequests > 0 {
			req.Slots = s.wantedSlots()
		}
		due = append(due, req)
	}
	return due
}

// renewSoon brings the next renewal forward when the contract is near its limit, so
// that the owner soon learns of freed slots and tokens that other entries wait for.
func (s *localState) renewSoon(now time.Time) {
	if !s.nearLimit {
		return
	}
	soon := s.requestedAt.Add(slotRetryInterval)
	if soon.Before(now) {
		soon = now
	}
	if soon.Before(s.renewAt) {
		s.renewAt = soon
	}
}
