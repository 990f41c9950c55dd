package direct_test

import (
	"net/http"
	"testing"
	"time"
)

// TestSlowClientKeepsStream guards against a stream that is cut because its client accepts
// nothing for a while, though it still waits.
func TestSlowClientKeepsStream(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) { events(rw, after(r), 20, 100*time.Millisecond) })
		env.start()
		c := env.client()
		c.send("POST", "/r/x", "a1", "prompt")
		time.Sleep(5 * time.Second)
		a := c.receive()
		env.is.True(!a.broken)
		env.is.Equal(a.body, wholeStream(20))
	})
}

// TestDrainRefusesLongStreams guards against streams that an entry accepts while it stops,
// though streams of their service last longer than the time that is left.
func TestDrainRefusesLongStreams(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) { events(rw, after(r), 90, 100*time.Millisecond) })
		env.start()
		answers := make(chan answer, 25)
		for range cap(answers) {
			env.doLater(answers, "/r/x", "a", "prompt")
		}
		for range cap(answers) {
			env.is.Equal((<-answers).body, wholeStream(90))
		}
		env.stop()
		time.Sleep(100 * time.Millisecond)
		a := env.do("POST", "/r/x", "b", "prompt") // 9 s, and the grace time is 8 s
		env.is.Equal(a.status, http.StatusServiceUnavailable)
		env.is.True(a.header.Get("Retry-After") != "")
		<-env.ended
		env.ended <- nil
	})
}
