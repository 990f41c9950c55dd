package soak

import (
	"context"
	"syscall"
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// action is a kind of fault, or of planned work.
type action struct {
	name    string
	planned bool
	do      func(ctx context.Context, w *world, s *step)
}

// faults are what may happen unplanned.
var faults = []action{
	{name: "entryKilled", do: func(ctx context.Context, w *world, s *step) { w.entry(s).killed(ctx, s.lasts) }},
	{name: "allEntriesKilled", do: allEntriesKilled},
	{name: "entryPaused", do: entryPaused},
	{name: "clientLinkReset", do: func(_ context.Context, w *world, s *step) { w.entry(s).clients.reset() }},
	{name: "clientLinkDelayed", do: linkFault(clientLink, func(p *proxy) { p.set(open, linkDelay, false) })},
	{name: "clientLinkSilent", do: linkFault(clientLink, func(p *proxy) { p.set(silent, 0, false) })},
	{name: "clientLinkOneWay", do: linkFault(clientLink, func(p *proxy) { p.set(noWayBack, 0, false) })},
	{name: "targetCrashed", do: targetCrashed},
	{name: "zoneCrashed", do: zoneCrashed},
	{name: "addressReused", do: addressReused},
	{name: "targetLinkReset", do: func(_ context.Context, w *world, s *step) { w.replica(s).link.reset() }},
	{name: "targetLinkDelayed", do: linkFault(targetLink, func(p *proxy) { p.set(open, linkDelay, false) })},
	{name: "targetLinkSilent", do: linkFault(targetLink, func(p *proxy) { p.set(silent, 0, false) })},
	{name: "targetLinkNoWay", do: linkFault(targetLink, func(p *proxy) { p.set(noWay, 0, false) })},
	{name: "targetLinkNoWayBack", do: linkFault(targetLink, func(p *proxy) { p.set(noWayBack, 0, false) })},
	{name: "targetLinkRefuses", do: linkFault(targetLink, func(p *proxy) { p.set(open, 0, true); p.reset() })},
	{name: "storeDown", do: storeDown},
	{name: "storeHangs", do: storeHangs},
	{name: "storeSlow", do: storeSlow},
	{name: "storeLosesAnswers", do: func(_ context.Context, w *world, _ *step) { w.service.DropResponses(lostAnswers) }},
	{name: "storeCompacted", do: func(_ context.Context, w *world, _ *step) {
		w.service.Compact(w.service.Revision())
		w.service.CancelWatches()
	}},
	{name: "storeLinkSilent", do: linkFault(storeLink, func(p *proxy) { p.set(silent, 0, false) })},
	{name: "storeLinkOneWay", do: linkFault(storeLink, func(p *proxy) { p.set(noWayBack, 0, false) })},
	{name: "storeLinkReset", do: func(_ context.Context, w *world, s *step) { w.entry(s).store.reset() }},
}

// plannedWork is what operators do.
var plannedWork = []action{
	{name: "entryStopped", planned: true, do: func(ctx context.Context, w *world, s *step) { w.entry(s).stopped(ctx) }},
	{name: "entriesStoppedInTurn", planned: true, do: entriesStoppedInTurn},
	{name: "hangup", planned: true, do: func(_ context.Context, w *world, s *step) { w.entry(s).signal(syscall.SIGHUP) }},
	{name: "configChanged", planned: true, do: configChanged},
	{name: "targetDrained", planned: true, do: targetDrained},
}

const (
	linkDelay   = 120 * time.Millisecond
	storeDelay  = 300 * time.Millisecond
	lostAnswers = 5
	// reuseTime is the least time between a target's end and the use of its address
	// for another service.
	reuseTime = 2 * time.Second
	// turnPause is the time between two entries that are stopped in turn.
	turnPause = 3 * time.Second
)

// entry returns the entry that a step means.
func (w *world) entry(s *step) *process { return w.entries[s.pick%uint64(len(w.entries))] }

// replica returns the target that a step means. Targets of either service are
// meant equally often.
func (w *world) replica(s *step) *replica {
	among := w.replicas[:shops]
	if s.pick%2 == 0 {
		among = w.replicas[shops:]
	}
	return among[s.pick/2%uint64(len(among))]
}

func clientLink(w *world, s *step) *proxy { return w.entry(s).clients }
func storeLink(w *world, s *step) *proxy  { return w.entry(s).store }
func targetLink(w *world, s *step) *proxy { return w.replica(s).link }

// linkFault brings a fault upon a link for as long as the step says.
func linkFault(link func(*world, *step) *proxy, begin func(*proxy)) func(context.Context, *world, *step) {
	return func(ctx context.Context, w *world, s *step) {
		p := link(w, s)
		begin(p)
		wait(ctx, s.lasts)
		p.set(open, 0, false)
	}
}

// killed kills the program and starts it again after a while, unless somebody
// else, who was about to stop or start it, has done so.
func (p *process) killed(ctx context.Context, down time.Duration) {
	alone := p.restarting.TryLock()
	if !alone {
		p.signal(syscall.SIGKILL)
		p.restarting.Lock()
	}
	defer p.restarting.Unlock()
	if alone {
		p.kill()
		wait(ctx, down)
	}
	if p.awaitEnd(0) {
		p.restart(ctx)
	}
}

// stopped stops the program as planned and starts it again.
func (p *process) stopped(ctx context.Context) {
	if !p.restarting.TryLock() {
		return
	}
	defer p.restarting.Unlock()
	p.terminate()
	p.restart(ctx)
}

func allEntriesKilled(ctx context.Context, w *world, s *step) {
	done := make(chan struct{}, len(w.entries))
	for _, p := range w.entries {
		go func() {
			p.killed(ctx, s.lasts)
			done <- struct{}{}
		}()
	}
	for range w.entries {
		<-done
	}
}

func entryPaused(ctx context.Context, w *world, s *step) {
	p := w.entry(s)
	p.signal(syscall.SIGSTOP)
	wait(ctx, s.lasts)
	p.signal(syscall.SIGCONT)
}

func entriesStoppedInTurn(ctx context.Context, w *world, _ *step) {
	for _, p := range w.entries {
		p.stopped(ctx)
		if !wait(ctx, turnPause) {
			return
		}
	}
}

// targetCrashed crashes a target, which comes back under its name or a new one.
func targetCrashed(ctx context.Context, w *world, s *step) {
	w.replica(s).crashed(ctx, s.lasts, s.pick%3 == 0)
}

func zoneCrashed(ctx context.Context, w *world, s *step) {
	zone := int(s.pick % zones)
	done := make(chan struct{}, len(w.replicas))
	n := 0
	for _, p := range w.replicas {
		if p.zone != zone || p.identity().Service != modelService {
			continue
		}
		n++
		go func() {
			p.crashed(ctx, s.lasts, false)
			done <- struct{}{}
		}()
	}
	for range n {
		<-done
	}
}

// crashed crashes the target for a while. Its entry in the key-value service
// lapses meanwhile if that takes long enough.
func (p *replica) crashed(ctx context.Context, down time.Duration, sameName bool) {
	if !p.restarting.TryLock() {
		return
	}
	defer p.restarting.Unlock()
	old := p.identity().ID
	p.crash()
	wait(ctx, min(down, lapseTime))
	if down > lapseTime || !sameName {
		p.w.mustCommit(ctx, func() error { return p.w.removeTarget(ctx, old) })
		wait(ctx, down-lapseTime)
	}
	name := old
	if !sameName {
		name = p.w.newTarget()
	}
	p.back(ctx, name, p.identity().Service)
}

// back starts the target again and enters it into the key-value service.
func (p *replica) back(ctx context.Context, name id.Target, service id.Service) {
	if err := p.revive(name, service); err != nil {
		p.w.ledger.breaks(ProcessLifecycle, "", "the stand-in %s can't be started: %v", name, err)
		return
	}
	p.w.mustCommit(ctx, func() error { return p.w.writeTarget(ctx, p) })
}

// mustCommit notes a write that failed, which only the end of the run explains.
func (w *world) mustCommit(ctx context.Context, write func() error) {
	if err := write(); err != nil && ctx.Err() == nil {
		w.ledger.breaks(ProcessLifecycle, "", "the stand-in store refused a write: %v", err)
	}
}

// addressReused gives an engine's address to a target of the other service while
// entries still know it, and back.
func addressReused(ctx context.Context, w *world, s *step) {
	p := w.replica(s)
	if !p.restarting.TryLock() {
		return
	}
	defer p.restarting.Unlock()
	before := p.identity()
	other := shopService
	if before.Service == shopService {
		other = modelService
	}
	p.crash()
	wait(ctx, reuseTime)
	p.back(ctx, w.newTarget(), other)
	w.mustCommit(ctx, func() error { return w.removeTarget(ctx, before.ID) })
	wait(ctx, s.lasts)
	between := p.identity().ID
	p.crash()
	wait(ctx, reuseTime)
	p.back(ctx, w.newTarget(), before.Service)
	w.mustCommit(ctx, func() error { return w.removeTarget(ctx, between) })
}

// targetDrained has a target leave as planned; another one takes its place.
func targetDrained(ctx context.Context, w *world, s *step) {
	p := w.replica(s)
	if !p.restarting.TryLock() {
		return
	}
	defer p.restarting.Unlock()
	p.setState(catalog.Draining)
	w.mustCommit(ctx, func() error { return w.writeTarget(ctx, p) })
	p.drained()
	wait(ctx, 2*drainTime)
	leaving := p.identity()
	w.mustCommit(ctx, func() error { return w.removeTarget(ctx, leaving.ID) })
	wait(ctx, drainTime)
	p.crash()
	p.back(ctx, w.newTarget(), leaving.Service)
}

func storeDown(ctx context.Context, w *world, s *step) {
	// An outage can't fail without a listener of the store's own.
	_ = w.service.SetOutage(true)
	wait(ctx, s.lasts)
	_ = w.service.SetOutage(false)
}

func storeHangs(ctx context.Context, w *world, s *step) {
	w.service.SetHang(true)
	wait(ctx, s.lasts)
	w.service.SetHang(false)
}

func storeSlow(ctx context.Context, w *world, s *step) {
	w.service.SetLatency(storeDelay)
	wait(ctx, s.lasts)
	w.service.SetLatency(0)
}
