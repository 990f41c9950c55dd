package etcd_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"foxtailward.example/foxtailward/internal/coordination/store"
	standin "foxtailward.example/foxtailward/internal/standin/store"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/transport/etcd"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func serve(t *testing.T) *standin.Server {
	t.Helper()
	s, err := standin.Listen("127.0.0.1:0", standin.Options{})
	is.New(t).NoErr(err)
	t.Cleanup(s.Close)
	return s
}

// client returns a client of endpoints on the real clock, but for what change
// sets.
func client(t *testing.T, change func(*etcd.Options), endpoints ...string) *etcd.Client {
	t.Helper()
	opts := etcd.Options{
		Endpoints:      endpoints,
		Random:         rand.NewPCG(1, 2),
		InitialBackoff: time.Millisecond,
		MaxBackoff:     4 * time.Millisecond,
	}
	if change != nil {
		change(&opts)
	}
	c, err := etcd.New(opts)
	is.New(t).NoErr(err)
	t.Cleanup(c.Close)
	return c
}

// closedPort returns the URL of a port that nothing listens on.
func closedPort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer l.Close()
	return "http://" + l.Addr().String()
}

func create(key, value string) store.Txn {
	return store.Txn{
		Compares: []store.Compare{{Key: key}},
		Puts:     []store.Put{{Key: key, Value: []byte(value)}},
	}
}

func TestNew(t *testing.T) {
	tests := []struct {
		name string
		opts etcd.Options
	}{
		{"no endpoints", etcd.Options{}},
		{"no scheme", etcd.Options{Endpoints: []string{"10.0.0.1:2379"}}},
		{"a negative rate", etcd.Options{Endpoints: []string{"http://10.0.0.1:2379"}, ReadsPerSecond: -1}},
		{"a falling backoff", etcd.Options{Endpoints: []string{"http://10.0.0.1:2379"}, InitialBackoff: 2, MaxBackoff: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := etcd.New(tt.opts)
			is.New(t).True(fault.Is(err, etcd.Invalid))
		})
	}
}

func TestCommitLostAnswer(t *testing.T) {
	is := is.New(t)
	server := serve(t)
	s := client(t, nil, server.URL()).Store()
	server.DropResponses(1)
	_, err := s.Commit(t.Context(), create("claim/1", "mine"))
	is.True(fault.Is(err, store.Unknown))
	item, err := s.Get(t.Context(), "claim/1")
	is.NoErr(err) // one lost answer does not hold up the read back
	is.Equal(string(item.Value), "mine")

	server.DropRequests(1)
	_, err = s.Commit(t.Context(), create("claim/2", "mine"))
	is.True(fault.Is(err, store.Unknown))
	item, err = s.Get(t.Context(), "claim/2")
	is.NoErr(err)
	is.True(!item.Exists())
	is.Equal(server.Calls().Txns, int64(2)) // neither was sent again
}

func TestCommitLostAnswerManyEndpoints(t *testing.T) {
	is := is.New(t)
	server := serve(t)
	s := client(t, nil, server.URL(), server.URL()).Store()
	server.DropResponses(1)
	_, err := s.Commit(t.Context(), create("claim/1", "mine"))
	is.True(fault.Is(err, store.Unknown))
	is.Equal(server.Calls().Txns, int64(1)) // the other endpoint was not asked
}

func TestEndpoints(t *testing.T) {
	is := is.New(t)
	server := serve(t)
	registry := metrics.NewRegistry()
	c := client(t, func(o *etcd.Options) { o.Metrics = registry }, closedPort(t), server.URL())
	s := c.Store()
	for i := range 3 {
		_, err := s.Commit(t.Context(), create(fmt.Sprintf("key/%d", i), "v"))
		is.NoErr(err)
	}
	// The first call tried the closed port, the others went straight on.
	is.Equal(metrics.GetOrRegisterCounter("store.calls.txn", registry).Count(), int64(4))
}

func TestOutage(t *testing.T) {
	is := is.New(t)
	server := serve(t)
	clock := clockwork.NewFakeClock()
	registry := metrics.NewRegistry()
	c := client(t, func(o *etcd.Options) {
		o.Clock, o.Metrics = clock, registry
		o.InitialBackoff, o.MaxBackoff = 100*time.Millisecond, 2*time.Second
	}, server.URL())
	s := c.Store()
	is.NoErr(server.SetOutage(true))
	const calls = 1_000
	for i := range calls {
		_, err := s.Commit(t.Context(), create(fmt.Sprintf("key/%d", i), "v"))
		is.True(fault.Is(err, store.Unavailable)) // nothing was sent
		clock.Advance(10 * time.Millisecond)
	}
	// In ten seconds of outage the probes come at most every second after the
	// backoff has grown over 0.1, 0.2, 0.4, 0.8 and 1.6 s, halved by jitter.
	is.True(metrics.GetOrRegisterCounter("store.calls.txn", registry).Count() <= 15)
	is.NoErr(server.SetOutage(false))
	clock.Advance(2 * time.Second)
	result, err := s.Commit(t.Context(), create("key/0", "v"))
	is.NoErr(err)
	is.True(result.Succeeded)
}

func TestHang(t *testing.T) {
	is := is.New(t)
	server := serve(t)
	server.SetHang(true)
	s := client(t, func(o *etcd.Options) { o.Timeout = 20 * time.Millisecond }, server.URL()).Store()
	_, err := s.Commit(t.Context(), create("claim/1", "mine"))
	is.True(fault.Is(err, store.Unknown)) // it was sent, so nobody knows
	_, err = s.Get(t.Context(), "claim/1")
	is.True(fault.Is(err, store.Unavailable))
	server.SetHang(false)
}

func TestCancelledBeforeSending(t *testing.T) {
	is := is.New(t)
	s := client(t, nil, serve(t).URL()).Store()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := s.Commit(ctx, create("claim/1", "mine"))
	is.True(fault.Is(err, store.Unavailable))
	is.True(errors.Is(err, context.Canceled))
}

// TestRefusals holds the kinds of errors against the gateway's answers.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name        string
		status      int
		body        string
		read, write store.Kind
	}{
		{"an invalid argument", 400, `{"code":3,"message":"duplicate key"}`, store.Invalid, store.Invalid},
		{"no space", 429, `{"code":8,"message":"no space"}`, store.Unavailable, store.Unavailable},
		{"compacted", 400, `{"code":11,"message":"compacted"}`, store.Compacted, store.Compacted},
		{"timed out within the service", 503, `{"code":14,"message":"request timed out"}`, store.Unavailable, store.Unknown},
		{"an internal error", 500, `{"code":13,"message":"panic"}`, store.Unavailable, store.Unknown},
		{"a proxy's page", 502, `<html>`, store.Unavailable, store.Unknown},
		{"a redirect", 302, ``, store.Unavailable, store.Unknown},
		{"half an answer", 200, `{"header":`, store.Unavailable, store.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.body))
			}))
			defer server.Close()
			s := client(t, nil, server.URL).Store()
			_, err := s.Get(t.Context(), "key")
			is.True(fault.Is(err, tt.read))
			_, err = s.Commit(t.Context(), create("key", "v"))
			is.True(fault.Is(err, tt.write))
		})
	}
}

func TestBudget(t *testing.T) {
	is := is.New(t)
	server := serve(t)
	clock := clockwork.NewFakeClock()
	c := client(t, func(o *etcd.Options) {
		o.Clock, o.ReadsPerSecond, o.WritesPerSecond, o.MaxWait = clock, 4, 2, 500*time.Millisecond
	}, server.URL())
	s := c.Store()
	for range 4 {
		_, err := s.Get(t.Context(), "key")
		is.NoErr(err)
	}
	var waiting sync.WaitGroup
	for range 2 {
		waiting.Go(func() {
			_, err := s.Get(t.Context(), "key")
			is.NoErr(err) // it waits for its turn
		})
	}
	is.NoErr(clock.BlockUntilContext(t.Context(), 2))
	_, err := s.Get(t.Context(), "key")
	is.True(fault.Is(err, store.Throttled)) // it would wait for longer than MaxWait
	is.Equal(server.Calls().Ranges, int64(4))
	_, err = s.Commit(t.Context(), create("key", "v"))
	is.NoErr(err) // writes have a budget of their own
	clock.Advance(500 * time.Millisecond)
	waiting.Wait()
	is.Equal(server.Calls().Ranges, int64(6))
}

func TestLeases(t *testing.T) {
	is := is.New(t)
	server := serve(t)
	s := client(t, nil, server.URL()).Store()
	lease, err := s.Grant(t.Context(), 1500*time.Millisecond)
	is.NoErr(err)
	ttl, err := s.KeepAlive(t.Context(), lease)
	is.NoErr(err)
	is.Equal(ttl, 2*time.Second) // the service counts in whole seconds
	txn := create("leader", "me")
	txn.Puts[0].Lease = lease
	result, err := s.Commit(t.Context(), txn)
	is.NoErr(err)
	second, err := s.Commit(t.Context(), create("leader", "other"))
	is.NoErr(err)
	is.True(!second.Succeeded)
	is.Equal(second.Current, []store.Item{{Key: "leader", Value: []byte("me"), ModRevision: result.Revision, Lease: lease}})
	is.NoErr(s.Revoke(t.Context(), lease))
	item, err := s.Get(t.Context(), "leader")
	is.NoErr(err)
	is.True(!item.Exists())
	_, err = s.KeepAlive(t.Context(), lease)
	is.True(fault.Is(err, store.Invalid))
}
