package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/standin/server"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/platform"
)

// Behaviour of targets.
const (
	// streamEvents is the number of events of each stream, and eventGap the time
	// between two of them.
	streamEvents = 40
	eventGap     = 25 * time.Millisecond
	// prefillLatency is the time to the first event of a stream that does not continue
	// from a backup.
	prefillLatency = 80 * time.Millisecond
	plainLatency   = 150 * time.Millisecond
	// requestsPerFailure is how many plain requests a target gets for each one that it
	// answers with an error.
	requestsPerFailure = 50
	// maxDrainDelay is how long a draining target may still get requests after the
	// key-value service has confirmed the drain.
	maxDrainDelay = 2 * time.Second
	slots         = 64
)

// replica is a stand-in target behind a link. Each start gives it a new incarnation
// and possibly another name and service.
type replica struct {
	w      *world
	zone   int
	server *server.Server
	link   *proxy

	// leaving is set while the target is about to end.
	leaving atomic.Bool
	// ends says whether the target was told to stop without notice.
	ends *processEnd
	// departure says whether the target has said that it is leaving, and ends its chunked streams.
	departure *leavingProcess

	// streamBegun gets a value when the target has sent the first event of a stream.
	streamBegun chan struct{}

	// limits are the limits that the target names.
	limits targetLimits
	// rests are the rests that the target requests.
	rests targetRests

	// restartMu is held from stopping the target until it is started again.
	restartMu sync.Mutex

	mu     sync.Mutex
	target catalog.Target
	// backups holds the handles of copies of runs of other engines.
	backups       map[string]bool
	plainRequests int
	// listedAt is when the key-value service got the current start's record; zero while it
	// has none or the target is down.
	listedAt time.Time
	// drainedAt is when the key-value service confirmed that the target drains.
	drainedAt time.Time
}

func newReplica(w *world, service id.Service, zone int) (*replica, error) {
	p := &replica{w: w, zone: zone, ends: newProcessEnd(), departure: newLeavingProcess(), streamBegun: make(chan struct{}, 1)}
	var err error
	if p.server, err = server.New(w.host(0, 1)+":0", p); err != nil {
		return nil, err
	}
	if p.link, err = newProxy(w.host(0, 1)+":0", p.server.Address()); err != nil {
		return nil, err
	}
	p.setSoftware(softwareName(0))
	p.setIdentity(w.newTargetName(), service)
	return p, nil
}

// setIdentity gives the replica a name, a service and a new incarnation, and discards
// its state.
func (p *replica) setIdentity(name id.Target, service id.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = catalog.Target{
		ID: name, Service: service, Address: p.link.address(), Zone: zoneName(p.zone),
		Slots: slots, State: catalog.Ready, Software: p.target.Software, Sequence: 1, Incarnation: id.Incarnation(time.Now().UnixMilli()),
	}
	p.backups = map[string]bool{}
	p.drainedAt, p.listedAt = time.Time{}, time.Time{}
}

// currentTarget returns the replica's current item for the key-value service.
func (p *replica) currentTarget() catalog.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

func (p *replica) setState(s catalog.TargetState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target.State = s
	p.target.Sequence++
}

// recordDrained records that the key-value service has confirmed that the replica
// drains.
func (p *replica) recordDrained() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drainedAt = time.Now()
}

// ServeHTTP serves a request from an entry.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if call, ok := platform.DecodeCopyCall(r); ok {
		p.serveCopy(w, call)
		return
	}
	identity := p.currentTarget()
	if r.URL.Path == healthPath {
		platform.EncodeIdentity(w.Header(), direct.Identity{Target: identity.ID, Slots: identity.Slots})
		return
	}
	if r.URL.Path == platform.ReportPath {
		// An error means that the entry has disconnected and needs no response.
		_, _ = w.Write(p.report(&identity))
		return
	}
	forwarded := platform.DecodeForwardedRequest(r.Header)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if forwarded.Key != "" {
		p.w.history.recordViolation(MatchesRequest, forwarded.Attempt, "a target received the client's key")
	}
	if p.turnAway(w, identity.ID, &forwarded) {
		return
	}
	if serviceOf(r.URL.Path) != identity.Service {
		p.w.history.recordViolation(MatchesRequest, forwarded.Attempt, "target %s of service %s received a request to %s", identity.ID, identity.Service, r.URL.Path)
	}
	if forwarded.ResumeFrom != (direct.CopyRef{}) && !p.takeBackup(forwarded.ResumeFrom.Handle) {
		platform.EncodeResponseMetadata(w.Header(), forwarded.Attempt, "", true)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	crashing := p.w.crashingRequestFor(string(body))
	if crashing != nil {
		crashing.recordArrival(forwarded.Attempt)
		if crashing.zone != anyZone && crashing.zone != p.zone {
			platform.EncodeResponseMetadata(w.Header(), forwarded.Attempt, "", true)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	recordEnd := p.w.history.recordRunStart(forwarded.Attempt, identity.ID, r.URL.RequestURI(), string(body), forwarded.Account)
	defer recordEnd()
	ctx, cancel := context.WithTimeout(r.Context(), forwarded.Timeout)
	defer cancel()
	if crashing != nil {
		p.runCrashing(ctx, w, forwarded.Attempt, crashing)
		return
	}
	form := shapeOf(r.URL.Query())
	if routeKindOf(r.URL.Path) == catalog.Streaming {
		p.serveStream(ctx, w, &forwarded, streamOf(form, r.URL.Path, string(body), identity.Software))
		return
	}
	if p.unframesPlain(form) {
		p.servePlainUnframed(ctx, w, forwarded.Attempt, r.URL.Path, string(body), form.workOf(r.URL.Path))
		return
	}
	if form != nil && strings.HasPrefix(r.URL.Path, slowPath) && !sleep(ctx, form.work) {
		return
	}
	p.servePlain(ctx, w, &forwarded, r.URL.Path, string(body))
}

// turnAway answers a request that the replica does not run, because it is for another target or
// comes at a bad time. It reports whether it did.
func (p *replica) turnAway(w http.ResponseWriter, self id.Target, forwarded *platform.ForwardedRequest) bool {
	if forwarded.Target != self {
		platform.EncodeResponseMetadata(w.Header(), forwarded.Attempt, "", true)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	if limit := p.limits.answer(self, forwarded.Attempt); limit > 0 {
		platform.EncodeLimit(w.Header(), limit)
	}
	p.sayPace(w.Header(), self)
	p.checkNotDrained(forwarded.Attempt)
	return p.refuseLeaving(w, forwarded.Attempt) || p.serveRest(w, self, forwarded.Attempt)
}

// stream is what a target answers a streaming request with.
type stream struct {
	path, body string
	software   id.SoftwareVersion
	events     int
	gap        time.Duration
	// pause is how long the stream stops after half of its events.
	pause    time.Duration
	unframed bool
}

// streamOf returns the stream of a request's shape, which may be nil.
func streamOf(form *shape, path, body string, software id.SoftwareVersion) *stream {
	if form == nil {
		return &stream{path: path, body: body, software: software, events: streamEvents, gap: eventGap}
	}
	return &stream{path: path, body: body, software: software, events: form.events, gap: longEventGap, pause: form.pause, unframed: form.unframed}
}

func (p *replica) checkNotDrained(attempt direct.AttemptID) {
	p.mu.Lock()
	since := p.drainedAt
	p.mu.Unlock()
	if since.IsZero() || time.Since(since) < maxDrainDelay || p.w.opts.SafetyOnly {
		return
	}
	if !p.w.faultWindows.overlap(since, time.Now()) {
		p.w.history.recordViolation(DrainRespected, attempt, "it reached target %s %v after the drain was confirmed", p.currentTarget().ID, time.Since(since))
	}
}

// takeBackup removes a copy and reports whether the replica held it, so that each
// copy is used once.
func (p *replica) takeBackup(handle string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.backups[handle]
	delete(p.backups, handle)
	return found
}

func (p *replica) addBackup(handle string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backups[handle] = true
}

// serveCopy copies a run to another replica, or frees a copy.
func (p *replica) serveCopy(w http.ResponseWriter, call platform.CopyCall) {
	if call.To == "" {
		p.takeBackup(string(call.Run))
		return
	}
	to := p.w.replicaAt(call.To)
	if to == nil || p.w.history.runCount(call.Run) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	handle := fmt.Sprintf("moved-%s", call.Run)
	to.addBackup(handle)
	// An error means that the entry has disconnected and needs no response.
	_, _ = w.Write(platform.EncodeCopyHandle(handle))
}

// runCrashing runs a request that crashes the replica at its start, and never answers
// it. Some runs end in nothing instead.
func (p *replica) runCrashing(ctx context.Context, w http.ResponseWriter, attempt direct.AttemptID, q *crashingRequest) {
	if !sleep(ctx, prefillLatency) {
		return
	}
	if rand.Float64() < q.emptyShare {
		p.endInNothing(ctx, w, attempt)
		return
	}
	if q.plain {
		q.recordCrash()
	}
	p.w.restarts.Go(func() { p.crashUnder(q) })
	<-ctx.Done()
	panic(http.ErrAbortHandler)
}

// endInNothing ends a run with an error, or with silence until its time limit.
func (p *replica) endInNothing(ctx context.Context, w http.ResponseWriter, attempt direct.AttemptID) {
	if rand.IntN(2) == 0 {
		<-ctx.Done()
		return
	}
	platform.EncodeResponseMetadata(w.Header(), attempt, signature(attempt), false)
	w.WriteHeader(http.StatusInternalServerError)
}

// servePlain answers with a body that names the attempt and repeats the request's
// body.
func (p *replica) servePlain(ctx context.Context, w http.ResponseWriter, forwarded *platform.ForwardedRequest, path, body string) {
	fails, factor := p.w.rollout.Load().answer(p.currentTarget().Software, path)
	if !sleep(ctx, time.Duration(factor)*p.work(plainLatency)) {
		return
	}
	p.mu.Lock()
	p.plainRequests++
	fails = fails || p.plainRequests%requestsPerFailure == 0
	p.mu.Unlock()
	encodeSuccess(w, forwarded.Attempt)
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, plainAnswer(forwarded.Attempt, body))
}

// encodeSuccess writes the head of a successful response.
func encodeSuccess(w http.ResponseWriter, attempt direct.AttemptID) {
	platform.EncodeResponseMetadata(w.Header(), attempt, signature(attempt), false)
}

// serveStream sends the events after the client's last one.
func (p *replica) serveStream(ctx context.Context, w http.ResponseWriter, forwarded *platform.ForwardedRequest, s *stream) {
	p.departure.streams.Add(1)
	defer p.departure.streams.Add(-1)
	if to := p.w.replicaAt(forwarded.BackupAddress); to != nil {
		to.addBackup(string(forwarded.Attempt))
	}
	if forwarded.ResumeFrom == (direct.CopyRef{}) && !p.waitInStream(ctx, s, prefillLatency) {
		return
	}
	// An empty last event ID gives 0, so that the stream starts at event 1.
	last, _ := strconv.Atoi(string(forwarded.LastEventID))
	planned := p.drawBreak(forwarded.Attempt, s, last)
	if planned.place == inHead {
		p.breakInHead(w, forwarded.Attempt)
		return
	}
	encodeSuccess(w, forwarded.Attempt)
	p.sayLeaving(w.Header())
	w.Header().Set("Content-Type", "text/event-stream")
	if s.unframed {
		// The server ends such an answer with its connection.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	out, events := http.NewResponseController(w), p.newEventWriter(w, forwarded.Attempt, s)
	// A process that was told to stop sends one event of some streams that it begins.
	oneMore := p.ends.begun() && rand.IntN(2) == 0
	if planned.place == afterHead || !oneMore && p.closesStream(ctx, s) {
		// The connection is closed in any case.
		_ = out.Flush()
		return
	}
	for i := last + 1; i <= s.events; i++ {
		wait := s.gap
		if wait == eventGap {
			// Streams of other shapes keep the times that they are named for.
			wait = p.work(wait)
		}
		if i == s.events/2 && last == 0 {
			wait += s.pause
		}
		if !p.waitInStream(ctx, s, wait) {
			panic(http.ErrAbortHandler)
		}
		if (!oneMore || i > last+1) && p.closesStream(ctx, s) {
			return
		}
		if i == s.events {
			p.recordLastEvent(s)
		}
		if events.write(i) != nil || p.endsHere(planned, s, i) {
			return
		}
		if i == 1 {
			p.firstEventSent(forwarded.Attempt)
		}
	}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func signature(attempt direct.AttemptID) string { return "signed-" + string(attempt) }

func plainAnswer(attempt direct.AttemptID, body string) string {
	return "answer to " + string(attempt) + " " + body
}

// streamEvent returns event i of the stream that a version answers a request with this body
// with.
func streamEvent(body string, i int, software id.SoftwareVersion) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d%s%s\n\n", i, body, i, softwareMark, software)
}

// softwareMark stands before the version in each event.
const softwareMark = " of "

// softwareOf returns the version that an event names.
func softwareOf(event string) id.SoftwareVersion {
	_, software, _ := strings.Cut(strings.TrimSuffix(event, "\n\n"), softwareMark)
	return id.SoftwareVersion(software)
}

// crash stops the replica, resets its connections and discards its copies.
func (p *replica) crash() {
	p.server.Stop()
	p.link.resetConns()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backups, p.listedAt = map[string]bool{}, time.Time{}
}

// restart starts the replica again with a name and a service.
func (p *replica) restart(name id.Target, service id.Service) error {
	p.limits.end()
	p.rests.forget()
	p.setIdentity(name, service)
	return p.server.Start()
}

func (p *replica) close() {
	p.link.close()
	p.server.Close()
}

// Path prefixes of the routes. The routes differ in service or in whether requests
// may be repeated.
const (
	unsafePath = "/u/"
	safePath   = "/s/"
	streamPath = "/r/"
	// oncePath is the prefix of streams that may run once, and slowPath that of unsafe requests
	// that take long.
	oncePath = "/o/"
	slowPath = "/l/"
	// healthPath is where targets serve their identities.
	healthPath = "/health"
	// extraPath is the prefix of routes that configuration changes add. The
	// configuration's version follows it.
	extraPath = "/x"
)

func routeKindOf(path string) catalog.RouteKind {
	switch {
	case strings.HasPrefix(path, streamPath), strings.HasPrefix(path, oncePath):
		return catalog.Streaming
	case strings.HasPrefix(path, safePath):
		return catalog.Safe
	}
	return catalog.Unsafe
}

const (
	modelService = id.Service("model")
	shopService  = id.Service("shop")
)

func serviceOf(path string) id.Service {
	if routeKindOf(path) == catalog.Streaming {
		return modelService
	}
	return shopService
}

// runsOnce reports whether a request to the path may run once at most.
func runsOnce(path string) bool {
	return routeKindOf(path) == catalog.Unsafe || strings.HasPrefix(path, oncePath)
}
