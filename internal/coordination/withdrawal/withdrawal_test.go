package withdrawal_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/withdrawal"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
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
	one.Reports(start.Add(time.Hour + 5*time.Minute))
	is.Equal(len(one.Usable(start.Add(time.Hour+5*time.Minute), catalog.Targets{a, b})), 1)
	one.Reports(start.Add(2 * time.Hour)) // it has not been listed for long
	is.Equal(len(one.Usable(start.Add(2*time.Hour), catalog.Targets{a, b})), 2)
}

// TestIncarnations checks for which processes under a target's name it holds what one of
// them has said.
func TestIncarnations(t *testing.T) {
	tests := []struct {
		name          string
		said          id.Incarnation
		listed        id.Incarnation
		listedAfter   time.Duration
		holds, always bool
	}{
		{"the same", 3, 3, time.Minute, true, true},
		{"the start was not known", 0, 3, time.Minute, true, true},
		{"the start is no longer known", 3, 0, time.Minute, true, true},
		{"a later one", 3, 4, time.Minute, false, false},
		{"a later one whose record may have been late", 3, 4, 300 * time.Millisecond, true, false},
		{"an earlier one", 3, 2, time.Minute, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tracker := withdrawal.New()
			tracker.Observe(start, id.TargetIncarnation{Target: "a", Incarnation: tt.said}, withdrawal.Notice{Pause: time.Hour})
			target := &catalog.Target{ID: "a", Incarnation: tt.listed}
			is.Equal(tracker.Paused(start, target.Key()), tt.always)
			tracker.Listed(start.Add(tt.listedAfter), target.Key())
			is.Equal(tracker.Paused(start.Add(tt.listedAfter), target.Key()), tt.holds)
		})
	}
}

// TestReportsOfEarlierProcess guards against a process that counts as leaving because others still report what the one before it
// has said, and that is then reported as leaving itself.
func TestReportsOfEarlierProcess(t *testing.T) {
	is := is.New(t)
	first, second := id.TargetIncarnation{Target: "a", Incarnation: 1}, &catalog.Target{ID: "a", Incarnation: 2}
	teller, tracker := withdrawal.New(), withdrawal.New()
	teller.Observe(start, first, withdrawal.Notice{Leaving: true})
	now := start
	for ; now.Before(start.Add(10 * time.Second)); now = now.Add(150 * time.Millisecond) {
		tracker.Merge(now, teller.Reports(now))
		if now.Sub(start) >= 5*time.Second {
			is.True(!tracker.Listed(now, second.Key()))
			is.Equal(len(tracker.Usable(now, catalog.Targets{second})), 1)
			is.Equal(len(tracker.Reports(now)), 0)
		}
	}
	is.True(!teller.Listed(now.Add(time.Second), second.Key())) // it heard that long ago
	is.Equal(len(teller.Usable(now, catalog.Targets{second})), 1)
}

// TestUnsure checks a process whose record arrives a short time after an answer under its name has said that it is leaving.
func TestUnsure(t *testing.T) {
	second := &catalog.Target{ID: "a", Incarnation: 2}
	usable := func(tracker *withdrawal.Tracker, now time.Time) bool {
		return len(tracker.Usable(now, catalog.Targets{second})) == 1
	}
	tests := []struct {
		name    string
		said    id.Incarnation
		resolve func(tracker *withdrawal.Tracker, now time.Time)
		usable  bool
		reports int
	}{
		{"it is leaving", 1, func(tracker *withdrawal.Tracker, now time.Time) { tracker.Resolve(now, second.Key(), true) }, false, 1},
		{"it is not leaving", 1, func(tracker *withdrawal.Tracker, now time.Time) { tracker.Resolve(now, second.Key(), false) }, true, 0},
		{"it is not known", 1, func(*withdrawal.Tracker, time.Time) {}, false, 0},
		{"it says so in another answer", 1, func(tracker *withdrawal.Tracker, now time.Time) {
			tracker.Observe(now, second.Key(), withdrawal.Notice{Leaving: true})
			tracker.Resolve(now, second.Key(), false) // asked before that
		}, false, 1},
		{"another entry has heard it", 1, func(tracker *withdrawal.Tracker, now time.Time) {
			tracker.Merge(now, []withdrawal.Report{{Target: "a", Incarnation: 2}})
			tracker.Resolve(now, second.Key(), false)
		}, false, 0},
		{"its start was not known, and it is not leaving", 0, func(tracker *withdrawal.Tracker, now time.Time) { tracker.Resolve(now, second.Key(), false) }, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tracker, now := withdrawal.New(), start.Add(3*time.Second)
			tracker.Observe(start, id.TargetIncarnation{Target: "a", Incarnation: tt.said}, withdrawal.Notice{Leaving: true})
			is.True(tracker.Listed(now, second.Key()))
			is.True(!tracker.Listed(now, second.Key())) // one check is enough
			is.True(!usable(tracker, now))
			tt.resolve(tracker, now)
			is.Equal(usable(tracker, now), tt.usable)
			is.Equal(len(tracker.Reports(now)), tt.reports)
			third := id.TargetIncarnation{Target: "a", Incarnation: 3}
			is.True(!tracker.Listed(now.Add(time.Minute), third)) // all that is long ago
		})
	}
}

// TestTrying checks that a target counts as tried from the end of its pause until it has
// answered a request.
func TestTrying(t *testing.T) {
	is := is.New(t)
	a := id.TargetIncarnation{Target: "a"}
	tracker := withdrawal.New()
	tracker.Observe(start, a, withdrawal.Notice{Pause: 1500 * time.Millisecond})
	tracker.Observe(start.Add(time.Second), a, withdrawal.Notice{})              // it was sent before
	is.Equal(tracker.BeginTrial(start.Add(time.Second), a), withdrawal.MustWait) // it is paused
	for _, want := range []withdrawal.Trial{withdrawal.Tries, withdrawal.Tries, withdrawal.MustWait} {
		is.Equal(tracker.BeginTrial(start.Add(1500*time.Millisecond), a), want)
	}
	tracker.EndTrial(a)
	is.Equal(tracker.BeginTrial(start.Add(1500*time.Millisecond), a), withdrawal.Tries)
	tracker.Observe(start.Add(2*time.Second), a, withdrawal.Notice{Pause: 100 * time.Millisecond})
	is.Equal(tracker.BeginTrial(start.Add(3*time.Second), a), withdrawal.MustWait)
	tracker.Observe(start.Add(3*time.Second), a, withdrawal.Notice{})
	is.Equal(tracker.BeginTrial(start.Add(3*time.Second), a), withdrawal.NoTrial)
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
