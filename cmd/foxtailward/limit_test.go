package main_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/state/catalog"
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

// A target that names a limit must not get more from two entries together.
func TestTargetLimit(t *testing.T) {
	is := is.New(t)
	target := &limitedTarget{perSecond: 5}
	targetServer := httptest.NewServer(target)
	defer targetServer.Close()
	c := newDirectCluster(t)
	c.putConfig(1, "/s/")
	c.putTarget("t1", targetServer.URL, catalog.Ready, 1)
	var clients sync.WaitGroup
	for i := range 2 {
		_, address := c.startEntry(i)
		clients.Go(func() { c.sendSteadily(address, i) })
	}
	clients.Wait()
	allowed := int(limitFactor*limitWindow.Seconds()*target.perSecond) + limitSlack
	if most := target.mostInWindow(); most > allowed {
		t.Errorf("the target got %d requests in %v, want at most %d", most, limitWindow, allowed)
	}
	is.True(len(target.arrivals) > int(5*target.perSecond)) // it is not left out either
}

// sendSteadily sends 20 requests a second for 9 s.
func (c *directCluster) sendSteadily(address string, entry int) {
	const interval, count = 50 * time.Millisecond, 180
	for i := range count {
		time.Sleep(interval)
		c.send(address, "/s/x", fmt.Sprintf("a%d-%d", entry, i))
	}
}
