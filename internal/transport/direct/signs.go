package direct

import (
	"context"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// signTimeout is how long a target may take to answer whether it lives.
const signTimeout = 300 * time.Millisecond

// signsOfLife asks targets whether they live by a health check, where a run's silence does not
// tell. The answer does not depend on a queue of requests. It is safe for concurrent use.
type signsOfLife struct {
	e *Entry

	mu     sync.Mutex
	asking map[id.TargetIncarnation]bool
}

func newSignsOfLife(e *Entry) *signsOfLife {
	return &signsOfLife{e: e, asking: map[id.TargetIncarnation]bool{}}
}

// ask has the balancer told whether the target lives, unless it is being asked already. It does not
// block. It returns false if the target can't be asked.
func (s *signsOfLife) ask(t *catalog.Target) bool {
	path := s.e.successors.healthPath(t)
	if path == "" || s.e.stopped() || s.e.withdrawn.Paused(s.e.deps.Clock.Now(), t.Key()) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.asking[t.Key()] {
		s.asking[t.Key()] = true
		go s.askNow(t, path)
	}
	return true
}

func (s *signsOfLife) askNow(t *catalog.Target, path string) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.asking, t.Key())
	}()
	ctx, cancel := context.WithTimeout(context.Background(), signTimeout)
	defer cancel()
	answered := s.answers(ctx, t, path)
	s.e.balancer.RecordSign(s.e.deps.Clock.Now(), t, answered)
	s.e.metrics.signAsked(t.Service, answered)
}

// answers reports whether the target answers under its own name, whatever it says about its health.
func (s *signsOfLife) answers(ctx context.Context, t *catalog.Target, path string) bool {
	name, named, err := s.e.reports.nameAt(ctx, t, path, s.e.deps.Clock.Now().Add(signTimeout))
	return err == nil && named && name == t.ID
}
