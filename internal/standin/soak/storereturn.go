package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os/exec"
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
	// returnApplyTime is the time within which entries must apply a change that follows
	// a return. Other faults may fall into it.
	returnApplyTime = 12 * time.Second
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

// returnStore makes the service return from a copy that is as old as the step lasts. No
// entry may go back to the configuration of the copy, and all must apply the next one,
// whose revision may have been in use before.
func returnStore(ctx context.Context, w *world, s *step) {
	before := w.service.Copy()
	path, _, _ := w.nextConfig()
	w.mustCommit(ctx, func() error { return w.writeConfig(ctx) })
	if !sleep(ctx, s.duration) {
		return
	}
	serving := w.entriesServing(ctx, path)
	w.replaceStoreState(ctx, before, s.selector%2 == 0)
	sleep(ctx, rewriteDelay)
	for _, e := range w.notServing(ctx, serving, path) {
		w.history.recordViolation(ConfigInForce, "", "%s no longer serves route %s after the store's return from a copy", e.name, path)
	}
	path, _, _ = w.nextConfig()
	w.rewriteStore(ctx)
	w.awaitRoute(ctx, serving, path)
}

// replaceStoreState replaces the service's state. If the service is away meanwhile, all
// its connections break.
func (w *world) replaceStoreState(ctx context.Context, state store.Copy, away bool) {
	if !away {
		w.service.ReturnTo(state)
		return
	}
	// SetOutage fails only for a service with its own listener, which this one lacks.
	_ = w.service.SetOutage(true)
	sleep(ctx, storeAwayTime)
	w.service.ReturnTo(state)
	_ = w.service.SetOutage(false)
}

// boots holds the command that runs each of some entries.
type boots map[*process]*exec.Cmd

// entriesServing returns the entries that serve a route.
func (w *world) entriesServing(ctx context.Context, path string) boots {
	serving := boots{}
	for _, e := range w.entries {
		boot := e.currentBoot()
		if status := w.probe(ctx, e, path, primaryKey); status == http.StatusOK || status == http.StatusInternalServerError {
			serving[e] = boot
		}
	}
	return serving
}

// notServing returns the entries that have not restarted and refuse a route, unless a
// newer configuration has replaced it meanwhile.
func (w *world) notServing(ctx context.Context, entries boots, path string) []*process {
	var refusing []*process
	for e, boot := range entries {
		status := w.probe(ctx, e, path, primaryKey)
		if status == http.StatusNotFound && e.currentBoot() == boot {
			refusing = append(refusing, e)
		}
	}
	if w.newestRoute() != path {
		return nil
	}
	return refusing
}

// awaitRoute checks that entries serve a route within returnApplyTime.
func (w *world) awaitRoute(ctx context.Context, entries boots, path string) {
	for end := time.Now().Add(returnApplyTime); ; {
		refusing := w.notServing(ctx, entries, path)
		if len(refusing) == 0 || ctx.Err() != nil {
			return
		}
		if time.Now().After(end) {
			w.history.recordViolation(ConfigInForce, "", "%s does not serve route %s, which was added %v ago, after the store's return from a copy",
				refusing[0].name, path, returnApplyTime)
			return
		}
		sleep(ctx, recoveryPause)
	}
}

// newestRoute returns the route that the last change of the configuration added.
func (w *world) newestRoute() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config.Routes[len(w.config.Routes)-1].PathPrefix
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
