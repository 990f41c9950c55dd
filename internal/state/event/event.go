// Package event defines the events that foxtailward logs and writes them as log
// lines.
//
// Every log line carries the number and the name of an event of the catalogue,
// so that operators can look it up in docs/EVENTS.md and log filters can rely on
// it. A test checks that the page matches the catalogue.
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

// Level is the severity of an event.
type Level string

// Levels, from the least to the most severe.
const (
	Debug Level = "debug"
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Event is a kind of event that can be logged; the catalogue lists them all.
type Event struct {
	// Number never changes its meaning and is never reused.
	Number int
	// Name is the event's short name in camel case.
	Name  string
	Level Level
	// Meaning explains the event to operators in one sentence.
	Meaning string
	// Action says what an operator should do about the event; often "none".
	Action string
}

// Code returns the event's number in the form used in log lines, such as F0100.
func (e Event) Code() string { return fmt.Sprintf("F%04d", e.Number) }

// Log writes events as log lines. A nil Log discards them.
type Log struct {
	logger log.Logger
	clock  clockwork.Clock
	// queue is nil for a Log that writes synchronously.
	queue *Queue
}

// NewLog returns a Log that writes to logger and takes timestamps from clock.
func NewLog(logger log.Logger, clock clockwork.Clock) *Log {
	return &Log{logger: logger, clock: clock}
}

// NewLogfmtLog returns a Log that writes logfmt lines to w.
func NewLogfmtLog(w io.Writer, clock clockwork.Clock) *Log {
	return NewLog(log.NewLogfmtLogger(log.NewSyncWriter(w)), clock)
}

// With returns a Log that adds fields to every line.
func (l *Log) With(fields ...any) *Log {
	if l == nil {
		return nil
	}
	return &Log{logger: log.With(l.logger, fields...), clock: l.clock, queue: l.queue}
}

// Dropped returns the number of lines that the log's queue has dropped; 0 for a
// Log without a queue.
func (l *Log) Dropped() int64 {
	if l == nil || l.queue == nil {
		return 0
	}
	return l.queue.Dropped()
}

// Emit writes one line for e. The fields are alternating keys, in camel case,
// and values. Values must not contain secrets.
func (l *Log) Emit(e Event, fields ...any) {
	if l == nil || (l.queue != nil && !l.queue.accept(e.Level)) {
		return
	}
	line := make([]any, 0, 8+len(fields))
	line = append(line,
		"time", l.clock.Now().UTC().Format("2006-01-02T15:04:05.000Z"),
		"level", string(e.Level),
		"event", e.Code(),
		"name", e.Name)
	// A failure to write the log must not stop the service.
	_ = l.logger.Log(append(line, fields...)...)
}
