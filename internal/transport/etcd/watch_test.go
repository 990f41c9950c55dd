package etcd_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"foxtailward.example/foxtailward/internal/coordination/store"
	protocol "foxtailward.example/foxtailward/internal/protocol/etcd"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/transport/etcd"
)

// follower watches a prefix and watches again after each error, as callers do.
type follower struct {
	mu       sync.Mutex
	changes  []store.Change
	revision int64
	errors   []store.Kind
	done     chan struct{}
}

func follow(ctx context.Context, s store.Store, prefix string, revision int64) *follower {
	f := &follower{revision: revision, done: make(chan struct{})}
	go func() {
		defer close(f.done)
		for ctx.Err() == nil {
			f.recordError(s.Watch(ctx, prefix, store.Point{Revision: f.lastRevision()}, f.recordChange))
		}
	}()
	return f
}

func (f *follower) lastRevision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

func (f *follower) recordChange(c store.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes = append(f.changes, c)
	f.revision = c.Item.ModRevision
}

func (f *follower) recordError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kind, _ := fault.KindOf[store.Kind](err)
	f.errors = append(f.errors, kind)
}

func (f *follower) keys() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]string, len(f.changes))
	for i, c := range f.changes {
		out[i] = c.Item.Key
	}
	return out
}

// eventually waits until the condition holds. The timeout of the test bounds it.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		if t.Context().Err() != nil {
			t.Fatal("the condition never held")
		}
		time.Sleep(time.Millisecond)
	}
}

func commit(t *testing.T, s store.Store, key string) int64 {
	t.Helper()
	result, err := s.Commit(t.Context(), create(key, "v"))
	is.New(t).NoErr(err)
	return result.Revision
}

func TestWatchAfterCut(t *testing.T) {
	is := is.New(t)
	server := serve(t)
	s := client(t, nil, server.URL()).Store()
	direct := server.Direct()
	ctx, cancel := context.WithCancel(t.Context())
	f := follow(ctx, s, "conf/", server.Revision())
	want := make([]string, 0, 60)
	for i := range 60 {
		key := fmt.Sprintf("conf/%02d", i)
		commit(t, direct, key)
		commit(t, direct, "other/"+key)
		want = append(want, key)
		if i%10 == 9 {
			server.CancelWatches()
		}
		if i == 30 {
			is.NoErr(server.SetOutage(true))
			is.NoErr(server.SetOutage(false))
		}
	}
	eventually(t, func() bool { return len(f.keys()) >= len(want) })
	is.Equal(f.keys(), want) // each change exactly once and in order
	cancel()
	<-f.done
}

func TestWatchCompacted(t *testing.T) {
	is := is.New(t)
	server := serve(t)
	s := client(t, nil, server.URL()).Store()
	for i := range 5 {
		commit(t, server.Direct(), fmt.Sprintf("conf/%d", i))
	}
	server.Compact(server.Revision())
	err := s.Watch(t.Context(), "conf/", store.Point{Revision: 1}, func(store.Change) { t.Error("received a change, want none") })
	is.True(fault.Is(err, store.Compacted))
}

func TestWatchShared(t *testing.T) {
	is := is.New(t)
	server := serve(t)
	registry := metrics.NewRegistry()
	c := client(t, func(o *etcd.Options) { o.Metrics = registry }, server.URL())
	s := c.Store()
	ctx, cancel := context.WithCancel(t.Context())
	start := server.Revision()
	first := follow(ctx, s, "conf/", start)
	eventually(t, func() bool { return server.Calls().OpenWatches == 1 })
	commit(t, server.Direct(), "conf/contract/a")
	eventually(t, func() bool { return len(first.keys()) == 1 })

	late := follow(ctx, s, "conf/contract/", start) // receives the earlier changes too
	other := follow(ctx, s, "conf/head", start)
	commit(t, server.Direct(), "conf/head")
	commit(t, server.Direct(), "conf/contract/b")
	eventually(t, func() bool { return len(first.keys()) == 3 && len(late.keys()) == 2 && len(other.keys()) == 1 })
	is.Equal(late.keys(), []string{"conf/contract/a", "conf/contract/b"})
	is.Equal(other.keys(), []string{"conf/head"})
	is.Equal(server.Calls().Watches, int64(1)) // one connection for all three
	is.Equal(metrics.GetOrRegisterCounter("store.watching", registry).Count(), int64(1))
	is.Equal(metrics.GetOrRegisterCounter("store.subscribed", registry).Count(), int64(3))
	cancel()
	for _, f := range []*follower{first, late, other} {
		<-f.done
	}
	eventually(t, func() bool { return server.Calls().OpenWatches == 0 }) // the last subscriber closes it
}

// TestWatchOutage watches again immediately after each error while the service is
// down. The backoff must limit the calls.
func TestWatchOutage(t *testing.T) {
	is := is.New(t)
	server := serve(t)
	registry := metrics.NewRegistry()
	c := client(t, func(o *etcd.Options) {
		o.Metrics, o.InitialBackoff, o.MaxBackoff = registry, 20*time.Millisecond, 20*time.Millisecond
	}, server.URL())
	is.NoErr(server.SetOutage(true))
	ctx, cancel := context.WithCancel(t.Context())
	f := follow(ctx, c.Store(), "conf/", 1)
	sent := metrics.GetOrRegisterCounter("store.calls.watch", registry)
	eventually(t, func() bool { return sent.Count() >= 3 })
	is.NoErr(server.SetOutage(false))
	commit(t, server.Direct(), "conf/a")
	eventually(t, func() bool { return len(f.keys()) == 1 })
	cancel()
	<-f.done
	is.True(!slices.Contains(f.errors, store.Unknown))
	is.True(sent.Count() <= int64(len(f.errors))) // at most one call per error
}

// TestWatchBehind blocks a watcher while more changes arrive than the sockets and
// its queue can hold. The watch must end with an error and must not skip changes.
func TestWatchBehind(t *testing.T) {
	is := is.New(t)
	const messages = 600
	value := make([]byte, 32<<10)
	written := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := json.NewEncoder(w)
		for i := range int64(messages) {
			_ = out.Encode(protocol.WatchMessage{Result: &protocol.WatchResponse{Events: []protocol.Event{
				{Kv: protocol.KeyValue{Key: []byte("conf/a"), Value: value, ModRevision: i + 2}},
			}}})
		}
		close(written)
		<-r.Context().Done()
	}))
	defer server.Close()
	s := client(t, nil, server.URL).Store()
	var got []int64
	err := s.Watch(t.Context(), "conf/", store.Point{Revision: 1}, func(c store.Change) {
		<-written
		got = append(got, c.Item.ModRevision)
	})
	is.True(fault.Is(err, store.Unavailable)) // the caller watches again from its last revision
	is.True(len(got) < messages)
	for i, revision := range got {
		is.Equal(revision, int64(i+2)) // no gap in what was delivered
	}
}
