package direct_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestResumptionAfterPause guards against a stream that goes on at another version because its
// entry was paused while that stream began elsewhere, and has not read the newer list of targets.
func TestResumptionAfterPause(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		var suspended atomic.Int64
		begin := time.Now()
		env.sinceBoot = func() time.Duration { return time.Since(begin) + time.Duration(suspended.Load()) }
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 0, softwareEngine("v1", 0))
		env.softwareTarget("t2", "10.0.2.1:80", "b", "v1", 0, softwareEngine("v1", 0))
		env.start()
		time.Sleep(time.Minute) // the entry knows all versions of the last streams
		env.is.Equal(versions(env.do("POST", "/r/x", "a0", "prompt", "Last", "5", "Resumes", "foreign").body)["v1"], softwareEvents-5)

		suspended.Add(int64(20 * time.Second))
		a := env.do("POST", "/r/x", "a1", "prompt", "Last", "5", "Resumes", "foreign2")
		env.is.Equal(strings.TrimSpace(a.body), "versionUnknown")
		env.list(softwareItem("t3", "10.0.3.1:80", "c", "v2", 0))
		time.Sleep(2 * time.Second)
		a = env.do("POST", "/r/x", "a2", "prompt", "Last", "5", "Resumes", "foreign2")
		env.is.Equal(strings.TrimSpace(a.body), "versionUnknown")
	})
}

// TestResumptionSoonAfterPause guards against resumptions that are refused for long after a pause
// in which nothing has changed.
func TestResumptionSoonAfterPause(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		var suspended atomic.Int64
		begin := time.Now()
		env.sinceBoot = func() time.Duration { return time.Since(begin) + time.Duration(suspended.Load()) }
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 0, softwareEngine("v1", 0))
		env.start()
		time.Sleep(time.Minute)
		suspended.Add(int64(20 * time.Second))
		time.Sleep(time.Second)
		a := env.do("POST", "/r/x", "a1", "prompt", "Last", "5", "Resumes", "foreign")
		env.is.Equal(versions(a.body)["v1"], softwareEvents-5)
	})
}
