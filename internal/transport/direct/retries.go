package direct

import (
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/retry"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/settings"
)

const (
	// usableShare is the part of the retry budget that the entries use. The rest covers
	// what rounding adds, and reports that are lost.
	usableShare = 0.92
	// streamReportAge is how old the other entries' reports of their retries of streams may
	// be. They report each one at once.
	streamReportAge = 200 * time.Millisecond
)

// retryConfig returns the retry budget of all entries together.
func retryConfig(r settings.Retries, random func() float64) retry.Config {
	return retry.Config{
		Ratio:      usableShare * r.Ratio,
		MinRetries: usableShare * r.MinRetries,
		Window:     time.Duration(r.WindowSeconds * float64(time.Second)),
		Random:     random,
	}
}

// retryBudgets holds the retry budgets of all services and the counts that other
// entries reported. It is safe for concurrent use.
type retryBudgets struct {
	cfg retry.Config

	mu      sync.Mutex
	budgets map[id.Service]*retry.Budget
	peers   map[id.Entry]peerCounts
	// waiters holds the requests that wait for a retry.
	waiters map[id.Service]*retry.Waiters
}

// peerCounts are the counts that another entry reported last.
type peerCounts struct {
	at     time.Time
	counts map[id.Service]retry.Counts
}

func newRetryBudgets(cfg retry.Config) *retryBudgets {
	return &retryBudgets{cfg: cfg, budgets: map[id.Service]*retry.Budget{}, peers: map[id.Entry]peerCounts{}, waiters: map[id.Service]*retry.Waiters{}}
}

func (r *retryBudgets) budget(now time.Time, service id.Service) *retry.Budget {
	b := r.budgets[service]
	if b == nil {
		b = retry.New(r.cfg, now)
		r.budgets[service] = b
	}
	return b
}

// recordRequest records the first attempt of a request.
func (r *retryBudgets) recordRequest(now time.Time, service id.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(now, service).RecordRequest(now)
}

// tryRetry reports whether a retry is allowed, and counts it if so. share is the part of
// the common limits that the entries which reach each other may use, and age how old the
// reports of the others may be.
func (r *retryBudgets) tryRetry(now time.Time, service id.Service, share float64, age time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(now, service).TryRetry(now, r.others(now, service, share, age))
}

// mayRetry reports whether retries are left in the budget.
func (r *retryBudgets) mayRetry(now time.Time, service id.Service, share float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(now, service).MayRetry(now, r.others(now, service, share, 0))
}

// hasSpare reports whether more retries are left than are kept for requests that were lost.
func (r *retryBudgets) hasSpare(now time.Time, service id.Service, share float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(now, service).HasSpare(now, r.others(now, service, share, 0))
}

// others returns what is known of the other entries. The caller holds the lock.
func (r *retryBudgets) others(now time.Time, service id.Service, share float64, age time.Duration) retry.Others {
	others := retry.Others{Share: share, Age: age}
	for name, p := range r.peers {
		if now.Sub(p.at) > r.cfg.Window {
			delete(r.peers, name)
			continue
		}
		others.Counts = others.Counts.Add(p.counts[service])
	}
	return others
}

// undoRetry takes back a retry that did not reach the service.
func (r *retryBudgets) undoRetry(now time.Time, service id.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(now, service).UndoRetry(now)
}

// counts returns this entry's requests and retries, for the other entries.
func (r *retryBudgets) counts(now time.Time) map[id.Service]retry.Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[id.Service]retry.Counts, len(r.budgets))
	for service, b := range r.budgets {
		counts[service] = b.Counts(now)
	}
	return counts
}

// demand returns the recent requests for a service at this entry, and at each of the
// entries that were heard from lately.
func (r *retryBudgets) demand(now time.Time, service id.Service) (own int, others map[id.Entry]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	others = make(map[id.Entry]int, len(r.peers))
	for name, p := range r.peers {
		if now.Sub(p.at) <= peerDemandTime {
			others[name] = p.counts[service].Requests
		}
	}
	return r.budget(now, service).Counts(now).Requests, others
}

// setPeerCounts records the counts of another entry.
func (r *retryBudgets) setPeerCounts(now time.Time, from id.Entry, counts map[id.Service]retry.Counts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers[from] = peerCounts{at: now, counts: counts}
}
