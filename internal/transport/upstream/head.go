package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
)

const (
	// maxHeadBytes limits the head of an answer, together with the informational
	// answers before it.
	maxHeadBytes = 64 << 10
	// protocolPrefix begins every answer.
	protocolPrefix = "HTTP/1."
	// minStatus and maxStatus are the range of statuses, by RFC 9110, section 15.
	minStatus = 100
	maxStatus = 599
	// protocolWithoutChunks begins the answers of the version that has no chunks.
	protocolWithoutChunks = "HTTP/1.0"
)

var (
	errSwitched    = errors.New("unexpected 101 Switching Protocols answer")
	errNoAnswer    = errors.New("bytes that begin no answer")
	errNoStatus    = errors.New("status of an answer is out of range")
	errOldChunks   = errors.New("chunks in an answer of HTTP/1.0")
	errHeadTooLong = errors.New("head of an answer exceeds its size limit")
)

// headLimiter limits the bytes that are read from a connection until the head of an
// answer is complete. What follows has no limit here.
type headLimiter struct {
	r io.Reader
	// left is the number of bytes that may still be read; negative for no limit.
	left int
	// copied gets what is read, unless it is nil.
	copied *bytes.Buffer
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, errHeadTooLong
	}
	if l.left > 0 && len(p) > l.left {
		p = p[:l.left]
	}
	n, err := l.r.Read(p)
	if l.left > 0 {
		l.left -= n
	}
	if l.copied != nil {
		// Writing to a buffer can't fail.
		_, _ = l.copied.Write(p[:n])
	}
	return n, err
}

// readHead reads the head of the final answer and skips informational ones. It gives up
// at the first byte that can't belong to an answer.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.limiter.left = maxHeadBytes
	defer func() { c.limiter.left = -1 }()
	for {
		if err := checkPrefix(c.reader); err != nil {
			return nil, err
		}
		res, err := c.readResponse(&http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		switch {
		case res.StatusCode < minStatus || res.StatusCode > maxStatus:
			return nil, errNoStatus
		case res.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitched
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
}

// readResponse reads one head. An answer of HTTP/1.0 has no chunks, but http.ReadResponse drops the
// header that announces them and returns their marks as part of the body.
func (c *conn) readResponse(r *http.Request) (*http.Response, error) {
	begin, err := c.reader.Peek(len(protocolWithoutChunks))
	if err != nil {
		return nil, err
	}
	if string(begin) != protocolWithoutChunks {
		return http.ReadResponse(c.reader, r)
	}
	// Peek returns what is buffered, so it can't fail.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.limiter.copied = bytes.NewBuffer(bytes.Clone(buffered))
	defer func() { c.limiter.copied = nil }()
	res, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return nil, err
	}
	read := c.limiter.copied.Bytes()
	return res, checkOldHead(read[:len(read)-c.reader.Buffered()])
}

// checkOldHead returns an error if a head of HTTP/1.0 announces chunks.
func checkOldHead(head []byte) error {
	lines := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	if _, err := lines.ReadLine(); err != nil {
		return err
	}
	header, err := lines.ReadMIMEHeader()
	if err != nil {
		return err
	}
	if _, announced := header["Transfer-Encoding"]; announced {
		return errOldChunks
	}
	return nil
}

// checkPrefix waits for the bytes with which an answer begins.
func checkPrefix(r *bufio.Reader) error {
	for n := 1; n <= len(protocolPrefix); n++ {
		begin, err := r.Peek(n)
		if err != nil {
			return err
		}
		if string(begin) != protocolPrefix[:n] {
			return errNoAnswer
		}
	}
	return nil
}
