package direct

import (
	"context"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/timing"
)

const (
	// searchInterval is the time between two health checks of a lost target's
	// address.
	searchInterval = 200 * time.Millisecond
	// reuseMargin is how long before the end of the address reuse time a search
	// stops. It covers pauses of this host that are too short to be detected.
	reuseMargin = 400 * time.Millisecond
	// maxSearches limits the number of concurrent searches.
	maxSearches = 64
	// successorReportTime is how long a found successor is reported to other
	// entries.
	successorReportTime = time.Second
)

// successorFinder finds the targets that replace lost ones before the key-value
// service lists them, because the service may be unavailable or deliver changes
// late.
//
// A target that ends is restarted at the same address under another name. For
// the address reuse time after its end, the address is not given to another
// service, so whoever answers there is its successor. After that time no health
// check is sent. It is safe for concurrent use.
type successorFinder struct {
	e *Entry

	mu sync.Mutex
	// searching holds the addresses with a running search.
	searching map[string]bool
	// recent holds the found successors, ordered by time.
	recent []foundSuccessor
}

type foundSuccessor struct {
	at time.Time
	direct.Successor
}

func newSuccessorFinder(e *Entry) *successorFinder {
	return &successorFinder{e: e, searching: map[string]bool{}}
}

// start searches for the successor of a target that was just lost, unless such a
// search is running already.
func (s *successorFinder) start(t *catalog.Target) {
	now := s.e.deps.Clock.Now()
	s.e.checkClocks()
	if s.e.pauses.endedWithin(now, s.e.cfg.Limits.AddressReuse()) {
		return
	}
	lastActivity := s.e.balancer.LastActivity(now, t)
	end := lastActivity.Add(s.e.cfg.Limits.AddressReuse() - reuseMargin)
	path := s.healthPath(t)
	if path == "" || !now.Before(end) || !s.acquire(t.Address) {
		return
	}
	go func() {
		defer s.release(t.Address)
		s.search(t, path, lastActivity, end)
	}()
}

// healthPath returns the path at which targets of the service report their
// names.
func (s *successorFinder) healthPath(t *catalog.Target) string {
	cfg := s.e.directory.View().Config
	if cfg == nil {
		return ""
	}
	return cfg.Services[t.Service].HealthPath
}

func (s *successorFinder) acquire(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.searching[address] || len(s.searching) >= maxSearches {
		return false
	}
	s.searching[address] = true
	return true
}

func (s *successorFinder) release(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.searching, address)
}

// search sends health checks to the address until its successor answers, the
// directory lists another target there, the lost target sends something again,
// or end has passed. lastActivity is when the lost target last sent something.
func (s *successorFinder) search(t *catalog.Target, path string, lastActivity, end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	for timing.Sleep(ctx, s.e.deps.Clock, searchInterval) {
		if !s.unreplaced(t) || s.e.balancer.LastActivity(s.e.deps.Clock.Now(), t).After(lastActivity) {
			return
		}
		if s.e.withdrawn.Paused(s.e.deps.Clock.Now(), t.Key()) {
			continue
		}
		identity, ok := s.identify(ctx, t, path, end)
		if !ok {
			continue
		}
		if identity.Target != t.ID && identity.Slots == t.Slots {
			s.observeStart(ctx, t, identity.Target)
			s.record(direct.Successor{Target: identity.Target, Predecessor: t.ID, Incarnation: t.Incarnation})
		}
		return
	}
}

// observeStart records the start of a found successor before requests are sent there, so that the streams
// that it begins can be told from those of a later process under its name.
func (s *successorFinder) observeStart(ctx context.Context, predecessor *catalog.Target, name id.Target) {
	if !s.e.startsNamed.Load() {
		return
	}
	successor := *predecessor
	successor.ID, successor.Incarnation = name, 0
	if report := s.e.reports.confirm(ctx, &successor); report.start != 0 {
		s.e.observeProcess(&successor, report.start)
	}
}

// unreplaced reports whether the target is still listed and no other target is
// listed at its address.
func (s *successorFinder) unreplaced(t *catalog.Target) bool {
	targets := s.e.directory.View().Targets[t.Service]
	for _, other := range targets {
		if other.Address == t.Address && other.ID != t.ID {
			return false
		}
	}
	return targets.Find(t.ID) != nil
}

// identify requests its name from the process at the target's address. It returns
// false for an answer that arrives too late to be trusted.
func (s *successorFinder) identify(ctx context.Context, t *catalog.Target, path string, end time.Time) (direct.Identity, bool) {
	answer, err := s.e.pool.Do(ctx, t.Address, healthRequest(t, path), end)
	if err != nil {
		// Nothing is listening at the address yet.
		return direct.Identity{}, false
	}
	defer answer.Close()
	identity, ok := s.e.deps.Dialect.DecodeIdentity(answer.Status, answer.Header)
	s.e.checkClocks()
	now := s.e.deps.Clock.Now()
	return identity, ok && now.Before(end) && !s.e.pauses.endedWithin(now, s.e.cfg.Limits.AddressReuse())
}

func (s *successorFinder) record(found direct.Successor) {
	if !s.e.storeWatcher.addSuccessor(found) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent = append(s.recent, foundSuccessor{s.e.deps.Clock.Now(), found})
}

// recentlyFound returns the successors to report to other entries.
func (s *successorFinder) recentlyFound(now time.Time) []direct.Successor {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.recent) > 0 && now.Sub(s.recent[0].at) > successorReportTime {
		s.recent = s.recent[1:]
	}
	var successors []direct.Successor
	for i := range s.recent {
		successors = append(successors, s.recent[i].Successor)
	}
	return successors
}
