// Package hostlist polls the platform's host list. While the list cannot be read,
// the last one read remains in force.
//
// # Usage
//
//	p, err := hostlist.New(hostlist.Options{
//		URL:      "http://10.0.0.1:8080/",
//		Interval: 2 * time.Second,
//		OnRead:   func(list member.HostList) { view.UpdateHostList(list, clock.Now()) },
//	})
//	if err != nil { … }
//	err = p.Run(ctx)
//
// The poller sends the ETag of the last list in If-None-Match, so that the response
// has no body if the list is unchanged.
package hostlist

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/coordination/member"
	protocol "foxtailward.example/foxtailward/internal/protocol/hostlist"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// Kind classifies this package's errors.
type Kind string

// Kinds of errors.
const (
	// Invalid means that an option or the host list is invalid.
	Invalid Kind = "invalid"
	// Unavailable means that the list could not be read.
	Unavailable Kind = "unavailable"
)

// Error is the type of this package's errors.
type Error = fault.Error[Kind]

const (
	defaultInterval = 2 * time.Second
	defaultTimeout  = time.Second
	// jitterFraction is the width of the range from which each interval is drawn,
	// as a fraction of Options.Interval (±10%). It spreads the reads of pollers
	// that started at the same time.
	jitterFraction = 0.2
	// maxDocumentBytes bounds the size of the host list's JSON document.
	maxDocumentBytes = 8 << 20
)

// Options configures a Poller.
type Options struct {
	// URL is the URL of the host list.
	URL string
	// Interval is the time between two reads.
	Interval time.Duration
	// Timeout bounds one read.
	Timeout time.Duration
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Random is the source of the interval's jitter. By default it is seeded by
	// the runtime.
	Random rand.Source
	// OnRead is called after each successful read with the list in force, also if
	// it is unchanged.
	OnRead func(member.HostList)
	// Log receives events; nil discards them.
	Log *event.Log
}

// Defaults sets the default value of every option that is not set.
func (o *Options) Defaults() {
	if o.Interval == 0 {
		o.Interval = defaultInterval
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Random == nil {
		o.Random = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	if o.OnRead == nil {
		o.OnRead = func(member.HostList) {}
	}
}

// Validate returns an error that names the first option with an invalid value.
func (o *Options) Validate() error {
	const op = "Options.Validate"
	u, err := url.Parse(o.URL)
	switch {
	case err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https"):
		return fault.New(op, Invalid, "url is %q, want one such as http://10.0.0.1:8080/", o.URL)
	case o.Interval < 0 || o.Timeout < 0:
		return fault.New(op, Invalid, "interval or timeout is negative")
	}
	return nil
}

// Poller polls the host list and holds the last list read.
type Poller struct {
	opts   Options
	http   *http.Client
	random *rand.Rand

	mu   sync.Mutex
	last *protocol.Document
	// lastRead is the time of the last successful read, whether or not the list had
	// changed.
	lastRead time.Time
	etag     string
	// failing is true if the last read failed.
	failing bool
}

// New returns a poller. It does not read the list before Run or Poll is called.
func New(opts Options) (*Poller, error) {
	opts.Defaults()
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	return &Poller{
		opts:   opts,
		http:   &http.Client{Transport: &http.Transport{}},
		random: rand.New(opts.Random),
	}, nil
}

// Last returns the list in force with the time of its last read, or false if no
// list has been read yet.
func (p *Poller) Last() (member.HostList, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == nil {
		return member.HostList{}, false
	}
	return p.last.HostList(p.lastRead), true
}

// Run polls the list until ctx ends, and returns ctx's error.
func (p *Poller) Run(ctx context.Context) error {
	defer p.http.CloseIdleConnections()
	for ctx.Err() == nil {
		// Poll has logged the error, and the last list remains in force.
		_ = p.Poll(ctx)
		timer := p.opts.Clock.NewTimer(p.nextInterval())
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.Chan():
		}
	}
	return ctx.Err()
}

func (p *Poller) nextInterval() time.Duration {
	factor := 1 + jitterFraction*(p.random.Float64()-0.5)
	return time.Duration(float64(p.opts.Interval) * factor)
}

// Poll reads the list once.
func (p *Poller) Poll(ctx context.Context) error {
	document, etag, err := p.fetch(ctx)
	if ctx.Err() != nil {
		return fault.Wrap("Poller.Poll", Unavailable, ctx.Err())
	}
	if err != nil {
		p.recordFailure(err)
		return err
	}
	p.opts.OnRead(p.apply(document, etag))
	return nil
}

// apply puts a list into force and returns the list in force. A nil document means
// that the list is unchanged. A document with a lower version than the list in
// force comes from a lagging replica and is ignored.
func (p *Poller) apply(document *protocol.Document, etag string) member.HostList {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failing = false
	switch {
	case document == nil:
		p.lastRead = p.opts.Clock.Now()
	case p.last == nil || document.Version >= p.last.Version:
		p.last, p.etag, p.lastRead = document, etag, p.opts.Clock.Now()
	}
	return p.last.HostList(p.lastRead)
}

// recordFailure logs only the first of consecutive failures.
func (p *Poller) recordFailure(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.failing {
		p.opts.Log.Emit(event.HostListFailed, "error", err)
	}
	p.failing = true
}

// errTimeout is the cancellation cause of a read that exceeded Options.Timeout.
var errTimeout = errors.New("no answer within the timeout")

// fetch reads the list and returns it with its ETag. The document is nil if the
// list is unchanged.
func (p *Poller) fetch(ctx context.Context) (*protocol.Document, string, error) {
	const op = "Poller.fetch"
	// This uses a timer on Options.Clock instead of a context deadline, because
	// the dialer would compare a deadline from an injected clock with the real
	// time.
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := p.opts.Clock.AfterFunc(p.opts.Timeout, func() { cancel(errTimeout) })
	defer timer.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.opts.URL, nil)
	if err != nil {
		return nil, "", fault.Wrap(op, Invalid, err)
	}
	p.mu.Lock()
	knownETag := p.etag
	p.mu.Unlock()
	if knownETag != "" {
		req.Header.Set("If-None-Match", knownETag)
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return nil, "", fault.Wrap(op, Unavailable, err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotModified && knownETag != "":
		return nil, knownETag, nil
	case resp.StatusCode != http.StatusOK:
		return nil, "", fault.Wrap(op, Unavailable, fmt.Errorf("HTTP status %d", resp.StatusCode))
	}
	document := &protocol.Document{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxDocumentBytes)).Decode(document); err != nil {
		return nil, "", fault.Wrap(op, Invalid, err)
	}
	return document, resp.Header.Get("ETag"), nil
}
