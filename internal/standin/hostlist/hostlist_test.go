package hostlist_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/member"
	protocol "foxtailward.example/foxtailward/internal/protocol/hostlist"
	"foxtailward.example/foxtailward/internal/standin/hostlist"
)

func TestLag(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := hostlist.New(clock)
	l.SetLag(10 * time.Second)
	l.Set("b", member.HostLive)
	l.Set("a", member.HostLive)
	clock.Advance(10*time.Second - 1)
	is.Equal(len(l.Current().Hosts), 0)
	clock.Advance(1)
	is.Equal(l.Current(), protocol.Document{Version: 2, Hosts: protocol.Hosts{{Host: "a", State: "live"}, {Host: "b", State: "live"}}})
	l.Remove("a")
	is.Equal(len(l.Current().Hosts), 2) // the removed host is listed until the lag has passed
	clock.Advance(10 * time.Second)
	is.Equal(len(l.Current().Hosts), 1)
}

func TestHandler(t *testing.T) {
	is := is.New(t)
	l := hostlist.New(nil)
	handler := l.Handler()
	call := func(method, path, body, tag string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		r.Header.Set("If-None-Match", tag)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		return w
	}
	is.Equal(call(http.MethodPut, "/hosts/a", `{"state":"leaving"}`, "").Code, http.StatusNoContent)
	is.Equal(call(http.MethodPut, "/hosts/a", `{"state":"asleep"}`, "").Code, http.StatusBadRequest)
	got := call(http.MethodGet, "/", "", "")
	is.Equal(strings.TrimSpace(got.Body.String()), `{"version":1,"hosts":[{"host":"a","state":"leaving"}]}`)
	is.Equal(call(http.MethodGet, "/", "", got.Header().Get("ETag")).Code, http.StatusNotModified)
	is.Equal(call(http.MethodPost, "/faults", `{"kind":"outage"}`, "").Code, http.StatusNoContent)
	is.Equal(call(http.MethodGet, "/", "", "").Code, http.StatusServiceUnavailable)
	is.Equal(call(http.MethodPost, "/faults", `{"kind":"resume"}`, "").Code, http.StatusNoContent)
	is.Equal(call(http.MethodDelete, "/hosts/a", "", "").Code, http.StatusNoContent)
	is.Equal(len(l.Current().Hosts), 0)
	is.Equal(l.ReadCount(), 3)
}
