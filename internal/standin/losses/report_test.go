package losses_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/standin/losses"
)

func TestCompare(t *testing.T) {
	want := strings.Fields("a b c d e f g")
	for got, difference := range map[string]losses.Difference{
		"":                losses.MissingTokens,
		"a b c":           losses.MissingTokens,
		"a b d e f g":     losses.MissingTokens,
		"a b b c d e f g": losses.RepeatedTokens,
		"a b a b c d e f": losses.RepeatedTokens,
		"a b c x y z w":   losses.ForeignTokens,
	} {
		t.Run(got, func(t *testing.T) {
			is.New(t).Equal(losses.Compare(strings.Fields(got), want), difference)
		})
	}
}

func TestFindResumption(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(ms ...int) (out []time.Time) {
		for _, m := range ms {
			out = append(out, start.Add(time.Duration(m)*time.Millisecond))
		}
		return out
	}
	tests := []struct {
		name              string
		tokenTimes        []time.Time
		failed            int
		held              int
		gap, sinceFailure time.Duration
		none              bool
	}{
		{"at a token", at(0, 10, 60, 70), 10, 2, 50 * time.Millisecond, 50 * time.Millisecond, false},
		{"between tokens", at(0, 10, 60, 70), 15, 2, 50 * time.Millisecond, 45 * time.Millisecond, false},
		{"tokens in flight", at(0, 10, 16, 18, 90), 12, 4, 72 * time.Millisecond, 78 * time.Millisecond, false},
		{"before the first token", at(20, 30), 5, 0, 0, 0, true},
		{"after the last token", at(0, 10), 15, 0, 0, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r, ok := losses.TokenTimes(tt.tokenTimes).FindResumption(at(tt.failed)[0], 20*time.Millisecond)
			is.Equal(ok, !tt.none)
			is.Equal(r.HeldTokens, tt.held)
			is.Equal(r.Gap, tt.gap)
			is.Equal(r.SinceFailure, tt.sinceFailure)
		})
	}
}
