package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// plainBudget is what clients give a plain request.
const plainBudget = time.Second

// plainAnswer is what a client got for a plain request.
type plainAnswer struct {
	status int
	body   string
	err    error
}

// get sends a safe request on the channel and reads its answer.
func (c *client) get(path string) plainAnswer {
	attempt, sent := newAttempt(), time.Now()
	var a plainAnswer
	_ = c.conn.SetDeadline(sent.Add(plainBudget))
	_, a.err = fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Foxtailward-Attempt-Id: %s\r\nX-Foxtailward-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n\r\n", path, routeHost, attempt, plainBudget.Milliseconds(), clientKey)
	if a.err == nil {
		c.readPlain(&a)
	}
	c.w.note("a client sent %s to %s at %.3f s: status %d, body %q, error %v", attempt, c.e.name, sent.Sub(c.w.began).Seconds(), a.status, a.body, a.err)
	return a
}

// readPlain reads an answer to its end.
func (c *client) readPlain(a *plainAnswer) {
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		a.err = err
		return
	}
	a.status = res.StatusCode
	body, err := io.ReadAll(res.Body)
	a.body, a.err = string(body), err
}
