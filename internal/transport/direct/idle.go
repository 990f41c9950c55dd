package direct

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// idleConns tracks the clients' connections that carry no request, so that
// their time may change with the configuration. The server's own limit can't.
type idleConns struct {
	clock clockwork.Clock

	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConns(clock clockwork.Clock) *idleConns {
	return &idleConns{clock: clock, since: map[net.Conn]time.Time{}}
}

// changed is the server's ConnState.
func (i *idleConns) changed(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[c] = i.clock.Now()
		return
	}
	delete(i.since, c)
}

// closeOlder closes the connections that have been idle for longer than the
// limit.
func (i *idleConns) closeOlder(limit time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock.Now()
	for c, since := range i.since {
		if now.Sub(since) > limit {
			delete(i.since, c)
			// A connection that the client closed first is no news.
			_ = c.Close()
		}
	}
}
