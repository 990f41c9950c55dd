package load_test

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"foxtailward.example/foxtailward/internal/standin/engine"
	"foxtailward.example/foxtailward/internal/standin/load"
	"foxtailward.example/foxtailward/internal/state/fault"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestRun(t *testing.T) {
	is := is.New(t)
	s, err := engine.Listen("127.0.0.1:0", engine.Options{})
	is.NoErr(err)
	defer s.Close()
	report, err := load.Run(t.Context(), load.Options{
		Targets: []load.Target{{Name: "direct", URL: s.URL()}, {Name: "through", URL: s.URL() + "/"}},
		Streams: 8,
		Tokens:  50,
		Rounds:  2,
	})
	is.NoErr(err)
	is.Equal(len(report.Measurements), 2)
	for _, m := range report.Measurements {
		is.Equal(m.Errors, 0)
		is.Equal(len(m.RoundTokensPerSecond), 2)
		is.True(m.FirstTokenP50Us > 0 && m.FirstTokenP50Us <= m.FirstTokenP95Us)
		is.True(m.TokensPerSecond > 0)
	}
	is.True(report.ThroughputRatio > 0)
	is.Equal(s.Stats().Started, int64(2*3*8)) // two targets, one warm-up round and two measured rounds
}

// Tests that wrong answers, and answers of a crashed engine, are counted as errors.
func TestRunWrongAnswers(t *testing.T) {
	is := is.New(t)
	s, err := engine.Listen("127.0.0.1:0", engine.Options{Version: "v2"})
	is.NoErr(err)
	defer s.Close()
	opts := load.Options{Targets: []load.Target{{Name: "direct", URL: s.URL()}}, Streams: 3}
	report, err := load.Run(t.Context(), opts)
	is.NoErr(err)
	is.Equal(report.Measurements[0].Errors, 3)
	is.Equal(report.Measurements[0].FirstError, "the text is not the expected one")

	s.Crash()
	report, err = load.Run(t.Context(), opts)
	is.NoErr(err)
	is.Equal(report.Measurements[0].Errors, 3)
	is.Equal(report.Measurements[0].TokensPerSecond, 0.0)
}

func TestRunInvalid(t *testing.T) {
	target := []load.Target{{Name: "direct", URL: "http://127.0.0.1:1"}}
	for name, opts := range map[string]load.Options{
		"no target":       {},
		"too many tokens": {Targets: target, Streams: 10_000, Tokens: 10_000},
		"negative":        {Targets: target, Streams: -1},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := load.Run(t.Context(), opts)
			is.New(t).True(fault.Is(err, load.Invalid))
		})
	}
}
