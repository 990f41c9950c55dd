package placement

import (
	"context"
	"math"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Times of the leader's lease.
const (
	// LeaseTTL is how long a lease lasts without renewal.
	LeaseTTL = 10 * time.Second
	// RenewInterval is the time between two renewals.
	RenewInterval = 3 * time.Second
	// leaseMargin is taken off the lease, so that a leader stops before another
	// may begin.
	leaseMargin = 2 * time.Second
	// MaxCandidates is the number of entries, by rendezvous, that try to lead.
	MaxCandidates = 3
)

// Leader holds, or tries to hold, the lease of the process that decides. Its
// methods are called by one goroutine, but for Fence.
type Leader struct {
	store *store.Store
	self  id.Entry

	mu    sync.Mutex
	lease store.LeaseID
	fence id.Fence
	until time.Time
}

// NewLeader returns a candidate.
func NewLeader(s *store.Store, self id.Entry) *Leader { return &Leader{store: s, self: self} }

// Fence returns the fencing number, and whether the process decides at now by
// its own clock.
func (l *Leader) Fence(now time.Time) (id.Fence, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.fence != 0 && now.Before(l.until)
}

// RenewOrAcquire renews the lease, or tries to get it when nobody holds it. Now is a
// time before the call, from which the lease counts. It is called each
// RenewEvery; its error is NotLeader or Unavailable.
func (l *Leader) RenewOrAcquire(ctx context.Context, now time.Time) error {
	const op = "Leader.Step"
	if l.lease != 0 {
		left, err := l.store.KeepAlive(ctx, l.lease)
		if err == nil && left > 0 && now.Before(l.until) {
			l.set(l.lease, l.fence, now.Add(min(left, LeaseTTL)-leaseMargin))
			return nil
		}
		if err != nil && !fault.Is(err, store.Invalid) {
			return fault.Wrap(op, Unavailable, err)
		}
		l.set(0, 0, time.Time{})
	}
	current, err := l.store.Get(ctx, store.LeaderKey)
	if err != nil {
		return fault.Wrap(op, Unavailable, err)
	}
	if current.Exists() {
		return fault.New(op, NotLeader, "%s decides", current.Value)
	}
	return l.take(ctx, now)
}

// take writes the leader's key under a new lease. When the answer is lost, the
// key is read back: it is ours only under this lease.
func (l *Leader) take(ctx context.Context, now time.Time) error {
	const op = "Leader.take"
	lease, err := l.store.Grant(ctx, LeaseTTL)
	if err != nil {
		return fault.Wrap(op, Unavailable, err)
	}
	_, err = l.store.Commit(ctx, store.Txn{
		Compares: []store.Compare{{Key: store.LeaderKey}},
		Puts:     []store.Put{{Key: store.LeaderKey, Value: []byte(l.self), Lease: lease}},
	})
	if err != nil && !fault.Is(err, store.Unknown) {
		return fault.Wrap(op, Unavailable, err)
	}
	// The write's own revision is the fencing number; it is read back in any
	// case, since a transaction's answer does not carry it for one key.
	current, err := l.store.Get(ctx, store.LeaderKey)
	if err != nil {
		return fault.Wrap(op, Unavailable, err)
	}
	if !current.Exists() || current.Lease != lease {
		return fault.New(op, NotLeader, "%s decides", current.Value)
	}
	l.set(lease, id.Fence(current.ModRevision), now.Add(LeaseTTL-leaseMargin))
	return nil
}

func (l *Leader) set(lease store.LeaseID, fence id.Fence, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease, l.fence, l.until = lease, fence, until
}

// IsCandidate reports whether self is one of the entries that try to lead.
func IsCandidate(self id.Entry, live []id.Entry) bool {
	better := 0
	own := id.RendezvousScore("leader", string(self))
	for _, e := range live {
		score := id.RendezvousScore("leader", string(e))
		if e != self && (score > own || (score == own && e < self)) {
			better++
		}
	}
	return better < MaxCandidates
}

// noLeader is above every fencing number: while nobody holds the lease, no
// order is valid.
const noLeader = id.Fence(math.MaxInt64)

// MinFence reads the lowest fencing number that is valid now.
func MinFence(ctx context.Context, s *store.Store) (id.Fence, error) {
	current, err := s.Get(ctx, store.LeaderKey)
	if err != nil {
		return 0, fault.Wrap("placement.MinFence", Unavailable, err)
	}
	if !current.Exists() {
		return noLeader, nil
	}
	return id.Fence(current.ModRevision), nil
}
