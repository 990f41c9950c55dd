package direct_test

import (
	"net/http"
	"strings"
	"testing"
)

// TestLogNamesEndOfAnswers checks that the log tells how each answer was framed, what showed its
// end, and which events it brought.
func TestLogNamesEndOfAnswers(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			if after(r) == 1 && strings.HasPrefix(r.URL.Path, "/r/") {
				events(rw, 1, 3, 0)
				panic(http.ErrAbortHandler)
			}
			events(rw, after(r), 7, 0)
		})
		env.target("t2", "10.0.2.1:80", "b", func(rw http.ResponseWriter, r *http.Request) { events(rw, after(r), 7, 0) })
		env.start()
		env.is.Equal(env.do("POST", "/u/x", "a1", "").status, http.StatusOK)
		_, text := env.log.linesOf("a1")
		env.is.True(strings.Contains(text, "evidence=framing"))
		for env.log.count("outcome=lost") == 0 { // until t1 is chosen first
			env.is.Equal(env.do("POST", "/r/x", "a2", "").body, wholeStream(7))
		}
		_, text = env.log.linesOf("a2")
		env.is.True(strings.Contains(text, "framing=chunks evidence=none events=3 firstEvent=1 lastEvent=3"))
		env.is.True(strings.Contains(text, "framing=chunks evidence=framing events=4 firstEvent=4 lastEvent=7"))
	})
}
