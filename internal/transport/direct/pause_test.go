package direct_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// After the host was paused, no successor of a lost target may be searched for.
// The target may have sent its last data long before the entry read it, so its
// address may already belong to another service.
func TestSuccessorAfterPause(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		var suspended atomic.Int64
		begin := time.Now()
		env.sinceBoot = func() time.Duration { return time.Since(begin) + time.Duration(suspended.Load()) }
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			if env.lastBody() == "crash" {
				// The host is suspended while the answer is in transit.
				suspended.Store(int64(3 * time.Second))
				go env.crash("10.0.1.1:80")
				panic(http.ErrAbortHandler)
			}
			withIdentity("t1", targetSlots)(rw, r)
		})
		env.start()
		env.is.Equal(env.do("POST", "/u/x", "a1", "body").status, http.StatusOK)
		env.is.Equal(env.do("POST", "/u/x", "a2", "crash").status, http.StatusBadGateway)
		env.startUnlisted("t2", "10.0.1.1:80", withIdentity("t2", targetSlots))
		time.Sleep(3 * time.Second)
		env.is.Equal(env.healthChecks(), 0)
	})
}
