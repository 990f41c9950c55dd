package soak

import (
	"bytes"
	"net/http"

	"foxtailward.example/foxtailward/internal/state/catalog"
)

// http10Share is the share of the attempts at streams that use HTTP/1.0.
const http10Share = 0.2

// usesHTTP10 draws whether an attempt uses HTTP/1.0.
func (c *client) usesHTTP10(q *request) bool {
	if !c.w.opts.HTTP10 || routeKindOf(q.path) != catalog.Streaming || c.random.Float64() >= http10Share {
		return false
	}
	c.w.history.count("sent over HTTP/1.0")
	return true
}

// exchangeHTTP10 sends a request over HTTP/1.0 and reads the head of its answer.
func (c *client) exchangeHTTP10(req *http.Request) (*http.Response, error) {
	var data bytes.Buffer
	// Writing to a buffer can't fail.
	_ = req.Write(&data)
	text := bytes.Replace(data.Bytes(), []byte(" HTTP/1.1\r\n"), []byte(" HTTP/1.0\r\n"), 1)
	if _, err := c.conn.Write(text); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.conn.r, req)
}
