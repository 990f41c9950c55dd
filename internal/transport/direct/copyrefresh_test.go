package direct_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/transport/direct"
)

// TestOrderedCopyRefreshed guards against copies that engines discard, or that lack much,
// before the loss of their run's engine is noticed.
func TestOrderedCopyRefreshed(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		var calls []time.Time
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/copy" {
				calls = append(calls, time.Now())
				respondWith(http.StatusOK, "handle")(rw, r)
				return
			}
			events(rw, after(r), 80, 100*time.Millisecond)
		})
		env.target("t2", "10.0.2.1:80", "b", engineHandler)
		env.target("t3", "10.0.3.1:80", "c", engineHandler)
		env.start()
		time.AfterFunc(500*time.Millisecond, func() {
			// The holder of the first copy is gone.
			env.changes <- store.Change{Item: store.Item{Key: "t2"}, Deleted: true}
		})
		env.is.Equal(env.do("POST", "/r/x", "a1", "prompt").body, wholeStream(80))
		env.is.True(len(calls) > 3)
		for i := 1; i < len(calls); i++ {
			env.is.True(calls[i].Sub(calls[i-1]) <= 2*time.Second)
		}
	})
}

// TestCopyAnswerOfAnotherRun guards against the answer to an earlier copy call that arrives once
// more, on a kept connection, in place of the answer to the call for another run.
func TestCopyAnswerOfAnotherRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go serveCopiesTwice(l)
	env := &testEnv{}
	entry := direct.New(env.settings(), direct.Deps{
		Clock: clockwork.NewRealClock(), Log: event.NewLogfmtLog(io.Discard, clockwork.NewRealClock()),
		Metrics: metrics.NewRegistry(), Store: &store.Store{}, Dialect: dialect(), Random: func() float64 { return 0 },
	})
	source, holder := &catalog.Target{ID: "t1", Address: l.Addr().String()}, &catalog.Target{ID: "t2", Address: "127.0.0.1:1"}
	for _, run := range []string{"a", "b", "a", "c"} {
		handle, err := entry.RequestCopy(t.Context(), source, holder, run)
		is.NoErr(err)
		is.Equal(handle, "handle-"+run)
	}
}

// serveCopiesTwice answers each copy call on a connection with the answer to the one before, if
// there was one, and then with its own.
func serveCopiesTwice(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			requests, before := bufio.NewReader(c), ""
			for {
				r, err := http.ReadRequest(requests)
				if err != nil {
					return
				}
				// Answers to copy calls do not name the run.
				handle := "handle-" + r.Header.Get("Attempt")
				own := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(handle), handle)
				if _, err := io.WriteString(c, before+own); err != nil {
					return
				}
				before = own
			}
		}()
	}
}
