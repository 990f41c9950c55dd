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

func formatRevision(r id.Revision) []byte {
	return strconv.AppendInt(nil, int64(r), 10)
}

// check compares the edit with the current state b. It returns true if the
// object already has the requested value.
func (a *applier) check(ctx context.Context, b *baseState) (bool, error) {
	if a.edit.Value != nil && bytes.Equal(b.current.Value, a.edit.Value) {
		return true, nil
	}
	if a.edit.BaseRevision == nil {
		// Retries of this edit are based on the state that the first attempt
		// found.
		base := b.current.Revision
		a.edit.BaseRevision = &base
	}
	if *a.edit.BaseRevision != b.current.Revision {
		return false, a.conflict(ctx, b)
	}
	if a.edit.Value == nil && !b.object.Exists() {
		return false, fault.New("applier.check", NotFound, "there is no %s", describe(a.edit.Object, a.edit.Name))
	}
	return false, a.checkKeys(b)
}

// checkKeys returns an error if another contract has one of the edit's keys.
func (a *applier) checkKeys(b *baseState) error {
	const op = "applier.checkKeys"
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

// conflict returns the error of an edit that conflicts with the current state.
func (a *applier) conflict(ctx context.Context, b *baseState) error {
	conflict := &ConflictError{
		Object:       a.edit.Object,
		Name:         a.edit.Name,
		BaseRevision: *a.edit.BaseRevision,
		Current:      b.current,
		Wanted:       a.edit.Value,
	}
	if conflict.BaseRevision != 0 {
		// Without this history record, the diff shows two columns instead of
		// three.
		if change, err := a.repo.ChangeAt(ctx, conflict.BaseRevision); err == nil && change.Object == conflict.Object && change.Name == conflict.Name {
			conflict.Base = change.Value
		}
	}
	return &Error{Op: "Repository.Apply", Kind: Conflict, Err: conflict}
}
