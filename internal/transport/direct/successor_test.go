package direct_test

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// withIdentity answers health checks with the target's name and slots, and other
// requests with "fine".
func withIdentity(name string, slots int) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != healthPath {
			respondWith(http.StatusOK, "fine", "Signed", "yes")(rw, r)
			return
		}
		rw.Header().Set("Name", name)
		rw.Header().Set("Slots", strconv.Itoa(slots))
	}
}

// healthChecks returns the number of health checks that targets received.
func (env *testEnv) healthChecks() int {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.checks
}

// loseTarget adds a single target, lets it answer one request, and crashes it
// with the next.
func (env *testEnv) loseTarget() {
	env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
		if env.lastBody() == "crash" {
			go env.crash("10.0.1.1:80")
			panic(http.ErrAbortHandler)
		}
		withIdentity("t1", targetSlots)(rw, r)
	})
	env.start()
	env.is.Equal(env.do("POST", "/u/x", "a1", "body").status, http.StatusOK)
	env.is.Equal(env.do("POST", "/u/x", "a2", "crash").status, http.StatusBadGateway)
	// The crash must not close what starts at the address next.
	synctest.Wait()
}

// A target that crashes and is restarted under another name must be used again,
// although the key-value service does not list it yet.
func TestSuccessorFound(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.loseTarget()
		time.Sleep(1200 * time.Millisecond)
		env.startUnlisted("t2", "10.0.1.1:80", withIdentity("t2", targetSlots))
		time.Sleep(300 * time.Millisecond)
		env.is.Equal(env.do("POST", "/u/x", "a3", "body").status, http.StatusOK)
		env.is.Equal(env.log.count("state=found"), 1)
	})
}

// No health check may be sent once the address may belong to another service. An
// answer with other slots must be ignored, because it comes from another kind of
// target.
func TestSuccessorNotFound(t *testing.T) {
	tests := []struct {
		name   string
		after  time.Duration
		slots  int
		checks int
	}{
		{"too late", 2100 * time.Millisecond, targetSlots, 0},
		{"other slots", 500 * time.Millisecond, targetSlots + 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				env.loseTarget()
				time.Sleep(tt.after)
				env.startUnlisted("t2", "10.0.1.1:80", withIdentity("t2", tt.slots))
				time.Sleep(5 * time.Second)
				env.is.Equal(env.healthChecks(), tt.checks)
				env.is.Equal(env.do("POST", "/u/x", "a3", "body").status, http.StatusServiceUnavailable)
				env.is.Equal(env.log.count("state=found"), 0)
			})
		})
	}
}

// A target that never sent anything may have ended long ago, so its address must
// not be checked.
func TestSuccessorOfUnusedTarget(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", dropConn)
		env.start()
		env.is.Equal(env.do("POST", "/u/x", "a1", "body").status, http.StatusBadGateway)
		time.Sleep(3 * time.Second)
		env.is.Equal(env.healthChecks(), 0)
	})
}

// The search must end when the key-value service lists another target at the
// address.
func TestSuccessorListed(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.loseTarget()
		env.startUnlisted("t2", "10.0.1.1:80", withIdentity("t2", targetSlots))
		env.listTarget("t2", "10.0.1.1:80", "a")
		time.Sleep(3 * time.Second)
		env.is.Equal(env.healthChecks(), 0)
	})
}

// A target that fails one request and goes on answering another one is alive, so
// its address must not be checked.
func TestSuccessorOfLiveTarget(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			if env.lastBody() == "cut" {
				panic(http.ErrAbortHandler)
			}
			engineHandler(rw, r)
		})
		env.start()
		running := env.client()
		running.send("POST", "/r/x", "a1", "body")
		time.Sleep(100 * time.Millisecond)
		env.is.Equal(env.do("POST", "/r/x", "a2", "cut").status, http.StatusBadGateway)
		env.is.Equal(running.receive().status, http.StatusOK)
		time.Sleep(3 * time.Second)
		env.is.Equal(env.healthChecks(), 0)
	})
}
