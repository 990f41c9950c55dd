package meter

import (
	"math"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

// Range and precision of a latency histogram. The range is in microseconds.
const (
	minMicros = 1
	maxMicros = 120_000_000
	// significantDigits is the number of significant decimal digits of a value
	// that are recorded.
	significantDigits = 2
)

// LatencyHistogram is a histogram of durations in microseconds. It counts every
// duration instead of a sample. It implements metrics.Histogram and is safe for
// concurrent use.
type LatencyHistogram struct {
	mu  sync.Mutex
	h   *hdrhistogram.Histogram
	sum int64
}

// NewLatencyHistogram returns an empty histogram.
func NewLatencyHistogram() *LatencyHistogram {
	return &LatencyHistogram{h: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

// Update records a duration. A duration outside the range counts as the nearest
// one within it.
func (l *LatencyHistogram) Update(us int64) {
	us = min(max(us, minMicros), maxMicros)
	l.mu.Lock()
	defer l.mu.Unlock()
	// RecordValue fails only for a value outside the range.
	_ = l.h.RecordValue(us)
	l.sum += us
}

// Snapshot returns a copy of the histogram.
func (l *LatencyHistogram) Snapshot() metrics.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &LatencyHistogram{h: hdrhistogram.Import(l.h.Export()), sum: l.sum}
}

// Clear removes all recorded durations.
func (l *LatencyHistogram) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.h.Reset()
	l.sum = 0
}

// Count returns the number of recorded durations.
func (l *LatencyHistogram) Count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.h.TotalCount()
}

// Max returns the longest duration.
func (l *LatencyHistogram) Max() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.h.Max()
}

// Min returns the shortest duration.
func (l *LatencyHistogram) Min() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.h.Min()
}

// Sum returns the sum of the durations.
func (l *LatencyHistogram) Sum() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sum
}

// Mean returns the mean duration.
func (l *LatencyHistogram) Mean() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.h.Mean()
}

// StdDev returns the standard deviation of the durations.
func (l *LatencyHistogram) StdDev() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.h.StdDev()
}

// Variance returns the variance of the durations.
func (l *LatencyHistogram) Variance() float64 { return math.Pow(l.StdDev(), 2) }

// Percentile returns the duration that a fraction p of the durations does not
// exceed. p is between 0 and 1.
func (l *LatencyHistogram) Percentile(p float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.h.ValueAtQuantile(100 * p))
}

// Percentiles returns the percentiles for the fractions ps.
func (l *LatencyHistogram) Percentiles(ps []float64) []float64 {
	values := make([]float64, len(ps))
	for i, p := range ps {
		values[i] = l.Percentile(p)
	}
	return values
}

// Sample returns an empty sample, because the histogram keeps no single values.
func (l *LatencyHistogram) Sample() metrics.Sample { return metrics.NilSample{} }
