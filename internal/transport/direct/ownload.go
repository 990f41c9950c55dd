package direct

import (
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/capacity"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
)

// awayIntervals is the number of update intervals for which another entry counts as away after
// it has said so.
const awayIntervals = 4

// bytesPerMegabit converts a link's bandwidth.
const bytesPerMegabit = 1e6 / 8

var errChoked = errors.New("the entry has no room for more clients")

// ownLoad measures how much of its processor and link the entry uses, and decides by it whether
// the entry takes new connections. It is safe for concurrent use.
type ownLoad struct {
	e *Entry
	// processorTime returns the processor time that the process has used; 0 if it is not known.
	processorTime func() time.Duration
	// sent counts the bytes of answers.
	sent atomic.Int64
	away atomic.Bool

	mu sync.Mutex
	// measuredAt is when the load was last measured, and used and counted are what
	// processorTime and sent were then.
	measuredAt time.Time
	used       time.Duration
	counted    int64
	last       capacity.Load
	decider    *capacity.Decider
	// awayUntil holds until when other entries of the zone count as away.
	awayUntil map[id.Entry]time.Time
}

func newOwnLoad(e *Entry) *ownLoad {
	return &ownLoad{e: e, processorTime: processorTime, decider: capacity.New(e.cfg.Name, e.startedAt), awayUntil: map[id.Entry]time.Time{}}
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measure measures the load since the last call, which should have been an interval ago, and
// decides. Where no callers compete, the entry always takes new connections.
func (o *ownLoad) measure(interval time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now, used, sent := o.e.deps.Clock.Now(), o.processorTime(), o.sent.Load()
	span := now.Sub(o.measuredAt)
	if !o.measuredAt.IsZero() && span > 0 {
		limits := &o.e.cfg.Limits
		o.last = capacity.Load{
			Processor: shareOf((used - o.used).Seconds(), limits.CPUShare*span.Seconds()),
			Link:      shareOf(float64(sent-o.counted), limits.LinkMbps*bytesPerMegabit*span.Seconds()),
			Lag:       max(0, span-interval),
		}
	}
	o.measuredAt, o.used, o.counted = now, used, sent
	if !o.e.cfg.Admission.Ordered && !o.e.balancer.AnyUneven() {
		return
	}
	d := o.decider.Observe(now, o.last, o.others(now))
	if o.away.Swap(!d.Accepts) == d.Accepts {
		o.e.deps.Log.Emit(event.CapacityChanged, "accepts", d.Accepts, "reason", d.Reason, "processor", o.last.Processor, "link", o.last.Link, "lag", o.last.Lag)
		o.e.updatePeers()
	}
}

// shareOf returns the share of a limit that is in use, or 0 if there is no limit.
func shareOf(used, limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	return used / limit
}

// others returns the other entries of the zone. The caller holds the lock.
func (o *ownLoad) others(now time.Time) capacity.Others {
	others := capacity.Others{Alive: len(o.e.roster.AliveIn(now, o.e.cfg.Place.Zone))}
	for name, until := range o.awayUntil {
		if now.After(until) {
			delete(o.awayUntil, name)
			continue
		}
		others.Away = append(others.Away, name)
	}
	return others
}

// applyPeer records whether another entry of the zone takes new connections.
func (o *ownLoad) applyPeer(now time.Time, u *direct.PeerUpdate) {
	if u.Zone != o.e.cfg.Place.Zone {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.awayUntil, u.From)
	if u.Away {
		o.awayUntil[u.From] = now.Add(awayIntervals * updateInterval(o.e.roster.CountAlive(now)))
	}
}

// lastLoad returns the load that was measured last.
func (o *ownLoad) lastLoad() capacity.Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.last
}

// registerOwnLoad registers the gauges of the entry's own load.
func (e *Entry) registerOwnLoad() {
	e.metrics.set.RegisterGauge("processorShare", func() float64 { return e.ownLoad.lastLoad().Processor })
	e.metrics.set.RegisterGauge("linkShare", func() float64 { return e.ownLoad.lastLoad().Link })
	e.metrics.set.RegisterGauge("timerLagSeconds", func() float64 { return e.ownLoad.lastLoad().Lag.Seconds() })
}
