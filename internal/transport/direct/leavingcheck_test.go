package direct_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/coordination/withdrawal"
	protocol "foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// otherEntry is an entry of which only the messages exist.
type otherEntry struct {
	env      *testEnv
	packets  chan []byte
	closed   chan struct{}
	sequence id.Sequence
}

// addOtherEntry has the entry under test take part in the exchange between entries.
func (env *testEnv) addOtherEntry() *otherEntry {
	env.other = &otherEntry{env: env, packets: make(chan []byte, 64), closed: make(chan struct{})}
	return env.other
}

// send sends a message of the other entry.
func (o *otherEntry) send(u protocol.PeerUpdate) {
	o.sequence++
	u.From, u.Incarnation, u.Sequence, u.Address, u.Version = "e2", 1, o.sequence, "10.0.0.2:8741", 1
	data, _, err := u.Encode()
	o.env.is.NoErr(err)
	select {
	case o.packets <- data:
	case <-o.closed:
	}
}

// The entry reads the messages of the other one from these packets. What it sends is lost.

func (o *otherEntry) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case data := <-o.packets:
		return copy(p, data), &net.UDPAddr{}, nil
	case <-o.closed:
		return 0, nil, net.ErrClosed
	}
}

func (o *otherEntry) WriteTo(p []byte, _ net.Addr) (int, error) { return len(p), nil }
func (o *otherEntry) Close() error                              { close(o.closed); return nil }
func (o *otherEntry) LocalAddr() net.Addr                       { return &net.UDPAddr{} }
func (o *otherEntry) SetDeadline(time.Time) error               { return os.ErrNoDeadline }
func (o *otherEntry) SetReadDeadline(time.Time) error           { return os.ErrNoDeadline }
func (o *otherEntry) SetWriteDeadline(time.Time) error          { return os.ErrNoDeadline }

// restartable is a target that starts again under its id.
type restartable struct {
	// start is the start of its process, and leaving says that the process is leaving.
	start   atomic.Int64
	leaving atomic.Bool
	// sick says that it does not tell whether it is leaving, apart from answers to requests.
	sick atomic.Bool
}

func (p *restartable) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if p.leaving.Load() {
		rw.Header().Set("Leaving", "1")
	}
	question := r.URL.Path == healthPath || r.URL.Path == reportPath
	switch {
	case question && p.sick.Load():
		rw.Header().Del("Leaving")
		rw.WriteHeader(http.StatusServiceUnavailable)
	case question && p.leaving.Load() && r.URL.Path == healthPath:
		rw.Header().Set("Name", "t1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == healthPath:
		rw.Header().Set("Name", "t1")
	case r.URL.Path == reportPath:
		fmt.Fprint(rw, p.start.Load())
	default:
		respondWith(http.StatusOK, "fine", "Signed", "yes")(rw, r)
	}
}

// withRestartable runs a test with a target t1 that may start again and a sound one, once as engines and once as a plain service.
func withRestartable(t *testing.T, test func(env *testEnv, p *restartable)) {
	for _, kind := range []string{"engines", "plain service"} {
		t.Run(kind, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				if kind == "plain service" {
					env.config.Services[service] = catalog.Service{Name: service, HealthPath: healthPath}
				}
				p := &restartable{}
				p.start.Store(1)
				env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, p.ServeHTTP)
				env.softwareTarget("t2", "10.0.2.1:80", "b", "v1", 1, respondWith(http.StatusOK, "fine", "Signed", "yes"))
				test(env, p)
			})
		})
	}
}

// restartableGets returns how many of n requests, 100 ms apart, t1 gets.
func (env *testEnv) restartableGets(name string, n int) int {
	before := env.countSentTo("t1")
	for i := range n {
		env.is.Equal(env.do("POST", "/s/x", fmt.Sprint(name, i), "body").status, http.StatusOK)
		time.Sleep(100 * time.Millisecond)
	}
	return env.countSentTo("t1") - before
}

// TestReportsOfLeavingAfterRestart guards against a target that gets nothing for good after it has started again under its id, because
// other entries still report that the process before it was leaving.
func TestReportsOfLeavingAfterRestart(t *testing.T) {
	withRestartable(t, func(env *testEnv, p *restartable) {
		other := env.addOtherEntry()
		env.start()
		env.is.True(env.restartableGets("a", 10) > 0)
		end := time.Now().Add(10 * time.Second) // an entry reports it for so long
		go func() {
			for time.Now().Before(end) {
				other.send(protocol.PeerUpdate{Leaving: []withdrawal.Report{{Target: "t1", Incarnation: 1}}})
				time.Sleep(150 * time.Millisecond)
			}
		}()
		time.Sleep(500 * time.Millisecond)
		env.is.Equal(env.restartableGets("b", 10), 0)
		env.unlist("t1")
		time.Sleep(2 * time.Second)
		p.start.Store(2)
		env.list(softwareItem("t1", "10.0.1.1:80", "a", "v1", 2))
		env.is.True(env.restartableGets("c", 20) > 0)
		time.Sleep(time.Until(end) + time.Second)
		env.is.True(env.restartableGets("d", 20) > 0)
	})
}

// TestLeavingProcessBeforeRestart guards against a target that gets nothing for good after it has started again under its id, because
// the process before it has said shortly before that it was leaving.
func TestLeavingProcessBeforeRestart(t *testing.T) {
	tests := []struct {
		name string
		away time.Duration
		// within is when it gets requests again. It is later if the new process does not tell whether it is leaving.
		sick   bool
		within time.Duration
	}{
		{"at once", 100 * time.Millisecond, false, time.Second},
		{"after a moment", 900 * time.Millisecond, false, time.Second},
		{"after some seconds", 3 * time.Second, false, time.Second},
		{"it does not answer whether it is leaving", 300 * time.Millisecond, true, 7 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withRestartable(t, func(env *testEnv, p *restartable) {
				env.start()
				p.leaving.Store(true)
				env.is.Equal(env.restartableGets("a", 5), 1)
				time.Sleep(tt.away)
				p.leaving.Store(false)
				p.sick.Store(tt.sick)
				p.start.Store(2)
				env.list(softwareItem("t1", "10.0.1.1:80", "a", "v1", 2))
				time.Sleep(tt.within)
				env.is.True(env.restartableGets("b", 20) > 0)
			})
		})
	}
}

// TestLeavingProcessBeforeItsRecord guards against requests to a target that is leaving, because it said so before the record of
// its process arrived.
func TestLeavingProcessBeforeItsRecord(t *testing.T) {
	for _, late := range []time.Duration{200 * time.Millisecond, 3 * time.Second, 8 * time.Second} {
		for _, sick := range []bool{false, true} {
			t.Run(fmt.Sprint(late, map[bool]string{true: ", it does not tell otherwise"}[sick]), func(t *testing.T) {
				withRestartable(t, func(env *testEnv, p *restartable) {
					env.start()
					p.start.Store(2) // the record is still that of the process before
					p.leaving.Store(true)
					p.sick.Store(sick)
					env.is.Equal(env.restartableGets("a", 5), 1)
					time.Sleep(late)
					env.list(softwareItem("t1", "10.0.1.1:80", "a", "v1", 2))
					env.is.Equal(env.restartableGets("b", 30), 0)
					env.changes <- store.Change{Item: store.Item{Key: "t1", Value: []byte("draining 10.0.1.1:80 a v1 2"), ModRevision: 3}}
					env.is.Equal(env.restartableGets("c", 70), 0)
				})
			})
		}
	}
}

// TestLeavingCheckOutlivesListing guards against a target that gets nothing for good, because its record lapsed, or was not in force yet,
// when it was to be asked whether it is leaving.
func TestLeavingCheckOutlivesListing(t *testing.T) {
	for _, away := range []time.Duration{100 * time.Millisecond, 3 * time.Second, 20 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			withRestartable(t, func(env *testEnv, p *restartable) {
				env.start()
				p.leaving.Store(true)
				env.is.Equal(env.restartableGets("a", 5), 1)
				p.leaving.Store(false)
				p.sick.Store(true)
				p.start.Store(2)
				env.list(softwareItem("t1", "10.0.1.1:80", "a", "v1", 2))
				time.Sleep(time.Second)
				env.unlist("t1")
				time.Sleep(away)
				p.sick.Store(false)
				env.list(softwareItem("t1", "10.0.1.1:80", "a", "v1", 2))
				time.Sleep(time.Second)
				env.is.True(env.restartableGets("b", 20) > 0)
			})
		})
	}
}
