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

// Parameters of the leader election.
const (
	// LeaseTTL is how long a lease lasts without renewal.
	LeaseTTL = 10 * time.Second
	// RenewInterval is the time between two renewals.
	RenewInterval = 3 * time.Second
	// leaseMargin is subtracted from the lease, so that a leader stops before
	// another one can start.
	leaseMargin = 2 * time.Second
	// MaxCandidates is the number of entries, chosen by rendezvous hashing, that
	// try to become the leader.
	MaxCandidates = 3
)

// Leader holds, or tries to get, the leader's lease. Only Fence may be called
// from other goroutines than the one that calls RenewOrAcquire.
type Leader struct {
	store *store.Store
	self  id.Entry

	mu    sync.Mutex
	lease store.LeaseID
	fence id.Fence
	until time.Time
}

// NewLeader returns a Leader that holds no lease yet.
func NewLeader(s *store.Store, self id.Entry) *Leader { return &Leader{store: s, self: self} }

// Fence returns the fencing number, and whether this process is the leader at
// now by its own clock.
func (l *Leader) Fence(now time.Time) (id.Fence, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.fence != 0 && now.Before(l.until)
}

// RenewOrAcquire renews the lease, or tries to get it if nobody holds it. It is
// to be called once per RenewInterval. The lease counts from now, which must be
// a time before the call. The error is NotLeader or Unavailable.
func (l *Leader) RenewOrAcquire(ctx context.Context, now time.Time) error {
	const op = "Leader.RenewOrAcquire"
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
		return fault.New(op, NotLeader, "the leader lease is held by %q", current.Value)
	}
	return l.acquire(ctx, now)
}

// acquire writes the leader's key under a new lease. If the answer is lost, the
// key is read back: this process is the leader only if the key has this lease.
func (l *Leader) acquire(ctx context.Context, now time.Time) error {
	const op = "Leader.acquire"
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
	// The revision of the write is the fencing number. The key is always read
	// back, since the answer to a transaction does not contain the revision of
	// one key.
	current, err := l.store.Get(ctx, store.LeaderKey)
	if err != nil {
		return fault.Wrap(op, Unavailable, err)
	}
	if !current.Exists() || current.Lease != lease {
		return fault.New(op, NotLeader, "the leader lease is held by %q", current.Value)
	}
	l.set(lease, id.Fence(current.ModRevision), now.Add(LeaseTTL-leaseMargin))
	return nil
}

func (l *Leader) set(lease store.LeaseID, fence id.Fence, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease, l.fence, l.until = lease, fence, until
}

// IsCandidate reports whether self is one of the entries that try to become the
// leader.
func IsCandidate(self id.Entry, live []id.Entry) bool {
	higher := 0
	own := id.RendezvousScore("leader", string(self))
	for _, e := range live {
		score := id.RendezvousScore("leader", string(e))
		if e != self && (score > own || (score == own && e < self)) {
			higher++
		}
	}
	return higher < MaxCandidates
}

// noLeader is above every fencing number: no order is valid while nobody holds
// the lease.
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
