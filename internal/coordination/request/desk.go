package request

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Config is what a Desk is made with.
type Config struct {
	Self    id.Entry
	Clock   clockwork.Clock
	Log     *event.Log
	Metrics *Metrics
	// MaxRetainedTokens bounds the tokens of ended answers that are kept.
	MaxRetainedTokens int
}

// Coordinator owns the requests whose home this entry is, and passes the others on.
type Coordinator struct {
	cfg     Config
	link    TargetClient
	peers   Peers
	policy  Policy
	gate    AdmissionControl
	answers *registry
	// ctx ends when the process is cut.
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	leaving atomic.Bool
}

// NewCoordinator returns a Desk and starts its sweeper; Close ends both.
func NewCoordinator(cfg Config, link TargetClient, peers Peers, policy Policy, gate AdmissionControl) *Coordinator {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Coordinator{
		cfg: cfg, link: link, peers: peers, policy: policy, gate: gate,
		answers: newRegistry(), ctx: ctx, cancel: cancel,
	}
	d.running.Add(1)
	go d.sweep()
	return d
}

// Close cuts all work and waits for its goroutines.
func (d *Coordinator) Close() {
	d.cancel()
	d.running.Wait()
}

// Drain stops taking new requests. Running ones go on.
func (d *Coordinator) Drain() { d.leaving.Store(true) }

// Pending returns the requests that run.
func (d *Coordinator) Pending() []id.Request {
	var out []id.Request
	for _, a := range d.answers.all() {
		if a.State() == StateRunning || a.hasReaders() {
			out = append(out, a.Spec().Request)
		}
	}
	return out
}

// Find returns the answer of r that this entry holds.
func (d *Coordinator) Find(r id.Request) (*Answer, bool) {
	a := d.answers.find(r)
	return a, a != nil
}

// Open accepts a request, or joins the one with its key.
func (d *Coordinator) Open(ctx context.Context, ask answer.GenerationRequest) (*answer.Reader, error) {
	if refusal := d.check(&ask); refusal != nil {
		d.refused(&ask, refusal)
		return nil, refusal
	}
	d.fill(&ask)
	relay := RelayRequest{
		Contract: ask.Contract.Name, Request: ask.Spec.Request, Spec: &ask.Spec, Buffered: ask.Buffered,
	}
	reader, err := d.open(ctx, ask.Contract, relay)
	if refusal, ok := err.(*answer.Refusal); ok {
		d.refused(&ask, refusal)
	}
	return reader, err
}

// Resume goes on with an answer that exists.
func (d *Coordinator) Resume(ctx context.Context, resume answer.ResumeRequest) (*answer.Reader, error) {
	if !resume.Request.Valid() {
		return nil, notFound(resume.Request)
	}
	relay := RelayRequest{
		Contract: resume.Contract.Name, Request: resume.Request,
		Lineage: resume.Lineage, From: resume.From, Buffered: resume.Buffered,
	}
	return d.open(ctx, resume.Contract, relay)
}

// ServePeer answers another entry. The contract must be in force here too.
func (d *Coordinator) ServePeer(ctx context.Context, relay RelayRequest) (*answer.Reader, error) {
	c, ok := d.gate.Conf().Contracts[relay.Contract]
	if !ok {
		return nil, answer.NewRefusal(answer.CauseForbidden, "the contract is not in force at the home entry")
	}
	return d.open(ctx, c, relay)
}

// check refuses what the contract does not allow.
func (d *Coordinator) check(ask *answer.GenerationRequest) *answer.Refusal {
	c, spec := ask.Contract, &ask.Spec
	switch {
	case !c.AllowsModel(spec.Model):
		return answer.NewRefusal(answer.CauseForbidden, "the contract does not include model %q", spec.Model)
	case spec.MaxTokens > c.Limits.AnswerTokens:
		return answer.NewRefusal(answer.CauseInvalid, "maxTokens is %d, and the contract allows %d",
			spec.MaxTokens, c.Limits.AnswerTokens)
	case len(spec.Prompt)+len(spec.Messages) > c.Limits.PromptBytes:
		return answer.NewRefusal(answer.CauseTooLarge, "the prompt has %d bytes, and the contract allows %d",
			len(spec.Prompt)+len(spec.Messages), c.Limits.PromptBytes)
	}
	return nil
}

// fill sets what the entry decides: the id, the class, the version and the
// lineage.
func (d *Coordinator) fill(ask *answer.GenerationRequest) {
	spec := &ask.Spec
	spec.Contract = ask.Contract.Name
	spec.Class = ask.Contract.Class
	spec.Prefer = ask.Contract.Recovery.Prefer
	spec.Lineage = newLineage()
	spec.Request = id.NewRequest(d.cfg.Self)
	if ask.Key != "" {
		spec.Request = id.RequestForKey(ask.Contract.Name, ask.Key)
	}
	spec.Version = d.version(spec.Model)
}

// version returns the version of the model that new generations get.
func (d *Coordinator) version(model id.Model) id.Version {
	if m, ok := d.gate.Conf().Deployment.Models.Find(model); ok && m.Version != "" {
		return m.Version
	}
	for _, t := range d.policy.Candidates([]id.Model{model}) {
		return t.Version
	}
	return ""
}

func (d *Coordinator) refused(ask *answer.GenerationRequest, refusal *answer.Refusal) {
	d.cfg.Log.Emit(event.RequestRefused, "request", ask.Spec.Request, "contract", ask.Contract.Name,
		"model", ask.Spec.Model, "outcome", refusal.Outcome, "cause", refusal.Cause,
		"detail", refusal.Detail, "retryAfterMs", refusal.RetryAfter.Milliseconds())
}

// sweep ends abandoned answers and forgets old ones, until Close.
func (d *Coordinator) sweep() {
	defer d.running.Done()
	ticker := d.cfg.Clock.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			d.sweepOnce(d.cfg.Clock.Now())
		case <-d.ctx.Done():
			return
		}
	}
}

func (d *Coordinator) sweepOnce(now time.Time) {
	deployment := &d.gate.Conf().Deployment
	grace := deployment.Recovery.AbandonGrace.Std()
	for _, a := range d.answers.sweep(now, deployment.Retention.Std(), grace, d.cfg.MaxRetainedTokens) {
		d.cfg.Log.Emit(event.RequestAbandoned, "request", a.Spec().Request, "tokens", a.next())
		a.cancel()
	}
}

// start runs a new answer's attempts.
func (d *Coordinator) start(a *Answer, c *contract.Contract, ticket Ticket, found *FoundAttempt, mirror *answer.Reader) {
	ctx, cancel := context.WithCancel(d.ctx)
	a.starts(cancel, mirror == nil)
	r := &runner{
		answer: a, link: &d.link, policy: &d.policy, clock: d.cfg.Clock, log: d.cfg.Log, meter: d.cfg.Metrics,
		maxAttempts: d.gate.Conf().Deployment.Recovery.MaxAttempts,
	}
	if found != nil {
		r.touched = true
		if found.Running {
			r.found = found
		}
	}
	spec := a.Spec()
	d.cfg.Log.Emit(event.RequestAccepted, "request", spec.Request, "contract", c.Name, "model", spec.Model,
		"version", spec.Version, "class", spec.Class, "maxTokens", spec.MaxTokens, "keyed", a.keyed)
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		defer cancel()
		if mirror != nil {
			d.mirror(ctx, r, mirror, c.Models)
		}
		refusal := r.run(ctx)
		if refusal != nil && refusal.Cause == answer.CauseConflict {
			refusal = d.follow(ctx, a, c.Models)
		}
		r.finish(refusal)
		ticket.Done(spec.PromptTokens() + int(a.next()))
	}()
}

// cost estimates the tokens of a request before it has run.
func cost(spec *generation.Spec) int {
	return spec.PromptTokens() + spec.MaxTokens
}

func notFound(r id.Request) *answer.Refusal {
	return &answer.Refusal{
		Outcome: answer.Unknown, Cause: answer.CauseNotFound, Request: r,
		Detail: "there is no answer of that id, or it is no longer kept",
	}
}
