package direct_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// endingEngine returns a handler of a process that is told to stop after five events of its first
// answer. It closes its answers between two events, still reports its start for a while, and then ends.
func (env *testEnv) endingEngine(address string, lives time.Duration) http.HandlerFunc {
	stopping := false
	return func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == reportPath {
			fmt.Fprint(rw, 100)
			return
		}
		unframed(func(r *http.Request) string {
			if stopping {
				return ""
			}
			stopping = true
			time.AfterFunc(lives, func() { env.crash(address) })
			if strings.HasPrefix(r.URL.Path, "/s/") {
				return "a part"
			}
			return wholeStream(5)
		}, nil)(rw, r)
	}
}

// TestStreamOfEndingProcess guards against a stream that counts as whole because the process that broke it
// off still answered for a while before it ended.
func TestStreamOfEndingProcess(t *testing.T) {
	for _, lives := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond} {
		for _, path := range []string{"/r/x", "/o/x"} {
			t.Run(fmt.Sprint(lives, " ", path), func(t *testing.T) {
				withEnv(t, func(env *testEnv) {
					env.addOnceRoute()
					env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 100, env.endingEngine("10.0.1.1:80", lives))
					env.start()
					time.AfterFunc(100*time.Millisecond, func() { env.list(softwareItem("t2", "10.0.2.1:80", "b", "v1", 100)) })
					env.startUnlisted("t2", "10.0.2.1:80", processEngine(100, func(rw http.ResponseWriter, r *http.Request) { events(rw, after(r), 20, 30*time.Millisecond) }))
					got := env.do("POST", path, "a1", "body")
					env.is.Equal(got.broken, path == "/o/x")
					if !got.broken {
						env.is.Equal(got.body, wholeStream(20))
					}
					time.Sleep(10 * time.Second) // the search for the target's successor ends
				})
			})
		}
	}
}

// TestResumptionOfEndingProcess guards against a stream that counts as whole because a client's own
// resumption reached a process that was about to end.
func TestResumptionOfEndingProcess(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 100, unframedEngine(text("")))
		env.start()
		time.AfterFunc(time.Second, func() { env.crash("10.0.1.1:80") })
		got := env.do("POST", "/r/x", "a1", "body", "Last", "5", "Resumes", "foreign")
		env.is.True(got.broken || got.status == http.StatusBadGateway)
		time.Sleep(10 * time.Second)
	})
}

// TestPlainAnswerOfEndingProcess guards against a plain answer that counts as whole because the process that
// broke it off still answered for a moment.
func TestPlainAnswerOfEndingProcess(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 100, env.endingEngine("10.0.1.1:80", 50*time.Millisecond))
		env.start()
		got := env.do("POST", "/s/x", "a1", "body")
		env.is.True(got.broken || got.status == http.StatusBadGateway)
		time.Sleep(10 * time.Second)
	})
}

// TestLatePlainAnswerOfEndingProcess guards against a plain answer that counts as whole because it was late, so that
// nothing was waited for.
func TestLatePlainAnswerOfEndingProcess(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		ending := env.endingEngine("10.0.1.1:80", 200*time.Millisecond)
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 100, func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path != reportPath {
				time.Sleep(300 * time.Millisecond)
			}
			ending(rw, r)
		})
		env.start()
		got := env.do("POST", "/s/x", "a1", "body")
		env.is.True(got.broken || got.status == http.StatusBadGateway)
		time.Sleep(10 * time.Second)
	})
}
