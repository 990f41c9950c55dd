package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// plainLoad plays many entries that send short requests to the targets of a plain service,
// and report their loads each interval. It returns the share of requests that found all
// slots of their target taken.
func plainLoad(reportAge time.Duration) float64 {
	const entries, perSecond, lasts, slots, duration = 103, 570, 20, 6, 35 * time.Millisecond
	random := rand.New(rand.NewPCG(5, 6))
	ts := targets("app", 1, "a", "b", "c", "d", "e", "f")
	type running struct {
		attempt *balance.Attempt
		target  id.Target
		until   time.Time
	}
	var all []*balance.Balancer
	for i := range entries {
		b := balance.New(ts[i%len(ts)].Zone, random.Float64)
		b.ReportAge = func() time.Duration { return reportAge }
		all = append(all, b)
	}
	inFlight := map[id.Target]int{}
	var started []running
	full, n := 0, perSecond*lasts
	reports := 0
	for i := range n {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		for len(started) > 0 && started[0].until.Before(now) {
			inFlight[started[0].target]--
			started[0].attempt.End(now, balance.Succeeded)
			started = started[1:]
		}
		// The entries report in turn.
		for ; time.Duration(reports)*reportAge/entries < now.Sub(start); reports++ {
			from := reports % entries
			for j, b := range all {
				if j != from {
					b.ApplyPeerLoads(now, id.Entry(rune('A'+from)), all[from].Loads(), time.Hour)
				}
			}
		}
		b := all[random.IntN(entries)]
		choice, _ := b.Choose(now, balance.Request{}, ts, nil)
		if inFlight[choice.Target.ID] >= slots {
			full++
		}
		inFlight[choice.Target.ID]++
		started = append(started, running{b.Start(now, choice, balance.Request{}, nil), choice.Target.ID, now.Add(duration)})
	}
	return float64(full) / float64(n)
}

// TestPlainServiceOfManyEntries guards against many entries sending their requests to the
// target that was the least loaded by reports which are older than the requests last.
func TestPlainServiceOfManyEntries(t *testing.T) {
	is := is.New(t)
	share := plainLoad(1500 * time.Millisecond)
	t.Logf("%.3f of the requests found all slots taken", share)
	is.True(share <= 0.15) // 0.12 if each target were chosen equally often
}

// While reports are current, the least loaded target is chosen.
func TestDrawServiceCurrent(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	b.ReportAge = func() time.Duration { return 150 * time.Millisecond }
	ts := targets("app", 2, "a")
	b.Start(start, balance.Choice{Target: ts[0]}, balance.Request{}, nil)
	choice, _ := b.Choose(start, balance.Request{}, ts, nil)
	is.Equal(choice.Target.ID, ts[1].ID)
	// With older reports, a target that may have been lost is still not drawn.
	b.ReportAge = func() time.Duration { return 2 * time.Second }
	b.Start(start, balance.Choice{Target: ts[1]}, balance.Request{}, nil).End(start, balance.Lost)
	for range 50 {
		choice, _ = b.Choose(start, balance.Request{}, ts, nil)
		is.Equal(choice.Target.ID, ts[0].ID)
	}
	_, ok := b.Choose(start, balance.Request{}, catalog.Targets{}, nil)
	is.True(!ok)
}
