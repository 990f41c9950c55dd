package soak

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// settleTime is how long the effects of a fault may last after its end. For this
// time, entries avoid targets and zones that they lost.
const settleTime = 5 * time.Second

// faultWindows records the times of faults. It is safe for concurrent use.
type faultWindows struct {
	// settle is how long the effects of a fault last after its end.
	settle  time.Duration
	mu      sync.Mutex
	windows []window
}

// window is the time of a fault and of its effects. to is zero while the fault lasts.
type window struct{ from, to time.Time }

// begin records the start of a fault. The returned function records its end.
func (w *faultWindows) begin() (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := len(w.windows)
	w.windows = append(w.windows, window{from: time.Now()})
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.windows[i].to = time.Now().Add(w.settle)
	}
}

// overlap reports whether a fault or its effects overlap the time between from and to.
func (w *faultWindows) overlap(from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.windows, func(f window) bool {
		return f.from.Before(to) && (f.to.IsZero() || f.to.After(from))
	})
}

// outages records the times at which no entry serves because all are being stopped. It is
// safe for concurrent use.
type outages struct {
	entries int
	windows faultWindows

	mu      sync.Mutex
	stopped int
	end     func()
}

// stop records that an entry is being stopped. The returned function records that it serves
// again.
func (o *outages) stop() (serves func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped++; o.stopped == o.entries {
		o.end = o.windows.begin()
	}
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.stopped--; o.end != nil {
			o.end()
			o.end = nil
		}
	}
}

// counter counts events by name. It is safe for concurrent use.
type counter struct {
	mu     sync.Mutex
	counts map[string]int
}

func newCounter() *counter { return &counter{counts: map[string]int{}} }

func (c *counter) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
}

// count returns the count of a name.
func (c *counter) count(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[name]
}

func (c *counter) all() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}
