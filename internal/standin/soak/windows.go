package soak

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// settleTime is how long after a fault its effects may still be seen: targets and
// zones that were lost are avoided for as long.
const settleTime = 5 * time.Second

// windows holds the times of faults that nobody planned. It is safe for
// concurrent use.
type windows struct {
	mu    sync.Mutex
	spans []span
}

// span is the time of a fault and of its effects; to is zero while it goes on.
type span struct{ from, to time.Time }

// begin notes that a fault begins. The returned function notes its end.
func (s *windows) begin() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.spans)
	s.spans = append(s.spans, span{from: time.Now()})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.spans[i].to = time.Now().Add(settleTime)
	}
}

// overlap reports whether a fault, or its effects, lay between two times.
func (s *windows) overlap(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.spans, func(f span) bool {
		return f.from.Before(to) && (f.to.IsZero() || f.to.After(from))
	})
}

// tally counts by name. It is safe for concurrent use.
type tally struct {
	mu sync.Mutex
	n  map[string]int
}

func newTally() *tally { return &tally{n: map[string]int{}} }

func (t *tally) add(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n[name]++
}

func (t *tally) all() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.n)
}
