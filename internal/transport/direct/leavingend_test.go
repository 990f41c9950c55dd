package direct_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
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

// TestWholeStreamOfLastLeavingTarget guards against a whole stream that is broken off because its target, the last of its
// version, ends once it has finished its streams.
func TestWholeStreamOfLastLeavingTarget(t *testing.T) {
	tests := []struct {
		name string
		// other is the version of the only other target.
		other string
		// delisted says that the target is removed from the list, and serves on.
		delisted bool
	}{
		{"a release to another version", "v2", false},
		{"the target is delisted and serves on", "v2", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, processEngine(1, func(rw http.ResponseWriter, r *http.Request) {
					softwareEngine("v1", 0)(rw, r)
					if !tt.delisted {
						time.AfterFunc(50*time.Millisecond, func() { env.crash("10.0.1.1:80") })
					}
				}))
				env.start()
				env.startUnlisted("t2", "10.0.2.1:80", processEngine(1, softwareEngine(tt.other, 0)))
				time.AfterFunc(100*time.Millisecond, func() {
					env.list(softwareItem("t2", "10.0.2.1:80", "b", tt.other, 1))
					item := softwareItem("t1", "10.0.1.1:80", "a", "v1", 1)
					item.Value = []byte(strings.Replace(string(item.Value), "ready", "draining", 1))
					if tt.delisted {
						env.changes <- store.Change{Item: item, Deleted: true}
						return
					}
					env.list(item)
				})
				a := env.do("POST", "/r/x", "a1", "prompt")
				env.is.Equal(versions(a.body)["v1"], softwareEvents)
				time.Sleep(10 * time.Second)
				env.is.True(!a.broken)
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
