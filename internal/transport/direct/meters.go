package direct

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"foxtailward.example/foxtailward/internal/coordination/balance"
)

// The histograms keep a sample that leans to the last five minutes.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

// meters are the entry's counters and latency histograms.
type meters struct {
	registry    metrics.Registry
	requests    metrics.Counter
	abandoned   metrics.Counter
	broken      metrics.Counter
	connections metrics.Counter
	whole       metrics.Histogram
	firstEvent  metrics.Histogram
}

func newMeters(r metrics.Registry) *meters {
	return &meters{
		registry:    r,
		requests:    metrics.NewRegisteredCounter("requests", r),
		abandoned:   metrics.NewRegisteredCounter("requestsAbandoned", r),
		broken:      metrics.NewRegisteredCounter("streamsBroken", r),
		connections: metrics.NewRegisteredCounter("targetConnections", r),
		whole:       newLatency("answersUs", r),
		firstEvent:  newLatency("firstEventsUs", r),
	}
}

// answered notes a whole answer and the time that it took.
func (m *meters) answered(took time.Duration) { m.whole.Update(took.Microseconds()) }

// begun notes the time to the first event of a stream.
func (m *meters) begun(took time.Duration) { m.firstEvent.Update(took.Microseconds()) }

// refusal counts a failure of the entry's own.
func (m *meters) refusal(f refusal) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("refusals.%d.%s", f.status, f.reason), m.registry).Inc(1)
}

// sent notes the outcome of one send to a target.
func (m *meters) sent(o balance.Outcome, took time.Duration) {
	h := m.registry.GetOrRegister("sendsUs."+string(o), newSampled)
	h.(metrics.Histogram).Update(took.Microseconds())
}

// newLatency registers a histogram of times, in microseconds.
func newLatency(name string, r metrics.Registry) metrics.Histogram {
	return metrics.NewRegisteredHistogram(name, r, newSample())
}

func newSampled() metrics.Histogram { return metrics.NewHistogram(newSample()) }

func newSample() metrics.Sample { return metrics.NewExpDecaySample(sampleSize, sampleDecay) }
