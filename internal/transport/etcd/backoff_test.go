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

// Sizes of the letter's deployment and of the service.
const (
	processes       = 350 + 760
	readsPerSecond  = 2_000
	outage          = 30 * time.Second
	tick            = 20 * time.Millisecond
	window          = 100 * time.Millisecond
	afterTheOutage  = 12 * time.Second
	ticksPerWindow  = int(window / tick)
	ticksOfOutage   = int(outage / tick)
	ticksOfTheWhole = int((outage + afterTheOutage) / tick)
)

// herd is what many processes do to a service that goes down and comes back.
type herd struct {
	// perSecond is the mean rate of probes in the second half of the outage.
	perSecond float64
	// peak is the largest number of probes in one window of that time, and
	// peakAfter the largest number of first calls in one window afterwards.
	peak, peakAfter int
	// back is when the last process was back, after the outage's end.
	back time.Duration
}

// simulate lets every process call whenever its backoff allows, on virtual
// time.
func simulate(first, longest time.Duration, jitter float64) herd {
	clock := clockwork.NewFakeClock()
	backoffs := make([]etcd.Backoff, processes)
	for i := range backoffs {
		backoffs[i] = etcd.NewBackoff(first, longest, jitter, clock, rand.NewPCG(1, uint64(i)))
		backoffs[i].Unreachable()
	}
	waiting := processes
	var result herd
	probes, inWindow := 0, 0
	for t := 1; t <= ticksOfTheWhole; t++ {
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
				result.back = time.Duration(t-ticksOfOutage) * tick
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
		result.back = afterTheOutage
	}
	result.perSecond = float64(probes) / (outage / 2).Seconds()
	return result
}

// TestBackoffHerd holds the probes of the letter's deployment to half of the
// reads that the service handles, at any moment, and the return to the time in
// which a change of configuration must be in force.
func TestBackoffHerd(t *testing.T) {
	is := is.New(t)
	got := simulate(etcd.DefaultInitialBackoff, etcd.DefaultMaxBackoff, etcd.DefaultJitterShare)
	perWindow := int(readsPerSecond / 2 * window.Seconds())
	is.True(got.peak <= perWindow)
	is.True(got.peakAfter <= perWindow)
	is.True(got.back <= 7*time.Second)
}

// BenchmarkBackoffHerd prints the figures of docs/design/store-calls.md.
func BenchmarkBackoffHerd(b *testing.B) {
	for _, longest := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second, 10 * time.Second} {
		for _, jitter := range []float64{0, 0.25, 0.5, 1} {
			b.Run(fmt.Sprintf("longest=%v/jitter=%v", longest, jitter), func(b *testing.B) {
				var got herd
				for b.Loop() {
					got = simulate(etcd.DefaultInitialBackoff, longest, jitter)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(got.perSecond, "probes/s")
				b.ReportMetric(float64(got.peak), "peak/100ms")
				b.ReportMetric(float64(got.peakAfter), "peakAfter/100ms")
				b.ReportMetric(got.back.Seconds(), "s-back")
			})
		}
	}
}
