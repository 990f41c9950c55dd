package route

import (
	"math"
	"sync/atomic"
	"time"
)

// outlier is the ejection state of a replica. A replica that fails or is much
// slower than the others gets no requests for a time. After that, one probe at
// a time is let through until one succeeds.
type outlier struct {
	// ejectedUntil is when the replica may be probed, in Unix nanoseconds; 0
	// means that it is not ejected.
	ejectedUntil atomic.Int64
	probingUntil atomic.Int64
	failures     atomic.Int32
	ejections    atomic.Int32
	// pace is the smoothed time between tokens, as the bits of a float64.
	pace     atomic.Uint64
	observed atomic.Int32
}

// standing says whether a replica is in use, ejected, or due for a probe.
type standing uint8

const (
	inUse standing = iota
	ejected
	probeDue
)

func (o *outlier) standing(now time.Time) standing {
	until := o.ejectedUntil.Load()
	switch {
	case until == 0:
		return inUse
	case now.UnixNano() < until || now.UnixNano() < o.probingUntil.Load():
		return ejected
	}
	return probeDue
}

// tryProbe reports whether the caller may probe the replica. Within the timeout
// only one caller may.
func (o *outlier) tryProbe(now time.Time, timeout time.Duration) bool {
	until := o.probingUntil.Load()
	if now.UnixNano() < until {
		return false
	}
	return o.probingUntil.CompareAndSwap(until, now.Add(timeout).UnixNano())
}

func (o *outlier) eject(now time.Time, base, longest time.Duration) {
	times := o.ejections.Add(1)
	duration := min(base<<min(times-1, 16), longest)
	o.probingUntil.Store(0)
	o.ejectedUntil.Store(now.Add(duration).UnixNano())
}

func (o *outlier) restore() {
	o.ejectedUntil.Store(0)
	o.probingUntil.Store(0)
	o.failures.Store(0)
	o.observed.Store(0)
}

// paceSmoothing is the weight of a new observation of a replica's pace.
const paceSmoothing = 0.3

// observePace adds an observed time between tokens, and returns the smoothed
// time and the number of observations.
func (o *outlier) observePace(pace time.Duration) (time.Duration, int32) {
	n := o.observed.Add(1)
	old := math.Float64frombits(o.pace.Load())
	next := float64(pace)
	if n > 1 && old > 0 {
		next = old + paceSmoothing*(next-old)
	}
	o.pace.Store(math.Float64bits(next))
	return time.Duration(next), n
}
