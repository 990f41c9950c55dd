// Package confstore stores the operators' configuration in the key-value
// service.
//
// Each accepted change is one transaction. It compares the head key and the key
// of the changed object with what the operator saw, and writes the head, the
// object and one history record. As a result the revision increases by one with
// each change, concurrent changes never mix, and a change whose answer was lost
// can be found in the history by its id.
//
// # Usage
//
//	r := confstore.New(s, clock)
//	change, err := r.Apply(ctx, confstore.Edit{Object: conf.ContractObject, …})
//	switch {
//	case fault.Is(err, confstore.Conflict): // somebody else changed the object
//	case fault.Is(err, confstore.Unknown):  // it may have been accepted
//	}
//	snapshot, err := r.Load(ctx)
//	changes, err := r.ChangesSince(ctx, snapshot.Revision)
package confstore

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	mathrand "math/rand/v2"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Kind is the kind of this package's errors.
type Kind string

// Kinds of errors.
const (
	// Invalid means that a change violates a rule.
	Invalid Kind = "invalid"
	// Conflict means that the object is no longer in the state that the edit is
	// based on; the cause is a *ConflictError.
	Conflict Kind = "conflict"
	// NotFound means that the object does not exist.
	NotFound Kind = "notFound"
	// Unavailable means that the service did not answer and nothing changed.
	Unavailable Kind = "unavailable"
	// Unknown means that the change may or may not have been accepted.
	Unknown Kind = "unknown"
	// Busy means that other changes interfered with every attempt.
	Busy Kind = "busy"
	// Gap means that the history no longer reaches back that far.
	Gap Kind = "gap"
	// Behind means that the service's revision is lower than one that was
	// accepted before.
	Behind Kind = "behind"
	// NotInForce means that a revision is not in force at all nodes; the cause
	// is a *NotInForceError.
	NotInForce Kind = "notInForce"
)

// Error is this package's error.
type Error = fault.Error[Kind]

const (
	// HistoryLength is the number of changes kept in the history.
	HistoryLength = 1000
	// MaxValueBytes is the size limit of a value in the service.
	MaxValueBytes = 1_000_000
	// maxSingleReads is the largest number of changes that are read key by key.
	// Above it, the history is read as one list.
	maxSingleReads = 16
	// maxLoadAttempts limits the attempts to read a snapshot while the
	// configuration keeps changing.
	maxLoadAttempts = 16
	// changeIDBytes is the number of random bytes in the id of a change.
	changeIDBytes = 12
)

// Repository reads and writes the configuration. It is safe for concurrent use
// when its fields are.
type Repository struct {
	Store *store.Store
	Clock clockwork.Clock
	// NewID returns a new id for a change.
	NewID func() string
	// Jitter returns a random duration below its argument.
	Jitter func(below time.Duration) time.Duration
}

// New returns a Repository with random ids and jitter.
func New(s *store.Store, clock clockwork.Clock) *Repository {
	return &Repository{
		Store:  s,
		Clock:  clock,
		NewID:  newID,
		Jitter: mathrand.N[time.Duration],
	}
}

func newID() string {
	var random [changeIDBytes]byte
	// crypto/rand.Read never returns an error since Go 1.24.
	_, _ = rand.Read(random[:])
	return fmt.Sprintf("%x", random)
}

// HistoryKey returns the history key of a revision.
func HistoryKey(revision id.Revision) string {
	return fmt.Sprintf("%s%012d", store.HistoryPrefix, revision)
}

// objectKey returns the key of an object.
func objectKey(object conf.Object, name id.Contract) string {
	if object == conf.ContractObject {
		return store.ContractPrefix + string(name)
	}
	return store.DeploymentKey
}

// Head returns the newest revision; 0 if there is none.
func (r *Repository) Head(ctx context.Context) (id.Revision, error) {
	_, revision, err := r.head(ctx)
	return revision, err
}

func (r *Repository) head(ctx context.Context) (store.Item, id.Revision, error) {
	const op = "Repository.head"
	item, err := r.Store.Get(ctx, store.HeadKey)
	if err != nil {
		return item, 0, unavailable(op, err)
	}
	if !item.Exists() {
		return item, 0, nil
	}
	n, err := strconv.ParseInt(string(item.Value), 10, 64)
	if err != nil || n < 1 {
		return item, 0, fault.New(op, Invalid, "%s holds %q, want a revision", store.HeadKey, item.Value)
	}
	return item, id.Revision(n), nil
}

// Get returns the last change of an object. The kind of the error is NotFound
// if the object does not exist.
func (r *Repository) Get(ctx context.Context, object conf.Object, name id.Contract) (*conf.Change, error) {
	const op = "Repository.Get"
	item, err := r.Store.Get(ctx, objectKey(object, name))
	if err != nil {
		return nil, unavailable(op, err)
	}
	if !item.Exists() {
		return nil, fault.New(op, NotFound, "there is no %s", describe(object, name))
	}
	return decodeChange(&item)
}

// Contracts returns the last change of each contract, sorted by name.
func (r *Repository) Contracts(ctx context.Context) ([]conf.Change, error) {
	page, err := r.Store.List(ctx, store.ContractPrefix)
	if err != nil {
		return nil, unavailable("Repository.Contracts", err)
	}
	return decodeChanges(page.Items)
}

// ChangeAt returns the change that created a revision. The kind of the error is
// Gap if the history does not hold it.
func (r *Repository) ChangeAt(ctx context.Context, revision id.Revision) (*conf.Change, error) {
	const op = "Repository.ChangeAt"
	item, err := r.Store.Get(ctx, HistoryKey(revision))
	if err != nil {
		return nil, unavailable(op, err)
	}
	if !item.Exists() {
		return nil, fault.New(op, Gap, "the history does not hold revision %d", revision)
	}
	return decodeChange(&item)
}

func decodeChange(item *store.Item) (*conf.Change, error) {
	change := &conf.Change{}
	if err := json.Unmarshal(item.Value, change); err != nil {
		return nil, fault.New("confstore.decodeChange", Invalid, "%s: %v", item.Key, err)
	}
	return change, nil
}

func decodeChanges(items []store.Item) ([]conf.Change, error) {
	changes := make([]conf.Change, 0, len(items))
	for i := range items {
		change, err := decodeChange(&items[i])
		if err != nil {
			return nil, err
		}
		changes = append(changes, *change)
	}
	return changes, nil
}

func describe(object conf.Object, name id.Contract) string {
	if object == conf.ContractObject {
		return "contract " + strconv.Quote(string(name))
	}
	return "deployment configuration"
}

// unavailable wraps the error of a call that certainly had no effect, such as a
// read.
func unavailable(op string, err error) error {
	return fault.Wrap(op, Unavailable, err)
}
