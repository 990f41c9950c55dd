package placement

import (
	"cmp"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Target is an engine as the leader knows it.
type Target struct {
	Report member.TargetReport
	State  member.State
	// PendingOrder is the order that the target has not carried out yet.
	PendingOrder *Order
}

// State is the input of a plan.
type State struct {
	Targets []Target
	// Demand is the mean number of slots that each model's requests occupied
	// over the last minutes.
	Demand map[id.Model]float64
}

// demandFactor is the ratio of a model's slots to its demand that a plan aims
// at.
const demandFactor = 1.25

// plan is the state of one call of Plan.
type plan struct {
	models    conf.Models
	targets   []Target
	wanted    map[id.Model]int
	ready     map[id.Model]int
	loadsLeft int
	decisions []Decision
}

// Plan returns the orders to give now, and the changes that have to wait with
// their reasons. Missing replicas go before version changes, and those before
// adapters.
func Plan(state State, models conf.Models, settings conf.Placement) []Decision {
	p := &plan{
		models:    models,
		targets:   slices.Clone(state.Targets),
		wanted:    map[id.Model]int{},
		ready:     map[id.Model]int{},
		loadsLeft: settings.MaxConcurrentLoads,
	}
	slices.SortFunc(p.targets, func(a, b Target) int {
		return cmp.Or(cmp.Compare(a.Report.Running+a.Report.Queued, b.Report.Running+b.Report.Queued),
			cmp.Compare(a.Report.Target, b.Report.Target))
	})
	p.count(state.Demand)
	for i := range models {
		p.fill(&models[i])
	}
	for i := range models {
		p.changeVersion(&models[i])
	}
	for i := range models {
		p.loadAdapters(&models[i])
	}
	return p.decisions
}

// usable reports whether t serves a model now and has no pending order.
func (t *Target) usable() bool {
	return t.Report.Service == "" && t.State == member.Ready && t.PendingOrder == nil
}

// count computes the ready and the wanted targets of each model, and how many
// more loads may start.
func (p *plan) count(demand map[id.Model]float64) {
	slots := map[id.Model]int{}
	for i := range p.targets {
		t := &p.targets[i]
		if t.PendingOrder != nil && t.State != member.Gone {
			p.loadsLeft--
		}
		if t.usable() {
			p.ready[t.Report.Model]++
			slots[t.Report.Model] = max(slots[t.Report.Model], t.Report.Slots)
		}
	}
	for i := range p.models {
		m := &p.models[i]
		byDemand := 0
		if s := slots[m.Name]; s > 0 {
			byDemand = int(demandFactor*demand[m.Name]/float64(s)) + 1
		}
		if demand[m.Name] == 0 {
			byDemand = 0
		}
		p.wanted[m.Name] = max(m.Replicas, byDemand)
	}
}

// arriving returns the number of targets with a pending order to load the
// model.
func (p *plan) arriving(model id.Model) int {
	n := 0
	for i := range p.targets {
		if o := p.targets[i].PendingOrder; o != nil && o.Kind == LoadModel && o.Model == model {
			n++
		}
	}
	return n
}

// fill assigns targets of other models to a model with too few, as far as those
// can be spared.
func (p *plan) fill(m *conf.Model) {
	for missing := p.wanted[m.Name] - p.ready[m.Name] - p.arriving(m.Name); missing > 0; missing-- {
		donor := p.donor(m.Name)
		if donor == nil {
			p.postpone(m.Name, BlockedByMinReplicas)
			return
		}
		if !p.order(donor, LoadModel, m, "", TooFewReplicas) {
			return
		}
	}
}

// donor returns the least loaded target of the model with the largest surplus,
// or nil. All targets of a model that is not configured are surplus.
func (p *plan) donor(recipient id.Model) *Target {
	var best *Target
	surplus := 0
	for i := range p.targets {
		t := &p.targets[i]
		if !t.usable() || t.Report.Model == recipient {
			continue
		}
		if s := p.ready[t.Report.Model] - p.wanted[t.Report.Model]; s > surplus {
			best, surplus = t, s
		}
	}
	return best
}

// changeVersion moves targets to the configured version while enough stay ready.
func (p *plan) changeVersion(m *conf.Model) {
	if m.Version == "" {
		return
	}
	for i := range p.targets {
		t := &p.targets[i]
		if !t.usable() || t.Report.Model != m.Name || t.Report.Version == m.Version {
			continue
		}
		if p.ready[m.Name] <= m.Replicas {
			p.postpone(m.Name, BlockedByMinReplicas)
			return
		}
		if !p.order(t, LoadModel, m, "", VersionChange) {
			return
		}
	}
}

// loadAdapters loads missing adapters. A target accepts requests while it loads
// one.
func (p *plan) loadAdapters(m *conf.Model) {
	for i := range p.targets {
		t := &p.targets[i]
		if !t.usable() || t.Report.Model != m.Name || (m.Version != "" && t.Report.Version != m.Version) {
			continue
		}
		for _, a := range m.Adapters {
			if !slices.Contains(t.Report.Adapters, a) {
				if !p.order(t, LoadAdapter, m, a, AdapterMissing) {
					return
				}
				break
			}
		}
	}
}

// order gives an order, unless the limit on concurrent loads, which protects
// the weight store, is reached.
func (p *plan) order(t *Target, kind OrderKind, m *conf.Model, a id.Adapter, reason Reason) bool {
	if p.loadsLeft <= 0 {
		p.postpone(m.Name, BlockedByLoadLimit)
		return false
	}
	p.loadsLeft--
	o := newOrder(&t.Report, kind, m.Name, m.Version, a)
	if kind == LoadModel {
		p.ready[t.Report.Model]--
	}
	t.PendingOrder = o
	p.decisions = append(p.decisions, Decision{Model: m.Name, Reason: reason, Order: o})
	return true
}

func (p *plan) postpone(m id.Model, reason Reason) {
	p.decisions = append(p.decisions, Decision{Model: m, Reason: reason})
}

// Done reports whether the target has carried out the order.
func (o *Order) Done(t *member.TargetReport) bool {
	if o.Kind == LoadAdapter {
		return slices.Contains(t.Adapters, o.Adapter)
	}
	return t.Model == o.Model && t.Version == o.Version && t.State == member.Ready
}

// OrderTimeout is the time after which an order that was not carried out is
// dropped, so that it no longer counts as a load.
const OrderTimeout = 15 * time.Minute
