package main_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
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

// The users' bound: from limitContact after a target first named its limit, it gets within
// limitWindow at most limitFactor times what the limit allows, and limitSlack requests.
const (
	limitContact = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
)

// limitedTarget is a target that names a limit from its first answer on.
type limitedTarget struct {
	perSecond float64

	mu       sync.Mutex
	arrivals []time.Time
}

func (s *limitedTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	s.mu.Unlock()
	platform.EncodeResponseMetadata(w.Header(), platform.DecodeForwardedRequest(r.Header).Attempt, "signed", false)
	platform.EncodeLimit(w.Header(), s.perSecond)
	_, _ = io.WriteString(w, "ok")
}

// mostInWindow returns the largest number of arrivals within limitWindow, from limitContact
// after the first one.
func (s *limitedTarget) mostInWindow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for i, from := range s.arrivals {
		if from.Sub(s.arrivals[0]) < limitContact {
			continue
		}
		n := 0
		for _, at := range s.arrivals[i:] {
			if at.Sub(from) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// freePort returns a port on which nothing listens at two loopback addresses.
func freePort(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// A target that names a limit must not get more from two entries together.
func TestTargetLimit(t *testing.T) {
	is := is.New(t)
	target := &limitedTarget{perSecond: 5}
	targetServer := httptest.NewServer(target)
	defer targetServer.Close()
	service := kv.New(kv.Options{})
	defer service.Close()
	storeServer := httptest.NewServer(platform.NewStoreHandler(service.Direct(), service.Era))
	defer storeServer.CloseClientConnections()

	const shop = id.Service("shop")
	cfg, err := platform.EncodeConfig(&catalog.Config{
		Version: 1,
		Routes: []catalog.Route{{
			Name: "r", Host: "h.example", PathPrefix: "/s/", Kind: catalog.Safe, MaxAttempts: 1, Timeout: time.Second,
			LatencyObjective: 200 * time.Millisecond, Public: true, Services: []catalog.WeightedService{{Service: shop, Weight: 1}},
		}},
		Services: map[id.Service]catalog.Service{shop: {Name: shop, HealthPath: "/health"}},
	})
	is.NoErr(err)
	listed, err := platform.EncodeTarget(&catalog.Target{
		ID: "t1", Service: shop, Address: strings.TrimPrefix(targetServer.URL, "http://"), Zone: "a", Slots: 8, State: catalog.Ready, Sequence: 1,
	})
	is.NoErr(err)
	s := service.Direct()
	_, err = s.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: platform.ConfigKey, Value: cfg}, listed}})
	is.NoErr(err)

	c := newCluster(t)
	port := freePort(t)
	var clients sync.WaitGroup
	for i := range 2 {
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
`, i, host, host, host, port, strings.TrimPrefix(storeServer.URL, "http://"))))
		address := valueOf(entry.line(t, "name=processStarted")+" ", "clients=")
		entry.line(t, "name=revisionInForce")
		clients.Go(func() { sendSteadily(address, i) })
	}
	clients.Wait()
	allowed := int(limitFactor*limitWindow.Seconds()*target.perSecond) + limitSlack
	if most := target.mostInWindow(); most > allowed {
		t.Errorf("the target got %d requests in %v, want at most %d", most, limitWindow, allowed)
	}
	is.True(len(target.arrivals) > int(5*target.perSecond)) // it is not left out either
}

// sendSteadily sends 20 requests a second for 9 s.
func sendSteadily(address string, entry int) {
	const interval, count = 50 * time.Millisecond, 180
	for i := range count {
		time.Sleep(interval)
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/s/x", nil)
		if err != nil {
			return
		}
		req.Host = "h.example"
		platform.EncodeRequestMetadata(req.Header, &direct.RequestMetadata{Attempt: direct.AttemptID(fmt.Sprintf("a%d-%d", entry, i)), Timeout: time.Second})
		if res, err := http.DefaultClient.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
	}
}
