package direct

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/rollout"
	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/timing"
)

const (
	// stageCheckInterval is how often it is checked whether the stages must be watched.
	stageCheckInterval = 500 * time.Millisecond
	// maxHoldTime is how long a version is held back if the orders can't be read.
	maxHoldTime = 2 * time.Second
)

// readAgain requests that the orders be read again.
func (r *rollouts) readAgain() {
	if r != nil {
		signal(r.again)
	}
}

// readOrders reads the orders whenever that is requested, until ctx ends.
func (r *rollouts) readOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.again:
		}
		since := r.e.deps.Clock.Now()
		for ctx.Err() == nil && !r.readOrdersOnce(ctx, since) {
			r.e.storeWatcher.pause(ctx)
		}
	}
}

// readOrdersOnce reads the orders, so that the versions that are listed may be used. It reports
// whether they may: after maxHoldTime also if the orders can't be read, because other entries
// tell of them.
func (r *rollouts) readOrdersOnce(ctx context.Context, since time.Time) bool {
	listed := r.versions.listed(r.e.directory.View().Targets)
	page, ok := r.e.storeWatcher.list(ctx, r.e.deps.Codec.RolloutPrefix)
	if ok {
		r.replaceOrders(page)
	}
	if !ok && r.e.deps.Clock.Since(since) < maxHoldTime {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions.trust(listed)
	return true
}

// replaceOrders applies a list that contains all orders, among other items.
func (r *rollouts) replaceOrders(page store.Page) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if page.Era < r.ordersEra {
		return
	}
	// Revisions of different eras can't be compared.
	newEra := page.Era > r.ordersEra
	r.ordersEra = page.Era
	listed := map[id.Service]bool{}
	for i := range page.Items {
		if service, ok := r.serviceOf(page.Items[i].Key); ok {
			listed[service] = true
			r.applyOrderItem(service, page.Items[i], fromList, newEra)
		}
	}
	for service, st := range r.states {
		if !listed[service] && st.Order != nil && (newEra || st.Order.Revision <= page.Revision) {
			r.setOrder(st, nil, fromList)
		}
	}
	r.ordersRead = true
}

// applyOrder applies a change of an order; others are ignored.
func (r *rollouts) applyOrder(c store.Change) {
	if r == nil {
		return
	}
	service, ok := r.serviceOf(c.Item.Key)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !c.Deleted {
		r.applyOrderItem(service, c.Item, fromWatch, false)
		return
	}
	if st := r.states[service]; st != nil && st.Order != nil && st.Order.Revision < c.Item.ModRevision {
		r.setOrder(st, nil, fromWatch)
	}
}

// serviceOf returns the service that the key of an order names.
func (r *rollouts) serviceOf(key string) (id.Service, bool) {
	name, ok := strings.CutPrefix(key, r.e.deps.Codec.RolloutPrefix)
	return id.Service(name), ok && name != ""
}

// applyOrderItem applies an order that is newer than the known one, or of a new era; one that
// can't be decoded is left alone. The caller holds mu.
func (r *rollouts) applyOrderItem(service id.Service, i store.Item, source itemSource, newEra bool) {
	st := r.state(service)
	if st.Order != nil && i.ModRevision <= st.Order.Revision && !newEra {
		return
	}
	o, err := r.e.deps.Codec.DecodeRollout(i)
	if err != nil {
		if st.refused != i.ModRevision {
			st.refused = i.ModRevision
			r.e.deps.Log.Emit(event.RolloutRefused, "key", i.Key, "revision", i.ModRevision, "error", err)
		}
		return
	}
	r.setOrder(st, &o, source)
}

// setOrder puts an order in force, or none. The caller holds mu.
func (r *rollouts) setOrder(st *rolloutState, o *rollout.Order, source itemSource) {
	if !st.SetOrder(r.e.deps.Clock.Now(), o) {
		return
	}
	fields := []any{"service", st.Service, "withdrawn", o == nil, "source", source}
	if o != nil {
		fields = append(fields, "to", o.To, "duration", o.Duration(), "revision", o.Revision)
	}
	r.e.deps.Log.Emit(event.RolloutOrdered, fields...)
	r.e.updatePeers()
	signal(r.woken)
}

// needsStages reports whether the stages must be known from the key-value service.
func (r *rollouts) needsStages() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	outdated := !r.stagesRead || r.stagesEra != r.e.storeWatcher.eras.Era()
	for _, st := range r.states {
		if st.Active() || (outdated && (st.Order != nil || st.Stage != nil)) || (st.Stage != nil && st.number < st.Stage.Number) {
			return true
		}
	}
	return false
}

// watchStages lists and watches the stages while there are roll-outs, until ctx ends.
func (r *rollouts) watchStages(ctx context.Context) {
	w := r.e.storeWatcher
	for timing.Sleep(ctx, r.e.deps.Clock, r.stagePause()) {
		if !r.needsStages() {
			continue
		}
		page, ok := w.list(ctx, store.RolloutPrefix)
		if !ok {
			w.pause(ctx)
			continue
		}
		r.replaceStages(page)
		watchCtx, cancel := w.eras.While(ctx, page.Era)
		go r.endWatch(watchCtx, cancel)
		_ = w.watch(watchCtx, store.RolloutPrefix, page.Point(), func(c store.Change) {
			if !c.Deleted {
				r.applyStage(c.Item, fromWatch)
			}
		})
		cancel()
	}
}

// stagePause returns the time until it is checked again whether stages must be watched.
func (r *rollouts) stagePause() time.Duration {
	if r.needsStages() {
		return rolloutInterval / 2
	}
	return stageCheckInterval
}

// endWatch ends a watch once no stage must be known any more.
func (r *rollouts) endWatch(ctx context.Context, cancel context.CancelFunc) {
	for timing.Sleep(ctx, r.e.deps.Clock, stageCheckInterval) {
		if !r.needsStages() {
			cancel()
		}
	}
}

// replaceStages applies a list of all stages.
func (r *rollouts) replaceStages(page store.Page) {
	r.mu.Lock()
	for _, st := range r.states {
		st.revision, st.number = 0, 0
	}
	r.stagesRead, r.stagesEra = true, page.Era
	r.mu.Unlock()
	for i := range page.Items {
		r.applyStage(page.Items[i], fromList)
	}
	// The key-value service may lack a stage.
	signal(r.woken)
}

// applyStage applies a stage that the key-value service has.
func (r *rollouts) applyStage(i store.Item, source itemSource) {
	service, ok := strings.CutPrefix(i.Key, store.RolloutPrefix)
	if !ok || service == "" {
		return
	}
	var stage rollout.Stage
	err := json.Unmarshal(i.Value, &stage)
	if err == nil {
		err = stage.Validate()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.state(id.Service(service))
	if err == nil && stage.Number < st.number {
		return
	}
	st.revision, st.number = i.ModRevision, stage.Number
	if err != nil {
		st.number = 0
		r.e.deps.Log.Emit(event.RolloutRefused, "key", i.Key, "revision", i.ModRevision, "error", err)
		return
	}
	r.adopt(st, &stage, source)
}

// stillDue reports whether the order and the finding are those that a step was decided from: the
// process may have been paused since. If not, the step is decided anew.
func (r *rollouts) stillDue(st *rolloutState, next *rollout.Stage) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	writtenAgain := st.Stage != nil && st.Stage.Number == next.Number
	sameOrder := st.Order != nil && st.Order.Revision == next.Order
	if st.Order == nil {
		sameOrder = next.Phase == rollout.Reverting || next.Phase == rollout.Reverted || next.Serves() || next.Phase == rollout.Completed
	}
	advances := next.Phase == rollout.Whole || next.Phase == rollout.Completed
	if writtenAgain || (sameOrder && !(advances && st.Stopped() && !next.Serves())) {
		return true
	}
	st.writing, st.dueSince = false, r.e.deps.Clock.Now()
	return false
}

// write writes a stage and the operator's status, if the stage that the key-value service has
// is still the one that the step was decided from.
func (r *rollouts) write(ctx context.Context, st *rolloutState, next rollout.Stage, revision int64, era store.Era) {
	if !r.stillDue(st, &next) {
		return
	}
	key := store.RolloutPrefix + string(st.Service)
	statusKey, status := r.e.deps.Codec.EncodeRolloutStatus(st.Service, next.Phase.State(), next.To)
	value := encodeState(next)
	began := r.e.deps.Clock.Now()
	result, err := r.e.deps.Store.Commit(ctx, store.Txn{
		Era:      era,
		Compares: []store.Compare{{Key: key, ModRevision: revision}},
		Puts:     []store.Put{{Key: key, Value: value}, {Key: statusKey, Value: status}},
	})
	r.e.metrics.storeCall("commit", err, r.e.deps.Clock.Since(began))
	switch {
	case err != nil:
		r.e.deps.Log.Emit(event.RolloutNotWritten, "service", st.Service, "stage", next.Number, "phase", next.Phase, "error", err)
		// The write may have taken effect.
		r.readBack(ctx)
	case !r.e.storeWatcher.observeEra(result.Era):
	case !result.Succeeded:
		r.e.deps.Log.Emit(event.RolloutNotWritten, "service", st.Service, "stage", next.Number, "phase", next.Phase, "error", "another stage is in force")
		r.readBack(ctx)
	default:
		r.applyStage(store.Item{Key: key, Value: value, ModRevision: result.Revision}, fromWrite)
	}
	r.mu.Lock()
	st.writing, st.dueSince = false, r.e.deps.Clock.Now()
	r.mu.Unlock()
}

// readBack reads the stages that the key-value service has.
func (r *rollouts) readBack(ctx context.Context) {
	for ctx.Err() == nil {
		page, ok := r.e.storeWatcher.list(ctx, store.RolloutPrefix)
		if ok {
			r.replaceStages(page)
			return
		}
		r.e.storeWatcher.pause(ctx)
	}
}
