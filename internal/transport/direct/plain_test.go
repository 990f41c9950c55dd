package direct_test

import (
	"bufio"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func cut(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestPlain(t *testing.T) {
	signed := reply(http.StatusOK, "fine", "Signed", "yes")
	full := reply(http.StatusServiceUnavailable, "", "Not-Run", "1")
	tests := []struct {
		name   string
		path   string
		first  http.HandlerFunc
		status int
		body   string
		// sends is how many targets get the request.
		sends int
	}{
		{"an answer", "/u/x", signed, 200, "fine", 1},
		{"a failure of the target's own", "/u/x", reply(500, "oh", "Signed", "yes"), 500, "oh", 1},
		{"a failure of a safe request", "/s/x", reply(500, "oh", "Signed", "yes"), 200, "fine", 2},
		{"lost and unsafe", "/u/x", cut, 502, "targetLost\n", 1},
		{"lost and safe", "/s/x", cut, 200, "fine", 2},
		{"silent and unsafe", "/u/x", hang, 504, "timeout\n", 1},
		{"silent and safe", "/s/x", hang, 200, "fine", 2},
		{"refused unrun", "/u/x", full, 200, "fine", 2},
		{"a refusal without the target's word", "/u/x", reply(503, ""), 502, "targetFailed\n", 1},
		{"unsigned and unsafe", "/u/x", reply(200, "fine"), 502, "targetLost\n", 1},
		{"foreign and unsafe", "/u/x", reply(200, "fine", "Signed", "yes", "Attempt", "b"), 502, "targetLost\n", 1},
		{"the address is another target's", "/u/x", reply(421, ""), 200, "fine", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			play(t, func(w *world) {
				w.target("t1", "10.0.1.1:80", "a", tt.first)
				w.target("t2", "10.0.2.1:80", "b", signed)
				w.start()
				begin := time.Now()
				a := w.ask("POST", tt.path, "a1", "body")
				w.is.Equal(a.status, tt.status)
				w.is.Equal(a.body, tt.body)
				w.is.True(time.Since(begin) <= time.Second)
				w.is.Equal(len(w.requests()), tt.sends)
				if a.status != tt.status || a.status >= 500 && a.body != "oh" {
					w.is.Equal(a.header.Get("Signed"), "") // a failure of our own bears no signature
				}
			})
		})
	}
}

func TestAdmit(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		headers []string
		status  int
	}{
		{"no route", "/nowhere/", nil, 404},
		{"unknown key", "/u/x", []string{"Key", "other"}, 401},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			play(t, func(w *world) {
				w.start()
				c := w.client()
				if tt.headers != nil {
					_, _ = c.conn.Write([]byte("POST " + tt.path + " HTTP/1.1\r\nHost: h\r\nKey: other\r\nContent-Length: 0\r\n\r\n"))
				} else {
					c.send("POST", tt.path, "a1", "")
				}
				w.is.Equal(c.receive().status, tt.status)
			})
		})
	}
}

// A target that refuses connections was not sent anything, so that the caller
// is told that the request was not run, and when to come back.
func TestPlainUnreached(t *testing.T) {
	play(t, func(w *world) {
		w.target("t1", "10.0.1.1:80", "a", hang)
		w.start()
		w.crash("10.0.1.1:80")
		a := w.ask("POST", "/u/x", "a1", "body")
		w.is.Equal(a.status, 503)
		w.is.True(a.header.Get("Retry-After") != "")
	})
}

// A process that was told to stop is not ready, answers what it takes, and takes
// nothing that it could not finish.
func TestDrain(t *testing.T) {
	play(t, func(w *world) {
		w.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/r/x" {
				events(rw, 1, 60, 100*time.Millisecond)
				return
			}
			time.Sleep(300 * time.Millisecond)
			reply(http.StatusOK, "fine", "Signed", "yes")(rw, r)
		})
		w.start()
		running := w.client()
		running.send("POST", "/r/x", "a1", "prompt")
		whole := make(chan answer, 1)
		go func() { whole <- running.receive() }()
		time.Sleep(time.Second)
		w.stop()
		synctest.Wait()

		ready, err := w.net.Dial(w.t.Context(), readiness)
		w.is.NoErr(err)
		probe := &client{conn: ready, r: bufio.NewReader(ready)}
		_, _ = ready.Write([]byte("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"))
		w.is.Equal(probe.receive().status, 503)
		_ = ready.Close()

		a := w.ask("POST", "/u/x", "a2", "")
		w.is.Equal(a.status, 200)
		w.is.True(a.closes)
		time.Sleep(2 * time.Second)
		a = w.ask("POST", "/r/x", "a3", "")
		w.is.Equal(a.status, 503) // it would not be whole by the end of the grace time
		a = <-whole
		w.is.Equal(a.body, wholeStream(60))
		w.is.NoErr(<-w.ended)
		w.ended <- nil
	})
}

// What could not be finished within the grace time is refused unrun.
func TestDrainEnd(t *testing.T) {
	play(t, func(w *world) {
		w.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/r/x" {
				events(rw, 1, 1000, 100*time.Millisecond)
				return
			}
			time.Sleep(800 * time.Millisecond)
			reply(http.StatusOK, "fine", "Signed", "yes")(rw, r)
		})
		w.start()
		running := w.client()
		running.send("POST", "/r/x", "a1", "prompt")
		go running.receive()
		w.stop()
		time.Sleep(6500 * time.Millisecond)
		w.is.Equal(w.ask("POST", "/u/x", "a2", "").status, 200)
		w.is.Equal(w.ask("POST", "/u/x", "a3", "").status, 503)
		w.is.True(<-w.ended != nil) // the stream was cut
		w.ended <- nil
	})
}
