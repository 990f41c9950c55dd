package target

import "github.com/rcrowley/go-metrics"

// counters are the metrics of a target process.
type counters struct {
	started   metrics.Counter
	joined    metrics.Counter
	adopted   metrics.Counter
	refused   metrics.Counter
	finished  metrics.Counter
	failed    metrics.Counter
	orphaned  metrics.Counter
	generated metrics.Counter
	relayed   metrics.Counter
	calls     metrics.Counter
	orders    metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return &counters{
		started:   counter("target.attempts.started"),
		joined:    counter("target.attempts.joined"),
		adopted:   counter("target.attempts.adopted"),
		refused:   counter("target.attempts.refused"),
		finished:  counter("target.attempts.finished"),
		failed:    counter("target.attempts.failed"),
		orphaned:  counter("target.attempts.orphaned"),
		generated: counter("target.tokens.generated"),
		relayed:   counter("target.tokens.relayed"),
		calls:     counter("target.calls.run"),
		orders:    counter("target.orders.applied"),
	}
}
