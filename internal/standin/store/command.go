package store

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/protocol/etcd"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// between matches the keys from first up to end; without end, first alone.
func between(first, end string) func(string) bool {
	return func(key string) bool {
		switch end {
		case "":
			return key == first
		case "\x00":
			return key >= first
		default:
			return key >= first && key < end
		}
	}
}

func (s *Service) keysBetween(first, end string) []etcd.KeyValue {
	matches := between(first, end)
	var out []etcd.KeyValue
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if matches(key) {
			e := s.items[key]
			out = append(out, e.wire())
		}
	}
	return out
}

// Command is a fault command, as POST /faults takes it.
type Command struct {
	// Kind is one of "latency", "outage", "hang", "resume", "loseAnswers",
	// "loseRequests", "holdWrites", "releaseWrites", "cutWatches", "compact"
	// and "lapseLeases".
	Kind string `json:"kind"`
	// Millis is the latency, or how long an outage lasts.
	Millis int64 `json:"millis,omitempty"`
	// Count is the number of writes to lose or hold.
	Count int `json:"count,omitempty"`
	// Revision is where to compact; 0 means the newest.
	Revision int64 `json:"revision,omitempty"`
}

// Apply carries out a fault command. An outage ends by itself, as nobody can
// reach the service to end it.
func (s *Service) Apply(c Command) error {
	wait := time.Duration(c.Millis) * time.Millisecond
	switch c.Kind {
	case "latency":
		s.SetLatency(wait)
	case "outage":
		s.clock.AfterFunc(wait, func() { _ = s.SetOutage(false) })
		return s.SetOutage(true)
	case "hang":
		s.SetHang(true)
	case "resume":
		s.SetHang(false)
	case "loseAnswers":
		s.DropResponses(c.Count)
	case "loseRequests":
		s.DropRequests(c.Count)
	case "holdWrites":
		s.HoldWrites(c.Count)
	case "releaseWrites":
		s.ReleaseWrites()
	case "cutWatches":
		s.CancelWatches()
	case "compact":
		if c.Revision == 0 {
			c.Revision = s.Revision()
		}
		s.Compact(c.Revision)
	case "lapseLeases":
		s.ExpireLeases()
	default:
		return fault.New("Service.Apply", Invalid, "fault %q is not known", c.Kind)
	}
	return nil
}

func (s *Service) serveFault(w http.ResponseWriter, r *http.Request) {
	var c Command
	if !decode(w, r, &c) {
		return
	}
	if c.Kind == "outage" {
		// The answer goes out first; the outage closes its connection too.
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusNoContent)
		_ = http.NewResponseController(w).Flush()
		_ = s.Apply(c)
		return
	}
	if err := s.Apply(c); err != nil {
		refuse(w, etcd.InvalidArgument, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
