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

// State is what a plan is made from.
type State struct {
	Targets []Target
	// Demand is the number of slots that each model's work takes, as a mean
	// over some minutes.
	Demand map[id.Model]float64
}

// demandRoom is how many times its demand a model's slots should be.
const demandRoom = 1.25

// plan is one planning under way.
type plan struct {
	models  conf.Models
	targets []Target
	wanted  map[id.Model]int
	ready   map[id.Model]int
	loads   int
	out     []Decision
}

// Plan returns the orders to give now, and the changes that wait with their
// reasons. Missing replicas go before version changes, those before adapters.
func Plan(state State, models conf.Models, settings conf.Placement) []Decision {
	p := &plan{
		models:  models,
		targets: slices.Clone(state.Targets),
		wanted:  map[id.Model]int{},
		ready:   map[id.Model]int{},
		loads:   settings.MaxConcurrentLoads,
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
		p.change(&models[i])
	}
	for i := range models {
		p.adapt(&models[i])
	}
	return p.out
}

// usable reports whether t serves its model now and has no order before it.
func (t *Target) usable() bool {
	return t.Report.Service == "" && t.State == member.Ready && t.PendingOrder == nil
}

// count counts ready targets, wanted ones and loads under way.
func (p *plan) count(demand map[id.Model]float64) {
	slots := map[id.Model]int{}
	for i := range p.targets {
		t := &p.targets[i]
		if t.PendingOrder != nil && t.State != member.Gone {
			p.loads--
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
			byDemand = int(demandRoom*demand[m.Name]/float64(s)) + 1
		}
		if demand[m.Name] == 0 {
			byDemand = 0
		}
		p.wanted[m.Name] = max(m.Replicas, byDemand)
	}
}

// arriving returns the targets that are under orders to serve the model.
func (p *plan) arriving(model id.Model) int {
	n := 0
	for i := range p.targets {
		if o := p.targets[i].PendingOrder; o != nil && o.Kind == LoadModel && o.Model == model {
			n++
		}
	}
	return n
}

// fill gives the model targets of models that can spare them.
func (p *plan) fill(m *conf.Model) {
	for missing := p.wanted[m.Name] - p.ready[m.Name] - p.arriving(m.Name); missing > 0; missing-- {
		donor := p.donor(m.Name)
		if donor == nil {
			p.hold(m.Name, BlockedByMinReplicas)
			return
		}
		if !p.order(donor, LoadModel, m, "", TooFewReplicas) {
			return
		}
	}
}

// donor returns the least busy target that its model can spare: one of a model
// that nobody configured, else of the model with the largest surplus.
func (p *plan) donor(without id.Model) *Target {
	var best *Target
	surplus := 0
	for i := range p.targets {
		t := &p.targets[i]
		if !t.usable() || t.Report.Model == without {
			continue
		}
		if s := p.ready[t.Report.Model] - p.wanted[t.Report.Model]; s > surplus {
			best, surplus = t, s
		}
	}
	return best
}

// change moves targets to the configured version while enough stay ready.
func (p *plan) change(m *conf.Model) {
	if m.Version == "" {
		return
	}
	for i := range p.targets {
		t := &p.targets[i]
		if !t.usable() || t.Report.Model != m.Name || t.Report.Version == m.Version {
			continue
		}
		if p.ready[m.Name] <= m.Replicas {
			p.hold(m.Name, BlockedByMinReplicas)
			return
		}
		if !p.order(t, LoadModel, m, "", VersionChange) {
			return
		}
	}
}

// adapt loads missing adapters. A target takes work while it loads one.
func (p *plan) adapt(m *conf.Model) {
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

// order gives an order unless the weight store is at its rate.
func (p *plan) order(t *Target, kind OrderKind, m *conf.Model, a id.Adapter, reason Reason) bool {
	if p.loads <= 0 {
		p.hold(m.Name, BlockedByLoadLimit)
		return false
	}
	p.loads--
	o := newOrder(&t.Report, kind, m.Name, m.Version, a)
	if kind == LoadModel {
		p.ready[t.Report.Model]--
	}
	t.PendingOrder = o
	p.out = append(p.out, Decision{Model: m.Name, Reason: reason, Order: o})
	return true
}

func (p *plan) hold(m id.Model, reason Reason) {
	p.out = append(p.out, Decision{Model: m, Reason: reason})
}

// Done reports whether the target has carried out an order.
func (o *Order) Done(t *member.TargetReport) bool {
	if o.Kind == LoadAdapter {
		return slices.Contains(t.Adapters, o.Adapter)
	}
	return t.Model == o.Model && t.Version == o.Version && t.State == member.Ready
}

// OrderTimeout is when an order that was not carried out is given up, so that
// it no longer counts as a load.
const OrderTimeout = 15 * time.Minute
