package etcd

import (
	"github.com/rcrowley/go-metrics"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/protocol/etcd"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// Names and name prefixes of the metrics.
const (
	callsPrefix    = "store.calls."
	errorsPrefix   = "store.errors."
	throttledName  = "store.throttled"
	inBackoffName  = "store.inBackoff"
	watchingName   = "store.watching"
	subscribedName = "store.subscribed"
)

// clientMetrics holds the client's counters.
type clientMetrics struct {
	registry   metrics.Registry
	throttled  metrics.Counter
	inBackoff  metrics.Counter
	watching   metrics.Counter
	subscribed metrics.Counter
}

func newClientMetrics(r metrics.Registry) *clientMetrics {
	return &clientMetrics{
		registry:  r,
		throttled: metrics.GetOrRegisterCounter(throttledName, r),
		inBackoff: metrics.GetOrRegisterCounter(inBackoffName, r),
		// watching counts open watch connections, subscribed the watches that
		// share them.
		watching:   metrics.GetOrRegisterCounter(watchingName, r),
		subscribed: metrics.GetOrRegisterCounter(subscribedName, r),
	}
}

// countCall counts a call that is sent to an endpoint.
func (m *clientMetrics) countCall(path string) {
	metrics.GetOrRegisterCounter(callsPrefix+metricCallNames[path], m.registry).Inc(1)
}

// countError counts an error by its kind.
func (m *clientMetrics) countError(err error) {
	if kind, ok := fault.KindOf[store.Kind](err); ok {
		metrics.GetOrRegisterCounter(errorsPrefix+string(kind), m.registry).Inc(1)
	}
}

// metricCallNames maps a path to the call's name in metrics.
var metricCallNames = map[string]string{
	etcd.PathRange:     "range",
	etcd.PathTxn:       "txn",
	etcd.PathWatch:     "watch",
	etcd.PathGrant:     "grant",
	etcd.PathKeepAlive: "keepAlive",
	etcd.PathRevoke:    "revoke",
}
