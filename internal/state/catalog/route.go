package catalog

import (
	"strings"
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// RouteKind says whether the requests of a route may run more than once, and
// whether they are answered by a stream.
type RouteKind string

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe RouteKind = "safe"
	// Unsafe requests run at most once.
	Unsafe RouteKind = "unsafe"
	// Streaming requests are answered by a stream of events. They run at most
	// once unless the route is resumable.
	Streaming RouteKind = "streaming"
)

// Route says to which services the requests for a host and a path prefix go.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Services share the requests of the route by weight; there is at least one.
	Services []WeightedService
	Kind     RouteKind
	// Timeout is the longest time that a client waits for its answer.
	Timeout time.Duration
	// LatencyObjective is the longest time to an answer, or to the first event of
	// a stream, that counts as on time.
	LatencyObjective time.Duration
	// GapObjective is the longest time between two events of a stream that counts
	// as on time.
	GapObjective time.Duration
	// MaxAttempts is the largest number of targets to which one request is sent.
	MaxAttempts int
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	// Public says that requests need no key.
	Public bool
	// Resumable says that another target can continue a stream after any of its
	// events.
	Resumable bool
}

// WeightedService is one of the services of a route, with its weight.
type WeightedService struct {
	Service id.Service
	Weight  int
}

// Validate returns an error for the first rule that the route violates.
func (r *Route) Validate() error {
	const op = "Route.Validate"
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return fault.New(op, Invalid, "route %s: path prefix is %q, want a slash at both ends", r.Name, r.PathPrefix)
	}
	if len(r.Services) == 0 {
		return fault.New(op, Invalid, "route %s: has no service", r.Name)
	}
	for _, s := range r.Services {
		if s.Weight < 0 {
			return fault.New(op, Invalid, "route %s: weight of %s is negative", r.Name, s.Service)
		}
	}
	switch r.Kind {
	case Safe, Unsafe, Streaming:
	default:
		return fault.New(op, Invalid, "route %s: kind is %q, want safe, unsafe or streaming", r.Name, r.Kind)
	}
	return nil
}

// Idempotent reports whether a request of the route may be sent again if it is
// unknown whether it has run.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// PickService chooses a service by weight for one request. The draw is a random
// number, uniformly distributed in [0, 1).
func (r *Route) PickService(draw float64) id.Service {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	remaining := draw * float64(total)
	for _, s := range r.Services {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Services[0].Service
}
