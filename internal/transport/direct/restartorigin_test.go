package direct_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
)

// TestResumptionAfterRestartAtNewVersion guards against a stream that goes on at another version
// because all targets of its version were replaced while no entry ran.
func TestResumptionAfterRestartAtNewVersion(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 0, softwareEngine("v1", 0))
		env.start()
		time.Sleep(time.Minute) // the entry knows all versions of the last streams
		_, body, last := env.holdPart("a0")
		env.is.Equal(versions(body)["v1"], 5)
		env.stop()
		<-env.ended
		env.crash("10.0.1.1:80")
		env.targets = []store.Item{softwareItem("t2", "10.0.2.1:80", "b", "v2", 0)}
		env.startUnlisted("t2", "10.0.2.1:80", softwareEngine("v2", 0))
		time.Sleep(3 * time.Second)
		env.restart()
		a := env.do("POST", "/r/x", "a1", "prompt a0", "Last", last, "Resumes", "a0")
		env.is.Equal(versions(a.body)["v2"], 0)
		env.is.True(strings.Contains(a.body, "version"))
	})
}

// TestResumptionAfterRestartAtSameVersion guards against resumptions that are refused after a restart,
// though no other version has served but long ago at an entry that is no longer in use.
func TestResumptionAfterRestartAtSameVersion(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 0, softwareEngine("v1", 0))
		env.saved[store.StreamsPrefix+"old"] = store.Item{Key: store.StreamsPrefix + "old", ModRevision: 1, Value: fmt.Appendf(nil,
			`{"entry":"old","savedAtMs":%d,"streams":null,"versions":{"seen":[{"service":"m","software":"v0"}]}}`, time.Now().Add(-time.Hour).UnixMilli())}
		env.start()
		time.Sleep(time.Minute)
		_, body, last := env.holdPart("a0")
		env.stop()
		<-env.ended
		env.restart()
		a := env.do("POST", "/r/x", "a1", "prompt a0", "Last", last, "Resumes", "a0")
		env.is.Equal(versions(body + a.body)["v1"], softwareEvents)
	})
}
