package spread_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/placement"
	"foxtailward.example/foxtailward/internal/coordination/spread"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/id"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func place(i, zones int) member.Place {
	return member.Place{Host: id.Host(fmt.Sprint("h-", i)), Zone: id.Zone(fmt.Sprint("z-", i%zones))}
}

func entryReport(i, zones int) member.EntryReport {
	return member.EntryReport{Entry: id.Entry(fmt.Sprint("e-", i)), Incarnation: 1, Sequence: 1, State: member.Ready,
		Place: place(i, zones), Address: fmt.Sprint("10.0.0.1:", 1000+i), At: start}
}

func newEntry(i, zones int) (*spread.Spreader, *member.View) {
	r := entryReport(i, zones)
	v := member.NewView(member.Config{}, r.Entry)
	s := spread.New(spread.Config{Entry: r.Entry, Incarnation: 1, Place: r.Place, Address: r.Address}, v, rand.New(rand.NewPCG(1, uint64(i))), start)
	s.SetState(member.Ready)
	return s, v
}

// TestStoreCalls checks the calls per second that coordination makes to the
// key-value service, at the size of each current deployment and of the
// reference deployment. The table is in docs/design/spread.md.
func TestStoreCalls(t *testing.T) {
	for _, test := range []struct {
		name     string
		entries  int
		zones    int
		watchers int
		// leases is the number of lease calls per second; open watches are not
		// counted.
		leases float64
	}{
		{"staplerdienst", 4, 4, 4, 1},
		{"belediye", 3, 3, 3, 1},
		{"reference deployment", 350, 6, 12, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			v := member.NewView(member.Config{}, "")
			for i := range test.entries {
				v.UpdateEntry(entryReport(i, test.zones), start)
			}
			live := v.Snapshot().LiveEntries()
			watchers, candidates := 0, 0
			for i, name := range live {
				own, _ := v.EntryReport(name)
				s := spread.New(spread.Config{Entry: name, Place: own.Place}, v, rand.New(rand.NewPCG(1, uint64(i))), start)
				if s.IsWatcher() {
					watchers++
				}
				if placement.IsCandidate(name, live) {
					candidates++
				}
			}
			is.Equal(watchers, test.watchers)
			is.Equal(float64(candidates)/placement.RenewInterval.Seconds(), test.leases)
			is.True(float64(watchers)+test.leases <= 2000/2) // half of the read budget of 2000 a second
		})
	}
}

func change(revision id.Revision) conf.Change {
	value, _ := json.Marshal(map[string]any{"retention": fmt.Sprint(revision, "s")})
	return conf.Change{Revision: revision, Object: conf.DeploymentObject, Value: value, At: start}
}

// TestNeverReverts checks that the revision never decreases and that a revision
// never has the content of another one, whatever the order of changes, gaps and
// snapshots.
func TestNeverReverts(t *testing.T) {
	snapshots := []*conf.Snapshot{conf.Empty()}
	for r := id.Revision(1); r <= 12; r++ {
		next, _ := snapshots[r-1].Apply(change(r))
		snapshots = append(snapshots, next)
	}
	rapid.Check(t, func(t *rapid.T) {
		s, _ := newEntry(0, 1)
		var highest id.Revision
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			from := id.Revision(rapid.IntRange(1, 12).Draw(t, "from"))
			update := spread.Update{From: spread.Sender{Name: "peer", Revision: from}}
			if rapid.IntRange(0, 4).Draw(t, "snapshot") == 0 {
				update.Snapshot = snapshots[from]
			} else {
				for r := from; r < from+3; r++ {
					update.Changes = append(update.Changes, change(r))
				}
			}
			s.Receive(update, start)
			now := s.Snapshot()
			if now.Revision < highest {
				t.Fatalf("revision decreased from %d to %d", highest, now.Revision)
			}
			if now.Revision > 0 && now.Deployment.Retention.Std() != time.Duration(now.Revision)*time.Second {
				t.Fatalf("revision %d has the content of another revision", now.Revision)
			}
			highest = now.Revision
		}
	})
}

// A change that cannot be decoded is not applied, and ConfigError returns why
// until a change is applied.
func TestRefusedChange(t *testing.T) {
	is := is.New(t)
	s, _ := newEntry(0, 1)
	bad := change(1)
	bad.Value = json.RawMessage(`{"retention":"soon"}`)
	is.True(!s.ApplyChanges(bad))
	is.True(s.ConfigError() != nil)
	is.True(s.ApplyChanges(change(1)))
	is.NoErr(s.ConfigError())
}

func TestQuarantineSpreads(t *testing.T) {
	is := is.New(t)
	a, av := newEntry(0, 1)
	b, _ := newEntry(1, 1)
	av.UpdateEntry(entryReport(1, 1), start)
	q := spread.Quarantine{Fingerprint: 7, Until: start.Add(time.Minute), Deaths: []id.Target{"x"}}
	a.Quarantine(q, start)
	is.True(a.Urgent())
	for _, m := range a.Round(start) {
		b.Receive(m.Update, start)
	}
	got, ok := b.Quarantined(7, start)
	is.True(ok)
	is.Equal(got, q)
	_, ok = b.Quarantined(7, start.Add(2*time.Minute))
	is.True(!ok)
}

// A target is informed if the entry's host list marks its host as leaving.
func TestTargetLearnsOfLeavingHost(t *testing.T) {
	is := is.New(t)
	s, v := newEntry(0, 1)
	target := member.TargetReport{Target: "t", Incarnation: 1, Sequence: 1, State: member.Ready, Place: place(9, 1), Address: "a", Model: "m", At: start}
	report := spread.Update{From: spread.Sender{Name: "t"}, Loads: []member.TargetReport{target}}
	is.True(!s.Receive(report, start).HostLeaving)
	v.UpdateHostList(member.HostList{Hosts: map[id.Host]member.HostState{"h-9": member.HostLeaving}, At: start}, start)
	is.True(s.Receive(report, start).HostLeaving)
}

// TestChangedVersionIsRequested guards against applying a digest to a report of
// the previous version: after a version change, the receiver must request the
// full report.
func TestChangedVersionIsRequested(t *testing.T) {
	is := is.New(t)
	a, _ := newEntry(0, 1)
	b, bv := newEntry(1, 1)
	target := member.TargetReport{Target: "t", Incarnation: 1, Sequence: 1, State: member.Ready, Address: "a", Model: "m", Version: "v1", At: start}
	report := spread.Update{From: spread.Sender{Name: "t"}, Loads: []member.TargetReport{target}}
	a.Receive(report, start)
	b.Receive(report, start)
	target.Sequence, target.Version = 2, "v2"
	report.Loads[0] = target
	a.Receive(report, start)
	digest := spread.Update{From: spread.Sender{Name: "e-0"}, LoadDigests: []spread.LoadDigest{
		{Key: spread.TargetKey(&target), Sequence: 2, At: start}}}
	wants := b.Receive(digest, start).Wants
	is.Equal(len(wants), 1)
	b.HandleReply(spread.Peer{Name: "e-0"}, a.Receive(spread.Update{From: spread.Sender{Name: "e-1"}, Wants: wants}, start), start)
	got, _ := bv.TargetReport("t")
	is.Equal(got.Version, id.Version("v2"))
}
