// Package eventstream splits a text/event-stream into events. It keeps their
// bytes unchanged, so that events can be forwarded exactly as received, and
// never returns an incomplete event.
//
// # Usage
//
//	r := eventstream.NewReader(body)
//	for {
//		e, err := r.Next()
//		if err == io.EOF { break }
//		…
//	}
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"foxtailward.example/foxtailward/internal/state/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// TooLong means that an event is longer than maxEventBytes.
	TooLong Kind = "tooLong"
	// NoRoom means that there is no memory for an event.
	NoRoom Kind = "noRoom"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	readBufferBytes = 2 << 10
	// maxEventBytes limits the size of one event.
	maxEventBytes = 1 << 20
	// takeBytes is the part in which the memory of large events is taken. Smaller events
	// need no room.
	takeBytes = 64 << 10
)

// Event is one event.
type Event struct {
	// ID is the value of the id field, or empty.
	ID string
	// Empty says that the event has no id, name or data: a comment, for instance, which keeps the
	// connection alive.
	Empty bool
	// Raw holds the event's bytes including the blank line that ends it. It is
	// valid until the next call of Reader.Next.
	Raw []byte
}

// Number returns the id as a number. It returns false if the id is not a number.
func (e *Event) Number() (int64, bool) {
	n, err := strconv.ParseInt(e.ID, 10, 64)
	return n, err == nil
}

// Reader reads the events of a stream.
type Reader struct {
	// Take takes memory for a large event and returns false if there is none; a negative
	// number gives it back. It may be nil.
	Take func(n int) bool

	r     *bufio.Reader
	raw   []byte
	taken int
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, readBufferBytes)} }

// Next returns the next complete event. At the end of the stream it returns
// io.EOF, or io.ErrUnexpectedEOF if the stream ends within an event.
func (r *Reader) Next() (Event, error) {
	r.Close()
	r.raw = r.raw[:0]
	e := Event{Empty: true}
	for {
		start := len(r.raw)
		if err := r.readLine(); err != nil {
			return Event{}, r.endError(err)
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		if len(line) == 0 {
			e.Raw = r.raw
			return e, nil
		}
		switch name, value, _ := bytes.Cut(line, []byte(":")); string(name) {
		case "id":
			e.ID, e.Empty = string(bytes.TrimPrefix(value, []byte(" "))), false
		case "data", "event":
			e.Empty = false
		}
	}
}

// readLine appends the next line to raw.
func (r *Reader) readLine() error {
	for {
		part, err := r.r.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if len(r.raw) > maxEventBytes {
			return fault.New("Reader.readLine", TooLong, "event exceeds %d bytes", maxEventBytes)
		}
		if !r.takeRoom() {
			return fault.New("Reader.readLine", NoRoom, "no memory for an event of over %d bytes", r.taken)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// takeRoom takes the memory that the current event has grown by. It returns false if there is
// none.
func (r *Reader) takeRoom() bool {
	for r.Take != nil && len(r.raw) > r.taken+takeBytes {
		if !r.Take(takeBytes) {
			return false
		}
		r.taken += takeBytes
	}
	return true
}

// Close gives back the memory of the last event, which must not be used any more.
func (r *Reader) Close() {
	if r.taken == 0 {
		return
	}
	r.Take(-r.taken)
	r.raw, r.taken = nil, 0
}

func (r *Reader) endError(err error) error {
	if errors.Is(err, io.EOF) && len(r.raw) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
