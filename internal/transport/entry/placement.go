package entry

import (
	"context"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/placement"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/timing"
)

// Timing of placement.
const (
	// planInterval is the time between two planning rounds of the leader.
	planInterval = 2 * time.Second
	// orderTimeout limits the call that sends an order. Loading a model may take
	// longer; its progress shows in the target's report.
	orderTimeout = 10 * time.Second
	// demandSmoothing is the weight of a new sample in the moving average of a
	// model's demand.
	demandSmoothing = 0.02
)

// placer sends placement orders while this entry is the leader. It is not safe for
// concurrent use.
type placer struct {
	process *Process
	leader  *placement.Leader
	// sentOrders holds the orders that were sent and are not carried out yet.
	sentOrders map[id.Target]*sentOrder
	demand     map[id.Model]float64
	leading    bool
	renewedAt  time.Time
	// blocked holds the reason last logged for each model whose change cannot be
	// ordered, so that the same reason is not logged again.
	blocked map[id.Model]placement.Reason
}

// sentOrder is an order and when it was sent.
type sentOrder struct {
	order  *placement.Order
	sentAt time.Time
}

// runPlacement takes part in the leader election and plans the placement of models
// while this entry is the leader, until ctx ends.
func (p *Process) runPlacement(ctx context.Context) {
	if p.deps.Store == nil {
		return
	}
	pl := &placer{
		process: p, leader: placement.NewLeader(p.deps.Store, p.settings.Name),
		sentOrders: map[id.Target]*sentOrder{}, demand: map[id.Model]float64{}, blocked: map[id.Model]placement.Reason{},
	}
	for ctx.Err() == nil {
		timing.Sleep(ctx, p.deps.Clock, planInterval)
		if p.deps.Current.Snapshot().Deployment.Placement.OrdersEnabled && !p.leaving.Load() {
			pl.step(ctx)
		}
	}
}

// step renews the leader lease when it is due, and plans if this entry is the
// leader.
func (pl *placer) step(ctx context.Context) {
	p := pl.process
	now := p.deps.Clock.Now()
	pl.updateDemand()
	if now.Sub(pl.renewedAt) >= placement.RenewInterval && placement.IsCandidate(p.settings.Name, p.view.Snapshot().LiveEntries()) {
		pl.renewedAt = now
		renewCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		// The error is ignored, because Fence below tells whether this entry leads.
		_ = pl.leader.RenewOrAcquire(renewCtx, now)
		cancel()
	}
	fence, leads := pl.leader.Fence(p.deps.Clock.Now())
	pl.logLeadership(leads, fence)
	if leads {
		pl.plan(ctx)
	}
}

func (pl *placer) logLeadership(leads bool, fence id.Fence) {
	switch {
	case leads && !pl.leading:
		pl.process.emit(event.LeadershipGained, "fence", fence)
	case !leads && pl.leading:
		pl.process.emit(event.LeadershipLost, "fence", fence)
	}
	pl.leading = leads
}

// updateDemand updates the moving average of the slots that each model's requests
// need.
func (pl *placer) updateDemand() {
	current := map[id.Model]float64{}
	for _, t := range pl.process.view.Targets() {
		if t.Report.Model != "" {
			current[t.Report.Model] += float64(t.Report.Running + t.Report.Queued)
		}
	}
	for m, n := range current {
		pl.demand[m] += demandSmoothing * (n - pl.demand[m])
	}
}

// plan plans the placement of models and sends the orders.
func (pl *placer) plan(ctx context.Context) {
	p := pl.process
	state := placement.State{Demand: pl.demand}
	for _, t := range p.view.Targets() {
		if t.Report.Model != "" {
			state.Targets = append(state.Targets, placement.Target{
				Report: t.Report, State: t.State, PendingOrder: pl.pendingOrder(&t.Report),
			})
		}
	}
	d := &p.deps.Current.Snapshot().Deployment
	for _, decision := range placement.Plan(state, d.Models, d.Placement) {
		if decision.Order == nil {
			pl.logBlocked(&decision)
			continue
		}
		delete(pl.blocked, decision.Model)
		pl.sendOrder(ctx, &decision)
	}
}

// pendingOrder returns the order that a target has not carried out yet, or nil.
func (pl *placer) pendingOrder(t *member.TargetReport) *placement.Order {
	sent := pl.sentOrders[t.Target]
	if sent == nil {
		return nil
	}
	if sent.order.Done(t) || pl.process.deps.Clock.Since(sent.sentAt) > placement.OrderTimeout {
		delete(pl.sentOrders, t.Target)
		return nil
	}
	return sent.order
}

func (pl *placer) logBlocked(d *placement.Decision) {
	if pl.blocked[d.Model] == d.Reason {
		return
	}
	pl.blocked[d.Model] = d.Reason
	pl.process.emit(event.PlacementBlocked, "model", d.Model, "reason", d.Reason)
}

// sendOrder sends one order with the current fencing number.
func (pl *placer) sendOrder(ctx context.Context, d *placement.Decision) {
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
	reply, err := p.serviceClient.Order(ctx, &report, &order)
	if err != nil || !reply.GetApplied() {
		p.emit(event.OrderRefused, "order", order.ID, "target", order.Target, "refusal", reply.GetRefusal(), "error", err)
		if err == nil {
			return
		}
	}
	// The target may carry out an order whose reply was lost.
	pl.sentOrders[order.Target] = &sentOrder{order: &order, sentAt: p.deps.Clock.Now()}
}
