package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/protocol/direct"
)

// Bounds for a request that crashes the targets that run it. They are the users'.
const (
	// allowedCrashes is the number of crashes after which the request must no longer
	// be sent to targets.
	allowedCrashes = 3
	// allowedPartCrashes is the same for requests that share a part which crashes targets.
	allowedPartCrashes = 5
	// allowedRetries is how many attempts may still reach targets later than
	// contactTime after the last allowed crash.
	allowedRetries = 3
	// contactTime is the time that entries have to act on what happened. Only entries
	// without a disturbance for this long are held to the bound.
	contactTime = 3 * time.Second
)

// Times of crashing requests.
const (
	crashDowntime  = 1500 * time.Millisecond
	firstCrashing  = 2 * time.Second
	crashingSpread = 6 * time.Second
	// crashesPerSameName is the number of crashes for each one after which the target
	// starts again under its own name.
	crashesPerSameName = 3
	// anyZone means that all targets accept the request.
	anyZone = -1
)

// crashingKind says how a crashing request comes again, and what ends beside it.
type crashingKind struct {
	name string
	// gap is the pause between two attempts, of which there are attempts.
	gap      time.Duration
	attempts int
	// oneZone restricts the request to targets of one zone; the others refuse it.
	oneZone bool
	// silent targets stop responding instead of closing their connections.
	silent bool
	// part says that it is a part of the prompt that crashes targets, and that the attempts
	// are different requests.
	part bool
	// neighbours is how many engines of the zone crash at each crash.
	neighbours int
	// plain kinds are those of the plain service, whose few targets all requests share. Each
	// arrival at a target and each run that ends with one counts.
	plain bool
	// copies is how many clients send each attempt at the same time; 0 stands for one.
	copies int
	// emptyShare is the share of runs that end with an error or in silence, and crash
	// nothing.
	emptyShare float64
}

var crashingKinds = []crashingKind{
	{name: "crashingFast", gap: 200 * time.Millisecond, attempts: 40},
	{name: "crashingSlow", gap: 3500 * time.Millisecond, attempts: 8},
	{name: "crashingOneZone", gap: 300 * time.Millisecond, attempts: 40, oneZone: true},
	{name: "crashingBesideOthers", gap: 800 * time.Millisecond, attempts: 20, neighbours: 1},
	{name: "crashingZoneBesideOthers", gap: time.Second, attempts: 20, oneZone: true, neighbours: 1},
	{name: "crashingSilent", gap: 500 * time.Millisecond, attempts: 20, silent: true},
}

var crashingPartKinds = []crashingKind{
	{name: "crashingPartFast", gap: 300 * time.Millisecond, attempts: 40, part: true},
	{name: "crashingPartSlow", gap: 2 * time.Second, attempts: 10, part: true},
	{name: "crashingPartBesideOthers", gap: 800 * time.Millisecond, attempts: 20, part: true, neighbours: 1},
}

var crashingPlainKinds = []crashingKind{
	{name: "crashingPlainCopies", gap: 700 * time.Millisecond, attempts: 20, plain: true, copies: 3, emptyShare: 0.2},
	{name: "crashingPlainBesideOthers", gap: 500 * time.Millisecond, attempts: 30, plain: true, neighbours: 2, emptyShare: 0.2},
	{name: "crashingPlainEmpty", gap: 300 * time.Millisecond, attempts: 40, plain: true, emptyShare: 0.7},
	{name: "crashingPlainSlow", gap: 3200 * time.Millisecond, attempts: 8, plain: true, copies: 2, neighbours: 1, emptyShare: 0.3},
}

// crashingRequest is a request that crashes the targets that run it. A client sends
// it again and again, with the same path, body and account. It is safe for concurrent
// use.
type crashingRequest struct {
	crashingKind
	path, body string
	at         time.Duration
	// firstClient is the number of the client of the first attempt.
	firstClient int
	// zone is the zone whose targets accept the request, or anyZone.
	zone int

	mu       sync.Mutex
	crashes  []time.Time
	arrivals []arrival
}

// arrival is the time at which an attempt first reached a target.
type arrival struct {
	attempt direct.AttemptID
	at      time.Time
}

// newCrashingRequests returns the crashing requests of a run, in the order of their
// times.
func newCrashingRequests(opts Options, r *rand.Rand) []*crashingRequest {
	var requests []*crashingRequest
	for at := firstCrashing; at < opts.Duration; at += crashingSpread + randomDuration(crashingSpread, r) {
		n := len(requests)
		q := &crashingRequest{crashingKind: crashingKinds[r.IntN(len(crashingKinds))], at: at, zone: anyZone, firstClient: firstCrashingClient + n*clientsPerCrashing}
		q.path = []string{streamPath, safePath, unsafePath}[r.IntN(3)] + "crash" + strconv.Itoa(n)
		q.body = fmt.Sprintf("crash-%d", n)
		if zone := r.IntN(zoneCount); q.oneZone {
			q.zone = zone
		}
		requests = append(requests, q)
	}
	return requests
}

// newCrashingParts returns the requests of a run that share parts which crash targets, in
// the order of their times. first is the number of the first of them.
func newCrashingParts(opts Options, first int, r *rand.Rand) []*crashingRequest {
	var requests []*crashingRequest
	for at := firstCrashing + crashingSpread/2; at < opts.Duration; at += 2*crashingSpread + randomDuration(crashingSpread, r) {
		n := first + len(requests)
		requests = append(requests, &crashingRequest{
			crashingKind: crashingPartKinds[r.IntN(len(crashingPartKinds))], at: at, zone: anyZone,
			firstClient: firstCrashingClient + n*clientsPerCrashing, path: streamPath, body: fmt.Sprintf("part-%d-", n),
		})
	}
	return requests
}

// newCrashingPlain returns the crashing requests of the plain service of a run, several at the
// same time. first is the number of the first of them.
func newCrashingPlain(opts Options, first int, r *rand.Rand) []*crashingRequest {
	var requests []*crashingRequest
	for at := firstCrashing; at < opts.Duration; at += 3*crashingSpread + randomDuration(crashingSpread, r) {
		for range 2 + r.IntN(2) {
			n := first + len(requests)
			requests = append(requests, &crashingRequest{
				crashingKind: crashingPlainKinds[r.IntN(len(crashingPlainKinds))], at: at + randomDuration(time.Second, r), zone: anyZone,
				firstClient: firstCrashingClient + n*clientsPerCrashing, path: []string{safePath, unsafePath}[r.IntN(2)] + "plain" + strconv.Itoa(n),
				body: fmt.Sprintf("plain-%d", n),
			})
		}
	}
	return requests
}

// bodyOf returns the body of an attempt.
func (q *crashingRequest) bodyOf(attempt int) string {
	if q.part {
		return q.body + strconv.Itoa(attempt)
	}
	return q.body
}

// allowedCrashes returns the number of crashes after which it must no longer be sent to
// targets.
func (q *crashingRequest) allowedCrashes() int {
	if q.part {
		return allowedPartCrashes
	}
	return allowedCrashes
}

// promptParts returns the parts of the prompt of a stream's request. All have the same first
// part.
func (w *world) promptParts(body string) []direct.PartID {
	parts := []direct.PartID{"first"}
	if q := w.crashingRequestFor(body); q != nil && q.part {
		parts = append(parts, direct.PartID(q.body))
	}
	return append(parts, direct.PartID(body))
}

// recordArrival records that an attempt reached a target.
func (q *crashingRequest) recordArrival(attempt direct.AttemptID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	known := !q.plain && slices.ContainsFunc(q.arrivals, func(a arrival) bool { return a.attempt == attempt })
	if !known {
		q.arrivals = append(q.arrivals, arrival{attempt, time.Now()})
	}
}

// recordCrash records a crash and returns the number of crashes so far.
func (q *crashingRequest) recordCrash() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.crashes = append(q.crashes, time.Now())
	return len(q.crashes)
}

// crashCount returns the number of crashes so far.
func (q *crashingRequest) crashCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.crashes)
}

// lateRetries returns the attempts that reached targets later than contactTime after
// the last allowed crash, and the number of crashes.
func (q *crashingRequest) lateRetries() ([]arrival, int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	allowed := q.allowedCrashes()
	if len(q.crashes) < allowed {
		return nil, len(q.crashes)
	}
	bound := q.crashes[allowed-1].Add(contactTime)
	return slices.DeleteFunc(slices.Clone(q.arrivals), func(a arrival) bool { return !a.at.After(bound) }), len(q.crashes)
}

// crashingRequestFor returns the crashing request with a body, or nil.
func (w *world) crashingRequestFor(body string) *crashingRequest {
	i := slices.IndexFunc(w.crashing, func(q *crashingRequest) bool {
		return q.body == body || (q.part && strings.HasPrefix(body, q.body))
	})
	if i < 0 {
		return nil
	}
	return w.crashing[i]
}

// runCrashingRequests sends the crashing requests at their times, and waits until all
// are done.
func (w *world) runCrashingRequests(ctx context.Context) {
	start := time.Now()
	var running sync.WaitGroup
	byTime := slices.SortedFunc(slices.Values(w.crashing), func(a, b *crashingRequest) int { return cmp.Compare(a.at, b.at) })
	for _, q := range byTime {
		if !sleep(ctx, q.at-time.Since(start)) {
			break
		}
		w.actionCounts.add(q.name)
		running.Go(func() { w.sendCrashing(ctx, q) })
	}
	running.Wait()
}

// sendCrashing sends a crashing request as often as its kind says. Each attempt uses a
// new connection and does not wait as instructed, like the callers of such requests.
func (w *world) sendCrashing(ctx context.Context, q *crashingRequest) {
	defer w.faultWindows.begin()()
	var attempts sync.WaitGroup
	copies := max(1, q.copies)
	for i := range q.attempts {
		for j := range copies {
			attempts.Go(func() {
				c := newClient(w, q.firstClient+i*copies+j)
				defer c.closeConn()
				c.attempt(&request{path: q.path, body: q.bodyOf(i), startedAt: time.Now()})
			})
		}
		if !sleep(ctx, q.gap) {
			break
		}
	}
	attempts.Wait()
	// The targets that it crashed are still starting.
	sleep(ctx, crashDowntime)
}

// Numbers of the clients that send crashing requests, one for each attempt.
const (
	firstCrashingClient = 10000
	clientsPerCrashing  = 100
)

// crashUnder crashes the target under a request. If the target is being crashed by
// another cause already, this crash is not the request's.
func (p *replica) crashUnder(q *crashingRequest) {
	if !p.restartMu.TryLock() {
		return
	}
	defer p.restartMu.Unlock()
	crashes := q.crashCount()
	if !q.plain {
		crashes = q.recordCrash()
	}
	if q.neighbours > 0 {
		p.w.crashNeighbours(p, q.neighbours)
	}
	if q.silent {
		p.link.setFault(blockBoth, 0, false)
		defer p.link.setFault(blockNone, 0, false)
	}
	p.crashAndRestartLocked(context.Background(), crashDowntime, crashes%crashesPerSameName == 0)
}

// crashNeighbours crashes n other targets in the zone of p.
func (w *world) crashNeighbours(p *replica, n int) {
	for _, other := range w.replicas {
		if n == 0 {
			return
		}
		if other != p && other.zone == p.zone && other.currentTarget().Service == modelService {
			n--
			w.restarts.Go(func() { other.crashAndRestart(context.Background(), crashDowntime, false) })
		}
	}
}

// checkCrashingRequests checks that crashing requests were not sent to targets more
// often than allowed.
func (w *world) checkCrashingRequests() {
	for _, q := range w.crashing {
		late, crashes := q.lateRetries()
		late = slices.DeleteFunc(late, func(a arrival) bool {
			return w.disturbances[w.history.entryOf(a.attempt)].overlap(a.at.Add(-contactTime), a.at)
		})
		if len(late) > allowedRetries {
			w.history.recordViolation(CrashingRefused, late[0].attempt, "%s %s was sent to targets %d times more after it had crashed %d; it crashed %d in all",
				q.name, q.path, len(late), q.allowedCrashes(), crashes)
		}
	}
}
