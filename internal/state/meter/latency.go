package meter

import (
	"math"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

// Bounds of a latency histogram, in microseconds.
const (
	shortest = 1
	longest  = 120_000_000
	// digits is the number of significant digits that are kept.
	digits = 2
)

// LatencyHistogram is a histogram of times in microseconds that counts all of them, in
// place of a sample. It is a metrics.Histogram and safe for concurrent use.
type LatencyHistogram struct {
	mu  sync.Mutex
	h   *hdrhistogram.Histogram
	sum int64
}

// NewLatencyHistogram returns an empty histogram.
func NewLatencyHistogram() *LatencyHistogram {
	return &LatencyHistogram{h: hdrhistogram.New(shortest, longest, digits)}
}

// Update notes a time. Times beyond the bounds count as the nearest one within.
func (l *LatencyHistogram) Update(us int64) {
	us = min(max(us, shortest), longest)
	l.mu.Lock()
	defer l.mu.Unlock()
	// A value within the bounds is always taken.
	_ = l.h.RecordValue(us)
	l.sum += us
}

// Snapshot returns a copy.
func (l *LatencyHistogram) Snapshot() metrics.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &LatencyHistogram{h: hdrhistogram.Import(l.h.Export()), sum: l.sum}
}

// Clear forgets all times.
func (l *LatencyHistogram) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.h.Reset()
	l.sum = 0
}

// Count returns how many times there are.
func (l *LatencyHistogram) Count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.h.TotalCount()
}

// Max returns the longest time.
func (l *LatencyHistogram) Max() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.h.Max()
}

// Min returns the shortest time.
func (l *LatencyHistogram) Min() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.h.Min()
}

// Sum returns the sum of the times.
func (l *LatencyHistogram) Sum() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sum
}

// Mean returns the mean time.
func (l *LatencyHistogram) Mean() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.h.Mean()
}

// StdDev returns the standard deviation.
func (l *LatencyHistogram) StdDev() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.h.StdDev()
}

// Variance returns the variance.
func (l *LatencyHistogram) Variance() float64 { return math.Pow(l.StdDev(), 2) }

// Percentile returns the time that a part of the times, from 0 to 1, do not
// exceed.
func (l *LatencyHistogram) Percentile(p float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.h.ValueAtQuantile(100 * p))
}

// Percentiles returns several of them.
func (l *LatencyHistogram) Percentiles(ps []float64) []float64 {
	values := make([]float64, len(ps))
	for i, p := range ps {
		values[i] = l.Percentile(p)
	}
	return values
}

// Sample returns none: all times are counted.
func (l *LatencyHistogram) Sample() metrics.Sample { return metrics.NilSample{} }
