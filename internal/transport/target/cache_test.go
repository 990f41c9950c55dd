package target_test

import (
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/protocol/engine"
	"foxtailward.example/foxtailward/internal/transport/target"
)

// TestCacheUpdates reads pages of events in order, with a gap in the event
// numbers and a restart of the engine.
func TestCacheUpdates(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, nil)
	page := func(next uint64, numbers ...uint64) engine.CacheEvents {
		p := engine.CacheEvents{Next: next}
		for _, n := range numbers {
			p.Events = append(p.Events, engine.CacheEvent{Number: n, Kind: "stored", Block: n})
		}
		return p
	}
	e.cache = map[string]engine.CacheEvents{
		"0": page(2, 1, 2), "2": page(4, 3, 4), "4": page(8, 7, 8), "8": page(1, 1), "1": page(1),
	}
	got := make(chan target.CacheUpdate, 16)
	h := newHarness(t, engineSettings(e.URL), target.Deps{OnCacheUpdate: func(update target.CacheUpdate) { got <- update }})
	h.eventually(func() bool { h.advance(pollInterval); return len(got) == 4 })
	for _, want := range []struct {
		first uint64
		lost  bool
	}{{1, false}, {3, false}, {7, true}, {1, true}} {
		update := <-got
		is.Equal(update.Events[0].Number, want.first)
		is.Equal(update.EventsLost, want.lost)
	}
	h.advance(pollInterval)
	is.Equal(len(got), 0) // a page without events causes no update
}
