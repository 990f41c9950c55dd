package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/protocol/eventstream"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/platform"
)

// Behaviour of clients.
const (
	plainTimeout = 1500 * time.Millisecond
	// plainObjective is the latency objective of the routes.
	plainObjective = 500 * time.Millisecond
	streamTimeout  = 12 * time.Second
	// responseSlack is how long a client waits for a response beyond the request's
	// timeout.
	responseSlack  = time.Second
	connectTimeout = time.Second
	// maxAttempts is how often a client sends a request that gets no answer.
	maxAttempts = 4
	// maxRetryPause is the longest time that a client waits before a retry.
	maxRetryPause = time.Second
	thinkTime     = 60 * time.Millisecond
	// requestsPerDisconnect is the average number of requests for each one whose
	// client disconnects before the answer.
	requestsPerDisconnect = 25
	promptTokens          = 400
	// quarantineReason is the body of the refusal of a request that crashes targets.
	quarantineReason = "quarantine"
	// unsafeShare and safeShare are shares of all requests. The rest are streams.
	unsafeShare = 0.45
	safeShare   = 0.25
)

// client sends requests one after the other. It reuses its connection until the
// entry closes it.
type client struct {
	w            *world
	name         string
	random       *rand.Rand
	conn         *clientConn
	requestCount int
	// brokeOff is the entry that broke off the last stream; nil for none.
	brokeOff *process
}

type clientConn struct {
	net.Conn
	r     *bufio.Reader
	entry *process
	// used is set once the connection has carried a request.
	used bool
}

func newClient(w *world, i int) *client {
	return &client{w: w, name: fmt.Sprintf("c%d", i), random: rand.New(rand.NewPCG(w.opts.Seed, clientRandomStream+uint64(i)))}
}

// run sends requests until ctx ends. It completes the request in progress.
func (c *client) run(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		c.sendShaped(c.choosePath(), c.chooseShape())
		time.Sleep(time.Duration(c.random.Float64() * 2 * float64(thinkTime)))
	}
}

// choosePath returns a random route's path prefix for the next request.
func (c *client) choosePath() string {
	if c.w.opts.resumesOften() && c.random.Float64() < streamShare {
		return streamPath
	}
	switch share := c.random.Float64(); {
	case share < unsafeShare:
		return unsafePath
	case share < unsafeShare+safeShare:
		return safePath
	}
	return streamPath
}

// chooseShape returns the shape of the next request; nil for the usual one.
func (c *client) chooseShape() *shape {
	if (c.w.opts.ProcessEnds || c.w.opts.LeavingEnds) && c.random.Float64() < shapedShare {
		return c.newShape()
	}
	return nil
}

func (c *client) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func newClientConn(conn net.Conn, entry *process) *clientConn {
	return &clientConn{Conn: conn, r: bufio.NewReader(conn), entry: entry}
}

// request is one request, which may be sent in several attempts.
type request struct {
	path, body string
	// shape says how it is sent and answered; nil for the usual way.
	shape     *shape
	startedAt time.Time
	// sentAt is when the last attempt was sent.
	sentAt time.Time
	// lastEvent is the number of the last event that the client has received.
	lastEvent int
	// countedAfter is the event after which a resumption counts already, whose further tries count
	// only if they go on. Otherwise each try counts.
	countedAfter int
	// gotAll is set once the client has received the last event.
	gotAll bool
	// gotAllAtLeaving is set once it has received it from an engine that was leaving.
	gotAllAtLeaving bool
	// began is the attempt that brought the first event, and software its version.
	began    direct.AttemptID
	software id.SoftwareVersion
	// lastBrought is the last attempt that brought an event, and naming says which attempt a
	// resumption names.
	lastBrought direct.AttemptID
	naming      naming
	// beside is set for a resumption beside another connection.
	beside bool
	// disconnectAt is when the client disconnects without waiting for the answer. The
	// zero time means never.
	disconnectAt time.Time
	// lastResult describes how the last attempt failed.
	lastResult string
}

// send sends a request up to maxAttempts times. It returns false if the request got
// no answer although the client waited for one.
func (c *client) send(prefix string) bool { return c.sendShaped(prefix, nil) }

// sendShaped does the same with a request of a shape.
func (c *client) sendShaped(prefix string, form *shape) bool {
	c.requestCount++
	q := &request{path: prefix + strconv.Itoa(c.requestCount), body: c.w.pages.bodyOf(&c.w.opts, fmt.Sprintf("%s-%d", c.name, c.requestCount)), shape: form, startedAt: time.Now()}
	if form != nil {
		q.path += "?" + form.query()
	}
	if form == nil && c.random.IntN(requestsPerDisconnect) == 0 {
		q.disconnectAt = q.startedAt.Add(time.Duration(c.random.Float64() * float64(time.Second)))
	}
	for range c.attempts() {
		result := c.attempt(q)
		switch result.outcome {
		case answered:
			c.w.history.count("answered " + prefix)
			return true
		case disconnected:
			c.w.history.count("left " + prefix)
			return true
		case failed:
			c.recordUnserved(q)
			return false
		}
		time.Sleep(min(result.pause, maxRetryPause))
	}
	c.recordUnserved(q)
	return false
}

// attempts returns how often the client sends a request that gets no answer.
func (c *client) attempts() int {
	switch {
	case c.w.opts.AllKilled:
		return allKilledAttempts
	case c.w.opts.Unrecorded:
		return unrecordedAttempts
	}
	return maxAttempts
}

// recordUnserved counts a request that got no answer. If no fault was active, this
// is a violation. Requests of a shape may be late by themselves, and none is served while
// all entries are being stopped.
func (c *client) recordUnserved(q *request) {
	c.w.history.count("unserved")
	now := time.Now()
	excused := c.w.faultWindows.overlap(q.startedAt, now) || c.w.outages.windows.overlap(q.startedAt, now)
	if q.shape == nil && !c.w.opts.SafetyOnly && !excused {
		c.w.history.recordViolation(RequestsServed, "", "request %s of client %s got no answer in %v although no fault was active: %s", q.path, c.name, time.Since(q.startedAt), q.lastResult)
	}
}

// outcome is the result of an attempt.
type outcome int

const (
	// answered means that the request is complete. A failure reported by the target
	// counts as an answer.
	answered outcome = iota
	// retry means that the request may be sent again after a pause.
	retry
	// failed means that the request got no answer and must not be sent again.
	failed
	// disconnected means that the client has disconnected by itself.
	disconnected
)

type attemptResult struct {
	outcome outcome
	pause   time.Duration
}

// attempt sends the request once and counts whether its stream began or went on.
func (c *client) attempt(q *request) attemptResult {
	if err := c.connect(); err != nil {
		q.lastResult = "connecting failed: " + err.Error()
		return attemptResult{retry, thinkTime}
	}
	before := q.lastEvent
	c.w.trackUnrecorded(q, c.conn.entry.name)
	ended := c.w.trackStream(q, c.conn.entry.name)
	result := c.attemptConnected(q)
	ended(q.lastEvent > before)
	return result
}

// attemptConnected sends the request once over the open connection.
func (c *client) attemptConnected(q *request) attemptResult {
	attempt := direct.AttemptID(fmt.Sprintf("%016x", c.random.Uint64()))
	used := c.conn.used
	c.conn.used = true
	sentAt := time.Now()
	c.w.history.recordSent(attempt, sentAttempt{sentAt: sentAt, path: q.path, body: q.body, account: account, entry: c.conn.entry.name})
	deadline := time.Now().Add(requestTimeout(q.path) + responseSlack)
	if !q.disconnectAt.IsZero() {
		deadline = q.disconnectAt
	}
	// If the connection is closed already, the next read fails.
	_ = c.conn.SetDeadline(deadline)
	q.sentAt = sentAt
	res, err := c.exchange(attempt, q)
	if err != nil {
		return c.connectionLost(attempt, q, used, err)
	}
	defer res.Body.Close()
	return c.checkResponse(attempt, q, res)
}

func requestTimeout(path string) time.Duration {
	switch {
	case routeKindOf(path) == catalog.Streaming:
		return streamTimeout
	case strings.HasPrefix(path, slowPath):
		return slowTimeout
	}
	return plainTimeout
}

// eventCount returns the number of events of the request's stream.
func (q *request) eventCount() int {
	if q.shape != nil {
		return q.shape.events
	}
	return streamEvents
}

// connect opens a connection to a random entry in rotation, unless the client has
// one.
func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	entries := c.otherEntries(c.w.inRotation())
	entry := entries[c.random.IntN(len(entries))]
	conn, err := net.DialTimeout("tcp", entry.clients.address(), connectTimeout)
	if err != nil {
		return err
	}
	c.conn = newClientConn(conn, entry)
	return nil
}

func (c *client) exchange(attempt direct.AttemptID, q *request) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+routeHost+q.path, bytes.NewReader([]byte(q.body)))
	if err != nil {
		return nil, err
	}
	metadata := direct.RequestMetadata{Attempt: attempt, Timeout: requestTimeout(q.path), Key: primaryKey}
	if routeKindOf(q.path) == catalog.Streaming {
		metadata.PromptTokens, metadata.OutputTokens, metadata.PromptParts = promptTokens, q.eventCount(), c.w.promptParts(q.body)
	}
	if q.lastEvent > 0 {
		metadata.LastEventID, metadata.Resumes = direct.EventID(strconv.Itoa(q.lastEvent)), q.named()
	}
	platform.EncodeRequestMetadata(req.Header, &metadata)
	if c.usesHTTP10(q) {
		return c.exchangeHTTP10(req)
	}
	if q.shape != nil && q.shape.bodyDelay > 0 {
		defer c.writeLate(req, q.shape)()
	} else if err := req.Write(c.conn); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.conn.r, req)
}

// lateBytes is the number of bytes of a late body that are held back. They are part of the
// last chunk, or of the body.
const lateBytes = 8

// writeLate writes a request whose last bytes come late, while its answer is awaited. The
// returned function ends that.
func (c *client) writeLate(req *http.Request, form *shape) (stop func()) {
	if form.chunked {
		req.ContentLength, req.TransferEncoding = -1, []string{"chunked"}
	}
	var data bytes.Buffer
	// Writing to a buffer can't fail.
	_ = req.Write(&data)
	// The body's end, without the empty line before it, whatever its length.
	held := min(lateBytes, len(data.Bytes())-bytes.Index(data.Bytes(), []byte("\r\n\r\n"))-len("\r\n\r\n"))
	conn := c.conn
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		// An entry that refuses the request closes the connection; the answer tells.
		_, _ = conn.Write(data.Bytes()[:data.Len()-held])
		if sleep(ctx, form.bodyDelay) {
			_, _ = conn.Write(data.Bytes()[data.Len()-held:])
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// connectionLost returns the result of an attempt that got no complete answer.
func (c *client) connectionLost(attempt direct.AttemptID, q *request, used bool, err error) attemptResult {
	q.lastResult = fmt.Sprintf("attempt %s at entry %s lost its connection: %v", attempt, c.conn.entry.name, err)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.w.checkLost(attempt, q, c.conn.entry, err)
	}
	pause := thinkTime
	if q.lastEvent > 0 {
		c.brokeOff = c.conn.entry
		c.drawNaming(q)
		if c.w.opts.Unrecorded {
			pause = 0
		}
	}
	c.closeConn()
	if !q.disconnectAt.IsZero() && !time.Now().Before(q.disconnectAt) {
		c.w.history.recordDisconnect(attempt)
		return attemptResult{outcome: disconnected}
	}
	// An entry may close an idle connection just as a new request arrives. In this case
	// it has not read the request, so even an unsafe one may be sent again.
	unread := used && c.w.history.runCount(attempt) == 0
	if !runsOnce(q.path) || unread {
		return attemptResult{retry, pause}
	}
	return attemptResult{outcome: failed}
}

// checkResponse reads a response, checks it, and returns the result of the attempt.
func (c *client) checkResponse(attempt direct.AttemptID, q *request, res *http.Response) attemptResult {
	metadata := platform.DecodeResponseMetadata(res)
	if res.StatusCode == http.StatusOK {
		return c.checkSuccess(attempt, q, res, metadata)
	}
	text, err := io.ReadAll(res.Body)
	if err != nil || res.Close {
		c.closeConn()
	}
	q.lastResult = fmt.Sprintf("attempt %s got status %d: %s", attempt, res.StatusCode, strings.TrimSpace(string(text)))
	if strings.TrimSpace(string(text)) == quarantineReason && c.w.crashingRequestFor(q.body) == nil {
		c.w.history.recordViolation(HarmlessAccepted, attempt, "%s", q.lastResult)
	}
	switch res.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.w.history.recordRefusal(attempt)
		return attemptResult{retry, retryAfter(res)}
	case http.StatusInternalServerError:
		return attemptResult{outcome: answered}
	case http.StatusUnauthorized, http.StatusNotFound:
		c.w.history.recordViolation(ConfigInForce, attempt, "%s", q.lastResult)
		return attemptResult{outcome: failed}
	}
	if !runsOnce(q.path) {
		return attemptResult{retry, thinkTime}
	}
	return attemptResult{outcome: failed}
}

func retryAfter(res *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	if err != nil {
		return thinkTime
	}
	return time.Duration(seconds * float64(time.Second))
}

// checkSuccess checks that a successful response is the target's complete answer to
// this attempt.
func (c *client) checkSuccess(attempt direct.AttemptID, q *request, res *http.Response, metadata direct.ResponseMetadata) attemptResult {
	if !metadata.Signed || metadata.Attempt != attempt {
		c.w.history.recordViolation(CompleteAnswer, attempt, "successful response names attempt %q, signed: %v", metadata.Attempt, metadata.Signed)
	}
	if routeKindOf(q.path) == catalog.Streaming {
		return c.readStream(attempt, q, res)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return c.connectionLost(attempt, q, false, err)
	}
	if want := plainAnswer(attempt, q.body); string(body) != want {
		c.w.history.recordViolation(CompleteAnswer, attempt, "response body is %q, want %q", body, want)
	}
	if res.Close {
		c.closeConn()
	}
	return attemptResult{outcome: answered}
}

// readStream reads a stream and checks that each event is the next expected one.
func (c *client) readStream(attempt direct.AttemptID, q *request, res *http.Response) attemptResult {
	events, planned := eventstream.NewReader(res.Body), c.drawSide(q)
	for {
		next, err := events.Next()
		switch {
		case err == io.EOF && q.lastEvent < q.eventCount():
			c.w.history.recordViolation(EventsInOrder, attempt, "stream ended without an error after event %d of %d", q.lastEvent, q.eventCount())
			return attemptResult{outcome: answered}
		case err == io.EOF:
			c.countUnframed(q, true)
			c.countAtLeaving(q, true)
			if res.Close {
				c.closeConn()
			}
			return attemptResult{outcome: answered}
		case err != nil:
			return c.connectionLost(attempt, q, false, err)
		}
		if !c.checkEvent(attempt, q, &next) {
			continue
		}
		if q.lastEvent++; q.lastEvent == q.eventCount() {
			c.countUnframed(q, false)
			c.countAtLeaving(q, false)
		}
		c.beginSide(planned, q)
	}
}
