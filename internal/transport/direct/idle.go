package direct

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// idleConns tracks the idle connections of clients, so that their timeout can
// follow the configuration. The timeout of http.Server can't be changed while it
// runs.
type idleConns struct {
	clock clockwork.Clock

	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConns(clock clockwork.Clock) *idleConns {
	return &idleConns{clock: clock, since: map[net.Conn]time.Time{}}
}

// stateChanged is the ConnState callback of the server.
func (i *idleConns) stateChanged(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[c] = i.clock.Now()
		return
	}
	delete(i.since, c)
}

// closeExpired closes the connections that have been idle for longer than the
// limit.
func (i *idleConns) closeExpired(limit time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock.Now()
	for c, since := range i.since {
		if now.Sub(since) > limit {
			delete(i.since, c)
			// The client may have closed the connection already.
			_ = c.Close()
		}
	}
}
