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
	Self  id.Entry
	Clock clockwork.Clock
	Log   *event.Log
	Meter *Meter
	// RetainedTokens bounds the tokens of ended answers that are kept.
	RetainedTokens int
}

// Desk owns the requests whose home this entry is, and passes the others on.
type Desk struct {
	cfg     Config
	link    Link
	peers   Peers
	policy  Policy
	gate    Gate
	answers *registry
	// ctx ends when the process is cut.
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	leaving atomic.Bool
}

// NewDesk returns a Desk and starts its sweeper; Close ends both.
func NewDesk(cfg Config, link Link, peers Peers, policy Policy, gate Gate) *Desk {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Desk{
		cfg: cfg, link: link, peers: peers, policy: policy, gate: gate,
		answers: newRegistry(), ctx: ctx, cancel: cancel,
	}
	d.running.Add(1)
	go d.sweep()
	return d
}

// Close cuts all work and waits for its goroutines.
func (d *Desk) Close() {
	d.cancel()
	d.running.Wait()
}

// Leave stops taking new requests. Running ones go on.
func (d *Desk) Leave() { d.leaving.Store(true) }

// Waiting returns the requests that run.
func (d *Desk) Waiting() []id.Request {
	var out []id.Request
	for _, a := range d.answers.all() {
		if a.State() == Running || a.hasReaders() {
			out = append(out, a.Spec().Request)
		}
	}
	return out
}

// Find returns the answer of r that this entry holds.
func (d *Desk) Find(r id.Request) (*Answer, bool) {
	a := d.answers.find(r)
	return a, a != nil
}

// Open accepts a request, or joins the one with its key.
func (d *Desk) Open(ctx context.Context, ask answer.Ask) (*answer.Reader, error) {
	if refusal := d.check(&ask); refusal != nil {
		d.refused(&ask, refusal)
		return nil, refusal
	}
	d.fill(&ask)
	relay := Relay{
		Contract: ask.Contract.Name, Request: ask.Spec.Request, Spec: &ask.Spec, Whole: ask.Whole,
	}
	reader, err := d.open(ctx, ask.Contract, relay)
	if refusal, ok := err.(*answer.Refusal); ok {
		d.refused(&ask, refusal)
	}
	return reader, err
}

// Reopen goes on with an answer that exists.
func (d *Desk) Reopen(ctx context.Context, resume answer.Resume) (*answer.Reader, error) {
	if !resume.Request.Valid() {
		return nil, notFound(resume.Request)
	}
	relay := Relay{
		Contract: resume.Contract.Name, Request: resume.Request,
		Lineage: resume.Lineage, From: resume.From, Whole: resume.Whole,
	}
	return d.open(ctx, resume.Contract, relay)
}

// Serve answers another entry. The contract must be in force here too.
func (d *Desk) Serve(ctx context.Context, relay Relay) (*answer.Reader, error) {
	c, ok := d.gate.Conf().Contracts[relay.Contract]
	if !ok {
		return nil, answer.Refuse(answer.CauseForbidden, "the contract is not in force at the home entry")
	}
	return d.open(ctx, c, relay)
}

// check refuses what the contract does not allow.
func (d *Desk) check(ask *answer.Ask) *answer.Refusal {
	c, spec := ask.Contract, &ask.Spec
	switch {
	case !c.AllowsModel(spec.Model):
		return answer.Refuse(answer.CauseForbidden, "the contract does not include model %q", spec.Model)
	case spec.MaxTokens > c.Limits.AnswerTokens:
		return answer.Refuse(answer.CauseInvalid, "maxTokens is %d, and the contract allows %d",
			spec.MaxTokens, c.Limits.AnswerTokens)
	case len(spec.Prompt)+len(spec.Messages) > c.Limits.PromptBytes:
		return answer.Refuse(answer.CauseTooLarge, "the prompt has %d bytes, and the contract allows %d",
			len(spec.Prompt)+len(spec.Messages), c.Limits.PromptBytes)
	}
	return nil
}

// fill sets what the entry decides: the id, the class, the version and the
// lineage.
func (d *Desk) fill(ask *answer.Ask) {
	spec := &ask.Spec
	spec.Contract = ask.Contract.Name
	spec.Class = ask.Contract.Class
	spec.Prefer = ask.Contract.Recovery.Prefer
	spec.Lineage = newLineage()
	spec.Request = id.NewRequest(d.cfg.Self)
	if ask.Key != "" {
		spec.Request = id.ForKey(ask.Contract.Name, ask.Key)
	}
	spec.Version = d.version(spec.Model)
}

// version returns the version of the model that new generations get.
func (d *Desk) version(model id.Model) id.Version {
	if m, ok := d.gate.Conf().Deployment.Models.Find(model); ok && m.Version != "" {
		return m.Version
	}
	for _, t := range d.policy.Candidates([]id.Model{model}) {
		return t.Version
	}
	return ""
}

func (d *Desk) refused(ask *answer.Ask, refusal *answer.Refusal) {
	d.cfg.Log.Emit(event.RequestRefused, "request", ask.Spec.Request, "contract", ask.Contract.Name,
		"model", ask.Spec.Model, "outcome", refusal.Outcome, "cause", refusal.Cause,
		"detail", refusal.Detail, "retryAfterMs", refusal.RetryAfter.Milliseconds())
}

// sweep ends abandoned answers and forgets old ones, until Close.
func (d *Desk) sweep() {
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

func (d *Desk) sweepOnce(now time.Time) {
	deployment := &d.gate.Conf().Deployment
	grace := deployment.Recovery.AbandonGrace.Std()
	for _, a := range d.answers.sweep(now, deployment.Retention.Std(), grace, d.cfg.RetainedTokens) {
		d.cfg.Log.Emit(event.RequestAbandoned, "request", a.Spec().Request, "tokens", a.next())
		a.cancel()
	}
}

// start runs a new answer's attempts.
func (d *Desk) start(a *Answer, c *contract.Contract, ticket Ticket, found *Found, mirror *answer.Reader) {
	ctx, cancel := context.WithCancel(d.ctx)
	a.starts(cancel, mirror == nil)
	r := &runner{
		answer: a, link: &d.link, policy: &d.policy, clock: d.cfg.Clock, log: d.cfg.Log, meter: d.cfg.Meter,
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
