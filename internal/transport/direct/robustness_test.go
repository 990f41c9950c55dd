package direct_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// Every attempt must pass on the remaining time of the client's timeout. A retry
// that passed on the full timeout would let a target work on after the client has
// given up.
func TestForwardedTimeout(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", hang)
		env.target("t2", "10.0.2.1:80", "b", respondWith(http.StatusOK, "fine", "Signed", "yes"))
		env.start()
		env.is.Equal(env.do("POST", "/s/x", "a1", "").status, http.StatusOK)
		got := env.requests()
		env.is.Equal(len(got), 2)
		first, err := time.ParseDuration(got[0].header.Get("Left"))
		env.is.NoErr(err)
		second, err := time.ParseDuration(got[1].header.Get("Left"))
		env.is.NoErr(err)
		env.is.True(first <= time.Second)
		env.is.Equal(first-second, got[1].at.Sub(got[0].at))
	})
}

// Guards against request smuggling: a request with ambiguous framing must reach
// no target, or reach one as a single request. A request that is hidden in a
// body must never be executed.
func TestRequestSmuggling(t *testing.T) {
	const hidden = "POST /u/hidden HTTP/1.1\r\nHost: h\r\nAttempt: evil\r\nKey: k1\r\nContent-Length: 0\r\n\r\n"
	tests := map[string]string{
		"two lengths":       "POST /u/x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nKey: k1\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n" + hidden,
		"a space in a name": "POST /u/x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nKey: k1\r\nContent-Length : 5\r\n\r\n" + hidden,
		"an unknown coding": "POST /u/x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nKey: k1\r\nTransfer-Encoding: xchunked\r\n\r\n" + hidden,
		"a folded header":   "POST /u/x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nKey: k1\r\nX: y\r\n Content-Length: 5\r\n\r\n" + hidden,
		"a bad chunk":       "POST /u/x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nKey: k1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" + hidden,
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				env.target("t1", "10.0.1.1:80", "a", respondWith(http.StatusOK, "fine", "Signed", "yes"))
				env.start()
				c := env.client()
				go func() { _, _ = io.WriteString(c.conn, text) }()
				go func() { _, _ = c.r.WriteTo(discard{}) }()
				time.Sleep(2 * time.Second)
				for _, r := range env.requests() {
					env.is.True(r.header.Get("Attempt") == "a1" || name == "a folded header")
					env.is.True(!strings.Contains(r.body, "hidden"))
				}
			})
		})
	}
}

// After a watch breaks, or its revision has been compacted, the keys must be
// listed again. Otherwise changes in between would be missed.
func TestRelistAfterBrokenWatch(t *testing.T) {
	for _, kind := range []store.Kind{store.Compacted, store.Unknown} {
		withEnv(t, func(env *testEnv) {
			env.target("t1", "10.0.1.1:80", "a", respondWith(http.StatusOK, "one", "Signed", "yes"))
			watchBroken := make(chan struct{})
			breakWatch := watchBroken
			env.watch = func(ctx context.Context) error {
				select {
				case <-watchBroken:
					watchBroken = nil
					return fault.New("watch", kind, "it broke")
				case <-ctx.Done():
					return ctx.Err()
				}
			}
			env.start()
			env.is.Equal(env.do("POST", "/u/x", "a1", "").body, "one")
			env.mu.Lock()
			env.targets = nil
			env.mu.Unlock()
			env.target("t2", "10.0.2.1:80", "b", respondWith(http.StatusOK, "two", "Signed", "yes"))
			breakWatch <- struct{}{}
			synctest.Wait()
			env.is.Equal(env.do("POST", "/u/x", "a2", "").body, "two")
		})
	}
}

// Items that other writers leave under the prefix describe no target. They must
// not prevent the others from being read, and each must be logged only once,
// however often it is read.
func TestUndecodableItem(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", respondWith(http.StatusOK, "fine", "Signed", "yes"))
		env.targets = append(env.targets, store.Item{Key: "odd", Value: []byte("\xff"), ModRevision: 9})
		env.start()
		for range 3 {
			env.changes <- store.Change{Item: store.Item{Key: "odd", Value: []byte("\xff"), ModRevision: 9}}
		}
		synctest.Wait()
		env.is.Equal(env.do("POST", "/u/x", "a1", "").status, http.StatusOK)
		env.is.Equal(env.log.count("name=revisionRefused"), 1)
	})
}
