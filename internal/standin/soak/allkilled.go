package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/origin"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Times of rounds in which all entries are killed soon after another version has begun streams.
const (
	// knownCalm is how long one version alone serves before a round, so that all entries are sure of that.
	knownCalm = calmTime + origin.SavedMargin
	// begunDelay is how long after the first events of the other version all entries are killed, at most.
	begunDelay = 250 * time.Millisecond
	// endDelay is how long after the entries its processes end.
	endDelay     = 100 * time.Millisecond
	minDownTime  = 100 * time.Millisecond
	downSpread   = 700 * time.Millisecond
	storeGoneFor = 400 * time.Millisecond
	// storeGoneShare is the share of rounds in which the store is away when the other version begins to serve.
	storeGoneShare = 0.25
	// allKilledAttempts is how often a client sends a request, so that some of its tries come after the entries' restart.
	allKilledAttempts = 60
)

// otherVersionKind is how engines serve another version for a moment.
type otherVersionKind int

const (
	// inPlaceThenBack starts in place without a record, and starts again at the version before.
	inPlaceThenBack otherVersionKind = iota
	// inPlaceThenGone starts in place without a record, and is lost for good.
	inPlaceThenGone
	// listedThenGone is listed under a new name, and lost for good.
	listedThenGone
	// successorThenGone starts under a new name at the same address without a record, and is lost for good.
	successorThenGone
	otherVersionKinds
)

// versionAndEntriesKilled has another version serve at half of the engines, and kills all entries, and then those engines.
var versionAndEntriesKilled = action{name: "versionAndEntriesKilled", disturbs: allEntries, run: killVersionAndEntries}

// newAllKilled returns a plan of rounds.
func newAllKilled(opts Options, r *rand.Rand) plan {
	var p plan
	for at := knownCalm; at < opts.Duration; at += knownCalm + roundEnd {
		p = append(p, step{at: at, action: versionAndEntriesKilled, duration: minDownTime + randomDuration(downSpread, r), selector: r.Uint64()})
	}
	return beginningBefore(opts.Duration, p)
}

// killVersionAndEntries plays one round.
func killVersionAndEntries(ctx context.Context, w *world, s *step) {
	r := rand.New(rand.NewPCG(s.selector, allKilledRandomStream))
	engines := w.released(s)
	if len(engines) == 0 {
		engines = w.replicas[shopReplicas : shopReplicas+1]
	}
	kind := otherVersionKind(r.IntN(int(otherVersionKinds)))
	kinds := make([]otherVersionKind, len(engines))
	for i := range kinds {
		kinds[i] = kind
	}
	killDelay := randomDuration(begunDelay, r)
	var away sync.WaitGroup
	if r.Float64() < storeGoneShare {
		away.Go(func() { w.runStep(ctx, step{action: storeDown, duration: storeGoneFor}) })
	}
	before, software := engines[0].currentTarget().Software, w.nextSoftware()
	w.unrecorded.follow(software)
	each(engines, func(i int, p *replica) {
		p.restartMu.Lock()
		p.serveOther(ctx, software, kinds[i])
	})
	w.unrecorded.awaitBegun(ctx)
	sleep(ctx, killDelay)
	var killed sync.WaitGroup
	killed.Go(func() { killAllEntries(ctx, w, s) })
	sleep(ctx, endDelay)
	each(engines, func(i int, p *replica) {
		defer p.restartMu.Unlock()
		p.endOther(ctx, before, kinds[i])
	})
	killed.Wait()
	away.Wait()
}

// each runs f for all engines at the same time.
func each(engines []*replica, f func(i int, p *replica)) {
	var done sync.WaitGroup
	for i, p := range engines {
		done.Go(func() { f(i, p) })
	}
	done.Wait()
}

// serveOther replaces the process by one of another version. The caller holds restartMu.
func (p *replica) serveOther(ctx context.Context, software id.SoftwareVersion, kind otherVersionKind) {
	old := p.currentTarget()
	name := old.ID
	if kind == listedThenGone || kind == successorThenGone {
		name = p.w.newTargetName()
	}
	p.server.Stop()
	p.setSoftware(software)
	if err := p.restart(name, old.Service); err != nil {
		p.w.history.recordViolation(ProcessLifecycle, "", "starting stand-in target %s failed: %v", name, err)
		return
	}
	if kind == listedThenGone {
		p.w.mustCommit(ctx, func() error { return p.w.removeTarget(ctx, old.ID) })
		p.w.mustCommit(ctx, func() error { return p.w.writeTarget(ctx, p) })
	}
}

// endOther ends the process of the other version. All records of it are gone when the entries start again, and the
// engine comes back at the version before. The caller holds restartMu.
func (p *replica) endOther(ctx context.Context, before id.SoftwareVersion, kind otherVersionKind) {
	ended := p.currentTarget()
	p.crash()
	p.setSoftware(before)
	if kind == inPlaceThenBack {
		p.restartAs(ctx, ended.ID, ended.Service)
		return
	}
	p.w.mustCommit(ctx, func() error { return p.w.removeTarget(ctx, ended.ID) })
	sleep(ctx, targetTTL)
	p.restartAs(ctx, p.w.newTargetName(), ended.Service)
}

// follow has the streams counted that begin at a version.
func (u *unrecordedStreams) follow(software id.SoftwareVersion) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.software = software
}

// awaitBegun waits until some streams have begun at the version that is followed.
func (u *unrecordedStreams) awaitBegun(ctx context.Context) {
	const enough = 1
	for range int(beginningWait / (10 * time.Millisecond)) {
		u.mu.Lock()
		n := len(u.began)
		u.mu.Unlock()
		if n >= enough || !sleep(ctx, 10*time.Millisecond) {
			return
		}
	}
}

// checkAllKilled records a violation if no stream that a run was planned for was resumed.
func (w *world) checkAllKilled() {
	if !w.opts.AllKilled {
		return
	}
	u := w.unrecorded
	u.mu.Lock()
	defer u.mu.Unlock()
	w.history.countN("resumed after all entries were killed", u.resumed)
	if u.resumed == 0 {
		w.history.recordViolation(PlanMet, "", "no stream of another version was resumed after all entries were killed")
	}
}
