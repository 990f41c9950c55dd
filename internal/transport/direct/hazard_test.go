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

// Each send tells the target what is left of the client's time, also the second
// one.
func TestOrderLeft(t *testing.T) {
	play(t, func(w *world) {
		w.target("t1", "10.0.1.1:80", "a", hang)
		w.target("t2", "10.0.2.1:80", "b", reply(http.StatusOK, "fine", "Signed", "yes"))
		w.start()
		w.is.Equal(w.ask("POST", "/s/x", "a1", "").status, http.StatusOK)
		got := w.requests()
		w.is.Equal(len(got), 2)
		first, err := time.ParseDuration(got[0].order.Get("Left"))
		w.is.NoErr(err)
		second, err := time.ParseDuration(got[1].order.Get("Left"))
		w.is.NoErr(err)
		w.is.True(first <= time.Second)
		w.is.Equal(first-second, got[1].at.Sub(got[0].at))
	})
}

// Requests whose framing can be read in two ways reach no target, or reach it as
// one whole request; what is hidden in a body is never run.
func TestFramingOfClients(t *testing.T) {
	const hidden = "POST /u/hidden HTTP/1.1\r\nHost: h\r\nAttempt: evil\r\nKey: k1\r\nContent-Length: 0\r\n\r\n"
	tests := map[string]string{
		"two lengths":       "POST /u/x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nKey: k1\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n" + hidden,
		"a space in a name": "POST /u/x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nKey: k1\r\nContent-Length : 5\r\n\r\n" + hidden,
		"an odd coding":     "POST /u/x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nKey: k1\r\nTransfer-Encoding: xchunked\r\n\r\n" + hidden,
		"a folded header":   "POST /u/x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nKey: k1\r\nX: y\r\n Content-Length: 5\r\n\r\n" + hidden,
		"a bad chunk":       "POST /u/x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nKey: k1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" + hidden,
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, func(w *world) {
				w.target("t1", "10.0.1.1:80", "a", reply(http.StatusOK, "fine", "Signed", "yes"))
				w.start()
				c := w.client()
				go func() { _, _ = io.WriteString(c.conn, text) }()
				go func() { _, _ = c.r.WriteTo(discard{}) }()
				time.Sleep(2 * time.Second)
				for _, r := range w.requests() {
					w.is.True(r.order.Get("Attempt") == "a1" || name == "a folded header")
					w.is.True(!strings.Contains(r.body, "hidden"))
				}
			})
		})
	}
}

// A watch that breaks, or whose history is gone, is followed by a new read of
// the keys.
func TestFollowAfterBrokenWatch(t *testing.T) {
	for _, kind := range []store.Kind{store.Compacted, store.Unknown} {
		play(t, func(w *world) {
			w.target("t1", "10.0.1.1:80", "a", reply(http.StatusOK, "one", "Signed", "yes"))
			breaks := make(chan struct{})
			cut := breaks
			w.watch = func(ctx context.Context) error {
				select {
				case <-breaks:
					breaks = nil
					return fault.New("watch", kind, "it broke")
				case <-ctx.Done():
					return ctx.Err()
				}
			}
			w.start()
			w.is.Equal(w.ask("POST", "/u/x", "a1", "").body, "one")
			w.mu.Lock()
			w.targets = nil
			w.mu.Unlock()
			w.target("t2", "10.0.2.1:80", "b", reply(http.StatusOK, "two", "Signed", "yes"))
			cut <- struct{}{}
			synctest.Wait()
			w.is.Equal(w.ask("POST", "/u/x", "a2", "").body, "two")
		})
	}
}

// An item of another writer names no target, and is logged once however often
// it is read.
func TestFollowForeignItem(t *testing.T) {
	play(t, func(w *world) {
		w.target("t1", "10.0.1.1:80", "a", reply(http.StatusOK, "fine", "Signed", "yes"))
		w.targets = append(w.targets, store.Item{Key: "odd", Value: []byte("\xff"), ModRevision: 9})
		w.start()
		for range 3 {
			w.changes <- store.Change{Item: store.Item{Key: "odd", Value: []byte("\xff"), ModRevision: 9}}
		}
		synctest.Wait()
		w.is.Equal(w.ask("POST", "/u/x", "a1", "").status, http.StatusOK)
		w.is.Equal(w.log.count("name=revisionRefused"), 1)
	})
}
