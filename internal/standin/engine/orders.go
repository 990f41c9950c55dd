package engine

import (
	"encoding/json"
	"io"
	"net/http"

	protocol "foxtailward.example/foxtailward/internal/protocol/engine"
)

// Kinds of orders.
const (
	orderModel   = "load_model"
	orderAdapter = "load_adapter"
	orderRole    = "set_role"
)

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order protocol.Order
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(body, &order)
	}
	if err != nil || !validOrder(&order) {
		fail(w, http.StatusBadRequest, failInvalid, "the order is not valid")
		return
	}
	e.loading.Lock()
	defer e.loading.Unlock()
	life := e.life.Load()
	result, fresh := e.accept(&order)
	if !result.Applied {
		reply(w, http.StatusConflict, result)
		return
	}
	if fresh {
		e.clock.Sleep(e.opts.Costs.Order)
		e.carryOut(&order, life)
	}
	reply(w, http.StatusOK, result)
}

func validOrder(o *protocol.Order) bool {
	switch o.Kind {
	case orderModel:
		return o.ID != "" && o.Model != "" && o.Version != ""
	case orderAdapter:
		return o.ID != "" && o.Adapter != ""
	case orderRole:
		return o.ID != "" && o.Role != ""
	}
	return false
}

// accept checks the order's fence. It reports whether the order is new; one
// that was carried out before is answered the same way.
func (e *Engine) accept(o *protocol.Order) (result protocol.OrderResult, fresh bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence && !e.faults.ignoreFence {
		return protocol.OrderResult{Fence: e.fence}, false
	}
	e.fence = max(e.fence, o.Fence)
	fresh = !e.orders[o.ID]
	e.orders[o.ID] = true
	return protocol.OrderResult{Applied: true, Fence: e.fence}, fresh
}

// carryOut changes what new generations get; running ones keep what they
// started with. An order of a life that has ended does nothing.
func (e *Engine) carryOut(o *protocol.Order, life int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life.Load() != life {
		return
	}
	switch o.Kind {
	case orderModel:
		e.model, e.version = o.Model, o.Version
		e.adapters = map[string]bool{}
	case orderAdapter:
		e.adapters[o.Adapter] = true
	case orderRole:
		e.role = o.Role
	}
}
