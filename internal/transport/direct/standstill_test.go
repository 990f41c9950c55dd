package direct_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// After a standstill of the host nobody is asked for a lost target's successor:
// the last that the target sent may be older than it looks.
func TestSuccessorAfterStandstill(t *testing.T) {
	play(t, func(w *world) {
		var suspended atomic.Int64
		begin := time.Now()
		w.sinceBoot = func() time.Duration { return time.Since(begin) + time.Duration(suspended.Load()) }
		w.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			if w.lastBody() == "crash" {
				// The host stands still while the answer is on its way.
				suspended.Store(int64(3 * time.Second))
				go w.crash("10.0.1.1:80")
				panic(http.ErrAbortHandler)
			}
			named("t1", targetSlots)(rw, r)
		})
		w.start()
		w.is.Equal(w.ask("POST", "/u/x", "a1", "body").status, http.StatusOK)
		w.is.Equal(w.ask("POST", "/u/x", "a2", "crash").status, http.StatusBadGateway)
		w.unlisted("t2", "10.0.1.1:80", named("t2", targetSlots))
		time.Sleep(3 * time.Second)
		w.is.Equal(w.healthChecks(), 0)
	})
}
