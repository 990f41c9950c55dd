package targetlimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/targetlimit"
	"foxtailward.example/foxtailward/internal/state/id"
)

// The users' bound for what a target gets in any window, from contact after it first named
// its limit, from entries that heard of it noticeTime before or earlier.
const (
	contact    = 3 * time.Second
	noticeTime = 500 * time.Millisecond
	window     = 4 * time.Second
	factor     = 1.5
	slack      = 5
)

// Times of a simulated cluster.
const (
	step         = 10 * time.Millisecond
	answerTime   = 30 * time.Millisecond
	maxDelay     = 20 * time.Millisecond
	demandWindow = 10 * time.Second
	aliveTime    = 3 * time.Second
	playTime     = 30 * time.Second
)

// phase is the limit that a target names from a time on; 0 stands for none.
type phase struct {
	from  time.Duration
	limit targetlimit.PerSecond
}

// scenario is a play of a cluster.
type scenario struct {
	name    string
	entries int
	// targets holds the phases of each target.
	targets [][]phase
	// perSecond is the rate of requests, of which each entry gets a part that grows with
	// its number if skewed is set.
	perSecond float64
	skewed    bool
	// quiet is how long there are only two requests a second at first.
	quiet time.Duration
	loss  float64
	// cut is when the last entry is cut off from the others for 8 s; 0 for never.
	cut time.Duration
	// restart is when the last entry starts anew; 0 for never.
	restart time.Duration
}

const cutTime = 8 * time.Second

// node is one entry.
type node struct {
	name     id.Entry
	limits   *targetlimit.Limits
	requests []time.Time
	heard    map[id.Entry]heard
	toldAt   map[int]time.Time
	nextTell time.Time
}

// heard is what an entry last heard from another one.
type heard struct {
	at       time.Time
	requests int
}

// message is on its way to an entry, or an answer to it.
type message struct {
	at    time.Time
	to    int
	apply func(n *node, now time.Time)
}

// arrival is a request at a target.
type arrival struct {
	at    time.Time
	entry int
}

// cluster is the state of a play.
type cluster struct {
	scenario
	r        *rand.Rand
	now      time.Time
	nodes    []*node
	messages []message
	arrivals [][]arrival
}

func newCluster(s scenario, seed uint64) *cluster {
	c := &cluster{scenario: s, r: rand.New(rand.NewPCG(seed, 1)), now: start, arrivals: make([][]arrival, len(s.targets))}
	for i := range s.entries {
		c.nodes = append(c.nodes, newNode(i))
	}
	return c
}

func newNode(i int) *node {
	return &node{name: name(i), limits: targetlimit.New(), heard: map[id.Entry]heard{}, toldAt: map[int]time.Time{}}
}

// limitOf returns the limit that a target names at a time.
func (c *cluster) limitOf(target int, at time.Time) targetlimit.PerSecond {
	limit := targetlimit.PerSecond(0)
	for _, p := range c.targets[target] {
		if at.Sub(start) >= p.from {
			limit = p.limit
		}
	}
	return limit
}

// cutOff reports whether an entry is cut off from the others.
func (c *cluster) cutOff(entry int) bool {
	since := c.now.Sub(start) - c.cut
	return c.cut > 0 && entry == c.entries-1 && since >= 0 && since < cutTime
}

func (c *cluster) play() {
	for end := start.Add(playTime); c.now.Before(end); c.now = c.now.Add(step) {
		if last := c.entries - 1; c.restart > 0 && c.now.Equal(start.Add(c.restart)) {
			c.nodes[last] = newNode(last)
		}
		pending := c.messages[:0:0]
		for _, m := range c.messages {
			if m.at.After(c.now) {
				pending = append(pending, m)
				continue
			}
			m.apply(c.nodes[m.to], c.now)
		}
		c.messages = pending
		for i := range c.nodes {
			c.request(i)
			c.tell(i)
		}
	}
}

// request lets new requests arrive at an entry.
func (c *cluster) request(entry int) {
	all := c.perSecond
	if c.now.Sub(start) < c.quiet {
		all = 2
	}
	rate := all / float64(c.entries)
	if c.skewed {
		rate = all * 2 * float64(entry+1) / float64(c.entries*(c.entries+1))
	}
	for expected := rate * step.Seconds(); expected > 0; expected-- {
		if c.r.Float64() < expected {
			c.nodes[entry].requests = append(c.nodes[entry].requests, c.now)
			c.send(entry)
		}
	}
}

// send sends a request to the first target, in random order, that its limit allows.
func (c *cluster) send(entry int) {
	n := c.nodes[entry]
	for _, target := range c.r.Perm(len(c.targets)) {
		key := id.TargetIncarnation{Target: id.Target(fmt.Sprint("t", target))}
		if !n.limits.Take(c.now, key, c.share(n, key), 0) {
			continue
		}
		c.arrivals[target] = append(c.arrivals[target], arrival{c.now, entry})
		limit := c.limitOf(target, c.now)
		sent := c.now
		c.messages = append(c.messages, message{c.now.Add(answerTime), entry, func(n *node, now time.Time) {
			if limit > 0 && n.toldAt[target].IsZero() {
				n.toldAt[target] = now
			}
			if n.limits.Observe(now, sent, key, targetlimit.Named{Limited: limit > 0, PerSecond: limit}) {
				n.nextTell = now
			}
		}})
		return
	}
}

func (c *cluster) share(n *node, target id.TargetIncarnation) float64 {
	named, limited := n.limits.Limited(target)
	if !limited {
		return 1
	}
	d := targetlimit.Demand{Self: n.name, Own: n.lately(c.now), Others: map[id.Entry]int{}}
	known := 1
	for entry, h := range n.heard {
		if c.now.Sub(h.at) <= aliveTime {
			d.Others[entry] = h.requests
		}
		if c.now.Sub(h.at) <= 15*time.Second {
			known++
		}
	}
	d.Usable = float64(1+len(d.Others)) / float64(known)
	return targetlimit.ShareOf(target.Target, named, d)
}

// lately returns the number of requests within demandWindow.
func (n *node) lately(now time.Time) int {
	for len(n.requests) > 0 && now.Sub(n.requests[0]) > demandWindow {
		n.requests = n.requests[1:]
	}
	return len(n.requests)
}

// tell sends an update to the other entries when it is due.
func (c *cluster) tell(entry int) {
	n := c.nodes[entry]
	if c.now.Before(n.nextTell) {
		return
	}
	n.nextTell = c.now.Add(max(150*time.Millisecond, time.Duration(c.entries)*15*time.Millisecond))
	reports, requests := n.limits.Reports(c.now), n.lately(c.now)
	for other := range c.nodes {
		if other == entry || c.r.Float64() < c.loss || c.cutOff(entry) || c.cutOff(other) {
			continue
		}
		at := c.now.Add(time.Duration(c.r.Float64() * float64(maxDelay)))
		c.messages = append(c.messages, message{at, other, func(to *node, now time.Time) {
			to.limits.Merge(now, reports)
			to.heard[n.name] = heard{now, requests}
		}})
	}
}

// check returns the first window in which a target got too much, or an empty text.
func (c *cluster) check(target int) string {
	for i, first := range c.arrivals[target] {
		from := first.at
		limit := c.highest(target, from)
		if limit == 0 || c.limitOf(target, from.Add(-contact)) == 0 {
			continue
		}
		n := 0
		for _, a := range c.arrivals[target][i:] {
			told := c.nodes[a.entry].toldAt[target]
			if a.at.Sub(from) < window && !told.IsZero() && a.at.Sub(told) >= noticeTime && !c.excused(a) {
				n++
			}
		}
		if allowed := factor*window.Seconds()*float64(limit) + slack; float64(n) > allowed {
			return fmt.Sprintf("target %d with limit %v got %d requests in %v from %v on, want at most %v", target, limit, n, window, from.Sub(start), allowed)
		}
	}
	return ""
}

// highest returns the highest limit named around a window, or 0 if there is none at some
// time of it.
func (c *cluster) highest(target int, from time.Time) targetlimit.PerSecond {
	highest := targetlimit.PerSecond(0)
	for at := from.Add(-noticeTime); at.Before(from.Add(window)); at = at.Add(step) {
		limit := c.limitOf(target, at)
		if limit == 0 {
			return 0
		}
		highest = max(highest, limit)
	}
	return highest
}

// excused reports whether the entry was cut off or started shortly before.
func (c *cluster) excused(a arrival) bool {
	within := func(event, lasts time.Duration) bool {
		since := a.at.Sub(start) - event
		return event > 0 && since >= 0 && since < lasts+contact
	}
	return a.entry == c.entries-1 && (within(c.cut, cutTime) || within(c.restart, 0))
}

func always(limit targetlimit.PerSecond) []phase { return []phase{{0, limit}} }

// scenarios differ in the number of entries, the targets' limits and what happens.
func scenarios() []scenario {
	var all []scenario
	for _, entries := range []int{2, 4, 10, 23, 30} {
		n := fmt.Sprint(entries, " entries, ")
		unlimited := always(0)
		all = append(all,
			scenario{name: n + "two of three targets limited", entries: entries, perSecond: 80, targets: [][]phase{always(5.5), always(4), unlimited}},
			scenario{name: n + "limits a hundredfold apart", entries: entries, perSecond: 200, targets: [][]phase{always(0.5), always(5), always(50)}},
			scenario{name: n + "a limit that falls and rises", entries: entries, perSecond: 100, targets: [][]phase{{{2 * time.Second, 40}, {9 * time.Second, 4}, {18 * time.Second, 20}}, unlimited}},
			scenario{name: n + "a limit that ends and returns", entries: entries, perSecond: 100, targets: [][]phase{{{2 * time.Second, 5}, {9 * time.Second, 0}, {14 * time.Second, 5}}, unlimited}},
			scenario{name: n + "uneven traffic", entries: entries, perSecond: 60, skewed: true, targets: [][]phase{always(8), unlimited}},
			scenario{name: n + "a hot target", entries: entries, perSecond: 100, targets: [][]phase{always(6)}},
			scenario{name: n + "lost messages", entries: entries, perSecond: 100, loss: 0.2, targets: [][]phase{always(6), unlimited}},
			scenario{name: n + "one cut off", entries: entries, perSecond: 100, cut: 10 * time.Second, targets: [][]phase{always(6), unlimited}},
			scenario{name: n + "one restarted", entries: entries, perSecond: 100, restart: 10 * time.Second, targets: [][]phase{always(6), unlimited}},
			scenario{name: n + "a burst after quiet", entries: entries, perSecond: 200, quiet: 12 * time.Second, targets: [][]phase{always(4), always(1)}},
			scenario{name: n + "little traffic", entries: entries, perSecond: 3, targets: [][]phase{always(0.5), always(1)}},
		)
	}
	return all
}

// TestLimitsOverAllEntries checks over many clusters that no target gets more than its limit
// allows.
func TestLimitsOverAllEntries(t *testing.T) {
	for _, s := range scenarios() {
		t.Run(s.name, func(t *testing.T) {
			for seed := range uint64(2) {
				c := newCluster(s, seed)
				c.play()
				for target := range s.targets {
					if broken := c.check(target); broken != "" {
						t.Errorf("seed %d: %s", seed, broken)
					}
				}
			}
		})
	}
}

// TestLimitsUsed checks that the entries together use most of a limit if they have enough
// requests for it.
func TestLimitsUsed(t *testing.T) {
	for _, s := range scenarios() {
		limit := s.targets[0][0].limit
		if len(s.targets) > 2 || limit == 0 || len(s.targets[0]) > 1 || s.perSecond < 20 || s.cut > 0 || s.quiet > 0 {
			continue
		}
		t.Run(s.name, func(t *testing.T) {
			c := newCluster(s, 1)
			c.play()
			used := 0
			for _, a := range c.arrivals[0] {
				if a.at.Sub(start) >= 10*time.Second {
					used++
				}
			}
			if least := 0.6 * float64(limit) * (playTime - 10*time.Second).Seconds(); float64(used) < least {
				t.Errorf("the target got %d requests after the first 10 s, want %.0f or more", used, least)
			}
		})
	}
}
