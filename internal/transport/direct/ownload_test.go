package direct_test

import (
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"foxtailward.example/foxtailward/internal/coordination/roster"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/settings"
	"foxtailward.example/foxtailward/internal/transport/direct"
)

// An entry with a small link that is full leaves new connections to the others for a while;
// one with a large link, one that no callers compete for and one without others does not.
func TestOwnLoad(t *testing.T) {
	tests := map[string]struct {
		linkMbps float64
		ordered  bool
		others   []id.Entry
		want     bool
	}{
		"small":                 {10, true, []id.Entry{"e2", "e3", "e4"}, false},
		"large":                 {200, true, []id.Entry{"e2", "e3", "e4"}, true},
		"not known":             {0, true, []id.Entry{"e2", "e3", "e4"}, true},
		"nobody competes":       {10, false, []id.Entry{"e2", "e3", "e4"}, true},
		"only one other serves": {10, true, []id.Entry{"e2"}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is, clock := is.New(t), clockwork.NewFakeClock()
			e := direct.New(settings.Direct{
				Name: "e1", Place: settings.Place{Host: "e1", Zone: "a"}, Limits: settings.ProcessLimits{LinkMbps: tt.linkMbps}, Admission: settings.Admission{Ordered: tt.ordered},
			}, direct.Deps{Clock: clock, Log: event.NewLogfmtLog(io.Discard, clock), Metrics: metrics.NewRegistry(), Random: func() float64 { return 0 }})
			accepts := true
			for i := range 7 {
				var others []roster.Peer
				for _, name := range tt.others {
					others = append(others, roster.Peer{Name: name, Address: string(name), Zone: "a", Incarnation: 1, Sequence: id.Sequence(i + 1)})
				}
				accepts = e.MeasureLoad(250_000, others...) // 10 Mbit/s
				clock.Advance(200 * time.Millisecond)
			}
			is.Equal(accepts, tt.want)
		})
	}
}
