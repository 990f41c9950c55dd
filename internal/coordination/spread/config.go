package spread

import (
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Bounds of what one message carries of the configuration.
const (
	maxChanges     = 64
	maxChangeBytes = 64 << 10
)

// configuration is the revision in force with the changes that led to it.
type configuration struct {
	current *conf.Snapshot
	changes []conf.Change
	kept    int
	refused error
}

// apply takes over the changes that follow the revision in force. It never
// goes back. It returns whether the revision rose.
func (c *configuration) apply(changes []conf.Change) bool {
	rose := false
	for _, change := range changes {
		if change.Revision <= c.current.Revision {
			continue
		}
		if change.Revision != c.current.Revision+1 {
			return rose
		}
		next, err := c.current.Apply(change)
		if err != nil {
			c.refused = fault.Wrap("Spreader.apply", Refused, err)
			return rose
		}
		c.current, c.refused = next, nil
		c.changes = append(c.changes, change)
		if extra := len(c.changes) - c.kept; extra > 0 {
			c.changes = append(c.changes[:0:0], c.changes[extra:]...)
		}
		rose = true
	}
	return rose
}

// replace takes over a snapshot of a higher revision.
func (c *configuration) replace(snapshot *conf.Snapshot) bool {
	if snapshot == nil || snapshot.Revision <= c.current.Revision {
		return false
	}
	c.current, c.refused = snapshot, nil
	c.changes = nil
	return true
}

// since returns the changes after revision within a message's bounds, or the
// snapshot when the first of them is no longer held.
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
		if len(out) == maxChanges || (len(out) > 0 && bytes > maxChangeBytes) {
			break
		}
		out = append(out, change)
	}
	return out, nil
}

// ApplyChanges takes over changes that were read from the key-value service, and
// returns whether the revision rose.
func (s *Spreader) ApplyChanges(changes ...conf.Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.noteRise(s.config.apply(changes))
}

// ApplySnapshot takes over a configuration that was read from the key-value
// service, and returns whether the revision rose.
func (s *Spreader) ApplySnapshot(snapshot *conf.Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.noteRise(s.config.replace(snapshot))
}

// Snapshot returns the configuration in force. It must not be changed.
func (s *Spreader) Snapshot() *conf.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.current
}

// ConfigError returns why a newer revision could not be put in force.
func (s *Spreader) ConfigError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.refused
}

func (s *Spreader) noteRise(rose bool) bool {
	if rose {
		s.urgent = true
	}
	return rose
}
