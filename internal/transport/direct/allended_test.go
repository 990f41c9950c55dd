package direct_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// listedAtV1 is the list with the target t2 alone.
var listedAtV1 = []store.Item{softwareItem("t2", "10.0.2.1:80", "b", "v1", 1)}

// switchingEngine returns a handler of an engine whose processes run the version of their start.
func switchingEngine(start *atomic.Int64) http.HandlerFunc {
	return reportingEngine(start, func(rw http.ResponseWriter, r *http.Request) {
		softwareEngine(fmt.Sprint("v", start.Load()), 0)(rw, r)
	})
}

// failCommits makes the key-value service's writes fail while the result is true.
func (env *testEnv) failCommits() *atomic.Bool {
	var fail atomic.Bool
	env.changeStore = func(s *store.Store) {
		commit := s.Commit
		s.Commit = func(ctx context.Context, txn store.Txn) (store.Result, error) {
			if fail.Load() {
				return store.Result{}, fault.New("commit", store.Unavailable, "the service is away")
			}
			return commit(ctx, txn)
		}
	}
	return &fail
}

// restartAtV1 restarts the entry after t2 has started at v1, when the key-value service lists the given targets alone. The client's
// connection ends.
func (env *testEnv) restartAtV1(c *client, listed []store.Item) {
	env.mu.Lock()
	env.targets = listed
	env.mu.Unlock()
	env.startUnlisted("t2", "10.0.2.1:80", processEngine(1, softwareEngine("v1", 0)))
	env.restart()
	_ = c.conn.Close()
}

// TestResumptionAfterAllEntriesEndedWithinSave guards against a stream that goes on at another version because all
// entries were killed before they had saved that its version served.
func TestResumptionAfterAllEntriesEndedWithinSave(t *testing.T) {
	tests := []struct {
		name string
		// begin has v2 serve at the target t1, the only one listed so far, at the end of a calm time.
		begin func(env *testEnv, start *atomic.Int64)
		// after is what the key-value service lists when the entry starts again.
		after []store.Item
		// starts says that records name the starts of processes.
		starts bool
	}{
		{"a process without a record, lost for good", func(_ *testEnv, start *atomic.Int64) { start.Store(2) },
			[]store.Item{softwareItem("t2", "10.0.2.1:80", "b", "v1", 1)}, true},
		{"a process without a record, back at its former version", func(_ *testEnv, start *atomic.Int64) { start.Store(2) },
			[]store.Item{softwareItem("t1", "10.0.1.1:80", "a", "v1", 1), softwareItem("t2", "10.0.2.1:80", "b", "v1", 1)}, true},
		{"a version that was listed for less than a save", func(env *testEnv, start *atomic.Int64) {
			start.Store(2)
			env.list(softwareItem("t1", "10.0.1.1:80", "a", "v2", 2))
		}, []store.Item{softwareItem("t2", "10.0.2.1:80", "b", "v1", 1)}, true},
		{"a version that was listed for less than a save, without starts", func(env *testEnv, start *atomic.Int64) {
			start.Store(2)
			env.list(softwareItem("t1", "10.0.1.1:80", "a", "v2", 0))
		}, []store.Item{softwareItem("t2", "10.0.2.1:80", "b", "v1", 0)}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				var start atomic.Int64
				start.Store(1)
				born := 0
				if tt.starts {
					born = 1
				}
				env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", born, switchingEngine(&start))
				env.start()
				time.Sleep(time.Minute + 100*time.Millisecond) // the entry knows all versions of the last streams
				tt.begin(env, &start)
				c, body, last := env.holdPart("a0")
				env.is.Equal(versions(body)["v2"], 5)
				start.Store(1)
				env.restartAtV1(c, tt.after)
				a := env.do("POST", "/r/x", "a1", "prompt a0", "Last", last, "Resumes", "a0")
				env.is.Equal(versions(a.body)["v1"], 0)
			})
		})
	}
}

// TestEarlierStreamGoesOnAfterAllEntriesEnded guards against streams that are refused after the end of all entries, because
// another version had begun a stream at another entry just before.
func TestEarlierStreamGoesOnAfterAllEntriesEnded(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, processEngine(1, softwareEngine("v1", 0)))
		env.start()
		time.Sleep(time.Minute)
		c, _, last := env.holdPart("a0")
		time.Sleep(1500 * time.Millisecond) // what runs is saved about once a second
		env.otherEntryBegins(`{"service":"m","unknown":"t1","start":2}`)
		env.restart()
		_ = c.conn.Close()
		a := env.do("POST", "/r/x", "a1", "prompt a0", "Last", last, "Resumes", "a0")
		env.is.Equal(versions(a.body)["v1"], softwareEvents-5)
	})
}

// TestFirstEventWaitsForSavedVersion guards against a stream that begins at a version which the key-value service does not
// hold, though it answered not long ago.
func TestFirstEventWaitsForSavedVersion(t *testing.T) {
	tests := []struct {
		name string
		// away is the time for which the key-value service has not acknowledged writes.
		away   time.Duration
		begins bool
	}{
		{"away for seconds", 5 * time.Second, false},
		{"away for longer than what was saved shows all versions", 16 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				away := env.failCommits()
				var start atomic.Int64
				start.Store(1)
				env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, switchingEngine(&start))
				env.start()
				time.Sleep(time.Minute)
				env.is.Equal(versions(env.do("POST", "/r/x", "a0", "prompt a0").body)["v1"], softwareEvents)
				away.Store(true)
				time.Sleep(tt.away)
				env.is.Equal(versions(env.do("POST", "/r/x", "a1", "prompt a1").body)["v1"], softwareEvents) // v1 is saved
				start.Store(2)
				env.is.Equal(versions(env.do("POST", "/r/x", "a2", "prompt a2").body)["v2"] > 0, tt.begins)
				away.Store(false)
				env.is.Equal(versions(env.do("POST", "/r/x", "a3", "prompt a3").body)["v2"], softwareEvents)
			})
		})
	}
}

// TestResumptionAfterLongTimeWithoutSaves guards against an entry that takes what was saved long before its start for all
// that has served.
func TestResumptionAfterLongTimeWithoutSaves(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 0, softwareEngine("v1", 0))
		env.start()
		time.Sleep(time.Minute)
		env.stop()
		<-env.ended
		time.Sleep(11 * time.Second)
		env.restart()
		a := env.do("POST", "/r/x", "a1", "prompt", "Last", "5", "Resumes", "foreign")
		env.is.Equal(strings.TrimSpace(a.body), "versionUnknown")
		time.Sleep(40 * time.Second)
		env.is.Equal(versions(env.do("POST", "/r/x", "a2", "prompt", "Last", "5", "Resumes", "foreign").body)["v1"], softwareEvents-5)
	})
}

// otherEntryBegins has the key-value service hold what another entry saves before a stream begins there.
func (env *testEnv) otherEntryBegins(version string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.saved[store.StreamsPrefix+"e2"] = store.Item{Key: store.StreamsPrefix + "e2", ModRevision: 1, Value: fmt.Appendf(nil,
		`{"entry":"e2","savedAtMs":%d,"streams":null,"versions":{"seen":[{"service":"m","software":"v1"},%s]}}`, time.Now().UnixMilli(), version)}
}

// TestSurveyAfterRollback guards against a stream that goes on at the only version ever listed, though the
// process that began it has ended before its record was written, and so has the entry that served it.
func TestSurveyAfterRollback(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		var start atomic.Int64
		start.Store(1)
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, reportingEngine(&start, softwareEngine("v1", 0)))
		env.softwareTarget("t2", "10.0.2.1:80", "b", "v1", 1, processEngine(1, softwareEngine("v1", 0)))
		env.start()
		time.Sleep(time.Minute)
		env.otherEntryBegins(`{"service":"m","unknown":"t1","start":2}`)
		start.Store(3)
		env.list(softwareItem("t1", "10.0.1.1:80", "a", "v1", 3))
		time.Sleep(30 * time.Second)
		a := env.do("POST", "/r/x", "a1", "prompt", "Last", "5", "Resumes", "foreign")
		env.is.Equal(strings.TrimSpace(a.body), "versionUnknown")
		time.Sleep(30 * time.Second)
		a = env.do("POST", "/r/x", "a2", "prompt", "Last", "5", "Resumes", "foreign") // no stream lasts so long
		env.is.Equal(versions(a.body)["v1"], softwareEvents-5)
	})
}

// TestSurveyWithSilentWatch guards against a stream that goes on at the only version that is listed, while the
// watch is silent and another entry has begun it at a version that it does not tell.
func TestSurveyWithSilentWatch(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, processEngine(1, softwareEngine("v1", 0)))
		env.start()
		time.Sleep(time.Minute)
		env.startUnlisted("t2", "10.0.2.1:80", processEngine(1, softwareEngine("v2", 0)))
		env.mu.Lock()
		env.targets = append(env.targets, softwareItem("t2", "10.0.2.1:80", "b", "v2", 1)) // the watch does not tell
		env.mu.Unlock()
		env.otherEntryBegins(`{"service":"m","software":"v2"}`)
		time.Sleep(500 * time.Millisecond)
		a := env.do("POST", "/r/x", "a1", "prompt", "Last", "5", "Resumes", "foreign")
		env.is.Equal(strings.TrimSpace(a.body), "versionUnknown")
	})
}
