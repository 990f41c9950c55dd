package directory_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/directory"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func target(name id.Target) *catalog.Target {
	return &catalog.Target{ID: name, Service: "m", Address: "10.0.0.1:80", Zone: "a", State: catalog.Ready}
}

// record returns the record that a target wrote with a sequence.
func record(name id.Target, state catalog.TargetState, sequence id.Sequence) *catalog.Target {
	t := target(name)
	t.State, t.Sequence = state, sequence
	return t
}

func names(d *directory.Directory) []id.Target {
	var out []id.Target
	for _, t := range d.View().Targets["m"] {
		out = append(out, t.ID)
	}
	return out
}

func TestUpdateConfig(t *testing.T) {
	tests := []struct {
		name     string
		versions []catalog.Version
		want     catalog.Version
	}{
		{"first", []catalog.Version{3}, 3},
		{"newer", []catalog.Version{3, 7}, 7},
		{"older", []catalog.Version{7, 3}, 7},
		{"the same", []catalog.Version{7, 7}, 7},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := directory.New()
			for _, v := range tt.versions {
				d.UpdateConfig(&catalog.Config{Version: v})
			}
			is.Equal(d.View().Config.Version, tt.want)
		})
	}
}

func TestRemove(t *testing.T) {
	tests := []struct {
		name  string
		apply func(d *directory.Directory)
		want  []id.Target
	}{
		{"no longer listed", func(d *directory.Directory) {
			d.Remove(start, "t1", 0)
		}, []id.Target{"t2"}},
		{"while the service is unavailable", func(d *directory.Directory) {
			d.MarkStoreUnavailable()
			d.Remove(start, "t1", 0)
		}, []id.Target{"t1", "t2"}},
		{"right after the outage", func(d *directory.Directory) {
			d.MarkStoreUnavailable()
			d.MarkStoreAvailable(start)
			d.Replace(start.Add(time.Second), catalog.Targets{target("t2")})
			d.RemoveMissing(start.Add(1900 * time.Millisecond))
		}, []id.Target{"t1", "t2"}},
		{"still missing after the time-out", func(d *directory.Directory) {
			d.MarkStoreUnavailable()
			d.MarkStoreAvailable(start)
			d.Replace(start.Add(time.Second), catalog.Targets{target("t2")})
			d.RemoveMissing(start.Add(2 * time.Second))
		}, []id.Target{"t2"}},
		{"listed again in time", func(d *directory.Directory) {
			d.MarkStoreUnavailable()
			d.MarkStoreAvailable(start)
			d.Replace(start, catalog.Targets{target("t2")})
			d.Put(target("t1"))
			d.RemoveMissing(start.Add(3 * time.Second))
		}, []id.Target{"t1", "t2"}},
		{"draining while the service is unavailable", func(d *directory.Directory) {
			leaving := target("t1")
			leaving.State = catalog.Draining
			d.Put(leaving)
			d.MarkStoreUnavailable()
			d.Remove(start, "t1", 0)
		}, []id.Target{"t2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := directory.New()
			d.Replace(start, catalog.Targets{target("t2"), target("t1")})
			tt.apply(d)
			is.Equal(names(d), tt.want)
		})
	}
}

// While the service is unavailable, the list of an entry that reaches it is
// authoritative: targets missing from it are gone.
func TestReplaceFromPeer(t *testing.T) {
	is := is.New(t)
	d := directory.New()
	d.Replace(start, catalog.Targets{target("t1"), target("t2")})
	d.MarkStoreUnavailable()
	gone := d.ReplaceFromPeer(catalog.Targets{target("t2"), target("t3")})
	is.Equal(len(gone), 1)
	is.Equal(gone[0].ID, id.Target("t1"))
	is.Equal(names(d), []id.Target{"t2", "t3"})
}

// Another entry may have read only an older copy of the service's state. Its list must not
// bring back a target that has left, nor an older record of one that drains.
func TestReplaceFromPeerOlder(t *testing.T) {
	is := is.New(t)
	older := catalog.Targets{record("t1", catalog.Ready, 4), record("t2", catalog.Ready, 4)}
	d := directory.New()
	d.Replace(start, older)
	d.Put(record("t1", catalog.Draining, 5))
	d.Remove(start, "t2", 0)
	d.MarkStoreUnavailable()
	d.ReplaceFromPeer(older)
	is.Equal(names(d), []id.Target{"t1"})
	is.Equal(d.View().Targets["m"].Find("t1").State, catalog.Draining)
	d.ReplaceFromPeer(catalog.Targets{record("t2", catalog.Ready, 6)}) // it has written since
	is.Equal(names(d), []id.Target{"t2"})
}

// A target that restarts under the same name counts as a change, because
// nothing known about the previous incarnation applies to it.
func TestPutRestarted(t *testing.T) {
	is := is.New(t)
	d := directory.New()
	is.True(d.Put(target("t1")))
	is.True(!d.Put(target("t1")))
	restarted := target("t1")
	restarted.Incarnation = 5
	is.True(d.Put(restarted))
	is.Equal(d.View().Targets["m"][0].Incarnation, id.Incarnation(5))
}

// A successor has written nothing that is known, so its first records must be believed,
// whatever its predecessor had written.
func TestAddSuccessorSequence(t *testing.T) {
	is := is.New(t)
	d := directory.New()
	d.Put(record("t1", catalog.Ready, 38))
	is.True(d.AddSuccessor(start, id.TargetIncarnation{Target: "t1"}, "t2") != nil)
	d.Put(record("t2", catalog.Ready, 1))
	d.Put(record("t2", catalog.Draining, 2))
	is.Equal(d.View().Targets["m"].Find("t2").State, catalog.Draining)
}

// A successor replaces the target whose address it has. It is kept while the
// key-value service is unavailable, and for some time afterwards.
func TestAddSuccessor(t *testing.T) {
	is := is.New(t)
	d := directory.New()
	d.Put(target("t1"))
	is.Equal(d.AddSuccessor(start, id.TargetIncarnation{Target: "t9"}, "t2"), nil) // the replaced target is not known
	successor := d.AddSuccessor(start, id.TargetIncarnation{Target: "t1"}, "t2")
	is.Equal(successor.ID, id.Target("t2"))
	is.Equal(successor.Address, "10.0.0.1:80")
	is.Equal(names(d), []id.Target{"t2"})
	is.Equal(d.AddSuccessor(start, id.TargetIncarnation{Target: "t1"}, "t2"), nil) // it is already known
	d.MarkStoreUnavailable()
	is.Equal(len(d.RemoveMissing(start.Add(time.Minute))), 0)
	d.Replace(start.Add(time.Minute), nil)
	is.Equal(names(d), []id.Target{"t2"})
	d.MarkStoreAvailable(start.Add(time.Minute))
	is.Equal(len(d.RemoveMissing(start.Add(time.Minute+time.Second))), 0)
	is.Equal(len(d.RemoveMissing(start.Add(time.Minute+4*time.Second))), 1)
	is.Equal(len(names(d)), 0)
}

// Once it is listed, a successor is treated like any other target.
func TestSuccessorListed(t *testing.T) {
	is := is.New(t)
	d := directory.New()
	d.Put(target("t1"))
	d.AddSuccessor(start, id.TargetIncarnation{Target: "t1"}, "t2")
	d.Put(target("t2"))
	is.Equal(len(d.RemoveMissing(start.Add(time.Minute))), 0)
	is.Equal(names(d), []id.Target{"t2"})
	is.Equal(d.Remove(start, "t2", 0).ID, id.Target("t2"))
}

// A successor that has left must not be added again because of a late message
// from another entry, even while the target that it replaced is still listed.
func TestSuccessorReportedLate(t *testing.T) {
	is := is.New(t)
	d := directory.New()
	d.Put(target("t1"))
	d.AddSuccessor(start, id.TargetIncarnation{Target: "t1"}, "t2")
	d.Put(target("t2"))
	is.Equal(d.Remove(start.Add(time.Second), "t2", 0).ID, id.Target("t2"))
	d.Put(target("t1"))
	is.Equal(d.AddSuccessor(start.Add(2*time.Second), id.TargetIncarnation{Target: "t1"}, "t2"), nil)
}

// TestSuccessorOfEarlierProcess guards against a target that gets nothing for good after it has started again under its id, because
// a report that another one had taken the place of the process before it arrived late.
func TestSuccessorOfEarlierProcess(t *testing.T) {
	is := is.New(t)
	d := directory.New()
	restarted := target("t1")
	restarted.Incarnation = 7
	d.Put(restarted)
	is.Equal(d.AddSuccessor(start, id.TargetIncarnation{Target: "t1", Incarnation: 3}, "t2"), nil)
	d.Replace(start.Add(time.Second), catalog.Targets{restarted})
	is.Equal(names(d), []id.Target{"t1"})
	is.True(d.AddSuccessor(start.Add(time.Minute), id.TargetIncarnation{Target: "t1", Incarnation: 7}, "t2") != nil)
}

// The record of a replaced target may stay listed for a while. It must not
// bring the target back.
func TestReplacedTargetStillListed(t *testing.T) {
	is := is.New(t)
	d := directory.New()
	d.Put(target("t1"))
	d.AddSuccessor(start, id.TargetIncarnation{Target: "t1"}, "t2")
	d.Replace(start.Add(time.Second), catalog.Targets{target("t1"), target("t2")})
	is.Equal(names(d), []id.Target{"t2"})
	restarted := target("t1")
	restarted.Incarnation = 7
	d.Put(restarted)
	is.Equal(names(d), []id.Target{"t1", "t2"}) // it has restarted since
}

// After the service has returned from an older copy of its state, what it lists is not
// newer than what is known.
func TestMarkStoreRestored(t *testing.T) {
	restored := start.Add(time.Minute)
	// Before the return, t1 was ready, t2 was ready and then drained, t3 left, and t4
	// was added. The copy was made when t1, t2 and t3 were ready.
	copied := catalog.Targets{record("t1", catalog.Ready, 4), record("t2", catalog.Ready, 4), record("t3", catalog.Ready, 4)}
	restore := func() *directory.Directory {
		d := directory.New()
		d.Replace(start, copied)
		d.Put(record("t2", catalog.Draining, 5))
		d.Put(record("t4", catalog.Ready, 1))
		d.Remove(start.Add(time.Second), "t3", 0)
		d.MarkStoreRestored(restored)
		d.Replace(restored, copied)
		return d
	}
	tests := []struct {
		name  string
		apply func(d *directory.Directory)
		want  []id.Target
	}{
		{"at once", func(*directory.Directory) {}, []id.Target{"t1", "t2", "t4"}},
		{"not written again", func(d *directory.Directory) {
			d.RemoveMissing(restored.Add(2 * time.Second))
		}, []id.Target{"t1", "t2"}},
		{"written again", func(d *directory.Directory) {
			d.Put(record("t4", catalog.Ready, 1))
			d.RemoveMissing(restored.Add(2 * time.Second))
		}, []id.Target{"t1", "t2", "t4"}},
		{"the departed target has expired", func(d *directory.Directory) {
			d.Remove(restored.Add(time.Second), "t3", 0)
			d.RemoveMissing(restored.Add(time.Minute))
		}, []id.Target{"t1", "t2"}},
		{"the departed target has written again", func(d *directory.Directory) {
			d.Put(record("t3", catalog.Ready, 6))
		}, []id.Target{"t1", "t2", "t3", "t4"}},
		{"the departed target is still listed", func(d *directory.Directory) {
			d.Replace(restored.Add(10*time.Second), copied)
			d.RemoveMissing(restored.Add(10 * time.Second))
		}, []id.Target{"t1", "t2"}},
		{"listed without the departed target", func(d *directory.Directory) {
			d.Replace(restored.Add(time.Second), copied[:2])
			d.RemoveMissing(restored.Add(time.Minute))
		}, []id.Target{"t1", "t2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := restore()
			tt.apply(d)
			is.Equal(names(d), tt.want)
			is.Equal(d.View().Targets["m"].Find("t2").State, catalog.Draining)
		})
	}
}

// revised returns the record of a target that the service stored at a revision.
func revised(state catalog.TargetState, sequence id.Sequence, revision int64, at time.Time) *catalog.Target {
	t := record("t1", state, sequence)
	t.Revision, t.RecordedAt = revision, at
	return t
}

// TestOldRecordReportedLate guards against a target that is not used after it has started again under its id, or used after it has
// left, because another entry told late of an older change of its record.
func TestOldRecordReportedLate(t *testing.T) {
	of := func(incarnation id.Incarnation, state catalog.TargetState, revision int64, at time.Time) *catalog.Target {
		t := revised(state, 1, revision, at)
		t.Incarnation = incarnation
		return t
	}
	tests := []struct {
		name string
		// apply follows the record of the incarnation 7 at the revision 20.
		apply func(d *directory.Directory)
		want  catalog.TargetState // empty if the target is gone
		inc   id.Incarnation
	}{
		{"an older process drains", func(d *directory.Directory) {
			d.Put(of(3, catalog.Draining, 12, start))
		}, catalog.Ready, 7},
		{"an older process with a later time of day", func(d *directory.Directory) {
			d.Put(of(9, catalog.Draining, 12, start))
		}, catalog.Ready, 7},
		{"a later process with an earlier time of day", func(d *directory.Directory) {
			d.Put(of(3, catalog.Draining, 21, start))
		}, catalog.Draining, 3},
		{"after the service's return from an older copy", func(d *directory.Directory) {
			d.MarkStoreRestored(start.Add(time.Second))
			d.Put(of(9, catalog.Draining, 12, start.Add(2*time.Second)))
		}, catalog.Draining, 9},
		{"a record from before its removal", func(d *directory.Directory) {
			d.Remove(start.Add(time.Second), "t1", 25)
			d.Put(of(7, catalog.Ready, 22, start.Add(2*time.Second)))
		}, "", 0},
		{"a process that has started after the removal", func(d *directory.Directory) {
			d.Remove(start.Add(time.Second), "t1", 25)
			d.Put(of(9, catalog.Ready, 26, start.Add(2*time.Second)))
		}, catalog.Ready, 9},
		{"a removal of which the revision is not known", func(d *directory.Directory) {
			d.Remove(start.Add(time.Second), "t1", 0)
			d.Put(of(7, catalog.Ready, 20, start.Add(2*time.Second)))
		}, catalog.Ready, 7},
		{"long after the removal", func(d *directory.Directory) {
			d.Remove(start.Add(time.Second), "t1", 25)
			d.Put(of(9, catalog.Ready, 24, start.Add(2*time.Minute)))
		}, catalog.Ready, 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := directory.New()
			d.Put(of(7, catalog.Ready, 20, start))
			tt.apply(d)
			got := d.View().Find("t1")
			is.Equal(got != nil, tt.want != "")
			if got != nil {
				is.Equal(got.State, tt.want)
				is.Equal(got.Incarnation, tt.inc)
			}
		})
	}
}

// A record with a sequence that the target never reaches, which another writer left under
// the target's key, must not hide the target's later records.
func TestPutForeignSequence(t *testing.T) {
	const foreign = 1<<53 - 1
	tests := []struct {
		name  string
		apply func(d *directory.Directory)
		want  catalog.TargetState
	}{
		{"a change", func(d *directory.Directory) {
			d.Put(revised(catalog.Draining, 5, 12, start))
		}, catalog.Draining},
		{"a list", func(d *directory.Directory) {
			d.Replace(start, catalog.Targets{revised(catalog.Draining, 5, 12, start)})
		}, catalog.Draining},
		{"an older change", func(d *directory.Directory) {
			d.Put(revised(catalog.Draining, 5, 9, start))
		}, catalog.Ready},
		{"soon after the service's return from an older copy", func(d *directory.Directory) {
			d.MarkStoreRestored(start.Add(time.Second))
			d.Put(revised(catalog.Draining, 5, 8, start.Add(2*time.Second)))
		}, catalog.Ready},
		{"long after it", func(d *directory.Directory) {
			d.MarkStoreRestored(start.Add(time.Second))
			d.Put(revised(catalog.Draining, 25, 40, start.Add(time.Minute)))
		}, catalog.Draining},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := directory.New()
			d.Put(revised(catalog.Ready, 4, 10, start))
			d.Put(revised(catalog.Ready, foreign, 11, start))
			tt.apply(d)
			is.Equal(d.View().Targets["m"].Find("t1").State, tt.want)
		})
	}
}
