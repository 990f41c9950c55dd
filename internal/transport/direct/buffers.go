package direct

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

const (
	// maxAnswerBytes limits the size of an answer. Answers are buffered completely, so
	// that an incomplete one can be replaced by another target's.
	maxAnswerBytes = 16 << 20
	// smallBodyBytes is the size up to which bodies are buffered whatever others
	// take. It is also the part in which larger ones are read.
	smallBodyBytes = 64 << 10
	// bufferedMemoryShare is the fraction of the process's memory for larger answers, and for
	// larger bodies of requests.
	bufferedMemoryShare = 0.2
	// defaultBufferedBytes is the same for a process without a memory limit.
	defaultBufferedBytes = 64 << 20
)

var (
	errBodyTooLong = errors.New("body exceeds the size limit for buffered bodies")
	errBuffersFull = errors.New("bodies together exceed the memory for buffered bodies")
)

// bodyBuffers limits the memory that all buffered bodies take together. It is safe for
// concurrent use.
type bodyBuffers struct {
	limit int64
	used  atomic.Int64
}

func newBodyBuffers(memoryMB float64) *bodyBuffers {
	if memoryMB == 0 {
		return &bodyBuffers{limit: defaultBufferedBytes}
	}
	return &bodyBuffers{limit: int64(bufferedMemoryShare * memoryMB * (1 << 20))}
}

// take takes n bytes, or gives them back if n is negative. It returns false if there is no
// room for them.
func (b *bodyBuffers) take(n int) bool {
	if b.used.Add(int64(n)) > b.limit && n > 0 {
		b.used.Add(-int64(n))
		return false
	}
	return true
}

// read reads a body of most bytes at most. release gives its memory back and must be called
// once the body is no longer needed, also after an error.
func (b *bodyBuffers) read(body io.Reader, most int) (data []byte, release func(), err error) {
	var buffer bytes.Buffer
	taken := 0
	release = func() { b.take(-taken) }
	for {
		n, err := io.CopyN(&buffer, body, smallBodyBytes)
		switch {
		case errors.Is(err, io.EOF):
			return buffer.Bytes(), release, nil
		case err != nil:
			return nil, release, err
		case buffer.Len() > most:
			return nil, release, errBodyTooLong
		case !b.take(int(n)):
			return nil, release, errBuffersFull
		}
		taken += int(n)
	}
}
