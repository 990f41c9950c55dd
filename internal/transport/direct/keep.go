package direct

import (
	"context"
	"encoding/json"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/handover"
	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/event"
)

const (
	// keepEvery is the time between two writes of an entry's runs. With many
	// entries it is keepEach for each, since they share the service's rate.
	keepEvery = time.Second
	keepEach  = 90 * time.Millisecond
	// keepTimeout bounds a write or read of them.
	keepTimeout = time.Second
)

// keeper keeps the entry's unfinished runs in the key-value service, for the
// time when all entries end at once and none is left to tell of them.
type keeper struct {
	e *Entry
	// kept says that the service holds runs of this entry.
	kept bool
}

// run reads what all entries kept, and then keeps this one's runs until ctx
// ends.
func (k *keeper) run(ctx context.Context) {
	k.read(ctx)
	for {
		pause := max(keepEvery, keepEach*time.Duration(k.e.roster.LimitSharers(k.e.deps.Clock.Now())))
		select {
		case <-ctx.Done():
			return
		case <-k.e.deps.Clock.After(pause):
			k.write(ctx)
		}
	}
}

// read takes the runs that entries kept before they ended. How old they are is
// not known; a copy that is gone is refused by its engine.
func (k *keeper) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	page, err := k.e.deps.Store.List(ctx, store.RunsPrefix)
	if err != nil {
		k.e.deps.Log.Emit(event.RunsNotLoaded, "error", err)
		return
	}
	now := k.e.deps.Clock.Now()
	for i := range page.Items {
		var runs []handover.Run
		if err := json.Unmarshal(page.Items[i].Value, &runs); err != nil {
			k.e.deps.Log.Emit(event.RunsNotLoaded, "key", page.Items[i].Key, "error", err)
			continue
		}
		k.e.handover.Restore(now, runs)
	}
}

// write keeps the runs that there are, and nothing while there were none before.
func (k *keeper) write(ctx context.Context) {
	runs := k.e.handover.LocalRuns()
	if len(runs) == 0 && !k.kept {
		return
	}
	value, err := json.Marshal(runs)
	if err != nil {
		k.e.deps.Log.Emit(event.RunsNotSaved, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	begun := k.e.deps.Clock.Now()
	_, err = k.e.deps.Store.Commit(ctx, store.Txn{Puts: []store.Put{{Key: store.RunsPrefix + string(k.e.cfg.Name), Value: value}}})
	k.e.meters.called("commit", err, k.e.deps.Clock.Since(begun))
	if err != nil {
		k.e.deps.Log.Emit(event.RunsNotSaved, "runs", len(runs), "error", err)
		return
	}
	k.kept = len(runs) > 0
}
