package direct_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// TestFramedEndOfLeavingTarget guards against a stream that counts as whole because a target that was told to stop ended
// it with its last chunk after half of its events.
func TestFramedEndOfLeavingTarget(t *testing.T) {
	tests := []struct {
		name string
		// last is the last event that the leaving target sends, and lives how long its process serves after that.
		last  int
		lives time.Duration
		// sends is the number of targets that the stream is sent to.
		sends int
	}{
		{"a part, and the process ends", 7, 50 * time.Millisecond, 2},
		{"a part, and the process ends later", 7, 1500 * time.Millisecond, 2},
		{"the whole stream, and the process ends", 20, 50 * time.Millisecond, 2},
		{"the whole stream, and the process serves on", 20, time.Hour, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
					if r.URL.Path == reportPath {
						fmt.Fprint(rw, 0)
						return
					}
					events(rw, after(r), tt.last, 30*time.Millisecond)
					time.AfterFunc(tt.lives, func() { env.crash("10.0.1.1:80") })
				})
				env.start()
				time.AfterFunc(100*time.Millisecond, func() {
					env.drainTarget("t1", "10.0.1.1:80", "a")
					env.listTarget("t2", "10.0.2.1:80", "b")
				})
				env.startUnlisted("t2", "10.0.2.1:80", func(rw http.ResponseWriter, r *http.Request) { events(rw, after(r), 20, 30*time.Millisecond) })
				got := env.do("POST", "/r/x", "a1", "body")
				env.is.True(!got.broken)
				env.is.Equal(got.body, wholeStream(20))
				env.is.Equal(env.countSent(), tt.sends)
				time.Sleep(10 * time.Second) // the search for the target's successor ends
			})
		})
	}
}

// TestFramedEndOfLeavingTargetWithoutEvents guards against an empty stream that counts as whole because a target that was
// told to stop ended it before its first event.
func TestFramedEndOfLeavingTargetWithoutEvents(t *testing.T) {
	for _, framing := range []string{"length", "chunks"} {
		t.Run(framing, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
					if r.URL.Path == reportPath {
						fmt.Fprint(rw, 0)
						return
					}
					time.Sleep(200 * time.Millisecond) // until its record says that it is leaving
					events(rw, 1, 0, 0)                // a head alone
					if framing == "chunks" {
						rw.(http.Flusher).Flush()
					}
					time.AfterFunc(50*time.Millisecond, func() { env.crash("10.0.1.1:80") })
				})
				env.start()
				time.AfterFunc(100*time.Millisecond, func() {
					env.drainTarget("t1", "10.0.1.1:80", "a")
					env.listTarget("t2", "10.0.2.1:80", "b")
				})
				env.startUnlisted("t2", "10.0.2.1:80", func(rw http.ResponseWriter, r *http.Request) { events(rw, after(r), 20, 30*time.Millisecond) })
				begin := time.Now()
				got := env.do("POST", "/r/x", "a1", "body")
				env.is.True(!got.broken)
				env.is.Equal(got.body, wholeStream(20))
				env.is.Equal(env.countSent(), 2)
				env.is.True(time.Since(begin) < 2*time.Second) // the client does not wait for the end of a process to get its first event
				time.Sleep(10 * time.Second)                   // the search for the target's successor ends
			})
		})
	}
}

// countSent returns the number of requests of clients that targets have received.
func (env *testEnv) countSent() int { return env.countSentTo("t1") + env.countSentTo("t2") }

// countSentTo returns the number of requests of clients that a target has received. Reports and orders are none.
func (env *testEnv) countSentTo(target id.Target) int {
	n := 0
	for _, r := range env.requests() {
		if r.target == target && r.body == "body" {
			n++
		}
	}
	return n
}
