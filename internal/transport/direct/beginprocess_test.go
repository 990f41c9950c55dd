package direct_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// reportingEngine returns a handler of an engine whose process names a start in its report, or
// refuses to report while the start is 0.
func reportingEngine(start *atomic.Int64, handler http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if n := int(start.Load()); r.URL.Path != reportPath || n > 0 {
			processEngine(n, handler)(rw, r)
			return
		}
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

// TestFirstEventOfEndedProcess guards against a stream that is taken for one of the process that answers
// a late report, though the process before it sent the first event.
func TestFirstEventOfEndedProcess(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		var start atomic.Int64
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == reportPath {
				hang(rw, r)
				return
			}
			softwareEngine("v1", 0)(rw, r)
		})
		env.start()
		first, second := env.client(), env.client()
		first.send("POST", "/r/x", "a1", "prompt 1")
		second.send("POST", "/r/x", "a2", "prompt 2")
		time.AfterFunc(400*time.Millisecond, func() {
			start.Store(2)
			env.crash("10.0.1.1:80")
			env.startUnlisted("t1", "10.0.1.1:80", reportingEngine(&start, softwareEngine("v2", 0)))
		})
		a1, a2 := first.receive(), second.receive()
		env.is.True(versions(a1.body)["v1"] > 0 && versions(a2.body)["v1"] > 0)
		time.Sleep(3 * time.Second)
		env.list(softwareItem("t1", "10.0.1.1:80", "a", "v2", 2))
		for _, attempt := range []string{"a1", "a2"} {
			a := env.do("POST", "/r/x", "b"+attempt, "prompt "+attempt[1:], "Last", "1", "Resumes", attempt)
			env.is.Equal(versions(a.body)["v2"], 0)
		}
	})
}

// TestBeginWithoutReport guards against a stream that goes on at the version of a record which was written
// long before the process that began it started.
func TestBeginWithoutReport(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		var start atomic.Int64
		start.Store(1)
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, reportingEngine(&start, softwareEngine("v1", 5)))
		env.start()
		env.do("POST", "/r/x", "a0", "prompt a0") // breaks off, though the process lives
		time.Sleep(5 * time.Second)
		heartbeat := softwareItem("t1", "10.0.1.1:80", "a", "v1", 1)
		heartbeat.ModRevision = 2
		env.list(heartbeat)
		env.drainTarget("t9", "10.0.9.1:80", "c") // another record changes
		time.Sleep(20 * time.Second)
		env.crash("10.0.1.1:80")
		start.Store(0)
		env.startUnlisted("t1", "10.0.1.1:80", reportingEngine(&start, softwareEngine("v2", 5)))
		env.startUnlisted("t2", "10.0.2.1:80", processEngine(1, softwareEngine("v1", 0)))
		time.AfterFunc(100*time.Millisecond, func() { env.list(softwareItem("t2", "10.0.2.1:80", "b", "v1", 1)) })
		a := env.do("POST", "/r/x", "a1", "prompt a1")
		env.is.True(len(versions(a.body)) < 2)
		time.Sleep(10 * time.Second)
	})
}

// TestSurveyBeforeReplacement guards against a stream that goes on at the only listed version because of
// reports that are older than the process that began it.
func TestSurveyBeforeReplacement(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		var start atomic.Int64
		start.Store(1)
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, reportingEngine(&start, softwareEngine("v1", 0)))
		env.softwareTarget("t2", "10.0.2.1:80", "b", "v1", 1, processEngine(1, softwareEngine("v1", 0)))
		env.start()
		time.Sleep(time.Minute)
		env.doAside("/r/x", "a1", "prompt 1", "Last", "19", "Resumes", "foreign1")
		time.Sleep(100 * time.Millisecond)
		start.Store(2) // and another entry begins the stream foreign2 there, and ends
		time.Sleep(100 * time.Millisecond)
		a := env.do("POST", "/r/x", "a2", "prompt 2", "Last", "5", "Resumes", "foreign2")
		env.is.Equal(strings.TrimSpace(a.body), "versionUnknown")
	})
}

// TestBeginDuringPause guards against a stream that goes on nowhere because its target wanted a pause when its
// first event came, though its process could be asked later.
func TestBeginDuringPause(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		var begun atomic.Bool
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, processEngine(1, func(rw http.ResponseWriter, r *http.Request) {
			if !begun.CompareAndSwap(false, true) {
				respondWith(http.StatusServiceUnavailable, "", "Not-Run", "yes", "Pause", "500ms")(rw, r)
				return
			}
			time.Sleep(200 * time.Millisecond)
			rw.Header().Set("Signed", "yes")
			for n := 1; n <= softwareEvents; n++ {
				time.Sleep(100 * time.Millisecond)
				fmt.Fprintf(rw, "id: %d\ndata: v1/%d\n\n", n, n)
				_ = http.NewResponseController(rw).Flush()
				if n == 18 {
					panic(http.ErrAbortHandler)
				}
			}
		}))
		env.start()
		c := env.client()
		c.send("POST", "/r/x", "a1", "prompt 1")
		time.Sleep(10 * time.Millisecond)
		env.doAside("/r/x", "a2", "prompt 2")
		time.Sleep(time.Second)
		env.startUnlisted("t2", "10.0.2.1:80", processEngine(1, softwareEngine("v1", 0)))
		env.list(softwareItem("t2", "10.0.2.1:80", "b", "v1", 1))
		a := c.receive()
		env.is.Equal(versions(a.body)["v1"], softwareEvents)
	})
}

// TestStreamOfSuccessorGoesOn guards against a stream that goes on nowhere because it began at a successor, whose
// record names a start once it arrives.
func TestStreamOfSuccessorGoesOn(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, processEngine(1, softwareEngine("v1", 0)))
		env.start()
		c, _, _ := env.holdPart("a0")
		env.crash("10.0.1.1:80")
		serve := processEngine(2, softwareEngine("v2", 0))
		env.startUnlisted("t3", "10.0.1.1:80", func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == healthPath {
				withIdentity("t3", targetSlots)(rw, r)
				return
			}
			serve(rw, r)
		})
		time.Sleep(1500 * time.Millisecond)
		_ = c.conn.Close()
		env.is.Equal(env.log.count("state=found"), 1)
		c, body, last := env.holdPart("a1")
		_ = c.conn.Close()
		env.list(softwareItem("t3", "10.0.1.1:80", "a", "v2", 2))
		a := env.do("POST", "/r/x", "a2", "prompt a1", "Last", last, "Resumes", "a1")
		env.is.Equal(versions(body + a.body)["v2"], softwareEvents)
	})
}

// TestOriginOutlivesItsRecord guards against a stream that goes on nowhere, because the process that began it had
// no record then and has none any more, though its record has told the version meanwhile.
func TestOriginOutlivesItsRecord(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, processEngine(2, softwareEngine("v2", 0)))
		env.start()
		env.do("POST", "/r/x", "first", "prompt first") // its process is known from then on
		c, body, last := env.holdPart("a0")
		_ = c.conn.Close()
		env.startUnlisted("t2", "10.0.2.1:80", processEngine(2, softwareEngine("v2", 0)))
		env.list(softwareItem("t1", "10.0.1.1:80", "a", "v2", 2))
		env.list(softwareItem("t2", "10.0.2.1:80", "b", "v2", 2))
		time.Sleep(5 * time.Second)
		env.crash("10.0.1.1:80")
		env.unlist("t1")
		a := env.do("POST", "/r/x", "a1", "prompt a0", "Last", last, "Resumes", "a0")
		env.is.Equal(versions(body + a.body)["v2"], softwareEvents)
	})
}

// TestEventsBehindReport guards against a stream that is taken for one of the process that answers the report,
// because events of the process before it are read only after that report.
func TestEventsBehindReport(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, processEngine(2, softwareEngine("v1", 10)))
		env.start()
		body := env.do("POST", "/r/x", "a1", "prompt").body
		env.crash("10.0.1.1:80")
		env.startUnlisted("t1", "10.0.1.1:80", processEngine(2, softwareEngine("v2", 0)))
		env.list(softwareItem("t1", "10.0.1.1:80", "a", "v2", 2))
		a := env.do("POST", "/r/x", "a2", "prompt", "Last", "10", "Resumes", "a1")
		env.is.True(len(versions(body+a.body)) < 2)
		time.Sleep(10 * time.Second)
	})
}
