//go:build knownred

package direct_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestPauseOutlivesLateRecord guards against requests to a target that wants a pause, because
// its notice came more than a second before the record of its process.
func TestPauseOutlivesLateRecord(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		paused := respondWith(http.StatusServiceUnavailable, "no", "Not-Run", "1", "Pause", "10s")
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, paused) // the process has started at 2
		env.softwareTarget("t2", "10.0.2.1:80", "b", "v1", 1, respondWith(http.StatusOK, "fine", "Signed", "yes"))
		env.start()
		for i := range 4 {
			env.do("POST", "/s/x", fmt.Sprint("a", i), "body")
		}
		env.is.Equal(env.countFor("t1"), 1)
		time.Sleep(3 * time.Second)
		env.list(softwareItem("t1", "10.0.1.1:80", "a", "v1", 2))
		for i := range 10 {
			env.do("POST", "/s/x", fmt.Sprint("b", i), "body")
			time.Sleep(100 * time.Millisecond)
		}
		env.is.Equal(env.countFor("t1"), 1)
	})
}

// TestFramedEndJustBeforeNotice guards against a stream that counts as whole because its target ended it early as soon as it was
// told to stop, and the news of that came after the last chunk.
func TestFramedEndJustBeforeNotice(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == reportPath {
				fmt.Fprint(rw, 0)
				return
			}
			events(rw, after(r), 7, 30*time.Millisecond)
			go func() {
				time.Sleep(2 * time.Millisecond)
				env.drainTarget("t1", "10.0.1.1:80", "a")
				time.Sleep(50 * time.Millisecond)
				env.crash("10.0.1.1:80")
			}()
		})
		env.start()
		env.startUnlisted("t2", "10.0.2.1:80", func(rw http.ResponseWriter, r *http.Request) { events(rw, after(r), 20, 30*time.Millisecond) })
		time.AfterFunc(100*time.Millisecond, func() { env.listTarget("t2", "10.0.2.1:80", "b") })
		got := env.do("POST", "/r/x", "a1", "body")
		time.Sleep(10 * time.Second)
		env.is.True(got.broken || got.body == wholeStream(20))
	})
}
