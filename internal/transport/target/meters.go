package target

import "github.com/rcrowley/go-metrics"

// meters are what a target process counts.
type meters struct {
	started   metrics.Counter
	joined    metrics.Counter
	adopted   metrics.Counter
	refused   metrics.Counter
	finished  metrics.Counter
	failed    metrics.Counter
	orphans   metrics.Counter
	generated metrics.Counter
	relayed   metrics.Counter
	calls     metrics.Counter
	orders    metrics.Counter
}

func newMeters(r metrics.Registry) *meters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return &meters{
		started:   counter("target.attempts.started"),
		joined:    counter("target.attempts.joined"),
		adopted:   counter("target.attempts.adopted"),
		refused:   counter("target.attempts.refused"),
		finished:  counter("target.attempts.finished"),
		failed:    counter("target.attempts.failed"),
		orphans:   counter("target.attempts.orphaned"),
		generated: counter("target.tokens.generated"),
		relayed:   counter("target.tokens.relayed"),
		calls:     counter("target.calls.run"),
		orders:    counter("target.orders.applied"),
	}
}
