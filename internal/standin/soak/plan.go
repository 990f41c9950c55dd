package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Times of a plan. Bursts of overlapping faults alternate with calm periods, in which
// only planned work is done.
const (
	firstBurst      = time.Second
	burstSpread     = 1500 * time.Millisecond
	maxBurstFaults  = 4
	minFaultTime    = 200 * time.Millisecond
	faultTimeSpread = 2500 * time.Millisecond
	minCalmTime     = 3 * time.Second
	calmTimeSpread  = 3 * time.Second
	// plannedWorkShare is the share of bursts during which planned work is done.
	plannedWorkShare = 0.4
)

// step is one fault or one piece of planned work at a given time.
type step struct {
	at     time.Duration
	action action
	// duration is how long a fault lasts.
	duration time.Duration
	// selector is a random number that selects the entry, target or zone, and whether
	// a crashed target keeps its name.
	selector uint64
}

// plan lists the steps of a run in the order of their times.
type plan []step

// fullPlan returns the plan of a run. Each part draws from a stream of its own, so that
// options that add a part leave the others as they are.
func fullPlan(opts Options) plan {
	var p plan
	if !opts.Calm {
		p = newPlan(opts, rand.New(rand.NewPCG(opts.Seed, planRandomStream)))
	}
	if opts.Stops {
		p = append(p, newStops(opts, rand.New(rand.NewPCG(opts.Seed, stopRandomStream)))...)
	}
	if opts.AnswerEnds {
		p = append(p, newAnswerEnds(opts, rand.New(rand.NewPCG(opts.Seed, endRandomStream)))...)
	}
	if opts.Unrecorded {
		p = append(p, newUnrecorded(opts, rand.New(rand.NewPCG(opts.Seed, unrecordedRandomStream)))...)
	}
	if opts.AllKilled {
		p = append(p, newAllKilled(opts, rand.New(rand.NewPCG(opts.Seed, allKilledRandomStream)))...)
	}
	if opts.ProcessEnds {
		p = append(p, newProcessEnds(opts, rand.New(rand.NewPCG(opts.Seed, processEndRandomStream)))...)
	}
	if opts.LeavingEnds {
		p = append(p, newLeavingEnds(opts, rand.New(rand.NewPCG(opts.Seed, leavingEndRandomStream)))...)
	}
	if opts.StoreReturns {
		p = append(p, newStoreReturns(opts, rand.New(rand.NewPCG(opts.Seed, returnRandomStream)))...)
	}
	if opts.TargetLimits {
		p = append(p, newTargetLimits(opts, rand.New(rand.NewPCG(opts.Seed, limitRandomStream)))...)
	}
	if opts.Rests {
		p = append(p, newRests(opts, rand.New(rand.NewPCG(opts.Seed, restRandomStream)))...)
	}
	if opts.Rollouts {
		p = append(p, newRollouts(opts, rand.New(rand.NewPCG(opts.Seed, rolloutRandomStream)))...)
	}
	if opts.Releases {
		p = append(p, newReleases(opts, rand.New(rand.NewPCG(opts.Seed, releaseRandomStream)))...)
	}
	slices.SortStableFunc(p, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return p
}

// newPlan returns a random plan of faults and planned work. Equal states of r give equal plans.
func newPlan(opts Options, r *rand.Rand) plan {
	var p plan
	at := firstBurst
	for at < opts.Duration {
		end := at
		for range 1 + r.IntN(maxBurstFaults) {
			s := newStep(at, faults, r)
			p = append(p, s)
			end = max(end, s.at+s.duration)
		}
		if r.Float64() < plannedWorkShare {
			p = append(p, newStep(at, plannedWork, r))
		}
		at = end + settleTime
		p = append(p, newStep(at, plannedWork, r))
		at += minCalmTime + randomDuration(calmTimeSpread, r)
	}
	return beginningBefore(opts.Duration, p)
}

// beginningBefore returns the steps that begin before the end of a run.
func beginningBefore(end time.Duration, p plan) plan {
	return slices.DeleteFunc(p, func(s step) bool { return s.at >= end })
}

func newStep(at time.Duration, actions []action, r *rand.Rand) step {
	return step{
		at: at + randomDuration(burstSpread, r), action: actions[r.IntN(len(actions))],
		duration: minFaultTime + randomDuration(faultTimeSpread, r), selector: r.Uint64(),
	}
}

func randomDuration(limit time.Duration, r *rand.Rand) time.Duration {
	return time.Duration(r.Float64() * float64(limit))
}

// runPlan runs the steps of a plan at their times, and waits until all are done and
// the run's duration has passed.
func (w *world) runPlan(ctx context.Context, p plan) {
	watchCtx, stopWatches := context.WithCancel(ctx)
	var watches, steps sync.WaitGroup
	for _, e := range w.entries {
		watches.Go(func() { e.watchReadiness(watchCtx) })
	}
	start := time.Now()
	for _, s := range p {
		if !sleep(ctx, s.at-time.Since(start)) {
			break
		}
		steps.Go(func() { w.runStep(ctx, s) })
	}
	sleep(ctx, w.opts.Duration-time.Since(start))
	steps.Wait()
	stopWatches()
	watches.Wait()
}

func (w *world) runStep(ctx context.Context, s step) {
	w.actionCounts.add(s.action.name)
	if !s.action.planned {
		defer w.faultWindows.begin()()
	}
	for _, name := range w.disturbed(&s) {
		defer w.disturbances[name].begin()()
	}
	s.action.run(ctx, w, &s)
}

// disturbed returns the names of the entries that a step disturbs.
func (w *world) disturbed(s *step) []string {
	var names []string
	switch s.action.disturbs {
	case oneEntry:
		names = []string{w.entry(s).name}
	case allEntries:
		for _, p := range w.entries {
			names = append(names, p.name)
		}
	case noEntry:
	}
	return names
}

// Limits of checkRecovery.
const (
	recoveryTries    = 40
	recoveryPause    = 250 * time.Millisecond
	recoveryRequests = 3
	// recoveryClient is the number of the client that sends the requests.
	recoveryClient = 9000
)

// checkRecovery checks that unsafe, safe and streaming requests are served after the
// faults.
func (w *world) checkRecovery(ctx context.Context) {
	for _, e := range w.entries {
		e.waitUntilReady(ctx)
	}
	if !w.opts.SafetyOnly {
		sleep(ctx, settleTime)
	}
	c := newClient(w, recoveryClient)
	defer c.closeConn()
	for _, path := range []string{unsafePath, safePath, streamPath} {
		for range recoveryRequests {
			if !c.sendUntilServed(ctx, path) && ctx.Err() == nil {
				w.history.recordViolation(RequestsServed, "", "no request to %s was served in %d tries after the last fault", path, recoveryTries)
			}
		}
	}
}

// sendUntilServed sends requests until one is answered or ctx ends. It returns false
// if none is answered in recoveryTries tries.
func (c *client) sendUntilServed(ctx context.Context, path string) bool {
	for range recoveryTries {
		if c.send(path) || ctx.Err() != nil {
			return true
		}
		time.Sleep(recoveryPause)
	}
	return false
}
