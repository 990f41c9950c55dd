// Package placement decides which model, version, adapters and role each target
// serves.
//
// One entry decides at a time, the leader: it holds a lease in the key-value
// service, and the revision of its write there is the fencing number of its
// orders. A plan is a pure function of the view, the configuration and the
// demand, so a new leader continues where the old one stopped. An order's id is
// derived from its content, so giving it twice changes nothing.
//
// A target that is to load a new version finishes its generations first: its
// process accepts no new requests, and loads when none is left. During that
// time the target is not ready. Plan takes that into account, so an order never
// brings a model's ready targets below the configured number.
//
// # Usage
//
//	fence, leading := leader.Fence(now)
//	if !leading { return }
//	for _, d := range placement.Plan(state, deployment.Models, deployment.Placement) {
//		log.Emit(…, "reason", d.Reason)
//		if d.Order != nil { send(d.Order.WithFence(fence)) }
//	}
package placement

import (
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Kind is the kind of this package's errors.
type Kind string

// Kinds of errors.
const (
	// NotLeader means that another process is the leader.
	NotLeader Kind = "notLeader"
	// Unavailable means that the key-value service does not answer.
	Unavailable Kind = "unavailable"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// OrderKind says what an order changes.
type OrderKind string

// Kinds of orders, by the engines' names for them.
const (
	LoadModel   OrderKind = "load_model"
	LoadAdapter OrderKind = "load_adapter"
)

// OrderID identifies an order by its content.
type OrderID string

// Order says what a target is to serve.
type Order struct {
	ID      OrderID
	Fence   id.Fence
	Target  id.Target
	Kind    OrderKind
	Model   id.Model
	Version id.Version
	Adapter id.Adapter
	Role    member.Role
}

// newOrder returns an order with its id. The id covers the target's
// incarnation, since an engine that was restarted has lost what it had loaded.
func newOrder(t *member.TargetReport, kind OrderKind, m id.Model, v id.Version, a id.Adapter) *Order {
	o := &Order{Target: t.Target, Kind: kind, Model: m, Version: v, Adapter: a, Role: t.Role}
	content := id.FingerprintOf(string(o.Target), time.UnixMilli(int64(t.Incarnation)).UTC().String(),
		string(kind), string(m), string(v), string(a))
	o.ID = OrderID("order-" + content.String())
	return o
}

// WithFence returns a copy of the order with the leader's fencing number.
func (o Order) WithFence(fence id.Fence) Order {
	o.Fence = fence
	return o
}

// Reason says why a target got an order, or why none was given.
type Reason string

// Reasons of decisions.
const (
	// TooFewReplicas means that the model has fewer ready targets than wanted.
	TooFewReplicas Reason = "tooFewReplicas"
	// VersionChange means that the target serves another version than
	// configured.
	VersionChange Reason = "versionChange"
	// AdapterMissing means that the target lacks an adapter.
	AdapterMissing Reason = "adapterMissing"
	// BlockedByLoadLimit means that the limit on concurrent loads is reached.
	BlockedByLoadLimit Reason = "heldByLoads"
	// BlockedByMinReplicas means that no model can spare a target.
	BlockedByMinReplicas Reason = "heldByReplicas"
)

// Decision is one decision about a model. Order is nil if the change has to
// wait.
type Decision struct {
	Model  id.Model
	Reason Reason
	Order  *Order
}
