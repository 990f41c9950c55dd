package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/origin"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func TestRecord(t *testing.T) {
	is := is.New(t)
	r := origin.New()
	r.Record(start, origin.Stream{Attempt: "a", Unknown: true, Target: "t"})
	r.Record(start, origin.Stream{Attempt: "a", Software: "v1"}) // it is known now
	r.Record(start, origin.Stream{Attempt: "a", Software: "v2"}) // the version that began it stays
	s, ok := r.Find(start, "a")
	is.True(ok)
	is.Equal(s, origin.Stream{Attempt: "a", Software: "v1"})
	_, ok = r.Find(start.Add(origin.DefaultLifetime+1), "a")
	is.True(!ok)
	r.Touch(start.Add(20*time.Second), "a")
	_, ok = r.Find(start.Add(origin.DefaultLifetime+1), "a")
	is.True(ok)
	is.Equal(len(r.Own(start.Add(time.Hour))), 0)
}

func TestMerge(t *testing.T) {
	is := is.New(t)
	r := origin.New()
	changed := r.Changed()
	r.Merge(start, []origin.Stream{{Attempt: "a", Unknown: true}, {Attempt: "old", Software: "v1", AgeMS: 31_000}, {}})
	<-changed
	r.Merge(start, []origin.Stream{{Attempt: "a", Software: "v1", AgeMS: 1000}})
	r.Merge(start, []origin.Stream{{Attempt: "a", Software: "v2"}})
	s, ok := r.Find(start, "a")
	is.True(ok)
	is.Equal(s.Software, id.SoftwareVersion("v1"))
	_, ok = r.Find(start, "old")
	is.True(!ok)
	is.Equal(len(r.Own(start)), 0) // it is another entry's
}

// Streams of equal requests that began at different versions can't be told apart.
func TestContentKey(t *testing.T) {
	is := is.New(t)
	r := origin.New()
	key := origin.ContentKey("k")
	r.Record(start, origin.Stream{Attempt: key, Software: "v1"})
	s, ok := r.Find(start, key)
	is.True(ok && s.Known())
	r.Merge(start, []origin.Stream{{Attempt: key, Software: "v2"}})
	r.Record(start, origin.Stream{Attempt: key, Software: "v1"})
	s, ok = r.Find(start, key)
	is.True(ok && !s.Known())
}

// Each entry that keeps a stream is told twice, because a message may be lost, and again
// after its restart.
func TestUntold(t *testing.T) {
	is := is.New(t)
	r := origin.New()
	keepers := func(id.Request) []string { return []string{"x", "y"} }
	r.Record(start, origin.Stream{Attempt: "a", Software: "v1"})
	_, addresses := r.Tell(start, "a", []string{"x"})
	is.Equal(addresses, []string{"x"})
	is.Equal(len(r.Untold(start, 1, keepers)), 1)
	is.Equal(len(r.Untold(start, 1, keepers)), 0)
	is.Equal(len(r.Untold(start.Add(time.Second), 1, keepers)), 2)
	is.Equal(len(r.Untold(start.Add(2*time.Second), 1, keepers)), 0)
	r.Forgotten("y")
	is.Equal(len(r.Untold(start.Add(2*time.Second), 1, keepers)["y"]), 1)
	r.Untold(start.Add(3*time.Second), 1, keepers)
	other := func(id.Request) []string { return []string{"z"} }
	is.Equal(len(r.Untold(start.Add(4*time.Second), 1, other)), 0) // the same entries are alive
	is.Equal(len(r.Untold(start.Add(4*time.Second), 2, other)["z"]), 1)
}

// listed returns the targets of a service by their versions.
func listed(versions ...id.SoftwareVersion) map[id.Service]catalog.Targets {
	var targets catalog.Targets
	for _, v := range versions {
		targets = append(targets, &catalog.Target{ID: "t", Service: "m", Software: v, SoftwareUnknown: v == "?"})
	}
	return map[id.Service]catalog.Targets{"m": targets}
}

func TestSole(t *testing.T) {
	later := start.Add(origin.DefaultLifetime)
	tests := []struct {
		name string
		play func(v *origin.Versions)
		want bool
	}{
		{"one version for longer than a stream lasts", func(v *origin.Versions) { v.Observe(start, listed("v1"), true) }, true},
		{"the process has started later", func(v *origin.Versions) { v.Observe(start.Add(time.Second), listed("v1"), true) }, false},
		{"it has started later and what others saved tells", func(v *origin.Versions) { v.Cover(later) }, true},
		{"the list was not fresh meanwhile", func(v *origin.Versions) {
			v.Observe(start, listed("v1"), true)
			v.Observe(start.Add(time.Second), listed("v1"), false)
		}, false},
		{"another one served until recently", func(v *origin.Versions) {
			v.Observe(start, listed("v1"), true)
			v.Observe(start.Add(time.Second), listed("v0", "v1"), true)
		}, false},
		{"another one served long ago", func(v *origin.Versions) {
			v.Observe(start.Add(-time.Second), listed("v0", "v1"), true)
		}, true},
		{"another entry saw another one", func(v *origin.Versions) {
			v.Cover(later)
			v.Merge(later, origin.Report{Seen: []origin.SeenVersion{{Service: "m", Software: "v0", AgeMS: 29_000}}}, 0)
		}, false},
		{"another entry knows for longer", func(v *origin.Versions) {
			v.Merge(later, origin.Report{CoveredMS: 31_000}, 0)
		}, true},
		{"another target's version is unknown", func(v *origin.Versions) {
			v.Observe(start, listed("v1"), true)
			v.Merge(later, origin.Report{Seen: []origin.SeenVersion{{Service: "m", Unknown: "u"}}}, 0)
		}, false},
		{"a target's version was unknown until its record arrived", func(v *origin.Versions) { v.Observe(start, listed("?"), true) }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := origin.NewVersions()
			tt.play(v)
			v.Observe(later, listed("v1"), true)
			software, ok := v.Sole(later, "m")
			is.Equal(ok, tt.want)
			is.True(!ok || software == "v1")
		})
	}
}

func TestMixed(t *testing.T) {
	is := is.New(t)
	v := origin.NewVersions()
	is.True(!v.Observe(start, listed("v1"), true))
	is.True(!v.Mixed(start))
	is.True(v.Observe(start.Add(time.Second), listed("v1", "v2"), true)) // it has become mixed
	is.True(!v.Observe(start.Add(time.Second), listed("v1", "v2"), true))
	is.True(v.Mixed(start.Add(time.Second)))
	is.Equal(len(v.Report(start.Add(time.Second)).Seen), 2)
	is.True(!v.Mixed(start.Add(time.Hour)))
}

// TestExpire guards against streams that are kept for good while one version alone serves,
// when nothing is told or saved.
func TestExpire(t *testing.T) {
	is := is.New(t)
	r := origin.New()
	const streams = 1000
	for i := range streams {
		r.Record(start.Add(time.Duration(i)*time.Second), origin.Stream{Attempt: id.Request(fmt.Sprint("a", i))})
	}
	is.True(r.Len() <= int(origin.DefaultLifetime/time.Second)+2)
}

// TestMergeSaved guards against a version that counts as held because an entry that has ended saved it, and against one that
// is forgotten while a stream may go on that began just after the save.
func TestMergeSaved(t *testing.T) {
	is := is.New(t)
	v := origin.NewVersions()
	v.Cover(start)
	v.Observe(start, listed("v1"), true)
	v2 := origin.SeenVersion{Service: "m", Software: "v2", AgeMS: 29_000}
	v.MergeSaved(start, []origin.SeenVersion{v2}, 0)
	is.True(!v.Saved(v2.Version()))
	is.True(v.Mixed(start))
	_, sole := v.Sole(start, "m")
	is.True(!sole)
	is.Equal(len(v.Report(start).Seen), 1) // it is not told on
	late := start.Add(origin.DefaultLifetime + origin.SavedMargin)
	v.Observe(late, listed("v1"), true)
	is.True(v.Mixed(late))
	late = late.Add(time.Second)
	v.Observe(late, listed("v1"), true)
	software, sole := v.Sole(late, "m")
	is.True(sole && software == "v1")
}

// TestServe guards against a stream that begins at a version of which no entry knows that it serves.
func TestServe(t *testing.T) {
	is := is.New(t)
	v := origin.NewVersions()
	v.Observe(start, listed("v1"), true)
	process := origin.SeenProcess("m", "t", origin.UnidentifiedStart)
	is.True(v.Serve(start, process)) // it has become mixed
	is.True(!v.Serve(start, process))
	v.MarkSaved([]origin.SeenVersion{process})
	is.True(v.Saved(process))
	v.Observe(start.Add(time.Second), listed("v1"), true) // the target's record does not tell its version
	is.True(v.Mixed(start.Add(time.Second)))
	other := origin.NewVersions()
	other.Merge(start, v.Report(start), 0)
	is.True(other.Saved(process)) // another entry has saved it
	other.ForgetSaved()
	is.True(!other.Saved(process))
}
