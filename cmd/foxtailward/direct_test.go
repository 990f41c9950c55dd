package main_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	kv "foxtailward.example/foxtailward/internal/standin/store"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/platform"
)

const (
	shopHost    = "h.example"
	shopService = id.Service("shop")
)

// directCluster runs entries that reach their targets directly, on a stand-in of the
// platform's store.
type directCluster struct {
	*cluster
	service      *kv.Service
	storeAddress string
	peerPort     int
	// storeAway says that the store closes the connection of each call.
	storeAway atomic.Bool
}

func newDirectCluster(t *testing.T) *directCluster {
	t.Helper()
	c := &directCluster{cluster: newCluster(t), service: kv.New(kv.Options{}), peerPort: freePort(t)}
	t.Cleanup(c.service.Close)
	handler := platform.NewStoreHandler(c.service.Direct(), c.service.Era)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.storeAway.Load() {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	c.storeAddress = strings.TrimPrefix(server.URL, "http://")
	return c
}

// freePort returns a port on which nothing listens.
func freePort(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// startEntry starts entry i, waits for its first configuration, and returns its process
// and the address for clients.
func (c *directCluster) startEntry(i int) (*process, string) {
	c.t.Helper()
	host := fmt.Sprintf("127.0.0.%d", i+1)
	entry := c.start(c.mainPath, "direct", "--config", c.config(fmt.Sprint("e", i), fmt.Sprintf(`name = "e%d"
clients = "%s:0"
readiness = "%s:0"
peers = "%s:%d"
seeds = ["127.0.0.1:1", "127.0.0.2:1"]
store = %q
[place]
host = "e"
zone = "a"
region = "x"
`, i, host, host, host, c.peerPort, c.storeAddress)))
	address := valueOf(entry.line(c.t, "name=processStarted")+" ", "clients=")
	entry.line(c.t, "name=revisionInForce")
	return entry, address
}

func (c *directCluster) put(puts ...store.Put) {
	c.t.Helper()
	s := c.service.Direct()
	_, err := s.Commit(c.t.Context(), store.Txn{Puts: puts})
	is.New(c.t).NoErr(err)
}

// putConfig writes a configuration with a safe route for each path, as the operator does.
func (c *directCluster) putConfig(version catalog.Version, paths ...string) {
	c.t.Helper()
	cfg := &catalog.Config{Version: version, Services: map[id.Service]catalog.Service{shopService: {Name: shopService, HealthPath: "/health"}}}
	for _, path := range paths {
		cfg.Routes = append(cfg.Routes, catalog.Route{
			Name: path, Host: shopHost, PathPrefix: path, Kind: catalog.Safe, MaxAttempts: 1, Timeout: time.Second,
			LatencyObjective: 200 * time.Millisecond, Public: true, Services: []catalog.WeightedService{{Service: shopService, Weight: 1}},
		})
	}
	data, err := platform.EncodeConfig(cfg)
	is.New(c.t).NoErr(err)
	c.put(store.Put{Key: platform.ConfigKey, Value: data})
}

// putTarget writes a target's record, as the target does.
func (c *directCluster) putTarget(name id.Target, url string, state catalog.TargetState, sequence id.Sequence) {
	c.t.Helper()
	put, err := platform.EncodeTarget(&catalog.Target{
		ID: name, Service: shopService, Address: strings.TrimPrefix(url, "http://"), Zone: "a", Slots: 8, State: state, Sequence: sequence,
	})
	is.New(c.t).NoErr(err)
	c.put(put)
}

// send sends a request to an entry and returns the status, or 0 if there is no answer.
func (c *directCluster) send(address, path, attempt string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, nil)
	if err != nil {
		return 0
	}
	req.Host = shopHost
	platform.EncodeRequestMetadata(req.Header, &direct.RequestMetadata{Attempt: direct.AttemptID(attempt), Timeout: time.Second})
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// awaitVersion waits until a configuration is in force.
func awaitVersion(t *testing.T, entry *process, version catalog.Version) {
	t.Helper()
	entry.line(t, fmt.Sprintf("name=revisionInForce version=%d", version))
}

// A change that the store confirms after it returned from an older copy must be
// applied, although its revision was in use before.
func TestConfigAfterStoreReturnsFromCopy(t *testing.T) {
	is := is.New(t)
	c := newDirectCluster(t)
	c.putConfig(1)
	entry, _ := c.startEntry(0)
	before := c.service.Copy()
	for version := catalog.Version(2); version <= 6; version++ {
		c.putConfig(version)
		awaitVersion(t, entry, version)
	}
	// The entry watches again after the last change.
	for c.service.Calls().OpenWatches < 2 {
		time.Sleep(time.Millisecond)
	}
	lost := c.service.Revision()
	c.service.ReturnTo(before)
	c.putConfig(8)
	is.True(c.service.Revision() < lost)
	for i := 0; c.service.Revision() <= lost; i++ {
		c.put(store.Put{Key: fmt.Sprintf("other/%d", i)})
	}
	awaitVersion(t, entry, 8)
}

// countingTarget answers all requests and counts them.
type countingTarget struct {
	mu       sync.Mutex
	requests int
}

func (s *countingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.requests++
	s.mu.Unlock()
	platform.EncodeResponseMetadata(w.Header(), platform.DecodeForwardedRequest(r.Header).Attempt, "signed", false)
	_, _ = io.WriteString(w, "ok")
}

// take returns the number of requests since the last call.
func (s *countingTarget) take() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.requests
	s.requests = 0
	return n
}

// awaitRequests sends requests until the target gets one.
func awaitRequests(t *testing.T, target *countingTarget, send func(i int)) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for i := 0; target.take() == 0; i++ {
		if time.Now().After(deadline) {
			t.Fatal("the target got no request in time")
		}
		send(i)
	}
}

// A new route, a drain and a new target that the store loses by its return from an older
// copy must stay in force, before and after they are written again, and come back after the
// loss of all entries.
func TestChangesLostByStore(t *testing.T) {
	is := is.New(t)
	c := newDirectCluster(t)
	var targets [3]countingTarget
	var urls [3]string
	for i := range targets {
		server := httptest.NewServer(&targets[i])
		defer server.Close()
		urls[i] = server.URL
	}
	c.putConfig(1, "/s/")
	c.putTarget("t0", urls[0], catalog.Ready, 1)
	c.putTarget("t1", urls[1], catalog.Ready, 1)
	entry, address := c.startEntry(0)
	before := c.service.Copy()
	c.putConfig(2, "/s/", "/new/")
	c.putTarget("t1", urls[1], catalog.Draining, 2)
	c.putTarget("t2", urls[2], catalog.Ready, 1)
	awaitRequests(t, &targets[2], func(i int) { c.send(address, "/new/x", fmt.Sprint("await", i)) })

	// check sends requests to the new route. The draining target must get none of them.
	check := func(name, address string) {
		t.Helper()
		const requests = 30
		for i := range targets {
			targets[i].take()
		}
		for i := range requests {
			is.Equal(c.send(address, "/new/x", fmt.Sprint(name, i)), http.StatusOK)
		}
		is.Equal(targets[1].take(), 0)
		is.True(targets[0].take() > 0)
		is.True(targets[2].take() > 0)
	}
	check("before", address)
	c.service.ReturnTo(before)
	c.service.CancelWatches()
	entry.line(t, "name=storeRestored")
	check("old copy", address)

	c.putConfig(2, "/s/", "/new/")
	c.putTarget("t1", urls[1], catalog.Draining, 3)
	c.putTarget("t2", urls[2], catalog.Ready, 2)
	time.Sleep(2500 * time.Millisecond) // after it, missing targets are gone
	check("written again", address)

	is.NoErr(entry.cmd.Process.Kill())
	<-entry.done // its addresses are free
	_, address = c.startEntry(0)
	check("all entries lost", address)
}
