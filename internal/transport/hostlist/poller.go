// Package hostlist reads the platform's host list again and again. In an
// outage of the list the last one stays in force.
//
// # Usage
//
//	p, err := hostlist.New(hostlist.Options{
//		URL:    "http://10.0.0.1:8080/",
//		Every:  2 * time.Second,
//		Change: func(doc member.HostDoc) { view.HostList(doc, clock.Now()) },
//	})
//	if err != nil { … }
//	err = p.Run(ctx)
//
// The poller asks with the list's ETag, so that an unchanged list costs a few
// bytes.
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

// Kind is the kind of this package's errors.
type Kind string

// Kinds of errors.
const (
	// Invalid means that an option or a document breaks a rule.
	Invalid Kind = "invalid"
	// Unavailable means that the list could not be read.
	Unavailable Kind = "unavailable"
)

// Error is this package's error.
type Error = fault.Error[Kind]

const (
	defaultEvery   = 2 * time.Second
	defaultTimeout = time.Second
	// jitterShare is the part of the interval that is random, so that many
	// pollers that started at once come apart.
	jitterShare = 0.2
	// maxDocument bounds the document, in bytes.
	maxDocument = 8 << 20
)

// Options sets up a poller.
type Options struct {
	// URL is where the list is.
	URL string
	// Interval is the time between two reads.
	Interval time.Duration
	// Timeout bounds one read.
	Timeout time.Duration
	// Clock is the time; the real one when nil.
	Clock clockwork.Clock
	// Random jitters the interval; seeded by the runtime when nil.
	Random rand.Source
	// OnRead is called with each list that was read, also an unchanged one.
	OnRead func(member.HostList)
	// Log takes the events; nil drops them.
	Log *event.Log
}

// Defaults fills in what o leaves out.
func (o *Options) Defaults() {
	if o.Interval == 0 {
		o.Interval = defaultEvery
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

// Validate returns an error that names the first option that breaks a rule.
func (o *Options) Validate() error {
	const op = "Options.Validate"
	u, err := url.Parse(o.URL)
	switch {
	case err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https"):
		return fault.New(op, Invalid, "url is %q, want one such as http://10.0.0.1:8080/", o.URL)
	case o.Interval < 0 || o.Timeout < 0:
		return fault.New(op, Invalid, "every or timeout is negative")
	}
	return nil
}

// Poller reads the host list.
type Poller struct {
	opts   Options
	http   *http.Client
	random *rand.Rand

	mu   sync.Mutex
	last *protocol.Document
	// at is when the list was last read, also unchanged.
	at  time.Time
	tag string
	// failing says that the last read failed.
	failing bool
}

// New returns a poller; Run makes it read.
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

// Last returns the list that was read last and when; false when none was.
func (p *Poller) Last() (member.HostList, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == nil {
		return member.HostList{}, false
	}
	return p.last.HostList(p.at), true
}

// Run reads the list until ctx ends, and returns ctx's error.
func (p *Poller) Run(ctx context.Context) error {
	defer p.http.CloseIdleConnections()
	for ctx.Err() == nil {
		// A failed read is logged; the last list stays in force.
		_ = p.Poll(ctx)
		timer := p.opts.Clock.NewTimer(p.interval())
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.Chan():
		}
	}
	return ctx.Err()
}

func (p *Poller) interval() time.Duration {
	spread := 1 + jitterShare*(p.random.Float64()-0.5)
	return time.Duration(float64(p.opts.Interval) * spread)
}

// Poll reads the list once.
func (p *Poller) Poll(ctx context.Context) error {
	document, tag, err := p.fetch(ctx)
	if ctx.Err() != nil {
		return fault.Wrap("Poller.Poll", Unavailable, ctx.Err())
	}
	if err != nil {
		p.failed(err)
		return err
	}
	p.opts.OnRead(p.keep(document, tag))
	return nil
}

// keep takes over a list and returns the one in force. A list older than the
// one in force comes from a replica that lags, and changes nothing.
func (p *Poller) keep(document *protocol.Document, tag string) member.HostList {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failing = false
	switch {
	case document == nil:
		p.at = p.opts.Clock.Now()
	case p.last == nil || document.Version >= p.last.Version:
		p.last, p.tag, p.at = document, tag, p.opts.Clock.Now()
	}
	return p.last.HostList(p.at)
}

func (p *Poller) failed(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.failing {
		p.opts.Log.Emit(event.HostListFailed, "error", err)
	}
	p.failing = true
}

// errTimeout is the cause of a read that took longer than Timeout.
var errTimeout = errors.New("no answer came in time")

// fetch reads the list; it returns no document when the list is unchanged.
func (p *Poller) fetch(ctx context.Context) (*protocol.Document, string, error) {
	const op = "Poller.fetch"
	// The context has no deadline of its own, as the dialer would hold one of
	// an injected clock against the real time.
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := p.opts.Clock.AfterFunc(p.opts.Timeout, func() { cancel(errTimeout) })
	defer timer.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.opts.URL, nil)
	if err != nil {
		return nil, "", fault.Wrap(op, Invalid, err)
	}
	p.mu.Lock()
	known := p.tag
	p.mu.Unlock()
	if known != "" {
		req.Header.Set("If-None-Match", known)
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return nil, "", fault.Wrap(op, Unavailable, err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotModified && known != "":
		return nil, known, nil
	case resp.StatusCode != http.StatusOK:
		return nil, "", fault.Wrap(op, Unavailable, fmt.Errorf("status %d", resp.StatusCode))
	}
	document := &protocol.Document{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxDocument)).Decode(document); err != nil {
		return nil, "", fault.Wrap(op, Invalid, err)
	}
	return document, resp.Header.Get("ETag"), nil
}
