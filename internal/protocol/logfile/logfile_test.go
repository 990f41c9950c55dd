package logfile_test

import (
	"errors"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/protocol/logfile"
	"foxtailward.example/foxtailward/internal/state/fault"
)

func TestRead(t *testing.T) {
	const line = "time=2026-12-04T10:00:00.250Z level=info event=F0204 name=requestFinished request=a1 status=200\n"
	tests := []struct {
		name    string
		text    string
		want    int
		process logfile.Process
	}{
		{"a line", line, 1, "e1"},
		{"a line without a newline", strings.TrimSpace(line), 1, "e1"},
		{"a line after a process name", "   0.0145 edge-1 " + line, 1, "edge-1"},
		{"other output", "panic: no\n\ngoroutine 1\n", 0, ""},
		{"a line without an event", "time=2026-12-04T10:00:00.250Z level=info msg=hello\n", 0, ""},
		{"an invalid time", "time=yesterday event=F0204 name=x\n", 0, ""},
		{"an unclosed quote", "time=2026-12-04T10:00:00.250Z event=F0204 name=x error=\"oh\n", 0, ""},
		{"an overlong line", "time=2026-12-04T10:00:00.250Z event=F0204 name=x error=" + strings.Repeat("x", 300<<10) + "\n" + line, 1, "e1"},
		{"several lines", line + "\n" + line, 2, "e1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			lines, err := logfile.Read(strings.NewReader(tt.text), "e1")
			is.NoErr(err)
			is.Equal(len(lines), tt.want)
			if tt.want == 0 {
				return
			}
			is.Equal(lines[0].Process, tt.process)
			is.Equal(lines[0].Number, 1)
			is.Equal(lines[0].At, time.Date(2026, 12, 4, 10, 0, 0, 250_000_000, time.UTC))
			is.Equal(lines[0].Get("status"), "200")
			is.Equal(lines[0].Detail("request"), "status=200")
		})
	}
}

func TestReadError(t *testing.T) {
	_, err := logfile.Read(iotest.ErrReader(errors.New("disk error")), "e1")
	is.New(t).True(fault.Is(err, logfile.Unreadable))
}

// Logs of two entries. The clock of the entry that handled the first attempt is 40 s
// ahead of the clock of the entry that continued it.
const (
	firstEntry = `time=2026-12-04T10:00:01.000Z level=info event=F0503 name=revisionInForce version=1
time=2026-12-04T10:00:30.000Z level=info event=F0503 name=revisionInForce version=2
time=2026-12-04T10:00:40.000Z level=info event=F0200 name=requestAccepted request=a1 route=r version=2
time=2026-12-04T10:00:40.100Z level=info event=F0200 name=requestAccepted request=other route=r version=2
time=2026-12-04T10:00:41.000Z level=error event=F0401 name=zoneLost zone=z1 service=m
time=2026-12-04T10:00:41.000Z level=error event=F0401 name=zoneLost zone=z9 service=m
time=2026-12-04T10:00:41.200Z level=info event=F0313 name=sendEnded request=a1 target=t1 zone=z1 outcome=lost error="connection reset"
time=2026-12-04T10:00:41.300Z level=warn event=F0205 name=requestFailed request=a1 reason=streamBroken lastEvent=7
time=2026-12-04T10:00:59.000Z level=info event=F0503 name=revisionInForce version=3
`
	secondEntry = `time=2026-12-04T10:00:01.500Z level=info event=F0200 name=requestAccepted request=a2 route=r lastEvent=7
time=2026-12-04T10:00:01.510Z level=warn event=F0207 name=requestAdopted request=a2 holder=t2 handle=a1 lastEvent=7
time=2026-12-04T10:00:03.000Z level=info event=F0204 name=requestFinished request=a2 status=200
`
)

// TestLinesTrace checks that the attempts of a trace are in the order in which they
// were made, although the clocks disagree, and that each includes the context lines
// about its own targets and zones, and no others.
func TestLinesTrace(t *testing.T) {
	is := is.New(t)
	second, err := logfile.Read(strings.NewReader(secondEntry), "e2")
	is.NoErr(err)
	first, err := logfile.Read(strings.NewReader(firstEntry), "e1")
	is.NoErr(err)
	trace, ok := append(second, first...).Trace("a2")
	is.True(ok)
	is.Equal(trace.Outcome, "requestFinished")
	is.Equal(len(trace.Attempts), 2)
	is.Equal(names(trace.Attempts[0]), []string{"revisionInForce version=2", "requestAccepted", "zoneLost zone=z1", "sendEnded", "requestFailed"})
	is.Equal(names(trace.Attempts[1]), []string{"requestAccepted", "requestAdopted", "requestFinished"})

	trace, ok = first.Trace("a1")
	is.True(ok)
	is.Equal(trace.Outcome, "requestFailed")
	is.Equal(trace.Reason, "streamBroken")

	trace, ok = first.Trace("other")
	is.True(ok)
	is.Equal(trace.Outcome, "unfinished")

	_, ok = first.Trace("a9")
	is.True(!ok)
}

// names returns the event names of an attempt's lines, with the version or zone of
// its context lines.
func names(a logfile.Attempt) []string {
	var got []string
	for _, line := range a.Lines {
		name := line.Name
		if line.Get("request") == "" {
			name += " " + line.Detail("service")
		}
		got = append(got, name)
	}
	return got
}

// TestLinesTraceCycle guards against an infinite loop over requests that name each
// other as the previous attempt.
func TestLinesTraceCycle(t *testing.T) {
	is := is.New(t)
	lines, err := logfile.Read(strings.NewReader(
		"time=2026-12-04T10:00:01.510Z event=F0207 name=requestAdopted request=a handle=b\n"+
			"time=2026-12-04T10:00:01.510Z event=F0207 name=requestAdopted request=b handle=a\n"), "e")
	is.NoErr(err)
	trace, ok := lines.Trace("a")
	is.True(ok)
	is.Equal(len(trace.Attempts), 2)
}
