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
	// begunDelay is how long after a client has received the first event of the other version all entries are killed, at most.
	begunDelay = 250 * time.Millisecond
	// begunPoll is the time between two looks for such an event.
	begunPoll = 10 * time.Millisecond
	// endDelay is how long after the entries its processes end.
	endDelay     = 100 * time.Millisecond
	minDownTime  = 100 * time.Millisecond
	downSpread   = 700 * time.Millisecond
	storeGoneFor = 400 * time.Millisecond
	// storeGoneShare is the share of rounds in which the store is away when the other version begins to serve.
	storeGoneShare = 0.25
	// allKilledAttempts is how often a client sends a request. Its last tries come some 8 s after the entries' restart,
	// while a stream may still be resumed.
	allKilledAttempts = 16
)

// otherVersionKind is how engines serve another version for a moment.
type otherVersionKind struct {
	name string
	// renamed gives the processes new names at the addresses of those before them.
	renamed bool
	// listed writes the processes' records, and removes those of the processes before them.
	listed bool
	// returns starts the engines again at once, under their names and at the version before. Otherwise they are lost, and
	// others come later.
	returns bool
}

// otherVersionKinds are the kinds of which each round draws one. With a mix, the records of one kind would tell the
// entries of the version that the others conceal.
var otherVersionKinds = []otherVersionKind{
	{name: "inPlaceThenBack", returns: true},
	{name: "inPlaceThenGone"},
	{name: "listedThenGone", renamed: true, listed: true},
	{name: "successorThenGone", renamed: true},
}

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
	kind := otherVersionKinds[r.IntN(len(otherVersionKinds))]
	w.history.count("other version " + kind.name)
	killDelay := randomDuration(begunDelay, r)
	var away sync.WaitGroup
	if r.Float64() < storeGoneShare {
		away.Go(func() { w.runStep(ctx, step{action: storeDown, duration: storeGoneFor}) })
	}
	before, software := engines[0].currentTarget().Software, w.nextSoftware()
	w.unrecorded.follow(software)
	each(engines, func(p *replica) {
		p.restartMu.Lock()
		p.serveOther(ctx, software, kind)
	})
	w.unrecorded.awaitBegun(ctx)
	sleep(ctx, killDelay)
	var killed sync.WaitGroup
	killed.Go(func() { killAllEntries(ctx, w, s) })
	sleep(ctx, endDelay)
	each(engines, func(p *replica) {
		defer p.restartMu.Unlock()
		p.endOther(ctx, before, kind)
	})
	killed.Wait()
	away.Wait()
}

// each runs f for all engines at the same time.
func each(engines []*replica, f func(p *replica)) {
	var done sync.WaitGroup
	for _, p := range engines {
		done.Go(func() { f(p) })
	}
	done.Wait()
}

// serveOther replaces the process by one of another version. The caller holds restartMu.
func (p *replica) serveOther(ctx context.Context, software id.SoftwareVersion, kind otherVersionKind) {
	old := p.currentTarget()
	name := old.ID
	if kind.renamed {
		name = p.w.newTargetName()
	}
	p.server.Stop()
	p.setSoftware(software)
	if err := p.restart(name, old.Service); err != nil {
		p.w.history.recordViolation(ProcessLifecycle, "", "starting stand-in target %s failed: %v", name, err)
		return
	}
	if kind.listed {
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
	if kind.returns {
		p.restartAs(ctx, ended.ID, ended.Service)
		return
	}
	p.w.mustCommit(ctx, func() error { return p.w.removeTarget(ctx, ended.ID) })
	sleep(ctx, targetTTL)
	p.restartAs(ctx, p.w.newTargetName(), ended.Service)
}

// follow begins a round: only streams that begin at a version from now on count.
func (u *unrecordedStreams) follow(software id.SoftwareVersion) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.software, u.received = software, false
	clear(u.began)
}

// firstEventReceived records that a client has received the first event of a stream.
func (u *unrecordedStreams) firstEventReceived(software id.SoftwareVersion) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.software == software {
		u.received = true
	}
}

// awaitBegun waits until a stream has begun at the version that is followed, for beginningWait at most.
func (u *unrecordedStreams) awaitBegun(ctx context.Context) {
	for range int(beginningWait / begunPoll) {
		if u.hasBegun() || !sleep(ctx, begunPoll) {
			return
		}
	}
}

// hasBegun reports whether a client has received the first event of a stream at the version that is followed.
func (u *unrecordedStreams) hasBegun() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.received
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
