package detect_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/detect"
)

const (
	// resumeLimit is the target figure: after a stall at a pace of 31 ms, 95% of
	// the answers continue within 6 s.
	resumeLimit = 6 * time.Second
	// nextAttemptTime is the part of resumeLimit that is left to the next
	// attempt: queue, prefill of a prefix that is not cached, and one decode
	// step.
	nextAttemptTime = time.Second
	// generationsPerFalse is the number of healthy generations per allowed false
	// suspicion.
	generationsPerFalse = 10_000
	generations         = 10_000
	// tailGenerations is the number of generations for lognormal1.0, the only
	// stream whose rate of false suspicions is not zero.
	tailGenerations = 40_000
)

// TestFalseSuspicionRate checks, for each kind of stream, that fewer than 1 in
// 10,000 healthy generations is suspected, and that stalls are detected in time.
func TestFalseSuspicionRate(t *testing.T) {
	for i, s := range streams() {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			n := generations
			if s.name == "lognormal1.0" {
				n = tailGenerations
			}
			got := measure(s, adaptive(), n, 1000, uint64(i+1))
			is.True(got.suspected*generationsPerFalse < n)
			if s.name == "slow400ms" || s.name == "growingBatch" {
				return // the target figure is for a pace of 31 ms
			}
			is.True(got.at(0.95) <= resumeLimit-nextAttemptTime)
		})
	}
}

func TestFirstTokenTimeout(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name   string
		expect detect.Expectation
		// healthy is a wait that must not be suspected, late is one that must.
		healthy, late time.Duration
	}{
		{"idle target", detect.Expectation{Pace: pace}, time.Second, 5 * time.Second},
		{"long prompt", detect.Expectation{Pace: pace, PrefillTokens: 20_000, PrefillPerToken: time.Millisecond}, 40 * time.Second, 90 * time.Second},
		{"queue", detect.Expectation{Pace: pace, Queued: 4, SlotWait: 10 * time.Second}, 80 * time.Second, 200 * time.Second},
		{"queue and deadline", detect.Expectation{Pace: pace, Queued: 4, SlotWait: 10 * time.Second, Deadline: start.Add(30 * time.Second)}, 14 * time.Second, 16 * time.Second},
		{"nothing reported", detect.Expectation{}, time.Second, 5 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := detect.New(detect.DefaultConfig(), start, tt.expect)
			v, next := d.Verdict(start.Add(tt.healthy))
			is.Equal(v, detect.Healthy)
			is.True(next.After(start.Add(tt.healthy)))
			v, _ = d.Verdict(start.Add(tt.late))
			is.Equal(v, detect.Late)
		})
	}
}

// Load reports of a queue restart the timeout for the first token. When the
// reports stop, the timeout must run out.
func TestUpdateExpectation(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	queue := detect.Expectation{Pace: pace, Queued: 1, SlotWait: time.Second}
	d := detect.New(detect.DefaultConfig(), start, queue)
	now := start
	for range 60 {
		now = now.Add(time.Second)
		v, _ := d.Verdict(now)
		is.Equal(v, detect.Healthy)
		d.UpdateExpectation(now, queue)
	}
	_, next := d.Verdict(now)
	v, _ := d.Verdict(next)
	is.Equal(v, detect.Late)
	is.True(next.Sub(now) < 10*time.Second)

	d.RecordTokens(now, 1)
	before := d.Timeout()
	d.UpdateExpectation(now, detect.Expectation{Pace: time.Second})
	is.True(d.Timeout() >= before) // a slower pace never shortens the timeout
}

func TestDetectorAllocations(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := detect.New(detect.DefaultConfig(), now, detect.Expectation{Pace: pace})
	got := testing.AllocsPerRun(1000, func() {
		now = now.Add(pace)
		d.RecordTokens(now, 1)
		d.Verdict(now)
	})
	is.Equal(got, 0.0)
}

// BenchmarkDetector compares the Detector with fixed timeouts: false suspicions
// in 10,000 healthy generations, and the time to find a stall.
func BenchmarkDetector(b *testing.B) {
	rules := []rule{adaptive(), fixed(time.Second), fixed(2 * time.Second), fixed(3 * time.Second), fixed(5 * time.Second), fixed(10 * time.Second)}
	for i, s := range streams() {
		for _, rl := range rules {
			b.Run(s.name+"/"+rl.name, func(b *testing.B) {
				var got result
				for range b.N {
					got = measure(s, rl, generations, 1000, uint64(i+1))
				}
				b.ReportMetric(float64(got.suspected), "false/10000")
				b.ReportMetric(got.at(0.5).Seconds(), "p50-s")
				b.ReportMetric(got.at(0.95).Seconds(), "p95-s")
				b.ReportMetric(got.at(1).Seconds(), "max-s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
