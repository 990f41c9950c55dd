package store

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/protocol/etcd"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// keyRange returns a predicate for a range of the etcd API: the keys from first to
// end, end excluded; the key first alone if end is empty; and all keys from first
// on if end is "\x00".
func keyRange(first, end string) func(string) bool {
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

func (s *Service) itemsInRange(first, end string) []etcd.KeyValue {
	matches := keyRange(first, end)
	var out []etcd.KeyValue
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if matches(key) {
			e := s.items[key]
			out = append(out, e.toKeyValue())
		}
	}
	return out
}

// Command is a fault command, the body of POST /faults.
type Command struct {
	// Kind is one of "latency", "outage", "hang", "resume", "loseAnswers",
	// "loseRequests", "holdWrites", "releaseWrites", "cutWatches", "compact"
	// and "lapseLeases".
	Kind string `json:"kind"`
	// Millis is the latency, or the duration of an outage, in milliseconds.
	Millis int64 `json:"millis,omitempty"`
	// Count is the number of writes to drop or hold.
	Count int `json:"count,omitempty"`
	// Revision is the revision to compact at; 0 means the newest.
	Revision int64 `json:"revision,omitempty"`
}

// Apply executes a fault command. An outage ends by itself after its duration,
// because no command can reach the service meanwhile.
func (s *Service) Apply(c Command) error {
	duration := time.Duration(c.Millis) * time.Millisecond
	switch c.Kind {
	case "latency":
		s.SetLatency(duration)
	case "outage":
		s.clock.AfterFunc(duration, func() { _ = s.SetOutage(false) })
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
		// Send the response first, because the outage closes this connection too.
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusNoContent)
		_ = http.NewResponseController(w).Flush()
		_ = s.Apply(c)
		return
	}
	if err := s.Apply(c); err != nil {
		writeError(w, etcd.InvalidArgument, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
