//go:build knownred

package direct_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// endingTarget returns a handler of a target of a process that started at *born. Its first answer
// to a stream has neither a length nor chunks and ends after five events, or right after its
// head if empty is set; before that, end is called. Later answers are complete.
func endingTarget(born *int, empty bool, end func()) http.HandlerFunc {
	ended := false
	return func(rw http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == reportPath:
			fmt.Fprint(rw, *born)
		case strings.HasPrefix(r.URL.Path, "/s/"):
			respondWith(http.StatusServiceUnavailable, "", "Not-Run", "yes", "Pause", "5s")(rw, r)
		case ended:
			events(rw, after(r), 20, 30*time.Millisecond)
		default:
			ended = true
			unframed(func(*http.Request) string {
				end()
				if empty {
					return ""
				}
				return wholeStream(5)
			}, nil)(rw, r)
		}
	}
}

// playStreamEnd sends a stream to an ending target beside a sound one, and checks that the client
// gets all events.
func playStreamEnd(t *testing.T, path string, empty bool, end func(env *testEnv, born *int)) answer {
	var got answer
	withEnv(t, func(env *testEnv) {
		once := env.config.Routes[0]
		once.Name, once.PathPrefix, once.Resumable = "o", "/o/", false
		env.config.Routes = append(env.config.Routes, once)
		born := 100
		atEnd := func() {
			if end != nil {
				end(env, &born)
			}
			env.list(softwareItem("t2", "10.0.2.1:80", "b", "v1", 200))
		}
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", born, endingTarget(&born, empty, atEnd))
		env.startUnlisted("t2", "10.0.2.1:80", func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == reportPath {
				fmt.Fprint(rw, 200)
				return
			}
			events(rw, after(r), 20, 30*time.Millisecond)
		})
		env.start()
		got = env.do("POST", path, "a1", "body")
		time.Sleep(10 * time.Second) // searches for successors end
	})
	return got
}

// TestStreamOfReplacedProcess guards against a stream that counts as whole because another
// process answers at the address of the one that ended.
func TestStreamOfReplacedProcess(t *testing.T) {
	got := playStreamEnd(t, "/r/x", false, func(_ *testEnv, born *int) { *born = 101 })
	if got.broken || got.body != wholeStream(20) {
		t.Errorf("got broken=%v %q", got.broken, got.body)
	}
}

// TestOnceStreamOfReplacedProcess guards against the same for a stream that may run once.
func TestOnceStreamOfReplacedProcess(t *testing.T) {
	got := playStreamEnd(t, "/o/x", false, func(_ *testEnv, born *int) { *born = 101 })
	if !got.broken {
		t.Errorf("got %q as a whole stream", got.body)
	}
}

// TestStreamOfLivingProcess guards against a stream that counts as whole because its target
// lives, though it closed the connection between two events.
func TestStreamOfLivingProcess(t *testing.T) {
	got := playStreamEnd(t, "/r/x", false, nil)
	if got.broken || got.body != wholeStream(20) {
		t.Errorf("got broken=%v %q", got.broken, got.body)
	}
}

// TestHeadWithoutEvents guards against an empty answer that counts as a whole stream because its
// target lives, though its connection ended right after the head.
func TestHeadWithoutEvents(t *testing.T) {
	for _, path := range []string{"/r/x", "/o/x"} {
		t.Run(strings.Trim(path, "/x"), func(t *testing.T) {
			got := playStreamEnd(t, path, true, nil)
			if got.status == http.StatusOK && !got.broken && got.body != wholeStream(20) {
				t.Errorf("got %q as a whole stream", got.body)
			}
		})
	}
}

// TestStreamOfPausedTarget guards against a stream that counts as whole because its target has
// asked for a pause and is not asked whether it lives.
func TestStreamOfPausedTarget(t *testing.T) {
	got := playStreamEnd(t, "/r/x", false, func(env *testEnv, _ *int) {
		env.is.Equal(env.do("GET", "/s/x", "a2", "").status, http.StatusServiceUnavailable)
	})
	if got.broken || got.body != wholeStream(20) {
		t.Errorf("got broken=%v %q", got.broken, got.body)
	}
}
