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
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, &order)
	}
	if err != nil || !validOrder(&order) {
		writeError(w, http.StatusBadRequest, errorInvalidRequest, "the order is not valid")
		return
	}
	e.orderMu.Lock()
	defer e.orderMu.Unlock()
	incarnation := e.incarnation.Load()
	result, isNew := e.acceptOrder(&order)
	if !result.Applied {
		writeJSON(w, http.StatusConflict, result)
		return
	}
	if isNew {
		e.clock.Sleep(e.opts.Costs.Order)
		e.applyOrder(&order, incarnation)
	}
	writeJSON(w, http.StatusOK, result)
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

// acceptOrder checks the order's fencing number. It reports whether the order is
// new; a repeated order gets the same result but is not applied again.
func (e *Engine) acceptOrder(o *protocol.Order) (result protocol.OrderResult, isNew bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence && !e.faults.ignoreFence {
		return protocol.OrderResult{Fence: e.fence}, false
	}
	e.fence = max(e.fence, o.Fence)
	isNew = !e.orders[o.ID]
	e.orders[o.ID] = true
	return protocol.OrderResult{Applied: true, Fence: e.fence}, isNew
}

// applyOrder changes the model, adapters or role for new generations. Running ones
// keep the model and adapter that they started with. An order that was accepted
// before a crash is ignored.
func (e *Engine) applyOrder(o *protocol.Order, incarnation int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation.Load() != incarnation {
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
