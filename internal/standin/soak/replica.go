package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/standin/server"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/platform"
)

// How targets work.
const (
	// streamEvents is the length of each stream, and eventGap the pause between
	// two of its events.
	streamEvents = 40
	eventGap     = 25 * time.Millisecond
	// prefillTime is the time to the first event of a stream that starts anew.
	prefillTime = 80 * time.Millisecond
	plainTime   = 150 * time.Millisecond
	// failEach is how many plain requests there are for one that fails of itself.
	failEach = 50
	// drainTime is how long after its notice a target must get nothing more.
	drainTime = 2 * time.Second
	slots     = 64
)

// replica is a stand-in target behind a link. It has another identity after each
// start.
type replica struct {
	w      *world
	zone   int
	server *server.Server
	link   *proxy

	// restarting is held by whoever ends the target to start it again.
	restarting sync.Mutex

	mu     sync.Mutex
	target catalog.Target
	// copies holds the handles of copies of other engines' runs.
	copies map[string]bool
	served int
	// drainedAt is when the key-value service confirmed that it leaves.
	drainedAt time.Time
}

func newReplica(w *world, service id.Service, zone int) (*replica, error) {
	p := &replica{w: w, zone: zone}
	var err error
	if p.server, err = server.New(w.host(0, 1)+":0", p); err != nil {
		return nil, err
	}
	if p.link, err = newProxy(w.host(0, 1)+":0", p.server.Address()); err != nil {
		return nil, err
	}
	p.renew(w.newTarget(), service)
	return p, nil
}

// renew gives the replica an identity; it holds nothing of before.
func (p *replica) renew(name id.Target, service id.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = catalog.Target{
		ID: name, Service: service, Address: p.link.address(), Zone: zoneName(p.zone),
		Slots: slots, State: catalog.Ready, Incarnation: id.Incarnation(time.Now().UnixMilli()),
	}
	p.copies = map[string]bool{}
	p.drainedAt = time.Time{}
}

// identity returns the replica's entry as it is now.
func (p *replica) identity() catalog.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

func (p *replica) setState(s catalog.TargetState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target.State = s
}

// drained notes when the key-value service confirmed that the replica leaves.
func (p *replica) drained() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drainedAt = time.Now()
}

// ServeHTTP answers one request of an entry.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if order, ok := platform.DecodeCopyCall(r); ok {
		p.serveCopy(w, order)
		return
	}
	identity := p.identity()
	if r.URL.Path == healthPath {
		platform.EncodeIdentity(w.Header(), direct.Identity{Target: identity.ID, Slots: identity.Slots})
		return
	}
	told := platform.DecodeForwardedRequest(r.Header)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if told.Key != "" {
		p.w.ledger.breaks(MatchesRequest, told.Attempt, "a target was shown the client's key")
	}
	if told.Target != identity.ID {
		platform.EncodeResponseMetadata(w.Header(), told.Attempt, "", true)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.checkDrained(told.Attempt)
	if serviceOf(r.URL.Path) != identity.Service {
		p.w.ledger.breaks(MatchesRequest, told.Attempt, "%s of service %s got %s", identity.ID, identity.Service, r.URL.Path)
	}
	if told.ResumeFrom != (direct.CopyRef{}) && !p.takeCopy(told.ResumeFrom.Handle) {
		platform.EncodeResponseMetadata(w.Header(), told.Attempt, "", true)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ended := p.w.ledger.begins(told.Attempt, identity.ID, r.URL.RequestURI(), string(body), told.Account)
	defer ended()
	ctx, cancel := context.WithTimeout(r.Context(), told.Timeout)
	defer cancel()
	if repeatOf(r.URL.Path) == catalog.Streaming {
		p.serveStream(ctx, w, &told, string(body))
		return
	}
	p.servePlain(ctx, w, &told, string(body))
}

func (p *replica) checkDrained(attempt direct.AttemptID) {
	p.mu.Lock()
	since := p.drainedAt
	p.mu.Unlock()
	if since.IsZero() || time.Since(since) < drainTime || p.w.opts.SafetyOnly {
		return
	}
	if !p.w.windows.overlap(since, time.Now()) {
		p.w.ledger.breaks(DrainRespected, attempt, "it reached %s %v after its notice", p.identity().ID, time.Since(since))
	}
}

// takeCopy reports whether the replica holds a copy; it can be used once.
func (p *replica) takeCopy(handle string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.copies[handle]
	delete(p.copies, handle)
	return held
}

func (p *replica) putCopy(handle string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.copies[handle] = true
}

// serveCopy copies a run to another replica, or frees a copy.
func (p *replica) serveCopy(w http.ResponseWriter, order platform.CopyCall) {
	if order.To == "" {
		p.takeCopy(string(order.Run))
		return
	}
	to := p.w.replicaAt(order.To)
	if to == nil || p.w.ledger.ranAt(order.Run) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	handle := fmt.Sprintf("moved-%s", order.Run)
	to.putCopy(handle)
	// The entry may be gone, which is its own matter.
	_, _ = w.Write(platform.EncodeCopyHandle(handle))
}

// servePlain answers with a body that says which attempt and request it is to.
func (p *replica) servePlain(ctx context.Context, w http.ResponseWriter, told *platform.ForwardedRequest, body string) {
	if !wait(ctx, plainTime) {
		return
	}
	p.mu.Lock()
	p.served++
	fails := p.served%failEach == 0
	p.mu.Unlock()
	platform.EncodeResponseMetadata(w.Header(), told.Attempt, signatureOf(told.Attempt), false)
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, plainAnswer(told.Attempt, body))
}

// serveStream answers with the events that the client does not have yet.
func (p *replica) serveStream(ctx context.Context, w http.ResponseWriter, told *platform.ForwardedRequest, body string) {
	if to := p.w.replicaAt(told.BackupAddress); to != nil {
		to.putCopy(string(told.Attempt))
	}
	if told.ResumeFrom == (direct.CopyRef{}) && !wait(ctx, prefillTime) {
		return
	}
	// No last event counts as the one before the first.
	last, _ := strconv.Atoi(string(told.LastEventID))
	platform.EncodeResponseMetadata(w.Header(), told.Attempt, signatureOf(told.Attempt), false)
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for i := last + 1; i <= streamEvents; i++ {
		if !wait(ctx, eventGap) {
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, eventOf(body, i)); err != nil || out.Flush() != nil {
			return
		}
	}
}

// wait returns false if ctx ends first.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func signatureOf(attempt direct.AttemptID) string { return "signed-" + string(attempt) }

func plainAnswer(attempt direct.AttemptID, body string) string {
	return "answer to " + string(attempt) + " " + body
}

// eventOf returns one event of the stream that answers a body.
func eventOf(body string, i int) string { return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", i, body, i) }

// crash ends the replica: its connections are reset, and it holds nothing more.
func (p *replica) crash() {
	p.server.Stop()
	p.link.reset()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.copies = map[string]bool{}
}

// revive starts the replica again under a name, for a service.
func (p *replica) revive(name id.Target, service id.Service) error {
	p.renew(name, service)
	return p.server.Start()
}

func (p *replica) close() {
	p.link.close()
	p.server.Close()
}

// Routes of the run. Each has its own service or kind of repetition.
const (
	unsafePath = "/u/"
	safePath   = "/s/"
	streamPath = "/r/"
	// healthPath is where targets tell their names.
	healthPath = "/health"
	// extraPath comes before the number of a route that a change adds.
	extraPath = "/x"
)

func repeatOf(path string) catalog.RouteKind {
	switch {
	case strings.HasPrefix(path, streamPath):
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
	if strings.HasPrefix(path, streamPath) {
		return modelService
	}
	return shopService
}
