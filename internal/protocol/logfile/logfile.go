// Package logfile parses the logs of foxtailward's processes and extracts the trace
// of one request from them.
//
// # Usage
//
//	var lines logfile.Lines
//	more, err := logfile.Read(file, "entry-1")
//	lines = append(lines, more...)
//	trace, ok := lines.Trace("9c41d07be2a35f68")
//
// The clocks of different processes differ. The lines of one process are kept in
// the order in which they were written. Lines of different processes are never
// ordered by time. Instead, the order of a client's attempts follows from the
// requests themselves: a request that continues from a copy names the attempt
// before it.
package logfile

import (
	"bufio"
	"errors"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"foxtailward.example/foxtailward/internal/state/fault"
)

// Kind classifies this package's errors.
type Kind string

// Unreadable means that reading a log failed before its end.
const Unreadable Kind = "unreadable"

// Error is the type of this package's errors.
type Error = fault.Error[Kind]

// maxLineBytes bounds the length of a line. Longer lines are skipped.
const maxLineBytes = 256 << 10

// Process is the name of the process that wrote a line.
type Process string

// Field is one key=value pair of a line.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is one logged event.
type Line struct {
	Process Process `json:"process"`
	// Number counts the events in the process's log, from 1.
	Number int `json:"number"`
	// At is the time by the process's own clock.
	At time.Time `json:"at"`
	// Event is the event's code in the catalogue, such as F0200; Name is its name.
	Event string `json:"event"`
	Name  string `json:"name"`
	// Fields are the remaining fields, in the order of the line.
	Fields []Field `json:"fields"`
}

// Get returns the value of the field with the key, or "" if the line has no such
// field.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Detail formats the fields as space-separated key=value pairs, except for those
// whose keys are excluded.
func (l *Line) Detail(excluded ...string) string {
	var parts []string
	for _, f := range l.Fields {
		if !slices.Contains(excluded, f.Key) {
			parts = append(parts, f.Key+"="+f.Value)
		}
	}
	return strings.Join(parts, " ")
}

// Lines holds log lines of one or more processes.
type Lines []Line

// Read parses the lines of a log. In a log of several processes, each line is
// preceded by text whose last word is the process's name; that name takes
// precedence over the parameter. Lines that are not events are skipped.
func Read(r io.Reader, name Process) (Lines, error) {
	var lines Lines
	numbers := map[Process]int{}
	reader := bufio.NewReaderSize(r, maxLineBytes)
	for {
		text, err := reader.ReadString('\n')
		if line, ok := parse(text, name); ok {
			numbers[line.Process]++
			line.Number = numbers[line.Process]
			lines = append(lines, line)
		}
		switch {
		case errors.Is(err, io.EOF):
			return lines, nil
		case err != nil:
			return nil, fault.Wrap("logfile.Read", Unreadable, err)
		}
	}
}

// parse parses one line and reports whether it is an event.
func parse(text string, name Process) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 || len(text) > maxLineBytes {
		return Line{}, false
	}
	line := Line{Process: name}
	if prefix := strings.Fields(text[:start]); len(prefix) > 0 {
		line.Process = Process(prefix[len(prefix)-1])
	}
	d := logfmt.NewDecoder(strings.NewReader(text[start:]))
	if !d.ScanRecord() {
		return Line{}, false
	}
	for d.ScanKeyval() {
		line.setField(string(d.Key()), string(d.Value()))
	}
	return line, d.Err() == nil && line.Event != "" && !line.At.IsZero()
}

func (l *Line) setField(key, value string) {
	switch key {
	case "time":
		// If the time is invalid, At stays zero and parse skips the line.
		l.At, _ = time.Parse(time.RFC3339, value)
	case "event":
		l.Event = value
	case "name":
		if l.Name == "" {
			l.Name = value
			return
		}
		l.Fields = append(l.Fields, Field{key, value})
	case "level":
	default:
		l.Fields = append(l.Fields, Field{key, value})
	}
}
