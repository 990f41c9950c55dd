package direct

import (
	"strconv"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/coordination/overload"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// enginePollInterval and plainPollInterval are how often an entry looks for room for what
	// waits, besides when one of its own requests has ended.
	enginePollInterval = 20 * time.Millisecond
	plainPollInterval  = 10 * time.Millisecond
	// waitingReportTime is how long another entry's report of what waits there counts.
	waitingReportTime = time.Second
	// maxFailedLooks is how many requests that were sent before may find no room in one look.
	maxFailedLooks = 8
	// workSmoothing is the weight of the latest request in the usual time of a plain service's
	// requests.
	workSmoothing = 0.05
)

// waitingLines holds the requests of this entry that wait for room, and what the other entries
// say about theirs. It is safe for concurrent use.
type waitingLines struct {
	e *Entry

	mu    sync.Mutex
	lines map[id.Service]*serviceLine
	peers map[id.Entry]peerWaiting
	// numbered counts the requests, which a line knows by their numbers.
	numbered int
}

// serviceLine is the line of one service.
type serviceLine struct {
	line *overload.Line
	// waiters are the calls that wait, by their numbers.
	waiters map[id.Request]*waiter
	// turns counts the requests that may be sent and have not chosen a target yet.
	turns int
	// polls is set while the next look for room is due.
	polls bool
	// work is the usual time that a request of a plain service takes.
	work time.Duration
}

// waiter is a call that waits.
type waiter struct {
	c *call
	// end gets the end of the wait. It has room for one.
	end chan waitEnd
}

// waitEnd says how a wait ended: with a turn, unless dropped is set.
type waitEnd struct {
	dropped *overload.Dropped
	// passed is the number of requests that came earlier and still wait.
	passed int
}

// peerWaiting is what waits at another entry by its last report.
type peerWaiting struct {
	at     time.Time
	counts map[id.Service]map[overload.Rank]int
}

func newWaitingLines(e *Entry) *waitingLines {
	return &waitingLines{e: e, lines: map[id.Service]*serviceLine{}, peers: map[id.Entry]peerWaiting{}}
}

// of returns the line of a service. The caller holds the lock.
func (l *waitingLines) of(service id.Service) *serviceLine {
	s := l.lines[service]
	if s == nil {
		s = &serviceLine{line: overload.NewLine(overload.Config{}), waiters: map[id.Request]*waiter{}}
		l.lines[service] = s
		l.e.metrics.registerWaiting(service, func() float64 { return float64(l.count(service)) })
	}
	return s
}

// count returns how many requests for a service wait.
func (l *waitingLines) count(service id.Service) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.of(service).line.Len()
}

// offer lets a call have a turn now, wait for one, or be refused. goesOn is false if it was
// given a turn and found no room, so that it waits in any case. If it waits, the returned waiter
// gets the end of that.
func (l *waitingLines) offer(c *call, goesOn bool) (overload.Verdict, *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, now := l.of(c.service), c.now()
	if c.wait.place == nil {
		l.numbered++
		c.wait.place = s.line.NewPlace(c.waitingItem(id.Request(strconv.Itoa(l.numbered)), s.work), now)
	}
	free := goesOn && l.hasRoom(now, s, c, 1)
	verdict, displaced := s.line.Offer(c.wait.place, free, now)
	if displaced != nil {
		s.endWait(displaced.Item.Request, waitEnd{dropped: displaced})
	}
	switch verdict.Kind {
	case overload.Run:
		s.giveTurn(c)
		return verdict, nil
	case overload.Refused:
		return verdict, nil
	}
	w := &waiter{c: c, end: make(chan waitEnd, 1)}
	s.waiters[c.wait.place.Item.Request] = w
	l.pollSoon(c.service, s)
	return verdict, w
}

// giveTurn lets a call choose a target. A call has one turn at most.
func (s *serviceLine) giveTurn(c *call) {
	if !c.wait.hasTurn {
		c.wait.hasTurn = true
		s.turns++
	}
}

// endWait ends the wait of a request.
func (s *serviceLine) endWait(request id.Request, end waitEnd) {
	w := s.waiters[request]
	delete(s.waiters, request)
	w.end <- end
}

// leave removes a call that no longer waits.
func (l *waitingLines) leave(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.of(c.service)
	s.line.Remove(c.wait.place.Item.Request, c.now())
	delete(s.waiters, c.wait.place.Item.Request)
}

// endTurn takes back the call's turn, once it has chosen a target or given up.
func (l *waitingLines) endTurn(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.wait.hasTurn {
		c.wait.hasTurn = false
		l.of(c.service).turns--
	}
}

// hasRoom reports whether there is room for a call beside the turns that others have. newcomers
// is 1 if the call is not in the line. The caller holds the lock.
func (l *waitingLines) hasRoom(now time.Time, s *serviceLine, c *call, newcomers int) bool {
	room := l.roomLocked(now, s, c, newcomers, c.untried(c.lasting(c.targets())))
	return room.Undecided || room.Places > s.turns
}

// roomLocked returns the room for a call among targets. The caller holds the lock.
func (l *waitingLines) roomLocked(now time.Time, s *serviceLine, c *call, newcomers int, targets catalog.Targets) balance.Room {
	rank := c.wait.place.Rank(now)
	rivals := balance.Rivals{
		Waiting: newcomers + s.line.CountUpTo(rank, now), Others: l.othersLocked(now, c.service, rank),
		Reserved: l.e.places.snapshot(),
	}
	c.wait.reserved = rivals.Reserved
	return l.e.balancer.Room(now, c.requirements, targets, rivals)
}

// room returns the room for a call that has a turn.
func (l *waitingLines) room(c *call, targets catalog.Targets) balance.Room {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roomLocked(c.now(), l.of(c.service), c, 1, targets)
}

// othersLocked returns how many requests for a service wait at other entries with at most the
// given rank. The caller holds the lock.
func (l *waitingLines) othersLocked(now time.Time, service id.Service, rank overload.Rank) int {
	n := 0
	for name, p := range l.peers {
		if now.Sub(p.at) > waitingReportTime {
			delete(l.peers, name)
			continue
		}
		for other, count := range p.counts[service] {
			if other <= rank {
				n += count
			}
		}
	}
	return n
}

// dispatch ends the waits of the requests for which there is room, and of those that are too
// late.
func (l *waitingLines) dispatch(service id.Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.lines[service]
	if s == nil || s.line.Len() == 0 {
		return
	}
	now := l.e.deps.Clock.Now()
	for _, d := range s.line.DropLate(now) {
		s.endWait(d.Item.Request, waitEnd{dropped: &d})
	}
	// A request that was sent nowhere yet finds room wherever a less urgent one does.
	exhausted, failed := false, 0
	hasRoom := func(item *overload.Item) bool {
		c := s.waiters[item.Request].c
		if exhausted || !l.hasRoom(now, s, c, 0) {
			failed++
			exhausted = exhausted || len(c.tried) == 0 || failed >= maxFailedLooks
			return false
		}
		return true
	}
	for {
		next, passed := s.line.Next(hasRoom, now)
		if next == nil {
			break
		}
		s.giveTurn(s.waiters[next.Item.Request].c)
		s.endWait(next.Item.Request, waitEnd{passed: passed})
	}
	l.pollSoon(service, s)
}

// pollSoon has the line looked at again soon, if requests wait there. The caller holds the lock.
func (l *waitingLines) pollSoon(service id.Service, s *serviceLine) {
	if s.polls || s.line.Len() == 0 {
		return
	}
	s.polls = true
	interval := plainPollInterval
	if l.e.isEngine(service) {
		interval = enginePollInterval
	}
	l.e.deps.Clock.AfterFunc(interval, func() { l.poll(service) })
}

func (l *waitingLines) poll(service id.Service) {
	l.mu.Lock()
	l.lines[service].polls = false
	l.mu.Unlock()
	l.dispatch(service)
}

// counts returns how many requests wait for each service, by rank, for the other entries.
func (l *waitingLines) counts(now time.Time) map[id.Service]map[overload.Rank]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var counts map[id.Service]map[overload.Rank]int
	for service, s := range l.lines {
		if s.line.Len() == 0 {
			continue
		}
		if counts == nil {
			counts = map[id.Service]map[overload.Rank]int{}
		}
		counts[service] = s.line.Counts(now)
	}
	return counts
}

// setPeer records what waits at another entry.
func (l *waitingLines) setPeer(now time.Time, from id.Entry, counts map[id.Service]map[overload.Rank]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, from)
	if len(counts) > 0 {
		l.peers[from] = peerWaiting{at: now, counts: counts}
	}
}

// sendEnded records that a send has ended, so that there may be room.
func (l *waitingLines) sendEnded(c *call, o balance.Outcome, took time.Duration) {
	if !c.e.competes(c.service) {
		return
	}
	l.mu.Lock()
	s := l.of(c.service)
	if o == balance.Succeeded || o == balance.Failed {
		if s.work == 0 {
			s.work = took
		}
		s.work += time.Duration(workSmoothing * float64(took-s.work))
	}
	l.mu.Unlock()
	l.dispatch(c.service)
}

// isEngine reports whether a service's targets are engines.
func (e *Entry) isEngine(service id.Service) bool {
	cfg := e.directory.View().Config
	return cfg != nil && cfg.Services[service].Engine != nil
}
