package direct

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/handover"
	"foxtailward.example/foxtailward/internal/coordination/origin"
	"foxtailward.example/foxtailward/internal/coordination/quarantine"
	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/timing"
)

const (
	// The interval between saves is saveIntervalPerEntry times the number of
	// entries, because they share the rate limit of the key-value service. It is
	// at least minSaveInterval.
	minSaveInterval      = time.Second
	saveIntervalPerEntry = 90 * time.Millisecond
	// stateTimeout limits reading or writing the saved state as a whole. The client of
	// the key-value service ends calls that make no progress earlier.
	stateTimeout = 10 * time.Second
)

// stateSaver saves the entry's unfinished runs, where its streams began, and the requests
// that are suspected of crashing targets, in the key-value service. Entries also report
// these to each other; the saved state is needed if all entries end at the same
// time.
type stateSaver struct {
	e *Entry
	// loaded is set once the suspects that were saved have been read.
	loaded bool
	// savedRuns is set while the key-value service holds runs of this entry.
	savedRuns bool
	// savedSuspects is set while the key-value service holds suspects of this entry.
	// savedVersion is the version of those that were saved last.
	savedSuspects bool
	savedVersion  uint64
	// savedStreams is set while the key-value service holds streams of this entry, and
	// streamsLoaded once those that were saved have been read.
	savedStreams  bool
	streamsLoaded bool
	// savedVersions are the versions that the key-value service holds from this process, without
	// ages.
	savedVersions []origin.SeenVersion
	// savedEra is the newest era that was known when the state was saved last. What
	// was saved in an earlier era may be gone.
	savedEra store.Era
}

// suspectsItem is what an entry saves about the requests that are suspected of
// crashing targets.
type suspectsItem struct {
	// SavedAtMS is the time of day of the save, in milliseconds since 1970.
	SavedAtMS int64               `json:"savedAtMs"`
	Records   []quarantine.Record `json:"records"`
}

// streamsItem is what an entry saves about the versions of targets' software, whenever they
// change, and about the streams that it has served, unless one version alone has served.
type streamsItem struct {
	// Entry is the entry that saved the item; empty in older items.
	Entry id.Entry `json:"entry,omitempty"`
	// SavedAtMS is the time of day of the save, in milliseconds since 1970.
	SavedAtMS int64           `json:"savedAtMs"`
	Streams   []origin.Stream `json:"streams"`
	Versions  origin.Report   `json:"versions"`
}

// run loads the state that all entries saved, then saves this entry's state until
// ctx ends.
func (s *stateSaver) run(ctx context.Context) {
	s.loadStreams(ctx)
	s.loadRuns(ctx)
	s.loadSuspects(ctx)
	s.savedEra = s.e.storeWatcher.eras.Era()
	for timing.Sleep(ctx, s.e.deps.Clock, s.interval()) {
		if !s.loaded {
			s.loadSuspects(ctx)
		}
		if !s.streamsLoaded {
			s.loadStreams(ctx)
		}
		s.save(ctx)
	}
}

// interval returns the time until the next save.
func (s *stateSaver) interval() time.Duration {
	entries := s.e.roster.LimitSharers(s.e.deps.Clock.Now())
	return max(minSaveInterval, saveIntervalPerEntry*time.Duration(entries))
}

// loadRuns reads the runs that entries saved before they ended. The age of a run
// is not known, but an engine refuses a copy that it no longer holds.
func (s *stateSaver) loadRuns(ctx context.Context) {
	s.load(ctx, store.RunsPrefix, event.RunsNotLoaded, func(value []byte) error {
		var runs []handover.Run
		if err := json.Unmarshal(value, &runs); err != nil {
			return err
		}
		s.e.handover.Restore(s.e.deps.Clock.Now(), runs)
		return nil
	})
}

// loadSuspects reads the suspects that entries saved before they ended.
func (s *stateSaver) loadSuspects(ctx context.Context) {
	s.loaded = s.load(ctx, store.SuspectsPrefix, event.SuspectsNotLoaded, func(value []byte) error {
		var saved suspectsItem
		if err := json.Unmarshal(value, &saved); err != nil {
			return err
		}
		now := s.e.deps.Clock.Now()
		age := max(0, now.Sub(time.UnixMilli(saved.SavedAtMS)))
		s.e.quarantine.Merge(now, quarantine.Aged(saved.Records, age))
		return nil
	})
}

// loadStreams reads the streams that entries saved before they ended. What this entry saved last is
// what served until it ended, however long ago that is. The versions that served since are
// listed, unless they came and went within that time.
func (s *stateSaver) loadStreams(ctx context.Context) {
	var ages savedAges
	s.streamsLoaded = s.load(ctx, store.StreamsPrefix, event.StreamsNotLoaded, func(value []byte) error {
		var saved streamsItem
		if err := json.Unmarshal(value, &saved); err != nil {
			return err
		}
		now := s.e.deps.Clock.Now()
		age := max(0, now.Sub(time.UnixMilli(saved.SavedAtMS)))
		for i := range saved.Streams {
			saved.Streams[i].AgeMS += age.Milliseconds()
		}
		ages = append(ages, age)
		s.e.streams.Merge(now, saved.Streams)
		if saved.Entry == s.e.cfg.Name {
			age = 0
		}
		s.e.versions.Merge(now, saved.Versions, age)
		return nil
	})
	if s.streamsLoaded {
		s.e.versions.Cover(s.e.deps.Clock.Now())
		s.e.deps.Log.Emit(event.StreamsLoaded, "items", len(ages), "newest", ages.newest())
	}
}

// savedAges are the times since entries saved what has been read.
type savedAges []time.Duration

// newest returns the least age; 0 if there is none.
func (a savedAges) newest() time.Duration {
	if len(a) == 0 {
		return 0
	}
	return slices.Min(a)
}

// load applies the items with a prefix. It logs those that can't be decoded, and
// returns false if the items can't be read.
func (s *stateSaver) load(ctx context.Context, prefix string, failed event.Event, apply func(value []byte) error) bool {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	page, err := s.e.deps.Store.List(ctx, prefix)
	if err != nil {
		s.e.deps.Log.Emit(failed, "error", err)
		return false
	}
	s.e.storeWatcher.observeEra(page.Era)
	for i := range page.Items {
		if err := apply(page.Items[i].Value); err != nil {
			s.e.deps.Log.Emit(failed, "key", page.Items[i].Key, "error", err)
		}
	}
	return true
}

// save writes the current state in one call. It writes nothing if there are no
// runs now, none were written last time, the suspects and the versions are the same, and the
// key-value service has not returned from an older copy of its state.
func (s *stateSaver) save(ctx context.Context) {
	now := s.e.deps.Clock.Now()
	runs := s.e.handover.LocalRuns()
	suspects, version := s.e.quarantine.Suspects(now)
	var puts []store.Put
	era := s.e.storeWatcher.eras.Era()
	returned := era != s.savedEra
	if len(runs) > 0 || s.savedRuns || returned {
		puts = append(puts, store.Put{Key: store.RunsPrefix + string(s.e.cfg.Name), Value: encodeState(runs)})
	}
	if returned || (version != s.savedVersion && (len(suspects) > 0 || s.savedSuspects)) {
		value := encodeState(suspectsItem{SavedAtMS: now.UnixMilli(), Records: suspects})
		puts = append(puts, store.Put{Key: store.SuspectsPrefix + string(s.e.cfg.Name), Value: value})
	}
	streams := s.streamsToSave(now)
	report := s.e.versions.Report(now)
	versions := withoutAges(report.Seen)
	if len(streams) > 0 || s.savedStreams || returned || !slices.Equal(versions, s.savedVersions) {
		value := encodeState(streamsItem{Entry: s.e.cfg.Name, SavedAtMS: now.UnixMilli(), Streams: streams, Versions: report})
		puts = append(puts, store.Put{Key: store.StreamsPrefix + string(s.e.cfg.Name), Value: value})
	}
	if len(puts) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	result, err := s.e.deps.Store.Commit(ctx, store.Txn{Puts: puts})
	s.e.metrics.storeCall("commit", err, s.e.deps.Clock.Since(now))
	if err != nil {
		s.e.deps.Log.Emit(event.RunsNotSaved, "runs", len(runs), "suspects", len(suspects), "error", err)
		return
	}
	s.e.storeWatcher.observeEra(result.Era)
	s.savedStreams, s.savedVersions = len(streams) > 0, versions
	s.savedRuns, s.savedSuspects, s.savedVersion, s.savedEra = len(runs) > 0, len(suspects) > 0, version, era
}

// withoutAges returns the versions, to compare them.
func withoutAges(seen []origin.SeenVersion) []origin.SeenVersion {
	versions := slices.Clone(seen)
	for i := range versions {
		versions[i].AgeMS = 0
	}
	return versions
}

// streamsToSave returns the streams of this entry, unless one version alone has served.
func (s *stateSaver) streamsToSave(now time.Time) []origin.Stream {
	s.e.observeVersions()
	if !s.e.versions.Uncertain(now) {
		return nil
	}
	return s.e.streams.Own(now)
}

// encodeState returns v as JSON. The saved types contain only strings, numbers and
// bools, so encoding cannot fail.
func encodeState(v any) []byte {
	data, _ := json.Marshal(v)
	return data
}
