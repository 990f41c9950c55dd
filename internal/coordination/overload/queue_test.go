package overload_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/overload"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	step  = 10 * time.Millisecond
	slots = 64
	// perSlot is the tokens a second of one slot.
	perSlot = 32.0
)

// offered is one request of a caller, who comes back when told to.
type offered struct {
	item  overload.Item
	at    time.Time
	tries int
}

// result is what a load did.
type result struct {
	good      map[id.Contract]float64
	refused   int
	late      int
	lastNotes []time.Duration
}

func (r *result) total() float64 {
	sum := 0.0
	for _, g := range r.good {
		sum += g
	}
	return sum
}

type active struct {
	item overload.Item
	ends time.Time
}

// simulate offers load times what the slots can do, and returns the tokens of
// answers that ended in time.
func simulate(load float64, queue *overload.Queue, contracts []overload.Item, shares []float64, lasts time.Duration) result {
	rng := rand.New(rand.NewPCG(3, 5))
	out := result{good: map[id.Contract]float64{}}
	var coming []offered
	var running []active
	meanCost := 0.0
	for i, c := range contracts {
		meanCost += shares[i] * c.Cost
	}
	perSecond := load * slots * perSlot / meanCost
	waiting := map[id.Request]offered{}
	next := start
	serial := 0
	begin := func(item overload.Item, now time.Time) {
		running = append(running, active{item, now.Add(item.ServiceTime)})
		delete(waiting, item.Request)
	}
	refuse := func(o offered, after time.Duration, now time.Time) {
		out.refused++
		out.lastNotes = append(out.lastNotes, o.item.Deadline.Sub(now))
		if o.tries < 3 {
			o.tries++
			o.at = now.Add(after)
			o.item.Deadline = o.at.Add(20*time.Second + o.item.ServiceTime)
			coming = append(coming, o)
		}
	}
	for now := start; now.Before(start.Add(lasts)); now = now.Add(step) {
		keep := running[:0]
		for _, r := range running {
			switch {
			case now.Before(r.ends):
				keep = append(keep, r)
			case r.ends.After(r.item.Deadline):
				out.late++
			default:
				out.good[r.item.Contract] += r.item.Cost
			}
		}
		running = keep
		for ; next.Before(now); next = next.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))) {
			item := pick(rng, contracts, shares)
			serial++
			item.Request = id.Request(fmt.Sprint(serial))
			item.Cost *= 0.5 + rng.Float64()
			item.ServiceTime = time.Duration(item.Cost / perSlot * float64(time.Second))
			item.Deadline = now.Add(20*time.Second + item.ServiceTime)
			coming = append(coming, offered{item: item, at: now})
		}
		due := coming
		coming = nil
		for _, o := range due {
			if o.at.After(now) {
				coming = append(coming, o)
				continue
			}
			verdict, displaced := queue.Offer(o.item, len(running) < slots, now)
			switch verdict.Kind {
			case overload.Run:
				begin(o.item, now)
			case overload.Queued:
				waiting[o.item.Request] = o
			case overload.Refused:
				refuse(o, verdict.RetryAfter, now)
			}
			if displaced != nil {
				refuse(waiting[displaced.Item.Request], displaced.RetryAfter, now)
			}
		}
		for len(running) < slots {
			item, ok := queue.Next(func(*overload.Item) bool { return true }, now)
			if !ok {
				break
			}
			begin(item, now)
		}
		for _, g := range queue.DropLate(now) {
			refuse(waiting[g.Item.Request], g.RetryAfter, now)
			delete(waiting, g.Item.Request)
		}
	}
	return out
}

func pick(rng *rand.Rand, contracts []overload.Item, shares []float64) overload.Item {
	x := rng.Float64()
	for i, s := range shares {
		if x < s {
			return contracts[i]
		}
		x -= s
	}
	return contracts[len(contracts)-1]
}

// The work done in time at twice the load is at least 95 in 100 of that at
// one time the load, with callers who come back three times.
func TestGoodputAtTwiceTheLoad(t *testing.T) {
	is := is.New(t)
	contracts := []overload.Item{
		{Contract: "short", Class: generation.Short, Weight: 1, Cost: 32},
		{Contract: "standard", Class: generation.Standard, Weight: 1, Cost: 320},
		{Contract: "long", Class: generation.Long, Weight: 1, Cost: 1600},
	}
	shares := []float64{0.6, 0.34, 0.06}
	const lasts = 5 * time.Minute
	one := simulate(1, overload.NewQueue(overload.Config{}), contracts, shares, lasts)
	two := simulate(2, overload.NewQueue(overload.Config{}), contracts, shares, lasts)
	ten := simulate(10, overload.NewQueue(overload.Config{}), contracts, shares, lasts)
	t.Logf("tokens in time: %.0f at 1x, %.0f at 2x, %.0f at 10x; late %d, %d, %d; refused %d, %d, %d",
		one.total(), two.total(), ten.total(), one.late, two.late, ten.late, one.refused, two.refused, ten.refused)
	is.True(two.total() >= 0.95*one.total())
	is.True(ten.total() >= 0.95*one.total())
	is.True(two.good["short"] >= 0.95*one.good["short"])
}

// Contracts that both want more than there is get it by their weights.
func TestFairnessByWeight(t *testing.T) {
	is := is.New(t)
	contracts := []overload.Item{
		{Contract: "large", Class: generation.Standard, Weight: 1, Cost: 320},
		{Contract: "heavy", Class: generation.Standard, Weight: 3, Cost: 320},
		{Contract: "small", Class: generation.Standard, Weight: 1, Cost: 320},
	}
	// The large one offers 2.4 times all there is, the small one 0.06 times.
	got := simulate(4, overload.NewQueue(overload.Config{}), contracts, []float64{0.6, 0.385, 0.015}, 5*time.Minute)
	t.Logf("tokens in time: %v", got.good)
	ratio := got.good["heavy"] / got.good["large"]
	is.True(ratio > 2.4 && ratio < 3.6)
	offered := 4 * slots * perSlot * 300 * 0.015
	is.True(got.good["small"] >= 0.9*offered) // below its part, and so served whole
}

// A request that is given up is told so when that is seen, with most of its
// time left, and not near its deadline.
func TestGivenUpAtOnce(t *testing.T) {
	is := is.New(t)
	q := overload.NewQueue(overload.Config{})
	item := overload.Item{Contract: "c", Class: generation.Standard, Weight: 1, Cost: 100, ServiceTime: time.Second}
	offer := func(n int, now time.Time) overload.Verdict {
		item.Request = id.Request(fmt.Sprint(n))
		item.Deadline = now.Add(11 * time.Second)
		v, _ := q.Offer(item, false, now)
		return v
	}
	// One request a second goes on.
	always := func(*overload.Item) bool { return true }
	now := start
	for i := range 30 {
		offer(i, now)
		_, _ = q.Next(always, now)
		now = now.Add(time.Second)
	}
	accepted := 0
	var refused overload.Verdict
	for i := range 40 {
		if v := offer(100+i, now); v.Kind == overload.Queued {
			accepted++
		} else {
			refused = v
		}
	}
	is.True(accepted >= 6 && accepted <= 10) // at most what goes on within the 10 s left for the start
	is.Equal(refused.Reason, overload.TooLate)
	is.True(refused.RetryAfter > 0 && refused.RetryAfter <= 2*time.Second)
	// The targets stop: within 3 s more than half are told, with 7 s left.
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		q.DropLate(now)
	}
	is.True(q.Len() <= accepted*3/4)
}

func TestBounded(t *testing.T) {
	is := is.New(t)
	q := overload.NewQueue(overload.Config{MaxQueued: 4})
	long := overload.Item{Contract: "a", Class: generation.Long, Weight: 1, Cost: 1000}
	for i := range 4 {
		long.Request = id.Request(fmt.Sprint(i))
		v, _ := q.Offer(long, false, start)
		is.Equal(v.Kind, overload.Queued)
	}
	v, _ := q.Offer(long, false, start)
	is.Equal(v.Reason, overload.QueueFull)
	short := overload.Item{Request: "s", Contract: "a", Class: generation.Short, Weight: 1, Cost: 10}
	v, displaced := q.Offer(short, false, start)
	is.Equal(v.Kind, overload.Queued)
	is.Equal(displaced.Item.Request, id.Request("3"))
	next, _ := q.Next(func(*overload.Item) bool { return true }, start)
	is.Equal(next.Request, id.Request("s")) // short work goes first
	is.True(q.Remove("0"))
	is.Equal(q.Len(), 2)
}

func BenchmarkOffer(b *testing.B) {
	b.ReportAllocs()
	q := overload.NewQueue(overload.Config{})
	item := overload.Item{Contract: "c", Class: generation.Standard, Weight: 1, Cost: 100}
	for range 200 {
		_, _ = q.Offer(item, false, start)
	}
	always := func(*overload.Item) bool { return true }
	for b.Loop() {
		_, _ = q.Offer(item, false, start)
		_, _ = q.Next(always, start)
	}
}
