package rollout

import (
	"math"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
)

const (
	// timeBuckets is the number of steps of an answer's time. Each is a factor of
	// bucketFactor longer than the one before; the first ends at bucketBase.
	timeBuckets  = 32
	bucketFactor = math.Sqrt2
	bucketBase   = time.Millisecond
	// maxCount limits a count that another entry reports.
	maxCount = 1 << 30
	// maxRoutes limits the routes that are counted.
	maxRoutes = 200
)

// Tally counts the answers of one version on one route.
type Tally struct {
	// Failed counts the answers that were failures or broke off.
	Failed int `json:"failed,omitempty"`
	// Untimed counts the others whose time says nothing.
	Untimed int `json:"untimed,omitempty"`
	// Times counts the rest by the bucket of their time; trailing zeros are left out.
	Times []int `json:"times,omitempty"`
}

// Total returns the number of answers.
func (t Tally) Total() int {
	n := t.Failed + t.Untimed
	for _, count := range t.Times {
		n += count
	}
	return n
}

func (t *Tally) add(o Tally, sign int) {
	t.Failed += sign * o.Failed
	t.Untimed += sign * o.Untimed
	for len(t.Times) < len(o.Times) {
		t.Times = append(t.Times, 0)
	}
	for i, count := range o.Times {
		t.Times[i] += sign * count
	}
}

// RouteCounts counts the answers on one route by version.
type RouteCounts struct {
	Old Tally `json:"old"`
	New Tally `json:"new"`
}

// Counts counts answers by the name of their route.
type Counts map[string]*RouteCounts

// Answer is one answer of a target.
type Answer struct {
	Route  string
	New    bool
	Failed bool
	// Took is the time to the answer, or to its first event. It is 0 if it says nothing, for
	// example because the target is still warming up.
	Took time.Duration
	// Pace says that Took is the mean time between a stream's events.
	Pace bool
}

// paceSuffix follows the name of a route under which the pace of its streams is counted.
const paceSuffix = " pace"

// Add records an answer.
func (c Counts) Add(a Answer) {
	name := a.Route
	if a.Pace {
		name += paceSuffix
	}
	r := c[name]
	if r == nil {
		if len(c) >= maxRoutes {
			return
		}
		r = &RouteCounts{}
		c[name] = r
	}
	t := &r.Old
	if a.New {
		t = &r.New
	}
	switch {
	case a.Failed:
		t.Failed++
		return
	case a.Took <= 0:
		t.Untimed++
		return
	}
	b := bucketOf(a.Took)
	for len(t.Times) <= b {
		t.Times = append(t.Times, 0)
	}
	t.Times[b]++
}

// bucketOf returns the bucket of a time.
func bucketOf(took time.Duration) int {
	if took <= bucketBase {
		return 0
	}
	steps := math.Ceil(math.Log(float64(took)/float64(bucketBase)) / math.Log(bucketFactor))
	return min(int(steps), timeBuckets-1)
}

// Merge adds what another entry has counted.
func (c Counts) Merge(o Counts) {
	for route, counts := range o {
		if c[route] == nil {
			c[route] = &RouteCounts{}
		}
		c[route].Old.add(counts.Old, 1)
		c[route].New.add(counts.New, 1)
	}
}

// Clone returns a copy.
func (c Counts) Clone() Counts {
	clone := make(Counts, len(c))
	clone.Merge(c)
	return clone
}

// Validate returns an error of kind Malformed for counts that are out of range.
func (c Counts) Validate() error {
	const op = "Counts.Validate"
	bad := func(t Tally) bool {
		outOfRange := func(n int) bool { return n < 0 || n > maxCount }
		return len(t.Times) > timeBuckets || outOfRange(t.Failed) || outOfRange(t.Untimed) || slices.ContainsFunc(t.Times, outOfRange)
	}
	if len(c) > maxRoutes {
		return fault.New(op, Malformed, "counts of %d routes", len(c))
	}
	for route, counts := range c {
		if counts == nil || bad(counts.Old) || bad(counts.New) {
			return fault.New(op, Malformed, "counts of route %q are out of range", route)
		}
	}
	return nil
}
