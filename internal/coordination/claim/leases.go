package claim

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// Times of leases.
const (
	// leaseUse is how long new claims are bound to one lease.
	leaseUse = time.Hour
	// leaseTimeout bounds the call that makes a lease.
	leaseTimeout = 2 * time.Second
	// leaseRetry is the time after a failure in which no lease is asked for.
	leaseRetry = 500 * time.Millisecond
)

// Leases ends claims. The claims of one hour share a lease that is never
// renewed and lasts for Keep longer than the hour, so that the key-value
// service gets one more write an hour and each claim holds for Keep at least.
// It is safe for concurrent use.
type Leases struct {
	// Grant makes a lease.
	Grant func(ctx context.Context, ttl time.Duration) (store.LeaseID, error)
	Clock clockwork.Clock
	// MinRetention is how long a claim holds at least.
	MinRetention time.Duration

	mu      sync.Mutex
	lease   store.LeaseID
	until   time.Time
	err     error
	retryAt time.Time
}

// Current returns the lease for a claim that is made now. Its error says that
// the key-value service cannot be written.
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
	lease, err := l.Grant(ctx, l.MinRetention+leaseUse)
	if err != nil {
		l.err = fault.Wrap("Leases.Current", store.Unavailable, err)
		l.retryAt = l.Clock.Now().Add(leaseRetry)
		return 0, l.err
	}
	l.lease, l.until, l.err = lease, now.Add(leaseUse), nil
	return lease, nil
}

// Invalidate makes the next claim ask for a new lease, because the key-value service
// no longer knows this one.
func (l *Leases) Invalidate(lease store.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease == lease {
		l.lease = 0
	}
}

// Bind returns commit with each transaction's writes bound to the current
// lease. When there is none, nothing was written.
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

// CommitFunc carries out a transaction, as store.Store's Commit does.
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
