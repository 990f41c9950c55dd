package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/protocol/direct"
)

// Times of planned stops and the work beside them.
const (
	firstStop  = 2 * time.Second
	minStopGap = 1500 * time.Millisecond
	stopSpread = 2500 * time.Millisecond
	// killsPerStep is the share of the steps that end an engine between two events.
	killsPerStep = 0.3
	// excusedTime is how long after a SIGTERM requests may be sent that are cut in the last
	// part of the grace time, which begins at lastGracePart.
	excusedTime   = 3 * time.Second
	lastGracePart = graceTime * 5 / 6
	// deadlineMargin is how long before its deadline an entry may end a request.
	deadlineMargin = 50 * time.Millisecond
	// stopWindow is how long after a SIGTERM it is planned work.
	stopWindow = graceTime + time.Second
)

// Shapes of the requests that are sent to stopping entries.
const (
	residentsPerEntry  = 8
	longEventGap       = 60 * time.Millisecond
	minLongEvents      = 10
	longEventSpread    = 140
	maxWorkTime        = 4 * time.Second
	maxBodyDelay       = 7 * time.Second
	minPreemption      = 600 * time.Millisecond
	preemptionSpread   = 1500 * time.Millisecond
	slowTimeout        = 5 * time.Second
	lateBodyShare      = 0.3
	unframedShare      = 0.3
	preemptedShare     = 0.2
	residentFirstThink = time.Second
	// longThink is how long every other resident leaves its connection idle at most.
	longThink = 6 * time.Second
)

// plannedStops are the steps of a run with stops of whole entries.
var plannedStops = []action{
	{name: "entryStopped", disturbs: oneEntry, planned: true, run: func(ctx context.Context, w *world, s *step) { w.entry(s).stopAndRestart(ctx) }},
	{name: "entriesStoppedAtOnce", disturbs: allEntries, planned: true, run: stopHalf},
	{name: "hangup", disturbs: oneEntry, planned: true, run: hangUpInSeries},
	{name: "configChanged", planned: true, run: changeConfig},
	{name: "configsInSeries", planned: true, run: changeConfigsInSeries},
}

var targetKilled = action{name: "targetKilled", run: killTarget}

// newStops returns a random plan of stops of whole entries, which overlap with each other, with
// SIGHUPs and with configuration changes, and of engines that are killed.
func newStops(opts Options, r *rand.Rand) plan {
	var p plan
	for at := firstStop; at < opts.Duration-burstSpread; at += minStopGap + randomDuration(stopSpread, r) {
		p = append(p, newStep(at, plannedStops, r))
		if r.Float64() < killsPerStep {
			p = append(p, newStep(at, []action{targetKilled}, r))
		}
	}
	return p
}

// stopHalf stops every other entry, beginning with the one that the step selects.
func stopHalf(ctx context.Context, w *world, s *step) {
	var stops sync.WaitGroup
	for i, e := range w.entries {
		if i%2 == int(s.selector%2) {
			stops.Go(func() { e.stopAndRestart(ctx) })
		}
	}
	stops.Wait()
}

// seriesLength is the number of signals or changes in a series, and seriesPause the time
// between two.
const (
	seriesLength = 3
	seriesPause  = 200 * time.Millisecond
)

func hangUpInSeries(ctx context.Context, w *world, s *step) {
	for range seriesLength {
		w.entry(s).hangUp()
		sleep(ctx, seriesPause)
	}
}

func changeConfigsInSeries(ctx context.Context, w *world, _ *step) {
	for range seriesLength {
		w.nextConfig()
		w.mustCommit(ctx, func() error { return w.writeConfig(ctx) })
		sleep(ctx, seriesPause)
	}
}

// killTarget ends an engine as the kernel ends a killed process: its connections are closed, not
// reset.
func killTarget(ctx context.Context, w *world, s *step) {
	p := w.engine(s)
	if !p.restartMu.TryLock() {
		return
	}
	defer p.restartMu.Unlock()
	old := p.currentTarget()
	p.server.Stop()
	sleep(ctx, targetTTL)
	w.mustCommit(ctx, func() error { return w.removeTarget(ctx, old.ID) })
	p.crash()
	p.restartAs(ctx, w.newTargetName(), old.Service)
}

// shape says how a request is sent and answered. The target reads what concerns it from the
// query.
type shape struct {
	// events and pause are the number of events of a stream, and a pause in its middle.
	events int
	pause  time.Duration
	// unframed says that the answer has neither a length nor chunks.
	unframed bool
	// work is how long another request runs.
	work time.Duration
	// bodyDelay is how late the end of the body is sent; chunked says how.
	bodyDelay time.Duration
	chunked   bool
}

func (s *shape) query() string {
	v := url.Values{}
	v.Set("events", strconv.Itoa(s.events))
	v.Set("pause", s.pause.String())
	v.Set("unframed", strconv.FormatBool(s.unframed))
	v.Set("work", s.work.String())
	return v.Encode()
}

// shapeOf returns the part of a request's shape that its query names. It returns nil for a
// request without one.
func shapeOf(v url.Values) *shape {
	if v.Get("events") == "" {
		return nil
	}
	// The queries come from shape.query, so they are valid.
	s := &shape{}
	s.events, _ = strconv.Atoi(v.Get("events"))
	s.pause, _ = time.ParseDuration(v.Get("pause"))
	s.unframed, _ = strconv.ParseBool(v.Get("unframed"))
	s.work, _ = time.ParseDuration(v.Get("work"))
	return s
}

// workOf returns how long a plain request to a path runs.
func (s *shape) workOf(path string) time.Duration {
	if strings.HasPrefix(path, slowPath) {
		return s.work + plainLatency
	}
	return plainLatency
}

// newShape returns a random shape of a request to a path.
func newShape(r *rand.Rand) *shape {
	s := &shape{events: minLongEvents + r.IntN(longEventSpread), work: randomDuration(maxWorkTime, r), chunked: r.IntN(2) == 0}
	s.unframed = r.Float64() < unframedShare
	if r.Float64() < preemptedShare {
		s.pause = minPreemption + randomDuration(preemptionSpread, r)
	}
	if r.Float64() < lateBodyShare {
		s.bodyDelay = randomDuration(maxBodyDelay, r)
	}
	return s
}

// newShape returns a random shape of a request of the client. With ProcessEnds, more answers are
// unframed, and no body is late. With LeavingEnds none is unframed.
func (c *client) newShape() *shape {
	s := newShape(c.random)
	if c.w.opts.ProcessEnds {
		s.unframed = s.unframed || c.random.Float64() < unframedShare
		s.bodyDelay = 0
	}
	if c.w.opts.LeavingEnds {
		s.unframed, s.bodyDelay = false, 0
	}
	return s
}

// resident is a client that keeps a connection to one entry and uses it until the entry closes
// it or is gone.
type resident struct {
	*client
	entry *process
	// think is the longest time between two requests.
	think time.Duration
}

// run sends requests until ctx ends.
func (c *resident) run(ctx context.Context) {
	defer c.closeConn()
	sleep(ctx, randomDuration(residentFirstThink, c.random))
	paths := []string{streamPath, oncePath, slowPath, unsafePath}
	for ctx.Err() == nil {
		if !c.keep() {
			sleep(ctx, readyInterval)
			continue
		}
		c.sendShaped(paths[c.random.IntN(len(paths))], c.newShape())
		sleep(ctx, randomDuration(c.think, c.random))
	}
}

// keep opens the connection to the entry unless there is one. It returns false if the entry
// accepts none.
func (c *resident) keep() bool {
	if c.conn != nil && c.conn.entry == c.entry {
		return true
	}
	c.closeConn()
	if !c.entry.inRotation.Load() {
		return false
	}
	conn, err := net.DialTimeout("tcp", c.entry.clients.address(), connectTimeout)
	if err != nil {
		return false
	}
	c.conn = newClientConn(conn, c.entry)
	return true
}

// residents returns the residents of all entries.
func (w *world) residents() []*resident {
	if !w.opts.hasResidents() {
		return nil
	}
	var all []*resident
	for i, e := range w.entries {
		for n := range residentsPerEntry {
			c := &resident{client: newClient(w, residentRandomStream+i*residentsPerEntry+n), entry: e, think: 2 * thinkTime}
			if n%2 == 1 {
				c.think = longThink
			}
			all = append(all, c)
		}
	}
	return all
}

// checkLost records a violation if an attempt that a target has run lost its connection before
// its deadline, though nothing but planned work was going on. Excused is what was sent soon
// after a SIGTERM of its entry, or before, and still ran in the last part of the grace time, and
// a request that may run once and that its target broke off.
func (w *world) checkLost(attempt direct.AttemptID, q *request, entry *process, err error) {
	now, sentAt := time.Now(), q.sentAt
	if !w.opts.Stops || w.history.runCount(attempt) == 0 || w.faultWindows.overlap(sentAt.Add(-contactTime), now) {
		return
	}
	if now.Sub(sentAt) >= requestTimeout(q.path)-deadlineMargin {
		return
	}
	if runsOnce(q.path) && w.breaks.broke(attempt) {
		return
	}
	var stopped string
	if at := entry.lastTerminated(); !at.IsZero() && now.Sub(at) <= stopWindow {
		if sentAt.Sub(at) <= excusedTime && now.Sub(at) >= lastGracePart && w.history.running(attempt) {
			return
		}
		stopped = fmt.Sprintf(", sent %v and ended %v after the SIGTERM of its entry", sentAt.Sub(at).Round(time.Millisecond), now.Sub(at).Round(time.Millisecond))
	}
	w.history.recordViolation(AnsweredAtStops, attempt, "entry %s closed the connection after %v%s: %v", entry.name, now.Sub(sentAt).Round(time.Millisecond), stopped, err)
}
