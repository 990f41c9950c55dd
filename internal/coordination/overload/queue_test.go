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
	// tokensPerSlot is the throughput of one slot in tokens per second.
	tokensPerSlot = 32.0
)

// offered is one request of a caller that retries after the given RetryAfter.
type offered struct {
	item    overload.Item
	at      time.Time
	retries int
}

// result is the outcome of a simulated load.
type result struct {
	// completed holds the tokens of answers that ended in time.
	completed         map[id.Contract]float64
	refused           int
	missed            int
	timeLeftAtRefusal []time.Duration
}

func (r *result) total() float64 {
	sum := 0.0
	for _, tokens := range r.completed {
		sum += tokens
	}
	return sum
}

type active struct {
	item overload.Item
	ends time.Time
}

// simulate offers the queue a load, given as a multiple of the capacity of the slots, and
// returns the tokens of answers that ended in time.
func simulate(load float64, queue *overload.Queue, contracts []overload.Item, shares []float64, duration time.Duration) result {
	rng := rand.New(rand.NewPCG(3, 5))
	out := result{completed: map[id.Contract]float64{}}
	var arrivals []offered
	var running []active
	meanCost := 0.0
	for i, c := range contracts {
		meanCost += shares[i] * c.Cost
	}
	perSecond := load * slots * tokensPerSlot / meanCost
	waiting := map[id.Request]offered{}
	next := start
	lastID := 0
	begin := func(item overload.Item, now time.Time) {
		running = append(running, active{item, now.Add(item.ServiceTime)})
		delete(waiting, item.Request)
	}
	refuse := func(o offered, after time.Duration, now time.Time) {
		out.refused++
		out.timeLeftAtRefusal = append(out.timeLeftAtRefusal, o.item.Deadline.Sub(now))
		if o.retries < 3 {
			o.retries++
			o.at = now.Add(after)
			o.item.Deadline = o.at.Add(20*time.Second + o.item.ServiceTime)
			arrivals = append(arrivals, o)
		}
	}
	for now := start; now.Before(start.Add(duration)); now = now.Add(step) {
		keep := running[:0]
		for _, r := range running {
			switch {
			case now.Before(r.ends):
				keep = append(keep, r)
			case r.ends.After(r.item.Deadline):
				out.missed++
			default:
				out.completed[r.item.Contract] += r.item.Cost
			}
		}
		running = keep
		for ; next.Before(now); next = next.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))) {
			item := pickItem(rng, contracts, shares)
			lastID++
			item.Request = id.Request(fmt.Sprint(lastID))
			item.Cost *= 0.5 + rng.Float64()
			item.ServiceTime = time.Duration(item.Cost / tokensPerSlot * float64(time.Second))
			item.Deadline = now.Add(20*time.Second + item.ServiceTime)
			arrivals = append(arrivals, offered{item: item, at: now})
		}
		due := arrivals
		arrivals = nil
		for _, o := range due {
			if o.at.After(now) {
				arrivals = append(arrivals, o)
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
		for _, d := range queue.DropLate(now) {
			refuse(waiting[d.Item.Request], d.RetryAfter, now)
			delete(waiting, d.Item.Request)
		}
	}
	return out
}

func pickItem(rng *rand.Rand, contracts []overload.Item, shares []float64) overload.Item {
	x := rng.Float64()
	for i, s := range shares {
		if x < s {
			return contracts[i]
		}
		x -= s
	}
	return contracts[len(contracts)-1]
}

// TestGoodputAtTwiceTheLoad checks that at two and ten times the capacity, with callers
// that retry three times, the work completed in time is at least 95 % of that at the
// capacity.
func TestGoodputAtTwiceTheLoad(t *testing.T) {
	is := is.New(t)
	contracts := []overload.Item{
		{Contract: "short", Class: generation.Short, Weight: 1, Cost: 32},
		{Contract: "standard", Class: generation.Standard, Weight: 1, Cost: 320},
		{Contract: "long", Class: generation.Long, Weight: 1, Cost: 1600},
	}
	shares := []float64{0.6, 0.34, 0.06}
	const duration = 5 * time.Minute
	one := simulate(1, overload.NewQueue(overload.Config{}), contracts, shares, duration)
	two := simulate(2, overload.NewQueue(overload.Config{}), contracts, shares, duration)
	ten := simulate(10, overload.NewQueue(overload.Config{}), contracts, shares, duration)
	t.Logf("tokens in time: %.0f at 1x, %.0f at 2x, %.0f at 10x; late %d, %d, %d; refused %d, %d, %d",
		one.total(), two.total(), ten.total(), one.missed, two.missed, ten.missed, one.refused, two.refused, ten.refused)
	is.True(two.total() >= 0.95*one.total())
	is.True(ten.total() >= 0.95*one.total())
	is.True(two.completed["short"] >= 0.95*one.completed["short"])
}

// TestFairnessByWeight checks that two contracts that both exceed their share get capacity
// by their weights, and that a contract below its share is served completely.
func TestFairnessByWeight(t *testing.T) {
	is := is.New(t)
	contracts := []overload.Item{
		{Contract: "large", Class: generation.Standard, Weight: 1, Cost: 320},
		{Contract: "heavy", Class: generation.Standard, Weight: 3, Cost: 320},
		{Contract: "small", Class: generation.Standard, Weight: 1, Cost: 320},
	}
	// The contract large offers 2.4 times the capacity, the contract small 0.06 times.
	got := simulate(4, overload.NewQueue(overload.Config{}), contracts, []float64{0.6, 0.385, 0.015}, 5*time.Minute)
	t.Logf("tokens in time: %v", got.completed)
	ratio := got.completed["heavy"] / got.completed["large"]
	is.True(ratio > 2.4 && ratio < 3.6)
	offered := 4 * slots * tokensPerSlot * 300 * 0.015
	is.True(got.completed["small"] >= 0.9*offered) // below its share, so served completely
}

// TestDroppedEarly checks that a request that would start too late is dropped as soon as
// that becomes apparent, with most of its time left, and not close to its deadline.
func TestDroppedEarly(t *testing.T) {
	is := is.New(t)
	q := overload.NewQueue(overload.Config{})
	item := overload.Item{Contract: "c", Class: generation.Standard, Weight: 1, Cost: 100, ServiceTime: time.Second}
	offer := func(n int, now time.Time) overload.Verdict {
		item.Request = id.Request(fmt.Sprint(n))
		item.Deadline = now.Add(11 * time.Second)
		v, _ := q.Offer(item, false, now)
		return v
	}
	// One request per second is started.
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
	is.True(accepted >= 6 && accepted <= 10) // at most as many as are started within the 10 s until the latest start
	is.Equal(refused.Reason, overload.TooLate)
	is.True(refused.RetryAfter > 0 && refused.RetryAfter <= 2*time.Second)
	// No target takes requests any more: within 3 s at least a quarter of the queue is
	// dropped, with 7 s left.
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		q.DropLate(now)
	}
	is.True(q.Len() <= accepted*3/4)
}

// TestMaxQueued checks that a full queue refuses requests that would come last, and that
// a request that goes first displaces the last one.
func TestMaxQueued(t *testing.T) {
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
