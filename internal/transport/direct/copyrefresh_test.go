package direct_test

import (
	"net/http"
	"testing"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
)

// TestOrderedCopyRefreshed guards against copies that engines discard, or that lack much,
// before the loss of their run's engine is noticed.
func TestOrderedCopyRefreshed(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		var calls []time.Time
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/copy" {
				calls = append(calls, time.Now())
				respondWith(http.StatusOK, "handle")(rw, r)
				return
			}
			events(rw, after(r), 80, 100*time.Millisecond)
		})
		env.target("t2", "10.0.2.1:80", "b", engineHandler)
		env.target("t3", "10.0.3.1:80", "c", engineHandler)
		env.start()
		time.AfterFunc(500*time.Millisecond, func() {
			// The holder of the first copy is gone.
			env.changes <- store.Change{Item: store.Item{Key: "t2"}, Deleted: true}
		})
		env.is.Equal(env.do("POST", "/r/x", "a1", "prompt").body, wholeStream(80))
		env.is.True(len(calls) > 3)
		for i := 1; i < len(calls); i++ {
			env.is.True(calls[i].Sub(calls[i-1]) <= 2*time.Second)
		}
	})
}

// TestCopyAnswerNamesRun guards against the answer to an earlier copy call that arrives once more
// in place of this call's: an answer that does not name the run must not tell its handle.
func TestCopyAnswerNamesRun(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		calls := 0
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/copy" {
				calls++
				rw.Header().Del("Attempt")
				respondWith(http.StatusOK, "foreign")(rw, r)
				return
			}
			breakAfter(25)(rw, r)
		})
		env.target("t2", "10.0.2.1:80", "b", engineHandler)
		var handles []string
		env.target("t3", "10.0.3.1:80", "c", func(rw http.ResponseWriter, r *http.Request) {
			handles = append(handles, r.Header.Get("Copy-Handle"))
			events(rw, after(r), 30, 30*time.Millisecond)
		})
		env.start()
		time.AfterFunc(200*time.Millisecond, func() {
			// The holder of the first copy is gone.
			env.changes <- store.Change{Item: store.Item{Key: "t2"}, Deleted: true}
		})
		env.is.Equal(env.do("POST", "/r/x", "a1", "prompt").body, wholeStream(30))
		env.is.Equal(calls, 1)
		env.is.Equal(handles, []string{""})
		time.Sleep(10 * time.Second) // the search for the target's successor ends
	})
}
