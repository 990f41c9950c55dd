package soak_test

import (
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/standin/soak"
)

// TestAnswerBreaks checks that living targets end no answer in a way that nothing can show.
func TestAnswerBreaks(t *testing.T) {
	const runs, events, body = 2000, 20, "b"
	is := is.New(t)
	for seed := range uint64(20) {
		breaks := soak.NewAnswerBreaks(seed)
		places := map[string]int{}
		last := -1
		for range runs {
			place, after := breaks.Draw("/r/1", body, events, max(last, 0), true)
			places[place]++
			if place == "" || place == "inHead" {
				continue
			}
			is.True(after > last)   // two ends after one event look like the end
			is.True(after < events) // this is the end
			last = after
		}
		is.True(places["inHead"] > 0)
		is.True(places["betweenEvents"] > 0)
		for range runs {
			place, after := breaks.Draw("/o/1", "once", events, 0, true)
			is.True(place != "betweenEvents" && after == 0)
			place, _ = breaks.Draw("/r/2", "framed", events, 0, false)
			is.True(place == "" || place == "inHead")
		}
	}
}
