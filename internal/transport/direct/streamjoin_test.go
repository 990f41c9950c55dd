package direct_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// stream returns the events with the ids; "-" stands for an event without one.
func stream(ids string) string {
	var b strings.Builder
	for n, id := range strings.Fields(ids) {
		if id != "-" {
			fmt.Fprintf(&b, "id: %s\n", id)
		}
		fmt.Fprintf(&b, "data: %d/%s\n\n", n, id)
	}
	return b.String()
}

// ids returns the ids of a stream's events.
func ids(body string) string {
	var found []string
	for _, e := range strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		_, eventID, _ := strings.Cut(e, "/")
		found = append(found, eventID)
	}
	return strings.Join(found, " ")
}

// sendsStream returns a handler that sends the events with the ids, and then breaks the
// connection if broken is set.
func sendsStream(ids string, broken bool) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Signed", "yes")
		for _, e := range strings.SplitAfter(stream(ids), "\n\n") {
			time.Sleep(30 * time.Millisecond)
			fmt.Fprint(rw, e)
			if err := http.NewResponseController(rw).Flush(); err != nil {
				return
			}
		}
		if broken {
			panic(http.ErrAbortHandler)
		}
	}
}

// playJoin sends a stream to three targets in turn, of which the first breaks its answer off. It
// returns the answer, the ids of its events and the number of targets that were reached.
func playJoin(t *testing.T, first, second, third string, headers ...string) (got answer, held string, reached int) {
	withEnv(t, func(env *testEnv) {
		runs := []http.HandlerFunc{sendsStream(first, true), sendsStream(second, false), sendsStream(third, false)}
		for i, zone := range []string{"a", "b", "c"} {
			env.target(fmt.Sprint("t", i), fmt.Sprintf("10.0.%d.1:80", i+1), zone, func(rw http.ResponseWriter, r *http.Request) {
				if !strings.HasPrefix(r.URL.Path, "/r/") {
					return
				}
				run := runs[min(reached, len(runs)-1)]
				reached++
				run(rw, r)
			})
		}
		env.start()
		got = env.do("POST", "/r/x", "a1", "prompt", headers...)
		held = ids(got.body)
	})
	return got, held, reached
}

// TestResumptionSkipsEvents guards against a stream whose resumption skips events and that counts as
// whole.
func TestResumptionSkipsEvents(t *testing.T) {
	const whole = "1 2 3 4 5 6 7 8 9 10"
	tests := []struct{ name, first, second, third, held string }{
		{"events are missing", "1 2 3 4 5", "8 9 10", "6 7 8 9 10", whole},
		{"events are missing after a repeated part", "1 2 3 4 5", "1 2 3 8 9 10", "6 7 8 9 10", whole},
		{"the step is ten", "10 20 30", "60 70", "40 50 60 70", "10 20 30 40 50 60 70"},
		{"the first event has no id", "1 2 3 4 5", "- 6 7 8 9 10", "6 7 8 9 10", whole},
		{"the ids are of another kind", "1 2 3 4 5", "x6 x7", "6 7 8 9 10", whole},
		{"the resumption ends before the last event", "1 2 3 4 5", "1 2 3", "6 7 8 9 10", whole},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, held, _ := playJoin(t, tt.first, tt.second, tt.third)
			if got.broken || held != tt.held {
				t.Errorf("got broken=%v %s", got.broken, held)
			}
		})
	}
	t.Run("no target has the missing events", func(t *testing.T) {
		if got, held, _ := playJoin(t, "1 2 3 4 5", "8 9 10", "8 9 10"); !got.broken || held != "1 2 3 4 5" {
			t.Errorf("got broken=%v %s", got.broken, held)
		}
	})
}

// TestResumptionFits guards against resumptions that are refused though nothing speaks against them.
func TestResumptionFits(t *testing.T) {
	tests := []struct{ name, first, second, held string }{
		{"the step goes on", "1 2 3", "4 5", "1 2 3 4 5"},
		{"the run is repeated", "1 2 3", "1 2 3 4 5", "1 2 3 4 5"},
		{"the ids are irregular", "1 2 5 7", "11 12", "1 2 5 7 11 12"},
		{"irregular ids are repeated", "1 2 3", "1 2 3 7 8", "1 2 3 7 8"},
		{"one event shows no step", "3", "7 8", "3 7 8"},
		{"the ids are no numbers", "a b", "c d", "a b c d"},
		{"the last event has no id", "1 2 3", "4 5 -", "1 2 3 4 5 -"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, held, reached := playJoin(t, tt.first, tt.second, tt.second)
			if got.broken || held != tt.held || reached != 2 {
				t.Errorf("got broken=%v %s from %d targets", got.broken, held, reached)
			}
		})
	}
}

// TestStreamWithoutIDsIsNotResumed guards against a stream that is resumed after an event without an
// id, so that the client gets events twice.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	for _, first := range []string{"- - -", "1 2 -"} {
		t.Run(first, func(t *testing.T) {
			got, held, reached := playJoin(t, first, first+" 4 5", first+" 4 5")
			if !got.broken || held != first || reached != 1 {
				t.Errorf("got broken=%v %s from %d targets", got.broken, held, reached)
			}
		})
	}
}

// TestFirstEventIsZero guards against a stream that loses its first event because its id is 0.
func TestFirstEventIsZero(t *testing.T) {
	if got, held, _ := playJoin(t, "0 1 2", "3 4", "3 4"); got.broken || held != "0 1 2 3 4" {
		t.Errorf("got broken=%v %s", got.broken, held)
	}
}

// TestClientResumptionWithUnknownStep guards against a client's resumption that is refused though
// the stream's step is not known.
func TestClientResumptionWithUnknownStep(t *testing.T) {
	if got, held, _ := playJoin(t, "10 20", "30 40", "30 40", "Last", "5"); got.broken || held != "10 20 30 40" {
		t.Errorf("got broken=%v %s", got.broken, held)
	}
}
