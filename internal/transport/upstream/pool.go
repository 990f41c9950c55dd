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

// Options are the bounds of a Pool; zero values mean the defaults.
type Options struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept whose target does not
	// say how long it keeps it.
	IdleTimeout time.Duration
	// MaxIdlePerTarget is how many idle connections are kept for each target.
	MaxIdlePerTarget int
	// Dial opens a connection to an address, as host:port; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Clock tells how long connections are idle; nil means the real one.
	Clock clockwork.Clock
	// OnConnect is called for each new connection; nil for none.
	OnConnect func()
}

// Defaults of Options.
const (
	defaultDialTimeout = 150 * time.Millisecond
	defaultKeepTime    = 4 * time.Second
	defaultKeepMost    = 16

	// keepMargin is taken off the time that a target keeps a connection, so
	// that a request does not meet its close.
	keepMargin = time.Second

	// probeEvery is the time between two keep-alive probes of a connection.
	probeEvery = time.Second
	probeCount = 2
)

// Pool keeps idle connections to targets. It is safe for concurrent use.
type Pool struct {
	opts Options

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty Pool.
func NewPool(o Options) *Pool {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultKeepTime
	}
	if o.MaxIdlePerTarget == 0 {
		o.MaxIdlePerTarget = defaultKeepMost
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	return &Pool{opts: o, idle: map[string][]*conn{}}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: probeCount},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// get returns a kept connection that is still open, or a new one.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	now := p.opts.Clock.Now()
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if c.usable(now) {
			return c, nil
		}
		c.abort()
	}
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	c, err := p.opts.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if p.opts.OnConnect != nil {
		p.opts.OnConnect()
	}
	return newConn(c, address), nil
}

// take returns the connection that was used last, or nil.
func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	return c
}

func (p *Pool) put(c *conn, life time.Duration) {
	if life == 0 {
		life = p.opts.IdleTimeout
	}
	c.since, c.life = p.opts.Clock.Now(), life
	p.mu.Lock()
	kept := p.idle[c.address]
	full := len(kept) >= p.opts.MaxIdlePerTarget
	if !full {
		p.idle[c.address] = append(kept, c)
	}
	p.mu.Unlock()
	if full {
		c.abort()
	}
}

// CloseExpired closes the idle connections whose time is over.
func (p *Pool) CloseExpired() {
	now := p.opts.Clock.Now()
	var over []*conn
	p.mu.Lock()
	for address, kept := range p.idle {
		fresh := kept[:0]
		for _, c := range kept {
			if now.Sub(c.since) > c.life {
				over = append(over, c)
				continue
			}
			fresh = append(fresh, c)
		}
		p.idle[address] = fresh
		if len(fresh) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range over {
		c.abort()
	}
}

// CloseIdle closes the idle connections to an address, whose target is gone.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	kept := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range kept {
		c.abort()
	}
}

// keepAlive returns how long the target says that it keeps the connection, less
// a margin; 0 where it says nothing.
func keepAlive(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0
		}
		return max(time.Duration(seconds)*time.Second-keepMargin, 1)
	}
	return 0
}
