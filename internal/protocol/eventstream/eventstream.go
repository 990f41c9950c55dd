// Package eventstream reads the events of a text/event-stream as they are, so
// that they can be passed on byte for byte and only whole.
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

// Kind is the kind of this package's errors.
type Kind string

// TooLong means that an event is longer than maxEvent.
const TooLong Kind = "tooLong"

// Error is this package's error.
type Error = fault.Error[Kind]

const (
	readBytes = 2 << 10
	// maxEvent bounds one event, in bytes.
	maxEvent = 1 << 20
)

// Event is one event with its closing blank line.
type Event struct {
	// ID is the value of the id field, or empty.
	ID string
	// Raw holds the event's bytes. It is valid until the next event is read.
	Raw []byte
}

// Number returns the id as a number, if it is one.
func (e *Event) Number() (int64, bool) {
	n, err := strconv.ParseInt(e.ID, 10, 64)
	return n, err == nil
}

// Reader reads events.
type Reader struct {
	r   *bufio.Reader
	raw []byte
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, readBytes)} }

// Next returns the next whole event. At the end of the stream it returns
// io.EOF, or io.ErrUnexpectedEOF if the stream ends within an event.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	e := Event{}
	for {
		start := len(r.raw)
		if err := r.line(); err != nil {
			return Event{}, r.ended(err)
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		if len(line) == 0 {
			e.Raw = r.raw
			return e, nil
		}
		if name, value, _ := bytes.Cut(line, []byte(":")); string(name) == "id" {
			e.ID = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}

// line appends one line to the event.
func (r *Reader) line() error {
	for {
		part, err := r.r.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if len(r.raw) > maxEvent {
			return fault.New("Reader.line", TooLong, "an event has over %d bytes", maxEvent)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func (r *Reader) ended(err error) error {
	if errors.Is(err, io.EOF) && len(r.raw) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
