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
	"foxtailward.example/foxtailward/internal/state/timing"
)

// Config configures a Coordinator.
type Config struct {
	Self    id.Entry
	Clock   clockwork.Clock
	Log     *event.Log
	Metrics *Metrics
	// MaxRetainedTokens is the maximum total number of tokens in the ended answers
	// that are kept.
	MaxRetainedTokens int
}

// Coordinator owns the requests whose home is this entry and relays the others
// to their home entries.
type Coordinator struct {
	cfg       Config
	targets   TargetClient
	peers     Peers
	policy    Policy
	admission AdmissionControl
	answers   *registry
	// ctx is cancelled by Close.
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	leaving atomic.Bool
}

// NewCoordinator returns a Coordinator and starts its background sweeper. Close
// stops both.
func NewCoordinator(cfg Config, targets TargetClient, peers Peers, policy Policy, admission AdmissionControl) *Coordinator {
	ctx, cancel := context.WithCancel(context.Background())
	co := &Coordinator{
		cfg: cfg, targets: targets, peers: peers, policy: policy, admission: admission,
		answers: newRegistry(), ctx: ctx, cancel: cancel,
	}
	co.running.Add(1)
	go co.sweep()
	return co
}

// Close cancels all running requests and waits for their goroutines.
func (co *Coordinator) Close() {
	co.cancel()
	co.running.Wait()
}

// Drain refuses new requests from now on. Running ones continue.
func (co *Coordinator) Drain() { co.leaving.Store(true) }

// Pending returns the ids of the requests that are running or still being
// read.
func (co *Coordinator) Pending() []id.Request {
	var out []id.Request
	for _, a := range co.answers.all() {
		if a.State() == StateRunning || a.hasReaders() {
			out = append(out, a.Spec().Request)
		}
	}
	return out
}

// Find returns the answer to r if this entry holds it.
func (co *Coordinator) Find(r id.Request) (*Answer, bool) {
	a := co.answers.find(r)
	return a, a != nil
}

// Open accepts a request, or joins the one with the same idempotency key.
func (co *Coordinator) Open(ctx context.Context, req answer.GenerationRequest) (*answer.Reader, error) {
	if refusal := co.checkContract(&req); refusal != nil {
		co.logRefusal(&req, refusal)
		return nil, refusal
	}
	co.fillSpec(&req)
	relay := RelayRequest{
		Contract: req.Contract.Name, Request: req.Spec.Request, Spec: &req.Spec, Buffered: req.Buffered,
	}
	reader, err := co.open(ctx, req.Contract, relay)
	if refusal, ok := err.(*answer.Refusal); ok {
		co.logRefusal(&req, refusal)
	}
	return reader, err
}

// Resume continues reading an existing answer.
func (co *Coordinator) Resume(ctx context.Context, resume answer.ResumeRequest) (*answer.Reader, error) {
	if !resume.Request.Valid() {
		return nil, notFoundRefusal(resume.Request)
	}
	relay := RelayRequest{
		Contract: resume.Contract.Name, Request: resume.Request,
		Lineage: resume.Lineage, From: resume.From, Buffered: resume.Buffered,
	}
	return co.open(ctx, resume.Contract, relay)
}

// ServePeer opens an answer for another entry. The contract must be in force
// here too.
func (co *Coordinator) ServePeer(ctx context.Context, relay RelayRequest) (*answer.Reader, error) {
	c, ok := co.admission.Conf().Contracts[relay.Contract]
	if !ok {
		return nil, answer.NewRefusal(answer.CauseForbidden, "the contract is not in force at the home entry")
	}
	return co.open(ctx, c, relay)
}

// checkContract refuses a request that the contract does not allow.
func (co *Coordinator) checkContract(req *answer.GenerationRequest) *answer.Refusal {
	c, spec := req.Contract, &req.Spec
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

// fillSpec sets the fields that the entry determines, such as the request id,
// the class, the model version and the lineage.
func (co *Coordinator) fillSpec(req *answer.GenerationRequest) {
	spec := &req.Spec
	spec.Contract = req.Contract.Name
	spec.Class = req.Contract.Class
	spec.Prefer = req.Contract.Recovery.Prefer
	spec.Lineage = newLineage()
	spec.Request = id.NewRequest(co.cfg.Self)
	if req.Key != "" {
		spec.Request = id.RequestForKey(req.Contract.Name, req.Key)
	}
	spec.Version = co.currentVersion(spec.Model)
}

// currentVersion returns the model version that new generations use.
func (co *Coordinator) currentVersion(model id.Model) id.Version {
	if m, ok := co.admission.Conf().Deployment.Models.Find(model); ok && m.Version != "" {
		return m.Version
	}
	for _, t := range co.policy.Candidates([]id.Model{model}) {
		return t.Version
	}
	return ""
}

func (co *Coordinator) logRefusal(req *answer.GenerationRequest, refusal *answer.Refusal) {
	co.cfg.Log.Emit(event.RequestRefused, "request", req.Spec.Request, "contract", req.Contract.Name,
		"model", req.Spec.Model, "outcome", refusal.Outcome, "cause", refusal.Cause,
		"detail", refusal.Detail, "retryAfterMs", refusal.RetryAfter.Milliseconds())
}

// sweep periodically cancels abandoned answers and removes expired ones, until
// Close.
func (co *Coordinator) sweep() {
	defer co.running.Done()
	timing.Every(co.ctx, co.cfg.Clock, sweepInterval, func() { co.sweepOnce(co.cfg.Clock.Now()) })
}

func (co *Coordinator) sweepOnce(now time.Time) {
	deployment := &co.admission.Conf().Deployment
	grace := deployment.Recovery.AbandonGrace.Std()
	for _, a := range co.answers.sweep(now, deployment.Retention.Std(), grace, co.cfg.MaxRetainedTokens) {
		co.cfg.Log.Emit(event.RequestAbandoned, "request", a.Spec().Request, "tokens", a.tokenCount())
		a.cancel()
	}
}

// start runs the attempts of a new answer in the background. A non-nil found is
// an attempt of an earlier owner to continue. A non-nil mirror reads the answer
// from another entry that already owns the request.
func (co *Coordinator) start(a *Answer, c *contract.Contract, ticket Ticket, found *FoundAttempt, mirror *answer.Reader) {
	ctx, cancel := context.WithCancel(co.ctx)
	a.setRun(cancel, mirror == nil)
	r := &runner{
		answer: a, targets: &co.targets, policy: &co.policy, clock: co.cfg.Clock, log: co.cfg.Log, metrics: co.cfg.Metrics,
		maxAttempts: co.admission.Conf().Deployment.Recovery.MaxAttempts,
	}
	if found != nil {
		r.mayHaveRun = true
		if found.Running {
			r.adoptable = found
		}
	}
	spec := a.Spec()
	co.cfg.Log.Emit(event.RequestAccepted, "request", spec.Request, "contract", c.Name, "model", spec.Model,
		"version", spec.Version, "class", spec.Class, "maxTokens", spec.MaxTokens, "keyed", a.keyed)
	co.running.Add(1)
	go func() {
		defer co.running.Done()
		defer cancel()
		if mirror != nil {
			co.mirror(ctx, r, mirror, c.Models)
		}
		refusal := r.run(ctx)
		if refusal != nil && refusal.Cause == answer.CauseConflict {
			refusal = co.follow(ctx, a, c.Models)
		}
		r.finish(refusal)
		ticket.Done(spec.PromptTokens() + int(a.tokenCount()))
	}()
}

// estimatedTokens returns the most tokens that a request can use: its prompt
// and its token limit. It is charged before the request has run.
func estimatedTokens(spec *generation.Spec) int {
	return spec.PromptTokens() + spec.MaxTokens
}

// missingRefusal refuses to read an answer that this entry does not find. An entry that
// has not met the others can't say that there is none.
func (co *Coordinator) missingRefusal(r id.Request) *answer.Refusal {
	if co.peers.Joined == nil || co.peers.Joined() {
		return notFoundRefusal(r)
	}
	return &answer.Refusal{
		Outcome: answer.Unknown, Cause: answer.CauseStarting, Request: r, RetryAfter: joinRetryAfter,
		Detail: "this entry is starting and does not know the other entries' answers yet",
	}
}

func notFoundRefusal(r id.Request) *answer.Refusal {
	return &answer.Refusal{
		Outcome: answer.Unknown, Cause: answer.CauseNotFound, Request: r,
		Detail: "there is no answer of that id, or it is no longer kept",
	}
}
