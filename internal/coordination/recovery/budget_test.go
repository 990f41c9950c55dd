package recovery_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/recovery"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

func TestBudgetOrder(t *testing.T) {
	is := is.New(t)
	b := recovery.NewBudget(recovery.RetryBudget(0.2), start)
	big := recovery.BudgetRequest{Request: "big", Class: generation.Long, HeldTokens: 9000, Cost: 9000}
	is.True(b.TryAcquire(start, big)) // a single loss is recovered whatever its length
	young := recovery.BudgetRequest{Request: "young", Class: generation.Long, HeldTokens: 10, Cost: 10}
	old := recovery.BudgetRequest{Request: "old", Class: generation.Long, HeldTokens: 900, Cost: 900}
	short := recovery.BudgetRequest{Request: "short", Class: generation.Short, HeldTokens: 5, Cost: 5}
	now := start.Add(time.Second)
	for _, a := range []recovery.BudgetRequest{young, old, short} {
		is.True(!b.TryAcquire(now, a)) // overdrawn
	}
	b.RecordWork(25_000) // earns 5,000; the debt was 5,000, of which 400 were refilled
	now = now.Add(time.Second)
	is.True(!b.TryAcquire(now, young)) // the credit is kept for old and short
	is.True(b.TryAcquire(now, short))
	is.True(b.TryAcquire(now, old))
	is.Equal(b.Waiting(), 1)
	is.True(!b.TryAcquire(now, young))
	b.Refund(900)
	is.True(b.TryAcquire(now, young))

	is.True(b.TryAcquire(now, big))
	is.True(!b.TryAcquire(now, old)) // TryAcquire is not called for old again
	b.RecordWork(100_000)
	is.True(b.TryAcquire(now.Add(3*time.Second), young)) // old's place has expired
}

// halfLossSim simulates, on virtual time, a fleet that loses half of its
// targets. Work is counted in tokens. A target computes prompts and decodes,
// each at its own rate.
type halfLossSim struct {
	budget  *recovery.Budget
	running []*job
	waiting []*job
	slots   int
	useful  float64
	extra   float64
	late    int
	// overshoot is the most tokens that extra work was ever above its share plus
	// the reserve.
	overshoot float64
	ended     int
}

type job struct {
	name     id.Request
	held     int
	length   int
	prefill  int
	lost     time.Time
	deadline time.Time
}

const (
	tick           = 100 * time.Millisecond
	slotsPerTarget = 16
	decodePerTick  = 3    // tokens per slot, a pace of about 31 ms
	prefillRate    = 1000 // tokens per second of one target
)

func (s *halfLossSim) step(now time.Time, r *rand.Rand) {
	targets := max(1, s.slots/slotsPerTarget)
	// Prompts are computed first; decoding gets the rest of the time.
	prefillLeft := targets * prefillRate / int(time.Second/tick)
	share := 1.0
	for _, j := range s.running {
		n := min(j.prefill, max(0, prefillLeft))
		j.prefill -= n
		prefillLeft -= n
		s.extra += float64(n)
	}
	share = max(0, float64(prefillLeft)) / float64(targets*prefillRate/int(time.Second/tick))
	unfinished := s.running[:0]
	for _, j := range s.running {
		if j.prefill == 0 && r.Float64() < share {
			j.held += decodePerTick
			s.useful += decodePerTick
			s.budget.RecordWork(decodePerTick)
		}
		if j.held < j.length {
			unfinished = append(unfinished, j)
			continue
		}
		s.ended++
		if now.After(j.deadline) {
			s.late++
		}
	}
	s.running = unfinished
}

// admit restarts waiting jobs as the budget and the slots allow. It asks in the
// order of the slice, which is not the budget's order.
func (s *halfLossSim) admit(now time.Time) {
	stillWaiting := s.waiting[:0]
	for _, j := range s.waiting {
		a := recovery.BudgetRequest{Request: j.name, Class: generation.Long, HeldTokens: j.held, Cost: j.held, LostAt: j.lost}
		if len(s.running) >= s.slots || !s.budget.TryAcquire(now, a) {
			stillWaiting = append(stillWaiting, j)
			continue
		}
		j.prefill = j.held
		s.running = append(s.running, j)
	}
	s.waiting = stillWaiting
}

// runHalfLoss simulates 36 fully loaded targets for the given time. After one
// minute half of them are lost. New jobs fill the free slots. It also returns
// the goodput after the loss.
func runHalfLoss(cfg recovery.BudgetConfig, seed uint64, length time.Duration) (*halfLossSim, float64) {
	r := rand.New(rand.NewPCG(seed, 2))
	s := &halfLossSim{budget: recovery.NewBudget(cfg, start), slots: 36 * slotsPerTarget}
	next := 0
	fill := func(now time.Time) {
		for len(s.running) < s.slots {
			next++
			s.running = append(s.running, &job{
				name: id.Request(fmt.Sprintf("r%d", next)), length: 500 + r.IntN(4000), deadline: now.Add(10 * time.Minute),
			})
		}
	}
	var before float64
	for at := time.Duration(0); at < length; at += tick {
		now := start.Add(at)
		if at == time.Minute {
			before = s.useful
			s.slots /= 2
			cut := len(s.running) / 2
			for _, j := range s.running[cut:] {
				j.lost = now
			}
			s.waiting = append(s.waiting, s.running[cut:]...)
			s.running = s.running[:cut]
		}
		s.admit(now)
		fill(now)
		s.step(now, r)
		reserve := cfg.Reserve * (1 + at.Seconds()/cfg.ReserveRefillTime.Seconds())
		s.overshoot = max(s.overshoot, s.extra-cfg.Share*s.useful-reserve)
	}
	// Goodput after the loss, as a share of what the remaining slots can decode.
	capacity := float64(s.slots*decodePerTick) * float64((length-time.Minute)/tick)
	return s, (s.useful - before) / capacity
}

// After the loss of half of the targets at full load, extra work must stay
// within the budget, goodput must stay high, and waiting requests must not
// fail.
func TestBudgetHalfLost(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		is := is.New(t)
		cfg := recovery.RetryBudget(0.2)
		length := 8 * time.Minute
		s, goodput := runHalfLoss(cfg, seed, length)
		is.True(s.overshoot <= 4500) // one grant, of the longest answer
		is.True(goodput >= 0.8)      // 1 minus the share of retries
		is.Equal(s.late, 0)
		is.Equal(len(s.waiting), 0)
	}
}

// BenchmarkBudget measures the cost of a loss of half of the targets with two
// budgets and with a practically unlimited one (share 1000).
func BenchmarkBudget(b *testing.B) {
	for _, share := range []float64{0.05, 0.2, 1000} {
		b.Run(fmt.Sprintf("share%g", share), func(b *testing.B) {
			cfg := recovery.RetryBudget(share)
			if share == 1000 {
				cfg.MaxCredit = 1e12
			}
			for range b.N {
				s, goodput := runHalfLoss(cfg, 1, 3*time.Minute)
				b.ReportMetric(s.extra/s.useful, "extra/useful")
				b.ReportMetric(goodput, "goodput")
				b.ReportMetric(float64(len(s.waiting)), "waiting")
				b.ReportMetric(s.overshoot, "overshoot-tokens")
			}
		})
	}
}
