package direct_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
)

// unlist makes the key-value service drop a target's record.
func (env *testEnv) unlist(name string) {
	env.changes <- store.Change{Item: store.Item{Key: name}, Deleted: true}
	synctest.Wait()
}

// TestWithdrawalOutlivesListing guards against requests to a target that wants a pause, or is
// leaving, after its record has lapsed and is back, or names its start later.
func TestWithdrawalOutlivesListing(t *testing.T) {
	tests := []struct {
		name   string
		before int
		relist func(env *testEnv)
	}{
		{"the record lapses and is back", 0, func(env *testEnv) {
			env.unlist("t1")
			time.Sleep(300 * time.Millisecond)
			env.list(softwareItem("t1", "10.0.1.1:80", "a", "v1", 0))
		}},
		{"the same with a start time", 7, func(env *testEnv) {
			env.unlist("t1")
			time.Sleep(300 * time.Millisecond)
			env.list(softwareItem("t1", "10.0.1.1:80", "a", "v1", 7))
		}},
		{"the record names a start time later", 0, func(env *testEnv) {
			env.list(softwareItem("t1", "10.0.1.1:80", "a", "v1", 7))
		}},
		{"the record no longer names a start time", 7, func(env *testEnv) {
			env.list(softwareItem("t1", "10.0.1.1:80", "a", "v1", 0))
		}},
		{"it lapses and is back with a start time", 0, func(env *testEnv) {
			env.unlist("t1")
			time.Sleep(300 * time.Millisecond)
			env.list(softwareItem("t1", "10.0.1.1:80", "a", "v1", 7))
		}},
	}
	answers := map[string]http.HandlerFunc{
		"pause":   respondWith(http.StatusServiceUnavailable, "no", "Not-Run", "1", "Pause", "3s"),
		"leaving": respondWith(http.StatusOK, "fine", "Signed", "yes", "Leaving", "1"),
	}
	for kind, answer := range answers {
		for _, tt := range tests {
			t.Run(kind+": "+tt.name, func(t *testing.T) {
				withEnv(t, func(env *testEnv) {
					env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", tt.before, answer)
					env.softwareTarget("t2", "10.0.2.1:80", "b", "v1", 0, respondWith(http.StatusOK, "fine", "Signed", "yes"))
					env.start()
					for i := range 4 {
						env.do("POST", "/s/x", fmt.Sprint("a", i), "body")
					}
					env.is.Equal(env.countFor("t1"), 1)
					tt.relist(env)
					for i := range 10 {
						env.do("POST", "/s/x", fmt.Sprint("b", i), "body")
						time.Sleep(100 * time.Millisecond)
					}
					env.is.Equal(env.countSentTo("t1"), 1) // it was asked for nothing more
					questions := map[string]int{"pause": 0, "leaving": 1}[kind]
					env.is.True(env.countFor("t1") <= 1+questions) // at most whether it is leaving, by its report
				})
			})
		}
	}
}

// TestWithdrawalOfSuccessor checks the same for a target that was found by its health check.
func TestWithdrawalOfSuccessor(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.loseTarget()
		env.startUnlisted("t2", "10.0.1.1:80", func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == healthPath {
				withIdentity("t2", targetSlots)(rw, r)
				return
			}
			respondWith(http.StatusServiceUnavailable, "no", "Not-Run", "1", "Pause", "3s")(rw, r)
		})
		time.Sleep(500 * time.Millisecond)
		env.do("POST", "/u/x", "a3", "body")
		env.is.Equal(env.countFor("t2"), 1)
		env.list(softwareItem("t2", "10.0.1.1:80", "a", "v1", 7))
		for i := range 5 {
			env.do("POST", "/u/x", fmt.Sprint("b", i), "body")
			time.Sleep(200 * time.Millisecond)
		}
		env.is.Equal(env.countFor("t2"), 1)
	})
}

// TestManyAfterPause guards against all that waits going to a target in the moment in which
// its pause ends.
func TestManyAfterPause(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			if env.countFor("t1") == 1 {
				respondWith(http.StatusServiceUnavailable, "no", "Not-Run", "1", "Pause", "2s")(rw, r)
				return
			}
			time.Sleep(50 * time.Millisecond)
			respondWith(http.StatusOK, "fine", "Signed", "yes")(rw, r)
		})
		env.start()
		env.do("POST", "/u/x", "a", "body")
		time.Sleep(2 * time.Second)
		const callers = 16
		done := make(chan answer, callers)
		for i := range callers {
			c := env.client()
			go func() {
				c.send("POST", "/u/x", fmt.Sprint("b", i), "body")
				done <- c.receive()
			}()
		}
		time.Sleep(20 * time.Millisecond)
		env.is.True(env.countFor("t1") <= 3) // the first one, and two that try
		for range callers {
			<-done
		}
		env.is.Equal(env.do("POST", "/u/x", "c", "body").status, http.StatusOK)
	})
}

// TestLimitOutlivesListing checks the same for a limit that a target has named.
func TestLimitOutlivesListing(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 0, respondWith(http.StatusOK, "fine", "Signed", "yes", "Limit", "0.2"))
		env.start()
		served := func(i int) bool { return env.do("POST", "/u/x", fmt.Sprint("a", i), "body").status == http.StatusOK }
		n := 0
		for served(n) {
			n++
		}
		env.unlist("t1")
		time.Sleep(300 * time.Millisecond)
		env.list(softwareItem("t1", "10.0.1.1:80", "a", "v1", 7))
		env.is.True(!served(100))
		env.is.Equal(env.countFor("t1"), n)
	})
}

// TestCopyCallsRespectPause guards against calls about copies of runs to a target that wants a
// pause.
func TestCopyCallsRespectPause(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		calls := 0
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/copy" {
				calls++
				respondWith(http.StatusServiceUnavailable, "no", "Not-Run", "1", "Pause", "2s")(rw, r)
				return
			}
			events(rw, after(r), 30, 100*time.Millisecond)
		})
		env.target("t2", "10.0.2.1:80", "b", engineHandler)
		env.target("t3", "10.0.3.1:80", "c", engineHandler)
		env.start()
		time.AfterFunc(500*time.Millisecond, func() {
			// The holder of the copy is gone.
			env.changes <- store.Change{Item: store.Item{Key: "t2"}, Deleted: true}
		})
		env.is.Equal(env.do("POST", "/r/x", "a1", "prompt").body, wholeStream(30))
		env.is.Equal(calls, 2) // the second one after the pause
	})
}
