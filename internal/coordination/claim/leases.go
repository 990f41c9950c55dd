package claim

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// Lease timing.
const (
	// leaseSharing is how long new claims are bound to the same lease.
	leaseSharing = time.Hour
	// leaseTimeout bounds the call that grants a lease.
	leaseTimeout = 2 * time.Second
	// leaseRetryDelay is how long after a failure no further lease is requested.
	leaseRetryDelay = 500 * time.Millisecond
)

// Leases provides the leases that let claims expire. The claims of one hour share a
// lease that is never renewed and lasts for MinRetention beyond that hour. This costs
// the key-value service one additional write per hour, and each claim is kept for at
// least MinRetention. It is safe for concurrent use.
type Leases struct {
	// Grant creates a lease in the key-value service.
	Grant func(ctx context.Context, ttl time.Duration) (store.LeaseID, error)
	Clock clockwork.Clock
	// MinRetention is the shortest time for which a claim is kept.
	MinRetention time.Duration

	mu      sync.Mutex
	lease   store.LeaseID
	until   time.Time
	err     error
	retryAt time.Time
}

// Current returns the lease for claims that are created now. An error means that the
// key-value service does not accept writes.
func (l *Leases) Current(ctx context.Context) (store.LeaseID, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if l.lease != 0 && now.Before(l.until) {
		return l.lease, nil
	}
	if l.err != nil && now.Before(l.retryAt) {
		return 0, l.err
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	lease, err := l.Grant(ctx, l.MinRetention+leaseSharing)
	if err != nil {
		l.err = fault.Wrap("Leases.Current", store.Unavailable, err)
		l.retryAt = l.Clock.Now().Add(leaseRetryDelay)
		return 0, l.err
	}
	l.lease, l.until, l.err = lease, now.Add(leaseSharing), nil
	return lease, nil
}

// Invalidate makes the next claim request a new lease, because the key-value service no
// longer knows this one.
func (l *Leases) Invalidate(lease store.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease == lease {
		l.lease = 0
	}
}

// Bind returns a CommitFunc that binds each transaction's writes to the current lease. If
// no lease can be obtained, nothing is written.
func (l *Leases) Bind(commit CommitFunc) CommitFunc {
	return func(ctx context.Context, txn store.Txn) (store.Result, error) {
		result, lease, err := l.commit(ctx, commit, txn)
		if fault.Is(err, store.Invalid) {
			l.Invalidate(lease)
			result, _, err = l.commit(ctx, commit, txn)
		}
		return result, err
	}
}

// CommitFunc executes a transaction, like store.Store.Commit.
type CommitFunc = func(ctx context.Context, txn store.Txn) (store.Result, error)

func (l *Leases) commit(ctx context.Context, commit CommitFunc, txn store.Txn) (store.Result, store.LeaseID, error) {
	lease, err := l.Current(ctx)
	if err != nil {
		return store.Result{}, 0, err
	}
	bound := txn
	bound.Puts = append([]store.Put(nil), txn.Puts...)
	for i := range bound.Puts {
		bound.Puts[i].Lease = lease
	}
	result, err := commit(ctx, bound)
	return result, lease, err
}
