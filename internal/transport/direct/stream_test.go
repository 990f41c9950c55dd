package direct_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/id"
)

// engineAt answers with events 1 to 20, from the one after the client's last.
func engineAt(rw http.ResponseWriter, r *http.Request) { events(rw, after(r), 20, 30*time.Millisecond) }

// stalls answers with n events and then nothing more.
func stalls(n int) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		events(rw, after(r), n, 30*time.Millisecond)
		<-r.Context().Done()
	}
}

// breaks answers with n events and closes the connection.
func breaks(n int) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		events(rw, after(r), n, 30*time.Millisecond)
		panic(http.ErrAbortHandler)
	}
}

func TestStreamWhole(t *testing.T) {
	play(t, func(w *world) {
		w.target("t1", "10.0.1.1:80", "a", engineAt)
		w.start()
		a := w.ask("POST", "/r/x?q=1", "a1", "prompt")
		w.is.Equal(a.status, http.StatusOK)
		w.is.Equal(a.body, wholeStream(20))
		w.is.Equal(a.header.Get("Signed"), "yes")
		got := w.requests()
		w.is.Equal(len(got), 1)
		w.is.Equal(got[0].order.Get("Target"), "t1")
		w.is.Equal(got[0].order.Get("Account"), "acme")
		w.is.Equal(got[0].order.Get("Key"), "") // the target never sees the key
	})
}

// A stream whose engine is lost goes on from the copy in another availability
// zone, without an event missing or doubled.
func TestStreamResumed(t *testing.T) {
	tests := []struct {
		name string
		lost http.HandlerFunc
		// most is the longest time that the client may wait for all events.
		most time.Duration
	}{
		{"the connection breaks", breaks(7), time.Second},
		{"the engine is silent", stalls(7), 1700 * time.Millisecond},
		{"an event is cut", func(rw http.ResponseWriter, r *http.Request) {
			events(rw, after(r), 7, 30*time.Millisecond)
			_, _ = rw.Write([]byte("id: 8\ndata: x"))
			rw.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			play(t, func(w *world) {
				w.target("t1", "10.0.1.1:80", "a", tt.lost)
				w.target("t2", "10.0.2.1:80", "b", engineAt)
				w.start()
				begin := time.Now()
				a := w.ask("POST", "/r/x", "a1", "prompt")
				w.is.Equal(a.body, wholeStream(20))
				w.is.True(!a.broken)
				w.is.True(time.Since(begin) <= tt.most)
				got := w.requests()
				w.is.Equal(len(got), 2)
				w.is.Equal(got[0].order.Get("Copy-To"), "10.0.2.1:80")
				w.is.Equal(got[1].order.Get("Copy-At"), "10.0.2.1:80") // it goes on from the copy
				w.is.Equal(got[1].order.Get("Attempt"), "a1")
			})
		})
	}
}

// An engine that has not begun to answer has no copy of its run elsewhere, so
// that the request starts anew at once.
func TestStreamLostBeforeFirstEvent(t *testing.T) {
	play(t, func(w *world) {
		w.target("t1", "10.0.1.1:80", "a", breaks(0))
		w.target("t2", "10.0.2.1:80", "b", engineAt)
		w.start()
		a := w.ask("POST", "/r/x", "a1", "prompt")
		w.is.Equal(a.body, wholeStream(20))
		got := w.requests()
		w.is.Equal(len(got), 2)
		w.is.Equal(got[1].order.Get("Copy-At"), "")
	})
}

// Where the copy is refused, the stream starts anew behind the last event.
func TestStreamCopyRefused(t *testing.T) {
	play(t, func(w *world) {
		w.target("t1", "10.0.1.1:80", "a", breaks(7))
		w.target("t2", "10.0.2.1:80", "b", func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Copy-At") != "" {
				reply(http.StatusServiceUnavailable, "", "Not-Run", "1")(rw, r)
				return
			}
			engineAt(rw, r)
		})
		w.target("t3", "10.0.3.1:80", "c", engineAt)
		w.start()
		a := w.ask("POST", "/r/x", "a1", "prompt")
		w.is.Equal(a.body, wholeStream(20))
		got := w.requests()
		w.is.Equal(len(got), 3)
		w.is.Equal(got[2].order.Get("Copy-At"), "")
		w.is.Equal(got[2].order.Get("Last"), "7")
	})
}

// When the engine that holds the copy is lost while the run goes on, the run is
// copied to another engine, and goes on there when its own is lost in turn.
func TestStreamCopiedAgain(t *testing.T) {
	play(t, func(w *world) {
		w.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/copy" {
				reply(http.StatusOK, "h7")(rw, r)
				return
			}
			events(rw, after(r), 15, 100*time.Millisecond)
			panic(http.ErrAbortHandler)
		})
		w.target("t2", "10.0.2.1:80", "b", engineAt)
		w.target("t3", "10.0.3.1:80", "c", engineAt)
		w.start()
		c := w.client()
		c.send("POST", "/r/x", "a1", "prompt")
		go func() {
			time.Sleep(300 * time.Millisecond)
			w.leaves("t2", "10.0.2.1:80", "b")
			w.changes <- store.Change{Item: store.Item{Key: "t2"}, Deleted: true}
		}()
		a := c.receive()
		w.is.Equal(a.body, wholeStream(20))
		got := w.requests()
		w.is.Equal(len(got), 3)
		w.is.Equal(got[1].order.Get("Copy-To"), "10.0.3.1:80") // t1 copies the run to t3
		w.is.Equal(got[2].target, id.Target("t3"))
		w.is.Equal(got[2].order.Get("Copy-At"), "10.0.1.1:80")
		w.is.Equal(got[2].order.Get("Copy-Handle"), "h7")
	})
}

// A client that comes back with the same request and its last event goes on from
// the copy of the run that it had before: after its connection broke, and after
// all entries have ended and started again.
func TestStreamInherited(t *testing.T) {
	for _, restart := range []bool{false, true} {
		play(t, func(w *world) {
			w.target("t1", "10.0.1.1:80", "a", stalls(40))
			w.target("t2", "10.0.2.1:80", "b", engineAt)
			w.start()
			c := w.client()
			c.send("POST", "/r/x", "a1", "prompt")
			go func() { _, _ = c.r.WriteTo(discard{}) }()
			time.Sleep(1200 * time.Millisecond)
			if restart {
				w.restart()
			}
			_ = c.conn.Close()
			time.Sleep(10 * time.Millisecond)
			a := w.ask("POST", "/r/x", "a2", "prompt", "Last", "12")
			w.is.Equal(a.body, wholeStream(20)[len(wholeStream(12)):])
			got := w.requests()
			w.is.Equal(len(got), 2)
			w.is.Equal(got[1].target, id.Target("t2"))
			w.is.Equal(got[1].order.Get("Copy-Handle"), "a1") // the copy of the first attempt's run
			w.is.Equal(got[1].order.Get("Attempt"), "a2")

			// Another request does not get the copy.
			w.ask("POST", "/r/x", "a3", "another prompt", "Last", "12")
			w.is.Equal(w.requests()[2].order.Get("Copy-Handle"), "")
		})
	}
}

// A target that has said that it leaves gets no request, even from one that was
// accepted before: the choice after a loss is made from what is known then.
func TestStreamResumedWhileDraining(t *testing.T) {
	play(t, func(w *world) {
		w.target("t1", "10.0.1.1:80", "a", stalls(7))
		w.target("t2", "10.0.2.1:80", "b", engineAt)
		w.target("t3", "10.0.3.1:80", "c", engineAt)
		w.start()
		c := w.client()
		c.send("POST", "/r/x", "a1", "prompt")
		go func() {
			time.Sleep(100 * time.Millisecond)
			w.leaves("t2", "10.0.2.1:80", "b")
		}()
		a := c.receive()
		w.is.Equal(a.body, wholeStream(20))
		for _, r := range w.requests() {
			w.is.True(r.target != id.Target("t2"))
		}
	})
}

// When the client leaves, the engine's work is cancelled at once.
func TestStreamClientLeaves(t *testing.T) {
	play(t, func(w *world) {
		cancelled := make(chan time.Time, 1)
		w.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			events(rw, 1, 3, 30*time.Millisecond)
			<-r.Context().Done()
			cancelled <- time.Now()
		})
		w.start()
		c := w.client()
		c.send("POST", "/r/x", "a1", "prompt")
		go func() { _, _ = c.r.WriteTo(discard{}) }()
		time.Sleep(200 * time.Millisecond)
		left := time.Now()
		_ = c.conn.Close()
		w.is.True((<-cancelled).Sub(left) < 100*time.Millisecond)
		synctest.Wait()
		w.is.Equal(len(w.requests()), 1) // and not sent elsewhere
	})
}

// A client that takes nothing any more has left, also before its connection is
// seen to be closed: its stream is not begun elsewhere.
func TestStreamWriteFails(t *testing.T) {
	play(t, func(w *world) {
		w.target("t1", "10.0.1.1:80", "a", engineAt)
		w.target("t2", "10.0.2.1:80", "b", engineAt)
		w.start()
		c := w.client()
		c.send("POST", "/r/x", "a1", "prompt")
		go func() { _, _ = c.r.WriteTo(discard{}) }()
		time.Sleep(200 * time.Millisecond)
		w.net.deaf.Store(true)
		time.Sleep(time.Second)
		w.is.Equal(len(w.requests()), 1)
	})
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// A stream that can't go on is ended as broken, never as whole.
func TestStreamBroken(t *testing.T) {
	play(t, func(w *world) {
		w.target("t1", "10.0.1.1:80", "a", breaks(7))
		w.start()
		a := w.ask("POST", "/r/x", "a1", "prompt")
		w.is.True(a.broken)
		w.is.True(strings.HasPrefix(wholeStream(20), a.body))
	})
}

// A stream that may not be resumed runs once: it is copied nowhere, and is ended
// as broken when its engine is lost.
func TestStreamNotResumable(t *testing.T) {
	play(t, func(w *world) {
		w.config.Routes[0].Resumable = false
		w.target("t1", "10.0.1.1:80", "a", breaks(7))
		w.target("t2", "10.0.2.1:80", "b", engineAt)
		w.start()
		a := w.ask("POST", "/r/x", "a1", "prompt")
		w.is.True(a.broken)
		got := w.requests()
		w.is.Equal(len(got), 1)
		w.is.Equal(got[0].order.Get("Copy-To"), "")
	})
}

// An answer that is not to this request is never passed on.
func TestStreamForeignAnswer(t *testing.T) {
	play(t, func(w *world) {
		w.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Attempt", "another")
			events(rw, 1, 3, time.Millisecond)
		})
		w.target("t2", "10.0.2.1:80", "b", engineAt)
		w.start()
		a := w.ask("POST", "/r/x", "a1", "prompt")
		w.is.Equal(a.body, wholeStream(20))
	})
}
