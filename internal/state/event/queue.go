package event

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
)

const (
	// queueLines bounds the lines that wait for the writer.
	queueLines = 4096
	// urgentLines is the part of the queue that only warnings and errors use, so
	// that a flood of successes does not crowd out failures.
	urgentLines = queueLines / 4
	// batchBytes is the size up to which waiting lines are written at once.
	batchBytes = 32 << 10
)

// Queue writes log lines without making anybody wait for the writer. When lines
// come faster than they are written, those of levels debug and info are dropped
// first, then all; a line says how many were dropped.
type Queue struct {
	w       io.Writer
	clock   clockwork.Clock
	lines   chan []byte
	dropped atomic.Int64
	// told is the number of dropped lines that a line has told.
	told int64
	done chan struct{}
}

// NewQueue returns a Queue that writes to w while Run runs.
func NewQueue(w io.Writer, clock clockwork.Clock) *Queue {
	return &Queue{w: w, clock: clock, lines: make(chan []byte, queueLines), done: make(chan struct{})}
}

// Log returns a Log whose lines go through the queue.
func (q *Queue) Log() *Log {
	l := NewLog(log.NewLogfmtLogger(q), q.clock)
	l.queue = q
	return l
}

// Dropped returns the number of lines that were dropped.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Write takes one line, or drops it when the queue is full. It never waits and
// never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// takes reports whether a line of the level may be queued now; otherwise it
// counts as dropped.
func (q *Queue) takes(level Level) bool {
	if level == Warn || level == Error || len(q.lines) < queueLines-urgentLines {
		return true
	}
	q.dropped.Add(1)
	return false
}

// Run writes lines until ctx ends, and then those that still wait.
func (q *Queue) Run(ctx context.Context) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.writeFrom(line)
		case <-ctx.Done():
			q.drain()
			return
		}
	}
}

// Done is closed when Run has written the last line.
func (q *Queue) Done() <-chan struct{} { return q.done }

func (q *Queue) drain() {
	for {
		select {
		case line := <-q.lines:
			q.writeFrom(line)
		default:
			return
		}
	}
}

// writeFrom writes a line and those that wait behind it, in one go.
func (q *Queue) writeFrom(batch []byte) {
	for len(batch) < batchBytes {
		select {
		case line := <-q.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	// A log that cannot be written must not stop the service.
	_, _ = q.w.Write(batch)
	if dropped := q.dropped.Load(); dropped > q.told {
		lost := dropped - q.told
		q.told = dropped
		_, _ = q.w.Write(q.droppedLine(lost))
	}
}

func (q *Queue) droppedLine(n int64) []byte {
	var line bytes.Buffer
	NewLog(log.NewLogfmtLogger(&line), q.clock).Emit(LinesDropped, "lines", fmt.Sprint(n))
	return line.Bytes()
}
