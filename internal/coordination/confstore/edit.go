package confstore

import (
	"context"
	"encoding/json"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Pauses between two attempts at a change.
const (
	initialPause = 20 * time.Millisecond
	maxPause     = time.Second
)

// Edit is a change requested by an operator.
type Edit struct {
	Object conf.Object
	// Name is the contract's name; empty for the deployment.
	Name id.Contract
	// Value is the new contract or deployment; nil deletes it.
	Value json.RawMessage
	// BaseRevision is the revision that the edit is based on. nil stands for
	// the object's revision when Apply begins, and 0 means that the object did
	// not exist.
	BaseRevision *id.Revision
	Author       string
}

// Accepted is the outcome of an edit.
type Accepted struct {
	Change conf.Change
	// Unchanged says that the object already had the value and nothing was
	// written.
	Unchanged bool
}

// normalized validates the edit and returns it with its value as it is stored,
// including all defaults.
func (e Edit) normalized() (Edit, error) {
	const op = "Edit.normalized"
	if e.Value == nil {
		return e, nil
	}
	if e.Object == conf.DeploymentObject {
		d := &conf.Deployment{}
		return e.reencoded(d, func() error {
			d.SetDefaults()
			return d.Validate()
		})
	}
	c := &contract.Contract{}
	return e.reencoded(c, func() error {
		c.SetDefaults()
		if c.Name != e.Name {
			return fault.New(op, Invalid, "the contract's name is %q, want %q", c.Name, e.Name)
		}
		return c.Validate()
	})
}

// reencoded decodes e's value into v, validates it and encodes it again.
func (e Edit) reencoded(v any, check func() error) (Edit, error) {
	const op = "Edit.reencoded"
	if err := json.Unmarshal(e.Value, v); err != nil {
		return e, fault.Wrap(op, Invalid, err)
	}
	if err := check(); err != nil {
		return e, fault.Wrap(op, Invalid, err)
	}
	data, err := json.Marshal(v)
	e.Value = data
	return e, fault.Wrap(op, Invalid, err)
}

// Apply makes a change. It retries until ctx ends if other objects changed in
// the meantime or the service does not answer. The kind of the error is
// Unavailable if the change certainly had no effect, and Unknown if it could
// not be determined whether the change was accepted.
func (r *Repository) Apply(ctx context.Context, edit Edit) (Accepted, error) {
	edit, err := edit.normalized()
	if err != nil {
		return Accepted{}, err
	}
	a := &applier{repo: r, edit: edit, id: r.NewID()}
	pause := initialPause
	for {
		accepted, err := a.attempt(ctx)
		if err == nil || !a.retryable(err) {
			return accepted, err
		}
		select {
		case <-r.Clock.After(pause/2 + r.Jitter(pause/2)):
			pause = min(2*pause, maxPause)
		case <-ctx.Done():
			return Accepted{}, a.timeoutError(err)
		}
	}
}

// applier carries out one change.
type applier struct {
	repo *Repository
	edit Edit
	id   string
	// pending is the revision of a write whose answer was lost; 0 if there is
	// none. All attempts use the same id and compare the head key, so at most
	// one of them takes effect.
	pending id.Revision
}

// retryable reports whether another attempt may succeed after err.
func (a *applier) retryable(err error) bool {
	kind, _ := fault.KindOf[Kind](err)
	return kind == Unavailable || kind == Busy || kind == Unknown
}

// timeoutError returns the error of a change whose time ran out.
func (a *applier) timeoutError(last error) error {
	const op = "Repository.Apply"
	if a.pending != 0 {
		return fault.New(op, Unknown, "it is not known whether change %s was accepted as revision %d; the last error was: %v",
			a.id, a.pending, last)
	}
	return last
}

// attempt tries the change once.
func (a *applier) attempt(ctx context.Context) (Accepted, error) {
	if a.pending != 0 {
		change, err := a.findPending(ctx)
		if change != nil || err != nil {
			return acceptedOf(change), err
		}
	}
	b, err := a.read(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if a.pending != 0 && b.revision >= a.pending {
		return Accepted{}, fault.New("applier.attempt", Busy, "other changes were accepted since the lost write")
	}
	same, err := a.check(ctx, b)
	switch {
	case err != nil && a.pending != 0:
		return a.resolveRefusal(ctx, err)
	case err != nil:
		return Accepted{}, err
	case same:
		return Accepted{Change: b.current, Unchanged: b.current.ID != a.id}, nil
	}
	return a.commit(ctx, b)
}

// resolveRefusal determines the outcome of a change that is refused now but has
// an earlier write whose answer was lost. That write may have been accepted
// since the head was read, and the object may have been changed again after it.
func (a *applier) resolveRefusal(ctx context.Context, reason error) (Accepted, error) {
	change, err := a.findPending(ctx)
	switch {
	case change != nil || err != nil:
		return acceptedOf(change), err
	case a.pending != 0:
		return Accepted{}, fault.Wrap("applier.resolveRefusal", Busy, reason)
	}
	return Accepted{}, reason
}

func acceptedOf(change *conf.Change) Accepted {
	if change == nil {
		return Accepted{}
	}
	return Accepted{Change: *change}
}

// findPending looks up whether the write whose answer was lost took effect. It
// returns nil and no error if it has not. a.pending is then 0 if the write can
// no longer take effect.
func (a *applier) findPending(ctx context.Context) (*conf.Change, error) {
	change, err := a.repo.ChangeAt(ctx, a.pending)
	switch {
	case fault.Is(err, Gap):
		return nil, nil
	case err != nil:
		return nil, err
	case change.ID == a.id:
		return change, nil
	}
	// Another change has this revision, so the compared head key has changed
	// and the write can never take effect.
	a.pending = 0
	return nil, nil
}

// baseState is the stored state that a change is checked against.
type baseState struct {
	head     store.Item
	revision id.Revision
	object   store.Item
	// current is the object's last change; the zero value if the object does
	// not exist.
	current conf.Change
	others  []conf.Change
}

// read reads the head key first, so that any change made after that fails the
// transaction.
func (a *applier) read(ctx context.Context) (*baseState, error) {
	head, revision, err := a.repo.head(ctx)
	if err != nil {
		return nil, err
	}
	b := &baseState{head: head, revision: revision}
	if a.edit.Object == conf.DeploymentObject {
		b.object, err = a.repo.Store.Get(ctx, store.DeploymentKey)
		if err != nil {
			return nil, unavailable("applier.read", err)
		}
		return b, b.setCurrent()
	}
	return b, a.readContracts(ctx, b)
}

func (a *applier) readContracts(ctx context.Context, b *baseState) error {
	page, err := a.repo.Store.List(ctx, store.ContractPrefix)
	if err != nil {
		return unavailable("applier.readContracts", err)
	}
	key := objectKey(a.edit.Object, a.edit.Name)
	for i := range page.Items {
		item := &page.Items[i]
		if item.Key == key {
			b.object = *item
			continue
		}
		change, err := decodeChange(item)
		if err != nil {
			return err
		}
		b.others = append(b.others, *change)
	}
	return b.setCurrent()
}

func (b *baseState) setCurrent() error {
	if !b.object.Exists() {
		return nil
	}
	change, err := decodeChange(&b.object)
	if err != nil {
		return err
	}
	b.current = *change
	return nil
}

// commit writes the change on top of the state b.
func (a *applier) commit(ctx context.Context, b *baseState) (Accepted, error) {
	const op = "applier.commit"
	change := conf.Change{
		ID:       a.id,
		Revision: b.revision + 1,
		Object:   a.edit.Object,
		Name:     a.edit.Name,
		Value:    a.edit.Value,
		Author:   a.edit.Author,
		At:       a.repo.Clock.Now().UTC(),
	}
	txn, err := transaction(&change, b)
	if err != nil {
		return Accepted{}, err
	}
	result, err := a.repo.Store.Commit(ctx, txn)
	kind, _ := fault.KindOf[store.Kind](err)
	switch {
	case err == nil && result.Succeeded:
		return Accepted{Change: change}, nil
	case err == nil:
		return Accepted{}, fault.New(op, Busy, "another change was accepted in the meantime")
	case kind == store.Unavailable || kind == store.Throttled:
		return Accepted{}, unavailable(op, err)
	case kind == store.Invalid:
		return Accepted{}, fault.Wrap(op, Invalid, err)
	}
	a.pending = change.Revision
	return Accepted{}, fault.Wrap(op, Unknown, err)
}

// transaction returns the writes of a change, conditional on the state b.
func transaction(change *conf.Change, b *baseState) (store.Txn, error) {
	const op = "confstore.transaction"
	data, err := json.Marshal(change)
	if err != nil {
		return store.Txn{}, fault.Wrap(op, Invalid, err)
	}
	if len(data) > MaxValueBytes {
		return store.Txn{}, fault.New(op, Invalid, "the encoded %s has %d bytes, want at most %d",
			describe(change.Object, change.Name), len(data), MaxValueBytes)
	}
	key := objectKey(change.Object, change.Name)
	txn := store.Txn{
		Compares: []store.Compare{
			{Key: store.HeadKey, ModRevision: b.head.ModRevision},
			{Key: key, ModRevision: b.object.ModRevision},
		},
		Puts: []store.Put{
			{Key: store.HeadKey, Value: formatRevision(change.Revision)},
			{Key: HistoryKey(change.Revision), Value: data},
		},
	}
	if change.Deleted() {
		txn.Deletes = append(txn.Deletes, key)
	} else {
		txn.Puts = append(txn.Puts, store.Put{Key: key, Value: data})
	}
	if oldest := change.Revision - HistoryLength; oldest > 0 {
		txn.Deletes = append(txn.Deletes, HistoryKey(oldest))
	}
	return txn, nil
}
