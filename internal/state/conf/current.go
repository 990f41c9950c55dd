package conf

import (
	"sync"
	"sync/atomic"

	"foxtailward.example/foxtailward/internal/state/id"
)

// Current holds the configuration in force in one process. Its revision only
// increases. Reading it takes no lock.
type Current struct {
	snapshot atomic.Pointer[Snapshot]

	mu      sync.Mutex
	changed chan struct{}
}

// NewCurrent returns a Current that holds the empty configuration.
func NewCurrent() *Current {
	c := &Current{changed: make(chan struct{})}
	c.snapshot.Store(Empty())
	return c
}

// Snapshot returns the configuration in force. The caller must not modify it.
func (c *Current) Snapshot() *Snapshot { return c.snapshot.Load() }

// Revision returns the revision in force.
func (c *Current) Revision() id.Revision { return c.Snapshot().Revision }

// Update puts s in force if it is newer than the configuration in force, and
// reports whether it did so.
func (c *Current) Update(s *Snapshot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Revision <= c.Revision() {
		return false
	}
	c.snapshot.Store(s)
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed when a revision newer than the one
// now in force is put in force.
func (c *Current) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
