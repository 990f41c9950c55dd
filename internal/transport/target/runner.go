package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/admission"
	"foxtailward.example/foxtailward/internal/coordination/attempt"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/engine"
)

// runner guards the table of attempts with a lock, starts admitted attempts
// on the engine, and appends the engine's tokens to their logs.
type runner struct {
	p      *Process
	engine *engine.Client
	// ctx is the parent of all generations; cancelling it ends them.
	ctx  context.Context
	stop context.CancelFunc
	work sync.WaitGroup
	// cacheAfter is the number of the last cache event that was read. Only the
	// poll uses it, so it needs no lock.
	cacheAfter uint64

	mu      sync.Mutex
	table   *attempt.Table
	pace    paceAverage
	metrics engine.Metrics
	// newModel names the model that replaces the current one once no attempt
	// uses it; empty if no change is pending.
	newModel       string
	changeDeadline time.Time
}

func newRunner(p *Process) *runner {
	r := &runner{p: p, engine: engine.NewClient(p.settings.Engine.URL)}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.table = attempt.NewTable(r.limits(p.deps.Snapshot()))
	r.table.CheckSpec = r.serves
	return r
}

// limits returns the limits of the table under a configuration.
func (r *runner) limits(s *conf.Snapshot) attempt.Limits {
	e := r.p.settings.Engine
	return attempt.Limits{
		Capacity: admission.Capacity{
			Slots: e.Slots, QueueSize: e.QueueSize, HeadroomShare: s.Deployment.Routing.HeadroomShare,
		},
		Retention:   s.Deployment.Retention.Std(),
		OrphanGrace: s.Deployment.Recovery.OrphanGrace.Std(),
		LogBytes:    e.MaxLogBytes,
	}
}

// serves returns an error if the engine can't run the spec now. The caller
// must hold r.mu.
func (r *runner) serves(spec *generation.Spec) error {
	const op = "runner.serves"
	now := r.p.reporter.snapshot()
	switch {
	case r.changingModelLocked():
		return fault.New(op, attempt.Mismatch, "the engine is about to change to %s", r.newModel)
	case now.Model != spec.Model || now.Version != spec.Version:
		return fault.New(op, attempt.Mismatch, "the engine serves %s %s, not %s %s",
			now.Model, now.Version, spec.Model, spec.Version)
	case spec.Adapter != "" && !hasAdapter(now.Adapters, spec.Adapter):
		return fault.New(op, attempt.Mismatch, "the engine has no adapter %s", spec.Adapter)
	case now.State == member.Joining:
		return fault.New(op, attempt.EngineFailed, "the engine does not answer")
	}
	return nil
}

func hasAdapter(adapters []id.Adapter, adapter id.Adapter) bool {
	for _, a := range adapters {
		if a == adapter {
			return true
		}
	}
	return false
}

// start starts or joins an attempt and returns a reader of its tokens.
func (r *runner) start(s attempt.StartRequest, wake func()) (*attempt.Reader, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reader, err := r.table.Start(r.p.deps.Clock.Now(), s, wake)
	if err != nil {
		return nil, err
	}
	r.admit()
	return reader, nil
}

func (r *runner) adopt(request id.Request, epoch id.Epoch, number id.Attempt, from id.TokenIndex,
	wake func()) (*attempt.Reader, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Adopt(r.p.deps.Clock.Now(), request, epoch, number, from, wake)
}

func (r *runner) cancel(request id.Request, epoch id.Epoch, below id.Attempt) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, err := r.table.Cancel(r.p.deps.Clock.Now(), request, epoch, below)
	r.admit()
	return n, err
}

func (r *runner) find(request id.Request, epoch id.Epoch) ([]attempt.FoundAttempt, id.Epoch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Find(r.p.deps.Clock.Now(), request, epoch, maxFoundTokens)
}

func (r *runner) read(reader *attempt.Reader, buf []generation.Token) attempt.Part {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Read(reader, buf)
}

// detach removes a reader from its attempt.
func (r *runner) detach(reader *attempt.Reader) {
	r.mu.Lock()
	orphan := r.table.Detach(r.p.deps.Clock.Now(), reader)
	r.mu.Unlock()
	if orphan {
		r.p.counters.orphaned.Inc(1)
		rec := reader.Record()
		r.p.emit(event.AttemptOrphaned, "request", rec.Spec.Request, "attempt", rec.Attempt)
	}
}

func (r *runner) retryAfter(class generation.Class) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Queue().RetryAfter(class)
}

func (r *runner) sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.SetLimits(r.limits(r.p.deps.Snapshot()))
	for _, rec := range r.table.Sweep(r.p.deps.Clock.Now()) {
		r.p.emit(event.AttemptLost, "request", rec.Spec.Request, "attempt", rec.Attempt, "reason", rec.Failure.Detail)
	}
	r.admit()
}

func (r *runner) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Drain()
}

func (r *runner) pending() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Pending(r.p.deps.Clock.Now())
}

func (r *runner) abortAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.AbortAll(r.p.deps.Clock.Now())
}

// close cancels the generations, waits for them, and closes the engine's
// connections.
func (r *runner) close() {
	r.stop()
	r.work.Wait()
	r.engine.Close()
}

func (r *runner) counts() loadCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.table.Queue()
	c := loadCounts{
		running:         q.Running(),
		shortRunning:    q.ShortRunning(),
		queued:          q.Waiting() + r.metrics.Waiting,
		queuedPrefill:   q.WaitingTokens() + r.metrics.WaitingPrefill,
		pace:            r.pace.mean,
		prefillPerToken: r.metrics.PrefillPerToken,
	}
	if c.pace == 0 {
		c.pace = r.metrics.Pace
	}
	return c
}

// admit starts queued attempts on the engine while slots are free. The caller
// must hold r.mu.
func (r *runner) admit() {
	for _, rec := range r.table.Admit(r.p.deps.Clock.Now()) {
		ctx, stop := context.WithCancel(r.ctx)
		rec.Stop = stop
		g := engine.GenerationRequest{ID: generationID(rec), Spec: rec.Spec, Prefix: rec.Log.IDs()}
		r.p.counters.started.Inc(1)
		r.work.Go(func() {
			defer stop()
			r.generate(ctx, rec, g)
		})
	}
}

// generate runs an attempt on the engine and appends the tokens to the
// attempt's log.
func (r *runner) generate(ctx context.Context, rec *attempt.Record, g engine.GenerationRequest) {
	stream, err := r.engine.Generate(ctx, g)
	if err != nil {
		r.fail(rec, err)
		return
	}
	defer stream.Close()
	last := time.Time{}
	for {
		tokens, err := stream.Next()
		if errors.Is(err, io.EOF) {
			r.finish(rec, stream)
			stream.Drain()
			return
		}
		if err != nil {
			r.fail(rec, err)
			return
		}
		now := r.p.deps.Clock.Now()
		if !r.append(rec, tokens, now, last) {
			return
		}
		last = now
	}
}

// generationID returns an id for the attempt that is unique at the engine.
func generationID(rec *attempt.Record) string {
	return fmt.Sprintf("%s-%d-%d", rec.Spec.Request, rec.Epoch, rec.Attempt)
}

func (r *runner) append(rec *attempt.Record, tokens []generation.Token, now, last time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !last.IsZero() {
		r.pace.add(now.Sub(last) / time.Duration(len(tokens)))
	}
	r.p.counters.generated.Inc(int64(len(tokens)))
	return r.table.Append(rec, tokens...)
}

// finish ends an attempt whose stream was complete. The attempt fails if the
// token count is wrong.
func (r *runner) finish(rec *attempt.Record, stream *engine.Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.admit()
	now := r.p.deps.Clock.Now()
	if mismatch := countMismatch(rec, stream); mismatch != "" {
		r.table.Fail(now, rec, attempt.Refusal{Kind: attempt.EngineFailed, Detail: mismatch, Started: true})
		r.p.counters.failed.Inc(1)
		return
	}
	r.table.Finish(now, rec, stream.Reason, attempt.Usage{
		PromptTokens: stream.Usage.PromptTokens,
		Cached:       stream.Usage.CachedTokens,
	})
	r.p.counters.finished.Inc(1)
}

// countMismatch describes how the engine's token count differs from the
// tokens it sent; it is empty if they agree.
func countMismatch(rec *attempt.Record, stream *engine.Stream) string {
	decoded := int(rec.Log.Len() - rec.PrefixTokens)
	if decoded != stream.Usage.CompletionTokens {
		return fmt.Sprintf("the engine counted %d tokens and sent %d", stream.Usage.CompletionTokens, decoded)
	}
	if stream.Reason == generation.Length && int(rec.Log.Len()) != rec.Spec.MaxTokens {
		return fmt.Sprintf("the engine ended for length at %d of %d tokens", rec.Log.Len(), rec.Spec.MaxTokens)
	}
	return ""
}

// fail ends an attempt that the engine refused or failed to complete.
func (r *runner) fail(rec *attempt.Record, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.admit()
	if rec.State != attempt.Running {
		return
	}
	refusal := engineRefusal(err)
	if refusal.Kind == attempt.Busy {
		refusal.RetryAfter = r.table.Queue().RetryAfter(rec.Spec.Class)
	}
	r.table.Fail(r.p.deps.Clock.Now(), rec, refusal)
	r.p.counters.failed.Inc(1)
	r.p.emit(event.AttemptLost, "request", rec.Spec.Request, "attempt", rec.Attempt, "tokens", rec.Log.Len(),
		"error", err)
}

// engineRefusal converts an error of the engine client to a refusal.
func engineRefusal(err error) attempt.Refusal {
	kind, ok := fault.KindOf[engine.Kind](err)
	refusal := attempt.Refusal{Kind: attempt.EngineFailed, Detail: err.Error(), Started: true}
	if !ok {
		return refusal
	}
	switch kind {
	case engine.Unreachable:
		refusal.Started = false
	case engine.Busy:
		refusal.Kind, refusal.Started = attempt.Busy, false
	case engine.Refused:
		refusal.Kind, refusal.Started = attempt.Invalid, false
	case engine.NotServed:
		refusal.Kind, refusal.Started = attempt.Mismatch, false
	}
	return refusal
}

// paceAverage is the moving average of the time between two tokens of one
// generation.
type paceAverage struct{ mean time.Duration }

// paceSmoothing is the weight of the newest interval in the average.
const paceSmoothing = 0.05

func (p *paceAverage) add(gap time.Duration) {
	if p.mean == 0 {
		p.mean = gap
		return
	}
	p.mean += time.Duration(paceSmoothing * float64(gap-p.mean))
}

func (r *runner) bytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Bytes()
}
