package store_test

import (
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/store"
)

func TestEraTracker(t *testing.T) {
	is := is.New(t)
	tracker := store.NewEraTracker()
	is.Equal(tracker.Observe(4), store.Current) // the first era that is seen
	inFour, cancelFour := tracker.While(t.Context(), 4)
	defer cancelFour()
	is.Equal(tracker.Observe(4), store.Current)
	is.NoErr(inFour.Err())

	is.Equal(tracker.Observe(6), store.Begun)
	<-inFour.Done()
	is.Equal(tracker.Observe(4), store.Ended) // an answer that was under way
	is.Equal(tracker.Era(), store.Era(6))

	late, cancelLate := tracker.While(t.Context(), 4)
	defer cancelLate()
	is.True(late.Err() != nil) // the era had ended before
	inSix, cancelSix := tracker.While(t.Context(), 6)
	is.NoErr(inSix.Err())
	cancelSix()
	<-inSix.Done()
}
