package meter_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"foxtailward.example/foxtailward/internal/state/meter"
)

func text(t *testing.T, s *meter.Set) string {
	t.Helper()
	var b strings.Builder
	is.New(t).NoErr(s.WriteText(&b))
	return b.String()
}

func TestSetWriteText(t *testing.T) {
	is := is.New(t)
	s := meter.New(metrics.NewRegistry())
	s.Count("refusals", meter.Label{"status", "503"}, meter.Label{"retryReason", `a "b"`})
	s.Count("refusals", meter.Label{"status", "503"}, meter.Label{"retryReason", `a "b"`})
	s.Count("clientsLeft")
	s.RegisterGauge("configAgeSeconds", func() float64 { return 1.5 })
	for i := range 100 {
		s.Observe("send", time.Duration(i+1)*time.Millisecond, meter.Label{"outcome", "good"})
	}
	is.Equal(text(t, s), `foxtailward_clients_left_total 1
foxtailward_config_age_seconds 1.5
foxtailward_refusals_total{status="503",retry_reason="a \"b\""} 2
foxtailward_send_seconds{outcome="good",quantile="0.5"} 0.050175
foxtailward_send_seconds{outcome="good",quantile="0.9"} 0.090111
foxtailward_send_seconds{outcome="good",quantile="0.99"} 0.099327
foxtailward_send_seconds{outcome="good",quantile="1"} 0.100351
foxtailward_send_seconds_sum{outcome="good"} 5.05
foxtailward_send_seconds_count{outcome="good"} 100
`)
}

// TestSetBounded checks that the number of series stays bounded however many label
// values there are, and that every call is still counted.
func TestSetBounded(t *testing.T) {
	is := is.New(t)
	s := meter.New(metrics.NewRegistry())
	for i := range 5000 {
		s.Count("requests", meter.Label{"route", fmt.Sprint("r", i)})
		s.Observe("answer", time.Millisecond, meter.Label{"route", fmt.Sprint("r", i)})
	}
	lines := strings.Split(strings.TrimSpace(text(t, s)), "\n")
	is.True(len(lines) <= 201+41*6)
	is.True(strings.Contains(text(t, s), `foxtailward_requests_total{route="other"} 4800`))
	is.True(strings.Contains(text(t, s), `foxtailward_answer_seconds_count{route="other"} 4960`))
}

func TestLatency(t *testing.T) {
	is := is.New(t)
	l := meter.NewLatencyHistogram()
	l.Update(-5)
	l.Update(1 << 50)
	is.Equal(l.Count(), int64(2))
	is.Equal(l.Min(), int64(1))
	is.True(l.Max() >= 119_000_000)
	snapshot := l.Snapshot()
	l.Clear()
	is.Equal(l.Count(), int64(0))
	is.Equal(l.Sum(), int64(0))
	is.Equal(snapshot.Count(), int64(2))
	is.Equal(len(snapshot.Percentiles([]float64{0.5, 1})), 2)
}

func BenchmarkSetObserve(b *testing.B) {
	s := meter.New(metrics.NewRegistry())
	b.ReportAllocs()
	for b.Loop() {
		s.Observe("send", time.Millisecond, meter.Label{Key: "service", Value: "m"}, meter.Label{Key: "outcome", Value: "good"})
	}
}
