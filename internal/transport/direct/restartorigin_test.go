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

// TestRecordWithoutStart guards against a stream whose version is taken from a record that names no start, though
// the process at its target names one and so may have started again under its id.
func TestRecordWithoutStart(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 0, processEngine(2, softwareEngine("v2", 5)))
		env.start()
		env.startUnlisted("t2", "10.0.2.1:80", processEngine(1, softwareEngine("v1", 0)))
		time.AfterFunc(100*time.Millisecond, func() { env.list(softwareItem("t2", "10.0.2.1:80", "b", "v1", 1)) })
		a := env.do("POST", "/r/x", "a1", "prompt")
		env.is.True(len(versions(a.body)) < 2)
		time.Sleep(10 * time.Second)
	})
}

// TestResumptionAfterRecordWithoutStart guards against a stream that goes on at another version in a second try, because the
// record of the target that began it named no start.
func TestResumptionAfterRecordWithoutStart(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(map[bool]string{false: "same entry", true: "entry restarted"}[restart], func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 0, processEngine(2, softwareEngine("v2", 0)))
				env.start()
				time.Sleep(time.Minute)
				c, _, last := env.holdPart("a0")
				env.startUnlisted("t2", "10.0.2.1:80", processEngine(1, softwareEngine("v1", 0)))
				env.list(softwareItem("t2", "10.0.2.1:80", "b", "v1", 1))
				if restart {
					env.targets = append(env.targets, softwareItem("t2", "10.0.2.1:80", "b", "v1", 1))
					env.restart()
				}
				_ = c.conn.Close()
				a := env.do("POST", "/r/x", "a1", "prompt a0", "Last", last, "Resumes", "a0")
				env.is.Equal(versions(a.body)["v1"], 0)
			})
		})
	}
}
