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
	// The interval between saves is saveIntervalPerEntry times the number of
	// entries, because they share the rate limit of the key-value service. It is
	// at least minSaveInterval.
	minSaveInterval      = time.Second
	saveIntervalPerEntry = 90 * time.Millisecond
	// runStoreTimeout limits reading or writing the saved runs.
	runStoreTimeout = time.Second
)

// runSaver saves the entry's unfinished runs in the key-value service. Entries
// also report their runs to each other; the saved runs are needed if all entries
// end at the same time.
type runSaver struct {
	e *Entry
	// saved is set while the key-value service holds runs of this entry.
	saved bool
}

// run loads the runs that all entries saved, then saves this entry's runs until
// ctx ends.
func (s *runSaver) run(ctx context.Context) {
	s.load(ctx)
	for {
		pause := max(minSaveInterval, saveIntervalPerEntry*time.Duration(s.e.roster.LimitSharers(s.e.deps.Clock.Now())))
		select {
		case <-ctx.Done():
			return
		case <-s.e.deps.Clock.After(pause):
			s.save(ctx)
		}
	}
}

// load reads the runs that entries saved before they ended. The age of a run is
// not known, but an engine refuses a copy that it no longer holds.
func (s *runSaver) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, runStoreTimeout)
	defer cancel()
	page, err := s.e.deps.Store.List(ctx, store.RunsPrefix)
	if err != nil {
		s.e.deps.Log.Emit(event.RunsNotLoaded, "error", err)
		return
	}
	now := s.e.deps.Clock.Now()
	for i := range page.Items {
		var runs []handover.Run
		if err := json.Unmarshal(page.Items[i].Value, &runs); err != nil {
			s.e.deps.Log.Emit(event.RunsNotLoaded, "key", page.Items[i].Key, "error", err)
			continue
		}
		s.e.handover.Restore(now, runs)
	}
}

// save writes the current runs. It writes nothing if there are none now and none
// were written last time.
func (s *runSaver) save(ctx context.Context) {
	runs := s.e.handover.LocalRuns()
	if len(runs) == 0 && !s.saved {
		return
	}
	value, err := json.Marshal(runs)
	if err != nil {
		s.e.deps.Log.Emit(event.RunsNotSaved, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, runStoreTimeout)
	defer cancel()
	start := s.e.deps.Clock.Now()
	_, err = s.e.deps.Store.Commit(ctx, store.Txn{Puts: []store.Put{{Key: store.RunsPrefix + string(s.e.cfg.Name), Value: value}}})
	s.e.metrics.storeCall("commit", err, s.e.deps.Clock.Since(start))
	if err != nil {
		s.e.deps.Log.Emit(event.RunsNotSaved, "runs", len(runs), "error", err)
		return
	}
	s.saved = len(runs) > 0
}
