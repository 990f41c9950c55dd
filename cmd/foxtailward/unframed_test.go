package main_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/platform"
)

const (
	// halfAnswer is a half of the answers of an unframedTarget, and unframedGap the time between the halves.
	halfAnswer  = "0123456789"
	unframedGap = 250 * time.Millisecond
	// unframedTimeout is the timeout of its route.
	unframedTimeout = time.Second
)

// unframedTarget is a target whose answers have neither a length nor chunks, and end with their connection.
type unframedTarget struct {
	t       *testing.T
	address string
	// halves is the number of answers of which half has been written.
	halves atomic.Int64

	mu     sync.Mutex
	server *http.Server
	conns  map[net.Conn]struct{}
}

// start starts a process at the target's address.
func (u *unframedTarget) start() {
	l, err := net.Listen("tcp", u.address)
	is.New(u.t).NoErr(err)
	u.address = l.Addr().String()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns = map[net.Conn]struct{}{}
	conns := u.conns
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), ConnState: func(c net.Conn, s http.ConnState) {
		u.mu.Lock()
		defer u.mu.Unlock()
		switch s {
		case http.StateNew:
			conns[c] = struct{}{}
		case http.StateClosed:
			delete(conns, c)
		default:
		}
	}}
	go func() { _ = u.server.Serve(l) }()
}

// crashAtHalf ends the process when it has written a half of some answers.
func (u *unframedTarget) crashAtHalf() {
	for deadline := time.Now().Add(waitTimeout); u.halves.Load() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(unframedGap / 2) // what was written has arrived
	u.crash()
}

// crash ends the process and all its connections, as the host does.
func (u *unframedTarget) crash() {
	u.mu.Lock()
	server, conns := u.server, u.conns
	u.mu.Unlock()
	go func() { _ = server.Close() }()
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range conns {
		_ = c.Close()
	}
}

func (u *unframedTarget) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		platform.EncodeIdentity(w.Header(), direct.Identity{Target: "t1", Slots: 64})
		return
	}
	platform.EncodeResponseMetadata(w.Header(), platform.DecodeForwardedRequest(r.Header).Attempt, "signed", false)
	header := w.Header().Clone()
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
	_ = header.Write(conn)
	_, _ = io.WriteString(conn, "\r\n"+halfAnswer)
	u.halves.Add(1)
	time.Sleep(unframedGap)
	u.halves.Add(-1)
	_, _ = io.WriteString(conn, halfAnswer)
}

// unframedCluster has an entry and an unframedTarget, to which clients send requests that may run once.
type unframedCluster struct {
	*directCluster
	target  *unframedTarget
	address string

	mu sync.Mutex
	// answers counts the answers by their status and the length of their body.
	answers map[string]int
	n       int
}

// startUnframed starts the target's process, born as named by its record, an entry, and clients that send until the test ends.
func startUnframed(t *testing.T) *unframedCluster {
	u := &unframedCluster{directCluster: newDirectCluster(t), target: &unframedTarget{t: t, address: "127.0.0.1:0"}, answers: map[string]int{}}
	u.target.start()
	t.Cleanup(u.target.crash)
	data, err := platform.EncodeConfig(&catalog.Config{
		Version:  1,
		Services: map[id.Service]catalog.Service{shopService: {Name: shopService, HealthPath: "/health"}},
		Routes: []catalog.Route{{
			Name: "u", Host: shopHost, PathPrefix: "/u/", Kind: catalog.Unsafe, MaxAttempts: 1, Timeout: unframedTimeout,
			LatencyObjective: 200 * time.Millisecond, Public: true, Services: []catalog.WeightedService{{Service: shopService, Weight: 1}},
		}},
	})
	is.New(t).NoErr(err)
	u.put(store.Put{Key: platform.ConfigKey, Value: data})
	u.putBorn(1000)
	_, u.address = u.startEntry(0)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for ctx.Err() == nil {
				u.request(ctx)
			}
		})
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
	return u
}

// putBorn writes the record of the target's process.
func (u *unframedCluster) putBorn(born id.Incarnation) {
	put, err := platform.EncodeTarget(&catalog.Target{
		ID: "t1", Service: shopService, Address: u.target.address, Zone: "a", Slots: 64, State: catalog.Ready, Sequence: id.Sequence(born), Incarnation: born,
	})
	is.New(u.t).NoErr(err)
	u.put(put)
}

func (u *unframedCluster) request(ctx context.Context) {
	u.mu.Lock()
	u.n++
	attempt := fmt.Sprint("u", u.n)
	u.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.address+"/u/x", strings.NewReader(attempt))
	if err != nil {
		return
	}
	req.Host = shopHost
	platform.EncodeRequestMetadata(req.Header, &direct.RequestMetadata{Attempt: direct.AttemptID(attempt), Timeout: unframedTimeout})
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case res.StatusCode != http.StatusOK:
		u.answers[fmt.Sprintf("%d %s", res.StatusCode, strings.TrimSpace(string(body)))]++
	case err != nil:
		u.answers["broken off"]++
	case string(body) == halfAnswer+halfAnswer:
		u.answers["whole"]++
	default:
		u.answers["part"]++
	}
}

// during returns the answers of a time.
func (u *unframedCluster) during(d time.Duration) map[string]int {
	u.mu.Lock()
	u.answers = map[string]int{}
	u.mu.Unlock()
	time.Sleep(d)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.t.Log(u.answers)
	return u.answers
}

// TestUnframedAnswerOfReplacedProcess guards against a part of an answer that counts as whole, because its process crashed and was back under
// its id while the key-value service was away, so that a health check was answered and the record stayed.
func TestUnframedAnswerOfReplacedProcess(t *testing.T) {
	is := is.New(t)
	u := startUnframed(t)
	u.during(3 * time.Second)
	for range 2 {
		u.storeAway.Store(true)
		away := u.during(2 * time.Second)
		is.True(away["whole"] > 5)
		is.Equal(len(away), 1) // nothing is doubted while the process serves
		u.target.crashAtHalf()
		time.Sleep(30 * time.Millisecond)
		u.target.start()
		after := u.during(2 * time.Second)
		is.Equal(after["part"], 0)
		is.True(u.during(2 * time.Second)["whole"] > 5) // the new process serves
		u.storeAway.Store(false)
		u.putBorn(id.Incarnation(time.Now().UnixMilli()))
		u.during(time.Second)
		back := u.during(2 * time.Second)
		is.True(back["whole"] > 5)
		is.Equal(len(back), 1)
	}
}
