package direct_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
)

// lateEnv adds a route /o/ of streams that may run once and an unsafe route /l/ whose
// requests may take 5 s. A stream of 120 events takes 7.2 s, other requests take 3 s.
func lateEnv(env *testEnv) {
	once, long := env.config.Routes[0], env.config.Routes[1]
	once.Name, once.PathPrefix, once.Resumable = "o", "/o/", false
	long.Name, long.PathPrefix, long.Timeout = "l", "/l/", 5*time.Second
	env.config.Routes = append(env.config.Routes, once, long)
	env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasSuffix(r.URL.Path, "/short"):
			events(rw, 1, 5, 60*time.Millisecond)
		case r.URL.Path[1] == 'r' || r.URL.Path[1] == 'o':
			events(rw, after(r), 120, 60*time.Millisecond)
		default:
			time.Sleep(3 * time.Second)
			respondWith(http.StatusOK, "fine", "Signed", "yes")(rw, r)
		}
	})
	env.start()
	// Streams are usually short.
	for n := range 30 {
		env.is.Equal(env.do("POST", "/r/short", fmt.Sprintf("s%d", n), "").status, http.StatusOK)
	}
}

// requestLate sends a request whose body ends after a delay.
func (c *client) requestLate(path, attempt string, chunked bool, delay time.Duration) {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAttempt: %s\r\nKey: k1\r\n", path, attempt)
	begin, end := "Content-Length: 6\r\n\r\npro", "mpt"
	if chunked {
		begin, end = "Transfer-Encoding: chunked\r\n\r\n3\r\npro\r\n", "3\r\nmpt\r\n0\r\n\r\n"
	}
	// An entry that refuses the request meanwhile closes the connection.
	_, _ = c.conn.Write([]byte(head + begin))
	time.Sleep(delay)
	_, _ = c.conn.Write([]byte(end))
}

// TestDrainLate guards against requests that come late in the grace time on kept connections,
// or whose bodies do, and that are passed on and cut at its end. Each must be answered, or
// refused without having run.
func TestDrainLate(t *testing.T) {
	const never = -1
	tests := []struct {
		name, path string
		// sent is when the head is sent, after the entry was told to stop. The body ends
		// bodyDelay later.
		sent, bodyDelay time.Duration
		chunked         bool
		want            int
	}{
		{"stream", "/r/x", 3200 * time.Millisecond, 0, false, 503},
		{"stream, very late", "/r/x", 5700 * time.Millisecond, 0, false, 503},
		{"short stream", "/r/short", 2 * time.Second, 0, false, 200},
		{"stream that may run once", "/o/x", 100 * time.Millisecond, 0, false, 503},
		{"stream that may run once, late", "/o/x", 3200 * time.Millisecond, 0, false, 503},
		{"unsafe, ends in time", "/l/x", 2400 * time.Millisecond, 0, false, 200},
		{"unsafe, too late", "/l/x", 3200 * time.Millisecond, 0, false, 503},
		{"unsafe, body too late", "/l/x", -500 * time.Millisecond, 6700 * time.Millisecond, false, never},
		{"unsafe, chunks too late", "/l/x", 100 * time.Millisecond, 6700 * time.Millisecond, true, never},
		{"stream, body too late", "/r/x", 100 * time.Millisecond, 6700 * time.Millisecond, false, 503},
		{"stream, chunks too late", "/r/x", -100 * time.Millisecond, 6700 * time.Millisecond, true, 503},
		{"body in time", "/l/x", 100 * time.Millisecond, time.Second, true, 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				lateEnv(env)
				running := env.client()
				running.send("POST", "/r/x", "running", "")
				whole := make(chan answer, 1)
				go func() { whole <- running.receive() }()
				time.Sleep(time.Second)
				kept := env.client()
				got := make(chan answer, 1)
				send := func() {
					go func() { got <- kept.receive() }()
					kept.requestLate(tt.path, "late", tt.chunked, tt.bodyDelay)
				}
				if tt.sent < 0 {
					go send()
					time.Sleep(-tt.sent)
				}
				env.stop()
				if tt.sent >= 0 {
					time.Sleep(tt.sent)
					go send()
				}
				a := <-got
				env.is.True(!a.broken)
				env.is.Equal((<-whole).body, wholeStream(120))
				runs := 0
				for _, r := range env.requests() {
					if r.header.Get("Attempt") == "late" {
						runs++
					}
				}
				if tt.want == never {
					// Its own deadline may pass before.
					env.is.True(a.status == http.StatusServiceUnavailable || a.status == http.StatusRequestTimeout)
				} else {
					env.is.Equal(a.status, tt.want)
				}
				env.is.Equal(runs > 0, tt.want == http.StatusOK)
			})
		})
	}
}

// TestDrainAbort guards against requests without an answer that end with a closed connection
// at the end of the grace time.
func TestDrainAbort(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.config.Routes[1].Timeout = 25 * time.Second
		env.config.Routes[0].Kind = catalog.Safe
		env.config.Routes[0].Resumable = false
		env.target("t1", "10.0.1.1:80", "a", hang)
		env.start()
		got := make(chan answer, 2)
		for n, path := range []string{"/u/x", "/r/x"} {
			c := env.client()
			go func() {
				c.send("POST", path, fmt.Sprintf("a%d", n), "")
				got <- c.receive()
			}()
		}
		time.Sleep(time.Second)
		env.stop()
		env.is.True(<-env.ended != nil)
		env.ended <- nil
		for range 2 {
			a := <-got
			env.is.True(!a.broken)
			env.is.Equal(a.status, http.StatusBadGateway) // it may have run
		}
	})
}

// TestDrainFlush guards against an answer that is cut because its client had not yet read it
// when the last request ended.
func TestDrainFlush(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		body := strings.Repeat("x", 1000)
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(900 * time.Millisecond)
			respondWith(http.StatusOK, body, "Signed", "yes")(rw, r)
		})
		env.start()
		c := env.client()
		env.stop()
		time.Sleep(2 * time.Second)
		c.send("POST", "/u/x", "a1", "")
		time.Sleep(980 * time.Millisecond)
		synctest.Wait()
		a := c.receive()
		env.is.True(!a.broken)
		env.is.Equal(a.body, body)
		env.is.NoErr(<-env.ended)
		env.ended <- nil
	})
}
