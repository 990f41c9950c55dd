package direct_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// countFor returns the number of requests that a target has received.
func (env *testEnv) countFor(target id.Target) int {
	n := 0
	for _, got := range env.requests() {
		if got.target == target {
			n++
		}
	}
	return n
}

// TestTargetThatLeaves guards against requests to a target that has said in an answer that
// it is leaving.
func TestTargetThatLeaves(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", respondWith(http.StatusOK, "fine", "Signed", "yes", "Leaving", "1"))
		env.target("t2", "10.0.2.1:80", "b", respondWith(http.StatusOK, "fine", "Signed", "yes"))
		env.start()
		for i := range 20 {
			env.is.Equal(env.do("POST", "/s/x", fmt.Sprint("a", i), "body").status, http.StatusOK)
		}
		env.is.True(env.countFor("t1") <= 1)
	})
}

// The same for a stream, which goes on at its target.
func TestTargetThatLeavesInStream(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		leaving := func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Leaving", "1")
			events(rw, after(r), 10, 50*time.Millisecond)
		}
		env.target("t1", "10.0.1.1:80", "a", leaving)
		env.target("t2", "10.0.2.1:80", "b", func(rw http.ResponseWriter, r *http.Request) { events(rw, after(r), 10, 50*time.Millisecond) })
		env.start()
		for i := range 6 {
			env.is.Equal(env.do("POST", "/r/x", fmt.Sprint("a", i), "body").body, wholeStream(10))
		}
		env.is.True(env.countSentTo("t1") <= 1)
	})
}

// TestTargetThatWantsPause guards against requests to a target that has answered 503 and said
// for how long it wants nothing.
func TestTargetThatWantsPause(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		for i := range 2 {
			env.target(fmt.Sprint("t", i), fmt.Sprintf("10.0.%d.1:80", i), "a", respondWith(http.StatusServiceUnavailable, "no", "Not-Run", "1", "Pause", "5s"))
		}
		env.start()
		for i := range 20 {
			env.is.Equal(env.do("POST", "/s/x", fmt.Sprint("a", i), "body").status, http.StatusServiceUnavailable)
			time.Sleep(200 * time.Millisecond)
		}
		env.is.Equal(len(env.requests()), 2)
		time.Sleep(2 * time.Second)
		env.do("POST", "/s/x", "b", "body")
		env.is.True(len(env.requests()) > 2) // they are tried again after the pause
	})
}

// If all targets want a pause, callers are told when the first one is back.
func TestAllTargetsWantPause(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", respondWith(http.StatusServiceUnavailable, "no", "Not-Run", "1", "Pause", "4s"))
		env.start()
		env.do("POST", "/u/x", "a1", "body")
		refused := env.do("POST", "/u/x", "a2", "body")
		env.is.Equal(refused.status, http.StatusServiceUnavailable)
		env.is.Equal(refused.body, "targetsPaused\n")
		env.is.Equal(refused.header.Get("Retry-After"), "4")
		env.is.Equal(env.countFor("t1"), 1)
	})
}
