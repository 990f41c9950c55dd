package direct_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/id"
)

// engineHandler answers with the events up to 20 that follow the client's last
// one.
func engineHandler(rw http.ResponseWriter, r *http.Request) {
	events(rw, after(r), 20, 30*time.Millisecond)
}

// stallAfter answers with the events up to n and then sends nothing more.
func stallAfter(n int) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		events(rw, after(r), n, 30*time.Millisecond)
		<-r.Context().Done()
	}
}

// breakAfter answers with the events up to n and closes the connection.
func breakAfter(n int) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		events(rw, after(r), n, 30*time.Millisecond)
		panic(http.ErrAbortHandler)
	}
}

func TestStreamComplete(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", engineHandler)
		env.start()
		a := env.do("POST", "/r/x?q=1", "a1", "prompt")
		env.is.Equal(a.status, http.StatusOK)
		env.is.Equal(a.body, wholeStream(20))
		env.is.Equal(a.header.Get("Signed"), "yes")
		got := env.requests()
		env.is.Equal(len(got), 1)
		env.is.Equal(got[0].header.Get("Target"), "t1")
		env.is.Equal(got[0].header.Get("Account"), "acme")
		env.is.Equal(got[0].header.Get("Key"), "") // the target never sees the key
	})
}

// If the engine of a stream is lost, the stream must be resumed from the copy in
// another availability zone, without missing or duplicate events.
func TestStreamResumed(t *testing.T) {
	tests := []struct {
		name string
		lost http.HandlerFunc
		// maxTime is the time within which the client must have all events.
		maxTime time.Duration
	}{
		{"the connection breaks", breakAfter(7), time.Second},
		{"the engine stalls", stallAfter(7), 1700 * time.Millisecond},
		{"an event is cut", func(rw http.ResponseWriter, r *http.Request) {
			events(rw, after(r), 7, 30*time.Millisecond)
			_, _ = rw.Write([]byte("id: 8\ndata: x"))
			rw.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				env.target("t1", "10.0.1.1:80", "a", tt.lost)
				env.target("t2", "10.0.2.1:80", "b", engineHandler)
				env.start()
				begin := time.Now()
				a := env.do("POST", "/r/x", "a1", "prompt")
				env.is.Equal(a.body, wholeStream(20))
				env.is.True(!a.broken)
				env.is.True(time.Since(begin) <= tt.maxTime)
				got := env.requests()
				env.is.Equal(len(got), 2)
				env.is.Equal(got[0].header.Get("Copy-To"), "10.0.2.1:80")
				env.is.Equal(got[1].header.Get("Copy-At"), "10.0.2.1:80") // it is resumed from the copy
				env.is.Equal(got[1].header.Get("Attempt"), "a1")
			})
		})
	}
}

// An engine that is lost before its first event has not copied its run yet. The
// request must be started again at once, without using a copy.
func TestStreamLostBeforeFirstEvent(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", breakAfter(0))
		env.target("t2", "10.0.2.1:80", "b", engineHandler)
		env.start()
		a := env.do("POST", "/r/x", "a1", "prompt")
		env.is.Equal(a.body, wholeStream(20))
		got := env.requests()
		env.is.Equal(len(got), 2)
		env.is.Equal(got[1].header.Get("Copy-At"), "")
	})
}

// If the copy is refused, the stream must be started again at another target,
// after the client's last event.
func TestStreamCopyRefused(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", breakAfter(7))
		env.target("t2", "10.0.2.1:80", "b", func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Copy-At") != "" {
				respondWith(http.StatusServiceUnavailable, "", "Not-Run", "1")(rw, r)
				return
			}
			engineHandler(rw, r)
		})
		env.target("t3", "10.0.3.1:80", "c", engineHandler)
		env.start()
		a := env.do("POST", "/r/x", "a1", "prompt")
		env.is.Equal(a.body, wholeStream(20))
		got := env.requests()
		env.is.Equal(len(got), 3)
		env.is.Equal(got[2].header.Get("Copy-At"), "")
		env.is.Equal(got[2].header.Get("Last"), "7")
	})
}

// If the holder of the copy is lost during the run, the run must be copied to
// another engine. It must be resumed there when its own engine is lost too.
func TestStreamCopyReplaced(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/copy" {
				respondWith(http.StatusOK, "h7")(rw, r)
				return
			}
			events(rw, after(r), 15, 100*time.Millisecond)
			panic(http.ErrAbortHandler)
		})
		env.target("t2", "10.0.2.1:80", "b", engineHandler)
		env.target("t3", "10.0.3.1:80", "c", engineHandler)
		env.start()
		c := env.client()
		c.send("POST", "/r/x", "a1", "prompt")
		go func() {
			time.Sleep(300 * time.Millisecond)
			env.drainTarget("t2", "10.0.2.1:80", "b")
			env.changes <- store.Change{Item: store.Item{Key: "t2"}, Deleted: true}
		}()
		a := c.receive()
		env.is.Equal(a.body, wholeStream(20))
		got := env.requests()
		env.is.Equal(len(got), 3)
		env.is.Equal(got[1].header.Get("Copy-To"), "10.0.3.1:80") // t1 copies the run to t3
		env.is.Equal(got[2].target, id.Target("t3"))
		env.is.Equal(got[2].header.Get("Copy-At"), "10.0.1.1:80")
		env.is.Equal(got[2].header.Get("Copy-Handle"), "h7")
	})
}

// A client that repeats its request with its last event's id must be served from
// the copy of its earlier run, both after its connection broke and after a
// restart of all entries.
func TestStreamResumedByNewRequest(t *testing.T) {
	for _, restart := range []bool{false, true} {
		withEnv(t, func(env *testEnv) {
			env.target("t1", "10.0.1.1:80", "a", stallAfter(40))
			env.target("t2", "10.0.2.1:80", "b", engineHandler)
			env.start()
			c := env.client()
			c.send("POST", "/r/x", "a1", "prompt")
			go func() { _, _ = c.r.WriteTo(discard{}) }()
			time.Sleep(1200 * time.Millisecond)
			if restart {
				env.restart()
			}
			_ = c.conn.Close()
			time.Sleep(10 * time.Millisecond)
			a := env.do("POST", "/r/x", "a2", "prompt", "Last", "12")
			env.is.Equal(a.body, wholeStream(20)[len(wholeStream(12)):])
			got := env.requests()
			env.is.Equal(len(got), 2)
			env.is.Equal(got[1].target, id.Target("t2"))
			env.is.Equal(got[1].header.Get("Copy-Handle"), "a1") // the copy of the first attempt's run
			env.is.Equal(got[1].header.Get("Attempt"), "a2")

			// A different request must not get the copy.
			env.do("POST", "/r/x", "a3", "another prompt", "Last", "12")
			env.is.Equal(env.requests()[2].header.Get("Copy-Handle"), "")
		})
	}
}

// A draining target must get no request, not even one that was accepted before
// the target began to drain: after a loss, the next target must be chosen from
// the current state.
func TestStreamResumedWhileDraining(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", stallAfter(7))
		env.target("t2", "10.0.2.1:80", "b", engineHandler)
		env.target("t3", "10.0.3.1:80", "c", engineHandler)
		env.start()
		c := env.client()
		c.send("POST", "/r/x", "a1", "prompt")
		go func() {
			time.Sleep(100 * time.Millisecond)
			env.drainTarget("t2", "10.0.2.1:80", "b")
		}()
		a := c.receive()
		env.is.Equal(a.body, wholeStream(20))
		for _, r := range env.requests() {
			env.is.True(r.target != id.Target("t2"))
		}
	})
}

// If the client disconnects, the engine's work must be cancelled at once.
func TestStreamClientLeaves(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		cancelled := make(chan time.Time, 1)
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			events(rw, 1, 3, 30*time.Millisecond)
			<-r.Context().Done()
			cancelled <- time.Now()
		})
		env.start()
		c := env.client()
		c.send("POST", "/r/x", "a1", "prompt")
		go func() { _, _ = c.r.WriteTo(discard{}) }()
		time.Sleep(200 * time.Millisecond)
		left := time.Now()
		_ = c.conn.Close()
		env.is.True((<-cancelled).Sub(left) < 100*time.Millisecond)
		synctest.Wait()
		env.is.Equal(len(env.requests()), 1) // the request was not sent to another target
	})
}

// A client that no longer accepts data counts as disconnected, even before its
// connection is seen to be closed. Its stream must not be started at another
// target.
func TestStreamClientWriteFails(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", engineHandler)
		env.target("t2", "10.0.2.1:80", "b", engineHandler)
		env.start()
		c := env.client()
		c.send("POST", "/r/x", "a1", "prompt")
		go func() { _, _ = c.r.WriteTo(discard{}) }()
		time.Sleep(200 * time.Millisecond)
		env.net.failWrites.Store(true)
		time.Sleep(time.Second)
		env.is.Equal(len(env.requests()), 1)
	})
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// A stream that can't be resumed must end as an aborted answer, never as a
// complete one.
func TestStreamBroken(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", breakAfter(7))
		env.start()
		a := env.do("POST", "/r/x", "a1", "prompt")
		env.is.True(a.broken)
		env.is.True(strings.HasPrefix(wholeStream(20), a.body))
	})
}

// A stream that is not resumable must run only once: it is not copied, and it is
// aborted if its engine is lost.
func TestStreamNotResumable(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.config.Routes[0].Resumable = false
		env.target("t1", "10.0.1.1:80", "a", breakAfter(7))
		env.target("t2", "10.0.2.1:80", "b", engineHandler)
		env.start()
		a := env.do("POST", "/r/x", "a1", "prompt")
		env.is.True(a.broken)
		got := env.requests()
		env.is.Equal(len(got), 1)
		env.is.Equal(got[0].header.Get("Copy-To"), "")
	})
}

// An answer to another attempt must never be forwarded.
func TestStreamAnswerToOtherAttempt(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Attempt", "another")
			events(rw, 1, 3, time.Millisecond)
		})
		env.target("t2", "10.0.2.1:80", "b", engineHandler)
		env.start()
		a := env.do("POST", "/r/x", "a1", "prompt")
		env.is.Equal(a.body, wholeStream(20))
	})
}

// TestResumptionGetsOwnCopy guards against a stream that goes on from the copy of another client's run.
func TestResumptionGetsOwnCopy(t *testing.T) {
	handler := func(rw http.ResponseWriter, r *http.Request) {
		if after(r) == 1 {
			stallAfter(40)(rw, r)
			return
		}
		engineHandler(rw, r)
	}
	for _, restart := range []bool{false, true} {
		for _, resumed := range []string{"a1", "b1"} {
			t.Run(fmt.Sprintf("%s, restart=%v", resumed, restart), func(t *testing.T) {
				withEnv(t, func(env *testEnv) {
					env.target("t1", "10.0.1.1:80", "a", handler)
					env.target("t2", "10.0.2.1:80", "b", handler)
					env.start()
					clients := map[string]*client{}
					for _, attempt := range []string{"a1", "b1"} {
						c := env.client()
						clients[attempt] = c
						c.send("POST", "/r/x", attempt, "prompt")
						go func() { _, _ = c.r.WriteTo(discard{}) }()
						time.Sleep(100 * time.Millisecond)
					}
					time.Sleep(time.Second)
					if restart {
						env.restart()
					}
					_ = clients[resumed].conn.Close()
					time.Sleep(10 * time.Millisecond)
					a := env.do("POST", "/r/x", "c1", "prompt", "Last", "12", "Resumes", resumed)
					env.is.Equal(a.body, wholeStream(20)[len(wholeStream(12)):])
					got := env.requests()
					env.is.Equal(len(got), 3)
					env.is.Equal(got[2].header.Get("Copy-Handle"), resumed)
					for _, c := range clients {
						_ = c.conn.Close()
					}
				})
			})
		}
	}
}
