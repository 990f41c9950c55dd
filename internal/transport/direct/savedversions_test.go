package direct_test

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/settings"
)

// TestAllEntriesEndedBesideReturnedStore guards against an entry that takes an older copy of what was saved for all that was
// saved, because all entries were killed when the key-value service lost what it had acknowledged.
func TestAllEntriesEndedBesideReturnedStore(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		var start atomic.Int64
		start.Store(1)
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, switchingEngine(&start))
		env.start()
		time.Sleep(time.Minute + 100*time.Millisecond)
		env.mu.Lock()
		copied := maps.Clone(env.saved)
		env.mu.Unlock()
		start.Store(2)
		c, body, last := env.holdPart("a0")
		env.is.Equal(versions(body)["v2"], 5)
		start.Store(1)
		env.mu.Lock()
		env.saved = copied
		env.era++
		env.mu.Unlock()
		env.restartAtV1(c, listedAtV1)
		a := env.do("POST", "/r/x", "a1", "prompt a0", "Last", last, "Resumes", "a0")
		env.is.Equal(versions(a.body)["v1"], 0)
	})
}

// TestUnreadableSavedVersions guards against an entry that takes an item of streams that it can't read for one that names no
// further version.
func TestUnreadableSavedVersions(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 0, softwareEngine("v1", 0))
		env.saved[store.StreamsPrefix+"e"] = store.Item{Key: store.StreamsPrefix + "e", ModRevision: 1, Value: []byte(`{"entry":"e","savedAtMs":`)}
		env.start()
		time.Sleep(500 * time.Millisecond)
		a := env.do("POST", "/r/x", "a1", "prompt", "Last", "5", "Resumes", "foreign")
		env.is.Equal(strings.TrimSpace(a.body), "versionUnknown")
	})
}

// TestUnreadableVersionsOfOtherEntry guards against an entry that goes on at the only version it knows, though it can't read what
// another entry has saved since.
func TestUnreadableVersionsOfOtherEntry(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 0, softwareEngine("v1", 0))
		env.start()
		time.Sleep(time.Minute)
		env.mu.Lock()
		env.saved[store.StreamsPrefix+"e2"] = store.Item{Key: store.StreamsPrefix + "e2", ModRevision: 1, Value: []byte(`{"entry":"e2","savedAtMs":`)}
		env.mu.Unlock()
		a := env.do("POST", "/r/x", "a1", "prompt", "Last", "5", "Resumes", "foreign")
		env.is.Equal(strings.TrimSpace(a.body), "versionUnknown")
	})
}

// TestAllEntriesEndedAfterOneLostTheStore guards against a stream that goes on at another version, because the entry that began it
// could not save for so long that its item no longer counts, while another entry saved.
func TestAllEntriesEndedAfterOneLostTheStore(t *testing.T) {
	for _, away := range []time.Duration{20 * time.Second, 52 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				cut := env.failCommits()
				var start atomic.Int64
				start.Store(1)
				env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, switchingEngine(&start))
				env.start()
				time.Sleep(time.Minute)
				cut.Store(true)
				time.Sleep(away)
				start.Store(2)
				c, body, last := env.holdPart("a0")
				env.is.Equal(versions(body)["v2"], 5)
				start.Store(1)
				env.otherEntryBegins(`{"service":"m","software":"v1"}`) // saved just before
				env.mu.Lock()
				item := env.lastSaved(store.StreamsPrefix)
				maps.DeleteFunc(env.saved, func(key string, _ store.Item) bool { return strings.HasPrefix(key, store.StreamsPrefix+"e/") })
				item.Key = store.StreamsPrefix + "e0" // the entry that starts has another name
				item.Value = []byte(strings.Replace(string(item.Value), `"entry":"e"`, `"entry":"e0"`, 1))
				env.saved[item.Key] = item
				env.mu.Unlock()
				cut.Store(false)
				env.restartAtV1(c, listedAtV1)
				a := env.do("POST", "/r/x", "a1", "prompt a0", "Last", last, "Resumes", "a0")
				env.is.Equal(versions(a.body)["v1"], 0)
			})
		})
	}
}

// TestRestartedEntryForgetsRecentStream guards against a restarted entry that counts a version from when it was first saved,
// though a stream began there just before all entries were killed.
func TestRestartedEntryForgetsRecentStream(t *testing.T) {
	for _, since := range []time.Duration{time.Second, 28 * time.Second} {
		t.Run(since.String(), func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				var start atomic.Int64
				start.Store(1)
				env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, switchingEngine(&start))
				env.start()
				time.Sleep(time.Minute)
				start.Store(2)
				env.is.Equal(versions(env.do("POST", "/r/x", "a", "prompt a").body)["v2"], softwareEvents)
				time.Sleep(since)
				c, body, last := env.holdPart("a0")
				env.is.Equal(versions(body)["v2"], 5)
				start.Store(1)
				env.restartAtV1(c, listedAtV1)
				for try := range 5 { // all within the time in which a stream may last
					time.Sleep(3 * time.Second)
					a := env.do("POST", "/r/x", fmt.Sprint("a1-", try), "prompt a0", "Last", last, "Resumes", "a0")
					env.is.Equal(versions(a.body)["v1"], 0)
				}
			})
		})
	}
}

// TestSlowReportHidesSoleVersion guards against resumptions that are refused for as long as a stream lasts because the report of a
// process took a little longer than the first event waits, though it showed the version then.
func TestSlowReportHidesSoleVersion(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		var delay atomic.Int64
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == reportPath {
				time.Sleep(time.Duration(delay.Load()))
			}
			processEngine(1, softwareEngine("v1", 0))(rw, r)
		})
		env.start()
		time.Sleep(time.Minute)
		delay.Store(int64(300 * time.Millisecond))
		env.is.Equal(versions(env.do("POST", "/r/x", "a0", "prompt a0").body)["v1"], softwareEvents)
		delay.Store(0)
		time.Sleep(5 * time.Second)
		a := env.do("POST", "/r/x", "a1", "prompt", "Last", "5", "Resumes", "foreign")
		env.is.Equal(versions(a.body)["v1"], softwareEvents-5)
	})
}

// TestStoreOutageBesideUnrecordedTarget guards against new streams that fail though a target of a saved version is free, because each is
// first sent to one whose version can't be saved.
func TestStoreOutageBesideUnrecordedTarget(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		away := env.failCommits()
		env.retries = &settings.Retries{Ratio: 0.1, MinRetries: 5, WindowSeconds: 10}
		var start atomic.Int64
		start.Store(1)
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, switchingEngine(&start))
		env.softwareTarget("t2", "10.0.2.1:80", "b", "v1", 1, processEngine(1, softwareEngine("v1", 0)))
		env.start()
		time.Sleep(time.Minute)
		away.Store(true)
		time.Sleep(3 * time.Second)
		start.Store(2)
		whole := 0
		for i := range 10 {
			if a := env.do("POST", "/r/x", fmt.Sprint("a", i), fmt.Sprint("prompt ", i)); versions(a.body)["v1"] == softwareEvents {
				whole++
			}
			time.Sleep(200 * time.Millisecond)
		}
		env.is.True(whole >= 5)
	})
}

// TestResumptionsAfterPowerLoss guards against resumptions that are all refused after all entries were without power for some
// seconds, though one version alone has ever served and its processes go on.
func TestResumptionsAfterPowerLoss(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		for i := range 2 {
			env.softwareTarget(fmt.Sprint("t", i), fmt.Sprintf("10.0.%d.1:80", i), string(rune('a'+i)), "v1", 1, processEngine(1, softwareEngine("v1", 0)))
		}
		env.start()
		time.Sleep(time.Minute)
		env.stop()
		<-env.ended
		time.Sleep(6 * time.Second)
		env.restart()
		time.Sleep(4 * time.Second)
		resumed, begun := 0, 0
		for i := range 12 {
			if versions(env.do("POST", "/r/x", fmt.Sprint("n", i), fmt.Sprint("prompt n", i)).body)["v1"] == softwareEvents {
				begun++
			}
			a := env.do("POST", "/r/x", fmt.Sprint("r", i), fmt.Sprint("prompt r", i), "Last", "5", "Resumes", fmt.Sprint("foreign", i))
			if versions(a.body)["v1"] == softwareEvents-5 {
				resumed++
			}
		}
		env.is.True(2*resumed >= begun) // LOST
	})
}
