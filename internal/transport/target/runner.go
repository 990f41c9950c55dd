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

// runner is the shell around the table of attempts: it locks it, gives
// attempts to the engine and puts the engine's tokens into their logs.
type runner struct {
	p      *Process
	engine *engine.Client
	// ctx ends all of the engine's work.
	ctx  context.Context
	stop context.CancelFunc
	work sync.WaitGroup
	// cacheAfter is the number of the last cache event; the poll alone uses it.
	cacheAfter uint64

	mu      sync.Mutex
	table   *attempt.Table
	pace    pace
	metrics engine.Metrics
	// changing names the model change that waits for the attempts to end.
	changing    string
	changeUntil time.Time
}

func newRunner(p *Process) *runner {
	r := &runner{p: p, engine: engine.NewClient(p.settings.Engine.URL)}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.table = attempt.NewTable(r.limits(p.deps.Snapshot()))
	r.table.CheckSpec = r.serves
	return r
}

// limits returns the limits under a configuration.
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

// serves refuses what the engine can't run now. It is called under the lock.
func (r *runner) serves(spec *generation.Spec) error {
	const op = "runner.serves"
	now := r.p.reporter.served()
	switch {
	case r.isChanging():
		return fault.New(op, attempt.Mismatch, "the engine is about to change to %s", r.changing)
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

// start begins or joins an attempt and returns a reader of it.
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

// leave ends a reader.
func (r *runner) leave(reader *attempt.Reader) {
	r.mu.Lock()
	orphan := r.table.Detach(r.p.deps.Clock.Now(), reader)
	r.mu.Unlock()
	if orphan {
		r.p.meters.orphans.Inc(1)
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

func (r *runner) waiting() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Pending(r.p.deps.Clock.Now())
}

func (r *runner) cutAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.AbortAll(r.p.deps.Clock.Now())
}

// close waits for the engine's work to end.
func (r *runner) close() {
	r.stop()
	r.work.Wait()
	r.engine.Close()
}

func (r *runner) counts() counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.table.Queue()
	c := counts{
		running:         q.Running(),
		short:           q.ShortRunning(),
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

// admit gives waiting attempts to the engine. It is called under the lock.
func (r *runner) admit() {
	for _, rec := range r.table.Admit(r.p.deps.Clock.Now()) {
		ctx, stop := context.WithCancel(r.ctx)
		rec.Stop = stop
		g := engine.GenerationRequest{ID: engineID(rec), Spec: rec.Spec, Prefix: rec.Log.IDs()}
		r.p.meters.started.Inc(1)
		r.work.Go(func() {
			defer stop()
			r.generate(ctx, rec, g)
		})
	}
}

// generate carries one attempt from the engine into its log.
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

// engineID names an attempt to the engine, unlike any other.
func engineID(rec *attempt.Record) string {
	return fmt.Sprintf("%s-%d-%d", rec.Spec.Request, rec.Epoch, rec.Attempt)
}

func (r *runner) append(rec *attempt.Record, tokens []generation.Token, now, last time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !last.IsZero() {
		r.pace.add(now.Sub(last) / time.Duration(len(tokens)))
	}
	r.p.meters.generated.Inc(int64(len(tokens)))
	return r.table.Append(rec, tokens...)
}

// finish ends an attempt whose stream was whole, if its count is right.
func (r *runner) finish(rec *attempt.Record, stream *engine.Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.admit()
	now := r.p.deps.Clock.Now()
	if why := miscount(rec, stream); why != "" {
		r.table.Fail(now, rec, attempt.Refusal{Kind: attempt.EngineFailed, Detail: why, Started: true})
		r.p.meters.failed.Inc(1)
		return
	}
	r.table.Finish(now, rec, stream.Reason, attempt.Usage{
		PromptTokens: stream.Usage.PromptTokens,
		Cached:       stream.Usage.CachedTokens,
	})
	r.p.meters.finished.Inc(1)
}

// miscount returns what disagrees between an engine's end and its tokens.
func miscount(rec *attempt.Record, stream *engine.Stream) string {
	decoded := int(rec.Log.Len() - rec.PrefixTokens)
	if decoded != stream.Usage.CompletionTokens {
		return fmt.Sprintf("the engine counted %d tokens and sent %d", stream.Usage.CompletionTokens, decoded)
	}
	if stream.Reason == generation.Length && int(rec.Log.Len()) != rec.Spec.MaxTokens {
		return fmt.Sprintf("the engine ended for length at %d of %d tokens", rec.Log.Len(), rec.Spec.MaxTokens)
	}
	return ""
}

// fail ends an attempt that the engine refused or lost.
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
	r.p.meters.failed.Inc(1)
	r.p.emit(event.AttemptLost, "request", rec.Spec.Request, "attempt", rec.Attempt, "tokens", rec.Log.Len(),
		"error", err)
}

// engineRefusal returns the refusal that stands for the engine's error.
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

// pace is the mean time between two tokens of one generation.
type pace struct{ mean time.Duration }

// paceWeight is the part of the newest gap in the mean.
const paceWeight = 0.05

func (p *pace) add(gap time.Duration) {
	if p.mean == 0 {
		p.mean = gap
		return
	}
	p.mean += time.Duration(paceWeight * float64(gap-p.mean))
}

func (r *runner) bytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Bytes()
}
