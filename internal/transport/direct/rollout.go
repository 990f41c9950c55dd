package direct

import (
	"context"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/rollout"
	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/timing"
)

const (
	// rolloutInterval is how often the steps of roll-outs are decided.
	rolloutInterval = 100 * time.Millisecond
	// turnTime is how long a step must have been due before the next entry takes it.
	turnTime = 500 * time.Millisecond
	// maxTurn limits the place of an entry in that order.
	maxTurn = 6
	// rewriteTime is how long a stage must have been missing from the key-value service before
	// it is written again.
	rewriteTime = time.Second
	// reportIntervals is the number of update intervals for which another entry's report
	// counts as its present state, at least minReportTime.
	reportIntervals = 3
	minReportTime   = 1500 * time.Millisecond
)

// rollouts holds the roll-outs of all services, and takes their steps. All its methods do
// nothing on nil, which stands for a deployment without roll-outs.
type rollouts struct {
	e *Entry
	// again requests that the orders be read again. woken is signalled when a step may
	// follow.
	again, woken chan struct{}
	writes       sync.WaitGroup

	mu     sync.Mutex
	states map[id.Service]*rolloutState
	// ordersRead is set once the orders have been read.
	ordersRead bool
	// ordersEra is the era of the revisions of the orders.
	ordersEra store.Era
	versions  *listedVersions
	// stagesRead is set while items holds what the key-value service has, in the era stagesEra.
	stagesRead bool
	stagesEra  store.Era
}

// rolloutState is the roll-out of one service.
type rolloutState struct {
	*rollout.State
	// revision and number are those of the stage that the key-value service has; 0 for none.
	revision, number int64
	// refused is the revision of the last order that could not be decoded.
	refused int64
	// lostAt is when targets last broke off a request.
	lostAt map[id.Target]time.Time
	// due is the step that is due, since dueSince.
	due      rollout.Step
	dueSince time.Time
	// writing is set while a step is written.
	writing bool
	// entries is the largest number of entries that shared the tolerance since the order with
	// the revision entriesOf came. Those that are not heard of may have used their parts.
	entries   int
	entriesOf int64
}

// noteEntries records how many entries share the tolerance of the order now.
func (st *rolloutState) noteEntries(n int) {
	if st.entriesOf != st.Order.Revision {
		st.entries, st.entriesOf = 0, st.Order.Revision
	}
	st.entries = max(st.entries, n)
}

func newRollouts(e *Entry) *rollouts {
	r := &rollouts{e: e, again: make(chan struct{}, 1), woken: make(chan struct{}, 1), states: map[id.Service]*rolloutState{}, versions: newListedVersions()}
	return r
}

// state returns the state of a service. The caller holds mu.
func (r *rollouts) state(service id.Service) *rolloutState {
	st := r.states[service]
	if st == nil {
		st = &rolloutState{State: rollout.NewState(service)}
		r.states[service] = st
	}
	return st
}

// run reads orders and stages, and takes the steps of roll-outs, until ctx ends.
func (r *rollouts) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.readOrders(ctx) })
	wg.Go(func() { r.watchStages(ctx) })
	for ctx.Err() == nil {
		if !r.pending() {
			select {
			case <-ctx.Done():
			case <-r.woken:
			}
			continue
		}
		r.decideAll(ctx)
		timing.Sleep(ctx, r.e.deps.Clock, rolloutInterval)
	}
	wg.Wait()
	r.writes.Wait()
}

// signal makes a channel readable. It never blocks.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// pending reports whether a step may follow for some service.
func (r *rollouts) pending() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, st := range r.states {
		if st.Active() || (st.Stage != nil && r.stagesRead && st.number < st.Stage.Number) {
			return true
		}
	}
	return false
}

// decideAll judges the versions and takes the steps that are due.
func (r *rollouts) decideAll(ctx context.Context) {
	now := r.e.deps.Clock.Now()
	alive := r.e.roster.Alive(now)
	answers := !r.e.storeWatcher.storeUnavailable()
	r.mu.Lock()
	defer r.mu.Unlock()
	found := false
	for _, st := range r.states {
		if st.Active() && st.Examine(now) {
			r.foundBad(st)
			found = true
		}
		r.decide(ctx, now, st, alive, answers)
	}
	if found {
		r.e.updatePeers()
	}
}

// foundBad logs that a version was found bad. The caller holds mu.
func (r *rollouts) foundBad(st *rolloutState) {
	sent, toNew := st.Totals()
	r.e.deps.Log.Emit(event.RolloutBad, "service", st.Service, "route", st.Finding.Route, "score", st.Finding.Score, "answers", st.Finding.Answers, "sent", sent, "sentToNew", toNew)
	r.e.metrics.rolloutBad(st.Service)
}

// decide takes the next step of a roll-out, if it is this entry's turn. The caller holds mu.
func (r *rollouts) decide(ctx context.Context, now time.Time, st *rolloutState, alive []string, storeAnswers bool) {
	if st.writing || !r.stagesRead || r.stagesEra != r.e.storeWatcher.eras.Era() {
		return
	}
	step := rollout.Step{}
	wait := time.Duration(0)
	if st.Stage != nil && st.number < st.Stage.Number {
		// The key-value service returned from an older copy, or tells of the stage later.
		step, wait = rollout.Step{Next: st.Stage, Reason: st.Stage.Reason}, rewriteTime
	} else {
		step = rollout.Decide(r.view(now, st, alive))
	}
	if !sameStep(step, st.due) {
		st.due, st.dueSince = step, now
		if step.Next == nil {
			r.e.deps.Log.Emit(event.RolloutWaits, "service", st.Service, "reason", step.Reason, "score", st.Finding.Score, "answers", st.Finding.Answers)
		}
	}
	if step.Next == nil || !storeAnswers {
		return
	}
	turn := min(maxTurn, id.RendezvousRank("rollout/"+string(st.Service), r.e.cfg.PeerAddress, alive))
	if now.Sub(st.dueSince) < wait+time.Duration(turn)*turnTime {
		return
	}
	st.writing = true
	next, revision, era := *step.Next, st.revision, r.stagesEra
	r.writes.Go(func() { r.write(ctx, st, next, revision, era) })
}

// sameStep reports whether two steps lead to the same stage, or wait for the same reason.
func sameStep(a, b rollout.Step) bool {
	if a.Next == nil || b.Next == nil {
		return a.Next == nil && b.Next == nil && a.Reason == b.Reason
	}
	return a.Next.Number == b.Next.Number && a.Next.Phase == b.Next.Phase && a.Next.Order == b.Next.Order
}

// view returns what a decision is made from. The caller holds mu.
func (r *rollouts) view(now time.Time, st *rolloutState, alive []string) rollout.View {
	targets := r.e.directory.View().Targets[st.Service]
	v := rollout.View{
		Entry: r.e.cfg.Name, Order: st.Order, Stage: st.Stage, Share: r.e.cfg.Rollouts.Share, ReportedBad: st.Stopped(),
		RunTime: r.e.likelyRunTime(st.Service), SinceStage: now.Sub(st.StageAt), SinceOrder: r.sinceOrder(now, st),
	}
	v.BegunMS = now.Add(-v.SinceOrder).UnixMilli()
	for _, t := range targets {
		if t.SoftwareUnknown {
			continue
		}
		v.Listed = append(v.Listed, t.Software)
		switch {
		case t.State != catalog.Ready:
		case st.Order != nil && t.Software == st.Order.To:
			v.NewSlots += t.Slots
		case st.Stage != nil && st.Stage.Role(t.Software) == rollout.OldVersion:
			v.OldSlots += t.Slots
		}
	}
	maxAge := max(minReportTime, reportIntervals*updateInterval(len(alive)))
	atOld, _ := r.running(st, targets)
	v.Finding = st.Trusted(now, maxAge)
	v.Entries = st.Entries(now, atOld, alive, maxAge)
	return v
}

// sinceOrder returns the time since the order. A process that started later takes it from the
// time of day in the stage.
func (r *rollouts) sinceOrder(now time.Time, st *rolloutState) time.Duration {
	if st.Order == nil {
		return 0
	}
	since := now.Sub(st.SeenAt)
	if st.Stage != nil && st.Stage.Order == st.Order.Revision && st.SeenAt.Sub(r.e.startedAt) < minReportTime {
		since = max(since, min(now.Sub(time.UnixMilli(st.Stage.BegunMS)), st.Order.Duration()))
	}
	return since
}

// running returns this entry's runs at the old versions and at the new one. The caller holds
// mu.
func (r *rollouts) running(st *rolloutState, targets catalog.Targets) (atOld, atNew int) {
	if st.Stage == nil {
		return 0, 0
	}
	for _, t := range targets {
		switch st.Stage.Role(t.Software) {
		case rollout.OldVersion, rollout.BarredVersion:
			atOld += r.e.balancer.LoadAt(t.ID).Running
		case rollout.NewVersion:
			atNew += r.e.balancer.LoadAt(t.ID).Running
		case rollout.Uninvolved:
		}
	}
	return atOld, atNew
}

// likelyRunTime returns the time in which nearly all runs of a service end.
func (e *Entry) likelyRunTime(service id.Service) time.Duration {
	cfg := e.directory.View().Config
	if cfg == nil {
		return expectedPlainTime
	}
	for i := range cfg.Routes {
		if cfg.Routes[i].Kind != catalog.Streaming {
			continue
		}
		for _, s := range cfg.Routes[i].Services {
			if s.Service == service {
				return e.likelyStreamTime(service)
			}
		}
	}
	return expectedPlainTime
}

// adopt puts a stage in force if it is newer than the known one. The caller holds mu.
func (r *rollouts) adopt(st *rolloutState, stage *rollout.Stage, source itemSource) bool {
	if !st.Adopt(r.e.deps.Clock.Now(), stage) {
		return false
	}
	sent, toNew := st.Totals()
	r.e.deps.Log.Emit(event.RolloutStage, "service", st.Service, "stage", stage.Number, "phase", stage.Phase, "to", stage.To, "share", stage.Share,
		"reason", stage.Reason, "decider", stage.Decider, "source", source, "sent", sent, "sentToNew", toNew)
	r.e.metrics.rolloutStage(st.Service, stage)
	r.e.updatePeers()
	signal(r.woken)
	return true
}

// reports returns what this entry tells the others; nil if there is nothing to tell.
func (r *rollouts) reports() map[id.Service]rollout.Report {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var reports map[id.Service]rollout.Report
	for service, st := range r.states {
		if st.Order == nil && st.Stage == nil {
			continue
		}
		if reports == nil {
			reports = map[id.Service]rollout.Report{}
		}
		atOld, atNew := r.running(st, r.e.directory.View().Targets[service])
		reports[service] = st.Report(atOld, atNew)
	}
	return reports
}

// merge applies what another entry tells.
func (r *rollouts) merge(now time.Time, u *direct.PeerUpdate) {
	if r == nil || len(u.Rollouts) == 0 {
		return
	}
	away := r.e.storeWatcher.storeUnavailable()
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, report := range u.Rollouts {
		st := r.state(service)
		stage := report.Stage
		report.Stage = nil
		if o := report.Order; o != nil && (away || !r.ordersRead) && (st.Order == nil || o.Revision > st.Order.Revision) {
			r.setOrder(st, o, fromEntry)
		}
		r.adopt(st, stage, fromEntry)
		report.Stage = stage
		if stopped, _ := st.Merge(now, rollout.Reporter{Address: u.Address, Incarnation: u.Incarnation}, report); stopped {
			r.e.deps.Log.Emit(event.RolloutBad, "service", service, "from", u.From)
		}
	}
}
