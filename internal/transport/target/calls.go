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

// Times and sizes of calls.
const (
	// callTime bounds a call without a deadline.
	callTime = time.Minute
	// callGrace is how long a call that may not be repeated goes on after its
	// deadline, so that its outcome becomes known.
	callGrace = 30 * time.Second
	// maxCallRecords bounds the calls that a ledger remembers to about 10 MB.
	maxCallRecords = 50_000
)

// caller is the shell around the ledger of calls: it locks it and gives calls
// to the service.
type caller struct {
	p       *Process
	service *service.Client
	// ctx ends all calls.
	ctx  context.Context
	stop context.CancelFunc
	work sync.WaitGroup

	mu      sync.Mutex
	ledger  *call.Ledger
	queue   admission.Queue[*pending]
	running map[*pending]bool
	leaving bool
}

// pending is a call that waits or runs.
type pending struct {
	record *call.Record
	ticket admission.Ticket[*pending]
	// admitted is closed when the call may be given to the service.
	admitted chan struct{}
	request  *peerpb.CallRequest
}

func newCaller(p *Process) *caller {
	c := &caller{p: p, service: service.NewClient(p.settings.Service.URL), running: map[*pending]bool{}}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.ledger = call.NewLedger(p.reporter.served().Incarnation, c.limits())
	c.queue = admission.NewQueue[*pending](c.capacity())
	return c
}

func (c *caller) limits() call.Limits {
	return call.Limits{
		Retention:  c.p.deps.Snapshot().Deployment.Retention.Std(),
		ReplyBytes: c.p.settings.Service.MaxReplyBytes,
		Records:    maxCallRecords,
	}
}

func (c *caller) capacity() admission.Capacity {
	return admission.Capacity{
		Slots:         c.p.settings.Service.Slots,
		QueueSize:     c.p.settings.Service.QueueSize,
		HeadroomShare: c.p.deps.Snapshot().Deployment.Routing.HeadroomShare,
	}
}

// call carries out a call, or joins the one with its request id, and returns
// its word.
func (c *caller) call(ctx context.Context, req *peerpb.CallRequest) call.Result {
	if word, refused := c.check(req); refused {
		return word
	}
	p, isNew := c.open(req)
	if isNew {
		c.work.Go(func() { c.carry(ctx, p) })
	}
	select {
	case <-p.record.Done():
		return p.record.Result()
	case <-ctx.Done():
		return call.Result{Outcome: call.Unknown, Detail: "the reader of the call's reply has gone"}
	}
}

// check refuses what this target never runs.
func (c *caller) check(req *peerpb.CallRequest) (call.Result, bool) {
	why := ""
	switch {
	case !id.Request(req.GetRequest()).Valid():
		why = fmt.Sprintf("request is %q, want an answer's id", req.GetRequest())
	case id.Service(req.GetService()) != c.p.settings.Service.Name:
		why = fmt.Sprintf("this target serves %s, not %s", c.p.settings.Service.Name, req.GetService())
	}
	return call.Result{Outcome: call.NotRun, Detail: why}, why != ""
}

// open returns the call's record, and whether it is new. Only calls that may
// not be repeated are remembered.
func (c *caller) open(req *peerpb.CallRequest) (*pending, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &pending{admitted: make(chan struct{}), request: req}
	if req.GetRepeatable() {
		p.record = call.NewRecord(id.Request(req.GetRequest()))
	} else {
		var isNew bool
		p.record, isNew = c.ledger.Open(id.Request(req.GetRequest()), id.Incarnation(req.GetClaimedIncarnation()))
		if !isNew {
			return p, false
		}
	}
	p.ticket = admission.Ticket[*pending]{
		Owner: p, Class: classOf(req), Deadline: peer.ToTime(req.GetDeadlineUnixMs()),
	}
	c.running[p] = true
	c.offer(p)
	return p, true
}

func classOf(req *peerpb.CallRequest) generation.Class {
	class := generation.Class(req.GetClass())
	if !class.Valid() {
		return generation.Standard
	}
	return class
}

// offer puts a call into the queue, or ends it.
func (c *caller) offer(p *pending) {
	now := c.p.deps.Clock.Now()
	if c.leaving {
		c.end(p, call.Result{Outcome: call.NotRun, Detail: "the target is leaving"})
		return
	}
	if err := c.queue.Offer(now, &p.ticket); err != nil {
		c.end(p, call.Result{Outcome: call.NotRun, Detail: err.Error()})
		return
	}
	c.admit()
}

// end gives a call its word and its slot back. It is called under the lock.
func (c *caller) end(p *pending, word call.Result) {
	c.ledger.End(c.p.deps.Clock.Now(), p.record, word)
	if c.running[p] {
		delete(c.running, p)
		c.queue.Release(c.p.deps.Clock.Now(), &p.ticket)
	}
	c.admit()
}

// admit lets waiting calls go to the service. It is called under the lock.
func (c *caller) admit() {
	for {
		ticket, ok := c.queue.Admit(c.p.deps.Clock.Now())
		if !ok {
			return
		}
		close(ticket.Owner.admitted)
	}
}

// carry brings a call to its end.
func (c *caller) carry(ctx context.Context, p *pending) {
	word := call.Result{Outcome: call.NotRun, Detail: "the call was given up before the service got it"}
	if admitted(ctx, p) && c.dispatch(p) {
		word = c.send(ctx, p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end(p, word)
}

// admitted waits until a call may go to the service, and reports false when it
// has ended or its reader has gone before.
func admitted(ctx context.Context, p *pending) bool {
	select {
	case <-p.admitted:
		return true
	case <-p.record.Done():
	case <-ctx.Done():
	}
	return false
}

// dispatch marks the call as given to the service; it allows so once.
func (c *caller) dispatch(p *pending) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Dispatch(p.record)
}

// send gives a call to the service and returns its word.
func (c *caller) send(ctx context.Context, p *pending) call.Result {
	req := p.request
	ctx, cancel := c.limit(ctx, p)
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()
	reply, err := c.service.Do(ctx, service.Request{
		ID: id.Request(req.Request), Method: req.Method, Path: req.Path,
		Header: peer.ToHeader(req.Headers), Body: req.Body, Repeatable: req.Repeatable,
	})
	if err == nil {
		c.p.meters.calls.Inc(1)
		c.p.emit(event.CallRun, "request", req.Request, "contract", req.Contract, "status", reply.Status)
		return call.Result{Outcome: call.Done, Reply: reply}
	}
	c.p.emit(event.CallRefused, "request", req.Request, "contract", req.Contract, "error", err)
	if fault.Is(err, service.NotSent) {
		return call.Result{Outcome: call.NotRun, Detail: err.Error()}
	}
	return call.Result{Outcome: call.Unknown, Detail: err.Error()}
}

// limit bounds a call in time. A call that may not be repeated goes on when its
// reader has gone, so that its outcome becomes known.
func (c *caller) limit(ctx context.Context, p *pending) (context.Context, context.CancelFunc) {
	clock := c.p.deps.Clock
	until := p.ticket.Deadline
	if until.IsZero() {
		until = clock.Now().Add(callTime)
	}
	if p.request.Repeatable {
		return clockwork.WithDeadline(ctx, clock, until)
	}
	return clockwork.WithDeadline(context.WithoutCancel(ctx), clock, until.Add(callGrace))
}

// fence forbids a call that has not run, and waits for one that runs.
func (c *caller) fence(ctx context.Context, request id.Request, claimed id.Incarnation) call.Result {
	c.mu.Lock()
	word, running := c.ledger.Fence(c.p.deps.Clock.Now(), request, claimed)
	c.mu.Unlock()
	if running == nil {
		return word
	}
	select {
	case <-running.Done():
		return running.Result()
	case <-ctx.Done():
		return word
	}
}

func (c *caller) counts() counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return counts{running: c.queue.Running(), short: c.queue.ShortRunning(), queued: c.queue.Waiting()}
}

func (c *caller) health(ctx context.Context) error { return c.service.Health(ctx) }

// sweep ends calls that waited past their deadline, drops old replies, and
// begins a new incarnation when the ledger is full.
func (c *caller) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.p.deps.Clock.Now()
	c.queue.SetCapacity(c.capacity())
	c.ledger.SetLimits(c.limits())
	c.ledger.Sweep(now)
	for p := range c.running {
		if p.ticket.Expired(now) {
			c.end(p, call.Result{Outcome: call.NotRun, Detail: "the call waited for a slot until its deadline"})
		}
	}
	if c.ledger.Rotate(id.Incarnation(now.UnixMilli())) {
		c.p.reporter.setIncarnation(c.ledger.Incarnation())
	}
}

func (c *caller) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
}

func (c *caller) waiting() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for p := range c.running {
		names = append(names, fmt.Sprintf("%s call (%s)", p.record.Request, p.record.State()))
	}
	slices.Sort(names)
	return names
}

// cutAll ends all calls at once; those that the service has end as unknown.
func (c *caller) cutAll() { c.stop() }

// close ends all calls and waits for them.
func (c *caller) close() {
	c.stop()
	c.work.Wait()
	c.service.Close()
}

func (c *caller) bytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Bytes()
}
