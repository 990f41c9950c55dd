package direct_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// endingTarget returns a handler of a target of a process that started at born. Its first answer
// to a stream has neither a length nor chunks and ends after five events, or right after its
// head if empty is set; before that, end is called. Later answers are complete.
func endingTarget(born *atomic.Int64, empty bool, end func()) http.HandlerFunc {
	ended := false
	return func(rw http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == reportPath:
			fmt.Fprint(rw, born.Load())
		case strings.HasPrefix(r.URL.Path, "/s/"):
			respondWith(http.StatusServiceUnavailable, "", "Not-Run", "yes", "Pause", "5s")(rw, r)
		case ended:
			events(rw, after(r), 20, 30*time.Millisecond)
		default:
			ended = true
			conn, _, err := http.NewResponseController(rw).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nSigned: yes\r\n\r\n", r.Header.Get("Attempt"))
			if !empty {
				fmt.Fprint(conn, wholeStream(5))
			}
			time.Sleep(200 * time.Millisecond)
			end()
		}
	}
}

// playStreamEnd sends a stream to an ending target beside a sound one, and checks that the client
// gets all events.
func playStreamEnd(t *testing.T, path string, empty bool, end func(env *testEnv, born *atomic.Int64)) answer {
	var got answer
	withEnv(t, func(env *testEnv) {
		env.addOnceRoute()
		var born atomic.Int64
		born.Store(100)
		atEnd := func() {
			if end != nil {
				end(env, &born)
			}
			env.list(softwareItem("t2", "10.0.2.1:80", "b", "v1", 200))
		}
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 100, endingTarget(&born, empty, atEnd))
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
	got := playStreamEnd(t, "/r/x", false, func(_ *testEnv, born *atomic.Int64) { born.Store(101) })
	if got.broken || got.body != wholeStream(20) {
		t.Errorf("got broken=%v %q", got.broken, got.body)
	}
}

// TestOnceStreamOfReplacedProcess guards against the same for a stream that may run once.
func TestOnceStreamOfReplacedProcess(t *testing.T) {
	got := playStreamEnd(t, "/o/x", false, func(_ *testEnv, born *atomic.Int64) { born.Store(101) })
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
	got := playStreamEnd(t, "/r/x", false, func(env *testEnv, _ *atomic.Int64) {
		env.is.Equal(env.do("GET", "/s/x", "a2", "").status, http.StatusServiceUnavailable)
	})
	if got.broken || got.body != wholeStream(20) {
		t.Errorf("got broken=%v %q", got.broken, got.body)
	}
}

// TestStreamOfLeavingProcess guards against a stream that counts as whole because its target still
// answers, though it is about to end, and against a resumption there.
func TestStreamOfLeavingProcess(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 100, func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == reportPath {
				fmt.Fprint(rw, "100 leaving")
				return
			}
			unframed(func(*http.Request) string {
				time.Sleep(200 * time.Millisecond)
				env.list(softwareItem("t2", "10.0.2.1:80", "b", "v1", 0))
				return wholeStream(5)
			}, nil)(rw, r)
		})
		env.startUnlisted("t2", "10.0.2.1:80", func(rw http.ResponseWriter, r *http.Request) { events(rw, after(r), 20, 30*time.Millisecond) })
		env.start()
		got := env.do("POST", "/r/x", "a1", "body")
		env.is.True(got.broken || got.body == wholeStream(20))
		env.is.Equal(env.log.count("reason=confirmsEnd"), 0)
	})
}

// TestHeadWithoutEventsInResumption guards against a stream that counts as whole because the target
// at which it was resumed sent a head and nothing else.
func TestHeadWithoutEventsInResumption(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, _ *http.Request) {
			events(rw, 1, 5, 30*time.Millisecond)
			panic(http.ErrAbortHandler)
		})
		resumed := 0
		env.target("t2", "10.0.2.1:80", "b", func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/r/x" {
				resumed++
			}
			if resumed == 1 && after(r) == 6 {
				unframed(text(""), nil)(rw, r)
				return
			}
			events(rw, after(r), 20, 30*time.Millisecond)
		})
		env.start()
		env.is.Equal(env.do("POST", "/r/x", "a1", "body").body, wholeStream(20))
		env.is.Equal(env.log.count("reason=confirmsEnd"), 2) // recoveryChosen and sendEnded
	})
}

// TestUnframedStreamsEnd checks that streams of targets that always answer without a length or
// chunks are whole, after one resumption each that confirms the end.
func TestUnframedStreamsEnd(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 100, func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == reportPath {
				fmt.Fprint(rw, 100)
				return
			}
			unframed(func(*http.Request) string {
				time.Sleep(200 * time.Millisecond)
				return strings.TrimPrefix(wholeStream(20), wholeStream(after(r)-1))
			}, nil)(rw, r)
		})
		env.start()
		for i := range 10 {
			got := env.do("POST", "/r/x", fmt.Sprint("a", i), "body")
			env.is.True(!got.broken)
			env.is.Equal(got.body, wholeStream(20))
		}
		env.is.Equal(env.log.count("evidence=resumption"), 20) // sendEnded and requestFinished
	})
}
