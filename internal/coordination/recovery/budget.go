package recovery

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// BudgetConfig bounds the extra work of one process.
type BudgetConfig struct {
	// Share is the ratio of extra work to useful work that is allowed.
	Share float64
	// Reserve is an initial credit in tokens, which refills within
	// ReserveRefillTime. With it, single losses are recovered at once also when
	// there is little useful work. With zero, only the share counts.
	Reserve           float64
	ReserveRefillTime time.Duration
	// MaxCredit is the most credit, in tokens, that may accumulate while there is
	// little extra work.
	MaxCredit float64
}

// Defaults of the budgets.
const (
	defaultReserve           = 4000
	defaultReserveRefillTime = 10 * time.Second
	defaultMaxCredit         = 50_000
	// waitingTTL is how long credit is kept for a refused request that does not
	// call TryAcquire again.
	waitingTTL = 2 * time.Second
)

// RetryBudget returns the configuration of a budget for retries.
func RetryBudget(share float64) BudgetConfig {
	return BudgetConfig{Share: share, Reserve: defaultReserve, ReserveRefillTime: defaultReserveRefillTime, MaxCredit: defaultMaxCredit}
}

// HedgeBudget returns the configuration of a budget for hedged attempts, which
// has no reserve.
func HedgeBudget(share float64) BudgetConfig {
	return BudgetConfig{Share: share, MaxCredit: defaultMaxCredit}
}

// BudgetRequest is a request whose recovery needs extra work.
type BudgetRequest struct {
	Request id.Request
	Class   generation.Class
	// HeldTokens is the number of tokens that the answer has already.
	HeldTokens int
	// Cost is the number of tokens that the attempt computes again.
	Cost int
	// LostAt is when the request's attempt was lost.
	LostAt time.Time
}

// before reports whether a goes before b: the more urgent class first, then the
// answer with more tokens, since recovering it saves more work, then the
// earlier loss.
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

// Budget bounds extra work to a share of the useful work. It grants while its
// credit is positive, whatever the request costs, so that no answer is too long
// to be recovered. It can thus be overdrawn by one grant at most. It is not
// safe for concurrent use.
type Budget struct {
	cfg        BudgetConfig
	credit     float64
	refilledAt time.Time
	waiting    map[id.Request]waiter
}

// waiter is a request that was refused, and when that happened last.
type waiter struct {
	request   BudgetRequest
	refusedAt time.Time
}

// NewBudget returns a Budget whose credit is its reserve.
func NewBudget(cfg BudgetConfig, now time.Time) *Budget {
	return &Budget{cfg: cfg, credit: cfg.Reserve, refilledAt: now, waiting: map[id.Request]waiter{}}
}

// RecordWork adds the credit for tokens of useful work.
func (b *Budget) RecordWork(tokens int) {
	b.credit = min(b.credit+b.cfg.Share*float64(tokens), max(b.cfg.MaxCredit, b.cfg.Reserve))
}

// TryAcquire reports whether req may do its extra work now, and charges its cost
// if so. The caller should repeat the call for a refused request. While it does,
// credit is kept for the request in the order of class, tokens held and time of
// the loss.
func (b *Budget) TryAcquire(now time.Time, req BudgetRequest) bool {
	b.refill(now)
	if b.credit <= 0 || b.outranked(now, &req) {
		b.waiting[req.Request] = waiter{request: req, refusedAt: now}
		return false
	}
	delete(b.waiting, req.Request)
	b.credit -= float64(req.Cost)
	return true
}

// Cancel removes a request from those that wait.
func (b *Budget) Cancel(request id.Request) { delete(b.waiting, request) }

// Refund gives back tokens of a grant that were not computed after all.
func (b *Budget) Refund(tokens int) { b.credit += float64(tokens) }

// Waiting returns the number of requests that wait.
func (b *Budget) Waiting() int { return len(b.waiting) }

// refill refills the reserve for the time that has passed.
func (b *Budget) refill(now time.Time) {
	passed := now.Sub(b.refilledAt)
	b.refilledAt = now
	if b.cfg.Reserve == 0 || passed <= 0 || b.credit >= b.cfg.Reserve {
		return
	}
	refilled := b.cfg.Reserve * passed.Seconds() / b.cfg.ReserveRefillTime.Seconds()
	b.credit = min(b.credit+refilled, b.cfg.Reserve)
}

// outranked reports whether the credit is kept for waiting requests that go
// before req. The calls for waiting requests are repeated at different times, so
// req need not wait for those of the others while there is credit for all of them.
func (b *Budget) outranked(now time.Time, req *BudgetRequest) bool {
	left := b.credit
	for request, w := range b.waiting {
		switch {
		case now.Sub(w.refusedAt) > waitingTTL:
			delete(b.waiting, request)
			continue
		case request == req.Request || !w.request.before(req):
			continue
		}
		left -= float64(w.request.Cost)
		if left <= 0 {
			return true
		}
	}
	return false
}

// SetShare sets the ratio of extra work to useful work that is allowed.
func (b *Budget) SetShare(share float64) { b.cfg.Share = share }
