package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/id"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func report(target id.Target, zone id.Zone, sequence id.Sequence, at time.Time) member.TargetReport {
	return member.TargetReport{
		Target: target, Incarnation: 1, Sequence: sequence, State: member.Ready, Address: "10.0.0.1:1",
		Place: member.Place{Host: id.Host("host-" + target), Zone: zone}, Model: "report", Slots: 8, At: at,
	}
}

func onlyTarget(v *member.View) *member.Target { return v.Snapshot().Targets[0].Load() }

// A target that leaves at any moment must get no work 3 s later from an entry
// that receives nothing more from it. This must hold at every phase of the
// report interval, and also if the last report took 500 ms in transit.
func TestLeavingTargetGetsNoWorkAfterThreeSeconds(t *testing.T) {
	is := is.New(t)
	const inTransit = 500 * time.Millisecond
	for phase := time.Duration(0); phase < member.DefaultReportEvery; phase += 50 * time.Millisecond {
		v := member.NewView(member.Config{}, "entry")
		last := start.Add(phase)
		// The age sent with the report does not include the transit time.
		v.UpdateTarget(report("a", "z", 1, last.Add(inTransit)), last.Add(inTransit))
		leaves := last
		is.True(onlyTarget(v).TakesWork(last.Add(inTransit)))
		// No Tick is needed for the report to expire.
		is.True(!onlyTarget(v).TakesWork(leaves.Add(3 * time.Second)))
		v.Tick(leaves.Add(3 * time.Second))
		is.Equal(onlyTarget(v).State, member.Suspect)
	}
}

func TestHostListMakesTargetLeave(t *testing.T) {
	is := is.New(t)
	v := member.NewView(member.Config{}, "entry")
	v.UpdateTarget(report("a", "z", 1, start), start)
	v.UpdateHostList(member.HostList{Hosts: map[id.Host]member.HostState{"host-a": member.HostLeaving}, At: start.Add(2)}, start)
	is.Equal(onlyTarget(v).State, member.Leaving)
	v.UpdateTarget(report("a", "z", 2, start.Add(time.Second)), start.Add(time.Second))
	is.Equal(onlyTarget(v).State, member.Leaving) // a report does not override the list
	v.UpdateHostList(member.HostList{Hosts: map[id.Host]member.HostState{"host-a": member.HostLive}, At: start.Add(1)}, start)
	is.Equal(onlyTarget(v).State, member.Leaving) // an older reading changes nothing
	v.UpdateHostList(member.HostList{Hosts: map[id.Host]member.HostState{"host-a": member.HostLive}, At: start.Add(3)}, start)
	is.Equal(onlyTarget(v).State, member.Ready)
}

func TestOldReportNeverRevives(t *testing.T) {
	leaving := report("a", "z", 5, start)
	leaving.State = member.Leaving
	gone := report("a", "z", 6, start)
	gone.State = member.Gone
	later := start.Add(time.Minute)
	newer := report("a", "z", 1, later)
	newer.Incarnation = 2
	for _, test := range []struct {
		name  string
		first []member.TargetReport
		then  member.TargetReport
		want  member.State
	}{
		{"older sequence", []member.TargetReport{gone}, report("a", "z", 4, start), member.Gone},
		{"newer sequence of a departed incarnation", []member.TargetReport{gone}, report("a", "z", 9, later), member.Gone},
		{"leaving stays leaving", []member.TargetReport{leaving}, report("a", "z", 9, later), member.Leaving},
		{"late report of a silent target", []member.TargetReport{report("a", "z", 1, start)}, report("a", "z", 9, start.Add(time.Second)), member.Gone},
		{"silent target that lives", []member.TargetReport{report("a", "z", 1, start)}, report("a", "z", 9, later.Add(time.Second)), member.Ready},
		{"new incarnation", []member.TargetReport{gone}, newer, member.Ready},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			v := member.NewView(member.Config{}, "entry")
			for _, r := range test.first {
				v.UpdateTarget(r, r.At)
			}
			if test.first[0].State != member.Leaving {
				v.Tick(later)
			}
			now := later
			if test.then.At.After(now) {
				now = test.then.At
			}
			v.UpdateTarget(test.then, now)
			v.Tick(now)
			state := member.Gone
			if targets := v.Targets(); len(targets) > 0 {
				state = targets[0].State
			}
			is.Equal(state, test.want)
		})
	}
}

func TestConnectionFailure(t *testing.T) {
	is := is.New(t)
	v := member.NewView(member.Config{}, "entry")
	v.UpdateTarget(report("a", "z", 1, start), start)
	v.MarkTargetUnreachable("a", start.Add(10))
	is.Equal(onlyTarget(v).Suspicion, member.Refused)
	v.UpdateTarget(report("a", "z", 2, start.Add(5)), start.Add(20))
	is.Equal(onlyTarget(v).State, member.Suspect) // made before the connection failure
	v.UpdateTarget(report("a", "z", 3, start.Add(30)), start.Add(30))
	is.Equal(onlyTarget(v).State, member.Ready)
	v.MarkTargetUnreachable("a", start.Add(40))
	v.MarkTargetReachable("a", start.Add(50))
	is.Equal(onlyTarget(v).State, member.Ready)
}

// feed delivers steady reports of the targets from the time offset from until
// to, and returns the changes.
func feed(v *member.View, targets []member.TargetReport, from, to time.Duration) []member.Change {
	var changes []member.Change
	for d := from; d < to; d += 100 * time.Millisecond {
		now := start.Add(d)
		if d%member.DefaultReportEvery == 0 {
			for _, r := range targets {
				r.At, r.Sequence = now, id.Sequence(d)
				v.UpdateTarget(r, now)
			}
		}
		changes = append(changes, v.Tick(now)...)
	}
	return changes
}

func TestZoneLossIsOneEvent(t *testing.T) {
	is := is.New(t)
	v := member.NewView(member.Config{}, "entry")
	var lost, kept []member.TargetReport
	for i := range 12 {
		lost = append(lost, report(id.Target(fmt.Sprint("lost-", i)), "lost", 1, start))
		kept = append(kept, report(id.Target(fmt.Sprint("kept-", i)), "kept", 1, start))
	}
	feed(v, append(lost, kept...), time.Second, 10*time.Second)
	changes := feed(v, kept, 10*time.Second, 80*time.Second)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Kind, member.ZoneLost)
	is.Equal(changes[0].Members, 12)
	is.Equal(v.Snapshot().LostZones, []id.Zone{"lost"})
	changes = feed(v, append(lost, kept...), 80*time.Second, 90*time.Second)
	is.Equal(changes[len(changes)-1].Kind, member.ZoneRecovered)
	is.Equal(len(v.Snapshot().LostZones), 0)

	one := feed(v, append(lost, kept[1:]...), 90*time.Second, 100*time.Second)
	is.Equal(len(one), 1) // a single silence is reported on its own
	is.Equal(one[0].Target, id.Target("kept-0"))
}

func TestFlappingIsDamped(t *testing.T) {
	is := is.New(t)
	v := member.NewView(member.Config{}, "entry")
	targets := []member.TargetReport{report("a", "z", 1, start)}
	period := 12 * time.Second
	for i := range 3 {
		from := time.Duration(i) * period
		feed(v, targets, from, from+8*time.Second)
		feed(v, nil, from+8*time.Second, from+period)
	}
	feed(v, targets, 3*period, 3*period+200*time.Millisecond)
	is.Equal(onlyTarget(v).Suspicion, member.Flapping)
	feed(v, targets, 3*period+time.Second, 3*period+10*time.Second)
	is.Equal(onlyTarget(v).State, member.Ready)
}

// The view ends up with the newest report, whatever the order of arrival.
func TestReportsInAnyOrder(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		v := member.NewView(member.Config{}, "entry")
		var reports []member.TargetReport
		for incarnation := range 3 {
			for sequence := range 4 {
				r := report("a", "z", id.Sequence(sequence+1), start.Add(time.Duration(incarnation*4+sequence)))
				r.Incarnation = id.Incarnation(incarnation + 1)
				reports = append(reports, r)
			}
		}
		rng.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
		for _, r := range reports {
			v.UpdateTarget(r, start.Add(time.Second))
		}
		is.Equal(onlyTarget(v).Report.Incarnation, id.Incarnation(3))
		is.Equal(onlyTarget(v).Report.Sequence, id.Sequence(4))
	}
}

func TestEntries(t *testing.T) {
	is := is.New(t)
	v := member.NewView(member.Config{}, "self")
	for _, name := range []id.Entry{"self", "other"} {
		v.UpdateEntry(member.EntryReport{Entry: name, Incarnation: 1, Sequence: 1, State: member.Ready, Address: "a", At: start}, start)
	}
	is.Equal(v.Snapshot().LiveEntries(), []id.Entry{"other", "self"})
	v.MarkEntryUnreachable("other", start.Add(1))
	is.Equal(v.Snapshot().LiveEntries(), []id.Entry{"self"})
	v.Tick(start.Add(time.Hour))
	is.Equal(v.Snapshot().LiveEntries(), []id.Entry{"self"}) // an entry does not suspect itself
}

// A change of load is visible without a new snapshot.
func TestLoadChangeMakesNoSnapshot(t *testing.T) {
	is := is.New(t)
	v := member.NewView(member.Config{}, "entry")
	v.UpdateTarget(report("a", "z", 1, start), start)
	snapshot := v.Snapshot()
	busy := report("a", "z", 2, start.Add(1))
	busy.Running = 7
	v.UpdateTarget(busy, start.Add(1))
	is.Equal(v.Snapshot(), snapshot)
	is.Equal(snapshot.Targets[0].Load().Report.Running, 7)
}
