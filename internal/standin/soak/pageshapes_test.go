package soak_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/standin/soak"
)

// TestPageEvents checks that events in any shape that targets write are read as they were written, and that
// each kind of change is found.
func TestPageEvents(t *testing.T) {
	const events = 30
	is := is.New(t)
	var all strings.Builder
	for seed := range uint64(10) {
		e := soak.NewPageEvents(seed)
		first, second, foreign := httptest.NewRecorder(), httptest.NewRecorder(), httptest.NewRecorder()
		is.NoErr(e.Write(first, "a", "equal-1", "v1", events))
		is.NoErr(e.Write(second, "a", "equal-1", "v2", events))
		is.NoErr(e.Write(foreign, "b", "equal-1", "v1", events))
		text := first.Body.String()
		violated, n := e.Read(strings.NewReader(text), "a")
		is.Equal(violated, nil)
		is.Equal(n, events)
		all.WriteString(text)
		violated, _ = e.Read(strings.NewReader(foreign.Body.String()), "a")
		is.True(len(violated) >= events) // another client's answer to an equal body

		whole := splitEvents(text)
		doubled := strings.Join(whole[:3], "") + whole[2] + strings.Join(whole[3:], "")
		violated, _ = e.Read(strings.NewReader(doubled), "a")
		is.True(len(violated) > 0)
		missing := strings.Join(whole[:3], "") + strings.Join(whole[4:], "")
		violated, _ = e.Read(strings.NewReader(missing), "a")
		is.True(len(violated) > 0)
		violated, _ = e.Read(strings.NewReader(whole[0]+": from another\n\n"+strings.Join(whole[1:], "")), "a")
		is.Equal(violated, []soak.Guarantee{soak.EventsInOrder}) // a comment that no target wrote
		other := splitEvents(second.Body.String())
		joined := strings.Join(whole[:3], "") + strings.Join(other[3:], "")
		violated, _ = e.Read(strings.NewReader(joined), "a")
		is.True(len(violated) == events-3 && violated[0] == soak.SoftwareKept)
	}
	for _, shape := range []string{"\r\n\r\n", "\n\n", "\n\r\n", "x-foxtailward-weight-versions: ", ": between events", ": a comment within an event"} {
		is.True(strings.Contains(all.String(), shape)) // each shape is written
	}
}

// splitEvents returns the bytes of the events that have data.
func splitEvents(text string) []string {
	var events []string
	start := 0
	for line := 0; line < len(text); {
		end := line + strings.IndexByte(text[line:], '\n') + 1
		if strings.TrimRight(text[line:end], "\r\n") == "" {
			if strings.Contains(text[start:end], "data:") {
				events = append(events, text[start:end])
			}
			start = end
		}
		line = end
	}
	return events
}
