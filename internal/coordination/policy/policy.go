// Package policy puts the decisions of routing and recovery together for the
// owner of requests.
//
// # Usage
//
//	p := policy.New(policy.Tools{View: view, Router: router, …})
//	desk := request.NewDesk(cfg, link, peers, p.Owner(), gate)
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
	// holdEvery is the time between two looks for a target.
	holdEvery = 200 * time.Millisecond
	// comeBack is when a caller that found no target may come back.
	comeBack = time.Second
	// holdLimit is how long a request that has begun waits for a target when
	// it has no deadline.
	holdLimit = 2 * time.Minute
	// excludeFor is how long a target that lost or refused a request is not
	// asked again for it.
	excludeFor = 2 * time.Second
)

// Reasons that only this package gives.
const (
	// reasonQuarantined means that the request kills targets.
	reasonQuarantined = "quarantined"
	// reasonSuspect means that another suspect must end first.
	reasonSuspect = "suspect"
	// reasonTargetGone means that the chosen target left meanwhile.
	reasonTargetGone = "targetGone"
	// reasonTooLong means that no target came within the time to wait.
	reasonTooLong = "tooLong"
)

// Dependencies is what a policy works with. All are set.
type Dependencies struct {
	View   *member.View
	Router *route.Router
	Clock  clockwork.Clock
	// Conf returns the configuration in force.
	Conf func() *conf.Snapshot
	// Random is owned by the policy.
	Random *rand.Rand
	Log    *event.Log
	// OnQuarantine is called before a request is given up because it kills targets, so
	// that others know it before its caller can send it again; nil does nothing.
	OnQuarantine func()
}

// Policy decides for the owner of requests. It is safe for concurrent use.
type Policy struct {
	tools  Dependencies
	queues *queues

	mu    sync.Mutex
	retry *recovery.Budget
	hedge *recovery.Budget
	kills *quarantine.Tracker
	// running counts the fingerprints that run at each target.
	running map[id.Target]map[id.Fingerprint]int
}

// New returns a policy.
func New(tools Dependencies) *Policy {
	now := tools.Clock.Now()
	r := &tools.Conf().Deployment.Recovery
	return &Policy{
		tools:   tools,
		queues:  newQueues(),
		retry:   recovery.NewBudget(recovery.RetryBudget(r.RetryShare), now),
		hedge:   recovery.NewBudget(recovery.HedgeBudget(r.HedgeShare), now),
		kills:   quarantine.New(quarantineConfig(r)),
		running: map[id.Target]map[id.Fingerprint]int{},
	}
}

// Configure takes over a new configuration.
func (p *Policy) Configure(d *conf.Deployment) {
	p.tools.Router.SetHeadroom(d.Routing.HeadroomShare)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retry.SetShare(d.Recovery.RetryShare)
	p.hedge.SetShare(d.Recovery.HedgeShare)
	p.kills.Configure(quarantineConfig(&d.Recovery))
}

func quarantineConfig(r *conf.Recovery) quarantine.Config {
	return quarantine.Config{KillThreshold: r.QuarantineThreshold, QuarantineTime: r.QuarantineTime.Std()}
}

// RequestPolicy returns the policy as the owner of requests calls it.
func (p *Policy) RequestPolicy() request.Policy {
	return request.Policy{Route: p.Place, AttemptStarted: p.Begin, NewStallDetector: p.Watch, Candidates: p.Candidates, RequestEnded: p.End}
}

// Place decides on the next attempt of a generation.
func (p *Policy) Place(place request.RouteRequest, now time.Time) request.Choice {
	if choice, stop := p.judge(&place, now); stop {
		if choice.Reason == reasonQuarantined && p.tools.OnQuarantine != nil {
			p.tools.OnQuarantine()
		}
		return choice
	}
	if loss := place.LastStarted(); loss != nil {
		return p.recover(&place, loss, now)
	}
	return p.first(&place, now)
}

// first decides on a target of a request that no engine has seen.
func (p *Policy) first(place *request.RouteRequest, now time.Time) request.Choice {
	spec := place.Spec
	ask := route.Request{
		Model: spec.Model, Version: spec.Version, Adapter: spec.Adapter, Class: spec.Class,
		PromptTokens: spec.PromptTokens() + int(place.PrefixTokens),
		OutputTokens: spec.MaxTokens - int(place.PrefixTokens),
		Exclude:      append(excluded(place.Losses, now), p.apart(spec.Fingerprint())...),
	}
	decision, ok := p.choose(ask, now)
	if ok {
		return p.goInTurn(place, &decision, now)
	}
	if place.MayRestart && decision.Reason == route.NoReplica {
		ask.Version = ""
		if other, ok := p.choose(ask, now); ok {
			choice := p.goTo(other)
			if choice.Action == request.Dispatch {
				choice.Action = request.Restart
			}
			return choice
		}
	}
	if place.PrefixTokens > 0 {
		// An inherited answer waits for a target with its version.
		return request.Choice{Action: request.Hold, Wait: holdEvery, Reason: string(decision.Reason)}
	}
	return request.Choice{Action: request.GiveUp, Wait: comeBack, Reason: string(decision.Reason)}
}

// goInTurn sends a request on when it is its turn. One that has been refused by
// a target keeps its turn.
func (p *Policy) goInTurn(place *request.RouteRequest, d *route.Decision, now time.Time) request.Choice {
	if len(place.Losses) == 0 && place.PrefixTokens == 0 {
		item := p.itemOf(place.Spec, d)
		if choice, goes := p.queues.turn(&item, place.Spec.Model, d.HasFreeSlot, now); !goes {
			return choice
		}
	}
	return p.goTo(*d)
}

func (p *Policy) choose(ask route.Request, now time.Time) (route.Decision, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tools.Router.Choose(ask, now, p.tools.Random)
}

func (p *Policy) goTo(d route.Decision) request.Choice {
	report, ok := p.report(d.Target)
	if !ok {
		return request.Choice{Action: request.Hold, Wait: holdEvery, Reason: reasonTargetGone}
	}
	return request.Choice{Action: request.Dispatch, Target: report, Reason: string(d.Reason)}
}

func excluded(losses []request.Loss, now time.Time) []id.Target {
	var out []id.Target
	for _, l := range losses {
		if now.Sub(l.At) < excludeFor {
			out = append(out, l.Target.Target)
		}
	}
	return out
}

// report returns the newest report of a target.
func (p *Policy) report(name id.Target) (member.TargetReport, bool) {
	slots := p.tools.View.Snapshot().Targets
	i := sort.Search(len(slots), func(i int) bool { return slots[i].Load().Report.Target >= name })
	if i == len(slots) || slots[i].Load().Report.Target != name {
		return member.TargetReport{}, false
	}
	return slots[i].Load().Report, true
}

// Begin counts an attempt.
func (p *Policy) Begin(t *member.TargetReport, spec *generation.Spec) func(request.Usage) {
	prompt := spec.PromptTokens()
	sum := spec.Fingerprint()
	p.tools.Router.Begin(t.Target, spec.Class, prompt, p.tools.Clock.Now())
	p.runs(t.Target, sum, 1)
	target, model, class := *t, spec.Model, spec.Class
	return func(u request.Usage) {
		now := p.tools.Clock.Now()
		p.tools.Router.End(target.Target, class, prompt, now)
		p.runs(target.Target, sum, -1)
		failed := u.Loss != nil && u.Loss.Started && u.Loss.Kind != request.Invalid
		p.tools.Router.Observe(target.Target, route.Observation{Model: model, Failed: failed, Tokens: u.DecodedTokens}, now)
		p.account(&target, sum, prompt, &u)
	}
}

// Candidates returns the targets that may hold a request of the models.
func (p *Policy) Candidates(models []id.Model) []member.TargetReport {
	var out []member.TargetReport
	for _, slot := range p.tools.View.Snapshot().Targets {
		if t := slot.Load(); slices.Contains(models, t.Report.Model) {
			out = append(out, t.Report)
		}
	}
	return out
}
