package entry

import (
	"context"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/placement"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Timing of placement.
const (
	// planEvery is the time between two plans of the leader.
	planEvery = 2 * time.Second
	// orderTimeout bounds the call that gives an order; loading itself may take
	// longer and shows in the target's report.
	orderTimeout = 10 * time.Second
	// demandSmoothing is the weight of a new count of a model's work.
	demandSmoothing = 0.02
)

// placer gives orders while this entry leads. One goroutine runs it.
type placer struct {
	process *Process
	leader  *placement.Leader
	// ordered holds the orders that were given and are not carried out yet.
	ordered map[id.Target]*given
	demand  map[id.Model]float64
	leads   bool
	renewed time.Time
	// held is what was last told to wait, so that it is logged once.
	held map[id.Model]placement.Reason
}

// given is an order and when it was given.
type given struct {
	order *placement.Order
	at    time.Time
}

// place decides on placement, while this entry leads, until ctx ends.
func (p *Process) place(ctx context.Context) {
	if p.deps.Store == nil {
		return
	}
	pl := &placer{
		process: p, leader: placement.NewLeader(p.deps.Store, p.settings.Name),
		ordered: map[id.Target]*given{}, demand: map[id.Model]float64{}, held: map[id.Model]placement.Reason{},
	}
	for ctx.Err() == nil {
		p.wait(ctx, planEvery)
		if p.deps.Current.Snapshot().Deployment.Placement.OrdersEnabled && !p.leaving.Load() {
			pl.step(ctx)
		}
	}
}

// step renews the lease when it is due, and plans when this entry leads.
func (pl *placer) step(ctx context.Context) {
	p := pl.process
	now := p.deps.Clock.Now()
	pl.count()
	if now.Sub(pl.renewed) >= placement.RenewInterval && placement.IsCandidate(p.settings.Name, p.view.Snapshot().LiveEntries()) {
		pl.renewed = now
		stepping, cancel := context.WithTimeout(ctx, storeTimeout)
		// Who does not lead learns nothing from the error.
		_ = pl.leader.RenewOrAcquire(stepping, now)
		cancel()
	}
	fence, leads := pl.leader.Fence(p.deps.Clock.Now())
	pl.tell(leads, fence)
	if leads {
		pl.plan(ctx)
	}
}

func (pl *placer) tell(leads bool, fence id.Fence) {
	switch {
	case leads && !pl.leads:
		pl.process.emit(event.LeadershipGained, "fence", fence)
	case !leads && pl.leads:
		pl.process.emit(event.LeadershipLost, "fence", fence)
	}
	pl.leads = leads
}

// count smooths the slots that each model's work takes.
func (pl *placer) count() {
	now := map[id.Model]float64{}
	for _, t := range pl.process.view.Targets() {
		if t.Report.Model != "" {
			now[t.Report.Model] += float64(t.Report.Running + t.Report.Queued)
		}
	}
	for m, n := range now {
		pl.demand[m] += demandSmoothing * (n - pl.demand[m])
	}
}

// plan makes a plan and gives its orders.
func (pl *placer) plan(ctx context.Context) {
	p := pl.process
	state := placement.State{Demand: pl.demand}
	for _, t := range p.view.Targets() {
		if t.Report.Model != "" {
			state.Targets = append(state.Targets, placement.Target{
				Report: t.Report, State: t.State, PendingOrder: pl.waiting(&t.Report),
			})
		}
	}
	d := &p.deps.Current.Snapshot().Deployment
	for _, decision := range placement.Plan(state, d.Models, d.Placement) {
		if decision.Order == nil {
			pl.hold(&decision)
			continue
		}
		delete(pl.held, decision.Model)
		pl.give(ctx, &decision)
	}
}

// waiting returns the order that a target has not carried out yet.
func (pl *placer) waiting(t *member.TargetReport) *placement.Order {
	g := pl.ordered[t.Target]
	if g == nil {
		return nil
	}
	if g.order.Done(t) || pl.process.deps.Clock.Since(g.at) > placement.OrderTimeout {
		delete(pl.ordered, t.Target)
		return nil
	}
	return g.order
}

func (pl *placer) hold(d *placement.Decision) {
	if pl.held[d.Model] == d.Reason {
		return
	}
	pl.held[d.Model] = d.Reason
	pl.process.emit(event.PlacementBlocked, "model", d.Model, "reason", d.Reason)
}

// give gives one order with the fencing number that holds now.
func (pl *placer) give(ctx context.Context, d *placement.Decision) {
	p := pl.process
	fence, leads := pl.leader.Fence(p.deps.Clock.Now())
	if !leads {
		return
	}
	order := d.Order.WithFence(fence)
	p.emit(event.PlacementChosen, "order", order.ID, "target", order.Target, "kind", order.Kind, "model", order.Model,
		"version", order.Version, "adapter", order.Adapter, "fence", fence, "reason", d.Reason)
	report, ok := p.view.TargetReport(order.Target)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := p.calls.Order(ctx, &report, &order)
	if err != nil || !reply.GetApplied() {
		p.emit(event.OrderRefused, "order", order.ID, "target", order.Target, "refusal", reply.GetRefusal(), "error", err)
		if err == nil {
			return
		}
	}
	// An order whose answer is lost may be under way.
	pl.ordered[order.Target] = &given{order: &order, at: p.deps.Clock.Now()}
}
