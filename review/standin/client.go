package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// client is a channel of a client to an entry. It is kept for several requests.
type client struct {
	w    *world
	conn net.Conn
	r    *bufio.Reader
}

// request is one client attempt.
type request struct {
	attempt string
	method  string
	path    string
	prompt  int
	output  int
	part    string
	// after is the last event of an earlier attempt, and resumes that attempt.
	after   string
	resumes string
	body    string
}

// result is what a client saw of an answer.
type result struct {
	request
	status int
	// lastID is the id of the last event, and events the number of events.
	lastID string
	events int
	// foreign lists the events that belong to another request.
	foreign []string
	// complete is set if the answer came to its end.
	complete bool
	err      error
	// retryAfter is what a refusal says.
	retryAfter time.Duration
	sentAt     time.Time
	endedAt    time.Time
}

// dial opens a channel to an entry.
func (w *world) dial(e *entry) (*client, error) {
	c, err := net.DialTimeout("tcp", e.clients, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{w: w, conn: c, r: bufio.NewReader(c)}, nil
}

// deadline is the time budget of a client attempt.
const deadline = 25 * time.Second

// do sends a request and reads the answer to its end.
func (c *client) do(q request) (res result) {
	res = result{request: q, sentAt: time.Now()}
	defer func() {
		res.endedAt = time.Now()
		c.w.record("client: %s %s status %d, %d events, last %q, complete %v, err %v", q.method, q.attempt, res.status, res.events, res.lastID, res.complete, res.err)
	}()
	c.w.record("client sends %s %s %s", q.method, q.path, q.attempt)
	if res.err = c.send(q); res.err != nil {
		return res
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(deadline + 2*time.Second))
	answer, err := http.ReadResponse(c.r, &http.Request{Method: q.method})
	if err != nil {
		res.err = err
		return res
	}
	defer answer.Body.Close()
	res.status = answer.StatusCode
	if seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil {
		res.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if answer.Header.Get("Content-Type") != "text/event-stream" {
		_, res.err = io.ReadAll(answer.Body)
		res.complete = res.err == nil
		return res
	}
	res.readEvents(answer.Body)
	return res
}

func (c *client) send(q request) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Foxtailward-Attempt-Id: %s\r\n", q.method, q.path, routeHost, q.attempt)
	fmt.Fprintf(&b, "Authorization: Token %s\r\nX-Foxtailward-Deadline-Ms: %d\r\n", key, deadline.Milliseconds())
	if q.part != "" {
		fmt.Fprintf(&b, "X-Foxtailward-Model: m\r\nX-Foxtailward-Token-Count: %d,%d\r\n", q.prompt, q.output)
		fmt.Fprintf(&b, "X-Foxtailward-Prompt-Prefix: 5c1e07a2:50,%s:%d\r\n", q.part, q.prompt-50)
	}
	if q.after != "" {
		fmt.Fprintf(&b, "Last-Event-Id: %s\r\nResumes: %s\r\n", q.after, q.resumes)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(q.body), q.body)
	_, err := io.WriteString(c.conn, b.String())
	return err
}

// readEvents reads a stream to its end.
func (res *result) readEvents(body io.Reader) {
	r := bufio.NewReader(body)
	for {
		line, err := r.ReadString('\n')
		line = strings.TrimSpace(line)
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			res.events++
			res.lastID = id
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok && data != res.part+"/"+res.lastID {
			res.foreign = append(res.foreign, data)
		}
		if errors.Is(err, io.EOF) {
			res.complete = true
			return
		}
		if err != nil {
			res.err = err
			return
		}
	}
}

func (c *client) close() { _ = c.conn.Close() }
