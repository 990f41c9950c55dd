package direct_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/settings"
)

// doAside sends a request whose answer the test does not need.
func (env *testEnv) doAside(path, attempt, body string, headers ...string) {
	c := env.client()
	go func() {
		c.send("POST", path, attempt, body, headers...)
		c.receive()
	}()
}

// TestSettlingStreamTakesNoPlace guards against resumptions that are refused because streams whose target has
// finished them still count as its load.
func TestSettlingStreamTakesNoPlace(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 100, unframedEngine(func(r *http.Request) string { return eventsAfter(r, 5) }))
		env.start()
		for i := range targetSlots + targetSlots/4 {
			env.doAside("/r/x", fmt.Sprint("a", i), fmt.Sprint("prompt ", i))
		}
		time.Sleep(time.Second) // the target is idle
		a := env.do("POST", "/r/x", "b0", "prompt 0", "Last", "3", "Resumes", "a0")
		env.is.Equal(a.status, http.StatusOK)
		env.is.True(!a.broken)
	})
}

// TestEndShortlyBeforeDeadline guards against a finished stream that is sent to further targets because it ended
// too shortly before its deadline to settle.
func TestEndShortlyBeforeDeadline(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		const last = 235
		engine := func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == reportPath {
				fmt.Fprint(rw, 100)
				return
			}
			slowUnframed(rw, r, last)
		}
		for i := range 4 {
			env.softwareTarget(fmt.Sprint("t", i), fmt.Sprintf("10.0.%d.1:80", i), string(rune('a'+i)), "v1", 100, engine)
		}
		env.start()
		a := env.do("POST", "/r/x", "a1", "prompt")
		env.is.Equal(strings.Count(a.body, "id: "), last)
		runs := 0
		for _, r := range env.requests() {
			if r.header.Get("Attempt") != "" {
				runs++
			}
		}
		env.is.True(runs <= 2) // the stream and the confirmation of its end
	})
}

// TestPlainAnswerWithLittleTimeLeft guards against a whole plain answer that waits for evidence until its deadline
// and then fails.
func TestPlainAnswerWithLittleTimeLeft(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		for i := range env.config.Routes {
			if env.config.Routes[i].Name == "s" {
				env.config.Routes[i].LatencyObjective = 2 * time.Second // the client has less time left
			}
		}
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 100, func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == reportPath {
				time.Sleep(60 * time.Millisecond)
				fmt.Fprint(rw, 100)
				return
			}
			unframed(text("whole"), nil)(rw, r)
		})
		env.start()
		begin := time.Now()
		a := env.do("POST", "/s/x", "a1", "body")
		env.is.Equal(a.status, http.StatusOK)
		env.is.True(time.Since(begin) < 800*time.Millisecond)
	})
}

// graceSeconds is the grace time of the users' sites.
const graceSeconds = 8

// TestSettlingStreamWhileDraining guards against a finished stream that is cut at the end of the grace time, though
// its target finished it well before the last sixth of that.
func TestSettlingStreamWhileDraining(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		limits := settings.ProcessLimits{GraceSeconds: graceSeconds}
		end := time.Now().Add(limits.Grace())
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 100, func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == reportPath {
				fmt.Fprint(rw, 100)
				return
			}
			slowUnframed(rw, r, 59)
		})
		env.start()
		c := env.client()
		c.send("POST", "/r/x", "a1", "prompt")
		env.stop()
		a := c.receive()
		env.is.True(!a.broken)
		env.is.True(time.Now().Before(end))
	})
}

// TestSettlingReportFailsOnce guards against a sound target that counts as lost, and a finished request as one that
// may have crashed it, because one of the reports after the end was turned away.
func TestSettlingReportFailsOnce(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		reports := 0
		engine := unframedEngine(func(r *http.Request) string { return eventsAfter(r, 5) })
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 100, func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == reportPath {
				if reports++; reports == 5 {
					rw.WriteHeader(http.StatusTooManyRequests)
					return
				}
			}
			engine(rw, r)
		})
		env.start()
		a := env.do("POST", "/r/x", "a1", "prompt")
		env.is.True(!a.broken)
		env.is.Equal(env.log.count("targetEndSeen"), 0)
	})
}

// TestSettlingDuringPause guards against a finished stream that is broken off because its target wants a pause from
// other requests soon after its end.
func TestSettlingDuringPause(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.addOnceRoute()
		requests := 0
		engine := unframedEngine(text(wholeStream(5)))
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 100, func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path != reportPath {
				if requests++; requests > 1 {
					respondWith(http.StatusServiceUnavailable, "", "Not-Run", "yes", "Pause", "1s")(rw, r)
					return
				}
			}
			engine(rw, r)
		})
		env.start()
		time.AfterFunc(600*time.Millisecond, func() { env.doAside("/o/x", "a2", "prompt 2") })
		a := env.do("POST", "/o/x", "a1", "prompt")
		env.is.Equal(a.body, wholeStream(5))
		env.is.True(!a.broken)
	})
}

// TestSettlingBesideRelease guards against a finished stream that is broken off because its target begins to drain
// within the two seconds after its end, though it serves all the while.
func TestSettlingBesideRelease(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.addOnceRoute()
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 100, unframedEngine(text(wholeStream(5))))
		env.start()
		time.AfterFunc(time.Second, func() {
			item := softwareItem("t1", "10.0.1.1:80", "a", "v1", 100)
			item.Value, item.ModRevision = []byte("draining 10.0.1.1:80 a v1 100"), 2
			env.changes <- store.Change{Item: item}
		})
		a := env.do("POST", "/o/x", "a1", "prompt")
		env.is.Equal(a.body, wholeStream(5))
		env.is.True(!a.broken)
	})
}
