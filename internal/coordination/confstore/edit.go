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

// Pauses between two tries of a change.
const (
	firstPause = 20 * time.Millisecond
	maxPause   = time.Second
)

// Edit is a change that an operator asks for.
type Edit struct {
	Object conf.Object
	// Name is the contract's name; empty for the deployment.
	Name id.Contract
	// Value is the new contract or deployment; nil deletes it.
	Value json.RawMessage
	// BaseRevision is the revision that the operator edited from; nil means what is
	// there when Apply begins, and 0 that there was no such object.
	BaseRevision *id.Revision
	Author       string
}

// Accepted is the outcome of an edit.
type Accepted struct {
	Change conf.Change
	// Unchanged says that the value was there already and nothing was written.
	Unchanged bool
}

// checked returns e with its value in the form that is stored, with all
// defaults written out.
func (e Edit) checked() (Edit, error) {
	const op = "Edit.checked"
	if e.Value == nil {
		return e, nil
	}
	if e.Object == conf.DeploymentObject {
		d := &conf.Deployment{}
		return e.rewritten(d, func() error {
			d.SetDefaults()
			return d.Validate()
		})
	}
	c := &contract.Contract{}
	return e.rewritten(c, func() error {
		c.SetDefaults()
		if c.Name != e.Name {
			return fault.New(op, Invalid, "the contract's name is %q, want %q", c.Name, e.Name)
		}
		return c.Validate()
	})
}

// rewritten decodes e's value into v, checks it and writes it anew.
func (e Edit) rewritten(v any, check func() error) (Edit, error) {
	const op = "Edit.rewritten"
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

// Apply makes a change, or says why not. It tries again when other objects
// changed meanwhile or the service does not answer, until ctx ends. The
// error's kind is Unavailable when surely nothing changed, and Unknown when it
// could not be found out whether the change was accepted.
func (r *Repository) Apply(ctx context.Context, edit Edit) (Accepted, error) {
	edit, err := edit.checked()
	if err != nil {
		return Accepted{}, err
	}
	a := &apply{repo: r, edit: edit, id: r.NewID()}
	pause := firstPause
	for {
		accepted, err := a.once(ctx)
		if err == nil || !a.mayTryAgain(err) {
			return accepted, err
		}
		select {
		case <-r.Clock.After(pause/2 + r.Jitter(pause/2)):
			pause = min(2*pause, maxPause)
		case <-ctx.Done():
			return Accepted{}, a.givenUp(err)
		}
	}
}

// apply is one change under way.
type apply struct {
	repo *Repository
	edit Edit
	id   string
	// pending is the revision of a write whose answer was lost. All tries use
	// the same id and compare the head, so at most one of them takes effect.
	pending id.Revision
}

// mayTryAgain reports whether another try can end better.
func (a *apply) mayTryAgain(err error) bool {
	kind, _ := fault.KindOf[Kind](err)
	return kind == Unavailable || kind == Busy || kind == Unknown
}

// givenUp returns the error of a change that ran out of time.
func (a *apply) givenUp(last error) error {
	const op = "Repository.Apply"
	if a.pending != 0 {
		return fault.New(op, Unknown, "it is not known whether change %s was accepted as revision %d; the last answer was: %v",
			a.id, a.pending, last)
	}
	return last
}

// once tries the change one time.
func (a *apply) once(ctx context.Context) (Accepted, error) {
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
		return Accepted{}, fault.New("apply.once", Busy, "the history has moved on")
	}
	same, err := a.check(ctx, b)
	switch {
	case err != nil && a.pending != 0:
		return a.refused(ctx, err)
	case err != nil:
		return Accepted{}, err
	case same:
		return Accepted{Change: b.current, Unchanged: b.current.ID != a.id}, nil
	}
	return a.commit(ctx, b)
}

// refused returns why a change whose earlier write has no answer is refused
// now. That write may have been accepted since the head was read, and the
// object may have been changed again after it.
func (a *apply) refused(ctx context.Context, reason error) (Accepted, error) {
	change, err := a.findPending(ctx)
	switch {
	case change != nil || err != nil:
		return acceptedOf(change), err
	case a.pending != 0:
		return Accepted{}, fault.Wrap("apply.refused", Busy, reason)
	}
	return Accepted{}, reason
}

func acceptedOf(change *conf.Change) Accepted {
	if change == nil {
		return Accepted{}
	}
	return Accepted{Change: *change}
}

// findPending looks whether the write whose answer was lost took effect. It
// returns nil and no error when the write has not, and may yet.
func (a *apply) findPending(ctx context.Context) (*conf.Change, error) {
	change, err := a.repo.ChangeAt(ctx, a.pending)
	switch {
	case fault.Is(err, Gap):
		return nil, nil
	case err != nil:
		return nil, err
	case change.ID == a.id:
		return change, nil
	}
	// Another change has the revision, so the head that the write compared is
	// gone and it can never take effect.
	a.pending = 0
	return nil, nil
}

// basis is what a change is checked against.
type basis struct {
	head     store.Item
	revision id.Revision
	object   store.Item
	// current is the object's last change; its zero value means none.
	current conf.Change
	others  []conf.Change
}

// read reads the head first, so that whatever changes after it fails the
// transaction.
func (a *apply) read(ctx context.Context) (*basis, error) {
	head, revision, err := a.repo.head(ctx)
	if err != nil {
		return nil, err
	}
	b := &basis{head: head, revision: revision}
	if a.edit.Object == conf.DeploymentObject {
		b.object, err = a.repo.Store.Get(ctx, store.DeploymentKey)
		if err != nil {
			return nil, unavailable("apply.read", err)
		}
		return b, b.setCurrent()
	}
	return b, a.readContracts(ctx, b)
}

func (a *apply) readContracts(ctx context.Context, b *basis) error {
	page, err := a.repo.Store.List(ctx, store.ContractPrefix)
	if err != nil {
		return unavailable("apply.readContracts", err)
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

func (b *basis) setCurrent() error {
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

// commit writes the change on top of b.
func (a *apply) commit(ctx context.Context, b *basis) (Accepted, error) {
	const op = "apply.commit"
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
		return Accepted{}, fault.New(op, Busy, "another change was accepted meanwhile")
	case kind == store.Unavailable || kind == store.Throttled:
		return Accepted{}, unavailable(op, err)
	case kind == store.Invalid:
		return Accepted{}, fault.Wrap(op, Invalid, err)
	}
	a.pending = change.Revision
	return Accepted{}, fault.Wrap(op, Unknown, err)
}

// transaction returns the writes of a change, held against what b saw.
func transaction(change *conf.Change, b *basis) (store.Txn, error) {
	const op = "confstore.transaction"
	data, err := json.Marshal(change)
	if err != nil {
		return store.Txn{}, fault.Wrap(op, Invalid, err)
	}
	if len(data) > MaxValueBytes {
		return store.Txn{}, fault.New(op, Invalid, "the %s has %d bytes, want at most %d",
			describe(change.Object, change.Name), len(data), MaxValueBytes)
	}
	key := objectKey(change.Object, change.Name)
	txn := store.Txn{
		Compares: []store.Compare{
			{Key: store.HeadKey, ModRevision: b.head.ModRevision},
			{Key: key, ModRevision: b.object.ModRevision},
		},
		Puts: []store.Put{
			{Key: store.HeadKey, Value: strconvRevision(change.Revision)},
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
