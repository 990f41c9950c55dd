// Package service is the HTTP client for the plain service that runs beside a
// target process.
//
// # Usage
//
//	c := service.NewClient("http://127.0.0.1:9000")
//	reply, err := c.Do(ctx, service.Request{ID: id, Method: "POST", Path: "/orders", Body: body})
//	if fault.Is(err, service.NotSent) {
//		// The service certainly did not receive the request.
//	}
//
// A request is sent at most once. The client follows no redirects, and a
// request that is not repeatable gets a connection of its own, because
// net/http retries a request that fails on a reused connection.
//
// A reply counts only if it marks its own end, by a length or by chunks.
package service

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/completion"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Kind is the kind of this package's errors.
type Kind string

// Kinds of errors.
const (
	// NotSent means that the service certainly did not receive the request.
	NotSent Kind = "notSent"
	// ResponseLost means that the service may have run the request, and that no
	// complete reply was received.
	ResponseLost Kind = "lost"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// RequestIDHeader is the header with the request's id. The id stays the same
// when a request is sent again.
const RequestIDHeader = "Foxtailward-Request"

// MaxReplyBytes is the maximum length of a service's response body. A longer
// body is replaced by a reply with status 502.
const MaxReplyBytes = 8 << 20

const (
	dialTimeout = 2 * time.Second
	idleTimeout = 90 * time.Second
	maxIdle     = 32
	// minStatus and maxStatus are the range of statuses, by RFC 9110, section 15.
	minStatus = 100
	maxStatus = 599
)

// Client calls one plain service. It is safe for concurrent use.
type Client struct {
	base   string
	host   string
	pooled *http.Client
	// single opens a new connection for each request.
	single *http.Client
}

// NewClient returns a client of the service at base, such as
// "http://127.0.0.1:9000".
func NewClient(base string) *Client {
	host := ""
	if u, err := url.Parse(base); err == nil {
		host = u.Host
	}
	return &Client{base: strings.TrimSuffix(base, "/"), host: host, pooled: newHTTP(false), single: newHTTP(true)}
}

func newHTTP(single bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives:   single,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdle,
			IdleConnTimeout:     idleTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Request is one request to the service.
type Request struct {
	ID     id.Request
	Method string
	// Path is the path and the query. It must begin with a slash.
	Path       string
	Header     http.Header
	Body       []byte
	Repeatable bool
}

// Do sends a request and reads the complete reply. The error is an *Error;
// its kind is NotSent only if no connection to the service was made.
func (c *Client) Do(ctx context.Context, r Request) (*answer.Reply, error) {
	const op = "Client.Do"
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.request(ctx, r)
	if err != nil {
		return nil, fault.Wrap(op, NotSent, err)
	}
	client := c.single
	if r.Repeatable {
		client = c.pooled
	}
	resp, err := client.Do(req)
	if err != nil {
		if !connected.Load() {
			return nil, fault.Wrap(op, NotSent, err)
		}
		return nil, fault.Wrap(op, ResponseLost, err)
	}
	defer resp.Body.Close()
	return readReply(r.ID, resp)
}

func (c *Client) request(ctx context.Context, r Request) (*http.Request, error) {
	if !strings.HasPrefix(r.Path, "/") {
		return nil, fault.New("Client.request", NotSent, "path is %q, want a slash first", r.Path)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	req.Header = endToEnd(r.Header)
	// The caller's API key is only for foxtailward and not for the service.
	req.Header.Del("Authorization")
	req.Header.Set(RequestIDHeader, string(r.ID))
	return req, nil
}

func readReply(request id.Request, resp *http.Response) (*answer.Reply, error) {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return nil, fault.New("Client.Do", ResponseLost, "the service answered with status %03d, want %d to %d", resp.StatusCode, minStatus, maxStatus)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxReplyBytes+1))
	if err != nil {
		return nil, fault.Wrap("Client.Do", ResponseLost, err)
	}
	if len(body) > MaxReplyBytes {
		return &answer.Reply{
			Request: request,
			Status:  http.StatusBadGateway,
			Header:  http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
			Body: fmt.Appendf(nil, "the service ran the call and answered with status %d and more than %d bytes\n",
				resp.StatusCode, MaxReplyBytes),
		}, nil
	}
	if !delimited(resp) {
		return nil, fault.New("Client.Do", ResponseLost,
			"the service answered with status %d and neither a length nor chunks, so the end of its answer is not known",
			resp.StatusCode)
	}
	return &answer.Reply{Request: request, Status: resp.StatusCode, Header: endToEnd(resp.Header), Body: body}, nil
}

// delimited reports whether a response marks its own end. The end of the
// connection alone may also be the end of the service's process.
func delimited(resp *http.Response) bool {
	return resp.Request.Method == http.MethodHead || completion.FramingOf(resp) != completion.Connection
}

// hopByHop lists the headers that belong to a single connection (RFC 9110,
// section 7.6.1) and those that net/http sets itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEnd returns a copy of h without hop-by-hop headers.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// Health returns nil if the service accepts connections.
func (c *Client) Health(ctx context.Context) error {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.host)
	if err != nil {
		return fault.Wrap("Client.Health", NotSent, err)
	}
	return fault.Wrap("Client.Health", ResponseLost, conn.Close())
}
