package route

import (
	"sync"
	"sync/atomic"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// replica is what a router holds of one target, over all snapshots.
type replica struct {
	name id.Target
	slot atomic.Pointer[member.TargetRef]
	// distance holds a distance.
	distance atomic.Uint32
	// own and ownShort count this entry's work there.
	own      atomic.Int32
	ownShort atomic.Int32
	// ownPrefill counts the prompt tokens sent that have no first token yet.
	ownPrefill atomic.Int32
	recent     history
	outlier    outlier
	hints      hints
}

// Lengths of a replica's history of begun and ended work.
const (
	historyStep  = 250 * time.Millisecond
	historySteps = 16
)

// history counts begun less ended work by time, to tell what a report of some
// age has not seen. A step is the number of historyStep since 1970.
type history struct {
	// newest is the last step that counts; it spares readers the lock.
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

// since returns begun less ended work after at: all of it, and the short part.
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

// load is what a replica is believed to carry at one time.
type load struct {
	slots   int
	active  float64
	short   float64
	pace    time.Duration
	prefill time.Duration
	// queuedPrefill is the number of prompt tokens ahead.
	queuedPrefill float64
}

// loadAt combines the report, its age, and what this entry did since. The
// older the report, the more the mean occupancy of all replicas counts.
func (r *replica) loadAt(report *member.TargetReport, mean float64, ageScale time.Duration, now time.Time) load {
	l := load{
		slots:         max(1, report.Slots),
		pace:          max(report.Pace, time.Microsecond),
		prefill:       max(report.PrefillPerToken, time.Microsecond),
		queuedPrefill: float64(report.QueuedPrefill),
	}
	net, short := r.recent.since(report.At, now)
	age := max(0, now.Sub(report.At))
	weight := float64(ageScale) / float64(ageScale+age)
	l.active = weight*float64(report.Running+report.Queued) + (1-weight)*mean*float64(l.slots) + float64(net)
	l.short = weight*float64(report.ShortRunning) + float64(short)
	l.active = max(l.active, float64(r.own.Load()))
	l.short = min(max(l.short, float64(r.ownShort.Load())), l.active)
	l.queuedPrefill = max(l.queuedPrefill, float64(r.ownPrefill.Load()))
	return l
}

// wait returns the expected time until the first token, and whether a slot is
// free for the class.
func (l *load) wait(class generation.Class, headroom, meanTokens float64, prompt int) (time.Duration, bool) {
	slots := float64(l.slots)
	queue := l.active - slots
	if class == generation.Short {
		// Short work goes ahead of all that waits, but not of what runs.
		queue = min(queue, l.short)
	} else {
		queue += max(0, headroom*slots-l.short)
	}
	free := queue <= -1
	var wait time.Duration
	if !free {
		hold := meanTokens * float64(l.pace)
		wait = time.Duration((max(queue, -1) + 2) * hold / slots)
	}
	ahead := float64(prompt)
	if class != generation.Short {
		ahead += l.queuedPrefill
	}
	return wait + time.Duration(ahead*float64(l.prefill)), free
}
