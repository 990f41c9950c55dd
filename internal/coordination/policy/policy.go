// Package policy combines the decisions of routing, recovery, queueing and
// quarantine for the owner of requests.
//
// # Usage
//
//	p := policy.New(policy.Dependencies{View: view, Router: router, …})
//	coordinator := request.NewCoordinator(cfg, targets, peers, p.RequestPolicy(), admission)
package policy

import (
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/quarantine"
	"foxtailward.example/foxtailward/internal/coordination/recovery"
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/coordination/route"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Timing of placement.
const (
	// holdInterval is the time between two attempts to find a target.
	holdInterval = 200 * time.Millisecond
	// defaultRetryAfter is the time after which a caller should retry if no
	// target was found.
	defaultRetryAfter = time.Second
	// holdLimit is how long a request that has already started waits for a
	// target if it has no deadline.
	holdLimit = 2 * time.Minute
	// exclusionTime is how long a target that lost or refused a request is not
	// tried again for it.
	exclusionTime = 2 * time.Second
)

// Reasons for a choice that only this package gives.
const (
	// reasonQuarantined means that the request is quarantined because it
	// crashes targets.
	reasonQuarantined = "quarantined"
	// reasonSuspect means that the request is suspected of crashing targets and
	// another one with its fingerprint must end first.
	reasonSuspect = "suspect"
	// reasonTargetGone means that the chosen target left in the meantime.
	reasonTargetGone = "targetGone"
	// reasonTooLong means that no target became available within holdLimit.
	reasonTooLong = "tooLong"
)

// Dependencies holds what a Policy uses. All fields except Log and OnQuarantine
// must be set.
type Dependencies struct {
	View   *member.View
	Router *route.Router
	Clock  clockwork.Clock
	// Conf returns the configuration in force.
	Conf func() *conf.Snapshot
	// Random is used by the Policy alone.
	Random *rand.Rand
	Log    *event.Log
	// OnQuarantine is called before a request is given up because it crashes
	// targets, so that other processes know it before the caller can send the
	// request again. It may be nil.
	OnQuarantine func()
}

// Policy makes the decisions for the owner of requests. It is safe for
// concurrent use.
type Policy struct {
	deps   Dependencies
	queues *queues

	mu          sync.Mutex
	retry       *recovery.Budget
	hedge       *recovery.Budget
	quarantined *quarantine.Tracker
	// running counts the running attempts by target and fingerprint.
	running map[id.Target]map[id.Fingerprint]int
}

// New returns a Policy.
func New(deps Dependencies) *Policy {
	now := deps.Clock.Now()
	r := &deps.Conf().Deployment.Recovery
	return &Policy{
		deps:        deps,
		queues:      newQueues(),
		retry:       recovery.NewBudget(recovery.RetryBudget(r.RetryShare), now),
		hedge:       recovery.NewBudget(recovery.HedgeBudget(r.HedgeShare), now),
		quarantined: quarantine.New(quarantineConfig(r)),
		running:     map[id.Target]map[id.Fingerprint]int{},
	}
}

// Configure applies a new configuration.
func (p *Policy) Configure(d *conf.Deployment) {
	p.deps.Router.SetHeadroom(d.Routing.HeadroomShare)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retry.SetShare(d.Recovery.RetryShare)
	p.hedge.SetShare(d.Recovery.HedgeShare)
	p.quarantined.Configure(quarantineConfig(&d.Recovery))
}

func quarantineConfig(r *conf.Recovery) quarantine.Config {
	return quarantine.Config{QuarantineThreshold: r.QuarantineThreshold, QuarantineTime: r.QuarantineTime.Std(), SettleTime: quarantine.SettleTime}
}

// RequestPolicy returns the callbacks for the owner of requests.
func (p *Policy) RequestPolicy() request.Policy {
	return request.Policy{Route: p.Place, AttemptStarted: p.Begin, NewStallDetector: p.Watch, Candidates: p.Candidates, RequestEnded: p.End}
}

// Place decides whether and where the next attempt of a generation starts.
func (p *Policy) Place(req request.RouteRequest, now time.Time) request.Choice {
	if choice, stop := p.checkSuspect(&req, now); stop {
		if choice.Reason == reasonQuarantined && p.deps.OnQuarantine != nil {
			p.deps.OnQuarantine()
		}
		return choice
	}
	if loss := req.LastStarted(); loss != nil {
		return p.recoverFrom(&req, loss, now)
	}
	return p.placeFirst(&req, now)
}

// placeFirst chooses a target for a request that no engine has started.
func (p *Policy) placeFirst(req *request.RouteRequest, now time.Time) request.Choice {
	spec := req.Spec
	routeReq := route.Request{
		Model: spec.Model, Version: spec.Version, Adapter: spec.Adapter, Class: spec.Class,
		PromptTokens: spec.PromptTokens() + int(req.PrefixTokens),
		OutputTokens: spec.MaxTokens - int(req.PrefixTokens),
		Exclude:      append(excluded(req.Losses, now), p.conflictingTargets(spec.Fingerprint())...),
	}
	decision, ok := p.choose(routeReq, now)
	if ok {
		return p.placeInTurn(req, &decision, now)
	}
	if req.MayRestart && decision.Reason == route.NoReplica {
		routeReq.Version = ""
		if other, ok := p.choose(routeReq, now); ok {
			choice := p.dispatch(other)
			if choice.Action == request.Dispatch {
				choice.Action = request.Restart
			}
			return choice
		}
	}
	if req.PrefixTokens > 0 {
		// An answer inherited from another owner waits for a target with its
		// version.
		return request.Choice{Action: request.Hold, Wait: holdInterval, Reason: string(decision.Reason)}
	}
	return request.Choice{Action: request.GiveUp, Wait: defaultRetryAfter, Reason: string(decision.Reason)}
}

// placeInTurn places a request when the queue of its model admits it. A request
// that a target has already refused does not wait in the queue again.
func (p *Policy) placeInTurn(req *request.RouteRequest, d *route.Decision, now time.Time) request.Choice {
	if len(req.Losses) == 0 && req.PrefixTokens == 0 {
		item := p.itemOf(req.Spec, d)
		if choice, admitted := p.queues.admit(&item, req.Spec.Model, d.HasFreeSlot, now); !admitted {
			return choice
		}
	}
	return p.dispatch(*d)
}

func (p *Policy) choose(routeReq route.Request, now time.Time) (route.Decision, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.deps.Router.Choose(routeReq, now, p.deps.Random)
}

func (p *Policy) dispatch(d route.Decision) request.Choice {
	report, ok := p.report(d.Target)
	if !ok {
		return request.Choice{Action: request.Hold, Wait: holdInterval, Reason: reasonTargetGone}
	}
	return request.Choice{Action: request.Dispatch, Target: report, Reason: string(d.Reason)}
}

func excluded(losses []request.Loss, now time.Time) []id.Target {
	var out []id.Target
	for _, l := range losses {
		if now.Sub(l.At) < exclusionTime {
			out = append(out, l.Target.Target)
		}
	}
	return out
}

// report returns the newest report of a target.
func (p *Policy) report(name id.Target) (member.TargetReport, bool) {
	refs := p.deps.View.Snapshot().Targets
	i := sort.Search(len(refs), func(i int) bool { return refs[i].Load().Report.Target >= name })
	if i == len(refs) || refs[i].Load().Report.Target != name {
		return member.TargetReport{}, false
	}
	return refs[i].Load().Report, true
}

// Begin records the start of an attempt and returns the function that records
// its end.
func (p *Policy) Begin(t *member.TargetReport, spec *generation.Spec) func(request.Usage) {
	prompt := spec.PromptTokens()
	run := quarantine.Run{Fingerprint: spec.Fingerprint(), ID: quarantine.NewRunID(spec.Request), StartedAt: p.deps.Clock.Now()}
	p.deps.Router.Begin(t.Target, spec.Class, prompt, run.StartedAt)
	p.addRunning(t.Target, run.Fingerprint, 1)
	notRun := p.recordSend(spec, run.StartedAt)
	target, model, class := *t, spec.Model, spec.Class
	return func(u request.Usage) {
		if u.Loss != nil && !mayHaveRun(u.Loss.Kind) {
			notRun()
		}
		now := p.deps.Clock.Now()
		p.deps.Router.End(target.Target, class, prompt, now)
		p.addRunning(target.Target, run.Fingerprint, -1)
		failed := u.Loss != nil && u.Loss.Started && u.Loss.Kind != request.Invalid
		p.deps.Router.Observe(target.Target, route.Observation{Model: model, Failed: failed, Tokens: u.DecodedTokens}, now)
		p.recordAttempt(&target, run, prompt, &u)
	}
}

// Candidates returns the targets that may hold an attempt of a request for one
// of the models.
func (p *Policy) Candidates(models []id.Model) []member.TargetReport {
	var out []member.TargetReport
	for _, ref := range p.deps.View.Snapshot().Targets {
		if t := ref.Load(); slices.Contains(models, t.Report.Model) {
			out = append(out, t.Report)
		}
	}
	return out
}
