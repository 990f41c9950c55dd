package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/protocol/eventstream"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/platform"
)

// How clients ask.
const (
	plainTimeout  = 1500 * time.Millisecond
	streamTimeout = 12 * time.Second
	// answerSlack is what an answer may take beyond its timeout.
	answerSlack = time.Second
	connectTime = time.Second
	// attemptsEach is how often a client sends a request that is not answered.
	attemptsEach = 4
	// longestPause is what a client waits at most before it comes back.
	longestPause = time.Second
	thinkTime    = 60 * time.Millisecond
	// leaveEach is how many requests there are for one whose client leaves.
	leaveEach    = 25
	promptTokens = 400
	// unsafeShare and safeShare are parts of the requests; the rest are streams.
	unsafeShare = 0.45
	safeShare   = 0.25
)

// client sends one request after the other. It keeps its connection for as long
// as the entry does.
type client struct {
	w      *world
	name   string
	random *rand.Rand
	conn   *clientConn
	asked  int
}

type clientConn struct {
	net.Conn
	r     *bufio.Reader
	entry *process
	// used says that the connection carried a request before.
	used bool
}

func newClient(w *world, i int) *client {
	return &client{w: w, name: fmt.Sprintf("c%d", i), random: rand.New(rand.NewPCG(w.opts.Seed, clientStream+uint64(i)))}
}

// run asks until ctx ends. What was begun is finished.
func (c *client) run(ctx context.Context) {
	defer c.hangUp()
	for ctx.Err() == nil {
		c.ask(c.draw())
		time.Sleep(time.Duration(c.random.Float64() * 2 * float64(thinkTime)))
	}
}

// draw returns the path of the next request.
func (c *client) draw() string {
	switch drawn := c.random.Float64(); {
	case drawn < unsafeShare:
		return unsafePath
	case drawn < unsafeShare+safeShare:
		return safePath
	}
	return streamPath
}

func (c *client) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// request is one request with its attempts.
type request struct {
	path, body string
	begun      time.Time
	// last is the last event that the client has.
	last int
	// leaves is when the client leaves without waiting for the answer; zero for
	// never.
	leaves time.Time
	// said is what became of the last attempt.
	said string
}

// ask sends a request until it is answered, and reports whether it was.
func (c *client) ask(prefix string) bool {
	c.asked++
	q := &request{path: prefix + strconv.Itoa(c.asked), body: fmt.Sprintf("%s-%d", c.name, c.asked), begun: time.Now()}
	if c.random.IntN(leaveEach) == 0 {
		q.leaves = q.begun.Add(time.Duration(c.random.Float64() * float64(time.Second)))
	}
	for range attemptsEach {
		end := c.attempt(q)
		switch end.outcome {
		case answered:
			c.w.ledger.count("answered " + prefix)
			return true
		case gone:
			c.w.ledger.count("left " + prefix)
			return true
		case failed:
			c.unserved(q)
			return false
		}
		time.Sleep(min(end.pause, longestPause))
	}
	c.unserved(q)
	return false
}

// unserved notes a request that got no answer. Outside of faults there is none.
func (c *client) unserved(q *request) {
	c.w.ledger.count("unserved")
	if !c.w.opts.SafetyOnly && !c.w.windows.overlap(q.begun, time.Now()) {
		c.w.ledger.breaks(RequestsServed, "", "%s of %s got no answer in %v without a fault: %s", q.path, c.name, time.Since(q.begun), q.said)
	}
}

// outcome says what became of an attempt.
type outcome int

const (
	// answered requests are done, also by a target's own failure.
	answered outcome = iota
	// again says that the request may be sent again, after a pause.
	again
	// failed requests may not be sent again.
	failed
	// gone says that the client has left.
	gone
)

type end struct {
	outcome outcome
	pause   time.Duration
}

// attempt sends the request once.
func (c *client) attempt(q *request) end {
	attempt := direct.AttemptID(fmt.Sprintf("%016x", c.random.Uint64()))
	if err := c.connect(); err != nil {
		q.said = "no connection: " + err.Error()
		return end{again, thinkTime}
	}
	used := c.conn.used
	c.conn.used = true
	c.w.ledger.sends(attempt, sent{at: time.Now(), path: q.path, body: q.body, account: account})
	deadline := time.Now().Add(timeoutOf(q.path) + answerSlack)
	if !q.leaves.IsZero() {
		deadline = q.leaves
	}
	// A connection that has ended fails at the next read.
	_ = c.conn.SetDeadline(deadline)
	res, err := c.exchange(attempt, q)
	if err != nil {
		return c.broken(attempt, q, used, err)
	}
	defer res.Body.Close()
	return c.judge(attempt, q, res)
}

func timeoutOf(path string) time.Duration {
	if repeatOf(path) == catalog.Streaming {
		return streamTimeout
	}
	return plainTimeout
}

// connect opens a connection to an entry in rotation, unless there is one.
func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	entries := c.w.inRotation()
	entry := entries[c.random.IntN(len(entries))]
	conn, err := net.DialTimeout("tcp", entry.clients.address(), connectTime)
	if err != nil {
		return err
	}
	c.conn = &clientConn{Conn: conn, r: bufio.NewReader(conn), entry: entry}
	return nil
}

func (c *client) exchange(attempt direct.AttemptID, q *request) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+routeHost+q.path, bytes.NewReader([]byte(q.body)))
	if err != nil {
		return nil, err
	}
	ask := direct.RequestMetadata{Attempt: attempt, Timeout: timeoutOf(q.path), Key: mainKey}
	if repeatOf(q.path) == catalog.Streaming {
		ask.PromptTokens, ask.OutputTokens, ask.PromptID = promptTokens, streamEvents, q.body
	}
	if q.last > 0 {
		ask.LastEventID = direct.EventID(strconv.Itoa(q.last))
	}
	platform.EncodeRequestMetadata(req.Header, &ask)
	if err := req.Write(c.conn); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.conn.r, req)
}

// broken says what follows from an attempt without a whole answer.
func (c *client) broken(attempt direct.AttemptID, q *request, used bool, err error) end {
	q.said = fmt.Sprintf("attempt %s at %s broke: %v", attempt, c.conn.entry.name, err)
	c.hangUp()
	if !q.leaves.IsZero() && !time.Now().Before(q.leaves) {
		c.w.ledger.left(attempt)
		return end{outcome: gone}
	}
	// An entry that closes a kept connection may do so as a request arrives; it
	// has not read it then.
	unread := used && c.w.ledger.ranAt(attempt) == 0
	if repeatOf(q.path) != catalog.Unsafe || unread {
		return end{again, thinkTime}
	}
	return end{outcome: failed}
}

// judge reads an answer and checks it.
func (c *client) judge(attempt direct.AttemptID, q *request, res *http.Response) end {
	note := platform.DecodeResponseMetadata(res)
	if res.StatusCode == http.StatusOK {
		return c.success(attempt, q, res, note)
	}
	text, err := io.ReadAll(res.Body)
	if err != nil || res.Close {
		c.hangUp()
	}
	q.said = fmt.Sprintf("attempt %s got %d %s", attempt, res.StatusCode, strings.TrimSpace(string(text)))
	switch res.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.w.ledger.refused(attempt)
		return end{again, retryAfter(res)}
	case http.StatusInternalServerError:
		return end{outcome: answered}
	case http.StatusUnauthorized, http.StatusNotFound:
		c.w.ledger.breaks(ConfigInForce, attempt, "%s", q.said)
		return end{outcome: failed}
	}
	if repeatOf(q.path) != catalog.Unsafe {
		return end{again, thinkTime}
	}
	return end{outcome: failed}
}

func retryAfter(res *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	if err != nil {
		return thinkTime
	}
	return time.Duration(seconds * float64(time.Second))
}

// success checks an answer that claims to be a target's whole one.
func (c *client) success(attempt direct.AttemptID, q *request, res *http.Response, note direct.ResponseMetadata) end {
	if !note.Signed || note.Attempt != attempt {
		c.w.ledger.breaks(CompleteAnswer, attempt, "success to attempt %q, signed %v", note.Attempt, note.Signed)
	}
	if repeatOf(q.path) == catalog.Streaming {
		return c.readStream(attempt, q, res)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return c.broken(attempt, q, false, err)
	}
	if want := plainAnswer(attempt, q.body); string(body) != want {
		c.w.ledger.breaks(CompleteAnswer, attempt, "got %q, want %q", body, want)
	}
	if res.Close {
		c.hangUp()
	}
	return end{outcome: answered}
}

// readStream reads events and checks that each is the next one.
func (c *client) readStream(attempt direct.AttemptID, q *request, res *http.Response) end {
	events := eventstream.NewReader(res.Body)
	for {
		next, err := events.Next()
		switch {
		case err == io.EOF && q.last < streamEvents:
			c.w.ledger.breaks(EventsInOrder, attempt, "it ended as whole after event %d of %d", q.last, streamEvents)
			return end{outcome: answered}
		case err == io.EOF:
			if res.Close {
				c.hangUp()
			}
			return end{outcome: answered}
		case err != nil:
			return c.broken(attempt, q, false, err)
		}
		if want := eventOf(q.body, q.last+1); string(next.Raw) != want {
			c.w.ledger.breaks(EventsInOrder, attempt, "got event %q, want %q", next.Raw, want)
		}
		q.last++
	}
}
