// Package event numbers what foxtailward logs.
//
// Every log line carries the number and the name of an event of the
// catalogue, so that an operator can look it up in docs/EVENTS.md and a filter
// can rely on it. A test holds the page against the catalogue.
//
// # Usage
//
//	log := event.NewLog(logger, clock)
//	log.Emit(event.RouteChosen, "request", r, "target", t, "reason", "leastWait")
package event

import (
	"fmt"
	"io"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
)

// Level says who needs to see an event.
type Level string

// Levels, from the least to the most urgent.
const (
	Debug Level = "debug"
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Event is one entry of the catalogue.
type Event struct {
	// Number never changes its meaning and is never used again.
	Number int
	// Name is the event's short name in camel case.
	Name string
	// Level says who needs to see it.
	Level Level
	// Meaning is one sentence for operators.
	Meaning string
	// Action says what an operator does about it; "none" is common.
	Action string
}

// Code returns the event's number as log lines have it.
func (e Event) Code() string { return fmt.Sprintf("F%04d", e.Number) }

// Log writes events. A nil Log drops them.
type Log struct {
	logger log.Logger
	clock  clockwork.Clock
	// queue is nil for a Log whose callers wait for the writer.
	queue *Queue
}

// NewLog returns a Log that writes to logger and takes the time from clock.
func NewLog(logger log.Logger, clock clockwork.Clock) *Log {
	return &Log{logger: logger, clock: clock}
}

// NewLogfmtLog returns a Log that writes logfmt lines to w.
func NewLogfmtLog(w io.Writer, clock clockwork.Clock) *Log {
	return NewLog(log.NewLogfmtLogger(log.NewSyncWriter(w)), clock)
}

// With returns a Log that adds fields to each line.
func (l *Log) With(fields ...any) *Log {
	if l == nil {
		return nil
	}
	return &Log{logger: log.With(l.logger, fields...), clock: l.clock, queue: l.queue}
}

// Dropped returns the number of lines that were dropped since the start.
func (l *Log) Dropped() int64 {
	if l == nil || l.queue == nil {
		return 0
	}
	return l.queue.Dropped()
}

// Emit writes one line for e. The fields are pairs of a key in camel case and
// a value; values are never secrets.
func (l *Log) Emit(e Event, fields ...any) {
	if l == nil || (l.queue != nil && !l.queue.takes(e.Level)) {
		return
	}
	line := make([]any, 0, 8+len(fields))
	line = append(line,
		"time", l.clock.Now().UTC().Format("2006-01-02T15:04:05.000Z"),
		"level", string(e.Level),
		"event", e.Code(),
		"name", e.Name)
	// A log that cannot be written must not stop the service.
	_ = l.logger.Log(append(line, fields...)...)
}
