//go:build knownred

package direct_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
)

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
				env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", born, reportingEngine(&start, func(rw http.ResponseWriter, r *http.Request) {
					softwareEngine(fmt.Sprint("v", start.Load()), 0)(rw, r)
				}))
				env.start()
				time.Sleep(time.Minute + 100*time.Millisecond) // the entry knows all versions of the last streams
				tt.begin(env, &start)
				c, body, last := env.holdPart("a0")
				env.is.Equal(versions(body)["v2"], 5)
				start.Store(1)
				env.mu.Lock()
				env.targets = tt.after
				env.mu.Unlock()
				env.startUnlisted("t2", "10.0.2.1:80", processEngine(1, softwareEngine("v1", 0)))
				env.restart()
				_ = c.conn.Close()
				a := env.do("POST", "/r/x", "a1", "prompt a0", "Last", last, "Resumes", "a0")
				env.is.Equal(versions(a.body)["v1"], 0)
			})
		})
	}
}
