package overload

import (
	"math"
	"slices"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Queue holds the requests that wait for one model or service at one entry. It is safe
// for concurrent use.
type Queue struct {
	cfg Config

	mu      sync.Mutex
	waiting []queued
	// virtualTime is the highest start tag of the requests started so far.
	virtualTime float64
	// lastTag is the finish tag of the newest request of each flow, servedTag that of
	// the request of the flow that was started last.
	lastTag   map[flow]float64
	servedTag map[flow]float64
	rate      throughput
}

// flow is the unit of fair queueing: a contract's work of one class. Short work is a
// separate flow, so that it does not wait for the long work of its own contract.
type flow struct {
	contract id.Contract
	class    generation.Class
}

func flowOf(item *Item) flow { return flow{item.Contract, item.Class} }

// queued is a queued request with its tags, which give its place in the fair order.
type queued struct {
	item        Item
	startTag    float64
	finishTag   float64
	latestStart time.Time
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue {
	cfg.Defaults()
	return &Queue{cfg: cfg, lastTag: map[flow]float64{}, servedTag: map[flow]float64{}}
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// Offer decides about a request; free says that a target has capacity for it. If the
// request displaces a queued one, that one is removed and returned.
func (q *Queue) Offer(item Item, free bool, now time.Time) (Verdict, *Dropped) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := q.newQueued(item, now)
	at := q.position(w.finishTag)
	if free && at == 0 {
		q.startRequest(&w, now)
		return Verdict{Kind: Run, Reason: CapacityAvailable}, nil
	}
	wait := q.waitAt(at, now)
	if maxWait := time.Duration(maxWaitPart * float64(w.latestStart.Sub(now))); wait > maxWait {
		return Verdict{Kind: Refused, Reason: TooLate, Wait: wait, RetryAfter: ceilToMillisecond(wait - maxWait)}, nil
	}
	if len(q.waiting) >= q.cfg.MaxQueued && at == len(q.waiting) {
		return Verdict{Kind: Refused, Reason: QueueFull, Wait: wait, RetryAfter: q.timeUntilPlace(now)}, nil
	}
	var displaced *Dropped
	if len(q.waiting) >= q.cfg.MaxQueued {
		end := len(q.waiting) - 1
		displaced = &Dropped{Item: q.waiting[end].item, Reason: Displaced, RetryAfter: q.timeUntilPlace(now)}
		q.waiting = q.waiting[:end]
		q.resetTag(flowOf(&displaced.Item))
	}
	q.waiting = slices.Insert(q.waiting, at, w)
	q.lastTag[flowOf(&item)] = w.finishTag
	return Verdict{Kind: Queued, Reason: Enqueued, Wait: wait}, displaced
}

// maxWaitPart is the part of the time until its latest start that a request may be
// expected to wait on arrival. The rest is a margin for optimistic forecasts, so that
// few requests are dropped after a long wait.
const maxWaitPart = 0.75

// newQueued computes the tags of a request. It starts after the newest request of its
// flow, and its finish tag grows with its cost divided by its weights.
func (q *Queue) newQueued(item Item, now time.Time) queued {
	begin := max(q.virtualTime, q.lastTag[flowOf(&item)])
	weight := float64(max(1, item.Weight)) * classWeight(item.Class)
	return queued{item: item, startTag: begin, finishTag: begin + item.Cost/weight, latestStart: q.cfg.latestStart(&item, now)}
}

// position returns the index at which a request with the finish tag is inserted.
func (q *Queue) position(finish float64) int {
	at, _ := slices.BinarySearchFunc(q.waiting, finish, func(w queued, f float64) int {
		if w.finishTag <= f {
			return -1
		}
		return 1
	})
	return at
}

// waitAt returns the expected time until the request at the given index starts.
func (q *Queue) waitAt(index int, now time.Time) time.Duration {
	ahead := 0.0
	for i := range q.waiting[:index] {
		ahead += q.waiting[i].item.Cost
	}
	return q.rate.timeFor(ahead, now)
}

// timeUntilPlace returns the expected time until the first request starts and so frees a
// place in the queue.
func (q *Queue) timeUntilPlace(now time.Time) time.Duration {
	if len(q.waiting) == 0 {
		return 0
	}
	return ceilToMillisecond(q.rate.timeFor(q.waiting[0].item.Cost, now))
}

func (q *Queue) startRequest(w *queued, now time.Time) {
	q.virtualTime = max(q.virtualTime, w.startTag)
	q.rate.add(w.item.Cost, now)
	if len(q.waiting) == 0 && len(q.lastTag) > maxIdleFlows {
		clear(q.lastTag)
		clear(q.servedTag)
	}
	q.servedTag[flowOf(&w.item)] = w.finishTag
	q.lastTag[flowOf(&w.item)] = max(q.lastTag[flowOf(&w.item)], w.finishTag)
}

// maxIdleFlows bounds the number of flows whose tags are kept while nothing waits.
const maxIdleFlows = 4096

// Next removes and returns the first request for which hasCapacity reports that a target
// has capacity.
func (q *Queue) Next(hasCapacity func(*Item) bool, now time.Time) (Item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.waiting {
		if !hasCapacity(&q.waiting[i].item) {
			continue
		}
		w := q.waiting[i]
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.startRequest(&w, now)
		return w.item, true
	}
	return Item{}, false
}

// Remove removes a request whose caller has gone, and reports whether it was queued.
func (q *Queue) Remove(request id.Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.IndexFunc(q.waiting, func(w queued) bool { return w.item.Request == request })
	if i < 0 {
		return false
	}
	f := flowOf(&q.waiting[i].item)
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.resetTag(f)
	return true
}

// DropLate removes and returns the requests that are expected to start too late.
func (q *Queue) DropLate(now time.Time) []Dropped {
	q.mu.Lock()
	defer q.mu.Unlock()
	var dropped []Dropped
	ahead := 0.0
	remaining := q.waiting[:0]
	for _, w := range q.waiting {
		start := now.Add(q.rate.timeFor(ahead, now))
		if start.After(w.latestStart) {
			dropped = append(dropped, Dropped{Item: w.item, Reason: TooLate, RetryAfter: ceilToMillisecond(start.Sub(w.latestStart))})
			continue
		}
		ahead += w.item.Cost
		remaining = append(remaining, w)
	}
	q.waiting = remaining
	for i := range dropped {
		q.resetTag(flowOf(&dropped[i].Item))
	}
	return dropped
}

// resetTag sets a flow's last tag to that of its last request that still waits or was
// started, so that the flow is not charged for requests that were removed.
func (q *Queue) resetTag(f flow) {
	for i := len(q.waiting) - 1; i >= 0; i-- {
		if flowOf(&q.waiting[i].item) == f {
			q.lastTag[f] = q.waiting[i].finishTag
			return
		}
	}
	q.lastTag[f] = q.servedTag[f]
}

// throughput is the smoothed rate at which work is started, in tokens per second.
type throughput struct {
	firstAt   time.Time
	updatedAt time.Time
	sum       float64
}

// rateWindow is the smoothing time of the throughput.
const rateWindow = 10 * time.Second

func (t *throughput) add(cost float64, now time.Time) {
	if t.firstAt.IsZero() {
		t.firstAt, t.updatedAt = now, now
	}
	t.sum = t.sum*math.Exp(-now.Sub(t.updatedAt).Seconds()/rateWindow.Seconds()) + cost
	t.updatedAt = now
}

// timeFor returns the expected time to start work of the given cost; zero while less than
// one second has been measured.
func (t *throughput) timeFor(cost float64, now time.Time) time.Duration {
	measured := now.Sub(t.firstAt).Seconds()
	if cost <= 0 || t.firstAt.IsZero() || measured < 1 {
		return 0
	}
	sum := t.sum * math.Exp(-now.Sub(t.updatedAt).Seconds()/rateWindow.Seconds())
	// The sum covers rateWindow, or less if the queue has been in use for less time.
	perSecond := sum / (rateWindow.Seconds() * (1 - math.Exp(-measured/rateWindow.Seconds())))
	return time.Duration(min(cost/max(perSecond, 1e-3), maxExpectedWait.Seconds()) * float64(time.Second))
}

// maxExpectedWait bounds an expected wait when almost no work is started.
const maxExpectedWait = time.Hour

// ceilToMillisecond rounds up to whole milliseconds, at least one.
func ceilToMillisecond(d time.Duration) time.Duration {
	return max(time.Millisecond, (d + time.Millisecond - 1).Truncate(time.Millisecond))
}
