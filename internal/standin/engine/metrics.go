package engine

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	protocol "foxtailward.example/foxtailward/internal/protocol/engine"
)

// metricsSnapshot is the page that /metrics served last, with the time at which it
// was made.
type metricsSnapshot struct {
	page    string
	takenAt time.Time
}

func (e *Engine) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = w.Write([]byte(e.metricsPage()))
}

// metricsPage returns the metrics as text. They are up to MetricsLag old.
func (e *Engine) metricsPage() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if e.metrics.page != "" && now.Sub(e.metrics.takenAt) < e.opts.MetricsLag {
		return e.metrics.page
	}
	waitingPrefill := 0
	for _, s := range e.queue {
		waitingPrefill += s.inputTokens
	}
	for _, s := range e.running {
		waitingPrefill += s.prefillLeft
	}
	var b strings.Builder
	gauge := func(name string, value float64) {
		fmt.Fprintf(&b, "# TYPE %s gauge\n%s{model_name=%q} %s\n",
			name, name, e.model, strconv.FormatFloat(value, 'g', -1, 64))
	}
	gauge(protocol.MetricRunning, float64(len(e.running)))
	gauge(protocol.MetricWaiting, float64(len(e.queue)))
	gauge(protocol.MetricWaitingPrefill, float64(waitingPrefill))
	gauge(protocol.MetricTokenInterval, e.lastStep.Seconds())
	gauge(protocol.MetricPrefillCost, e.opts.Costs.Prefill.Seconds()*e.faults.slowdown)
	e.metrics = metricsSnapshot{page: b.String(), takenAt: now}
	return e.metrics.page
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeError(w, http.StatusBadRequest, errorInvalidRequest, "after is not a number")
			return
		}
		after = n
	}
	e.mu.Lock()
	page := e.cache.eventsAfter(after)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, page)
}
