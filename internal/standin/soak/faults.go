package soak

import (
	"context"
	"syscall"
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// action is a kind of fault or of planned work.
type action struct {
	name    string
	planned bool
	// disturbs says which entries are not held to bounds of time because of it.
	disturbs disturbance
	run      func(ctx context.Context, w *world, s *step)
}

// disturbance says which entries an action disturbs.
type disturbance int

const (
	noEntry disturbance = iota
	// oneEntry is the entry that the step selects.
	oneEntry
	allEntries
)

var entryKilled = action{name: "entryKilled", disturbs: oneEntry, run: func(ctx context.Context, w *world, s *step) {
	w.entry(s).killAndRestart(ctx, s.duration)
}}

var (
	entryPaused       = action{name: "entryPaused", disturbs: oneEntry, run: pauseEntry}
	entryPausedAndCut = action{name: "entryPausedAndCut", disturbs: oneEntry, run: pauseAndCut}
	clientLinkReset   = action{name: "clientLinkReset", disturbs: oneEntry, run: func(_ context.Context, w *world, s *step) { w.entry(s).clients.resetConns() }}
	storeDown         = action{name: "storeDown", disturbs: allEntries, run: stopStore}
)

// faults are the unplanned failures that a run may inject.
var faults = []action{
	entryKilled,
	{name: "allEntriesKilled", disturbs: allEntries, run: killAllEntries},
	entryPaused,
	clientLinkReset,
	{name: "clientLinkDelayed", disturbs: oneEntry, run: withLinkFault(clientLink, func(p *proxy) { p.setFault(blockNone, linkLatency, false) })},
	{name: "clientLinkSilent", disturbs: oneEntry, run: withLinkFault(clientLink, func(p *proxy) { p.setFault(blockBoth, 0, false) })},
	{name: "clientLinkOneWay", disturbs: oneEntry, run: withLinkFault(clientLink, func(p *proxy) { p.setFault(blockFromTarget, 0, false) })},
	{name: "targetCrashed", run: crashTarget},
	{name: "zoneCrashed", run: crashZone},
	{name: "addressReused", run: reuseAddress},
	{name: "targetLinkReset", run: func(_ context.Context, w *world, s *step) { w.replica(s).link.resetConns() }},
	{name: "targetLinkDelayed", run: withLinkFault(targetLink, func(p *proxy) { p.setFault(blockNone, linkLatency, false) })},
	{name: "targetLinkSilent", run: withLinkFault(targetLink, func(p *proxy) { p.setFault(blockBoth, 0, false) })},
	{name: "targetLinkNoWay", run: withLinkFault(targetLink, func(p *proxy) { p.setFault(blockToTarget, 0, false) })},
	{name: "targetLinkNoWayBack", run: withLinkFault(targetLink, func(p *proxy) { p.setFault(blockFromTarget, 0, false) })},
	{name: "targetLinkRefuses", run: withLinkFault(targetLink, func(p *proxy) { p.setFault(blockNone, 0, true); p.resetConns() })},
	storeDown,
	{name: "storeHangs", disturbs: allEntries, run: hangStore},
	{name: "storeSlow", disturbs: allEntries, run: slowStore},
	{name: "storeLosesAnswers", disturbs: allEntries, run: func(_ context.Context, w *world, _ *step) { w.service.DropResponses(lostStoreResponses) }},
	{name: "storeCompacted", disturbs: allEntries, run: func(_ context.Context, w *world, _ *step) {
		w.service.Compact(w.service.Revision())
		w.service.CancelWatches()
	}},
	{name: "storeLinkSilent", disturbs: oneEntry, run: withLinkFault(storeLink, func(p *proxy) { p.setFault(blockBoth, 0, false) })},
	{name: "storeLinkOneWay", disturbs: oneEntry, run: withLinkFault(storeLink, func(p *proxy) { p.setFault(blockFromTarget, 0, false) })},
	{name: "storeLinkReset", disturbs: oneEntry, run: func(_ context.Context, w *world, s *step) { w.entry(s).store.resetConns() }},
}

// plannedWork is what operators do during normal operation.
var plannedWork = []action{
	{name: "entryStopped", disturbs: oneEntry, planned: true, run: func(ctx context.Context, w *world, s *step) { w.entry(s).stopAndRestart(ctx) }},
	{name: "entriesStoppedInTurn", disturbs: allEntries, planned: true, run: restartEntriesInTurn},
	{name: "hangup", disturbs: oneEntry, planned: true, run: func(_ context.Context, w *world, s *step) { w.entry(s).hangUp() }},
	{name: "configChanged", planned: true, run: changeConfig},
	{name: "targetDrained", planned: true, run: drainTarget},
}

const (
	linkLatency        = 120 * time.Millisecond
	storeLatency       = 300 * time.Millisecond
	lostStoreResponses = 5
	// addressReuseTime is the shortest time between a target's end and the use of its
	// address for another service.
	addressReuseTime = 2 * time.Second
	// restartPause is the time between the restarts of two entries in turn.
	restartPause = 3 * time.Second
)

// entry returns the entry that a step selects.
func (w *world) entry(s *step) *process { return w.entries[s.selector%uint64(len(w.entries))] }

// replica returns the target that a step selects. Each of the two services is
// selected equally often.
func (w *world) replica(s *step) *replica {
	candidates := w.replicas[:shopReplicas]
	if s.selector%2 == 0 {
		candidates = w.replicas[shopReplicas:]
	}
	return candidates[s.selector/2%uint64(len(candidates))]
}

func clientLink(w *world, s *step) *proxy { return w.entry(s).clients }
func storeLink(w *world, s *step) *proxy  { return w.entry(s).store }
func targetLink(w *world, s *step) *proxy { return w.replica(s).link }

// withLinkFault returns an action that injects a fault into a link for the step's
// duration.
func withLinkFault(link func(*world, *step) *proxy, begin func(*proxy)) func(context.Context, *world, *step) {
	return func(ctx context.Context, w *world, s *step) {
		p := link(w, s)
		begin(p)
		sleep(ctx, s.duration)
		p.setFault(blockNone, 0, false)
	}
}

// killAndRestart kills the program and starts it again after downtime. If another
// step is stopping or starting the program at the same time, killAndRestart kills the
// program at once, waits for that step, and starts the program only if it is not
// running afterwards.
func (p *process) killAndRestart(ctx context.Context, downtime time.Duration) {
	locked := p.restartMu.TryLock()
	if !locked {
		p.signal(syscall.SIGKILL)
		p.restartMu.Lock()
	}
	defer p.restartMu.Unlock()
	if locked {
		p.kill()
		sleep(ctx, downtime)
	}
	if p.waitForExit(0) {
		p.restart(ctx)
	}
}

// stopAndRestart stops the program gracefully and starts it again, unless another
// step is stopping or starting it.
func (p *process) stopAndRestart(ctx context.Context) {
	if !p.restartMu.TryLock() {
		return
	}
	defer p.restartMu.Unlock()
	defer p.w.outages.stop()()
	p.terminate()
	p.restart(ctx)
}

func killAllEntries(ctx context.Context, w *world, s *step) {
	done := make(chan struct{}, len(w.entries))
	for _, p := range w.entries {
		go func() {
			p.killAndRestart(ctx, s.duration)
			done <- struct{}{}
		}()
	}
	for range w.entries {
		<-done
	}
}

func pauseEntry(ctx context.Context, w *world, s *step) {
	p := w.entry(s)
	p.signal(syscall.SIGSTOP)
	sleep(ctx, s.duration)
	p.signal(syscall.SIGCONT)
}

func restartEntriesInTurn(ctx context.Context, w *world, _ *step) {
	for _, p := range w.entries {
		p.stopAndRestart(ctx)
		if !sleep(ctx, restartPause) {
			return
		}
	}
}

// crashTarget crashes a target, which restarts under its own name or a new one.
func crashTarget(ctx context.Context, w *world, s *step) {
	w.replica(s).crashAndRestart(ctx, s.duration, s.selector%3 == 0)
}

func crashZone(ctx context.Context, w *world, s *step) {
	zone := int(s.selector % zoneCount)
	done := make(chan struct{}, len(w.replicas))
	n := 0
	for _, p := range w.replicas {
		if p.zone != zone || p.currentTarget().Service != modelService {
			continue
		}
		n++
		go func() {
			p.crashAndRestart(ctx, s.duration, false)
			done <- struct{}{}
		}()
	}
	for range n {
		<-done
	}
}

// crashAndRestart crashes the target and starts it again after downtime. If it is
// down for longer than targetTTL or gets a new name, its item in the key-value
// service is removed meanwhile.
func (p *replica) crashAndRestart(ctx context.Context, downtime time.Duration, sameName bool) {
	if !p.restartMu.TryLock() {
		return
	}
	defer p.restartMu.Unlock()
	p.crashAndRestartLocked(ctx, downtime, sameName)
}

func (p *replica) crashAndRestartLocked(ctx context.Context, downtime time.Duration, sameName bool) {
	old := p.currentTarget().ID
	p.crash()
	sleep(ctx, min(downtime, targetTTL))
	if downtime > targetTTL || !sameName {
		p.w.mustCommit(ctx, func() error { return p.w.removeTarget(ctx, old) })
		sleep(ctx, downtime-targetTTL)
	}
	name := old
	if !sameName {
		name = p.w.newTargetName()
	}
	p.restartAs(ctx, name, p.currentTarget().Service)
}

// restartAs starts the target again and writes its item to the key-value service.
func (p *replica) restartAs(ctx context.Context, name id.Target, service id.Service) {
	if err := p.restart(name, service); err != nil {
		p.w.history.recordViolation(ProcessLifecycle, "", "starting stand-in target %s failed: %v", name, err)
		return
	}
	p.w.mustCommit(ctx, func() error { return p.w.writeTarget(ctx, p) })
	p.recordListed()
}

// mustCommit records a violation if a write fails before ctx ends. commit retries
// until then, so this happens only if the data can't be encoded.
func (w *world) mustCommit(ctx context.Context, write func() error) {
	if err := write(); err != nil && ctx.Err() == nil {
		w.history.recordViolation(ProcessLifecycle, "", "write to the stand-in key-value service failed: %v", err)
	}
}

// reuseAddress replaces a target by one of the other service at the same address,
// while entries still have the old target listed, and later back again.
func reuseAddress(ctx context.Context, w *world, s *step) {
	p := w.replica(s)
	if !p.restartMu.TryLock() {
		return
	}
	defer p.restartMu.Unlock()
	before := p.currentTarget()
	other := shopService
	if before.Service == shopService {
		other = modelService
	}
	p.crash()
	sleep(ctx, addressReuseTime)
	p.restartAs(ctx, w.newTargetName(), other)
	w.mustCommit(ctx, func() error { return w.removeTarget(ctx, before.ID) })
	sleep(ctx, s.duration)
	between := p.currentTarget().ID
	p.crash()
	sleep(ctx, addressReuseTime)
	p.restartAs(ctx, w.newTargetName(), before.Service)
	w.mustCommit(ctx, func() error { return w.removeTarget(ctx, between) })
}

// drainTarget drains a target, removes it, and starts another one in its place.
func drainTarget(ctx context.Context, w *world, s *step) {
	p := w.replica(s)
	if !p.restartMu.TryLock() {
		return
	}
	defer p.restartMu.Unlock()
	p.setState(catalog.Draining)
	w.mustCommit(ctx, func() error { return w.writeTarget(ctx, p) })
	p.recordDrained()
	sleep(ctx, 2*maxDrainDelay)
	leaving := p.currentTarget()
	w.mustCommit(ctx, func() error { return w.removeTarget(ctx, leaving.ID) })
	sleep(ctx, maxDrainDelay)
	p.crash()
	p.restartAs(ctx, w.newTargetName(), leaving.Service)
}

func stopStore(ctx context.Context, w *world, s *step) {
	// SetOutage fails only for a service with its own listener, which this one lacks.
	_ = w.service.SetOutage(true)
	sleep(ctx, s.duration)
	_ = w.service.SetOutage(false)
}

func hangStore(ctx context.Context, w *world, s *step) {
	w.service.SetHang(true)
	sleep(ctx, s.duration)
	w.service.SetHang(false)
}

func slowStore(ctx context.Context, w *world, s *step) {
	w.service.SetLatency(storeLatency)
	sleep(ctx, s.duration)
	w.service.SetLatency(0)
}
