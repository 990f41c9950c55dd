package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/quarantine"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// tainted is the fingerprint of a part that crashes targets, first that of one which
	// sound requests have too.
	tainted = id.Fingerprint(900)
	first   = id.Fingerprint(901)
)

// partWorld is a number of entries that all see the same ends.
type partWorld struct {
	entries []*quarantine.Shared
	now     time.Time
	targets int
}

func newPartWorld(entries int) *partWorld {
	w := &partWorld{now: time.Unix(1000, 0)}
	for i := range entries {
		w.entries = append(w.entries, quarantine.NewShared(id.Entry(fmt.Sprint("e", i)), quarantine.Activity{}))
	}
	return w
}

// lose ends a target under a run at an entry, two seconds after the last one.
func (w *partWorld) lose(entry int, run quarantine.Run) {
	w.now = w.now.Add(2 * time.Second)
	w.targets++
	run.StartedAt = w.now.Add(-time.Second)
	zone := id.Zone(fmt.Sprint("z", w.targets%3))
	w.entries[entry].TargetLost(w.now, id.TargetIncarnation{Target: id.Target(fmt.Sprint("t", w.targets))}, zone, run)
	for i, e := range w.entries {
		if i != entry {
			e.Merge(w.now, w.entries[entry].Changes(w.now))
		}
	}
}

// refused reports whether a new request with the parts is refused at all entries.
func (w *partWorld) refused(request id.Fingerprint, parts ...id.Fingerprint) bool {
	for _, e := range w.entries {
		if left, _ := e.RefusedFor(w.now.Add(quarantine.SettleTime), quarantine.Content{Request: request, Parts: parts}); left == 0 {
			return false
		}
	}
	return true
}

// TestPart checks when a part of a prompt is held to crash targets.
func TestPart(t *testing.T) {
	tests := []struct {
		name string
		play func(w *partWorld)
		// want is whether the part is refused, and wantFirst whether the one is that sound
		// requests have too.
		want, wantFirst bool
	}{
		{"different requests at different entries", func(w *partWorld) {
			for i := range 4 {
				w.entries[i%3].Proved(w.now, []id.Fingerprint{first})
				w.lose(i%3, quarantine.Run{Fingerprint: id.Fingerprint(i + 1), Parts: []id.Fingerprint{first, tainted}})
				w.entries[i%3].Proved(w.now, []id.Fingerprint{first})
			}
		}, true, false},
		{"the first part is not proven yet", func(w *partWorld) {
			for i := range 4 {
				w.lose(i%3, quarantine.Run{Fingerprint: id.Fingerprint(i + 1), Parts: []id.Fingerprint{first, tainted}})
			}
		}, false, false},
		{"one request only", func(w *partWorld) {
			for range 4 {
				w.lose(0, quarantine.Run{Fingerprint: 1, Parts: []id.Fingerprint{first, tainted}})
			}
		}, false, false},
		{"one request three times, then another", func(w *partWorld) {
			for range 3 {
				w.lose(0, quarantine.Run{Fingerprint: 1, Parts: []id.Fingerprint{tainted}})
			}
			w.lose(1, quarantine.Run{Fingerprint: 2, Parts: []id.Fingerprint{tainted}})
		}, true, false},
		{"a target lives on", func(w *partWorld) {
			for i := range 6 {
				w.lose(0, quarantine.Run{Fingerprint: id.Fingerprint(i + 1), Parts: []id.Fingerprint{tainted}})
				if i%2 == 1 {
					w.entries[0].Proved(w.now, []id.Fingerprint{tainted})
					w.entries[1].Merge(w.now, w.entries[0].Changes(w.now))
					w.entries[2].Merge(w.now, w.entries[0].Changes(w.now))
				}
			}
		}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			w := newPartWorld(3)
			test.play(w)
			is.Equal(w.refused(100, tainted), test.want)
			is.Equal(w.refused(101, first), test.wantFirst)
			is.True(!w.refused(102))
		})
	}
}

// Parts that have always run together are refused together, and a request with one of them
// runs alone to show which it is.
func TestPartsTogether(t *testing.T) {
	is := is.New(t)
	w := newPartWorld(3)
	for i := range 5 {
		w.lose(i%3, quarantine.Run{Fingerprint: id.Fingerprint(i + 1), Parts: []id.Fingerprint{first, tainted}})
	}
	is.True(w.refused(100, first, tainted))
	sound := quarantine.Content{Request: 101, Parts: []id.Fingerprint{first}}
	e := w.entries[0]
	is.Equal(e.TryStart(w.now, sound, "a", false), quarantine.MustWait)
	is.Equal(e.TryStart(w.now, quarantine.Content{Request: 102, Parts: sound.Parts}, "b", false), quarantine.HeldBack)
	w.now = w.now.Add(quarantine.SettleTime)
	is.Equal(e.Confirm(w.now, sound, "a"), quarantine.Allowed)
	e.Proved(w.now, sound.Parts)
	is.Equal(e.TryStart(w.now, quarantine.Content{Request: 102, Parts: sound.Parts}, "b", false), quarantine.Allowed)
	is.True(w.refused(103, first, tainted)) // the other part is to blame
}

// Entries that start anew take over what others saved about parts.
func TestPartSaved(t *testing.T) {
	is := is.New(t)
	w := newPartWorld(1)
	for i := range 4 {
		w.lose(0, quarantine.Run{Fingerprint: id.Fingerprint(i + 1), Parts: []id.Fingerprint{tainted}})
	}
	saved, _ := w.entries[0].Suspects(w.now)
	w.entries = []*quarantine.Shared{quarantine.NewShared("e9", quarantine.Activity{})}
	w.entries[0].Merge(w.now, saved)
	is.True(w.refused(100, tainted))
}
