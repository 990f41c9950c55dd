package catalog

import (
	"strings"
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// RouteKind says what may be repeated of a route's requests.
type RouteKind string

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe RouteKind = "safe"
	// Unsafe requests run at most once.
	Unsafe RouteKind = "unsafe"
	// Streaming requests are answered by a stream of events. They run at most
	// once, unless the route is resumable.
	Streaming RouteKind = "streaming"
)

// Route says where requests with a host and a path prefix go.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Services share the route's requests by weight; there is at least one.
	Services []WeightedService
	Kind     RouteKind
	// Timeout is the longest time that a client is kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time to an answer, or to the first event of a
	// stream, that is on time.
	LatencyObjective time.Duration
	// GapObjective is the longest pause between two events that is on time.
	GapObjective time.Duration
	// MaxAttempts bounds the targets to which one request is sent.
	MaxAttempts int
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams can go on at another target after an event.
	Resumable bool
}

// WeightedService is one of the services of a route.
type WeightedService struct {
	Service id.Service
	Weight  int
}

// Validate checks the route.
func (r *Route) Validate() error {
	const op = "Route.Validate"
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return fault.New(op, Invalid, "route %s: path prefix %q, want a slash at both ends", r.Name, r.PathPrefix)
	}
	if len(r.Services) == 0 {
		return fault.New(op, Invalid, "route %s: no service", r.Name)
	}
	for _, s := range r.Services {
		if s.Weight < 0 {
			return fault.New(op, Invalid, "route %s: weight of %s is negative", r.Name, s.Service)
		}
	}
	switch r.Kind {
	case Safe, Unsafe, Streaming:
	default:
		return fault.New(op, Invalid, "route %s: kind %q is not known", r.Name, r.Kind)
	}
	return nil
}

// Idempotent reports whether a request of the route may be sent again after
// its outcome became unknown.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// PickService returns the service of one request. The draw is uniform in [0, 1).
func (r *Route) PickService(draw float64) id.Service {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	rest := draw * float64(total)
	for _, s := range r.Services {
		rest -= float64(s.Weight)
		if rest < 0 {
			return s.Service
		}
	}
	return r.Services[0].Service
}
