// Package store is what foxtailward needs of the platform's key-value
// service: reads, compare-and-swap, watches and leases.
//
// The service is the only thing that lasts. It is small, it has outages, and
// the answer to a write can be lost after the write took effect. Each error
// says which of these a caller must reckon with.
//
// # Usage
//
//	result, err := s.Commit(ctx, store.Txn{
//		Compares: []store.Compare{{Key: key, ModRevision: 0}},
//		Puts:     []store.Put{{Key: key, Value: value}},
//	})
//	switch {
//	case fault.Is(err, store.Unknown):
//		// Read the key back before saying anything.
//	}
package store

import (
	"context"
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
)

// Kind is the kind of this package's errors.
type Kind string

// Kinds of errors.
const (
	// Unavailable means that the call surely had no effect.
	Unavailable Kind = "unavailable"
	// Unknown means that a write may or may not have taken effect.
	Unknown Kind = "unknown"
	// Throttled means that the call was not sent, to keep to the rate.
	Throttled Kind = "throttled"
	// Invalid means that the service refused the call as wrong.
	Invalid Kind = "invalid"
	// Compacted means that a watch asked for revisions no longer held; the
	// watcher reads the keys again.
	Compacted Kind = "compacted"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// LeaseID names a lease; 0 is none.
type LeaseID int64

// Item is one key with its value.
type Item struct {
	Key   string
	Value []byte
	// ModRevision is the service's revision of the last write to the key; 0
	// when the key does not exist.
	ModRevision int64
	Lease       LeaseID
}

// Exists reports whether the key exists.
func (i *Item) Exists() bool { return i.ModRevision != 0 }

// Page is what a prefix held at one revision of the service.
type Page struct {
	Items    []Item
	Revision int64
}

// Compare holds when the key's last write has the revision. Revision 0 holds
// when the key does not exist.
type Compare struct {
	Key         string
	ModRevision int64
}

// Put writes a key, bound to a lease unless it is 0.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn writes all puts and deletes when all compares hold, else nothing.
type Txn struct {
	Compares []Compare
	Puts     []Put
	Deletes  []string
}

// Result is the outcome of a transaction.
type Result struct {
	Succeeded bool
	Revision  int64
	// Current holds the compared keys as they stand, when a compare failed.
	Current []Item
}

// Change is one change that a watch saw.
type Change struct {
	Item    Item
	Deleted bool
}

// Store calls the key-value service. Each field is one of its calls; tests and
// stand-ins set the fields. All are safe for concurrent use.
type Store struct {
	// Get reads one key; the item of a key that does not exist has
	// ModRevision 0.
	Get func(ctx context.Context, key string) (Item, error)
	// List reads all keys with a prefix, in key order.
	List func(ctx context.Context, prefix string) (Page, error)
	// Commit carries out a transaction.
	Commit func(ctx context.Context, txn Txn) (Result, error)
	// Watch calls each for every change of keys with the prefix after
	// revision, in order, until ctx ends or the watch breaks. It always
	// returns an error.
	Watch func(ctx context.Context, prefix string, revision int64, each func(Change)) error
	// Grant makes a lease.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its remaining time; Invalid when it
	// has lapsed.
	KeepAlive func(ctx context.Context, lease LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke func(ctx context.Context, lease LeaseID) error
}

// Keys of the key-value service that foxtailward uses.
const (
	// Root is the prefix of all of foxtailward's keys.
	Root = "foxtailward/"
	// HeadKey holds the number of the newest configuration revision.
	HeadKey = Root + "conf/head"
	// DeploymentKey holds the deployment's configuration.
	DeploymentKey = Root + "conf/deployment"
	// ContractPrefix comes before a contract's name.
	ContractPrefix = Root + "conf/contract/"
	// HistoryPrefix comes before a revision's number, 12 digits wide.
	HistoryPrefix = Root + "conf/history/"
	// ClaimPrefix comes before the id of a claimed call.
	ClaimPrefix = Root + "claim/"
	// SeedPrefix comes before the name of an entry whose address is kept.
	SeedPrefix = Root + "seed/"
	// RunsPrefix comes before the name of an entry whose unfinished runs are kept.
	RunsPrefix = Root + "runs/"
	// LeaderKey is held by the process that decides on placement.
	LeaderKey = Root + "placement/leader"
	// OrderPrefix comes before the id of a standing order.
	OrderPrefix = Root + "placement/order/"
)
