package direct

import (
	"context"
	"net/http"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/transport/upstream"
)

const (
	// searchEvery is the time between two questions to a lost target's address.
	searchEvery = 200 * time.Millisecond
	// reuseMargin is left of the time in which the address can't be another
	// service's. It covers a standstill of this host that is too short to be
	// noticed.
	reuseMargin = 400 * time.Millisecond
	// mostSearches bounds the searches that go on at once.
	mostSearches = 64
	// tellFound is how long other entries are told of a target that was found.
	tellFound = time.Second
)

// searches looks for the targets that take the places of lost ones before the
// key-value service tells of them: it may be away, and changes may come late.
//
// A target that ends starts again at its address under another name. For a while
// after its end the address can't be used for another service, so that whoever
// answers there then is its successor. Nobody is asked after that time. It is
// safe for concurrent use.
type searches struct {
	e *Entry

	mu sync.Mutex
	// going holds the addresses that are being asked.
	going map[string]bool
	// successors are those that were found, by the time.
	successors []foundSuccessor
}

type foundSuccessor struct {
	at time.Time
	direct.Successor
}

func newSearches(e *Entry) *searches { return &searches{e: e, going: map[string]bool{}} }

// begin looks for the successor of a target that was just lost, unless that is
// being done.
func (s *searches) begin(t *catalog.Target) {
	now := s.e.deps.Clock.Now()
	s.e.lookAtClocks()
	if s.e.standstill.within(now, s.e.cfg.Limits.AddressReuse()) {
		return
	}
	alive := s.e.balancer.LastActivity(now, t)
	end := alive.Add(s.e.cfg.Limits.AddressReuse() - reuseMargin)
	path := s.healthPath(t)
	if path == "" || !now.Before(end) || !s.enter(t.Address) {
		return
	}
	go func() {
		defer s.leave(t.Address)
		s.search(t, path, alive, end)
	}()
}

// healthPath returns where targets of a service tell their names.
func (s *searches) healthPath(t *catalog.Target) string {
	cfg := s.e.directory.View().Config
	if cfg == nil {
		return ""
	}
	return cfg.Services[t.Service].HealthPath
}

func (s *searches) enter(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.going[address] || len(s.going) >= mostSearches {
		return false
	}
	s.going[address] = true
	return true
}

func (s *searches) leave(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.going, address)
}

// search asks the address until its successor answers, somebody else tells of
// it, the target sends something after all, or the time is over. alive is when it
// last sent something.
func (s *searches) search(t *catalog.Target, path string, alive, end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.e.deps.Clock.After(searchEvery):
		}
		if !s.wanted(t) || s.e.balancer.LastActivity(s.e.deps.Clock.Now(), t).After(alive) {
			return
		}
		identity, ok := s.ask(ctx, t, path, end)
		if !ok {
			continue
		}
		if identity.Target != t.ID && identity.Slots == t.Slots {
			s.note(direct.Successor{Target: identity.Target, Predecessor: t.ID})
		}
		return
	}
}

// wanted reports whether the target is still taken for the one at its address.
func (s *searches) wanted(t *catalog.Target) bool {
	targets := s.e.directory.View().Targets[t.Service]
	for _, other := range targets {
		if other.Address == t.Address && other.ID != t.ID {
			return false
		}
	}
	return targets.Find(t.ID) != nil
}

// ask asks whoever answers at the target's address for its name. An answer that
// comes too late tells nothing.
func (s *searches) ask(ctx context.Context, t *catalog.Target, path string, end time.Time) (direct.Identity, bool) {
	answer, err := s.e.pool.Do(ctx, t.Address, &upstream.Request{Method: http.MethodGet, URI: path, Host: t.Address, Header: http.Header{}}, end)
	if err != nil {
		// Nobody answers yet.
		return direct.Identity{}, false
	}
	defer answer.Close()
	identity, ok := s.e.deps.Dialect.DecodeIdentity(answer.Status, answer.Header)
	s.e.lookAtClocks()
	now := s.e.deps.Clock.Now()
	return identity, ok && now.Before(end) && !s.e.standstill.within(now, s.e.cfg.Limits.AddressReuse())
}

func (s *searches) note(found direct.Successor) {
	if !s.e.follower.found(found) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.successors = append(s.successors, foundSuccessor{s.e.deps.Clock.Now(), found})
}

// found returns the successors to tell other entries of.
func (s *searches) found(now time.Time) []direct.Successor {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.successors) > 0 && now.Sub(s.successors[0].at) > tellFound {
		s.successors = s.successors[1:]
	}
	var told []direct.Successor
	for i := range s.successors {
		told = append(told, s.successors[i].Successor)
	}
	return told
}
