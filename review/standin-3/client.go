package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// attempts numbers the client attempts.
var attempts atomic.Int64

// newAttempt returns the id of a client attempt.
func newAttempt() string { return fmt.Sprintf("a%015x", attempts.Add(1)) }

// client keeps one channel to an entry.
type client struct {
	w    *world
	e    *entry
	conn net.Conn
	in   *bufio.Reader
}

// newClient opens a channel to an entry.
func newClient(w *world, e *entry) (*client, error) {
	conn, err := net.DialTimeout("tcp", e.clients, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{w: w, e: e, conn: conn, in: bufio.NewReader(conn)}, nil
}

// outcome is what a client got for an attempt.
type outcome struct {
	attempt string
	sent    time.Time
	ended   time.Time
	status  int
	// events counts the events, and last is the id of the last one.
	events int
	last   string
	// whole says that the answer was complete; otherwise err says how the channel ended.
	whole bool
	err   error
}

// timeBudget is what clients give a stream.
const timeBudget = 25 * time.Second

// stream sends a request for a stream and reads its answer. resumes and lastEvent are empty for a new one.
func (c *client) stream(path string, j *job, resumes, lastEvent string) outcome {
	body, err := json.Marshal(j)
	if err != nil {
		return outcome{err: err}
	}
	o := outcome{attempt: newAttempt(), sent: time.Now()}
	c.w.note("a client sends %s to %s: %s resumes %q after %q", o.attempt, c.e.name, body, resumes, lastEvent)
	_ = c.conn.SetDeadline(o.sent.Add(timeBudget))
	if _, err := io.WriteString(c.conn, streamRequest(path, o.attempt, string(body), resumes, lastEvent)); err != nil {
		o.err = err
	} else {
		c.read(&o)
	}
	o.ended = time.Now()
	c.w.note("the client of %s got status %d, %d events, whole %v, channel %v, after %.3f s", o.attempt, o.status, o.events, o.whole, o.err, o.ended.Sub(o.sent).Seconds())
	return o
}

// streamRequest returns the bytes of a request for a stream.
func streamRequest(path, attempt, body, resumes, lastEvent string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Foxtailward-Attempt-Id: %s\r\nX-Foxtailward-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n", path, routeHost, attempt, timeBudget.Milliseconds(), clientKey)
	fmt.Fprintf(&b, "X-Foxtailward-Model: m\r\nX-Foxtailward-Token-Count: 1460,840\r\nX-Foxtailward-Prompt-Prefix: 5c1e07a2:800,%s:660\r\n", attempt)
	if lastEvent != "" {
		fmt.Fprintf(&b, "Last-Event-Id: %s\r\nResumes: %s\r\n", lastEvent, resumes)
	}
	fmt.Fprintf(&b, "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}

// read reads an answer.
func (c *client) read(o *outcome) {
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		o.err = err
		return
	}
	o.status = res.StatusCode
	lines := bufio.NewReader(res.Body)
	for {
		line, err := lines.ReadString('\n')
		if id, ok := strings.CutPrefix(line, "id: "); ok && err == nil {
			o.events++
			o.last = strings.TrimSpace(id)
		}
		if errors.Is(err, io.EOF) {
			o.whole = true
			return
		}
		if err != nil {
			o.err = err
			return
		}
	}
}

func (c *client) close() { _ = c.conn.Close() }
