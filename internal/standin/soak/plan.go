package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Times of a plan. Storms of faults, which overlap, take turns with calm times,
// in which only planned work goes on.
const (
	firstStorm  = time.Second
	stormSpread = 1500 * time.Millisecond
	mostFaults  = 4
	faultLeast  = 200 * time.Millisecond
	faultSpread = 2500 * time.Millisecond
	calmLeast   = 3 * time.Second
	calmSpread  = 3 * time.Second
	// plannedInStorm is the share of storms that meet planned work.
	plannedInStorm = 0.4
)

// step is one fault or one piece of planned work.
type step struct {
	at     time.Duration
	action action
	// lasts is how long a fault goes on.
	lasts time.Duration
	// pick says which of several things is meant.
	pick uint64
}

// plan is what happens in a run, in the order of time.
type plan []step

// newPlan draws a plan.
func newPlan(opts Options, r *rand.Rand) plan {
	var p plan
	at := firstStorm
	for at < opts.Duration {
		end := at
		for range 1 + r.IntN(mostFaults) {
			s := draw(at, faults, r)
			p = append(p, s)
			end = max(end, s.at+s.lasts)
		}
		if r.Float64() < plannedInStorm {
			p = append(p, draw(at, plannedWork, r))
		}
		at = end + settleTime
		p = append(p, draw(at, plannedWork, r))
		at += calmLeast + spread(calmSpread, r)
	}
	p = slices.DeleteFunc(p, func(s step) bool { return s.at >= opts.Duration })
	slices.SortStableFunc(p, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return p
}

func draw(at time.Duration, from []action, r *rand.Rand) step {
	return step{
		at: at + spread(stormSpread, r), action: from[r.IntN(len(from))],
		lasts: faultLeast + spread(faultSpread, r), pick: r.Uint64(),
	}
}

func spread(most time.Duration, r *rand.Rand) time.Duration {
	return time.Duration(r.Float64() * float64(most))
}

// carryOut brings about what the plan says, and waits until all of it is over.
func (w *world) carryOut(ctx context.Context, p plan) {
	watching, stop := context.WithCancel(ctx)
	var watches, steps sync.WaitGroup
	for _, e := range w.entries {
		watches.Go(func() { e.watch(watching) })
	}
	start := time.Now()
	for _, s := range p {
		if !wait(ctx, s.at-time.Since(start)) {
			break
		}
		steps.Go(func() { w.do(ctx, s) })
	}
	wait(ctx, w.opts.Duration-time.Since(start))
	steps.Wait()
	stop()
	watches.Wait()
}

func (w *world) do(ctx context.Context, s step) {
	w.faults.add(s.action.name)
	if !s.action.planned {
		defer w.windows.begin()()
	}
	s.action.do(ctx, w, &s)
}

// Bounds of the last requests, which show that all are served again.
const (
	lastTries     = 40
	lastTryPause  = 250 * time.Millisecond
	lastRequests  = 3
	recoverClient = 9000
)

// recover sees that all kinds of requests are served after the faults.
func (w *world) recover(ctx context.Context) {
	for _, e := range w.entries {
		e.awaitReady(ctx)
	}
	if !w.opts.SafetyOnly {
		wait(ctx, settleTime)
	}
	c := newClient(w, recoverClient)
	defer c.hangUp()
	for _, path := range []string{unsafePath, safePath, streamPath} {
		for range lastRequests {
			if !c.served(ctx, path) && ctx.Err() == nil {
				w.ledger.breaks(RequestsServed, "", "no request to %s was served in %d tries after all faults", path, lastTries)
			}
		}
	}
}

// served asks until one request is answered.
func (c *client) served(ctx context.Context, path string) bool {
	for range lastTries {
		if c.ask(path) || ctx.Err() != nil {
			return true
		}
		time.Sleep(lastTryPause)
	}
	return false
}
