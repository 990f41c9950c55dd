package target

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	protocol "foxtailward.example/foxtailward/internal/protocol/engine"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/engine"
)

// Kinds of orders.
const (
	loadModel   = "load_model"
	loadAdapter = "load_adapter"
	setRole     = "set_role"
)

const (
	// maxOrders is the number of applied orders that are remembered, so that
	// one that comes again is not carried out again.
	maxOrders = 64
	// changeTime is how long new attempts are refused for a model change that
	// waits and does not come again.
	changeTime = time.Minute
)

// orders carries out the leader's orders one after the other. Beside an engine
// that ignores fencing numbers, it is the fence.
type orders struct {
	p *Process

	mu sync.Mutex
	// highest is the highest fencing number of an order that was taken.
	highest id.Fence
	// applied lists the ids of the orders that were carried out.
	applied []string
}

func newOrders(p *Process) *orders { return &orders{p: p} }

// apply carries out an order and returns why it did not; empty when it did.
func (o *orders) apply(ctx context.Context, req *peerpb.OrderRequest) (string, id.Fence) {
	o.mu.Lock()
	defer o.mu.Unlock()
	refusal := o.decide(ctx, req)
	if refusal == "" {
		o.remember(req.GetId())
		o.p.meters.orders.Inc(1)
		o.p.emit(event.OrderApplied, "order", req.GetId(), "kind", req.GetKind(), "fence", req.GetFence(),
			"model", req.GetModel(), "version", req.GetVersion(), "adapter", req.GetAdapter(), "role", req.GetRole())
	} else {
		o.p.emit(event.OrderRefused, "order", req.GetId(), "kind", req.GetKind(), "fence", req.GetFence(),
			"highest", o.highest, "reason", refusal)
	}
	return refusal, o.highest
}

func (o *orders) remember(order string) {
	if slices.Contains(o.applied, order) {
		return
	}
	o.applied = append(o.applied, order)
	if len(o.applied) > maxOrders {
		o.applied = slices.Delete(o.applied, 0, 1)
	}
}

func (o *orders) decide(ctx context.Context, req *peerpb.OrderRequest) string {
	if refusal := checkOrder(req); refusal != "" {
		return refusal
	}
	if refusal := o.checkFence(ctx, id.Fence(req.GetFence())); refusal != "" {
		return refusal
	}
	if slices.Contains(o.applied, req.GetId()) {
		return ""
	}
	if req.GetKind() == loadModel {
		if refusal := o.p.runner.beginChange(id.Model(req.GetModel()), id.Version(req.GetVersion())); refusal != "" {
			return refusal
		}
	}
	return o.give(ctx, req)
}

func checkOrder(req *peerpb.OrderRequest) string {
	switch {
	case req.GetId() == "":
		return "the order has no id"
	case req.GetFence() < 1:
		return "the order has no fencing number"
	case req.GetKind() == loadModel && (req.GetModel() == "" || req.GetVersion() == ""):
		return "the order names no model or no version"
	case req.GetKind() == loadAdapter && req.GetAdapter() == "":
		return "the order names no adapter"
	case req.GetKind() == setRole && !validRole(member.Role(req.GetRole())):
		return fmt.Sprintf("role is %q, want mixed, prefill or decode", req.GetRole())
	case req.GetKind() != loadModel && req.GetKind() != loadAdapter && req.GetKind() != setRole:
		return fmt.Sprintf("kind is %q, want load_model, load_adapter or set_role", req.GetKind())
	}
	return ""
}

func validRole(r member.Role) bool {
	return r == member.Mixed || r == member.Prefill || r == member.Decode
}

// checkFence refuses a number that a leader no longer holds. Beside an engine
// that checks no numbers, the lowest valid one is read each time: a process
// that has just started has seen none, and a leader that was replaced may give
// its order before its successor gives the first. What was read is not kept:
// while nobody leads it is above all numbers, also those of the next leader.
func (o *orders) checkFence(ctx context.Context, fence id.Fence) string {
	valid := o.highest
	if !o.p.settings.Engine.SupportsFencing {
		lowest, err := o.lowest(ctx)
		if err != nil {
			return fmt.Sprintf("the lowest valid fencing number can't be known: %v", err)
		}
		valid = max(valid, lowest)
	}
	if fence < valid {
		return fmt.Sprintf("fencing number %d is not valid, the lowest is %d", fence, valid)
	}
	o.highest = fence
	return ""
}

func (o *orders) lowest(ctx context.Context) (id.Fence, error) {
	if o.p.deps.MinFence == nil {
		return 0, fault.New("orders.lowest", FenceUnknown, "the process has no way to read it")
	}
	return o.p.deps.MinFence(ctx)
}

// give sends the order to the engine and puts its effect into the reports.
func (o *orders) give(ctx context.Context, req *peerpb.OrderRequest) string {
	seen, err := o.p.runner.engine.Order(ctx, protocol.Order{
		ID: req.GetId(), Fence: req.GetFence(), Kind: req.GetKind(), Model: req.GetModel(),
		Version: req.GetVersion(), Adapter: req.GetAdapter(), Role: req.GetRole(),
	})
	if fault.Is(err, engine.Fenced) {
		o.p.runner.endChange()
		o.highest = max(o.highest, seen)
	}
	if err != nil {
		return err.Error()
	}
	o.p.reporter.change(func(r *member.TargetReport) { effect(r, req) })
	o.p.runner.endChange()
	o.p.judge(0, nil)
	return ""
}

// effect changes a report as the order changed the engine.
func effect(r *member.TargetReport, req *peerpb.OrderRequest) {
	switch req.GetKind() {
	case loadModel:
		r.Model, r.Version, r.Adapters = id.Model(req.GetModel()), id.Version(req.GetVersion()), nil
	case loadAdapter:
		if !slices.Contains(r.Adapters, id.Adapter(req.GetAdapter())) {
			r.Adapters = append(slices.Clone(r.Adapters), id.Adapter(req.GetAdapter()))
		}
	case setRole:
		r.Role = member.Role(req.GetRole())
	}
}

// beginChange refuses new attempts for a change of the model, and returns why
// the change must wait; empty when no attempt needs the old one any more.
func (r *runner) beginChange(model id.Model, version id.Version) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.p.reporter.served()
	if now.Model == model && now.Version == version {
		return ""
	}
	r.changing = fmt.Sprintf("%s %s", model, version)
	r.changeUntil = r.p.deps.Clock.Now().Add(changeTime)
	r.p.reporter.setState(member.Joining)
	if n := r.table.Queue().Running() + r.table.Queue().Waiting(); n > 0 {
		return fmt.Sprintf("%d attempts need %s %s to their end; the order may come again", n, now.Model, now.Version)
	}
	return ""
}

// isChanging reports whether new attempts are refused for a change of the
// model. It is called under the lock.
func (r *runner) isChanging() bool {
	return r.changing != "" && r.p.deps.Clock.Now().Before(r.changeUntil)
}

// changes reports whether the target takes no work for a change of its model.
func (r *runner) changes() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isChanging()
}

func (r *runner) endChange() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changing = ""
}
