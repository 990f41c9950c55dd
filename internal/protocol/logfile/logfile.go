// Package logfile reads the lines that foxtailward's processes log, and finds
// what they tell of one request.
//
// # Usage
//
//	var lines logfile.Lines
//	more, err := logfile.Read(file, "entry-1")
//	lines = append(lines, more...)
//	story, ok := lines.Story("9c41d07be2a35f68")
//
// Processes' clocks differ. The lines of one process are taken in the order in
// which they were written; lines of several processes are never put in order by
// their times. What went on in one process before it did in another follows from
// the requests: one that goes on from a copy names the attempt before it.
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

// Kind is the kind of this package's errors.
type Kind string

// Unreadable means that a log could not be read to its end.
const Unreadable Kind = "unreadable"

// Error is this package's error.
type Error = fault.Error[Kind]

// maxLine bounds a line; a longer one is left out.
const maxLine = 256 << 10

// Process names the process that wrote a line.
type Process string

// Field is one field of a line.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is one logged event.
type Line struct {
	Process Process `json:"process"`
	// Number is the line's place in the process's log.
	Number int `json:"number"`
	// At is by the process's own clock.
	At time.Time `json:"at"`
	// Event is the event's number in the catalogue, as F0200; Name is its name.
	Event string `json:"event"`
	Name  string `json:"name"`
	// Fields are the others, in their order.
	Fields []Field `json:"fields"`
}

// Get returns a field's value, or "" where the line has none.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Detail returns the fields as text, without those that are named.
func (l *Line) Detail(without ...string) string {
	var parts []string
	for _, f := range l.Fields {
		if !slices.Contains(without, f.Key) {
			parts = append(parts, f.Key+"="+f.Value)
		}
	}
	return strings.Join(parts, " ")
}

// Lines are lines of one or more processes.
type Lines []Line

// Read reads the lines of a log. A log that gathers several processes has the
// process's name before each line, as its last word; it goes before the name
// that is given. What is no event is left out.
func Read(r io.Reader, name Process) (Lines, error) {
	var lines Lines
	numbers := map[Process]int{}
	in := bufio.NewReaderSize(r, maxLine)
	for {
		text, err := in.ReadString('\n')
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

// parse reads one line, and reports whether it is an event.
func parse(text string, name Process) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 || len(text) > maxLine {
		return Line{}, false
	}
	line := Line{Process: name}
	if before := strings.Fields(text[:start]); len(before) > 0 {
		line.Process = Process(before[len(before)-1])
	}
	d := logfmt.NewDecoder(strings.NewReader(text[start:]))
	if !d.ScanRecord() {
		return Line{}, false
	}
	for d.ScanKeyval() {
		line.set(string(d.Key()), string(d.Value()))
	}
	return line, d.Err() == nil && line.Event != "" && !line.At.IsZero()
}

func (l *Line) set(key, value string) {
	switch key {
	case "time":
		// A time that can't be read leaves the line out.
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
