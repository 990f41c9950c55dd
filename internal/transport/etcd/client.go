// Package etcd calls the platform's key-value service through the etcd v3 JSON
// gateway.
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
// Errors are store.Error. Unavailable is returned only when a call surely had
// no effect; a write whose answer did not come is Unknown and is never sent
// again. Reads go on with the next endpoint.
//
// Calls keep to a rate: one that would wait longer than MaxWait is Throttled.
// While no endpoint answers, calls fail at once and one probe goes out after
// each backoff; a watch waits for the backoff instead. Watches of one process
// share their connections.
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

// Kind is the kind of the errors of New; calls return store.Error.
type Kind string

// Invalid means that an option breaks a rule.
const Invalid Kind = "invalid"

// Error is this package's error.
type Error = fault.Error[Kind]

// Defaults of the options.
const (
	defaultTimeout        = 2 * time.Second
	defaultMaxWait        = time.Second
	defaultBackoffFirst   = 100 * time.Millisecond
	defaultBackoffLongest = 3 * time.Second
	// unlimited is the rate of a client without a budget, in calls a second.
	unlimited = 1e9
)

// Limits of connections. A half-open connection is found after the idle time
// and the probes.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 5 * time.Second
	keepAliveProbes   = 3
	connsPerEndpoint  = 16
)

// Options sets up a client.
type Options struct {
	// Endpoints are base URLs. The first that answers is used until it fails.
	Endpoints []string
	// Clock is the time; the real one when nil.
	Clock clockwork.Clock
	// Random jitters the backoff; seeded by the runtime when nil.
	Random rand.Source
	// ReadsPerSecond and WritesPerSecond are this process's budget; 0 means no
	// limit. A second's budget may be used at once.
	ReadsPerSecond, WritesPerSecond float64
	// MaxWait is how long a call may wait for the budget.
	MaxWait time.Duration
	// Timeout bounds one attempt at one endpoint.
	Timeout time.Duration
	// InitialBackoff and BackoffLongest bound the time between probes of a service
	// that does not answer.
	InitialBackoff, MaxBackoff time.Duration
	// Metrics takes the counters; a registry of its own when nil.
	Metrics metrics.Registry
	// Log takes the events; nil drops them.
	Log *event.Log
}

// Defaults fills in what o leaves out.
func (o *Options) Defaults() {
	o.ReadsPerSecond = cmp.Or(o.ReadsPerSecond, unlimited)
	o.WritesPerSecond = cmp.Or(o.WritesPerSecond, unlimited)
	o.MaxWait = cmp.Or(o.MaxWait, defaultMaxWait)
	o.Timeout = cmp.Or(o.Timeout, defaultTimeout)
	o.InitialBackoff = cmp.Or(o.InitialBackoff, defaultBackoffFirst)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, max(o.InitialBackoff, defaultBackoffLongest))
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

// Validate returns an error that names the first option that breaks a rule.
func (o *Options) Validate() error {
	const op = "Options.Validate"
	if len(o.Endpoints) == 0 {
		return fault.New(op, Invalid, "endpoints is empty")
	}
	for i, e := range o.Endpoints {
		u, err := url.Parse(e)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return fault.New(op, Invalid, "endpoints[%d] is %q, want a URL such as http://10.0.0.1:2379", i, e)
		}
	}
	switch {
	case o.ReadsPerSecond < 0 || o.WritesPerSecond < 0:
		return fault.New(op, Invalid, "a rate is negative")
	case o.MaxWait < 0 || o.Timeout <= 0:
		return fault.New(op, Invalid, "maxWait is negative or timeout is not positive")
	case o.InitialBackoff <= 0 || o.MaxBackoff < o.InitialBackoff:
		return fault.New(op, Invalid, "backoff is %v to %v, want positive and rising", o.InitialBackoff, o.MaxBackoff)
	}
	return nil
}

// Client calls the key-value service. It is safe for concurrent use.
type Client struct {
	opts    Options
	http    *http.Client
	reads   *budget
	writes  *budget
	backoff *backoff
	meters  *meters
	// preferred is the endpoint that answered last.
	preferred atomic.Int64
	hubs      hubs
	ctx       context.Context
	cancel    context.CancelFunc
	duties    sync.WaitGroup
}

// New returns a client; Close ends it.
func New(opts Options) (*Client, error) {
	opts.Defaults()
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	ctx, cancel := context.WithCancel(context.Background())
	meters := newMeters(opts.Metrics)
	return &Client{
		opts: opts,
		http: &http.Client{
			Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: connsPerEndpoint},
			// A redirected write could be carried out twice.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		reads:   newBudget(opts.ReadsPerSecond, opts.MaxWait, opts.Clock, opts.Log, meters),
		writes:  newBudget(opts.WritesPerSecond, opts.MaxWait, opts.Clock, opts.Log, meters),
		backoff: newBackoff(opts.InitialBackoff, opts.MaxBackoff, opts.Clock, opts.Random, opts.Log),
		meters:  meters,
		ctx:     ctx,
		cancel:  cancel,
	}, nil
}

// Close ends all watches and closes the connections.
func (c *Client) Close() {
	c.cancel()
	c.duties.Wait()
	c.http.CloseIdleConnections()
}

// Store returns the client's calls.
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
