package direct_test

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func dropConn(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestPlain(t *testing.T) {
	signed := respondWith(http.StatusOK, "fine", "Signed", "yes")
	full := respondWith(http.StatusServiceUnavailable, "", "Not-Run", "1")
	tests := []struct {
		name   string
		path   string
		first  http.HandlerFunc
		status int
		body   string
		// sends is the number of targets that receive the request.
		sends int
	}{
		{"an answer", "/u/x", signed, 200, "fine", 1},
		{"an error answer of the target", "/u/x", respondWith(500, "oh", "Signed", "yes"), 500, "oh", 1},
		{"an error answer to a safe request", "/s/x", respondWith(500, "oh", "Signed", "yes"), 200, "fine", 2},
		{"lost and unsafe", "/u/x", dropConn, 502, "targetLost\n", 1},
		{"lost and safe", "/s/x", dropConn, 200, "fine", 2},
		{"timeout and unsafe", "/u/x", hang, 504, "timeout\n", 1},
		{"timeout and safe", "/s/x", hang, 200, "fine", 2},
		{"refused without running", "/u/x", full, 200, "fine", 2},
		{"an unconfirmed refusal", "/u/x", respondWith(503, ""), 502, "targetFailed\n", 1},
		{"unsigned and unsafe", "/u/x", respondWith(200, "fine"), 502, "targetLost\n", 1},
		{"wrong attempt and unsafe", "/u/x", respondWith(200, "fine", "Signed", "yes", "Attempt", "b"), 502, "targetLost\n", 1},
		{"the address is another target's", "/u/x", respondWith(421, ""), 200, "fine", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				env.target("t1", "10.0.1.1:80", "a", tt.first)
				env.target("t2", "10.0.2.1:80", "b", signed)
				env.start()
				begin := time.Now()
				a := env.do("POST", tt.path, "a1", "body")
				env.is.Equal(a.status, tt.status)
				env.is.Equal(a.body, tt.body)
				env.is.True(time.Since(begin) <= time.Second)
				env.is.Equal(len(env.requests()), tt.sends)
				if a.status != tt.status || a.status >= 500 && a.body != "oh" {
					env.is.Equal(a.header.Get("Signed"), "") // an error of the entry itself must not be signed
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
			withEnv(t, func(env *testEnv) {
				env.start()
				c := env.client()
				if tt.headers != nil {
					_, _ = c.conn.Write([]byte("POST " + tt.path + " HTTP/1.1\r\nHost: h\r\nKey: other\r\nContent-Length: 0\r\n\r\n"))
				} else {
					c.send("POST", tt.path, "a1", "")
				}
				env.is.Equal(c.receive().status, tt.status)
			})
		})
	}
}

// A target that refuses connections has received nothing. The client must learn
// that its request was not executed and when to retry.
func TestPlainUnreached(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", hang)
		env.start()
		env.crash("10.0.1.1:80")
		a := env.do("POST", "/u/x", "a1", "body")
		env.is.Equal(a.status, 503)
		env.is.True(a.header.Get("Retry-After") != "")
	})
}

// A draining process must be unready, finish the requests that it accepts, and
// refuse those that it could not finish in time.
func TestDrain(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/r/x" {
				events(rw, 1, 60, 100*time.Millisecond)
				return
			}
			time.Sleep(300 * time.Millisecond)
			respondWith(http.StatusOK, "fine", "Signed", "yes")(rw, r)
		})
		env.start()
		running := env.client()
		running.send("POST", "/r/x", "a1", "prompt")
		streamAnswer := make(chan answer, 1)
		go func() { streamAnswer <- running.receive() }()
		time.Sleep(time.Second)
		env.stop()
		synctest.Wait()

		ready, err := env.net.Dial(env.t.Context(), readinessAddress)
		env.is.NoErr(err)
		probe := &client{conn: ready, r: bufio.NewReader(ready)}
		_, _ = ready.Write([]byte("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"))
		env.is.Equal(probe.receive().status, 503)
		_ = ready.Close()

		a := env.do("POST", "/u/x", "a2", "")
		env.is.Equal(a.status, 200)
		env.is.True(a.closes)
		time.Sleep(2 * time.Second)
		a = env.do("POST", "/r/x", "a3", "")
		env.is.Equal(a.status, 503) // it could not be completed by the end of the grace time
		a = <-streamAnswer
		env.is.Equal(a.body, wholeStream(60))
		env.is.NoErr(<-env.ended)
		env.ended <- nil
	})
}

// Requests that can't be finished within the grace time must be refused without
// being executed.
func TestDrainEnd(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/r/x" {
				events(rw, 1, 1000, 100*time.Millisecond)
				return
			}
			time.Sleep(800 * time.Millisecond)
			respondWith(http.StatusOK, "fine", "Signed", "yes")(rw, r)
		})
		env.start()
		running := env.client()
		running.send("POST", "/r/x", "a1", "prompt")
		go running.receive()
		env.stop()
		time.Sleep(6500 * time.Millisecond)
		env.is.Equal(env.do("POST", "/u/x", "a2", "").status, 200)
		env.is.Equal(env.do("POST", "/u/x", "a3", "").status, 503)
		env.is.True(<-env.ended != nil) // the stream was aborted
		env.ended <- nil
	})
}

// TestForeignRefusal guards against an answer of something that is no target, such as another
// entry: without a target's signature, its 4xx must not go to the client.
func TestForeignRefusal(t *testing.T) {
	tests := []struct {
		path string
		want int
	}{
		{"/s/x", http.StatusOK},
		{"/u/x", http.StatusBadGateway}, // it may have run
		{"/r/x", http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.path, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				env.target("t1", "10.0.1.1:80", "a", respondWith(http.StatusUnauthorized, "unknownKey"))
				env.start()
				if tt.want == http.StatusOK {
					env.startUnlisted("t2", "10.0.2.1:80", respondWith(http.StatusOK, wholeStream(1), "Signed", "yes"))
					env.listTarget("t2", "10.0.2.1:80", "b")
				}
				for i := range 4 {
					env.is.Equal(env.do("POST", tt.path, fmt.Sprint("a", i), "").status, tt.want)
					time.Sleep(10 * time.Second) // the entry tries the first one again
				}
			})
		})
	}
}
