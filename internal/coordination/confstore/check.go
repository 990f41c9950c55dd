package confstore

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strconv"

	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

func strconvRevision(r id.Revision) []byte {
	return strconv.AppendInt(nil, int64(r), 10)
}

// check holds the edit against what is there. It returns true when the value
// is there already.
func (a *apply) check(ctx context.Context, b *basis) (bool, error) {
	if a.edit.Value != nil && bytes.Equal(b.current.Value, a.edit.Value) {
		return true, nil
	}
	if a.edit.BaseRevision == nil {
		// From here on the edit is one of what was there at first.
		based := b.current.Revision
		a.edit.BaseRevision = &based
	}
	if *a.edit.BaseRevision != b.current.Revision {
		return false, a.clash(ctx, b)
	}
	if a.edit.Value == nil && !b.object.Exists() {
		return false, fault.New("apply.check", NotFound, "there is no %s", describe(a.edit.Object, a.edit.Name))
	}
	return false, a.checkKeys(b)
}

// checkKeys refuses a key that another contract holds.
func (a *apply) checkKeys(b *basis) error {
	const op = "apply.checkKeys"
	if a.edit.Object != conf.ContractObject || a.edit.Value == nil {
		return nil
	}
	wanted, err := keysOf(a.edit.Value)
	if err != nil {
		return err
	}
	for i := range b.others {
		held, err := keysOf(b.others[i].Value)
		if err != nil {
			return err
		}
		for _, k := range wanted {
			if slices.Contains(held, k) {
				return fault.New(op, Invalid, "keys: the key with hash %s is held by contract %q", k, b.others[i].Name)
			}
		}
	}
	return nil
}

func keysOf(value json.RawMessage) ([]contract.KeyHash, error) {
	var c contract.Contract
	if err := json.Unmarshal(value, &c); err != nil {
		return nil, fault.Wrap("confstore.keysOf", Invalid, err)
	}
	return c.Keys, nil
}

// clash returns the conflict of an edit with what is there now.
func (a *apply) clash(ctx context.Context, b *basis) error {
	clash := &ConflictError{
		Object:       a.edit.Object,
		Name:         a.edit.Name,
		BaseRevision: *a.edit.BaseRevision,
		Current:      b.current,
		Wanted:       a.edit.Value,
	}
	if clash.BaseRevision != 0 {
		// Without the history the diff shows two columns in place of three.
		if change, err := a.repo.ChangeAt(ctx, clash.BaseRevision); err == nil && change.Object == clash.Object && change.Name == clash.Name {
			clash.Base = change.Value
		}
	}
	return &Error{Op: "Repository.Apply", Kind: Conflict, Err: clash}
}
