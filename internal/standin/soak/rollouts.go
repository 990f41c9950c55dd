package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/platform"
)

// Roll-outs of the plain service.
const (
	firstRollout = 2 * time.Second
	// rolloutBudget is the time budget of an order, and rolloutPause the time between two.
	rolloutBudget = 12 * time.Second
	rolloutPause  = 4 * time.Second
	// rolloutLead is the time between the order and the start of the new targets.
	rolloutLead = 300 * time.Millisecond
	// statusInterval is how often the operator reads the status.
	statusInterval = 50 * time.Millisecond
	// recordInterval is how often targets write their records.
	recordInterval = time.Second
	// maxKillsInRollout is the number of entries that are killed during a roll-out.
	maxKillsInRollout = 2
)

// Bounds on a bad version.
const (
	rolloutShare     = 0.1
	rolloutTolerance = 50
	revertTime       = 5 * time.Second
	// badAnswersAllowed is the number of bad answers after which revertTime begins.
	badAnswersAllowed = 50
)

// rolledOut moves the plain service to a new version. Its selector draws how the version is bad.
var rolledOut = action{name: "rolledOut", planned: true, run: rollOut}

// newRollouts returns a plan of roll-outs, and of entries that are killed beside them.
func newRollouts(opts Options, r *rand.Rand) plan {
	var p plan
	for at := firstRollout; at+rolloutBudget < opts.Duration; at += rolloutBudget + rolloutPause {
		p = append(p, step{at: at, action: rolledOut, selector: r.Uint64()})
		for range r.IntN(maxKillsInRollout + 1) {
			p = append(p, step{at: at + randomDuration(rolloutBudget, r), action: entryKilled, duration: minFaultTime + randomDuration(faultTimeSpread, r), selector: r.Uint64()})
		}
	}
	return p
}

// badness says how a version's answers are bad.
type badness struct {
	name string
	// failing and slow are the shares of failures, and of answers that take slowFactor times
	// as long.
	failing, slow float64
	// path is the route that is bad; empty for all. after is the time after the order from
	// which it is.
	path  string
	after time.Duration
}

// slowFactor is how many times as long a slow answer takes.
const slowFactor = 4

// versionsDrawn are what a roll-out's version may be like.
var versionsDrawn = []badness{
	{name: "good"}, {name: "good"}, {name: "failing", failing: 0.4}, {name: "slow", slow: 0.5},
	{name: "lateFailing", failing: 0.5, after: rolloutBudget / 3}, {name: "oneRoute", failing: 0.5, path: safePath},
}

// rolloutWatch records what the versions of the plain service get during a roll-out. It is safe
// for concurrent use. Nil records nothing.
type rolloutWatch struct {
	to      id.SoftwareVersion
	bad     badness
	ordered time.Time

	mu           sync.Mutex
	total, toNew int
	badAnswers   int
	// overAt is when the last bad answer was given that is allowed, and lateRequests counts
	// the requests later than revertTime after that.
	overAt       time.Time
	lateRequests int
}

// answer records a request to a version, and returns how its answer is bad.
func (r *rolloutWatch) answer(v id.SoftwareVersion, path string) (fails bool, factor int) {
	if r == nil {
		return false, 1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	since := time.Since(r.ordered)
	if since <= rolloutBudget {
		r.total++
	}
	if v != r.to {
		return false, 1
	}
	if since <= rolloutBudget {
		r.toNew++
	}
	if !r.overAt.IsZero() && time.Since(r.overAt) > revertTime {
		r.lateRequests++
	}
	if since < r.bad.after || (r.bad.path != "" && routeKindOf(path) != routeKindOf(r.bad.path)) {
		return false, 1
	}
	fails, factor = rand.Float64() < r.bad.failing, 1
	if rand.Float64() < r.bad.slow {
		factor = slowFactor
	}
	if fails || factor > 1 {
		if r.badAnswers++; r.badAnswers == badAnswersAllowed {
			r.overAt = time.Now()
		}
	}
	return fails, factor
}

// rollOut orders a new version of the plain service, starts targets of it beside the old ones,
// and does what the operator does when entries report the end.
func rollOut(ctx context.Context, w *world, s *step) {
	watch := &rolloutWatch{to: w.nextSoftware(), bad: versionsDrawn[s.selector%uint64(len(versionsDrawn))], ordered: time.Now()}
	order := &catalog.RolloutOrder{Service: shopService, To: watch.to, DurationMS: rolloutBudget.Milliseconds()}
	key, value := platform.EncodeRolloutOrder(order)
	w.mustCommit(ctx, func() error { return w.put(ctx, key, value) })
	watch.ordered = time.Now()
	w.rollout.Store(watch)
	w.history.count("rollout " + watch.bad.name)
	sleep(ctx, rolloutLead)
	beside := w.startBeside(ctx, watch.to)
	state, took := w.awaitRollout(ctx, watch, beside)
	w.history.count(fmt.Sprintf("rollout %s %s", watch.bad.name, state))
	w.checkRolloutEnd(watch, state, took)
	if state == catalog.RolloutCompleted {
		// The old targets stop without draining, and others of the version take their places.
		for _, p := range w.replicas[:shopReplicas] {
			old := p.currentTarget()
			p.crash()
			w.mustCommit(ctx, func() error { return w.removeTarget(ctx, old.ID) })
			p.setSoftware(watch.to)
			p.restartAs(ctx, w.newTargetName(), shopService)
		}
		sleep(ctx, noticeTime)
	}
	w.stopBeside(ctx, beside)
	w.checkExposure(watch)
}

// awaitRollout waits until entries report the end of a roll-out, or for some time beyond its time
// budget. Meanwhile the new targets write their records again and again, as targets do.
func (w *world) awaitRollout(ctx context.Context, watch *rolloutWatch, beside []*replica) (state catalog.RolloutState, took time.Duration) {
	state = catalog.RolloutInProgress
	written := time.Now()
	for state == catalog.RolloutInProgress && took < rolloutBudget+rolloutPause/2 && sleep(ctx, statusInterval) {
		state, took = w.rolloutState(ctx, watch.to), time.Since(watch.ordered)
		if time.Since(written) < recordInterval {
			continue
		}
		written = time.Now()
		for _, p := range beside {
			p.setState(catalog.Ready)
			w.mustCommit(ctx, func() error { return w.writeTarget(ctx, p) })
		}
	}
	return state, took
}

// startBeside starts as many targets of a version as there are of the plain service.
func (w *world) startBeside(ctx context.Context, v id.SoftwareVersion) []*replica {
	var beside []*replica
	for i := range shopReplicas {
		p, err := newReplica(w, shopService, i%zoneCount)
		if err != nil {
			w.history.recordViolation(ProcessLifecycle, "", "starting a stand-in target failed: %v", err)
			continue
		}
		p.setSoftware(v)
		beside = append(beside, p)
		w.mustCommit(ctx, func() error { return w.writeTarget(ctx, p) })
	}
	return beside
}

// stopBeside drains targets and stops them.
func (w *world) stopBeside(ctx context.Context, beside []*replica) {
	for _, p := range beside {
		p.setState(catalog.Draining)
		w.mustCommit(ctx, func() error { return w.writeTarget(ctx, p) })
	}
	sleep(ctx, noticeTime)
	for _, p := range beside {
		leaving := p.currentTarget()
		w.mustCommit(ctx, func() error { return w.removeTarget(ctx, leaving.ID) })
		p.close()
	}
}

// rolloutState returns the state that entries report of a version.
func (w *world) rolloutState(ctx context.Context, to id.SoftwareVersion) catalog.RolloutState {
	item, err := w.store.Get(ctx, platform.RolloutStatusPrefix+string(shopService))
	if err != nil || !item.Exists() {
		return catalog.RolloutInProgress
	}
	state, of, err := platform.DecodeRolloutStatus(item.Value)
	if err != nil {
		w.history.recordViolation(RolloutKept, "", "the status can't be read: %v", err)
	}
	if err != nil || of != to {
		return catalog.RolloutInProgress
	}
	return state
}

// checkRolloutEnd checks that a bad version is not completed, and, without faults, that each
// version comes to its end in time.
func (w *world) checkRolloutEnd(watch *rolloutWatch, state catalog.RolloutState, took time.Duration) {
	bad := watch.bad.name != "good"
	if bad && state == catalog.RolloutCompleted {
		w.history.recordViolation(RolloutKept, "", "version %s, which is %s, was completed after %v", watch.to, watch.bad.name, took)
	}
	if w.opts.SafetyOnly || w.faultWindows.overlap(watch.ordered, time.Now()) {
		return
	}
	want := catalog.RolloutCompleted
	if bad {
		want = catalog.RolloutReverted
	}
	if state != want || took > rolloutBudget {
		w.history.recordViolation(RolloutKept, "", "version %s, which is %s, is %s after %v", watch.to, watch.bad.name, state, took)
	}
}

// checkExposure checks what a bad version has got.
func (w *world) checkExposure(watch *rolloutWatch) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	w.history.countN("requests in rollouts", watch.total)
	w.history.countN("of them to the version", watch.toNew)
	if watch.bad.name == "good" {
		return
	}
	if float64(watch.toNew) > rolloutShare*float64(watch.total)+rolloutTolerance {
		w.history.recordViolation(RolloutKept, "", "version %s, which is %s, got %d of %d requests", watch.to, watch.bad.name, watch.toNew, watch.total)
	}
	if watch.lateRequests > 0 {
		w.history.recordViolation(RolloutKept, "", "version %s, which is %s, got %d requests later than %v after its %dth bad answer", watch.to, watch.bad.name, watch.lateRequests, revertTime, badAnswersAllowed)
	}
}
