package etcd_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/transport/etcd"
)

// The reference deployment has 350 entries and 760 targets. Its key-value service
// handles 2,000 reads per second.
const (
	processes      = 350 + 760
	readsPerSecond = 2_000
	outage         = 30 * time.Second
	tick           = 20 * time.Millisecond
	window         = 100 * time.Millisecond
	afterOutage    = 12 * time.Second
	ticksPerWindow = int(window / tick)
	ticksOfOutage  = int(outage / tick)
	ticksTotal     = int((outage + afterOutage) / tick)
)

// probeLoad is the load that many processes put on a service that goes down and
// comes back.
type probeLoad struct {
	// perSecond is the mean rate of probes in the second half of the outage.
	perSecond float64
	// peak is the largest number of probes in one window of that half, and
	// peakAfter the largest number of first calls in one window after the outage.
	peak, peakAfter int
	// recovery is the time from the end of the outage until the last process has
	// reached the service.
	recovery time.Duration
}

// simulate runs all processes on a fake clock. Each calls the service whenever
// its backoff allows.
func simulate(initial, longest time.Duration, jitter float64) probeLoad {
	clock := clockwork.NewFakeClock()
	backoffs := make([]etcd.Backoff, processes)
	for i := range backoffs {
		backoffs[i] = etcd.NewBackoff(initial, longest, jitter, clock, rand.NewPCG(1, uint64(i)))
		backoffs[i].Unreachable()
	}
	waiting := processes
	var result probeLoad
	probes, inWindow := 0, 0
	for t := 1; t <= ticksTotal; t++ {
		clock.Advance(tick)
		down := t <= ticksOfOutage
		for i := range backoffs {
			switch {
			case backoffs[i] == (etcd.Backoff{}) || !backoffs[i].Admit():
			case down:
				backoffs[i].Unreachable()
				inWindow++
			default:
				backoffs[i] = etcd.Backoff{}
				inWindow++
				waiting--
				result.recovery = time.Duration(t-ticksOfOutage) * tick
			}
		}
		if t%ticksPerWindow != 0 {
			continue
		}
		switch {
		case !down:
			result.peakAfter = max(result.peakAfter, inWindow)
		case t > ticksOfOutage/2:
			result.peak = max(result.peak, inWindow)
			probes += inWindow
		}
		inWindow = 0
	}
	if waiting > 0 {
		result.recovery = afterOutage
	}
	result.perSecond = float64(probes) / (outage / 2).Seconds()
	return result
}

// TestBackoffHerd guards against a thundering herd during and after an outage of
// the key-value service. In the reference deployment, the probes must never take
// more than half of the reads that the service handles. All processes must be back
// within 7 s, the time in which a change of configuration must be in force.
func TestBackoffHerd(t *testing.T) {
	is := is.New(t)
	got := simulate(etcd.DefaultInitialBackoff, etcd.DefaultMaxBackoff, etcd.DefaultJitterFraction)
	perWindow := int(readsPerSecond / 2 * window.Seconds())
	is.True(got.peak <= perWindow)
	is.True(got.peakAfter <= perWindow)
	is.True(got.recovery <= 7*time.Second)
}

// BenchmarkBackoffHerd reports the figures of docs/design/store-calls.md.
func BenchmarkBackoffHerd(b *testing.B) {
	for _, longest := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second, 10 * time.Second} {
		for _, jitter := range []float64{0, 0.25, 0.5, 1} {
			b.Run(fmt.Sprintf("longest=%v/jitter=%v", longest, jitter), func(b *testing.B) {
				var got probeLoad
				for b.Loop() {
					got = simulate(etcd.DefaultInitialBackoff, longest, jitter)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(got.perSecond, "probes/s")
				b.ReportMetric(float64(got.peak), "peak/100ms")
				b.ReportMetric(float64(got.peakAfter), "peakAfter/100ms")
				b.ReportMetric(got.recovery.Seconds(), "s-back")
			})
		}
	}
}
