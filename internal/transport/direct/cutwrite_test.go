package direct_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestNothingFollowsCutEvent guards against events that follow one whose write to the client failed
// part-way, also while the entry stops.
func TestNothingFollowsCutEvent(t *testing.T) {
	for _, stops := range []bool{false, true} {
		t.Run(fmt.Sprint("stops=", stops), func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				var whole strings.Builder
				for n := 1; n <= 20; n++ {
					fmt.Fprintf(&whole, "id: %d\ndata: %s\n\n", n, strings.Repeat(fmt.Sprint(n%10), 32<<10))
				}
				sent := strings.SplitAfter(whole.String(), "\n\n")
				for i := 1; i <= 3; i++ {
					env.target(fmt.Sprint("t", i), fmt.Sprintf("10.0.%d.1:80", i), string(rune('a'+i)), func(rw http.ResponseWriter, r *http.Request) {
						rw.Header().Set("Signed", "yes")
						for _, e := range sent[after(r)-1:] {
							time.Sleep(30 * time.Millisecond)
							_, _ = io.WriteString(rw, e)
							rw.(http.Flusher).Flush()
						}
					})
				}
				env.start()
				c := env.client()
				c.send("POST", "/r/x", "a1", "prompt")
				res, err := http.ReadResponse(c.r, nil)
				env.is.NoErr(err)
				begin := make([]byte, 100<<10) // three events and a part of the fourth
				_, err = io.ReadFull(res.Body, begin)
				env.is.NoErr(err)
				if stops {
					env.stop()
				}
				time.Sleep(24 * time.Second) // the entry waits 18 s, and 8 s while it stops
				rest, err := io.ReadAll(res.Body)
				env.is.True(err != nil)
				env.is.True(strings.HasPrefix(whole.String(), string(begin)+string(rest)))
				env.is.Equal(len(env.requests()), 1)
			})
		})
	}
}
