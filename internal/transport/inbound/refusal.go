package inbound

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/event"
)

// Reason is why a client was refused.
type Reason string

const (
	// HeadTooLong means that the head of a request is longer than allowed.
	HeadTooLong Reason = "headTooLong"
	// HeadsFull means that the heads of all requests together take too much memory.
	HeadsFull Reason = "headsFull"
	// TooManyConns means that all connections that the process may have are in use.
	TooManyConns Reason = "tooManyConnections"
	// Evicted means that a connection without a complete request made room for another one.
	Evicted Reason = "evicted"
)

// retryAfter is the Retry-After of refusals, in seconds.
const retryAfter = "0.3"

// answer returns the answer to a refused request.
func (r Reason) answer() []byte {
	status, more := http.StatusServiceUnavailable, "Retry-After: "+retryAfter+"\r\n"
	if r == HeadTooLong {
		status, more = http.StatusRequestHeaderFieldsTooLarge, ""
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n%s\r\n%s\n",
		status, http.StatusText(status), len(r)+1, more, r)
}

// reportInterval is the shortest time between two log lines about refused clients.
const reportInterval = time.Second

// refused identifies what is counted together.
type refused struct {
	listener string
	reason   Reason
}

// report counts refused clients and logs them now and then, because hostile clients may be
// refused very often. It is safe for concurrent use.
type report struct {
	opts Options

	mu       sync.Mutex
	counts   map[refused]int
	reported time.Time
}

// add counts one refused client, and logs all that were counted if the last lines are old
// enough.
func (r *report) add(listener string, reason Reason) {
	if r.opts.OnRefuse != nil {
		r.opts.OnRefuse(listener, reason)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[refused{listener, reason}]++
	now := r.opts.Clock.Now()
	if now.Sub(r.reported) < reportInterval {
		return
	}
	r.reported = now
	for key, n := range r.counts {
		r.opts.Log.Emit(event.ClientsRefused, "listener", key.listener, "reason", key.reason, "count", n)
	}
	clear(r.counts)
}
