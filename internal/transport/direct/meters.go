package direct

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"foxtailward.example/foxtailward/internal/coordination/balance"
)

// meters are the entry's counters and latency histograms.
type meters struct {
	registry    metrics.Registry
	requests    metrics.Counter
	abandoned   metrics.Counter
	broken      metrics.Counter
	connections metrics.Counter
	whole       metrics.Timer
	firstEvent  metrics.Timer
}

func newMeters(r metrics.Registry) *meters {
	return &meters{
		registry:    r,
		requests:    metrics.NewRegisteredCounter("requests", r),
		abandoned:   metrics.NewRegisteredCounter("requestsAbandoned", r),
		broken:      metrics.NewRegisteredCounter("streamsBroken", r),
		connections: metrics.NewRegisteredCounter("targetConnections", r),
		whole:       metrics.NewRegisteredTimer("answers", r),
		firstEvent:  metrics.NewRegisteredTimer("firstEvents", r),
	}
}

// answered notes a whole answer and the time that it took.
func (m *meters) answered(took time.Duration) { m.whole.Update(took) }

// refusal counts a failure of the entry's own.
func (m *meters) refusal(f refusal) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("refusals.%d.%s", f.status, f.reason), m.registry).Inc(1)
}

// sent notes the outcome of one send to a target.
func (m *meters) sent(o balance.Outcome, took time.Duration) {
	metrics.GetOrRegisterTimer("sends."+string(o), m.registry).Update(took)
}
