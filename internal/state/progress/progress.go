// Package progress limits transfers by their progress rather than by their whole
// duration: how long a transfer may take depends on its size and on the links, which
// neither side knows, but a peer that has stopped sending or reading is noticed at
// once.
//
// # Usage
//
//	ctx, guard := progress.NewGuard(ctx, firstByteTimeout)
//	defer guard.Stop()
//	res, err := client.Do(req.WithContext(ctx))
//	body, err := guard.ReadAll(res.Body, maxBytes, nil)
//
// On the sending side:
//
//	err := progress.Write(w, body)
package progress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
)

// Kind is the kind of this package's errors.
type Kind string

const (
	// Stalled means that the peer has stopped sending or reading.
	Stalled Kind = "stalled"
	// TooLarge means that a body exceeds its limit.
	TooLarge Kind = "tooLarge"
	// Broken means that the connection ended within a body.
	Broken Kind = "broken"
)

// Error is this package's error.
type Error = fault.Error[Kind]

const (
	// SliceBytes is the part of a transfer that must pass within SliceTimeout.
	SliceBytes = 16 << 10
	// SliceTimeout is the time within which such a part must pass.
	SliceTimeout = time.Second
	// minBytesPerSecond is the rate at which a request's body must be sent.
	minBytesPerSecond = 64 << 10
)

var errStalled = errors.New("no progress")

// SendTime returns the time in which a body of this size can be sent over any link
// that counts as working.
func SendTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / minBytesPerSecond
}

// Guard ends the context of a transfer that makes no progress.
type Guard struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// NewGuard returns a context that ends unless ReadAll is called within timeout.
func NewGuard(ctx context.Context, timeout time.Duration) (context.Context, *Guard) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(errStalled) })
	return ctx, &Guard{timer, cancel}
}

// Stop releases the guard's resources. It ends the context.
func (g *Guard) Stop() {
	g.timer.Stop()
	g.cancel(nil)
}

// ReadAll reads a body of at most limit bytes, each slice of which must arrive within
// SliceTimeout. Before each further slice it calls proceed, unless that is nil, and
// gives up with its error. The time that proceed takes does not count.
func (g *Guard) ReadAll(body io.Reader, limit int, proceed func() error) ([]byte, error) {
	const op = "Guard.ReadAll"
	var read bytes.Buffer
	for {
		g.timer.Reset(SliceTimeout)
		_, err := io.CopyN(&read, body, SliceBytes)
		g.timer.Stop()
		switch {
		case errors.Is(err, io.EOF):
			return read.Bytes(), nil
		case err != nil:
			return read.Bytes(), fault.New(op, Broken, "after %d bytes: %v", read.Len(), err)
		case read.Len() > limit:
			return read.Bytes(), fault.New(op, TooLarge, "more than %d bytes", limit)
		}
		if proceed == nil {
			continue
		}
		if err := proceed(); err != nil {
			return read.Bytes(), err
		}
	}
}

// Write writes an answer's body, each slice of which must be read within SliceTimeout.
func Write(w http.ResponseWriter, body []byte) error {
	const op = "progress.Write"
	rc := http.NewResponseController(w)
	for len(body) > 0 {
		n := min(SliceBytes, len(body))
		if err := rc.SetWriteDeadline(time.Now().Add(SliceTimeout)); err != nil {
			return fault.Wrap(op, Broken, err)
		}
		if _, err := w.Write(body[:n]); err != nil {
			return fault.Wrap(op, Stalled, err)
		}
		if err := rc.Flush(); err != nil {
			return fault.Wrap(op, Stalled, err)
		}
		body = body[n:]
	}
	return nil
}
