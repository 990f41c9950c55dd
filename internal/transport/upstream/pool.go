package upstream

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Options configure a Pool. Zero values select the defaults.
type Options struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if the target sends no
	// Keep-Alive timeout.
	IdleTimeout time.Duration
	// MaxIdlePerTarget is the maximum number of idle connections per target.
	MaxIdlePerTarget int
	// Dial connects to a host:port address. If it is nil, TCP is used.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Clock measures idle times. If it is nil, the system clock is used.
	Clock clockwork.Clock
	// OnConnect is called for each new connection. It may be nil.
	OnConnect func()
}

// Defaults of Options.
const (
	defaultDialTimeout      = 150 * time.Millisecond
	defaultIdleTimeout      = 4 * time.Second
	defaultMaxIdlePerTarget = 16

	// keepAliveMargin is subtracted from the target's Keep-Alive timeout, so that
	// no request is sent while the target closes the connection.
	keepAliveMargin = time.Second
	// maxKeepAliveSeconds limits the timeout that a target names.
	maxKeepAliveSeconds = 3600

	// probeInterval is the time between two TCP keep-alive probes.
	probeInterval = time.Second
	probeCount    = 2
)

// Pool keeps idle connections to targets. It is safe for concurrent use.
type Pool struct {
	opts Options

	mu   sync.Mutex
	idle map[poolKey][]*conn
}

// poolKey says which requests a connection may carry: those to an address for the same run,
// which is empty for those of no particular run.
type poolKey struct{ address, run string }

// NewPool returns an empty Pool.
func NewPool(o Options) *Pool {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.MaxIdlePerTarget == 0 {
		o.MaxIdlePerTarget = defaultMaxIdlePerTarget
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	return &Pool{opts: o, idle: map[poolKey][]*conn{}}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// get returns an idle connection that is still open, or a new one.
func (p *Pool) get(ctx context.Context, key poolKey, fresh bool) (*conn, error) {
	now := p.opts.Clock.Now()
	for !fresh {
		c := p.takeIdle(key)
		if c == nil {
			break
		}
		if c.stillOpen(now) {
			return c, nil
		}
		c.close()
	}
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	c, err := p.opts.Dial(ctx, key.address)
	if err != nil {
		return nil, err
	}
	if p.opts.OnConnect != nil {
		p.opts.OnConnect()
	}
	return newConn(c, key, p.opts.Clock.Now()), nil
}

// takeIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) takeIdle(key poolKey) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[key]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[key] = idle[:len(idle)-1]
	return c
}

func (p *Pool) putIdle(c *conn, idleTimeout time.Duration) {
	if idleTimeout == 0 {
		idleTimeout = p.opts.IdleTimeout
	}
	c.idleSince, c.idleTimeout = p.opts.Clock.Now(), idleTimeout
	p.mu.Lock()
	idle := p.idle[c.key]
	full := len(idle) >= p.opts.MaxIdlePerTarget
	if !full {
		p.idle[c.key] = append(idle, c)
	}
	p.mu.Unlock()
	if full {
		c.close()
	}
}

// CloseExpired closes the idle connections that have exceeded their idle
// timeout.
func (p *Pool) CloseExpired() {
	now := p.opts.Clock.Now()
	var expired []*conn
	p.mu.Lock()
	for key, idle := range p.idle {
		remaining := idle[:0]
		for _, c := range idle {
			if now.Sub(c.idleSince) > c.idleTimeout {
				expired = append(expired, c)
				continue
			}
			remaining = append(remaining, c)
		}
		p.idle[key] = remaining
		if len(remaining) == 0 {
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// CloseIdle closes the idle connections to an address whose target is gone.
func (p *Pool) CloseIdle(address string) {
	var closed []*conn
	p.mu.Lock()
	for key, idle := range p.idle {
		if key.address == address {
			closed = append(closed, idle...)
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	for _, c := range closed {
		c.close()
	}
}

// keepAliveTimeout returns the timeout of the target's Keep-Alive header less
// keepAliveMargin, or 0 if there is none.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0
		}
		return max(time.Duration(min(seconds, maxKeepAliveSeconds))*time.Second-keepAliveMargin, 1)
	}
	return 0
}
