package request

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize and sampleAlpha set the decaying samples of the histograms.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Metrics counts what recovery does. A nil Meter counts nothing.
type Metrics struct {
	resume  metrics.Histogram
	dropped metrics.Counter
	extra   metrics.Counter
}

// NewMetrics registers the meter's metrics.
func NewMetrics(r metrics.Registry) *Metrics {
	m := &Metrics{
		resume:  metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
		dropped: metrics.NewCounter(),
		extra:   metrics.NewCounter(),
	}
	// Registering fails only for a name that is taken, which is a fault of the
	// program that shows in the metrics page.
	_ = r.Register("recovery.resumeMs", m.resume)
	_ = r.Register("recovery.droppedTokens", m.dropped)
	_ = r.Register("recovery.extraTokens", m.extra)
	return m
}

// ObserveResumeGap counts an answer that flows again after a gap.
func (m *Metrics) ObserveResumeGap(gap time.Duration) {
	if m != nil {
		m.resume.Update(gap.Milliseconds())
	}
}

// CountDroppedTokens counts tokens of older attempts that were not passed on.
func (m *Metrics) CountDroppedTokens(n int) {
	if m != nil {
		m.dropped.Inc(int64(n))
	}
}

// CountRecomputedTokens counts tokens that were computed again.
func (m *Metrics) CountRecomputedTokens(n int) {
	if m != nil {
		m.extra.Inc(int64(n))
	}
}
