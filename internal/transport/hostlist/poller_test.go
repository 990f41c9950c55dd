package hostlist_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"foxtailward.example/foxtailward/internal/coordination/member"
	protocol "foxtailward.example/foxtailward/internal/protocol/hostlist"
	standin "foxtailward.example/foxtailward/internal/standin/hostlist"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/hostlist"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a poller and the stand-in host list that it reads. Both use the same
// fake clock.
type fixture struct {
	clock  *clockwork.FakeClock
	list   *standin.List
	poller *hostlist.Poller
	lists  chan member.HostList
	log    *strings.Builder
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{clock: clockwork.NewFakeClock(), lists: make(chan member.HostList, 16), log: &strings.Builder{}}
	f.list = standin.New(f.clock)
	server := httptest.NewServer(f.list.Handler())
	t.Cleanup(server.Close)
	poller, err := hostlist.New(hostlist.Options{
		URL:      server.URL,
		Interval: 2 * time.Second,
		Clock:    f.clock,
		OnRead:   func(list member.HostList) { f.lists <- list },
		Log:      event.NewLogfmtLog(f.log, f.clock),
	})
	is.New(t).NoErr(err)
	f.poller = poller
	return f
}

func TestPoll(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	_, ok := f.poller.Last()
	is.True(!ok)
	f.list.Set("a", member.HostLive)
	f.list.Set("b", member.HostLeaving)
	is.NoErr(f.poller.Poll(t.Context()))
	want := member.HostList{
		Hosts: map[id.Host]member.HostState{"a": member.HostLive, "b": member.HostLeaving},
		At:    f.clock.Now(),
	}
	is.Equal(<-f.lists, want)

	f.clock.Advance(time.Second)
	is.NoErr(f.poller.Poll(t.Context())) // unchanged
	want.At = f.clock.Now()
	is.Equal(<-f.lists, want)

	f.list.Remove("b")
	is.NoErr(f.poller.Poll(t.Context()))
	is.Equal(len((<-f.lists).Hosts), 1)
}

func TestPollOutage(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.list.Set("a", member.HostLeaving)
	is.NoErr(f.poller.Poll(t.Context()))
	before, _ := f.poller.Last()
	f.list.SetOutage(true)
	for range 3 {
		f.clock.Advance(time.Second)
		is.True(fault.Is(f.poller.Poll(t.Context()), hostlist.Unavailable))
	}
	after, ok := f.poller.Last()
	is.True(ok)
	is.Equal(after, before)                                      // the last list remains in force, with the time of its last read
	is.Equal(strings.Count(f.log.String(), "hostListFailed"), 1) // an outage is logged once
	f.list.SetOutage(false)
	is.NoErr(f.poller.Poll(t.Context()))
}

// TestPollOlder guards against a lagging replica of the list that makes a leaving
// host live again.
func TestPollOlder(t *testing.T) {
	is := is.New(t)
	versions := make(chan int64, 2)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		version := <-versions
		state := member.HostLive
		if version == 2 {
			state = member.HostLeaving
		}
		_ = json.NewEncoder(w).Encode(protocol.Document{Version: version, Hosts: protocol.Hosts{{Host: "a", State: state}}})
	}))
	defer server.Close()
	p, err := hostlist.New(hostlist.Options{URL: server.URL})
	is.NoErr(err)
	for _, v := range []int64{2, 1} {
		versions <- v
		is.NoErr(p.Poll(t.Context()))
	}
	list, _ := p.Last()
	is.Equal(list.Hosts["a"], member.HostLeaving) // the older list is ignored
}

func TestPollInvalid(t *testing.T) {
	for name, body := range map[string]string{
		"not JSON":         `<html>`,
		"no name":          `{"hosts":[{"state":"live"}]}`,
		"an unknown state": `{"hosts":[{"host":"a","state":"asleep"}]}`,
		"twice":            `{"hosts":[{"host":"a","state":"live"},{"host":"a","state":"leaving"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(body))
			}))
			defer server.Close()
			p, err := hostlist.New(hostlist.Options{URL: server.URL})
			is.NoErr(err)
			is.True(fault.Is(p.Poll(t.Context()), hostlist.Invalid))
			_, ok := p.Last()
			is.True(!ok)
		})
	}
}

func TestRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.list.SetLag(5 * time.Second)
	f.list.Set("a", member.HostLeaving)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.poller.Run(ctx) }()
	reads := 0
	for list := range f.lists {
		reads++
		if len(list.Hosts) == 1 {
			break
		}
		is.NoErr(f.clock.BlockUntilContext(t.Context(), 1))
		f.clock.Advance(2200 * time.Millisecond) // more than the longest interval
	}
	is.Equal(reads, 4) // the host is missing from three reads because of the lag of 5 s
	cancel()
	is.Equal(<-done, context.Canceled)
}
