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

func TestTake(t *testing.T) {
	run := handover.Run{Key: "k", Holder: "t", Address: "10.0.0.1:80", Handle: "a1"}
	tests := []struct {
		name  string
		setup func(r *handover.Registry)
		at    time.Duration
		want  bool
	}{
		{"unknown", func(*handover.Registry) {}, 0, false},
		{"reported by a peer", func(r *handover.Registry) { r.UpdateFromPeer(start, owner(1), []handover.Run{run}) }, 3 * time.Second, true},
		{"no longer reported by its entry", func(r *handover.Registry) {
			r.UpdateFromPeer(start, owner(1), []handover.Run{run})
			r.UpdateFromPeer(start, owner(1), nil)
		}, 0, false},
		{"its entry restarted", func(r *handover.Registry) {
			r.UpdateFromPeer(start, owner(1), []handover.Run{run})
			r.UpdateFromPeer(start, owner(2), nil)
		}, time.Second, true},
		{"reported too long ago", func(r *handover.Registry) { r.UpdateFromPeer(start, owner(1), []handover.Run{run}) }, 5 * time.Second, false},
		{"still served here", func(r *handover.Registry) { r.SetLocal(run) }, 0, false},
		{"interrupted here", func(r *handover.Registry) { r.SetLocal(run); r.EndLocal(start, handover.Stream{Key: "k"}, false) }, time.Second, true},
		{"complete", func(r *handover.Registry) { r.SetLocal(run); r.EndLocal(start, handover.Stream{Key: "k"}, true) }, 0, false},
		{"taken before", func(r *handover.Registry) {
			r.UpdateFromPeer(start, owner(1), []handover.Run{run})
			r.Take(start, handover.Stream{Key: "k"})
		}, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := handover.New()
			tt.setup(r)
			got, ok := r.Take(start.Add(tt.at), handover.Stream{Key: "k"})
			is.Equal(ok, tt.want)
			if ok {
				is.Equal(got, run)
			}
		})
	}
}

// TestTakeAmongEqualRequests guards against a stream that gets the run of another one with an equal
// request.
func TestTakeAmongEqualRequests(t *testing.T) {
	a, b := handover.Run{Key: "k", Began: "a", Handle: "a"}, handover.Run{Key: "k", Began: "b", Handle: "b"}
	both := func(r *handover.Registry) { r.UpdateFromPeer(start, owner(1), []handover.Run{a, b}) }
	tests := []struct {
		name  string
		setup func(r *handover.Registry)
		began id.Request
		want  string
	}{
		{"the first of two", both, "a", "a"},
		{"the second of two", both, "b", "b"},
		{"a third one", both, "c", ""},
		{"it is not known which", both, "", ""},
		{"restored", func(r *handover.Registry) { r.Restore(start, []handover.Run{a, b}) }, "a", "a"},
		{"interrupted here", func(r *handover.Registry) {
			r.SetLocal(a)
			r.SetLocal(b)
			r.EndLocal(start, a.Stream(), false)
		}, "a", "a"},
		{"the other one is complete", func(r *handover.Registry) {
			r.SetLocal(a)
			r.SetLocal(b)
			r.EndLocal(start, a.Stream(), false)
			r.EndLocal(start, b.Stream(), true)
		}, "a", "a"},
		{"the other one is still served", func(r *handover.Registry) {
			r.SetLocal(b)
			r.UpdateFromPeer(start, owner(1), []handover.Run{a})
		}, "", ""},
		{"one alone, at two entries", func(r *handover.Registry) {
			r.SetLocal(a)
			r.EndLocal(start, a.Stream(), false)
			r.UpdateFromPeer(start, owner(1), []handover.Run{a})
		}, "", "a"},
		{"its entry does not tell the attempt", func(r *handover.Registry) {
			r.UpdateFromPeer(start, owner(1), []handover.Run{{Key: "k", Handle: "x"}})
		}, "a", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := handover.New()
			tt.setup(r)
			got, ok := r.Take(start, handover.Stream{Key: "k", Began: tt.began})
			is.Equal(got.Handle, tt.want)
			is.Equal(ok, tt.want != "")
		})
	}
}

func TestRunsToShare(t *testing.T) {
	is := is.New(t)
	r := handover.New()
	r.SetLocal(handover.Run{Key: "active"})
	r.SetLocal(handover.Run{Key: "interrupted"})
	r.SetLocal(handover.Run{Key: "complete"})
	r.EndLocal(start, handover.Stream{Key: "interrupted"}, false)
	r.EndLocal(start, handover.Stream{Key: "complete"}, true)
	is.Equal(len(r.RunsToShare(start)), 2)
	is.Equal(len(r.RunsToShare(start.Add(5*time.Second))), 1)
}

// TestOrphanedRuns checks that an entry reports another entry's runs only when that entry is
// silent or has restarted, and never to all. The runs carry their age, because entries that
// report them to each other would otherwise keep them forever.
func TestOrphanedRuns(t *testing.T) {
	is := is.New(t)
	const silence = 400 * time.Millisecond
	r := handover.New()
	r.UpdateFromPeer(start, owner(1), []handover.Run{{Key: "k", Holder: "t"}})
	is.Equal(len(r.OrphanedRuns(start, silence)), 0)
	shared := r.OrphanedRuns(start.Add(time.Second), silence)
	is.Equal(len(shared), 1)
	is.Equal(shared[0].AgoMS, int64(1000))
	is.Equal(len(r.OrphanedRuns(start.Add(time.Second), 2*time.Second)), 0)
	is.Equal(len(r.RunsToShare(start.Add(time.Second))), 0)

	third := handover.New()
	third.UpdateFromPeer(start.Add(time.Second), handover.Owner{Name: "e2"}, shared)
	is.Equal(len(third.OrphanedRuns(start.Add(2*time.Second), silence)), 0) // the report did not come from the run's entry
	_, ok := third.Take(start.Add(4500*time.Millisecond), handover.Stream{Key: "k"})
	is.True(!ok)

	r.UpdateFromPeer(start, owner(2), nil)
	is.Equal(len(r.OrphanedRuns(start, silence)), 1) // the restarted entry needs the run
	is.Equal(len(r.RunsToShare(start)), 0)
}

func TestKeyOf(t *testing.T) {
	is := is.New(t)
	is.Equal(handover.KeyOf("a", "b"), handover.KeyOf("a", "b"))
	is.True(handover.KeyOf("a", "b") != handover.KeyOf("ab", ""))
	is.True(handover.KeyOf("a", "b") != handover.KeyOf("b", "a"))
}
