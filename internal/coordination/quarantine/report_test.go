package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/quarantine"
	"foxtailward.example/foxtailward/internal/state/id"
)

// TestReportsOfManyEntries guards against messages that grow with the square of the number of
// entries: each of them knows all suspects, and must not report them as often as a few do.
func TestReportsOfManyEntries(t *testing.T) {
	tests := []struct {
		entries int
		// most is the number of reports of a suspect that an entry may receive a second.
		most float64
	}{{4, 4}, {31, 4.5}, {103, 4.5}}
	for _, tt := range tests {
		is := is.New(t)
		start := time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)
		q := quarantine.NewShared("e", quarantine.Activity{})
		q.Entries = func() int { return tt.entries }
		const f = id.Fingerprint(7)
		for _, name := range []id.Target{"a", "b"} {
			q.TargetLost(start, id.TargetIncarnation{Target: name}, id.Zone("z"+name), quarantine.Run{Fingerprint: f, StartedAt: start.Add(-time.Millisecond)})
		}
		is.Equal(len(q.Unreported(start)), 1)
		is.Equal(len(q.Unreported(start)), 1)
		is.Equal(len(q.Unreported(start)), 0) // notices repeat it only once
		const seconds = 600
		reports := 0
		for at := 5 * time.Second; at < seconds*time.Second; at += 100 * time.Millisecond {
			reports += len(q.Changes(start.Add(at)))
		}
		is.True(float64(reports*tt.entries)/seconds <= tt.most)
		is.True(reports > 0)
	}
}
