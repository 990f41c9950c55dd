package continuity_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/continuity"
)

// play passes the ids of runs to a stream; "-" stands for no id. It returns the ids of those that
// it forwards, and whether the last run fits to its end.
func play(s *continuity.Stream, runs ...string) (forwarded string, fits bool) {
	var ids []string
	for _, run := range runs {
		s.BeginRun()
		fits = true
		for _, text := range strings.Fields(run) {
			id := strings.Trim(text, "-")
			verdict := s.Judge(id)
			if verdict == continuity.Skips {
				fits = false
				break
			}
			if verdict == continuity.Next {
				s.Forwarded(id)
				ids = append(ids, text)
			}
		}
		fits = fits && s.EndFits()
	}
	return strings.Join(ids, " "), fits
}

func TestStream(t *testing.T) {
	tests := []struct {
		name, last string
		runs       []string
		forwarded  string
		fits       bool
	}{
		{"one run", "", []string{"1 2 3"}, "1 2 3", true},
		{"one run that begins with 0", "", []string{"0 1"}, "0 1", true},
		{"one irregular run", "", []string{"1 5 6 20"}, "1 5 6 20", true},
		{"one run of mixed kinds", "", []string{"- 1 a - 2"}, "- 1 a - 2", true},
		{"one run repeats an event", "", []string{"1 2 2 3"}, "1 2 3", true},
		{"the step goes on", "", []string{"1 2", "3 4"}, "1 2 3 4", true},
		{"the step goes on over three runs", "", []string{"1 2", "3", "4 5"}, "1 2 3 4 5", true},
		{"events are skipped", "", []string{"1 2", "4"}, "1 2", false},
		{"events are skipped at the third run", "", []string{"1 2", "3", "5"}, "1 2 3", false},
		{"fewer than a step", "", []string{"10 20", "25"}, "10 20", false},
		{"a larger step goes on", "", []string{"10 20", "30"}, "10 20 30", true},
		{"skipped after a repeated part", "", []string{"1 2 3", "1 2 5"}, "1 2 3", false},
		{"repeated up to the last event", "", []string{"1 2 3", "2 3 7"}, "1 2 3 7", true},
		{"irregular before the loss", "", []string{"1 2 4", "9"}, "1 2 4 9", true},
		{"the step of a single event is unknown", "", []string{"4", "9 10"}, "4 9 10", true},
		{"the distance of two runs is no step", "", []string{"4", "9", "10"}, "4 9 10", true},
		{"no id at the beginning of a run", "", []string{"1 2", "- 3"}, "1 2", false},
		{"no id after a repeated part", "", []string{"1 2", "2 -"}, "1 2", false},
		{"no id later in a run", "", []string{"1 2", "3 -"}, "1 2 3 -", true},
		{"another kind of id", "", []string{"1 2", "a"}, "1 2", false},
		{"numbers after another kind of id", "", []string{"a b", "3"}, "a b", false},
		{"ids that are no numbers", "", []string{"a b", "c"}, "a b c", true},
		{"an empty run", "", []string{"1 2", ""}, "1 2", true},
		{"a run ends at the last event", "", []string{"1 2", "1 2"}, "1 2", true},
		{"a run ends before the last event", "", []string{"1 2 3", "1 2"}, "1 2 3", false},
		{"the client's event shows no step", "5", []string{"10 11", "12"}, "10 11 12", true},
		{"skipped after the client's event", "5", []string{"6 7", "9"}, "6 7", false},
		{"no id after the client's event", "5", []string{"-"}, "-", true},
		{"a run ends before the client's event", "5", []string{"1 2"}, "", false},
		{"a run ends at the client's event", "5", []string{"4 5"}, "", true},
		{"ids with leading zeros", "", []string{"001 002", "2 3"}, "001 002 3", true},
		{"the client's event is 0", "0", []string{"0 1 2"}, "1 2", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			forwarded, fits := play(continuity.New(tt.last), tt.runs...)
			is.Equal(forwarded, tt.forwarded)
			is.Equal(fits, tt.fits)
		})
	}
}

func TestResumable(t *testing.T) {
	is := is.New(t)
	is.True(continuity.New("").Resumable())
	is.True(continuity.New("5").Resumable())
	for run, want := range map[string]bool{"": true, "1 2": true, "-": false, "1 -": false, "- 1": true} {
		s := continuity.New("")
		_, _ = play(s, run)
		is.Equal(s.Resumable(), want)
	}
}
