package caller

import (
	"github.com/rcrowley/go-metrics"
)

// Names of the metrics. Durations are in microseconds.
const (
	MetricRequests      = "callers.requests"
	MetricRefusals      = "callers.refusals"
	MetricFailures      = "callers.failures"
	MetricTokens        = "callers.tokens"
	MetricOpenAnswers   = "callers.openAnswers"
	MetricFirstToken    = "callers.firstToken"
	MetricBetweenTokens = "callers.betweenTokens"
)

// Size and decay of the histograms' samples, as go-metrics recommends.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// apiMetrics are the metrics of the callers' API.
type apiMetrics struct {
	requests      metrics.Meter
	tokens        metrics.Meter
	refusals      metrics.Counter
	failures      metrics.Counter
	openAnswers   metrics.Counter
	firstToken    metrics.Histogram
	betweenTokens metrics.Histogram
}

func newMetrics(r metrics.Registry) *apiMetrics {
	return &apiMetrics{
		requests:      metrics.GetOrRegisterMeter(MetricRequests, r),
		tokens:        metrics.GetOrRegisterMeter(MetricTokens, r),
		refusals:      metrics.GetOrRegisterCounter(MetricRefusals, r),
		failures:      metrics.GetOrRegisterCounter(MetricFailures, r),
		openAnswers:   metrics.GetOrRegisterCounter(MetricOpenAnswers, r),
		firstToken:    histogram(MetricFirstToken, r),
		betweenTokens: histogram(MetricBetweenTokens, r),
	}
}

func histogram(name string, r metrics.Registry) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}
