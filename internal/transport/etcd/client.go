// Package etcd is a client for the platform's key-value service, which it calls
// through the etcd v3 JSON gateway.
//
// # Usage
//
//	client, err := etcd.New(etcd.Options{
//		Endpoints:       []string{"http://10.0.0.1:2379"},
//		ReadsPerSecond:  2,
//		WritesPerSecond: 1,
//	})
//	if err != nil { … }
//	defer client.Close()
//	s := client.Store()
//
// Calls return errors of type store.Error. Kind Unavailable means that the call
// certainly had no effect. A write that was sent but not answered fails with kind
// Unknown and is never sent again. A read that is not answered is sent to the
// next endpoint.
//
// Reads and writes are rate limited; a call that the limit would delay for longer
// than MaxWait fails with kind Throttled. While no endpoint answers, calls fail
// immediately, except for one probe after each backoff. A watch waits for the
// backoff instead of failing. Watches of one process share connections.
package etcd

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// Kind classifies the errors of New. Calls return errors of type store.Error.
type Kind string

// Invalid means that an option has an invalid value.
const Invalid Kind = "invalid"

// Error is the type of the errors of New.
type Error = fault.Error[Kind]

// Default values of Options.
const (
	defaultTimeout        = 2 * time.Second
	defaultMaxWait        = time.Second
	defaultInitialBackoff = 100 * time.Millisecond
	defaultMaxBackoff     = 3 * time.Second
	// unlimited is the rate of a client without a rate limit, in calls per second.
	unlimited = 1e9
)

// TCP keep-alive settings and the number of idle connections per endpoint. A
// half-open connection is detected after keepAliveIdle and keepAliveProbes
// unanswered probes.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 5 * time.Second
	keepAliveProbes   = 3
	connsPerEndpoint  = 16
)

// Options configures a Client.
type Options struct {
	// Endpoints are base URLs. The first that answers is used until it fails.
	Endpoints []string
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Random is the source of the backoff's jitter. By default it is seeded by
	// the runtime.
	Random rand.Source
	// ReadsPerSecond and WritesPerSecond limit the rate of this process's calls;
	// 0 means no limit. The burst size is one second's worth of calls.
	ReadsPerSecond, WritesPerSecond float64
	// MaxWait bounds how long the rate limit may delay a call.
	MaxWait time.Duration
	// Timeout bounds one attempt at one endpoint.
	Timeout time.Duration
	// InitialBackoff and MaxBackoff bound the time between probes while the
	// service does not answer.
	InitialBackoff, MaxBackoff time.Duration
	// Metrics receives the client's counters. It defaults to a new registry.
	Metrics metrics.Registry
	// Log receives events; nil discards them.
	Log *event.Log
}

// Defaults sets the default value of every option that is not set.
func (o *Options) Defaults() {
	o.ReadsPerSecond = cmp.Or(o.ReadsPerSecond, unlimited)
	o.WritesPerSecond = cmp.Or(o.WritesPerSecond, unlimited)
	o.MaxWait = cmp.Or(o.MaxWait, defaultMaxWait)
	o.Timeout = cmp.Or(o.Timeout, defaultTimeout)
	o.InitialBackoff = cmp.Or(o.InitialBackoff, defaultInitialBackoff)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, max(o.InitialBackoff, defaultMaxBackoff))
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Random == nil {
		o.Random = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
}

// Validate returns an error that names the first option with an invalid value.
func (o *Options) Validate() error {
	const op = "Options.Validate"
	if len(o.Endpoints) == 0 {
		return fault.New(op, Invalid, "endpoints is empty")
	}
	for i, endpoint := range o.Endpoints {
		u, err := url.Parse(endpoint)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return fault.New(op, Invalid, "endpoints[%d] is %q, want a URL such as http://10.0.0.1:2379", i, endpoint)
		}
	}
	switch {
	case o.ReadsPerSecond < 0 || o.WritesPerSecond < 0:
		return fault.New(op, Invalid, "readsPerSecond or writesPerSecond is negative")
	case o.MaxWait < 0 || o.Timeout <= 0:
		return fault.New(op, Invalid, "maxWait is negative or timeout is not positive")
	case o.InitialBackoff <= 0 || o.MaxBackoff < o.InitialBackoff:
		return fault.New(op, Invalid, "backoff is %v to %v, want a positive initial backoff and a maximum not below it", o.InitialBackoff, o.MaxBackoff)
	}
	return nil
}

// Client calls the key-value service. It is safe for concurrent use.
type Client struct {
	opts         Options
	http         *http.Client
	readLimiter  *rateLimiter
	writeLimiter *rateLimiter
	backoff      *backoff
	metrics      *clientMetrics
	// preferred is the index of the endpoint that answered last.
	preferred atomic.Int64
	watches   sharedWatches
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
}

// New returns a client. The caller must call Close to release its resources.
func New(opts Options) (*Client, error) {
	opts.Defaults()
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	ctx, cancel := context.WithCancel(context.Background())
	counters := newClientMetrics(opts.Metrics)
	return &Client{
		opts: opts,
		http: &http.Client{
			Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: connsPerEndpoint},
			// Redirects are not followed, because a redirected write could be
			// carried out twice.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		readLimiter:  newRateLimiter(opts.ReadsPerSecond, opts.MaxWait, opts.Clock, opts.Log, counters),
		writeLimiter: newRateLimiter(opts.WritesPerSecond, opts.MaxWait, opts.Clock, opts.Log, counters),
		backoff:      newBackoff(opts.InitialBackoff, opts.MaxBackoff, opts.Clock, opts.Random, opts.Log),
		metrics:      counters,
		ctx:          ctx,
		cancel:       cancel,
	}, nil
}

// Close ends all watches, waits for their goroutines and closes the idle
// connections.
func (c *Client) Close() {
	c.cancel()
	c.tasks.Wait()
	c.http.CloseIdleConnections()
}

// Store returns the client's calls as a store.Store.
func (c *Client) Store() store.Store {
	return store.Store{
		Get:       c.get,
		List:      c.list,
		Commit:    c.commit,
		Watch:     c.watch,
		Grant:     c.grant,
		KeepAlive: c.keepAlive,
		Revoke:    c.revoke,
	}
}
