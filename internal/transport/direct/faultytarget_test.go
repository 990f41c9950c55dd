package direct_test

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestEndlessEventsAtOnce guards against targets that send bytes without end in the events of
// many streams at once: together they must not take more memory than the entry has for that.
func TestEndlessEventsAtOnce(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		const streams = 60
		env.memoryMB = 40
		env.config.Routes[0].MaxAttempts = 1
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Signed", "yes")
			// Each event stays below its own limit.
			_, _ = rw.Write(append([]byte("id: 1\ndata: "), make([]byte, 900<<10)...))
			_ = http.NewResponseController(rw).Flush()
			<-r.Context().Done()
		})
		env.start()
		var before, during runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		done := make(chan answer, streams)
		for i := range streams {
			c := env.client()
			go func() {
				c.send("POST", "/r/x", fmt.Sprint("a", i), "body")
				done <- c.receive()
			}()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		runtime.GC()
		runtime.ReadMemStats(&during)
		refused := env.log.count("noRoom")
		for range streams {
			<-done
		}
		env.is.True(during.HeapAlloc < before.HeapAlloc+(40<<20))
		env.is.True(refused > streams/2)
		time.Sleep(10 * time.Second) // the search for the target's successor ends
	})
}

// TestBodiesAtOnce guards against many large bodies of requests at once, which must not take
// more memory than the entry has for that: those beyond it are refused, and not run.
func TestBodiesAtOnce(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		const clients = 34
		env.memoryMB = 134
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(500 * time.Millisecond)
			respondWith(http.StatusOK, "fine", "Signed", "yes")(rw, r)
		})
		env.start()
		statuses := make(chan int, clients)
		for i := range clients {
			c := env.client()
			go func() {
				c.send("POST", "/u/x", fmt.Sprint("a", i), strings.Repeat("x", 4<<20))
			}()
			go func() { statuses <- c.receive().status }()
		}
		served := 0
		for range clients {
			switch status := <-statuses; status {
			case http.StatusOK:
				served++
			case http.StatusServiceUnavailable:
			default:
				t.Errorf("status %d", status)
			}
		}
		env.is.True(served >= 4) // a fifth of the memory holds 6 bodies
		env.is.True(served <= 7)
		env.is.Equal(len(env.requests()), served)
		env.is.Equal(env.do("POST", "/u/x", "later", strings.Repeat("x", 4<<20)).status, http.StatusOK)
	})
}

// TestErrorAfterBrokenStream guards against the next target's error in the middle of a stream
// that has begun and broken off, or at its end as if it were complete.
func TestErrorAfterBrokenStream(t *testing.T) {
	hijacked := func(bytes string) http.HandlerFunc {
		return func(rw http.ResponseWriter, r *http.Request) {
			conn, _, err := http.NewResponseController(rw).Hijack()
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte(strings.ReplaceAll(bytes, "ATTEMPT", r.Header.Get("Attempt"))))
			_ = conn.Close()
		}
	}
	tests := map[string]http.HandlerFunc{
		"signed error":         respondWith(http.StatusInternalServerError, "it failed", "Signed", "yes"),
		"unsigned error":       respondWith(http.StatusInternalServerError, "it failed"),
		"refusal":              respondWith(http.StatusServiceUnavailable, "full", "Not-Run", "1"),
		"another process":      respondWith(http.StatusMisdirectedRequest, "not me"),
		"redirection":          respondWith(http.StatusFound, "elsewhere", "Location", "/x"),
		"not found":            respondWith(http.StatusNotFound, "unknown", "Signed", "yes"),
		"unsigned success":     respondWith(http.StatusOK, "id: 4\ndata: forged\n\n"),
		"unframed error":       hijacked("HTTP/1.1 500 Oops\r\nAttempt: ATTEMPT\r\nSigned: yes\r\n\r\nit failed"),
		"other bytes":          hijacked("it failed\r\n\r\n"),
		"another's answer":     hijacked("HTTP/1.1 200 OK\r\nAttempt: other\r\nSigned: yes\r\nContent-Length: 22\r\n\r\nid: 4\ndata: foreign\n\n\n"),
		"a head in the chunks": hijacked("HTTP/1.1 200 OK\r\nAttempt: ATTEMPT\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 500 Oops\r\n\r\n"),
		"an error in an event": hijacked("HTTP/1.1 200 OK\r\nAttempt: ATTEMPT\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nfailed\r\n0\r\n\r\n"),
		"closed before a head": hijacked(""),
	}
	for name, second := range tests {
		t.Run(name, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				env.target("t1", "10.0.1.1:80", "a", breakAfter(3))
				env.target("t2", "10.0.2.1:80", "b", second)
				env.start()
				// Whichever comes first, the stream begins at t1 or does not begin.
				a := env.do("POST", "/r/x", "a1", "body")
				if a.status == http.StatusOK {
					env.is.Equal(a.body, wholeStream(3))
					env.is.True(a.broken)
				}
				time.Sleep(10 * time.Second) // the search for the targets' successors ends
			})
		})
	}
}
