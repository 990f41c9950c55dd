package direct_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// failingStore is the key-value service during an outage. Calls about the keys with one
// prefix fail; a watch of the others, which began before its end, is never answered.
type failingStore struct {
	failing string
	down    atomic.Bool
	// begun counts the watches of the other prefix that began after the outage.
	begun atomic.Int64
}

func (f *failingStore) change(s *store.Store) {
	list, watch := s.List, s.Watch
	s.List = func(ctx context.Context, prefix string) (store.Page, error) {
		if f.down.Load() && strings.HasPrefix(prefix, f.failing) {
			time.Sleep(100 * time.Millisecond)
			return store.Page{}, fault.New("List", store.Unavailable, "down")
		}
		return list(ctx, prefix)
	}
	s.Watch = func(ctx context.Context, prefix string, after store.Point, each func(store.Change)) error {
		if !strings.HasPrefix(prefix, f.failing) {
			if !f.down.Load() {
				f.begun.Add(1)
			}
			return watch(ctx, prefix, after, each)
		}
		for !f.down.Load() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(10 * time.Millisecond):
			}
		}
		return fault.New("Watch", store.Unavailable, "down")
	}
}

// TestWatchBeginsAgainAfterReturn guards against a watch that waits on a dead connection
// while other calls show that the key-value service is back.
func TestWatchBeginsAgainAfterReturn(t *testing.T) {
	for _, failing := range []string{"targets/", "config/"} {
		t.Run(failing+" fails", func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				f := &failingStore{failing: failing}
				env.changeStore = f.change
				env.target("t1", "10.0.1.1:80", "a", respondWith(http.StatusOK, "fine", "Signed", "yes"))
				env.start()
				time.Sleep(time.Second)
				before := f.begun.Load()
				f.down.Store(true)
				time.Sleep(3 * time.Second)
				f.down.Store(false)
				time.Sleep(700 * time.Millisecond)
				synctest.Wait()
				env.is.True(f.begun.Load() > before)
				env.is.Equal(env.log.count("F0501"), 1)
			})
		})
	}
}
