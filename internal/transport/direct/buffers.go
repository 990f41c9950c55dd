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
	// smallAnswerBytes is the size up to which answers are buffered whatever others
	// take. It is also the part in which larger ones are read.
	smallAnswerBytes = 64 << 10
	// bufferedMemoryShare is the fraction of the process's memory for larger answers.
	bufferedMemoryShare = 0.2
	// defaultBufferedBytes is the same for a process without a memory limit.
	defaultBufferedBytes = 64 << 20
)

var (
	errAnswerTooLong = errors.New("answer exceeds the size limit for buffered answers")
	errBuffersFull   = errors.New("answers together exceed the memory for buffered answers")
)

// answerBuffers limits the memory that all buffered answers take together. It is safe for
// concurrent use.
type answerBuffers struct {
	limit int64
	used  atomic.Int64
}

func newAnswerBuffers(memoryMB float64) *answerBuffers {
	if memoryMB == 0 {
		return &answerBuffers{limit: defaultBufferedBytes}
	}
	return &answerBuffers{limit: int64(bufferedMemoryShare * memoryMB * (1 << 20))}
}

// read reads a body. release gives its memory back and must be called once the body is no
// longer needed, also after an error.
func (b *answerBuffers) read(body io.Reader) (data []byte, release func(), err error) {
	var buffer bytes.Buffer
	taken := int64(0)
	release = func() { b.used.Add(-taken) }
	for {
		n, err := io.CopyN(&buffer, body, smallAnswerBytes)
		switch {
		case errors.Is(err, io.EOF):
			return buffer.Bytes(), release, nil
		case err != nil:
			return nil, release, err
		case buffer.Len() > maxAnswerBytes:
			return nil, release, errAnswerTooLong
		}
		taken += n
		if b.used.Add(n) > b.limit {
			return nil, release, errBuffersFull
		}
	}
}
