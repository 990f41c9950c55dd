package route

import (
	"math"
	"sync/atomic"
	"time"
)

// outlier puts a replica aside that fails or is much slower than the others,
// and lets one request at a time through once its time is over.
type outlier struct {
	// until is when the replica may be tried again, in Unix nanoseconds; 0
	// while it is not aside.
	until    atomic.Int64
	probing  atomic.Int64
	failures atomic.Int32
	times    atomic.Int32
	// pace is the smoothed time between tokens, as the bits of a float64.
	pace     atomic.Uint64
	observed atomic.Int32
}

// standing is how a replica stands with its outlier state.
type standing uint8

const (
	inUse standing = iota
	aside
	dueForProbe
)

func (o *outlier) standing(now time.Time) standing {
	until := o.until.Load()
	switch {
	case until == 0:
		return inUse
	case now.UnixNano() < until || now.UnixNano() < o.probing.Load():
		return aside
	}
	return dueForProbe
}

// probe takes the right to try the replica; one caller in a time gets it.
func (o *outlier) probe(now time.Time, lasts time.Duration) bool {
	held := o.probing.Load()
	if now.UnixNano() < held {
		return false
	}
	return o.probing.CompareAndSwap(held, now.Add(lasts).UnixNano())
}

func (o *outlier) putAside(now time.Time, first, longest time.Duration) {
	times := o.times.Add(1)
	hold := min(first<<min(times-1, 16), longest)
	o.probing.Store(0)
	o.until.Store(now.Add(hold).UnixNano())
}

func (o *outlier) takeBack() {
	o.until.Store(0)
	o.probing.Store(0)
	o.failures.Store(0)
	o.observed.Store(0)
}

// paceSmoothing is the weight of a new observation of a pace.
const paceSmoothing = 0.3

// observePace takes over an observed time between tokens and returns the
// smoothed one with the number of observations.
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
