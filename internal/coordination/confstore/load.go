package confstore

import (
	"context"
	"encoding/json"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Load reads the whole configuration at one revision. Each change writes the
// head key, so values read between two reads of the same head are consistent.
// The kind of the error is Busy if the configuration changed during every
// attempt.
func (r *Repository) Load(ctx context.Context) (*conf.Snapshot, error) {
	const op = "Repository.Load"
	for range maxLoadAttempts {
		before, revision, err := r.head(ctx)
		if err != nil {
			return nil, err
		}
		contracts, err := r.Store.List(ctx, store.ContractPrefix)
		if err != nil {
			return nil, unavailable(op, err)
		}
		deployment, err := r.Store.Get(ctx, store.DeploymentKey)
		if err != nil {
			return nil, unavailable(op, err)
		}
		after, _, err := r.head(ctx)
		if err != nil {
			return nil, err
		}
		if before.ModRevision == after.ModRevision {
			return snapshot(revision, contracts.Items, &deployment)
		}
	}
	return nil, fault.New(op, Busy, "the configuration changed during each of %d reads", maxLoadAttempts)
}

func snapshot(revision id.Revision, contracts []store.Item, deployment *store.Item) (*conf.Snapshot, error) {
	const op = "confstore.snapshot"
	s := conf.Empty()
	s.Revision = revision
	s.Contracts = make(map[id.Contract]*contract.Contract, len(contracts))
	if deployment.Exists() {
		if err := decodeValue(deployment, &s.Deployment); err != nil {
			return nil, err
		}
	}
	for i := range contracts {
		c := &contract.Contract{}
		if err := decodeValue(&contracts[i], c); err != nil {
			return nil, err
		}
		s.Contracts[c.Name] = c
	}
	// Decoding validates the values and builds the index of keys.
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fault.Wrap(op, Invalid, err)
	}
	decoded, err := conf.Decode(data)
	return decoded, fault.Wrap(op, Invalid, err)
}

func decodeValue(item *store.Item, into any) error {
	change, err := decodeChange(item)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(change.Value, into); err != nil {
		return fault.New("confstore.decodeValue", Invalid, "%s: %v", item.Key, err)
	}
	return nil
}

// ChangesSince returns the changes after a revision, oldest first. The kind of
// the error is Gap if the history no longer reaches back that far, so the
// caller has to load the whole configuration, and Behind if the service's
// revision is lower than the given one.
func (r *Repository) ChangesSince(ctx context.Context, revision id.Revision) ([]conf.Change, error) {
	const op = "Repository.ChangesSince"
	_, head, err := r.head(ctx)
	switch {
	case err != nil:
		return nil, err
	case head < revision:
		return nil, fault.New(op, Behind, "the service holds revision %d, but revision %d was accepted before", head, revision)
	case head-revision > HistoryLength:
		return nil, fault.New(op, Gap, "the history holds %d changes, but %d were requested", HistoryLength, head-revision)
	case head-revision > maxSingleReads:
		return r.listSince(ctx, revision, head)
	}
	changes := make([]conf.Change, 0, head-revision)
	for n := revision + 1; n <= head; n++ {
		change, err := r.ChangeAt(ctx, n)
		if err != nil {
			return nil, err
		}
		changes = append(changes, *change)
	}
	return changes, nil
}

func (r *Repository) listSince(ctx context.Context, revision, head id.Revision) ([]conf.Change, error) {
	const op = "Repository.listSince"
	page, err := r.Store.List(ctx, store.HistoryPrefix)
	if err != nil {
		return nil, unavailable(op, err)
	}
	all, err := decodeChanges(page.Items)
	if err != nil {
		return nil, err
	}
	var changes []conf.Change
	next := revision + 1
	for i := range all {
		if all[i].Revision == next {
			changes = append(changes, all[i])
			next++
		}
	}
	if next <= head {
		return nil, fault.New(op, Gap, "the history does not hold revision %d", next)
	}
	return changes, nil
}
