package handover_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/handover"
	"foxtailward.example/foxtailward/internal/state/id"
)

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func owner(incarnation id.Incarnation) handover.Owner {
	return handover.Owner{Name: "e1", Incarnation: incarnation}
}

func TestFind(t *testing.T) {
	run := handover.Run{Key: "k", Holder: "t", Address: "10.0.0.1:80", Handle: "a1"}
	tests := []struct {
		name string
		play func(r *handover.Registry)
		at   time.Duration
		want bool
	}{
		{"never heard of", func(*handover.Registry) {}, 0, false},
		{"heard from a peer", func(r *handover.Registry) { r.UpdateFromPeer(start, owner(1), []handover.Run{run}) }, 3 * time.Second, true},
		{"no longer told by its entry", func(r *handover.Registry) {
			r.UpdateFromPeer(start, owner(1), []handover.Run{run})
			r.UpdateFromPeer(start, owner(1), nil)
		}, 0, false},
		{"its entry started again", func(r *handover.Registry) {
			r.UpdateFromPeer(start, owner(1), []handover.Run{run})
			r.UpdateFromPeer(start, owner(2), nil)
		}, time.Second, true},
		{"heard too long ago", func(r *handover.Registry) { r.UpdateFromPeer(start, owner(1), []handover.Run{run}) }, 5 * time.Second, false},
		{"still served here", func(r *handover.Registry) { r.SetLocal(run) }, 0, false},
		{"broken off here", func(r *handover.Registry) { r.SetLocal(run); r.EndLocal(start, "k", false) }, time.Second, true},
		{"whole", func(r *handover.Registry) { r.SetLocal(run); r.EndLocal(start, "k", true) }, 0, false},
		{"found before", func(r *handover.Registry) { r.UpdateFromPeer(start, owner(1), []handover.Run{run}); r.Take(start, "k") }, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := handover.New()
			tt.play(r)
			got, ok := r.Take(start.Add(tt.at), "k")
			is.Equal(ok, tt.want)
			if ok {
				is.Equal(got, run)
			}
		})
	}
}

func TestRuns(t *testing.T) {
	is := is.New(t)
	r := handover.New()
	r.SetLocal(handover.Run{Key: "runs"})
	r.SetLocal(handover.Run{Key: "broken"})
	r.SetLocal(handover.Run{Key: "whole"})
	r.EndLocal(start, "broken", false)
	r.EndLocal(start, "whole", true)
	is.Equal(len(r.RunsToShare(start)), 2)
	is.Equal(len(r.RunsToShare(start.Add(5*time.Second))), 1)
}

// An entry tells of another one's runs only once that one is silent or has
// started again, and with their age, so that they don't live for ever.
func TestRunsOfOthers(t *testing.T) {
	is := is.New(t)
	r := handover.New()
	r.UpdateFromPeer(start, owner(1), []handover.Run{{Key: "k", Holder: "t"}})
	is.Equal(len(r.RunsToShare(start)), 0)
	told := r.RunsToShare(start.Add(time.Second))
	is.Equal(len(told), 1)
	is.Equal(told[0].AgoMS, int64(1000))

	third := handover.New()
	third.UpdateFromPeer(start.Add(time.Second), handover.Owner{Name: "e2"}, told)
	is.Equal(len(third.RunsToShare(start.Add(2*time.Second))), 0) // it was not told by the run's entry
	_, ok := third.Take(start.Add(4500*time.Millisecond), "k")
	is.True(!ok)

	r.UpdateFromPeer(start, owner(2), nil)
	is.Equal(len(r.RunsToShare(start)), 1) // the entry that started again needs to know
}

func TestKeyOf(t *testing.T) {
	is := is.New(t)
	is.Equal(handover.KeyOf("a", "b"), handover.KeyOf("a", "b"))
	is.True(handover.KeyOf("a", "b") != handover.KeyOf("ab", ""))
	is.True(handover.KeyOf("a", "b") != handover.KeyOf("b", "a"))
}
