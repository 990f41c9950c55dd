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
		{"a line without its end", strings.TrimSpace(line), 1, "e1"},
		{"a process before it", "   0.0145 edge-1 " + line, 1, "edge-1"},
		{"something else", "panic: no\n\ngoroutine 1\n", 0, ""},
		{"no event", "time=2026-12-04T10:00:00.250Z level=info msg=hello\n", 0, ""},
		{"a time that is none", "time=yesterday event=F0204 name=x\n", 0, ""},
		{"an open quote", "time=2026-12-04T10:00:00.250Z event=F0204 name=x error=\"oh\n", 0, ""},
		{"a very long one", "time=2026-12-04T10:00:00.250Z event=F0204 name=x error=" + strings.Repeat("x", 300<<10) + "\n" + line, 1, "e1"},
		{"several", line + "\n" + line, 2, "e1"},
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

func TestReadBroken(t *testing.T) {
	_, err := logfile.Read(iotest.ErrReader(errors.New("the disk is gone")), "e1")
	is.New(t).True(fault.Is(err, logfile.Unreadable))
}

// The first attempt was served by an entry whose clock is 40 s ahead of that of
// the entry that went on with it.
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

// A story has the attempts in their order, whatever the clocks say, and beside
// an attempt's lines what its process believed of its targets and zones.
func TestLinesStory(t *testing.T) {
	is := is.New(t)
	second, err := logfile.Read(strings.NewReader(secondEntry), "e2")
	is.NoErr(err)
	first, err := logfile.Read(strings.NewReader(firstEntry), "e1")
	is.NoErr(err)
	story, ok := append(second, first...).Trace("a2")
	is.True(ok)
	is.Equal(story.Outcome, "requestFinished")
	is.Equal(len(story.Attempts), 2)
	is.Equal(names(story.Attempts[0]), []string{"revisionInForce version=2", "requestAccepted", "zoneLost zone=z1", "sendEnded", "requestFailed"})
	is.Equal(names(story.Attempts[1]), []string{"requestAccepted", "requestAdopted", "requestFinished"})

	story, ok = first.Trace("a1")
	is.True(ok)
	is.Equal(story.Outcome, "requestFailed")
	is.Equal(story.Reason, "streamBroken")

	story, ok = first.Trace("other")
	is.True(ok)
	is.Equal(story.Outcome, "unfinished")

	_, ok = first.Trace("a9")
	is.True(!ok)
}

// names returns the names of a chapter's lines, with the version or zone of
// beliefs.
func names(c logfile.Attempt) []string {
	var got []string
	for _, line := range c.Lines {
		name := line.Name
		if line.Get("request") == "" {
			name += " " + line.Detail("service")
		}
		got = append(got, name)
	}
	return got
}

// Copies that name each other in a circle end the story.
func TestLinesStoryCircle(t *testing.T) {
	is := is.New(t)
	lines, err := logfile.Read(strings.NewReader(
		"time=2026-12-04T10:00:01.510Z event=F0207 name=requestAdopted request=a handle=b\n"+
			"time=2026-12-04T10:00:01.510Z event=F0207 name=requestAdopted request=b handle=a\n"), "e")
	is.NoErr(err)
	story, ok := lines.Trace("a")
	is.True(ok)
	is.Equal(len(story.Attempts), 2)
}
