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
	// maxRememberedOrders is the number of applied orders whose ids are kept, so
	// that an order that is sent again is not applied twice.
	maxRememberedOrders = 64
	// modelChangeTimeout is how long new attempts are refused while a model
	// change waits for running attempts and the order is not sent again.
	modelChangeTimeout = time.Minute
)

// orders applies the leader's orders one at a time. For an engine that
// ignores fencing numbers, it checks them on the engine's behalf.
type orders struct {
	p *Process

	mu sync.Mutex
	// maxFence is the highest fencing number of an accepted order.
	maxFence id.Fence
	// applied holds the ids of the last applied orders.
	applied []string
}

func newOrders(p *Process) *orders { return &orders{p: p} }

// apply applies an order. It returns the reason for a refusal, or an empty
// string if the order was applied, and the highest fencing number.
func (o *orders) apply(ctx context.Context, req *peerpb.OrderRequest) (string, id.Fence) {
	o.mu.Lock()
	defer o.mu.Unlock()
	refusal := o.decide(ctx, req)
	if refusal == "" {
		o.remember(req.GetId())
		o.p.counters.orders.Inc(1)
		o.p.emit(event.OrderApplied, "order", req.GetId(), "kind", req.GetKind(), "fence", req.GetFence(),
			"model", req.GetModel(), "version", req.GetVersion(), "adapter", req.GetAdapter(), "role", req.GetRole())
	} else {
		o.p.emit(event.OrderRefused, "order", req.GetId(), "kind", req.GetKind(), "fence", req.GetFence(),
			"highest", o.maxFence, "reason", refusal)
	}
	return refusal, o.maxFence
}

func (o *orders) remember(order string) {
	if slices.Contains(o.applied, order) {
		return
	}
	o.applied = append(o.applied, order)
	if len(o.applied) > maxRememberedOrders {
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
		if refusal := o.p.runner.beginModelChange(id.Model(req.GetModel()), id.Version(req.GetVersion())); refusal != "" {
			return refusal
		}
	}
	return o.send(ctx, req)
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

// checkFence refuses a fencing number that is no longer valid. For an engine
// that does not check fencing numbers, the lowest valid number is read from
// the key-value service for each order, because a process that has just
// started has seen no order yet, and a replaced leader may send an order
// before its successor sends its first one. The number read is not stored:
// while there is no leader, it is higher than all fencing numbers, including
// those of the next leader.
func (o *orders) checkFence(ctx context.Context, fence id.Fence) string {
	valid := o.maxFence
	if !o.p.settings.Engine.SupportsFencing {
		lowest, err := o.minFence(ctx)
		if err != nil {
			return fmt.Sprintf("the lowest valid fencing number can't be known: %v", err)
		}
		valid = max(valid, lowest)
	}
	if fence < valid {
		return fmt.Sprintf("fencing number %d is not valid, the lowest is %d", fence, valid)
	}
	o.maxFence = fence
	return ""
}

func (o *orders) minFence(ctx context.Context) (id.Fence, error) {
	if o.p.deps.MinFence == nil {
		return 0, fault.New("orders.minFence", FenceUnknown, "the process has no way to read it")
	}
	return o.p.deps.MinFence(ctx)
}

// send sends the order to the engine and updates the target's report.
func (o *orders) send(ctx context.Context, req *peerpb.OrderRequest) string {
	highest, err := o.p.runner.engine.Order(ctx, protocol.Order{
		ID: req.GetId(), Fence: req.GetFence(), Kind: req.GetKind(), Model: req.GetModel(),
		Version: req.GetVersion(), Adapter: req.GetAdapter(), Role: req.GetRole(),
	})
	if fault.Is(err, engine.Fenced) {
		o.p.runner.endModelChange()
		o.maxFence = max(o.maxFence, highest)
	}
	if err != nil {
		return err.Error()
	}
	o.p.reporter.update(func(r *member.TargetReport) { applyToReport(r, req) })
	o.p.runner.endModelChange()
	o.p.updateState(0, nil)
	return ""
}

// applyToReport changes a report as the order changed the engine.
func applyToReport(r *member.TargetReport, req *peerpb.OrderRequest) {
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

// beginModelChange starts refusing new attempts because the model is to
// change. It returns why the change has to wait, or an empty string if no
// attempt uses the old model any more.
func (r *runner) beginModelChange(model id.Model, version id.Version) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.p.reporter.snapshot()
	if now.Model == model && now.Version == version {
		return ""
	}
	r.newModel = fmt.Sprintf("%s %s", model, version)
	r.changeDeadline = r.p.deps.Clock.Now().Add(modelChangeTimeout)
	r.p.reporter.setState(member.Joining)
	if n := r.table.Queue().Running() + r.table.Queue().Waiting(); n > 0 {
		return fmt.Sprintf("%d attempts need %s %s to their end; the order may come again", n, now.Model, now.Version)
	}
	return ""
}

// changingModelLocked reports whether new attempts are refused because the
// model is to change. The caller must hold r.mu.
func (r *runner) changingModelLocked() bool {
	return r.newModel != "" && r.p.deps.Clock.Now().Before(r.changeDeadline)
}

// changingModel is changingModelLocked for callers that do not hold r.mu.
func (r *runner) changingModel() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changingModelLocked()
}

func (r *runner) endModelChange() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newModel = ""
}
