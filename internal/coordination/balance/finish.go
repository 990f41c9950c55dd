package balance

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// usualWork is the time in seconds that a plain request takes while nothing is known.
	usualWork = 0.1
	// delayShare is how much the delay of a running generation by the new prompt counts,
	// relative to a delay of the request itself.
	delayShare = 0.5
	// answerShare is how much a later end of a stream counts, relative to a later beginning:
	// callers need the first event soon, and the others without a pause.
	answerShare = 0.25
)

// byFinish reports whether requests for a service are placed by when they are expected to be
// finished, and not by count.
func (b *Balancer) byFinish(service id.Service) bool { return b.Ordered || b.uneven[service] }

// finishCost returns the expected time until an engine has finished the request and what
// that costs those that run there, in seconds; for plain services in units of the work.
func (b *Balancer) finishCost(now time.Time, request Request, r *record, t *catalog.Target) float64 {
	l := b.total(r, t)
	l.Running = max(l.Running, r.toldCount(now))
	pace := b.paceOf(now, r, l, t)
	if request.Engine == nil {
		return b.serviceFinish(now, request, l, pace, t)
	}
	return b.engineFinish(now, request, l, pace, t)
}

func (b *Balancer) serviceFinish(now time.Time, request Request, l Load, pace Pace, t *catalog.Target) float64 {
	work := seconds(b.usualSeconds(workKind{t.Service, request.Kind}, usualWork))
	// Slots in use make it likely that others whose requests are not known yet take the rest.
	slots := max(1, t.Slots)
	crowd := 1 + float64(l.Running+max(0, l.Running+1-slots))/float64(slots)
	cost := crowd * pace.Slowness(now, work) * coldness(now, t, work)
	if t.Zone != b.zone {
		cost += otherZoneShare
	}
	return cost
}

func (b *Balancer) engineFinish(now time.Time, request Request, l Load, pace Pace, t *catalog.Target) float64 {
	prompt := float64(request.PromptTokens) / prefillPerSecond
	ahead := b.backlogOf(now, t.ID, l) / prefillPerSecond
	untilBegun := seconds(prompt + ahead)
	slowness := pace.Slowness(now, untilBegun) * coldness(now, t, untilBegun)
	cost := (ahead + prompt) * slowness
	cost += max(runCost, delayShare*prompt*slowness)*float64(l.Running) + backupHeldCost*float64(l.Backups)
	begins := now.Add(seconds((ahead + prompt) * slowness))
	answer := b.usualSeconds(workKind{t.Service, answerTime}, 0)
	cost += answerShare * answer * pace.Slowness(begins, seconds(answer)) * coldness(begins, t, seconds(answer))
	if t.Zone != b.zone {
		cost += otherZoneCost
	}
	return cost + memoryCost*memoryShare(request, l)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// coldness returns the factor by which work over a span that begins now takes longer because
// the target is not yet at full speed.
func coldness(now time.Time, t *catalog.Target, span time.Duration) float64 {
	cold := t.WarmAt.Sub(now)
	if cold <= 0 {
		return 1
	}
	if cold >= span {
		return coldFactor
	}
	return 1 + (coldFactor-1)*cold.Seconds()/span.Seconds()
}

// toldCount returns the requests that the target has by its own word, if that is recent, and
// 0 otherwise.
func (r *record) toldCount(now time.Time) int {
	if r.loadAt.IsZero() || now.Sub(r.loadAt) > countLifetime {
		return 0
	}
	return r.load.Running + r.load.Waiting
}

// fits reports whether an engine has the memory for so many further requests like this one,
// beside what all entries have there. Elsewhere than in services that are placed by finish,
// memory is a cost only.
func (b *Balancer) fits(now time.Time, request Request, t *catalog.Target, times int) bool {
	if request.Engine == nil || request.Engine.MemoryTokens == 0 || !b.byFinish(t.Service) {
		return true
	}
	l := b.total(b.record(now, t), t)
	return l.MemoryTokens+times*request.memory() <= request.Engine.MemoryTokens
}

// Fits reports whether an engine has the memory for a request, as far as this entry knows.
func (b *Balancer) Fits(now time.Time, request Request, t *catalog.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fits(now, request, t, 1)
}

// OutOfMemory reports whether at least one of the targets is ready and none that is has the
// memory for the request.
func (b *Balancer) OutOfMemory(now time.Time, request Request, targets catalog.Targets) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ready := false
	for _, t := range targets {
		if t.State != catalog.Ready {
			continue
		}
		if b.fits(now, request, t, 1) {
			return false
		}
		ready = true
	}
	return ready
}
