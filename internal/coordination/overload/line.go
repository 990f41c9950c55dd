package overload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// firstComeEvery is the number of starts of which one goes to the request that came
	// first, so that neither large requests nor less urgent ones wait forever.
	firstComeEvery = 8
	// workWindow is the smoothing time of the work that accounts got lately, and of the rate
	// at which room comes.
	workWindow = 10 * time.Second
	// minBusyTime is the time with requests waiting, and minBusyStarts the number of starts in
	// it, before the rate at which room comes is used.
	minBusyTime   = 300 * time.Millisecond
	minBusyStarts = 6
	// displacingFactor is how many times as much as a request the last one of the same rank must
	// count, by its account's work and its own, to give its place to it.
	displacingFactor = 2
	// defaultRetryAfter is the Retry-After while that rate is not known.
	defaultRetryAfter = 300 * time.Millisecond
	// refusalPause is the time without a refusal after which refusals begin anew.
	refusalPause = time.Second
	// minRetryAfter is the shortest Retry-After.
	minRetryAfter = 50 * time.Millisecond
)

// Place is a request with its place in the order of a Line. It keeps the place while the
// request leaves the line and comes back.
type Place struct {
	Item Item
	// arrived is when the request came first.
	arrived time.Time
	// latestStart is the latest time at which it must start.
	latestStart time.Time
	// offered is set once the request has found no room, so that it counts once as work that came.
	offered bool
}

// late reports whether the request can no longer be on time.
func (p *Place) late(now time.Time) bool {
	return !p.Item.OnTimeBy.IsZero() && now.After(p.Item.OnTimeBy)
}

// Line holds the requests that wait at one entry for room at the targets of one service, in
// the order of what a delay costs their callers:
//
//   - by priority;
//   - those that can still be on time before those that can only meet their deadline;
//   - by the work that their account got lately and the work that they need;
//   - by their arrival.
//
// Of firstComeEvery starts, one goes to the request that came first. It is not safe for
// concurrent use.
type Line struct {
	cfg     Config
	waiting []*Place
	// work is the work that accounts got lately, at workAt.
	work   map[id.Contract]float64
	workAt time.Time
	// starts counts the requests that were started after a wait.
	starts    int
	rate      roomRate
	returning []returning
	// refusedSince is when refusals began, and refusedAt when the last one was.
	refusedSince, refusedAt time.Time
}

// NewLine returns an empty line.
func NewLine(cfg Config) *Line {
	cfg.Defaults()
	return &Line{cfg: cfg, work: map[id.Contract]float64{}}
}

// NewPlace returns the place of a request that comes now.
func (l *Line) NewPlace(item Item, now time.Time) *Place {
	return &Place{Item: item, arrived: now, latestStart: l.cfg.latestStart(&item, now)}
}

// Len returns the number of requests that wait.
func (l *Line) Len() int { return len(l.waiting) }

// Rank is where a request stands in the order of all entries; 0 goes first. It is twice the
// priority, and one more if the request can no longer be on time.
type Rank int

// Rank returns the rank of the request.
func (p *Place) Rank(now time.Time) Rank {
	rank := Rank(2 * p.Item.Priority)
	if p.late(now) {
		rank++
	}
	return rank
}

// Counts returns the number of requests that wait, by rank.
func (l *Line) Counts(now time.Time) map[Rank]int {
	counts := map[Rank]int{}
	for _, p := range l.waiting {
		counts[p.Rank(now)]++
	}
	return counts
}

// CountUpTo returns the number of requests that wait and whose rank is at most the given one.
func (l *Line) CountUpTo(rank Rank, now time.Time) int {
	n := 0
	for _, p := range l.waiting {
		if p.Rank(now) <= rank {
			n++
		}
	}
	return n
}

// Offer decides about a request; free says that there is room for it. If the request displaces
// one that waits, that one is removed and returned.
func (l *Line) Offer(p *Place, free bool, now time.Time) (Verdict, *Dropped) {
	l.advance(now)
	l.sort(now)
	at := l.position(p, now)
	if free && at == 0 {
		l.start(p)
		return Verdict{Kind: Run, Reason: CapacityAvailable}, nil
	}
	if !p.offered {
		p.offered = true
		l.rate.offered += p.Item.Cost
	}
	wait, known := l.waitAt(at)
	left := p.latestStart.Sub(now)
	if left <= 0 || (known && wait > time.Duration(maxWaitPart*float64(left))) {
		return Verdict{Kind: Refused, Reason: TooLate, Wait: wait, RetryAfter: l.retryAfter(p, now)}, nil
	}
	last := !l.displaces(p, now)
	if len(l.waiting) < l.cfg.MaxQueued && !(last && len(l.waiting)+l.expected(p, now) >= l.cfg.MaxQueued) {
		l.waiting = slices.Insert(l.waiting, at, p)
		return Verdict{Kind: Queued, Reason: Enqueued, Wait: wait}, nil
	}
	if last {
		return Verdict{Kind: Refused, Reason: QueueFull, Wait: wait, RetryAfter: l.retryAfter(p, now)}, nil
	}
	displaced := l.waiting[len(l.waiting)-1]
	l.waiting = slices.Insert(l.waiting[:len(l.waiting)-1], at, p)
	return Verdict{Kind: Queued, Reason: Enqueued, Wait: wait}, &Dropped{Item: displaced.Item, Reason: Displaced, RetryAfter: l.retryAfter(displaced, now)}
}

// displaces reports whether a request may take the place of the last one that waits: it has a lower
// rank, or its account got much less.
func (l *Line) displaces(p *Place, now time.Time) bool {
	if len(l.waiting) == 0 {
		return false
	}
	last := l.waiting[len(l.waiting)-1]
	if rank, other := p.Rank(now), last.Rank(now); rank != other {
		return rank < other
	}
	return displacingFactor*l.share(p) <= l.share(last)
}

// Next removes and returns the first request for which hasRoom reports that there is room,
// and how many requests that came earlier it passes. It returns nil if there is none.
func (l *Line) Next(hasRoom func(*Item) bool, now time.Time) (next *Place, passed int) {
	l.advance(now)
	l.sort(now)
	if l.starts%firstComeEvery == firstComeEvery-1 {
		l.firstComeFirst(now)
	}
	for i, p := range l.waiting {
		if !hasRoom(&p.Item) {
			continue
		}
		l.waiting = slices.Delete(l.waiting, i, i+1)
		l.starts++
		l.rate.add(p.Item.Cost)
		l.start(p)
		for _, other := range l.waiting {
			if other.arrived.Before(p.arrived) {
				passed++
			}
		}
		return p, passed
	}
	return nil, 0
}

// Remove removes a request whose caller has gone, and reports whether it waited.
func (l *Line) Remove(request id.Request, now time.Time) bool {
	l.advance(now)
	n := len(l.waiting)
	l.waiting = slices.DeleteFunc(l.waiting, func(p *Place) bool { return p.Item.Request == request })
	return len(l.waiting) < n
}

// DropLate removes and returns the requests that can't, or are not expected to, start in time.
func (l *Line) DropLate(now time.Time) []Dropped {
	l.advance(now)
	l.sort(now)
	var dropped []Dropped
	ahead := 0.0
	remaining := l.waiting[:0]
	for _, p := range l.waiting {
		wait, _ := l.rate.timeFor(ahead)
		if now.Add(wait).After(p.latestStart) {
			dropped = append(dropped, Dropped{Item: p.Item, Reason: TooLate})
			continue
		}
		ahead += p.Item.Cost
		remaining = append(remaining, p)
	}
	clear(l.waiting[len(remaining):])
	l.waiting = remaining
	for i := range dropped {
		dropped[i].RetryAfter = l.retryAfter(&Place{Item: dropped[i].Item}, now)
	}
	return dropped
}

// advance lets the work and the rate age to now.
func (l *Line) advance(now time.Time) {
	if l.workAt.IsZero() {
		l.workAt = now
	}
	took := max(0, now.Sub(l.workAt))
	l.workAt = now
	l.rate.advance(took, len(l.waiting) > 0)
	left := math.Exp(-took.Seconds() / workWindow.Seconds())
	for account, work := range l.work {
		if work *= left; work < 1e-3 {
			delete(l.work, account)
		} else {
			l.work[account] = work
		}
	}
}

func (l *Line) start(p *Place) { l.work[p.Item.Contract] += p.Item.Cost }

func (l *Line) sort(now time.Time) {
	slices.SortStableFunc(l.waiting, func(a, b *Place) int { return l.compare(a, b, now) })
}

// compare returns a negative number if a goes before b.
func (l *Line) compare(a, b *Place, now time.Time) int {
	return cmp.Or(
		cmp.Compare(a.Rank(now), b.Rank(now)),
		cmp.Compare(l.share(a), l.share(b)),
		a.arrived.Compare(b.arrived),
	)
}

// share returns the work that the request's account would have got lately with the request,
// by the account's weight.
func (l *Line) share(p *Place) float64 {
	return (l.work[p.Item.Contract] + p.Item.Cost) / float64(max(1, p.Item.Weight))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// position returns the index at which a request is inserted.
func (l *Line) position(p *Place, now time.Time) int {
	at, _ := slices.BinarySearchFunc(l.waiting, p, func(w, p *Place) int {
		if l.compare(w, p, now) <= 0 {
			return -1
		}
		return 1
	})
	return at
}

// firstComeFirst moves the request that came first to the front: of those that can still be on
// time, or of all if none can.
func (l *Line) firstComeFirst(now time.Time) {
	first := -1
	for i, p := range l.waiting {
		if first < 0 || cmp.Or(compareBool(p.late(now), l.waiting[first].late(now)), p.arrived.Compare(l.waiting[first].arrived)) < 0 {
			first = i
		}
	}
	if first > 0 {
		p := l.waiting[first]
		l.waiting = slices.Insert(slices.Delete(l.waiting, first, first+1), 0, p)
	}
}

// waitAt returns the expected time until the request at the given index starts, if it is known.
func (l *Line) waitAt(index int) (time.Duration, bool) {
	ahead := 0.0
	for _, p := range l.waiting[:index] {
		ahead += p.Item.Cost
	}
	return l.rate.timeFor(ahead)
}
