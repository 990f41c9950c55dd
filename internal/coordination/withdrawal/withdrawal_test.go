package withdrawal_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/withdrawal"
	"foxtailward.example/foxtailward/internal/state/catalog"
)

var start = time.Unix(1000, 0)

func TestLeaving(t *testing.T) {
	is := is.New(t)
	a, b := &catalog.Target{ID: "a", Incarnation: 1}, &catalog.Target{ID: "b"}
	one, other := withdrawal.New(), withdrawal.New()
	is.Equal(len(one.Usable(start, catalog.Targets{a, b})), 2)
	is.True(one.Observe(start, a.Key(), withdrawal.Notice{Leaving: true}))
	is.True(!one.Observe(start, a.Key(), withdrawal.Notice{Leaving: true})) // it is known
	is.Equal(one.Usable(start.Add(time.Hour), catalog.Targets{a, b}), catalog.Targets{b})

	other.Merge(start, one.Reports(start))
	is.Equal(other.Usable(start, catalog.Targets{a, b}), catalog.Targets{b})
	is.Equal(len(other.Reports(start)), 0) // only who was told reports it
	is.Equal(len(one.Reports(start.Add(time.Minute))), 0)

	again := &catalog.Target{ID: "a", Incarnation: 2}
	is.Equal(len(one.Usable(start, catalog.Targets{again, b})), 2) // another incarnation
	one.Forget(catalog.Targets{a})
	is.Equal(len(one.Usable(start, catalog.Targets{a, b})), 2)
}

func TestPause(t *testing.T) {
	is := is.New(t)
	a, b := &catalog.Target{ID: "a"}, &catalog.Target{ID: "b"}
	both := catalog.Targets{a, b}
	tracker := withdrawal.New()
	is.True(!tracker.Observe(start, a.Key(), withdrawal.Notice{Pause: 3 * time.Second}))
	tracker.Observe(start, a.Key(), withdrawal.Notice{Pause: time.Second}) // the longer one holds
	tracker.Observe(start, b.Key(), withdrawal.Notice{Pause: 2 * time.Second})
	is.Equal(len(tracker.Usable(start.Add(1900*time.Millisecond), both)), 0)
	is.Equal(tracker.UntilUsable(start, both), 2*time.Second)
	is.Equal(tracker.Usable(start.Add(2*time.Second), both), catalog.Targets{b})
	is.Equal(len(tracker.Usable(start.Add(3*time.Second), both)), 2)
	is.Equal(tracker.UntilUsable(start.Add(3*time.Second), both), time.Duration(0))
	is.Equal(len(tracker.Reports(start)), 0) // a pause concerns this entry alone

	tracker.Observe(start, a.Key(), withdrawal.Notice{Pause: 1000 * time.Hour})
	is.Equal(len(tracker.Usable(start.Add(time.Hour), both)), 2) // no mistake lasts for good
}
