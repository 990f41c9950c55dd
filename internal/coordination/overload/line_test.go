package overload_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/overload"
	"foxtailward.example/foxtailward/internal/state/id"
)

// lineLoad plays requests that compete for the places of a service on virtual time. Each holds
// a place for a time by its cost; those that are refused come back once when they were told to.
type lineLoad struct {
	is   *is.I
	line *overload.Line
	now  time.Time
	// places returns how many requests run at once.
	places  func(after time.Duration) int
	running []time.Time
	// came is when each request came, items what it is, and retried whether it came back.
	came    map[id.Request]time.Time
	retried map[id.Request]bool
	back    map[id.Request]time.Time
	waiting map[id.Request]*overload.Place
	// told are the requests that were refused.
	told map[id.Request]*overload.Place
	// onTime, late, and refused count the ends by kind.
	onTime, late, refused, all map[string]int
	// returned and refusedAgain count the requests that came back after calmFrom, and those of them
	// that were refused again.
	calmFrom               time.Duration
	returned, refusedAgain int
}

const (
	lineStep = 5 * time.Millisecond
	// workPerToken is how long a token holds a place.
	workPerToken = 100 * time.Microsecond
)

func newLineLoad(is *is.I, places func(time.Duration) int, cfg overload.Config) *lineLoad {
	return &lineLoad{
		is: is, line: overload.NewLine(cfg), now: start, places: places, came: map[id.Request]time.Time{}, retried: map[id.Request]bool{},
		back: map[id.Request]time.Time{}, waiting: map[id.Request]*overload.Place{}, told: map[id.Request]*overload.Place{},
		onTime: map[string]int{}, late: map[string]int{}, refused: map[string]int{}, all: map[string]int{},
	}
}

// kindOf returns the kind that a request's id begins with.
func kindOf(request id.Request) string { return string(request[:1]) }

func (l *lineLoad) hasRoom() bool { return len(l.running) < l.places(l.now.Sub(start)) }

// come offers a request.
func (l *lineLoad) come(p *overload.Place) {
	request := p.Item.Request
	if _, known := l.came[request]; !known {
		l.came[request] = l.now
		l.all[kindOf(request)]++
	}
	room := l.hasRoom() && l.line.Len() == 0
	verdict, displaced := l.line.Offer(p, l.hasRoom(), l.now)
	switch verdict.Kind {
	case overload.Run:
		l.run(p)
	case overload.Queued:
		l.waiting[request] = p
	case overload.Refused:
		l.is.True(!room) // none is refused while there is room and nothing waits
		for _, w := range l.waiting {
			l.is.True(w.Item.Priority <= p.Item.Priority || verdict.Reason != overload.QueueFull) // an urgent one takes the place of a less urgent one
		}
		l.refuse(p, verdict.RetryAfter)
	}
	if displaced != nil {
		l.is.True(displaced.Item.Priority >= p.Item.Priority)
		l.drop(*displaced)
	}
}

func (l *lineLoad) drop(d overload.Dropped) {
	p := l.waiting[d.Item.Request]
	l.is.True(p != nil)
	delete(l.waiting, d.Item.Request)
	l.refuse(p, d.RetryAfter)
}

func (l *lineLoad) refuse(p *overload.Place, retryAfter time.Duration) {
	l.is.True(retryAfter > 0)
	request := p.Item.Request
	l.refused[kindOf(request)]++
	if l.retried[request] {
		if l.now.Sub(start) > l.calmFrom {
			l.refusedAgain++
		}
		return
	}
	l.retried[request] = true
	left := p.Item.Deadline.Sub(l.now)
	l.back[request], l.told[request] = l.now.Add(min(retryAfter, left/3)), p
}

func (l *lineLoad) run(p *overload.Place) {
	l.is.True(!l.now.After(p.Item.Deadline.Add(-p.Item.ServiceTime)) || p.Item.Deadline.IsZero()) // none is sent that can't meet its deadline
	for _, w := range l.waiting {
		l.is.True(w.Item.Priority >= p.Item.Priority || !l.came[w.Item.Request].Before(l.came[p.Item.Request])) // none that came later passes a more urgent one
	}
	l.running = append(l.running, l.now.Add(time.Duration(p.Item.Cost)*workPerToken))
	if l.now.After(p.Item.OnTimeBy) {
		l.late[kindOf(p.Item.Request)]++
	} else {
		l.onTime[kindOf(p.Item.Request)]++
	}
}

// step lets time pass and sends what may be sent.
func (l *lineLoad) step() {
	l.now = l.now.Add(lineStep)
	remaining := l.running[:0]
	for _, end := range l.running {
		if end.After(l.now) {
			remaining = append(remaining, end)
		}
	}
	l.running = remaining
	for request, at := range l.back {
		if !at.After(l.now) {
			delete(l.back, request)
			if l.now.Sub(start) > l.calmFrom {
				l.returned++
			}
			item := l.told[request].Item
			l.come(l.line.NewPlace(item, l.now))
		}
	}
	for _, d := range l.line.DropLate(l.now) {
		l.drop(d)
	}
	for {
		p, _ := l.line.Next(func(*overload.Item) bool { return l.hasRoom() }, l.now)
		if p == nil {
			return
		}
		delete(l.waiting, p.Item.Request)
		l.run(p)
	}
}

// play offers requests of kinds, each with its rate per second at a time, and lets the line
// work until all have ended.
func (l *lineLoad) play(duration time.Duration, kinds map[string]func(after time.Duration) float64, item func(kind string, n int) overload.Item) {
	rng := rand.New(rand.NewPCG(7, 11))
	n := 0
	for after := time.Duration(0); after < duration || len(l.waiting)+len(l.back) > 0; after += lineStep {
		for _, kind := range []string{"u", "l"} {
			if rate := kinds[kind]; rate != nil && after < duration && rng.Float64() < rate(after)*lineStep.Seconds() {
				n++
				i := item(kind, n)
				i.Request = id.Request(fmt.Sprintf("%s%d", kind, n))
				i.OnTimeBy, i.Deadline = l.now.Add(2*time.Second), l.now.Add(10*time.Second)
				l.come(l.line.NewPlace(i, l.now))
			}
		}
		l.step()
	}
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// twoKinds returns urgent requests and less urgent ones, of 1000 tokens each.
func twoKinds(kind string, n int) overload.Item {
	item := overload.Item{Contract: id.Contract(fmt.Sprint(n % 5)), Cost: 1000, ServiceTime: 100 * time.Millisecond, Priority: 1}
	if kind == "u" {
		item.Priority = 0
	}
	return item
}

// tenPlaces is room for 100 requests of 1000 tokens per second.
func tenPlaces(time.Duration) int { return 10 }

func TestLineUrgent(t *testing.T) {
	is := is.New(t)
	l := newLineLoad(is, tenPlaces, overload.Config{})
	l.play(30*time.Second, map[string]func(time.Duration) float64{"u": constant(20), "l": constant(150)}, twoKinds)
	is.True(l.onTime["u"] >= l.all["u"]*99/100)             // the urgent ones are on time
	is.Equal(l.refused["u"], 0)                             // and never refused
	is.True(l.onTime["l"]+l.late["l"] >= 30*80*9/10)        // the rest of the room is used
	is.True(l.onTime["l"] >= (l.onTime["l"]+l.late["l"])/2) // mostly for answers on time
	is.Equal(l.line.Len(), 0)
}

func TestLineZoneLost(t *testing.T) {
	is := is.New(t)
	places := func(after time.Duration) int {
		if after > 8*time.Second && after < 14*time.Second {
			return 4
		}
		return 10
	}
	burst := func(after time.Duration) float64 {
		if after > 5*time.Second && after < 11*time.Second {
			return 180
		}
		return 60
	}
	l := newLineLoad(is, places, overload.Config{})
	l.play(40*time.Second, map[string]func(time.Duration) float64{"u": constant(5), "l": burst}, twoKinds)
	is.True(l.onTime["u"] >= l.all["u"]*98/100)
	is.True(l.onTime["l"] >= l.all["l"]/2)
	// Room for the less urgent ones: 5 s as they come, 3 s and 6 s of all places, 26 s as they come,
	// and 10 s of the places that are left, for as long as they may wait. The urgent ones take 5 per second.
	room := 5*60 + 3*95 + 6*35 + 26*60 + 10*35
	is.True(l.onTime["l"]+l.late["l"] >= room*9/10)
}

func TestLineDisplaced(t *testing.T) {
	is := is.New(t)
	line := overload.NewLine(overload.Config{MaxQueued: 2})
	place := func(request id.Request, priority int, at time.Time) *overload.Place {
		return line.NewPlace(overload.Item{Request: request, Priority: priority, Cost: 1, Deadline: at.Add(10 * time.Second)}, at)
	}
	now := start
	for _, request := range []id.Request{"a", "b"} {
		verdict, _ := line.Offer(place(request, 1, now), false, now)
		is.Equal(verdict.Kind, overload.Queued)
		now = now.Add(time.Millisecond)
	}
	verdict, displaced := line.Offer(place("c", 1, now), false, now)
	is.Equal(verdict.Reason, overload.QueueFull)
	is.True(displaced == nil)
	verdict, displaced = line.Offer(place("d", 0, now), false, now)
	is.Equal(verdict.Kind, overload.Queued)
	is.Equal(displaced.Item.Request, id.Request("b")) // the last one, at once
	is.Equal(displaced.Reason, overload.Displaced)
	next, passed := line.Next(func(*overload.Item) bool { return true }, now)
	is.Equal(next.Item.Request, id.Request("d"))
	is.Equal(passed, 1)
}

// TestLineRetryAfter lets a burst be refused; those that are told to come back when it is over
// find room then.
func TestLineRetryAfter(t *testing.T) {
	is := is.New(t)
	burst := func(after time.Duration) float64 {
		if after < 2*time.Second {
			return 160
		}
		return 20
	}
	l := newLineLoad(is, tenPlaces, overload.Config{MaxQueued: 20})
	l.calmFrom = 2 * time.Second
	l.play(20*time.Second, map[string]func(time.Duration) float64{"l": burst}, twoKinds)
	t.Log(l.refused, l.returned, l.refusedAgain)
	is.True(l.refused["l"] > 50)
	is.True(l.returned > l.refused["l"]/4)
	is.True(l.refusedAgain <= l.returned/10)
}

// TestLineShares has one account that asks for most of the work, and requests of which some need
// twenty times as much as most.
func TestLineShares(t *testing.T) {
	is := is.New(t)
	l := newLineLoad(is, tenPlaces, overload.Config{})
	served, asked := map[string]int{}, map[string]int{}
	classes := map[id.Request]string{}
	item := func(_ string, n int) overload.Item {
		i := overload.Item{Contract: "large", Cost: 500, ServiceTime: 100 * time.Millisecond}
		class := "account large"
		switch {
		case n%10 == 0:
			i.Contract, i.Cost, class = "sizes", 10000, "size large"
		case n%5 == 1:
			i.Contract, class = id.Contract(fmt.Sprint("small", n%3)), "account small"
		}
		classes[id.Request(fmt.Sprintf("l%d", n))] = class
		asked[class]++
		return i
	}
	l.play(30*time.Second, map[string]func(time.Duration) float64{"l": constant(120)}, item)
	for request := range l.came {
		if _, again := l.told[request]; !again {
			served[classes[request]]++
		}
	}
	all := 0
	for _, n := range served {
		all += n
	}
	total := 0
	for _, n := range asked {
		total += n
	}
	for class, n := range asked {
		t.Log(class, served[class], n)
		is.True(served[class]*total*2 >= all*n) // none is served under half as often as all
	}
	is.True(served["account small"]*asked["account large"] >= served["account large"]*asked["account small"])
}
