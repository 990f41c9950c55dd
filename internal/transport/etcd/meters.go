package etcd

import (
	"github.com/rcrowley/go-metrics"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/protocol/etcd"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// Prefixes and names of the metrics.
const (
	callsPrefix    = "store.calls."
	errorsPrefix   = "store.errors."
	throttledName  = "store.throttled"
	inBackoffName  = "store.inBackoff"
	watchingName   = "store.watching"
	subscribedName = "store.subscribed"
)

// meters count calls by their kind.
type meters struct {
	registry   metrics.Registry
	throttled  metrics.Counter
	inBackoff  metrics.Counter
	watching   metrics.Counter
	subscribed metrics.Counter
}

func newMeters(r metrics.Registry) *meters {
	return &meters{
		registry:  r,
		throttled: metrics.GetOrRegisterCounter(throttledName, r),
		inBackoff: metrics.GetOrRegisterCounter(inBackoffName, r),
		// watching counts open connections of watches, subscribed the watches
		// that share them.
		watching:   metrics.GetOrRegisterCounter(watchingName, r),
		subscribed: metrics.GetOrRegisterCounter(subscribedName, r),
	}
}

// sent counts a call that goes out to an endpoint.
func (m *meters) sent(path string) {
	metrics.GetOrRegisterCounter(callsPrefix+callNames[path], m.registry).Inc(1)
}

// failed counts an error by its kind.
func (m *meters) failed(err error) {
	if kind, ok := fault.KindOf[store.Kind](err); ok {
		metrics.GetOrRegisterCounter(errorsPrefix+string(kind), m.registry).Inc(1)
	}
}

// callNames are the names of the calls in metrics.
var callNames = map[string]string{
	etcd.PathRange:     "range",
	etcd.PathTxn:       "txn",
	etcd.PathWatch:     "watch",
	etcd.PathGrant:     "grant",
	etcd.PathKeepAlive: "keepAlive",
	etcd.PathRevoke:    "revoke",
}
