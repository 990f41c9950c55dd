// Package store defines what foxtailward uses of the platform's key-value
// service: reads, compare-and-swap transactions, watches and leases.
//
// The service is the only durable storage. It is small, it has outages, and the
// answer to a write can be lost after the write took effect. The kind of each
// error says which of these cases a caller has to handle.
//
// # Usage
//
//	result, err := s.Commit(ctx, store.Txn{
//		Compares: []store.Compare{{Key: key, ModRevision: 0}},
//		Puts:     []store.Put{{Key: key, Value: value}},
//	})
//	switch {
//	case fault.Is(err, store.Unknown):
//		// Read the key back to find out whether the write took effect.
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
	// Unavailable means that the call certainly had no effect.
	Unavailable Kind = "unavailable"
	// Unknown means that a write may or may not have taken effect.
	Unknown Kind = "unknown"
	// Throttled means that the call was not sent because of the rate limit.
	Throttled Kind = "throttled"
	// Invalid means that the service rejected the call as invalid.
	Invalid Kind = "invalid"
	// Compacted means that a watch requested revisions that the service no
	// longer holds; the watcher has to read the keys again.
	Compacted Kind = "compacted"
	// Restored means that a call named a revision of an era that has ended. A
	// watcher has to read the keys again.
	Restored Kind = "restored"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// Era numbers the histories of a service. It rises each time the service returns
// from an older copy of its state, which lacks the newest changes and all leases
// and gives out their revisions again. It is 0 for a service that never does so.
type Era int64

// Point is a revision in an era. Revisions of different eras can't be compared.
type Point struct {
	Era      Era
	Revision int64
}

// LeaseID identifies a lease; 0 stands for no lease.
type LeaseID int64

// Item is one key with its value.
type Item struct {
	Key   string
	Value []byte
	// ModRevision is the service's revision at the last write of the key; 0 if
	// the key does not exist.
	ModRevision int64
	Lease       LeaseID
}

// Exists reports whether the key exists.
func (i *Item) Exists() bool { return i.ModRevision != 0 }

// Page holds the items with a prefix at one revision of the service.
type Page struct {
	Items    []Item
	Revision int64
	Era      Era
}

// Point returns the point at which the page was read.
func (p *Page) Point() Point { return Point{p.Era, p.Revision} }

// Compare is true if the last write of the key has the revision. Revision 0
// stands for a key that does not exist.
type Compare struct {
	Key         string
	ModRevision int64
}

// Put writes a key. The key is bound to the lease unless that is 0.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn executes all puts and deletes if all compares are true, otherwise
// nothing.
type Txn struct {
	// Era is the era of the revisions in Compares.
	Era      Era
	Compares []Compare
	Puts     []Put
	Deletes  []string
}

// Result is the outcome of a transaction.
type Result struct {
	Succeeded bool
	Revision  int64
	Era       Era
	// Current holds the current items of the compared keys if a compare failed.
	Current []Item
}

// Change is one change delivered by a watch.
type Change struct {
	Item    Item
	Deleted bool
}

// Store is a client of the key-value service. Each field is one of its calls;
// tests and stand-ins set the fields. All are safe for concurrent use.
type Store struct {
	// Get reads one key. If it does not exist, the item's ModRevision is 0.
	Get func(ctx context.Context, key string) (Item, error)
	// List reads all keys with a prefix, in key order.
	List func(ctx context.Context, prefix string) (Page, error)
	// Commit executes a transaction.
	Commit func(ctx context.Context, txn Txn) (Result, error)
	// Watch calls each for every change of the keys with the prefix after a
	// point, in order, until ctx ends or the watch fails. It always returns an
	// error, of the kind Restored if the era of the point has ended.
	Watch func(ctx context.Context, prefix string, after Point, each func(Change)) error
	// CloseIdle closes the idle connections, which may be dead after an outage. It may be
	// nil.
	CloseIdle func()
	// Grant creates a lease.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its remaining time. The kind of the
	// error is Invalid if the lease has expired.
	KeepAlive func(ctx context.Context, lease LeaseID) (time.Duration, error)
	// Revoke revokes a lease and deletes its keys.
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
	// ContractPrefix is followed by the name of a contract.
	ContractPrefix = Root + "conf/contract/"
	// HistoryPrefix is followed by the number of a revision, 12 digits wide.
	HistoryPrefix = Root + "conf/history/"
	// ClaimPrefix is followed by the id of a claimed call.
	ClaimPrefix = Root + "claim/"
	// SeedPrefix is followed by the name of an entry whose address is stored.
	SeedPrefix = Root + "seed/"
	// RunsPrefix is followed by a savekey.Key of an entry whose unfinished runs are
	// stored.
	RunsPrefix = Root + "runs/"
	// SuspectsPrefix is followed by a savekey.Key of an entry whose requests that are
	// suspected of crashing targets are stored.
	SuspectsPrefix = Root + "suspects/"
	// StreamsPrefix is followed by a savekey.Key of an entry of whose streams it is stored at
	// which version of a target's software they began.
	StreamsPrefix = Root + "streams/"
	// RolloutPrefix is followed by the name of a service whose traffic moves to another
	// version of its software.
	RolloutPrefix = Root + "rollouts/"
	// LeaderKey is held by the process that decides on placement.
	LeaderKey = Root + "placement/leader"
	// OrderPrefix is followed by the id of a standing order.
	OrderPrefix = Root + "placement/order/"
)
