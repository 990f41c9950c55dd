package direct

import (
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/retry"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/settings"
)

// usedShare is the part of what all entries may send again that they use. The
// rest covers what they send before they have told each other.
const usedShare = 0.75

// retryConfig returns what all entries may send again.
func retryConfig(r settings.Retries) retry.Config {
	return retry.Config{
		Ratio:      usedShare * r.Ratio,
		MinRetries: usedShare * r.MinRetries,
		Window:     time.Duration(r.WindowSeconds * float64(time.Second)),
	}
}

// retries holds the budgets of all services, and what the other entries told of
// theirs. It is safe for concurrent use.
type retries struct {
	cfg retry.Config

	mu      sync.Mutex
	budgets map[id.Service]*retry.Budget
	peers   map[id.Entry]peerCounts
}

// peerCounts is what another entry told last.
type peerCounts struct {
	at     time.Time
	counts map[id.Service]retry.Counts
}

func newRetries(cfg retry.Config) *retries {
	return &retries{cfg: cfg, budgets: map[id.Service]*retry.Budget{}, peers: map[id.Entry]peerCounts{}}
}

func (r *retries) budget(now time.Time, service id.Service) *retry.Budget {
	b := r.budgets[service]
	if b == nil {
		b = retry.New(r.cfg, now)
		r.budgets[service] = b
	}
	return b
}

// first notes the first send of a request.
func (r *retries) first(now time.Time, service id.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(now, service).RecordRequest(now)
}

// again reports whether one more send is allowed, and counts it if so.
func (r *retries) again(now time.Time, service id.Service, part float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var others retry.Counts
	for name, p := range r.peers {
		if now.Sub(p.at) > r.cfg.Window {
			delete(r.peers, name)
			continue
		}
		others = others.Add(p.counts[service])
	}
	return r.budget(now, service).TryRetry(now, others, part)
}

// undo takes back a send that did not reach the service.
func (r *retries) undo(now time.Time, service id.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(now, service).UndoRetry(now)
}

// counts returns what this entry sent, for the others.
func (r *retries) counts(now time.Time) map[id.Service]retry.Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[id.Service]retry.Counts, len(r.budgets))
	for service, b := range r.budgets {
		counts[service] = b.Counts(now)
	}
	return counts
}

// heard notes what another entry sent.
func (r *retries) heard(now time.Time, from id.Entry, counts map[id.Service]retry.Counts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers[from] = peerCounts{at: now, counts: counts}
}
