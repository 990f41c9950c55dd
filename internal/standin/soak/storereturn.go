package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"strings"
	"time"

	"foxtailward.example/foxtailward/internal/standin/store"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/platform"
)

// Times of the key-value service's returns from an older copy of its state.
const (
	firstStoreReturn  = 3 * time.Second
	storeReturnPause  = 8 * time.Second
	storeReturnSpread = 8 * time.Second
	// storeAwayTime is how long the service is away before its return.
	storeAwayTime = 200 * time.Millisecond
	// rewriteDelay is the time after which operators and targets write again what the
	// copy lacks.
	rewriteDelay = 600 * time.Millisecond
)

var storeReturn = action{name: "storeReturned", disturbs: allEntries, run: returnStore}

// newStoreReturns returns a plan of returns from older copies.
func newStoreReturns(opts Options, r *rand.Rand) plan {
	var p plan
	at := firstStoreReturn + randomDuration(storeReturnSpread, r)
	for at < opts.Duration {
		p = append(p, step{at: at, action: storeReturn, duration: minFaultTime + randomDuration(faultTimeSpread, r), selector: r.Uint64()})
		at += storeReturnPause + randomDuration(storeReturnSpread, r)
	}
	return p
}

// returnStore makes the service return from a copy that is as old as the step lasts.
// No entry may go back to the configuration of the copy.
func returnStore(ctx context.Context, w *world, s *step) {
	before := w.service.Copy()
	if !sleep(ctx, s.duration) {
		return
	}
	path, key := w.newestRoute()
	serving := w.entriesServing(ctx, path, key)
	w.replaceStoreState(ctx, before)
	sleep(ctx, rewriteDelay)
	for e, boot := range serving {
		status := w.probe(ctx, e, path, key)
		if (status == http.StatusNotFound || status == http.StatusUnauthorized) && e.currentBoot() == boot {
			w.history.recordViolation(ConfigInForce, "", "%s answered status %d for route %s, which it had served before the store's return from a copy", e.name, status, path)
		}
	}
	w.rewriteStore(ctx)
}

// replaceStoreState replaces the service's state during a short outage.
func (w *world) replaceStoreState(ctx context.Context, state store.Copy) {
	// SetOutage fails only for a service with its own listener, which this one lacks.
	_ = w.service.SetOutage(true)
	sleep(ctx, storeAwayTime)
	w.service.ReturnTo(state)
	_ = w.service.SetOutage(false)
}

// newestRoute returns the route that the last change of the configuration added, and a
// key for it. The path is empty if there was no change.
func (w *world) newestRoute() (path string, key catalog.Key) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.config.Routes {
		if strings.HasPrefix(w.config.Routes[i].PathPrefix, extraPath) {
			path = w.config.Routes[i].PathPrefix
		}
	}
	return path, primaryKey
}

// entriesServing returns the entries that serve a route, with their boots.
func (w *world) entriesServing(ctx context.Context, path string, key catalog.Key) map[*process]*exec.Cmd {
	serving := map[*process]*exec.Cmd{}
	if path == "" {
		return serving
	}
	for _, e := range w.entries {
		boot := e.currentBoot()
		if status := w.probe(ctx, e, path, key); status == http.StatusOK || status == http.StatusInternalServerError {
			serving[e] = boot
		}
	}
	return serving
}

// currentBoot returns the command that runs the entry.
func (p *process) currentBoot() *exec.Cmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd
}

// rewriteStore writes again what operators and running targets had written, and
// removes the targets that have ended.
func (w *world) rewriteStore(ctx context.Context) {
	w.mustCommit(ctx, func() error { return w.writeConfig(ctx) })
	for _, p := range w.replicas {
		if p.isRunning() {
			w.mustCommit(ctx, func() error { return w.writeTarget(ctx, p) })
		}
	}
	sleep(ctx, targetTTL)
	page, err := w.store.List(ctx, platform.TargetPrefix)
	if err != nil {
		// The service is down again. The targets that have ended stay listed, which
		// entries have to bear.
		return
	}
	for i := range page.Items {
		name, ok := platform.TargetID(page.Items[i].Key)
		if ok && !w.isCurrentTarget(name) {
			w.mustCommit(ctx, func() error { return w.removeTarget(ctx, name) })
		}
	}
}

func (w *world) isCurrentTarget(name id.Target) bool {
	for _, p := range w.replicas {
		if p.currentTarget().ID == name {
			return true
		}
	}
	return false
}

// isRunning reports whether the replica is not being stopped or started. A draining
// one still runs.
func (p *replica) isRunning() bool {
	if p.currentTarget().State == catalog.Draining {
		return true
	}
	locked := p.restartMu.TryLock()
	if locked {
		p.restartMu.Unlock()
	}
	return locked
}
