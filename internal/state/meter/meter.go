// Package meter keeps counters and latency histograms with labels, and writes
// them as the text that scrapers read.
//
// The number of label sets of a name is bounded: what comes beyond it is counted
// under the label value "other", so that a name that callers or operators choose
// can't fill the memory.
//
// # Usage
//
//	s := meter.New(registry)
//	s.Count("refusals", meter.Labels{{"status", "503"}, {"reason", "noTarget"}})
//	s.Observe("send", took, meter.Labels{{"outcome", "good"}})
//	s.WriteText(w)
//
// Names and label keys are in camel case and are written in the scrapers' form:
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

// prefix comes before each written name.
const prefix = "foxtailward_"

// Bounds of the label sets of a name. A histogram takes 21 kB.
const (
	mostCounters   = 200
	mostHistograms = 40
)

// other stands for the label values beyond the bounds.
const other = "other"

// Label is one label of a series.
type Label struct {
	Key   string
	Value string
}

// Labels are the labels of a series, in the order in which they are written.
type Labels []Label

// String returns the labels as scrapers read them, with braces; "" for none.
func (l Labels) String() string {
	if len(l) == 0 {
		return ""
	}
	parts := make([]string, 0, len(l))
	for _, label := range l {
		parts = append(parts, fmt.Sprintf("%s=%q", snake(label.Key), label.Value))
	}
	return "{" + strings.Join(parts, ",") + "}"
}

// others returns the labels with each value replaced.
func (l Labels) others() Labels {
	replaced := slices.Clone(l)
	for i := range replaced {
		replaced[i].Value = other
	}
	return replaced
}

// Set is a process's metrics. It is safe for concurrent use.
type Set struct {
	registry metrics.Registry

	mu sync.Mutex
	// series holds the registry's names of a name's label sets.
	series map[string]map[string]bool
}

// New returns a Set that registers its metrics.
func New(r metrics.Registry) *Set {
	return &Set{registry: r, series: map[string]map[string]bool{}}
}

// Count adds one to a counter.
func (s *Set) Count(name string, labels ...Label) {
	metrics.GetOrRegisterCounter(s.bounded(name, labels, mostCounters), s.registry).Inc(1)
}

// Observe notes a time in a latency histogram.
func (s *Set) Observe(name string, took time.Duration, labels ...Label) {
	h := s.registry.GetOrRegister(s.bounded(name, labels, mostHistograms), func() metrics.Histogram { return NewLatencyHistogram() })
	h.(metrics.Histogram).Update(took.Microseconds())
}

// RegisterGauge has a value read whenever the metrics are. The unit is part of the name.
func (s *Set) RegisterGauge(name string, value func() float64) {
	s.registry.GetOrRegister(name, metrics.NewFunctionalGaugeFloat64(value))
}

// bounded returns the registry's name of a series, of which there are at most so
// many.
func (s *Set) bounded(name string, labels Labels, most int) string {
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
	if !known[full] && len(known) >= most {
		return name + labels.others().String()
	}
	known[full] = true
	return full
}

// quantiles are written of each latency histogram.
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
	base = prefix + snake(base)
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
		quantile := join(labels, fmt.Sprintf("quantile=%q", fmt.Sprint(q)))
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

func join(labels, more string) string {
	if labels == "" {
		return more
	}
	return labels + "," + more
}

func seconds(us float64) float64 { return us / 1e6 }

// snake returns a name in camel case as scrapers spell it.
func snake(name string) string {
	var b strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
