// Package policy puts the decisions of routing and recovery together for the
// owner of requests.
//
// # Usage
//
//	p := policy.New(policy.Config{…}, view, router, clock, rng)
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
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/coordination/route"
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
)

// Policy decides for the owner of requests. It is safe for concurrent use.
type Policy struct {
	view   *member.View
	router *route.Router
	clock  clockwork.Clock

	mu  sync.Mutex
	rng *rand.Rand
}

// New returns a policy over the view and the router. It owns rng.
func New(view *member.View, router *route.Router, clock clockwork.Clock, rng *rand.Rand) *Policy {
	return &Policy{view: view, router: router, clock: clock, rng: rng}
}

// Owner returns the policy as the owner of requests calls it.
func (p *Policy) Owner() request.Policy {
	return request.Policy{Place: p.Place, Begin: p.Begin, Watch: p.Watch, Candidates: p.Candidates}
}

// Place decides on the next attempt of a generation.
func (p *Policy) Place(place request.Placement, now time.Time) request.Choice {
	spec := place.Spec
	ask := route.Ask{
		Model: spec.Model, Version: spec.Version, Adapter: spec.Adapter, Class: spec.Class,
		Prompt:  spec.PromptTokens() + int(place.Prefix),
		Tokens:  spec.MaxTokens - int(place.Prefix),
		Exclude: excluded(place.Losses, now),
	}
	if n := len(place.Losses); n > 0 && place.Losses[n-1].Started {
		ask.AvoidZone = place.Losses[n-1].Target.Place.Zone
	}
	decision, ok := p.choose(ask, now)
	if ok {
		return p.goTo(decision)
	}
	if place.MayRestart && decision.Reason == route.NoReplica {
		ask.Version = ""
		if other, ok := p.choose(ask, now); ok {
			choice := p.goTo(other)
			choice.Action = request.Restart
			return choice
		}
	}
	return p.none(&place, decision.Reason, now)
}

func (p *Policy) choose(ask route.Ask, now time.Time) (route.Decision, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.router.Choose(ask, now, p.rng)
}

func (p *Policy) goTo(d route.Decision) request.Choice {
	report, ok := p.report(d.Target)
	if !ok {
		return request.Choice{Action: request.Hold, Wait: holdEvery, Reason: "targetGone"}
	}
	return request.Choice{Action: request.Go, Target: report, Reason: string(d.Reason)}
}

// none decides when no target can take an attempt: a request that no engine
// has seen is refused at once, one that has begun waits.
func (p *Policy) none(place *request.Placement, reason route.Reason, now time.Time) request.Choice {
	begun, since := began(place.Losses)
	if !begun && place.Prefix == 0 {
		return request.Choice{Action: request.GiveUp, Wait: comeBack, Reason: string(reason)}
	}
	if !since.IsZero() && now.Sub(since) > holdLimit {
		return request.Choice{Action: request.GiveUp, Wait: comeBack, Reason: string(reason)}
	}
	return request.Choice{Action: request.Hold, Wait: holdEvery, Reason: string(reason)}
}

// began reports whether an engine may have seen the request, and since when
// the last of them is lost.
func began(losses []request.Loss) (bool, time.Time) {
	for _, l := range slices.Backward(losses) {
		if l.Started {
			return true, l.At
		}
	}
	return false, time.Time{}
}

// excludeFor is how long a target that lost or refused a request is not asked
// again for it.
const excludeFor = 2 * time.Second

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
	slots := p.view.Snapshot().Targets
	i := sort.Search(len(slots), func(i int) bool { return slots[i].Load().Report.Target >= name })
	if i == len(slots) || slots[i].Load().Report.Target != name {
		return member.TargetReport{}, false
	}
	return slots[i].Load().Report, true
}

// Begin counts an attempt.
func (p *Policy) Begin(t *member.TargetReport, spec *generation.Spec) func(request.Usage) {
	prompt := spec.PromptTokens()
	p.router.Begin(t.Target, spec.Class, prompt, p.clock.Now())
	target, model, class := t.Target, spec.Model, spec.Class
	return func(u request.Usage) {
		now := p.clock.Now()
		p.router.End(target, class, prompt, now)
		failed := u.Loss != nil && u.Loss.Started && u.Loss.Kind != request.Invalid
		p.router.Observe(target, route.Observation{Model: model, Failed: failed, Tokens: u.Decoded}, now)
	}
}

// Candidates returns the targets that may hold a request of the models.
func (p *Policy) Candidates(models []id.Model) []member.TargetReport {
	var out []member.TargetReport
	for _, slot := range p.view.Snapshot().Targets {
		if t := slot.Load(); slices.Contains(models, t.Report.Model) {
			out = append(out, t.Report)
		}
	}
	return out
}
