package target

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/coordination/admission"
	"foxtailward.example/foxtailward/internal/coordination/call"
	"foxtailward.example/foxtailward/internal/protocol/peer"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/service"
)

// Time-outs and limits of calls.
const (
	// defaultCallTimeout applies to a call without a deadline.
	defaultCallTimeout = time.Minute
	// callGrace is how long a call that is not repeatable may continue after its
	// deadline, so that its outcome becomes known.
	callGrace = 30 * time.Second
	// maxCallRecords limits the number of calls in the ledger; that many records
	// take about 10 MB.
	maxCallRecords = 50_000
)

// callRunner guards the ledger of calls with a lock and sends calls to the
// service.
type callRunner struct {
	p       *Process
	service *service.Client
	// ctx is the parent of all calls; cancelling it ends them.
	ctx  context.Context
	stop context.CancelFunc
	work sync.WaitGroup

	mu       sync.Mutex
	ledger   *call.Ledger
	queue    admission.Queue[*pendingCall]
	running  map[*pendingCall]bool
	draining bool
}

// pendingCall is a call that is queued or running.
type pendingCall struct {
	record *call.Record
	ticket admission.Ticket[*pendingCall]
	// admitted is closed when the call may be sent to the service.
	admitted chan struct{}
	request  *peerpb.CallRequest
}

func newCallRunner(p *Process) *callRunner {
	c := &callRunner{p: p, service: service.NewClient(p.settings.Service.URL), running: map[*pendingCall]bool{}}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.ledger = call.NewLedger(p.reporter.snapshot().Incarnation, c.limits())
	c.queue = admission.NewQueue[*pendingCall](c.capacity())
	return c
}

func (c *callRunner) limits() call.Limits {
	return call.Limits{
		Retention:  c.p.deps.Snapshot().Deployment.Retention.Std(),
		ReplyBytes: c.p.settings.Service.MaxReplyBytes,
		Records:    maxCallRecords,
	}
}

func (c *callRunner) capacity() admission.Capacity {
	return admission.Capacity{
		Slots:         c.p.settings.Service.Slots,
		QueueSize:     c.p.settings.Service.QueueSize,
		HeadroomShare: c.p.deps.Snapshot().Deployment.Routing.HeadroomShare,
	}
}

// call runs a call, or joins a call that has the same request id, and returns
// its result.
func (c *callRunner) call(ctx context.Context, req *peerpb.CallRequest) call.Result {
	if result, refused := c.check(req); refused {
		return result
	}
	p, isNew := c.open(req)
	if isNew {
		c.work.Go(func() { c.execute(ctx, p) })
	}
	select {
	case <-p.record.Done():
		return p.record.Result()
	case <-ctx.Done():
		return call.Result{Outcome: call.Unknown, Detail: "the reader of the call's reply has gone"}
	}
}

// check rejects a call with an invalid request id or for another service.
func (c *callRunner) check(req *peerpb.CallRequest) (call.Result, bool) {
	reason := ""
	switch {
	case !id.Request(req.GetRequest()).Valid():
		reason = fmt.Sprintf("request is %q, want an answer's id", req.GetRequest())
	case id.Service(req.GetService()) != c.p.settings.Service.Name:
		reason = fmt.Sprintf("this target serves %s, not %s", c.p.settings.Service.Name, req.GetService())
	}
	return call.Result{Outcome: call.NotRun, Detail: reason}, reason != ""
}

// open returns the record of the call and whether it is new. Only calls that
// are not repeatable are kept in the ledger.
func (c *callRunner) open(req *peerpb.CallRequest) (*pendingCall, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &pendingCall{admitted: make(chan struct{}), request: req}
	if req.GetRepeatable() {
		p.record = call.NewRecord(id.Request(req.GetRequest()))
	} else {
		var isNew bool
		p.record, isNew = c.ledger.Open(id.Request(req.GetRequest()), id.Incarnation(req.GetClaimedIncarnation()))
		if !isNew {
			return p, false
		}
	}
	p.ticket = admission.Ticket[*pendingCall]{
		Owner: p, Class: classOf(req), Deadline: peer.ToTime(req.GetDeadlineUnixMs()),
	}
	c.running[p] = true
	c.enqueue(p)
	return p, true
}

func classOf(req *peerpb.CallRequest) generation.Class {
	class := generation.Class(req.GetClass())
	if !class.Valid() {
		return generation.Standard
	}
	return class
}

// enqueue adds a call to the queue, or ends it if it can't be queued. The
// caller must hold c.mu.
func (c *callRunner) enqueue(p *pendingCall) {
	now := c.p.deps.Clock.Now()
	if c.draining {
		c.finish(p, call.Result{Outcome: call.NotRun, Detail: "the target is leaving"})
		return
	}
	if err := c.queue.Offer(now, &p.ticket); err != nil {
		c.finish(p, call.Result{Outcome: call.NotRun, Detail: err.Error()})
		return
	}
	c.admit()
}

// finish records the result of a call and releases its slot. The caller must
// hold c.mu.
func (c *callRunner) finish(p *pendingCall, result call.Result) {
	c.ledger.End(c.p.deps.Clock.Now(), p.record, result)
	if c.running[p] {
		delete(c.running, p)
		c.queue.Release(c.p.deps.Clock.Now(), &p.ticket)
	}
	c.admit()
}

// admit admits queued calls while slots are free. The caller must hold c.mu.
func (c *callRunner) admit() {
	for {
		ticket, ok := c.queue.Admit(c.p.deps.Clock.Now())
		if !ok {
			return
		}
		close(ticket.Owner.admitted)
	}
}

// execute runs a call to its end and records the result.
func (c *callRunner) execute(ctx context.Context, p *pendingCall) {
	result := call.Result{Outcome: call.NotRun, Detail: "the call was given up before the service got it"}
	if admitted(ctx, p) && c.dispatch(p) {
		result = c.send(ctx, p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finish(p, result)
}

// admitted waits until a call may be sent to the service. It returns false if
// the call has ended, or its client has disconnected, before that.
func admitted(ctx context.Context, p *pendingCall) bool {
	select {
	case <-p.admitted:
		return true
	case <-p.record.Done():
	case <-ctx.Done():
	}
	return false
}

// dispatch marks the call as sent to the service. It returns true only the
// first time.
func (c *callRunner) dispatch(p *pendingCall) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Dispatch(p.record)
}

// send sends a call to the service and returns its result.
func (c *callRunner) send(ctx context.Context, p *pendingCall) call.Result {
	req := p.request
	ctx, cancel := c.withDeadline(ctx, p)
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()
	reply, err := c.service.Do(ctx, service.Request{
		ID: id.Request(req.Request), Method: req.Method, Path: req.Path,
		Header: peer.ToHeader(req.Headers), Body: req.Body, Repeatable: req.Repeatable,
	})
	if err == nil {
		c.p.counters.calls.Inc(1)
		c.p.emit(event.CallRun, "request", req.Request, "contract", req.Contract, "status", reply.Status)
		return call.Result{Outcome: call.Done, Reply: reply}
	}
	c.p.emit(event.CallRefused, "request", req.Request, "contract", req.Contract, "error", err)
	if fault.Is(err, service.NotSent) {
		return call.Result{Outcome: call.NotRun, Detail: err.Error()}
	}
	return call.Result{Outcome: call.Unknown, Detail: err.Error()}
}

// withDeadline limits the duration of a call. A call that is not repeatable
// continues after its client has disconnected, so that its outcome becomes
// known.
func (c *callRunner) withDeadline(ctx context.Context, p *pendingCall) (context.Context, context.CancelFunc) {
	clock := c.p.deps.Clock
	until := p.ticket.Deadline
	if until.IsZero() {
		until = clock.Now().Add(defaultCallTimeout)
	}
	if p.request.Repeatable {
		return clockwork.WithDeadline(ctx, clock, until)
	}
	return clockwork.WithDeadline(context.WithoutCancel(ctx), clock, until.Add(callGrace))
}

// fence prevents a call that has not run from running, and waits for a call
// that is running.
func (c *callRunner) fence(ctx context.Context, request id.Request, claimed id.Incarnation) call.Result {
	c.mu.Lock()
	result, running := c.ledger.Fence(c.p.deps.Clock.Now(), request, claimed)
	c.mu.Unlock()
	if running == nil {
		return result
	}
	select {
	case <-running.Done():
		return running.Result()
	case <-ctx.Done():
		return result
	}
}

func (c *callRunner) counts() loadCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return loadCounts{running: c.queue.Running(), shortRunning: c.queue.ShortRunning(), queued: c.queue.Waiting()}
}

func (c *callRunner) health(ctx context.Context) error { return c.service.Health(ctx) }

// sweep ends queued calls whose deadline has passed, removes expired replies,
// and begins a new incarnation when the ledger is full.
func (c *callRunner) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.p.deps.Clock.Now()
	c.queue.SetCapacity(c.capacity())
	c.ledger.SetLimits(c.limits())
	c.ledger.Sweep(now)
	for p := range c.running {
		if p.ticket.Expired(now) {
			c.finish(p, call.Result{Outcome: call.NotRun, Detail: "the call waited for a slot until its deadline"})
		}
	}
	if c.ledger.Rotate(id.Incarnation(now.UnixMilli())) {
		c.p.reporter.setIncarnation(c.ledger.Incarnation())
	}
}

func (c *callRunner) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

func (c *callRunner) pending() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for p := range c.running {
		names = append(names, fmt.Sprintf("%s call (%s)", p.record.Request, p.record.State()))
	}
	slices.Sort(names)
	return names
}

// abortAll ends all calls at once. Calls that were sent to the service get
// the outcome unknown.
func (c *callRunner) abortAll() { c.stop() }

// close ends all calls and waits for them to return.
func (c *callRunner) close() {
	c.stop()
	c.work.Wait()
	c.service.Close()
}

func (c *callRunner) bytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Bytes()
}
