// Package meter keeps counters and latency histograms with labels, and gauges, and
// writes them in the text format that metrics scrapers read.
//
// The number of label sets of a metric is bounded. Further label sets are counted
// under the label value "other", so that label values that callers or operators
// choose cannot exhaust the memory.
//
// # Usage
//
//	s := meter.New(registry)
//	s.Count("refusals", meter.Label{"status", "503"}, meter.Label{"reason", "noTarget"})
//	s.Observe("send", duration, meter.Label{"outcome", "good"})
//	s.WriteText(w)
//
// Names and label keys are given in camel case and written in snake case. Names get
// a prefix, and those of counters and histograms a suffix:
// foxtailward_refusals_total, foxtailward_send_seconds.
package meter

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"
	"unicode"

	"github.com/rcrowley/go-metrics"
)

// prefix is put before the name of every metric in the text.
const prefix = "foxtailward_"

// Maximum numbers of label sets of one metric. The number for histograms is lower
// because a histogram takes 21 kB.
const (
	maxCounters   = 200
	maxHistograms = 40
)

// otherValue replaces the label values of label sets beyond the maximum.
const otherValue = "other"

// Label is one label of a series.
type Label struct {
	Key   string
	Value string
}

// Labels are the labels of a series, in the order in which they are written.
type Labels []Label

// String returns the labels in the text format, with braces; "" if there are none.
func (l Labels) String() string {
	if len(l) == 0 {
		return ""
	}
	parts := make([]string, 0, len(l))
	for _, label := range l {
		parts = append(parts, fmt.Sprintf("%s=%q", snakeCase(label.Key), label.Value))
	}
	return "{" + strings.Join(parts, ",") + "}"
}

// withOtherValues returns the labels with every value replaced by otherValue.
func (l Labels) withOtherValues() Labels {
	replaced := slices.Clone(l)
	for i := range replaced {
		replaced[i].Value = otherValue
	}
	return replaced
}

// Set is a process's metrics. It is safe for concurrent use.
type Set struct {
	registry metrics.Registry

	mu sync.Mutex
	// series holds, for the name of each metric, the names under which its label
	// sets are registered.
	series map[string]map[string]bool
}

// New returns a Set that registers its metrics in r.
func New(r metrics.Registry) *Set {
	return &Set{registry: r, series: map[string]map[string]bool{}}
}

// Count adds 1 to a counter.
func (s *Set) Count(name string, labels ...Label) {
	metrics.GetOrRegisterCounter(s.seriesName(name, labels, maxCounters), s.registry).Inc(1)
}

// Observe records a duration in a latency histogram.
func (s *Set) Observe(name string, duration time.Duration, labels ...Label) {
	h := s.registry.GetOrRegister(s.seriesName(name, labels, maxHistograms), func() metrics.Histogram { return NewLatencyHistogram() })
	h.(metrics.Histogram).Update(duration.Microseconds())
}

// RegisterGauge registers a gauge. value is called whenever the metrics are
// read. The name must include the unit.
func (s *Set) RegisterGauge(name string, value func() float64, labels ...Label) {
	s.registry.GetOrRegister(s.seriesName(name, labels, maxCounters), metrics.NewFunctionalGaugeFloat64(value))
}

// seriesName returns the name under which a series is registered. If the metric
// already has limit other label sets, this is the series of otherValue.
func (s *Set) seriesName(name string, labels Labels, limit int) string {
	if len(labels) == 0 {
		return name
	}
	full := name + labels.String()
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.series[name]
	if known == nil {
		known = map[string]bool{}
		s.series[name] = known
	}
	if !known[full] && len(known) >= limit {
		return name + labels.withOtherValues().String()
	}
	known[full] = true
	return full
}

// quantiles are the quantiles that are written for each latency histogram.
var quantiles = []float64{0.5, 0.9, 0.99, 1}

// WriteText writes all metrics as text, sorted by name.
func (s *Set) WriteText(w io.Writer) error {
	all := map[string]any{}
	s.registry.Each(func(name string, m any) { all[name] = m })
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if err := writeMetric(w, name, all[name]); err != nil {
			return err
		}
	}
	return nil
}

func writeMetric(w io.Writer, name string, m any) error {
	base, labels, _ := strings.Cut(name, "{")
	labels = strings.TrimSuffix(labels, "}")
	base = prefix + snakeCase(base)
	switch m := m.(type) {
	case metrics.Counter:
		return writeLine(w, base+"_total", labels, float64(m.Count()))
	case metrics.GaugeFloat64:
		return writeLine(w, base, labels, m.Value())
	case metrics.Histogram:
		return writeLatency(w, base+"_seconds", labels, m.Snapshot())
	}
	return nil
}

func writeLatency(w io.Writer, base, labels string, h metrics.Histogram) error {
	for _, q := range quantiles {
		quantile := joinLabels(labels, fmt.Sprintf("quantile=%q", fmt.Sprint(q)))
		if err := writeLine(w, base, quantile, seconds(h.Percentile(q))); err != nil {
			return err
		}
	}
	if err := writeLine(w, base+"_sum", labels, seconds(float64(h.Sum()))); err != nil {
		return err
	}
	return writeLine(w, base+"_count", labels, float64(h.Count()))
}

func writeLine(w io.Writer, name, labels string, value float64) error {
	if labels != "" {
		labels = "{" + labels + "}"
	}
	_, err := fmt.Fprintf(w, "%s%s %v\n", name, labels, value)
	return err
}

func joinLabels(labels, label string) string {
	if labels == "" {
		return label
	}
	return labels + "," + label
}

func seconds(us float64) float64 { return us / 1e6 }

// snakeCase converts a name from camel case to snake case.
func snakeCase(name string) string {
	var b strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
