package detect_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/detect"
)

// Time in which nothing was read must not count as a pause of the target.
func TestExclude(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)
	d := detect.New(detect.DefaultConfig(), start, detect.Expectation{Pace: 30 * time.Millisecond})
	now := start.Add(time.Second)
	d.RecordTokens(now, 1)
	now = now.Add(20 * time.Second)
	d.Exclude(20 * time.Second)
	verdict, _ := d.Verdict(now)
	is.Equal(verdict, detect.Healthy)
	verdict, _ = d.Verdict(now.Add(20 * time.Second))
	is.Equal(verdict, detect.Stalled)
}
