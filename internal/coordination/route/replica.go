package route

import (
	"sync"
	"sync/atomic"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// replica is a router's state of one target. It outlives the snapshots of the
// view.
type replica struct {
	name   id.Target
	target atomic.Pointer[member.TargetRef]
	// distance holds a value of the type distance.
	distance atomic.Uint32
	// inFlight and shortInFlight count this entry's requests at the target: all
	// of them, and those of class Short.
	inFlight      atomic.Int32
	shortInFlight atomic.Int32
	// pendingPrefill counts the prompt tokens of those requests that have no
	// first token yet.
	pendingPrefill atomic.Int32
	recent         history
	outlier        outlier
	hints          cacheHints
}

// Resolution and length of a replica's history of begun and ended requests.
const (
	historyStep  = 250 * time.Millisecond
	historySteps = 16
)

// history counts begun minus ended requests by time, to find what a load report
// of a given age does not include yet. A step is the number of historyStep
// intervals since 1970.
type history struct {
	// newest is the last step with a count. Readers that ask for a later time
	// need not take the lock.
	newest atomic.Int64
	mu     sync.Mutex
	step   [historySteps]int64
	net    [historySteps]int32
	short  [historySteps]int32
}

func (h *history) add(now time.Time, class generation.Class, n int32) {
	step := now.UnixNano() / int64(historyStep)
	i := step % historySteps
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.step[i] != step {
		h.step[i], h.net[i], h.short[i] = step, 0, 0
		h.newest.Store(step)
	}
	h.net[i] += n
	if class == generation.Short {
		h.short[i] += n
	}
}

// since returns begun minus ended requests after at: all of them, and those of
// class Short.
func (h *history) since(at, now time.Time) (net, short int32) {
	first := at.UnixNano() / int64(historyStep)
	if h.newest.Load() < first {
		return 0, 0
	}
	last := now.UnixNano() / int64(historyStep)
	first = max(first, last-historySteps+1)
	h.mu.Lock()
	defer h.mu.Unlock()
	for step := first; step <= last; step++ {
		i := step % historySteps
		if h.step[i] == step {
			net += h.net[i]
			short += h.short[i]
		}
	}
	return net, short
}

// load is the estimated load of a replica at one time.
type load struct {
	slots   int
	active  float64
	short   float64
	pace    time.Duration
	prefill time.Duration
	// queuedPrefill is the number of prompt tokens to be computed before those
	// of a new request.
	queuedPrefill float64
}

// loadAt estimates the load from the target's last report, the age of the
// report, and the requests that this entry has begun and ended since. The older
// the report, the more weight the mean occupancy of all replicas has.
func (r *replica) loadAt(report *member.TargetReport, meanOccupancy float64, ageScale time.Duration, now time.Time) load {
	l := load{
		slots:         max(1, report.Slots),
		pace:          max(report.Pace, time.Microsecond),
		prefill:       max(report.PrefillPerToken, time.Microsecond),
		queuedPrefill: float64(report.QueuedPrefill),
	}
	net, short := r.recent.since(report.At, now)
	age := max(0, now.Sub(report.At))
	weight := float64(ageScale) / float64(ageScale+age)
	l.active = weight*float64(report.Running+report.Queued) + (1-weight)*meanOccupancy*float64(l.slots) + float64(net)
	l.short = weight*float64(report.ShortRunning) + float64(short)
	l.active = max(l.active, float64(r.inFlight.Load()))
	l.short = min(max(l.short, float64(r.shortInFlight.Load())), l.active)
	l.queuedPrefill = max(l.queuedPrefill, float64(r.pendingPrefill.Load()))
	return l
}

// wait returns the expected time until the first token, and whether a slot is
// free for the class.
func (l *load) wait(class generation.Class, headroom, meanTokens float64, prompt int) (time.Duration, bool) {
	slots := float64(l.slots)
	queue := l.active - slots
	if class == generation.Short {
		// Short requests go ahead of all that wait, but don't preempt those that
		// run.
		queue = min(queue, l.short)
	} else {
		queue += max(0, headroom*slots-l.short)
	}
	free := queue <= -1
	var wait time.Duration
	if !free {
		slotTime := meanTokens * float64(l.pace)
		wait = time.Duration((max(queue, -1) + 2) * slotTime / slots)
	}
	ahead := float64(prompt)
	if class != generation.Short {
		ahead += l.queuedPrefill
	}
	return wait + time.Duration(ahead*float64(l.prefill)), free
}
