package overload

import (
	"math"
	"slices"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Queue is the requests that wait for one model or service at one entry.
type Queue struct {
	cfg Config

	mu      sync.Mutex
	waiting []waiting
	// virtual is the tag of the last request that went on.
	virtual float64
	// last is the tag of the newest request of a flow, served that of the last
	// one that went on.
	last   map[flow]float64
	served map[flow]float64
	rate   rate
}

// flow is what shares fairly: a contract's work of one class, so that short
// work does not wait for its own contract's long work.
type flow struct {
	contract id.Contract
	class    generation.Class
}

func flowOf(item *Item) flow { return flow{item.Contract, item.Class} }

// waiting is a queued request with its place in the fair order.
type waiting struct {
	item   Item
	start  float64
	finish float64
	latest time.Time
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue {
	cfg.Defaults()
	return &Queue{cfg: cfg, last: map[flow]float64{}, served: map[flow]float64{}}
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// Offer decides about a request. Free says that a target has room for it. A
// request that it displaces is given up and returned.
func (q *Queue) Offer(item Item, free bool, now time.Time) (Verdict, *Dropped) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := q.tag(item, now)
	at := q.place(w.finish)
	if free && at == 0 {
		q.begin(&w, now)
		return Verdict{Kind: Run, Reason: CapacityAvailable}, nil
	}
	wait := q.waitAt(at, now)
	if most := time.Duration(admitPart * float64(w.latest.Sub(now))); wait > most {
		return Verdict{Kind: Refused, Reason: TooLate, Wait: wait, RetryAfter: roundUp(wait - most)}, nil
	}
	if len(q.waiting) >= q.cfg.MaxQueued && at == len(q.waiting) {
		return Verdict{Kind: Refused, Reason: QueueFull, Wait: wait, RetryAfter: q.roomAfter(now)}, nil
	}
	var displaced *Dropped
	if len(q.waiting) >= q.cfg.MaxQueued {
		end := len(q.waiting) - 1
		displaced = &Dropped{Item: q.waiting[end].item, Reason: Displaced, RetryAfter: q.roomAfter(now)}
		q.waiting = q.waiting[:end]
		q.rewind(flowOf(&displaced.Item))
	}
	q.waiting = slices.Insert(q.waiting, at, w)
	q.last[flowOf(&item)] = w.finish
	return Verdict{Kind: Queued, Reason: Enqueued, Wait: wait}, displaced
}

// admitPart is the part of the time until its latest start that a request may
// be expected to wait when it comes. The rest covers a forecast that was too
// good, so that few are given up after a long wait.
const admitPart = 0.75

// tag gives a request its place in the fair order: it follows what its
// contract has queued, the further the more it costs for its weight and class.
func (q *Queue) tag(item Item, now time.Time) waiting {
	begin := max(q.virtual, q.last[flowOf(&item)])
	part := float64(max(1, item.Weight)) * share(item.Class)
	return waiting{item: item, start: begin, finish: begin + item.Cost/part, latest: q.cfg.latestStart(&item, now)}
}

// place returns where a request with the tag goes.
func (q *Queue) place(finish float64) int {
	at, _ := slices.BinarySearchFunc(q.waiting, finish, func(w waiting, f float64) int {
		if w.finish <= f {
			return -1
		}
		return 1
	})
	return at
}

// waitAt returns the expected time until the request at a place starts.
func (q *Queue) waitAt(at int, now time.Time) time.Duration {
	ahead := 0.0
	for i := range q.waiting[:at] {
		ahead += q.waiting[i].item.Cost
	}
	return q.rate.timeFor(ahead, now)
}

// roomAfter returns the expected time until one request goes on.
func (q *Queue) roomAfter(now time.Time) time.Duration {
	if len(q.waiting) == 0 {
		return 0
	}
	return roundUp(q.rate.timeFor(q.waiting[0].item.Cost, now))
}

func (q *Queue) begin(w *waiting, now time.Time) {
	q.virtual = max(q.virtual, w.start)
	q.rate.add(w.item.Cost, now)
	if len(q.waiting) == 0 && len(q.last) > maxIdleContracts {
		clear(q.last)
		clear(q.served)
	}
	q.served[flowOf(&w.item)] = w.finish
	q.last[flowOf(&w.item)] = max(q.last[flowOf(&w.item)], w.finish)
}

// maxIdleContracts bounds what is remembered of contracts that do not wait.
const maxIdleContracts = 4096

// Next takes the first request that room says a target has room for.
func (q *Queue) Next(room func(*Item) bool, now time.Time) (Item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.waiting {
		if !room(&q.waiting[i].item) {
			continue
		}
		w := q.waiting[i]
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.begin(&w, now)
		return w.item, true
	}
	return Item{}, false
}

// Remove takes a request out whose caller has gone, and returns whether it waited.
func (q *Queue) Remove(request id.Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.IndexFunc(q.waiting, func(w waiting) bool { return w.item.Request == request })
	if i < 0 {
		return false
	}
	f := flowOf(&q.waiting[i].item)
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.rewind(f)
	return true
}

// DropLate takes out the requests that are expected to start too late.
func (q *Queue) DropLate(now time.Time) []Dropped {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []Dropped
	ahead := 0.0
	keep := q.waiting[:0]
	for _, w := range q.waiting {
		start := now.Add(q.rate.timeFor(ahead, now))
		if start.After(w.latest) {
			out = append(out, Dropped{Item: w.item, Reason: TooLate, RetryAfter: roundUp(start.Sub(w.latest))})
			continue
		}
		ahead += w.item.Cost
		keep = append(keep, w)
	}
	q.waiting = keep
	for i := range out {
		q.rewind(flowOf(&out[i].Item))
	}
	return out
}

// rewind sets a flow back to its last request that still waits or went on, so
// that the flow does not pay for those that were given up.
func (q *Queue) rewind(f flow) {
	for i := len(q.waiting) - 1; i >= 0; i-- {
		if flowOf(&q.waiting[i].item) == f {
			q.last[f] = q.waiting[i].finish
			return
		}
	}
	q.last[f] = q.served[f]
}

// rate is the smoothed rate at which work goes on, in tokens a second.
type rate struct {
	since time.Time
	at    time.Time
	sum   float64
}

// rateTime is the time over which the rate is smoothed.
const rateTime = 10 * time.Second

func (r *rate) add(cost float64, now time.Time) {
	if r.since.IsZero() {
		r.since, r.at = now, now
	}
	r.sum = r.sum*math.Exp(-now.Sub(r.at).Seconds()/rateTime.Seconds()) + cost
	r.at = now
}

// timeFor returns the time in which cost goes on. Before anything is known of
// the rate it is zero.
func (r *rate) timeFor(cost float64, now time.Time) time.Duration {
	known := now.Sub(r.since).Seconds()
	if cost <= 0 || r.since.IsZero() || known < 1 {
		return 0
	}
	sum := r.sum * math.Exp(-now.Sub(r.at).Seconds()/rateTime.Seconds())
	// The sum covers rateTime, or less when the queue is younger.
	perSecond := sum / (rateTime.Seconds() * (1 - math.Exp(-known/rateTime.Seconds())))
	return time.Duration(min(cost/max(perSecond, 1e-3), longestWait.Seconds()) * float64(time.Second))
}

// longestWait bounds an expected wait when hardly anything goes on.
const longestWait = time.Hour

// roundUp rounds up to the millisecond, and to at least one.
func roundUp(d time.Duration) time.Duration {
	return max(time.Millisecond, (d + time.Millisecond - 1).Truncate(time.Millisecond))
}
