package direct

import (
	"net/http"
	"strconv"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/coordination/origin"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/meter"
)

// entryMetrics are the counters and latency histograms of an entry. They are
// listed in docs/OPERATIONS.md.
type entryMetrics struct{ set *meter.Set }

func newEntryMetrics(e *Entry) *entryMetrics {
	m := &entryMetrics{set: meter.New(e.deps.Metrics)}
	m.set.RegisterGauge("activeRequests", func() float64 { return float64(e.activeRequests.Load()) })
	m.set.RegisterGauge("configVersion", func() float64 {
		if cfg := e.directory.View().Config; cfg != nil {
			return float64(cfg.Version)
		}
		return 0
	})
	m.set.RegisterGauge("storeSilenceSeconds", func() float64 {
		silence, _ := e.storeWatcher.ages()
		return silence.Seconds()
	})
	m.set.RegisterGauge("configAgeSeconds", func() float64 {
		_, age := e.storeWatcher.ages()
		return age.Seconds()
	})
	m.set.RegisterGauge("peers", func() float64 { return float64(e.roster.LimitSharers(e.deps.Clock.Now()) - 1) })
	m.set.RegisterGauge("clientConnections", func() float64 { return float64(e.inbound.Connections()) })
	m.set.RegisterGauge("largeHeadBytes", func() float64 { return float64(e.inbound.HeadMemory()) })
	m.set.RegisterGauge("logLinesDropped", func() float64 { return float64(e.deps.Log.Dropped()) })
	return m
}

// requestEnded counts a request by its outcome, and records the duration of
// answered ones.
func (m *entryMetrics) requestEnded(route *catalog.Route, outcome string, took time.Duration) {
	name, kind := "none", "none"
	if route != nil {
		name, kind = route.Name, string(route.Kind)
	}
	m.set.Count("requests", meter.Label{Key: "route", Value: name}, meter.Label{Key: "kind", Value: kind}, meter.Label{Key: "outcome", Value: outcome})
	if outcome == outcomeAnswered {
		m.set.Observe("answer", took, meter.Label{Key: "route", Value: name}, meter.Label{Key: "kind", Value: kind})
	}
}

// Outcomes of requests. The reasons of refusals are used as outcomes too.
const (
	outcomeAnswered  = "answered"
	outcomeAbandoned = "abandoned"
	outcomeBroken    = "streamBroken"
)

// registerWaiting registers the number of requests that wait for room at a service's targets.
func (m *entryMetrics) registerWaiting(service id.Service, value func() float64) {
	m.set.RegisterGauge("waitingRequests", value, meter.Label{Key: "service", Value: string(service)})
}

// waitEnded records how long a request waited for room.
func (m *entryMetrics) waitEnded(service id.Service, waited time.Duration) {
	m.set.Observe("roomWait", waited, meter.Label{Key: "service", Value: string(service)})
}

// roomRefused counts a request that was refused or displaced because there was too little room.
func (m *entryMetrics) roomRefused(service id.Service, reason string) {
	m.set.Count("roomRefusals", meter.Label{Key: "service", Value: string(service)}, meter.Label{Key: "reason", Value: reason})
}

// firstEvent records the time to the first event of a stream.
func (m *entryMetrics) firstEvent(route *catalog.Route, took time.Duration) {
	m.set.Observe("firstEvent", took, meter.Label{Key: "route", Value: route.Name})
}

// longestPause records the longest pause between two events of a stream.
func (m *entryMetrics) longestPause(route *catalog.Route, longest time.Duration) {
	m.set.Observe("longestPause", longest, meter.Label{Key: "route", Value: route.Name})
}

// requestRefused counts an error answer that the entry itself gives.
func (m *entryMetrics) requestRefused(f refusal) {
	m.set.Count("refusals", meter.Label{Key: "status", Value: strconv.Itoa(f.status)}, meter.Label{Key: "reason", Value: f.reason})
}

// clientRefused counts a client that was refused before its request was read, or whose
// connection was closed.
func (m *entryMetrics) clientRefused(listener, reason string) {
	m.set.Count("clientsRefused", meter.Label{Key: "listener", Value: listener}, meter.Label{Key: "reason", Value: reason})
}

// sendEnded records the outcome of an attempt at a target.
func (m *entryMetrics) sendEnded(t *catalog.Target, o balance.Outcome, took time.Duration) {
	m.set.Observe("send", took, meter.Label{Key: "service", Value: string(t.Service)}, meter.Label{Key: "outcome", Value: string(o)})
	if o != balance.Succeeded {
		m.set.Count("sendsNotGood", meter.Label{Key: "target", Value: string(t.ID)}, meter.Label{Key: "outcome", Value: string(o)})
	}
}

// answerEnded counts an answer of a target by its framing, by what showed that it was complete,
// and by the outcome of the attempt.
func (m *entryMetrics) answerEnded(route *catalog.Route, a *answerRecord, o balance.Outcome) {
	if a.framing == "" {
		return
	}
	m.set.Count("answerEnds", meter.Label{Key: "kind", Value: string(route.Kind)}, meter.Label{Key: "framing", Value: string(a.framing)},
		meter.Label{Key: "evidence", Value: string(a.evidence)}, meter.Label{Key: "outcome", Value: string(o)})
}

// originFound counts a stream by from what its version is known.
func (m *entryMetrics) originFound(source origin.Source, resumed bool) {
	m.set.Count("streamOrigins", meter.Label{Key: "source", Value: string(source)}, meter.Label{Key: "resumed", Value: strconv.FormatBool(resumed)})
}

// versionSaved counts a stream that waited until its version was saved.
func (m *entryMetrics) versionSaved(begins, saved bool) {
	m.set.Count("versionSaves", meter.Label{Key: "begins", Value: strconv.FormatBool(begins)}, meter.Label{Key: "saved", Value: strconv.FormatBool(saved)})
}

// targetEndSeen counts an attempt during which its target may have ended.
func (m *entryMetrics) targetEndSeen(o balance.Outcome, reason string) {
	m.set.Count("targetEndsSeen", meter.Label{Key: "outcome", Value: string(o)}, meter.Label{Key: "reason", Value: reason})
}

// requestCleared counts an answer that cleared a request of target failures.
func (m *entryMetrics) requestCleared(o balance.Outcome) {
	m.set.Count("requestsCleared", meter.Label{Key: "outcome", Value: string(o)})
}

// silenceExplained counts runs whose silence a backlog explained.
func (m *entryMetrics) silenceExplained(service id.Service) {
	m.set.Count("silencesExplained", meter.Label{Key: "service", Value: string(service)})
}

// signAsked counts questions to targets whether they live.
func (m *entryMetrics) signAsked(service id.Service, answered bool) {
	m.set.Count("signsAsked", meter.Label{Key: "service", Value: string(service)}, meter.Label{Key: "answered", Value: strconv.FormatBool(answered)})
}

// leavingChecked counts targets of which it was not known whether they are leaving.
func (m *entryMetrics) leavingChecked(service id.Service, result string) {
	m.set.Count("leavingChecks", meter.Label{Key: "service", Value: string(service)}, meter.Label{Key: "result", Value: result})
}

// waitingMoved counts the waiting runs that left a lost zone.
func (m *entryMetrics) waitingMoved(service id.Service, n int) {
	for range n {
		m.set.Count("waitingMoved", meter.Label{Key: "service", Value: string(service)})
	}
}

// retryWaited records how long a request waited for a retry.
func (m *entryMetrics) retryWaited(service id.Service, result string, took time.Duration) {
	m.set.Observe("retryWait", took, meter.Label{Key: "service", Value: string(service)}, meter.Label{Key: "result", Value: result})
}

// targetConnected counts a new connection to a target.
func (m *entryMetrics) targetConnected() { m.set.Count("targetConnections") }

// storeCall records a call to the key-value service.
func (m *entryMetrics) storeCall(call string, err error, took time.Duration) {
	outcome := "good"
	if err != nil {
		outcome = "failed"
	}
	m.set.Observe("storeCall", took, meter.Label{Key: "call", Value: call}, meter.Label{Key: "outcome", Value: outcome})
}

// metricsPath serves the metrics in the Prometheus text format.
const metricsPath = "/metrics"

// metricsServer returns the server for metrics scrapers.
func (e *Entry) metricsServer() *http.Server {
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != metricsPath {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		// An error means that the scraper has disconnected.
		_ = e.metrics.set.WriteText(w)
	}
	return &http.Server{Handler: http.HandlerFunc(handler), ReadTimeout: readinessTimeout, WriteTimeout: readinessTimeout}
}
