package direct_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// processEngine returns a handler of an engine whose process names a start in its report, which takes
// 2 ms.
func processEngine(start int, handler http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == reportPath {
			time.Sleep(2 * time.Millisecond)
			fmt.Fprint(rw, start)
			return
		}
		handler(rw, r)
	}
}

// TestResumptionWhileUnrecordedVersionServes guards against a stream that goes on at the only version
// that is listed, though it may have begun at a process that no record describes yet.
func TestResumptionWhileUnrecordedVersionServes(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, processEngine(2, softwareEngine("v2", 0)))
		env.softwareTarget("t2", "10.0.2.1:80", "b", "v1", 1, processEngine(1, softwareEngine("v1", 0)))
		env.start()
		time.Sleep(time.Minute)
		a := env.do("POST", "/r/x", "a1", "prompt", "Last", "5", "Resumes", "foreign")
		env.is.Equal(a.status, http.StatusServiceUnavailable)
		env.is.Equal(strings.TrimSpace(a.body), "versionUnknown")
	})
}

// TestStreamLostSoonAfterFirstEvent guards against a stream that goes on nowhere because it was lost
// before a report had confirmed the process that began it.
func TestStreamLostSoonAfterFirstEvent(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		var begun atomic.Bool
		for i := range 2 {
			env.softwareTarget(fmt.Sprint("t", i), fmt.Sprintf("10.0.%d.1:80", i), string(rune('a'+i)), "v1", 1, processEngine(1, func(rw http.ResponseWriter, r *http.Request) {
				if begun.CompareAndSwap(false, true) {
					softwareEngine("v1", 1)(rw, r)
				}
				softwareEngine("v1", 0)(rw, r)
			}))
		}
		env.start()
		a := env.do("POST", "/r/x", "a1", "prompt")
		env.is.True(!a.broken)
		env.is.Equal(versions(a.body)["v1"], softwareEvents)
	})
}

// TestStreamOfUnrecordedProcessGoesOn guards against a stream that goes on nowhere, though the record of the
// process that began it has arrived meanwhile.
func TestStreamOfUnrecordedProcessGoesOn(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, processEngine(2, softwareEngine("v2", 15)))
		env.start()
		env.is.True(env.do("POST", "/r/x", "a0", "prompt").broken) // another process may have begun the first one
		env.startUnlisted("t2", "10.0.2.1:80", processEngine(2, softwareEngine("v2", 0)))
		time.AfterFunc(300*time.Millisecond, func() {
			env.list(softwareItem("t1", "10.0.1.1:80", "a", "v2", 2))
			env.list(softwareItem("t2", "10.0.2.1:80", "b", "v2", 2))
		})
		a := env.do("POST", "/r/x", "a1", "prompt")
		env.is.True(!a.broken)
		env.is.Equal(versions(a.body)["v2"], softwareEvents)
	})
}
