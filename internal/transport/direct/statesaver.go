package direct

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/handover"
	"foxtailward.example/foxtailward/internal/coordination/origin"
	"foxtailward.example/foxtailward/internal/coordination/quarantine"
	"foxtailward.example/foxtailward/internal/coordination/savekey"
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
	// maxStreamsSaveInterval is how old the saved versions of this entry may be while the key-value service
	// answers.
	maxStreamsSaveInterval = 2 * time.Second
	// failedSavePause is the least time between two tries to save versions at once.
	failedSavePause = 50 * time.Millisecond
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
	// keys are those of what is saved. No write that is done late replaces what is there.
	keys *savekey.Keys
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
	// savedVersions are the versions that the key-value service holds from this process, saved at
	// streamsSavedAt.
	savedVersions  []origin.SeenVersion
	streamsSavedAt time.Time
	// savedEra is the newest era that was known when the state was saved last. What
	// was saved in an earlier era may be gone.
	savedEra store.Era
}

// newStateSaver returns a stateSaver of the process that has just started.
func newStateSaver(e *Entry) *stateSaver {
	return &stateSaver{e: e, keys: savekey.New(e.cfg.Name, id.Incarnation(e.startedAt.UnixMilli()))}
}

// suspectsItem is what an entry saves about the requests that are suspected of
// crashing targets.
type suspectsItem struct {
	// SavedAtMS is the time of day of the save, in milliseconds since 1970.
	SavedAtMS int64               `json:"savedAtMs"`
	Records   []quarantine.Record `json:"records"`
}

// streamsItem is what an entry saves about the versions of targets' software and about the streams that it has served.
type streamsItem struct {
	// Entry is the entry that saved the item; empty in older items.
	Entry id.Entry `json:"entry,omitempty"`
	// SavedAtMS is the time of day of the save, in milliseconds since 1970.
	SavedAtMS int64 `json:"savedAtMs"`
	// Era is the newest era of the key-value service that was known then.
	Era      store.Era       `json:"era,omitempty"`
	Streams  []origin.Stream `json:"streams"`
	Versions origin.Report   `json:"versions"`
}

// run loads the state that all entries saved, then saves this entry's state until
// ctx ends.
func (s *stateSaver) run(ctx context.Context) {
	s.loadStreams(ctx)
	s.loadRuns(ctx)
	s.loadSuspects(ctx)
	s.savedEra = s.e.storeWatcher.eras.Era()
	next := s.e.deps.Clock.After(s.interval())
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.e.versionSaves.due:
			if !s.saveVersions(ctx) && !timing.Sleep(ctx, s.e.deps.Clock, failedSavePause) {
				return
			}
		case <-next:
			s.loadMissing(ctx)
			s.save(ctx)
			next = s.e.deps.Clock.After(s.interval())
		}
	}
}

// loadMissing reads what could not be read before.
func (s *stateSaver) loadMissing(ctx context.Context) {
	if !s.loaded {
		s.loadSuspects(ctx)
	}
	if !s.streamsLoaded {
		s.loadStreams(ctx)
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
	s.load(ctx, store.RunsPrefix, event.RunsNotLoaded, func(value []byte, newest bool) error {
		var runs []handover.Run
		if !newest {
			return nil
		}
		if err := json.Unmarshal(value, &runs); err != nil {
			return err
		}
		s.e.handover.Restore(s.e.deps.Clock.Now(), runs)
		return nil
	})
}

// loadSuspects reads the suspects that entries saved before they ended.
func (s *stateSaver) loadSuspects(ctx context.Context) {
	s.loaded = s.load(ctx, store.SuspectsPrefix, event.SuspectsNotLoaded, func(value []byte, newest bool) error {
		var saved suspectsItem
		if !newest {
			return nil
		}
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
	var read savedAges
	outdated := 0
	s.streamsLoaded = s.load(ctx, store.StreamsPrefix, event.StreamsNotLoaded, func(value []byte, newest bool) error {
		saved, age, err := s.mergeStreams(value, newest)
		if !newest && err == nil {
			// What the entry has saved since tells how much is known of it.
			outdated++
			s.e.versions.MergeSaved(s.e.deps.Clock.Now(), saved.Versions.Seen, age)
			return nil
		}
		// What was saved later in an earlier era of the service, or what can't be read, may name more versions.
		read.add(age, err != nil || saved.Era < s.e.storeWatcher.eras.Era())
		return err
	})
	if !s.streamsLoaded {
		return
	}
	complete := read.complete()
	if complete {
		s.e.versions.Cover(s.e.deps.Clock.Now())
	}
	s.e.deps.Log.Emit(event.StreamsLoaded, "items", len(read.ages), "outdated", outdated, "newest", read.newest(), "complete", complete)
}

// mergeStreams records what an entry has saved about streams, and returns it with the time since. lastProcess says that an item of this
// entry's name is what its last process saved last.
func (s *stateSaver) mergeStreams(value []byte, lastProcess bool) (saved streamsItem, age time.Duration, err error) {
	if err := json.Unmarshal(value, &saved); err != nil {
		return saved, 0, err
	}
	now := s.e.deps.Clock.Now()
	age = max(0, now.Sub(time.UnixMilli(saved.SavedAtMS)))
	for i := range saved.Streams {
		saved.Streams[i].AgeMS += age.Milliseconds()
	}
	s.e.streams.Merge(now, saved.Streams)
	switch {
	case saved.Entry != s.e.cfg.Name:
		s.e.versions.MergeSaved(now, saved.Versions.Seen, age)
	case lastProcess:
		// It is what served until the end of the last process of this name. What it knew says nothing about the time since.
		s.e.versions.Merge(now, origin.Report{Seen: versionsOf(saved)}, 0)
	}
	return saved, age, nil
}

// readOthers reads what all entries have saved about streams by now. It returns false if some of it can't be read.
func (s *stateSaver) readOthers(ctx context.Context) bool {
	whole := true
	listed := s.load(ctx, store.StreamsPrefix, event.StreamsNotLoaded, func(value []byte, _ bool) error {
		_, _, err := s.mergeStreams(value, false)
		whole = whole && err == nil
		return err
	})
	return listed && whole
}

// load applies the items with a prefix, of which newest says whether the entry has saved none since. It logs those that can't be
// decoded, and returns false if the items can't be read.
func (s *stateSaver) load(ctx context.Context, prefix string, failed event.Event, apply func(value []byte, newest bool) error) bool {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	page, err := s.e.deps.Store.List(ctx, prefix)
	if err != nil {
		s.e.deps.Log.Emit(failed, "error", err)
		return false
	}
	s.e.storeWatcher.observeEra(page.Era)
	keys := make([]savekey.Key, len(page.Items))
	for i := range page.Items {
		keys[i] = savekey.Parse(strings.TrimPrefix(page.Items[i].Key, prefix))
	}
	s.keys.Observe(prefix, keys)
	newest := savekey.Newest(keys)
	for i := range page.Items {
		if err := apply(page.Items[i].Value, newest[keys[i].Entry] == keys[i]); err != nil {
			s.e.deps.Log.Emit(failed, "key", page.Items[i].Key, "error", err)
		}
	}
	return true
}

// savedPart is one part of the state, with the prefix of its keys.
type savedPart struct {
	prefix string
	value  any
}

// save writes the current state in one call. It writes nothing if there are no
// runs now, none were written last time, the suspects and the versions are the same, and the
// key-value service has not returned from an older copy of its state.
func (s *stateSaver) save(ctx context.Context) {
	now := s.e.deps.Clock.Now()
	runs := s.e.handover.LocalRuns()
	suspects, version := s.e.quarantine.Suspects(now)
	var parts []savedPart
	era := s.e.storeWatcher.eras.Era()
	returned := era != s.savedEra
	if len(runs) > 0 || s.savedRuns || returned {
		parts = append(parts, savedPart{store.RunsPrefix, runs})
	}
	// What takes the place of the last process's suspects has to contain them.
	saveSuspects := s.loaded && (returned || (version != s.savedVersion && (len(suspects) > 0 || s.savedSuspects)))
	if saveSuspects {
		parts = append(parts, savedPart{store.SuspectsPrefix, suspectsItem{SavedAtMS: now.UnixMilli(), Records: suspects}})
	}
	streams := s.streamsItem(now)
	saveStreams := s.streamsLoaded && (len(streams.Streams) > 0 || s.savedStreams || returned ||
		now.Sub(s.streamsSavedAt) >= maxStreamsSaveInterval || !slices.Equal(versionsOf(streams), s.savedVersions))
	if saveStreams {
		parts = append(parts, savedPart{store.StreamsPrefix, streams})
	}
	if len(parts) == 0 {
		return
	}
	if !s.commit(ctx, now, parts) {
		// The service may hold them all the same.
		s.savedRuns, s.savedSuspects = s.savedRuns || len(runs) > 0, s.savedSuspects || (saveSuspects && len(suspects) > 0)
		return
	}
	s.savedRuns, s.savedEra = len(runs) > 0, era
	if saveSuspects {
		s.savedSuspects, s.savedVersion = len(suspects) > 0, version
	}
	if saveStreams {
		s.streamsSaved(now, era, streams)
	}
}

// saveVersions writes which versions have served, because a stream waits for that. It reports whether it did.
func (s *stateSaver) saveVersions(ctx context.Context) bool {
	s.loadMissing(ctx)
	now, era := s.e.deps.Clock.Now(), s.e.storeWatcher.eras.Era()
	streams := s.streamsItem(now)
	// What the versions of this name's last process were is not known before it has been read.
	saved := s.streamsLoaded && s.commit(ctx, now, []savedPart{{store.StreamsPrefix, streams}})
	if saved {
		s.streamsSaved(now, era, streams)
	}
	s.e.versionSaves.writeEnded()
	return saved
}

// commit writes parts of the state, and reports whether the key-value service has acknowledged that. If it has not, the write may
// be done at any time from now on, and later ones go to other keys.
func (s *stateSaver) commit(ctx context.Context, now time.Time, parts []savedPart) bool {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	prefixes := make([]string, len(parts))
	for i := range parts {
		prefixes[i] = parts[i].prefix
	}
	write := s.keys.Begin(now, prefixes...)
	txn := store.Txn{Deletes: write.Removes()}
	for _, part := range parts {
		txn.Puts = append(txn.Puts, store.Put{Key: write.Key(part.prefix), Value: encodeState(part.value)})
	}
	result, err := s.e.deps.Store.Commit(ctx, txn)
	ended := s.e.deps.Clock.Now()
	s.e.metrics.storeCall("commit", err, ended.Sub(now))
	if err != nil {
		s.keys.Lost(ended, write)
		s.e.deps.Log.Emit(event.RunsNotSaved, "puts", len(txn.Puts), "removes", len(txn.Deletes), "number", write.Number(), "error", err)
		return false
	}
	s.keys.Done(ended, write)
	s.e.storeWatcher.observeEra(result.Era)
	return true
}

// streamsSaved records that the key-value service holds an item of this entry, which was made in an era of the service.
func (s *stateSaver) streamsSaved(now time.Time, era store.Era, item streamsItem) {
	s.savedStreams, s.savedVersions, s.streamsSavedAt = len(item.Streams) > 0, versionsOf(item), now
	if era == s.e.storeWatcher.eras.Era() {
		s.e.versions.MarkSaved(s.savedVersions)
	}
	s.e.versionSaves.saved(now)
}

// streamsItem returns what this entry saves about streams now.
func (s *stateSaver) streamsItem(now time.Time) streamsItem {
	s.e.observeVersions()
	return streamsItem{Entry: s.e.cfg.Name, SavedAtMS: now.UnixMilli(), Era: s.e.storeWatcher.eras.Era(), Streams: s.e.streams.Own(now), Versions: s.e.versions.Report(now)}
}

// versionsOf returns the versions in an item, to compare them.
func versionsOf(item streamsItem) []origin.SeenVersion {
	versions := make([]origin.SeenVersion, 0, len(item.Versions.Seen))
	for _, seen := range item.Versions.Seen {
		versions = append(versions, seen.Version())
	}
	return versions
}

// encodeState returns v as JSON. The saved types contain only strings, numbers and
// bools, so encoding cannot fail.
func encodeState(v any) []byte {
	data, _ := json.Marshal(v)
	return data
}
