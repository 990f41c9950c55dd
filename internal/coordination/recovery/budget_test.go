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
	is.True(b.TryAcquire(start, big)) // one loss recovers whatever its length
	young := recovery.BudgetRequest{Request: "young", Class: generation.Long, HeldTokens: 10, Cost: 10}
	old := recovery.BudgetRequest{Request: "old", Class: generation.Long, HeldTokens: 900, Cost: 900}
	short := recovery.BudgetRequest{Request: "short", Class: generation.Short, HeldTokens: 5, Cost: 5}
	now := start.Add(time.Second)
	for _, a := range []recovery.BudgetRequest{young, old, short} {
		is.True(!b.TryAcquire(now, a)) // overdrawn
	}
	b.RecordWork(25_000) // 5,000 of it go to retries; 400 came back, 5,000 were owed
	now = now.Add(time.Second)
	is.True(!b.TryAcquire(now, young)) // what is left is kept for old and short
	is.True(b.TryAcquire(now, short))
	is.True(b.TryAcquire(now, old))
	is.Equal(b.Waiting(), 1)
	is.True(!b.TryAcquire(now, young))
	b.Refund(900)
	is.True(b.TryAcquire(now, young))

	is.True(b.TryAcquire(now, big))
	is.True(!b.TryAcquire(now, old)) // old asks once and never again
	b.RecordWork(100_000)
	is.True(b.TryAcquire(now.Add(3*time.Second), young)) // and keeps nobody waiting
}

// loseHalf is a fleet on virtual time that loses half of its targets. Work is
// counted in tokens: a target decodes or computes prompts, each at its rate.
type loseHalf struct {
	budget  *recovery.Budget
	running []*job
	waiting []*job
	slots   int
	useful  float64
	extra   float64
	late    int
	// overshoot is the most that extra work was ever above its share and
	// reserve, in tokens.
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
	tick          = 100 * time.Millisecond
	slotsPer      = 16
	decodePerTick = 3    // tokens of one slot: a pace of about 31 ms
	prefillRate   = 1000 // tokens a second of one target
)

func (f *loseHalf) step(now time.Time, r *rand.Rand) {
	targets := max(1, f.slots/slotsPer)
	// Prefill comes first on each target, and decoding gets what is left.
	room := targets * prefillRate / int(time.Second/tick)
	share := 1.0
	for _, j := range f.running {
		n := min(j.prefill, max(0, room))
		j.prefill -= n
		room -= n
		f.extra += float64(n)
	}
	share = max(0, float64(room)) / float64(targets*prefillRate/int(time.Second/tick))
	kept := f.running[:0]
	for _, j := range f.running {
		if j.prefill == 0 && r.Float64() < share {
			j.held += decodePerTick
			f.useful += decodePerTick
			f.budget.RecordWork(decodePerTick)
		}
		if j.held < j.length {
			kept = append(kept, j)
			continue
		}
		f.ended++
		if now.After(j.deadline) {
			f.late++
		}
	}
	f.running = kept
}

// admit lets waiting jobs go on as the budget and the slots allow, in an order
// that is not that of the budget.
func (f *loseHalf) admit(now time.Time) {
	kept := f.waiting[:0]
	for _, j := range f.waiting {
		a := recovery.BudgetRequest{Request: j.name, Class: generation.Long, HeldTokens: j.held, Cost: j.held, LostAt: j.lost}
		if len(f.running) >= f.slots || !f.budget.TryAcquire(now, a) {
			kept = append(kept, j)
			continue
		}
		j.prefill = j.held
		f.running = append(f.running, j)
	}
	f.waiting = kept
}

// runLoss loses half of 36 targets under full load, and goes on until all is
// ended or the time is over. New work fills the slots that are left.
func runLoss(cfg recovery.BudgetConfig, seed uint64, length time.Duration) (*loseHalf, float64) {
	r := rand.New(rand.NewPCG(seed, 2))
	f := &loseHalf{budget: recovery.NewBudget(cfg, start), slots: 36 * slotsPer}
	next := 0
	fill := func(now time.Time) {
		for len(f.running) < f.slots {
			next++
			f.running = append(f.running, &job{
				name: id.Request(fmt.Sprintf("r%d", next)), length: 500 + r.IntN(4000), deadline: now.Add(10 * time.Minute),
			})
		}
	}
	var before float64
	for at := time.Duration(0); at < length; at += tick {
		now := start.Add(at)
		if at == time.Minute {
			before = f.useful
			f.slots /= 2
			cut := len(f.running) / 2
			for _, j := range f.running[cut:] {
				j.lost = now
			}
			f.waiting = append(f.waiting, f.running[cut:]...)
			f.running = f.running[:cut]
		}
		f.admit(now)
		fill(now)
		f.step(now, r)
		reserve := cfg.Reserve * (1 + at.Seconds()/cfg.ReserveRefillTime.Seconds())
		f.overshoot = max(f.overshoot, f.extra-cfg.Share*f.useful-reserve)
	}
	// Goodput after the loss, as a part of what the remaining slots can do.
	can := float64(f.slots*decodePerTick) * float64((length-time.Minute)/tick)
	return f, (f.useful - before) / can
}

// TestBudgetHalfLost: with half of the targets lost at full load, extra work
// stays below the budget, goodput holds, and those who wait are not failed.
func TestBudgetHalfLost(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		is := is.New(t)
		cfg := recovery.RetryBudget(0.2)
		length := 8 * time.Minute
		f, goodput := runLoss(cfg, seed, length)
		is.True(f.overshoot <= 4500) // one grant: the longest answer
		is.True(goodput >= 0.8)      // 1 less the share of retries
		is.Equal(f.late, 0)
		is.Equal(len(f.waiting), 0)
	}
}

// BenchmarkBudget prints what a loss of half of the targets costs with a
// budget and without one.
func BenchmarkBudget(b *testing.B) {
	for _, share := range []float64{0.05, 0.2, 1000} {
		b.Run(fmt.Sprintf("share%g", share), func(b *testing.B) {
			cfg := recovery.RetryBudget(share)
			if share == 1000 {
				cfg.MaxCredit = 1e12
			}
			for range b.N {
				f, goodput := runLoss(cfg, 1, 3*time.Minute)
				b.ReportMetric(f.extra/f.useful, "extra/useful")
				b.ReportMetric(goodput, "goodput")
				b.ReportMetric(float64(len(f.waiting)), "waiting")
				b.ReportMetric(f.overshoot, "overshoot-tokens")
			}
		})
	}
}
