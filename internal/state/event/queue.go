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
	// maxQueuedLines is the capacity of the queue.
	maxQueuedLines = 4096
	// reservedLines is the part of the queue reserved for warnings and errors, so
	// that a flood of lines about successes does not crowd out failures.
	reservedLines = maxQueuedLines / 4
	// maxBatchBytes is the size of a batch from which no more queued lines are added
	// to it.
	maxBatchBytes = 32 << 10
)

// Queue writes log lines asynchronously, so that no caller waits for the writer.
// If lines come faster than they can be written, lines of the levels debug and
// info are dropped first, then lines of all levels. A linesDropped event reports
// how many were dropped.
type Queue struct {
	w       io.Writer
	clock   clockwork.Clock
	lines   chan []byte
	dropped atomic.Int64
	// reported is how many of the dropped lines linesDropped events have reported.
	reported int64
	done     chan struct{}
}

// NewQueue returns a Queue that writes to w while Run runs.
func NewQueue(w io.Writer, clock clockwork.Clock) *Queue {
	return &Queue{w: w, clock: clock, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
}

// Log returns a Log that writes to the queue.
func (q *Queue) Log() *Log {
	l := NewLog(log.NewLogfmtLogger(q), q.clock)
	l.queue = q
	return l
}

// Dropped returns the number of lines that were dropped.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Write queues one line, or drops it if the queue is full. It never blocks and
// never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// accept reports whether a line of the level may be queued now. If not, it counts
// the line as dropped.
func (q *Queue) accept(level Level) bool {
	if level == Warn || level == Error || len(q.lines) < maxQueuedLines-reservedLines {
		return true
	}
	q.dropped.Add(1)
	return false
}

// Run writes lines until ctx is done, and then the lines that are still queued.
func (q *Queue) Run(ctx context.Context) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.writeBatch(line)
		case <-ctx.Done():
			q.drain()
			return
		}
	}
}

// Done returns a channel that is closed when Run has written the last line.
func (q *Queue) Done() <-chan struct{} { return q.done }

func (q *Queue) drain() {
	for {
		select {
		case line := <-q.lines:
			q.writeBatch(line)
		default:
			return
		}
	}
}

// writeBatch writes a line and the lines queued behind it in one write, and then
// reports lines dropped since the last report.
func (q *Queue) writeBatch(batch []byte) {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-q.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	// A failure to write the log must not stop the service.
	_, _ = q.w.Write(batch)
	if dropped := q.dropped.Load(); dropped > q.reported {
		unreported := dropped - q.reported
		q.reported = dropped
		_, _ = q.w.Write(q.droppedLine(unreported))
	}
}

func (q *Queue) droppedLine(n int64) []byte {
	var line bytes.Buffer
	NewLog(log.NewLogfmtLogger(&line), q.clock).Emit(LinesDropped, "lines", fmt.Sprint(n))
	return line.Bytes()
}
