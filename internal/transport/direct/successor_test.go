package direct_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"
)

// named answers a health check with the target's name and slots, and requests
// with "fine".
func named(name string, slots int) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != healthPath {
			reply(http.StatusOK, "fine", "Signed", "yes")(rw, r)
			return
		}
		rw.Header().Set("Name", name)
		rw.Header().Set("Slots", strconv.Itoa(slots))
	}
}

// healthChecks counts the questions for a target's name.
func (w *world) healthChecks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checks
}

// lose has the only target serve a request and then crash under another one.
func (w *world) lose() {
	w.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
		if w.lastBody() == "crash" {
			go w.crash("10.0.1.1:80")
			panic(http.ErrAbortHandler)
		}
		named("t1", targetSlots)(rw, r)
	})
	w.start()
	w.is.Equal(w.ask("POST", "/u/x", "a1", "body").status, http.StatusOK)
	w.is.Equal(w.ask("POST", "/u/x", "a2", "crash").status, http.StatusBadGateway)
}

// A target that crashes and starts again under another name is used again
// although the key-value service says nothing of it.
func TestSuccessorFound(t *testing.T) {
	play(t, func(w *world) {
		w.lose()
		time.Sleep(1200 * time.Millisecond)
		w.unlisted("t2", "10.0.1.1:80", named("t2", targetSlots))
		time.Sleep(300 * time.Millisecond)
		w.is.Equal(w.ask("POST", "/u/x", "a3", "body").status, http.StatusOK)
		w.is.Equal(w.log.count("state=found"), 1)
	})
}

// After the time in which its address may go to another service nobody is
// asked, and an answer of a target of another kind is not believed.
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
			play(t, func(w *world) {
				w.lose()
				time.Sleep(tt.after)
				w.unlisted("t2", "10.0.1.1:80", named("t2", tt.slots))
				time.Sleep(5 * time.Second)
				w.is.Equal(w.healthChecks(), tt.checks)
				w.is.Equal(w.ask("POST", "/u/x", "a3", "body").status, http.StatusServiceUnavailable)
				w.is.Equal(w.log.count("state=found"), 0)
			})
		})
	}
}

// A target that never sent anything may have ended long ago: its address is not
// asked.
func TestSuccessorOfUnknown(t *testing.T) {
	play(t, func(w *world) {
		w.target("t1", "10.0.1.1:80", "a", cut)
		w.start()
		w.is.Equal(w.ask("POST", "/u/x", "a1", "body").status, http.StatusBadGateway)
		time.Sleep(3 * time.Second)
		w.is.Equal(w.healthChecks(), 0)
	})
}

// The search ends once the key-value service lists another target there.
func TestSuccessorListed(t *testing.T) {
	play(t, func(w *world) {
		w.lose()
		w.unlisted("t2", "10.0.1.1:80", named("t2", targetSlots))
		w.lists("t2", "10.0.1.1:80", "a")
		time.Sleep(3 * time.Second)
		w.is.Equal(w.healthChecks(), 0)
	})
}

// A target that lost one answer and goes on with another is asked nothing.
func TestSuccessorOfLiving(t *testing.T) {
	play(t, func(w *world) {
		w.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			if w.lastBody() == "cut" {
				panic(http.ErrAbortHandler)
			}
			engineAt(rw, r)
		})
		w.start()
		going := w.client()
		going.send("POST", "/r/x", "a1", "body")
		time.Sleep(100 * time.Millisecond)
		w.is.Equal(w.ask("POST", "/r/x", "a2", "cut").status, http.StatusBadGateway)
		w.is.Equal(going.receive().status, http.StatusOK)
		time.Sleep(3 * time.Second)
		w.is.Equal(w.healthChecks(), 0)
	})
}
