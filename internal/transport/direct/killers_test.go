package direct_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/direct"
)

// killable adds n targets that end when they are asked to run the body "kill".
// They stand in zones by turns.
func (w *world) killable(n int) {
	fine := reply(http.StatusOK, "fine", "Signed", "yes")
	for i := range n {
		address := fmt.Sprintf("10.0.%d.1:80", i+1)
		w.target(fmt.Sprintf("t%d", i+1), address, string(rune('a'+i%2)), func(rw http.ResponseWriter, r *http.Request) {
			if w.lastBody() == "kill" {
				go w.crash(address)
				panic(http.ErrAbortHandler)
			}
			fine(rw, r)
		})
	}
}

// lastBody returns the body of the request that a target got last.
func (w *world) lastBody() string {
	got := w.requests()
	return got[len(got)-1].body
}

// A request that has ended three targets is refused unrun, on every attempt of
// the client, while other requests are served. Targets of one zone that end
// together blame nobody, so the attempts are some seconds apart.
func TestQuarantine(t *testing.T) {
	play(t, func(w *world) {
		w.killable(9)
		w.start()
		for i := range 6 {
			status := w.ask("POST", "/s/x", fmt.Sprint("a", i), "kill").status
			w.is.True(status == http.StatusBadGateway || status == http.StatusServiceUnavailable)
			time.Sleep(4 * time.Second)
		}
		w.is.True(len(w.requests()) <= 6) // three deaths, and at most three sends more
		refused := w.ask("POST", "/s/x", "a9", "kill")
		w.is.Equal(refused.status, http.StatusServiceUnavailable)
		w.is.Equal(refused.body, "quarantine\n")
		w.is.True(refused.header.Get("Retry-After") != "")
		w.is.Equal(w.ask("POST", "/s/x", "b1", "other").status, http.StatusOK)
		w.is.Equal(w.ask("POST", "/s/y", "b2", "also other").status, http.StatusOK)
	})
}

// A request that is answered between the losses of its targets is not refused,
// however often that happens.
func TestQuarantineInnocent(t *testing.T) {
	play(t, func(w *world) {
		broken := false
		for i := range 4 {
			address := fmt.Sprintf("10.0.%d.1:80", i+1)
			w.target(fmt.Sprintf("t%d", i+1), address, string(rune('a'+i%2)), func(rw http.ResponseWriter, r *http.Request) {
				if broken = !broken; broken {
					panic(http.ErrAbortHandler)
				}
				reply(http.StatusOK, "fine", "Signed", "yes")(rw, r)
			})
		}
		w.start()
		for i := range 12 {
			w.is.Equal(w.ask("POST", "/s/x", fmt.Sprint("a", i), "body").status, http.StatusOK)
			time.Sleep(4 * time.Second)
		}
	})
}

// Losses that are silent, or that several targets of a zone share, blame no
// request.
func TestQuarantineSharedLoss(t *testing.T) {
	play(t, func(w *world) {
		for i := range 6 {
			w.target(fmt.Sprintf("t%d", i+1), fmt.Sprintf("10.0.%d.1:80", i+1), "a", cut)
		}
		w.start()
		for i := range 9 {
			a := w.ask("POST", "/s/x", fmt.Sprint("a", i), "body")
			w.is.True(a.body != "quarantine\n")
			time.Sleep(500 * time.Millisecond)
		}
	})
}

// targetsOf returns the targets that got requests.
func (w *world) targetsOf() map[id.Target]bool {
	targets := map[id.Target]bool{}
	for _, r := range w.requests() {
		targets[r.target] = true
	}
	return targets
}

// A quarantine is logged with the fingerprint, so that its caller can be found.
func TestQuarantineLogged(t *testing.T) {
	play(t, func(w *world) {
		w.killable(9)
		w.start()
		for i := range 5 {
			w.ask("POST", "/s/x", fmt.Sprint("a", i), "kill")
			time.Sleep(4 * time.Second)
		}
		w.is.True(len(w.targetsOf()) >= 3)
		names, text := w.log.of("a4")
		w.is.True(strings.Contains(strings.Join(names, " "), "requestQuarantined"))
		w.is.True(strings.Contains(text, "fingerprint="))
	})
}

// Each entry tells what it saw itself, for a second, and all add it up. What was
// heard is not told again: with many entries that would fill their links.
func TestKillersNews(t *testing.T) {
	is := is.New(t)
	const f = id.Fingerprint(7)
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	target := func(name id.Target) *catalog.Target { return &catalog.Target{ID: name, Zone: id.Zone("z" + name)} }
	entries := []direct.QuarantineTracker{direct.NewQuarantineTracker(), direct.NewQuarantineTracker(), direct.NewQuarantineTracker()}
	for i, e := range entries {
		e.TargetLost(now, target(id.Target(rune('a'+i))), f)
	}
	for i, e := range entries {
		for j, other := range entries {
			if i != j {
				other.Merge(now, e.Changes(now))
			}
		}
	}
	for _, e := range entries {
		is.True(e.Refused(now, f))
	}
	listener := direct.NewQuarantineTracker()
	listener.Merge(now, entries[0].Changes(now))
	is.Equal(len(listener.Changes(now)), 0)
	is.Equal(len(entries[0].Changes(now.Add(2*time.Second))), 0)
	entries[0].Finished(now.Add(3*time.Second), f)
	entries[1].Merge(now.Add(3*time.Second), entries[0].Changes(now.Add(3*time.Second)))
	is.True(!entries[1].Refused(now.Add(3*time.Second), f))
}
