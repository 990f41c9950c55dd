package direct

import (
	"net/http"
	"strconv"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/meter"
)

// meters are the entry's counters and latency histograms. docs/OPERATIONS.md
// lists them.
type meters struct{ set *meter.Set }

// newMeters returns the meters of an entry.
func newMeters(e *Entry) *meters {
	m := &meters{set: meter.New(e.deps.Metrics)}
	m.set.RegisterGauge("activeRequests", func() float64 { return float64(e.active.Load()) })
	m.set.RegisterGauge("configVersion", func() float64 {
		if cfg := e.directory.View().Config; cfg != nil {
			return float64(cfg.Version)
		}
		return 0
	})
	m.set.RegisterGauge("storeSilenceSeconds", func() float64 {
		silence, _ := e.follower.ages()
		return silence.Seconds()
	})
	m.set.RegisterGauge("configAgeSeconds", func() float64 {
		_, age := e.follower.ages()
		return age.Seconds()
	})
	m.set.RegisterGauge("peers", func() float64 { return float64(e.roster.LimitSharers(e.deps.Clock.Now()) - 1) })
	m.set.RegisterGauge("logLinesDropped", func() float64 { return float64(e.deps.Log.Dropped()) })
	return m
}

// finished counts a request by what became of it, and the time of whole answers.
func (m *meters) finished(route *catalog.Route, outcome string, took time.Duration) {
	name, kind := "none", "none"
	if route != nil {
		name, kind = route.Name, string(route.Kind)
	}
	m.set.Count("requests", meter.Label{Key: "route", Value: name}, meter.Label{Key: "kind", Value: kind}, meter.Label{Key: "outcome", Value: outcome})
	if outcome == outcomeAnswered {
		m.set.Observe("answer", took, meter.Label{Key: "route", Value: name}, meter.Label{Key: "kind", Value: kind})
	}
}

// Outcomes of requests, besides the reasons of refusals.
const (
	outcomeAnswered  = "answered"
	outcomeAbandoned = "abandoned"
	outcomeBroken    = "streamBroken"
)

// begun notes the time to the first event of a stream.
func (m *meters) begun(route *catalog.Route, took time.Duration) {
	m.set.Observe("firstEvent", took, meter.Label{Key: "route", Value: route.Name})
}

// paused notes the longest pause between two events of a stream.
func (m *meters) paused(route *catalog.Route, longest time.Duration) {
	m.set.Observe("longestPause", longest, meter.Label{Key: "route", Value: route.Name})
}

// refused counts a failure of the entry's own.
func (m *meters) refused(f refusal) {
	m.set.Count("refusals", meter.Label{Key: "status", Value: strconv.Itoa(f.status)}, meter.Label{Key: "reason", Value: f.reason})
}

// sent notes the outcome of one send to a target.
func (m *meters) sent(t *catalog.Target, o balance.Outcome, took time.Duration) {
	m.set.Observe("send", took, meter.Label{Key: "service", Value: string(t.Service)}, meter.Label{Key: "outcome", Value: string(o)})
	if o != balance.Succeeded {
		m.set.Count("sendsNotGood", meter.Label{Key: "target", Value: string(t.ID)}, meter.Label{Key: "outcome", Value: string(o)})
	}
}

// connected counts a new connection to a target.
func (m *meters) connected() { m.set.Count("targetConnections") }

// called notes a call of the key-value service.
func (m *meters) called(call string, err error, took time.Duration) {
	outcome := "good"
	if err != nil {
		outcome = "failed"
	}
	m.set.Observe("storeCall", took, meter.Label{Key: "call", Value: call}, meter.Label{Key: "outcome", Value: outcome})
}

// metricsPath is where the metrics are read as text.
const metricsPath = "/metrics"

// metricsServer serves the metrics as scrapers read them.
func (e *Entry) metricsServer() *http.Server {
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != metricsPath {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		// The reader may be gone, which is its own matter.
		_ = e.meters.set.WriteText(w)
	}
	return &http.Server{Handler: http.HandlerFunc(handler), ReadTimeout: readinessTimeout, WriteTimeout: readinessTimeout}
}
