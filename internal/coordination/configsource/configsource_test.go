package configsource_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/configsource"
)

func TestTurn(t *testing.T) {
	tests := []struct {
		entries int
		// first is the number of entries that read at once.
		first int
		last  time.Duration
	}{
		{1, 1, 0},
		{4, 4, 0},
		{23, 4, 450 * time.Millisecond},
		{350, 4, 1050 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.entries), func(t *testing.T) {
			is := is.New(t)
			var all []string
			for i := range test.entries {
				all = append(all, fmt.Sprintf("10.0.%d.%d:7200", i/250, i%250))
			}
			first, last := 0, time.Duration(0)
			for i, self := range all {
				others := append(append([]string(nil), all[:i]...), all[i+1:]...)
				turn := configsource.Turn(self, others)
				if turn == 0 {
					first++
				}
				last = max(last, turn)
			}
			is.Equal(first, test.first)
			is.Equal(last, test.last)
		})
	}
}

func TestTracker(t *testing.T) {
	is := is.New(t)
	tracker := configsource.NewTracker()
	tracker.PutInForce(5)
	is.True(!tracker.Observe("a", 4)) // older than here
	is.True(!tracker.Observe("b", 5))
	is.Equal(tracker.Holders(), []string{"b"})
	_, ok := tracker.Source(0)
	is.True(!ok) // nobody has a newer one

	is.True(tracker.Observe("c", 7))
	is.True(tracker.Observe("d", 6))
	source, ok := tracker.Source(0.99)
	is.True(ok)
	is.Equal(source, "d")
	tracker.Drop("d")
	source, ok = tracker.Source(0.99)
	is.True(ok)
	is.Equal(source, "c")

	tracker.PutInForce(7)
	is.Equal(tracker.Holders(), []string{"c"}) // the others are behind now
	_, ok = tracker.Source(0)
	is.True(!ok)

	is.True(tracker.Observe("c", 8))
	tracker.Refuse("c")
	is.True(!tracker.Observe("d", 8)) // it can't be used here, whoever has it
	_, ok = tracker.Source(0)
	is.True(!ok)
	is.True(tracker.Observe("d", 9))
}
