package spread

import (
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Limits on the configuration changes in one message.
const (
	maxChangesPerMessage     = 64
	maxChangeBytesPerMessage = 64 << 10
)

// configuration is the revision in force and the log of the changes that led to
// it.
type configuration struct {
	current   *conf.Snapshot
	changes   []conf.Change
	logLength int
	err       error
}

// apply applies the changes that directly follow the revision in force and
// skips those that are older. It stops at a gap or at a change that cannot be
// applied, so the revision never goes back. It reports whether the revision
// increased.
func (c *configuration) apply(changes []conf.Change) bool {
	increased := false
	for _, change := range changes {
		if change.Revision <= c.current.Revision {
			continue
		}
		if change.Revision != c.current.Revision+1 {
			return increased
		}
		next, err := c.current.Apply(change)
		if err != nil {
			c.err = fault.Wrap("Spreader.apply", Refused, err)
			return increased
		}
		c.current, c.err = next, nil
		c.changes = append(c.changes, change)
		if extra := len(c.changes) - c.logLength; extra > 0 {
			c.changes = append(c.changes[:0:0], c.changes[extra:]...)
		}
		increased = true
	}
	return increased
}

// replace puts a snapshot in force if its revision is higher than the current
// one, and reports whether it did.
func (c *configuration) replace(snapshot *conf.Snapshot) bool {
	if snapshot == nil || snapshot.Revision <= c.current.Revision {
		return false
	}
	c.current, c.err = snapshot, nil
	c.changes = nil
	return true
}

// since returns the changes after revision, limited to what fits into one
// message. If the log no longer holds the first of them, it returns the whole
// configuration instead.
func (c *configuration) since(revision id.Revision) ([]conf.Change, *conf.Snapshot) {
	if revision >= c.current.Revision {
		return nil, nil
	}
	if len(c.changes) == 0 || c.changes[0].Revision > revision+1 {
		return nil, c.current
	}
	var out []conf.Change
	bytes := 0
	for _, change := range c.changes[revision+1-c.changes[0].Revision:] {
		bytes += len(change.Value)
		if len(out) == maxChangesPerMessage || (len(out) > 0 && bytes > maxChangeBytesPerMessage) {
			break
		}
		out = append(out, change)
	}
	return out, nil
}

// ApplyChanges applies changes that were read from the key-value service and
// reports whether the revision increased.
func (s *Spreader) ApplyChanges(changes ...conf.Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.markUrgentIf(s.config.apply(changes))
}

// ApplySnapshot applies a whole configuration that was read from the key-value
// service and reports whether the revision increased.
func (s *Spreader) ApplySnapshot(snapshot *conf.Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.markUrgentIf(s.config.replace(snapshot))
}

// Snapshot returns the configuration in force. Callers must not modify it.
func (s *Spreader) Snapshot() *conf.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.current
}

// ConfigError returns why a newer revision could not be applied, or nil.
func (s *Spreader) ConfigError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.err
}

func (s *Spreader) markUrgentIf(increased bool) bool {
	if increased {
		s.urgent = true
	}
	return increased
}
