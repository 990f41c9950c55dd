package capacity_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/capacity"
	"foxtailward.example/foxtailward/internal/state/id"
)

var start = time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)

// observe returns the decisions of a decider at intervals of 200 ms, and for how long it took
// no new connections.
func observe(load func(time.Duration) capacity.Load, o capacity.Others, lasts time.Duration) (first, last capacity.Decision, away time.Duration) {
	d := capacity.New("e1", start)
	const step = 200 * time.Millisecond
	for at := step; at <= lasts; at += step {
		last = d.Observe(start.Add(at), load(at), o)
		if !last.Accepts {
			away += step
			if first == (capacity.Decision{}) {
				first = last
			}
		}
	}
	return first, last, away
}

func always(l capacity.Load) func(time.Duration) capacity.Load {
	return func(time.Duration) capacity.Load { return l }
}

func TestDeciderObserve(t *testing.T) {
	choked := capacity.Load{Processor: 0.95, Lag: 100 * time.Millisecond}
	four := capacity.Others{Alive: 3}
	tests := map[string]struct {
		load   func(time.Duration) capacity.Load
		others capacity.Others
		first  capacity.Reason
		last   capacity.Decision
	}{
		"idle":                 {load: always(capacity.Load{}), others: four, last: capacity.Decision{true, capacity.HasRoom}},
		"busy without a lag":   {load: always(capacity.Load{Processor: 1}), others: four, last: capacity.Decision{true, capacity.HasRoom}},
		"paused host":          {load: always(capacity.Load{Lag: time.Second}), others: four, last: capacity.Decision{true, capacity.HasRoom}},
		"limits not known":     {load: always(capacity.Load{Lag: time.Minute}), others: four, last: capacity.Decision{true, capacity.HasRoom}},
		"choked for good":      {load: always(choked), others: four, first: capacity.ByProcessor, last: capacity.Decision{true, capacity.AllowanceSpent}},
		"link in use for good": {load: always(capacity.Load{Link: 1}), others: four, first: capacity.ByLink, last: capacity.Decision{true, capacity.AllowanceSpent}},
		"small zone":           {load: always(choked), others: capacity.Others{Alive: 2}, last: capacity.Decision{true, capacity.OthersAway}},
		"another is away":      {load: always(choked), others: capacity.Others{Alive: 3, Away: []id.Entry{"e2"}}, last: capacity.Decision{true, capacity.OthersAway}},
		"choked for less than a second by turns": {load: func(at time.Duration) capacity.Load {
			if at%time.Second < 200*time.Millisecond {
				return capacity.Load{}
			}
			return choked
		}, others: four, last: capacity.Decision{true, capacity.HasRoom}},
		"relieved": {load: func(at time.Duration) capacity.Load {
			if at > 2*time.Second {
				return capacity.Load{Processor: 0.5}
			}
			return choked
		}, others: four, first: capacity.ByProcessor, last: capacity.Decision{true, capacity.HasRoom}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const lasts = 30 * time.Second
			first, last, away := observe(tt.load, tt.others, lasts)
			is.Equal(first.Reason, tt.first)
			is.Equal(last, tt.last)
			is.True(away < lasts/8) // an entry that isn't ready for an eighth of the time misses a duty
		})
	}
}

// Of two entries that leave at the same moment, the one whose name comes first stays away.
func TestDeciderYields(t *testing.T) {
	is := is.New(t)
	link := capacity.Load{Link: 1}
	deciders := map[id.Entry]*capacity.Decider{"e1": capacity.New("e1", start), "e2": capacity.New("e2", start)}
	for at := time.Duration(0); at <= time.Second; at += 200 * time.Millisecond {
		for _, d := range deciders {
			d.Observe(start.Add(at), link, capacity.Others{Alive: 3})
		}
	}
	now := start.Add(1200 * time.Millisecond)
	is.True(!deciders["e1"].Observe(now, link, capacity.Others{Alive: 3, Away: []id.Entry{"e2"}}).Accepts)
	is.Equal(deciders["e2"].Observe(now, link, capacity.Others{Alive: 3, Away: []id.Entry{"e1"}}), capacity.Decision{true, capacity.OthersAway})
}
