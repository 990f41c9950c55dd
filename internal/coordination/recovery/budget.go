package recovery

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// BudgetConfig bounds the extra work of one process.
type BudgetConfig struct {
	// Share is the part of the work done that extra work may add.
	Share float64
	// Reserve, in tokens, is there at the start and comes back within
	// ReserveEvery, so that single losses recover at once also when little
	// work is done. Zero leaves the share alone.
	Reserve           float64
	ReserveRefillTime time.Duration
	// MaxCredit is the largest credit, in tokens, that quiet times leave behind.
	MaxCredit float64
}

// Defaults for a retry budget.
const (
	defaultReserve      = 4000
	defaultReserveEvery = 10 * time.Second
	defaultSaveUp       = 50_000
	// forgetAfter is how long an applicant that no longer asks keeps its place.
	forgetAfter = 2 * time.Second
)

// RetryBudget returns the bounds of the retries' budget.
func RetryBudget(share float64) BudgetConfig {
	return BudgetConfig{Share: share, Reserve: defaultReserve, ReserveRefillTime: defaultReserveEvery, MaxCredit: defaultSaveUp}
}

// HedgeBudget returns the bounds of the races' budget, which has no reserve.
func HedgeBudget(share float64) BudgetConfig {
	return BudgetConfig{Share: share, MaxCredit: defaultSaveUp}
}

// BudgetRequest is a request that asks for extra work.
type BudgetRequest struct {
	Request id.Request
	Class   generation.Class
	// HeldTokens counts the tokens that the answer has already.
	HeldTokens int
	// Cost is the number of tokens that the attempt computes again.
	Cost int
	// LostAt is when the request lost its attempt.
	LostAt time.Time
}

// before reports whether a goes first: the more urgent class, then the answer
// with more tokens, since more work is saved, then the one that waits longer.
func (a *BudgetRequest) before(b *BudgetRequest) bool {
	switch {
	case a.Class.Priority() != b.Class.Priority():
		return a.Class.Priority() < b.Class.Priority()
	case a.HeldTokens != b.HeldTokens:
		return a.HeldTokens > b.HeldTokens
	case !a.LostAt.Equal(b.LostAt):
		return a.LostAt.Before(b.LostAt)
	}
	return a.Request < b.Request
}

// Budget bounds extra work to a share of the work done. A Budget is granted to
// while it is not overdrawn, whatever the cost of the next applicant, so that
// no answer is too long to be recovered: it is overdrawn by one grant at most.
// It is not safe for concurrent use.
type Budget struct {
	cfg     BudgetConfig
	credit  float64
	at      time.Time
	waiting map[id.Request]place
}

// place is an applicant that was refused, and when it asked last.
type place struct {
	applicant BudgetRequest
	asked     time.Time
}

// NewBudget returns a Budget that holds its reserve.
func NewBudget(cfg BudgetConfig, now time.Time) *Budget {
	return &Budget{cfg: cfg, credit: cfg.Reserve, at: now, waiting: map[id.Request]place{}}
}

// RecordWork notes tokens of useful work.
func (b *Budget) RecordWork(tokens int) {
	b.credit = min(b.credit+b.cfg.Share*float64(tokens), max(b.cfg.MaxCredit, b.cfg.Reserve))
}

// TryAcquire reports whether a may do its extra work now, and charges it. One that is
// refused waits and asks again; it keeps its place while it does, and goes by
// the order of class, tokens held and time.
func (b *Budget) TryAcquire(now time.Time, a BudgetRequest) bool {
	b.refill(now)
	if b.credit <= 0 || b.outranked(now, &a) {
		b.waiting[a.Request] = place{applicant: a, asked: now}
		return false
	}
	delete(b.waiting, a.Request)
	b.credit -= float64(a.Cost)
	return true
}

// Cancel takes a request that no longer wants to go on out of the order.
func (b *Budget) Cancel(request id.Request) { delete(b.waiting, request) }

// Refund gives back tokens of a grant that were not computed after all.
func (b *Budget) Refund(tokens int) { b.credit += float64(tokens) }

// Waiting returns the number of requests that wait.
func (b *Budget) Waiting() int { return len(b.waiting) }

// refill brings the reserve back as time goes by.
func (b *Budget) refill(now time.Time) {
	passed := now.Sub(b.at)
	b.at = now
	if b.cfg.Reserve == 0 || passed <= 0 || b.credit >= b.cfg.Reserve {
		return
	}
	back := b.cfg.Reserve * passed.Seconds() / b.cfg.ReserveRefillTime.Seconds()
	b.credit = min(b.credit+back, b.cfg.Reserve)
}

// outranked reports whether what is left is kept for those who wait and go
// before a. Each asks at its own time, so a need not wait for their asking
// while there is enough for all of them.
func (b *Budget) outranked(now time.Time, a *BudgetRequest) bool {
	left := b.credit
	for request, p := range b.waiting {
		switch {
		case now.Sub(p.asked) > forgetAfter:
			delete(b.waiting, request)
			continue
		case request == a.Request || !p.applicant.before(a):
			continue
		}
		left -= float64(p.applicant.Cost)
		if left <= 0 {
			return true
		}
	}
	return false
}

// SetShare sets the part of the work done that extra work may add.
func (b *Budget) SetShare(share float64) { b.cfg.Share = share }
