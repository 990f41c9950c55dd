package targetlimit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/targetlimit"
	"foxtailward.example/foxtailward/internal/state/id"
)

var (
	start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	t1    = id.TargetIncarnation{Target: "t1"}
	ten   = targetlimit.Named{Limited: true, PerSecond: 10}
)

// sent returns how many requests may be sent within a time from now on, one every 10 ms.
func sent(l *targetlimit.Limits, now time.Time, share float64, within time.Duration) int {
	n := 0
	for end := now.Add(within); now.Before(end); now = now.Add(10 * time.Millisecond) {
		if l.Take(now, t1, share, 0) {
			n++
		}
	}
	return n
}

func TestTake(t *testing.T) {
	tests := []struct {
		name  string
		share float64
		idle  time.Duration
		want  int
	}{
		{"from the first naming", 1, 0, 10},
		{"after an hour without requests", 1, time.Hour, 12},
		{"a share", 0.2, 0, 2},
		{"a share, after an hour without requests", 0.2, time.Hour, 3},
		{"no share", 0, time.Hour, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := targetlimit.New()
			l.Observe(start, start, t1, ten)
			is.Equal(sent(l, start.Add(tt.idle), tt.share, 1010*time.Millisecond), tt.want)
		})
	}
}

// Requests that wait have their places one after the other.
func TestTakeInAdvance(t *testing.T) {
	is := is.New(t)
	l := targetlimit.New()
	l.Observe(start, start, t1, ten)
	is.Equal(l.Wait(start, t1, 1), 100*time.Millisecond)
	is.True(l.Take(start, t1, 1, 100*time.Millisecond))
	is.True(!l.Take(start, t1, 1, 100*time.Millisecond))
	is.True(l.Take(start, t1, 1, 200*time.Millisecond))
	l.Return(t1) // the client has left
	is.Equal(l.Wait(start, t1, 1), 200*time.Millisecond)
	l.Charge(start, t1, 1) // a call that does not wait
	is.Equal(l.Wait(start, t1, 1), 300*time.Millisecond)
}

// What refused requests are told is spread as the limit can take them.
func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	l := targetlimit.New()
	is.Equal(l.RetryAfter(start, t1, 1), time.Duration(0))
	l.Observe(start, start, t1, ten)
	for i := range 5 {
		is.Equal(l.RetryAfter(start, t1, 0.5), time.Duration(i+1)*200*time.Millisecond)
	}
	is.Equal(l.RetryAfter(start.Add(time.Minute), t1, 0.5), time.Duration(0))
}

func TestObserve(t *testing.T) {
	later := start.Add(time.Second)
	tests := []struct {
		name  string
		apply func(l *targetlimit.Limits)
		want  bool
	}{
		{"named", func(*targetlimit.Limits) {}, true},
		{"an answer without a limit", func(l *targetlimit.Limits) {
			l.Observe(later, later, t1, targetlimit.Named{})
		}, false},
		{"an answer without a limit to an earlier request", func(l *targetlimit.Limits) {
			l.Observe(later, start, t1, targetlimit.Named{})
		}, true},
		{"named again", func(l *targetlimit.Limits) {
			l.Observe(later, later, t1, targetlimit.Named{})
			l.Observe(later, later, t1, ten)
		}, true},
		{"another entry saw the end", func(l *targetlimit.Limits) {
			l.Merge(later, []targetlimit.Report{{Target: "t1", AgeMS: 500}})
		}, false},
		{"another entry saw an earlier end", func(l *targetlimit.Limits) {
			l.Merge(later, []targetlimit.Report{{Target: "t1", AgeMS: 1500}})
		}, true},
		{"the target is gone", func(l *targetlimit.Limits) {
			l.Forget(func(id.TargetIncarnation) bool { return true })
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := targetlimit.New()
			is.True(l.Observe(start, start, t1, ten)) // it has begun
			tt.apply(l)
			_, limited := l.Limited(t1)
			is.Equal(limited, tt.want)
			_, limited = l.Limited(id.TargetIncarnation{Target: "t1", Incarnation: 2})
			is.True(!limited) // another incarnation
			is.Equal(sent(l, later, 1, 4*time.Second) <= 42, tt.want)
		})
	}
}

// An entry that never got an answer from a target learns its limit, and its end.
func TestMerge(t *testing.T) {
	is := is.New(t)
	a, b := targetlimit.New(), targetlimit.New()
	a.Observe(start, start, t1, ten)
	now := start.Add(time.Minute)
	b.Merge(now, a.Reports(now))
	perSecond, limited := b.Limited(t1)
	is.True(limited)
	is.Equal(perSecond, targetlimit.PerSecond(10))
	a.Observe(now, now, t1, targetlimit.Named{})
	b.Merge(now.Add(time.Second), a.Reports(now.Add(time.Second)))
	_, limited = b.Limited(t1)
	is.True(!limited)
	is.Equal(len(a.Reports(now.Add(time.Minute))), 0)
}

func TestShareOf(t *testing.T) {
	tests := []struct {
		name    string
		entries int
		limit   targetlimit.PerSecond
		demand  func(entry int) int
		usable  float64
	}{
		{"alone", 1, 5, func(int) int { return 7 }, 1},
		{"no demand yet", 4, 5, func(int) int { return 0 }, 1},
		{"even", 4, 5, func(int) int { return 100 }, 1},
		{"uneven", 4, 5, func(i int) int { return 100 * i }, 1},
		{"more entries than the limit can take", 30, 0.5, func(i int) int { return 10 + i }, 1},
		{"others are silent", 3, 5, func(int) int { return 100 }, 0.75},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sum, users := 0.0, 0
			for i := range tt.entries {
				d := targetlimit.Demand{Self: name(i), Own: tt.demand(i), Others: map[id.Entry]int{}, Usable: tt.usable}
				for other := range tt.entries {
					if other != i {
						d.Others[name(other)] = tt.demand(other)
					}
				}
				share := targetlimit.ShareOf("t1", tt.limit, d)
				sum += share
				if share > 0 {
					users++
				}
			}
			is.True(math.Abs(sum-tt.usable) < 1e-9)
			is.Equal(users, min(tt.entries, int(tt.limit)+3))
		})
	}
}

func name(i int) id.Entry { return id.Entry(fmt.Sprintf("e%02d", i)) }
