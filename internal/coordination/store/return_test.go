package store_test

import (
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/store"
)

func TestReturnTracker(t *testing.T) {
	is := is.New(t)
	tracker := store.NewReturnTracker()
	tracker.Returned()
	before, cancelBefore := tracker.While(t.Context())
	defer cancelBefore()
	is.NoErr(before.Err()) // it began after the return
	tracker.Returned()
	<-before.Done()
	later, cancelLater := tracker.While(t.Context())
	is.NoErr(later.Err())
	cancelLater()
	<-later.Done()
}
