package store_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	kv "foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/standin/store"
	"foxtailward.example/foxtailward/internal/state/fault"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func put(key, value string, compares ...kv.Compare) kv.Txn {
	return kv.Txn{Compares: compares, Puts: []kv.Put{{Key: key, Value: []byte(value)}}}
}

func newService(t *testing.T, opts store.Options) *store.Service {
	t.Helper()
	s := store.New(opts)
	t.Cleanup(s.Close)
	return s
}

func TestCommit(t *testing.T) {
	is := is.New(t)
	s := newService(t, store.Options{}).Direct()
	first, err := s.Commit(t.Context(), put("a", "1", kv.Compare{Key: "a"}))
	is.NoErr(err)
	is.True(first.Succeeded)
	second, err := s.Commit(t.Context(), put("a", "2", kv.Compare{Key: "a"}))
	is.NoErr(err)
	is.True(!second.Succeeded) // the key exists
	is.Equal(string(second.Current[0].Value), "1")
	third, err := s.Commit(t.Context(), put("a", "3", kv.Compare{Key: "a", ModRevision: first.Revision}))
	is.NoErr(err)
	is.Equal(third.Revision, first.Revision+1) // a failed compare makes no revision
	_, err = s.Commit(t.Context(), kv.Txn{Puts: []kv.Put{{Key: "a"}, {Key: "a"}}})
	is.True(fault.Is(err, kv.Invalid))
	_, err = s.Commit(t.Context(), kv.Txn{Puts: []kv.Put{{Key: "b", Lease: 99}}})
	is.True(fault.Is(err, kv.Invalid))
}

func TestLeaseExpiry(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	s := newService(t, store.Options{Clock: clock}).Direct()
	lease, err := s.Grant(t.Context(), 10*time.Second)
	is.NoErr(err)
	_, err = s.Commit(t.Context(), kv.Txn{Puts: []kv.Put{{Key: "leader", Value: []byte("a"), Lease: lease}}})
	is.NoErr(err)
	clock.Advance(9 * time.Second)
	_, err = s.KeepAlive(t.Context(), lease)
	is.NoErr(err)
	clock.Advance(9 * time.Second)
	item, err := s.Get(t.Context(), "leader")
	is.NoErr(err)
	is.True(item.Exists()) // a renewed lease lasts its TTL from the renewal

	seen := make(chan kv.Change, 1)
	watching := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		watching <- s.Watch(ctx, "leader", kv.Point{Revision: item.ModRevision}, func(c kv.Change) { seen <- c })
	}()
	clock.Advance(time.Second)
	change := <-seen // the expiry is reported without another call
	is.True(change.Deleted)
	cancel()
	<-watching
	_, err = s.KeepAlive(t.Context(), lease)
	is.True(fault.Is(err, kv.Invalid))
}

func TestFaults(t *testing.T) {
	is := is.New(t)
	service := newService(t, store.Options{})
	s := service.Direct()
	service.DropResponses(1)
	_, err := s.Commit(t.Context(), put("a", "1"))
	is.True(fault.Is(err, kv.Unknown))
	item, err := s.Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(string(item.Value), "1") // the write took effect

	service.DropRequests(1)
	_, err = s.Commit(t.Context(), put("a", "2"))
	is.True(fault.Is(err, kv.Unknown))
	item, err = s.Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(string(item.Value), "1") // the second write did not

	is.NoErr(service.SetOutage(true))
	_, err = s.Commit(t.Context(), put("a", "3"))
	is.True(fault.Is(err, kv.Unavailable))
	is.True(fault.Is(s.Watch(t.Context(), "a", kv.Point{Revision: 1}, func(kv.Change) {}), kv.Unavailable))
	is.NoErr(service.SetOutage(false))

	service.SetHang(true)
	ctx, cancel := context.WithCancel(t.Context())
	cancelled := make(chan error, 1)
	go func() {
		_, err := s.Commit(ctx, put("a", "4"))
		cancelled <- err
	}()
	for service.Calls().Txns < 3 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.True(fault.Is(<-cancelled, kv.Unknown))
	service.SetHang(false)
	is.Equal(service.Calls(), store.Calls{Ranges: 2, Txns: 3})
}

// Tests a write that takes effect after its caller has read the key.
func TestHoldWrites(t *testing.T) {
	is := is.New(t)
	service := newService(t, store.Options{})
	s := service.Direct()
	service.HoldWrites(1)
	_, err := s.Commit(t.Context(), put("a", "1", kv.Compare{Key: "a"}))
	is.True(fault.Is(err, kv.Unknown))
	item, err := s.Get(t.Context(), "a")
	is.NoErr(err)
	is.True(!item.Exists()) // the read does not prove that the write failed
	service.ReleaseWrites()
	item, err = s.Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(string(item.Value), "1")
}

func TestLatency(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	service := newService(t, store.Options{Clock: clock, Latency: time.Second})
	done := make(chan error, 1)
	go func() {
		_, err := service.Direct().Commit(t.Context(), put("a", "1"))
		done <- err
	}()
	is.NoErr(clock.BlockUntilContext(t.Context(), 1))
	is.Equal(service.Revision(), int64(1)) // not written yet
	clock.Advance(time.Second)
	is.NoErr(<-done)
	is.Equal(service.Revision(), int64(2))
}

func TestWatch(t *testing.T) {
	is := is.New(t)
	service := newService(t, store.Options{})
	s := service.Direct()
	for _, key := range []string{"a/1", "b/1", "a/2"} {
		_, err := s.Commit(t.Context(), put(key, "v"))
		is.NoErr(err)
	}
	var got []string
	ctx, cancel := context.WithCancel(t.Context())
	err := s.Watch(ctx, "a/", kv.Point{Revision: 1}, func(c kv.Change) {
		got = append(got, c.Item.Key)
		if len(got) == 2 {
			cancel()
		}
	})
	is.True(fault.Is(err, kv.Unavailable))
	is.Equal(got, []string{"a/1", "a/2"})
	service.Compact(service.Revision())
	is.True(fault.Is(s.Watch(t.Context(), "a/", kv.Point{Revision: 1}, func(kv.Change) {}), kv.Compacted))
}

func TestFaultCommands(t *testing.T) {
	is := is.New(t)
	server, err := store.Listen("127.0.0.1:0", store.Options{})
	is.NoErr(err)
	defer http.DefaultClient.CloseIdleConnections()
	defer server.Close()
	send := func(c store.Command) int {
		body, err := json.Marshal(c)
		is.NoErr(err)
		resp, err := http.Post(server.URL()+"/faults", "application/json", bytes.NewReader(body))
		is.NoErr(err)
		defer resp.Body.Close()
		return resp.StatusCode
	}
	for _, kind := range []string{"latency", "hang", "resume", "loseAnswers", "loseRequests", "holdWrites", "releaseWrites", "cutWatches", "compact", "lapseLeases"} {
		is.Equal(send(store.Command{Kind: kind}), http.StatusNoContent)
	}
	is.Equal(send(store.Command{Kind: "explode"}), http.StatusBadRequest)
	is.Equal(send(store.Command{Kind: "outage", Millis: 300}), http.StatusNoContent)
	up := func() bool {
		resp, err := http.Get(server.URL() + "/stats")
		if err != nil {
			return false
		}
		is.NoErr(resp.Body.Close())
		return true
	}
	for up() {
		time.Sleep(time.Millisecond)
	}
	for !up() { // the outage ends by itself
		time.Sleep(time.Millisecond)
	}
}

// Tests that the service's return from a copy takes back changes and leases, gives out
// revisions again and begins an era.
func TestReturnTo(t *testing.T) {
	is := is.New(t)
	service := newService(t, store.Options{})
	s := service.Direct()
	lease, err := s.Grant(t.Context(), time.Minute)
	is.NoErr(err)
	_, err = s.Commit(t.Context(), kv.Txn{Puts: []kv.Put{{Key: "a/kept", Value: []byte("1")}, {Key: "a/leased", Lease: lease}}})
	is.NoErr(err)
	before := service.Copy()
	result, err := s.Commit(t.Context(), put("a/kept", "2"))
	is.NoErr(err)
	_, err = s.Commit(t.Context(), put("a/lost", "1"))
	is.NoErr(err)

	service.ReturnTo(before)
	page, err := s.List(t.Context(), "a/")
	is.NoErr(err)
	is.Equal(len(page.Items), 1)
	is.Equal(string(page.Items[0].Value), "1")
	is.Equal(page.Era, result.Era+1)
	_, err = s.KeepAlive(t.Context(), lease)
	is.True(fault.Is(err, kv.Invalid))
	is.True(fault.Is(s.Watch(t.Context(), "a/", kv.Point{Revision: result.Revision}, func(kv.Change) {}), kv.Compacted))
	again, err := s.Commit(t.Context(), put("a/other", "1"))
	is.NoErr(err)
	is.Equal(again.Revision, result.Revision)
}
