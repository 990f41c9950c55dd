//go:build knownred

package direct_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// TestWithdrawalOutlivesLateRecord guards against requests to a target that wants a pause, or is leaving, because
// its notice came more than a second before the record of its process.
func TestWithdrawalOutlivesLateRecord(t *testing.T) {
	answers := map[string]http.HandlerFunc{
		"pause":   respondWith(http.StatusServiceUnavailable, "no", "Not-Run", "1", "Pause", "10s"),
		"leaving": respondWith(http.StatusOK, "fine", "Signed", "yes", "Leaving", "1"),
	}
	for kind, answer := range answers {
		t.Run(kind, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, answer) // the process has started at 2
				env.softwareTarget("t2", "10.0.2.1:80", "b", "v1", 1, respondWith(http.StatusOK, "fine", "Signed", "yes"))
				env.start()
				for i := range 4 {
					env.do("POST", "/s/x", fmt.Sprint("a", i), "body")
				}
				env.is.Equal(env.countFor("t1"), 1)
				time.Sleep(3 * time.Second)
				env.list(softwareItem("t1", "10.0.1.1:80", "a", "v1", 2))
				for i := range 10 {
					env.do("POST", "/s/x", fmt.Sprint("b", i), "body")
					time.Sleep(100 * time.Millisecond)
				}
				env.is.Equal(env.countFor("t1"), 1)
			})
		})
	}
}

// TestFramedEndJustBeforeNotice guards against a stream that counts as whole because its target ended it early as soon as it was
// told to stop, and the news of that came after the last chunk.
func TestFramedEndJustBeforeNotice(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == reportPath {
				fmt.Fprint(rw, 0)
				return
			}
			events(rw, after(r), 7, 30*time.Millisecond)
			go func() {
				time.Sleep(2 * time.Millisecond)
				env.drainTarget("t1", "10.0.1.1:80", "a")
				time.Sleep(50 * time.Millisecond)
				env.crash("10.0.1.1:80")
			}()
		})
		env.start()
		env.startUnlisted("t2", "10.0.2.1:80", func(rw http.ResponseWriter, r *http.Request) { events(rw, after(r), 20, 30*time.Millisecond) })
		time.AfterFunc(100*time.Millisecond, func() { env.listTarget("t2", "10.0.2.1:80", "b") })
		got := env.do("POST", "/r/x", "a1", "body")
		time.Sleep(10 * time.Second)
		env.is.True(got.broken || got.body == wholeStream(20))
	})
}

// TestLateCommitReplacesSavedVersion guards against a version that counts as saved though an earlier write, which had counted as
// failed, has replaced the item since.
func TestLateCommitReplacesSavedVersion(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		var slow atomic.Bool
		env.changeStore = func(s *store.Store) {
			commit := s.Commit
			s.Commit = func(ctx context.Context, txn store.Txn) (store.Result, error) {
				if slow.CompareAndSwap(true, false) {
					time.AfterFunc(3*time.Second, func() { _, _ = commit(context.Background(), txn) })
					time.Sleep(time.Second)
					return store.Result{}, fault.New("commit", store.Unavailable, "no answer")
				}
				return commit(ctx, txn)
			}
		}
		var start atomic.Int64
		start.Store(1)
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, switchingEngine(&start))
		env.start()
		time.Sleep(time.Minute)
		slow.Store(true)
		for slow.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(1500 * time.Millisecond)
		start.Store(2)
		env.is.Equal(versions(env.do("POST", "/r/x", "a", "prompt a").body)["v2"], softwareEvents)
		time.Sleep(1200 * time.Millisecond)
		c, body, last := env.holdPart("a0")
		env.is.Equal(versions(body)["v2"], 5)
		start.Store(1)
		env.restartAtV1(c, listedAtV1)
		a := env.do("POST", "/r/x", "a1", "prompt a0", "Last", last, "Resumes", "a0")
		env.is.Equal(versions(a.body)["v1"], 0)
	})
}
