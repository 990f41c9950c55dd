package peer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Requirements: a change is in force on all nodes within 7 s, and the
// exchange takes at most 7 KB per second on each node.
const (
	maxPropagation    = 7 * time.Second
	maxBytesPerSecond = 7000
)

// TestSpreadAtScale checks the requirements in the reference deployment: 350
// entries and 760 targets in 6 zones of 2 regions.
func TestSpreadAtScale(t *testing.T) {
	is := is.NewRelaxed(t)
	c := newCluster(t, scaleEntries, scaleTargets, 6)
	// All 1,110 nodes start simultaneously; the traffic of the start is not measured.
	c.run(130 * time.Second)
	for _, n := range c.nodes {
		is.True(n.spreader.Joined())
	}
	c.resetTraffic()
	const over = 20 * time.Second
	c.run(over)
	for _, entries := range []bool{true, false} {
		most, mean, messages := c.rates(entries, over)
		t.Logf("entries %v: bytes/s sent and received: max %.0f, mean %.0f; messages/s sent and received: mean %.1f", entries, most, mean, messages)
		is.True(most <= maxBytesPerSecond)
	}
	watchers := 0
	for _, n := range c.nodes {
		if n.isEntry && n.spreader.IsWatcher() {
			watchers++
		}
	}
	t.Logf("watchers %d", watchers)
	is.Equal(watchers, 12)
	c.writeRevision(1, everyNode)
	took := c.propagationTime(1, everyNode)
	t.Logf("in force on all nodes after %v, with %v per hop", took, hop)
	is.True(took <= maxPropagation)
}

func newSmallCluster(t *testing.T) *cluster {
	c := newCluster(t, 36, 76, 6)
	c.run(20 * time.Second)
	c.writeRevision(1, everyNode)
	if took := c.propagationTime(1, everyNode); took > maxPropagation {
		t.Fatalf("the first revision was in force on all nodes only after %v", took)
	}
	return c
}

func TestSpreadPartition(t *testing.T) {
	is := is.New(t)
	c := newSmallCluster(t)
	inside := func(n *node) bool { return n.place.Zone == "zone-2" }
	outside := func(n *node) bool { return n.place.Zone != "zone-2" }
	c.partitioned = func(a, b member.Place) bool { return (a.Zone == "zone-2") != (b.Zone == "zone-2") }
	c.run(5 * time.Second)
	c.writeRevision(2, outside)
	took := c.propagationTime(2, outside)
	t.Logf("outside the partition after %v", took)
	is.True(took <= maxPropagation)
	for _, n := range c.nodes {
		is.True(outside(n) || n.spreader.Snapshot().Revision == 1)
	}
	c.run(3 * time.Minute) // both sides have removed each other's members
	c.writeRevision(3, outside)
	c.run(maxPropagation)
	c.partitioned = func(member.Place, member.Place) bool { return false }
	took = c.propagationTime(3, inside)
	t.Logf("inside the partition %v after its end", took)
	is.True(took <= maxPropagation)
	c.run(30 * time.Second)
	for _, n := range c.nodes {
		if n.isEntry {
			is.Equal(len(n.view.Snapshot().LiveEntries()), 36)
		}
	}
}

func TestSpreadLostWatchers(t *testing.T) {
	is := is.New(t)
	c := newSmallCluster(t)
	for _, n := range c.nodes {
		if n.isEntry && n.place.Zone == "zone-1" && n.spreader.IsWatcher() {
			n.down = true
		}
	}
	c.writeRevision(2, everyNode)
	is.True(c.propagationTime(2, everyNode) <= maxPropagation)
	c.run(15 * time.Second)
	watchers := 0
	for _, n := range c.nodes {
		if n.isEntry && !n.down && n.place.Zone == "zone-1" && n.spreader.IsWatcher() {
			watchers++
		}
	}
	is.Equal(watchers, 2) // other entries have become watchers
}

// TestSpreadRestartOneByOne replaces all nodes one by one while the store is
// down. The test fails if a node returns to an older revision or if the last
// nodes do not receive the revision from the others.
func TestSpreadRestartOneByOne(t *testing.T) {
	is := is.New(t)
	c := newSmallCluster(t)
	for _, n := range c.nodes {
		n.down = true
		c.run(2 * hop)
		c.startNode(n)
		began := c.now
		took := c.propagationTime(1, func(other *node) bool { return other == n })
		if took > maxPropagation {
			t.Fatalf("%s, started at %v, had no configuration for %v", n.name, began.Sub(start), took)
		}
		c.run(time.Second)
	}
	for _, n := range c.nodes {
		is.Equal(n.spreader.Snapshot().Revision, id.Revision(1))
	}
	c.run(10 * time.Second)
	for _, n := range c.nodes {
		if n.isEntry {
			is.Equal(len(n.view.Snapshot().LiveEntries()), 36)
		}
	}
}

// TestSpreadStalePeer checks that a process that was partitioned with an old
// revision receives the new one and does not spread the old one.
func TestSpreadStalePeer(t *testing.T) {
	is := is.New(t)
	c := newSmallCluster(t)
	stale := c.nodes[7]
	c.partitioned = func(a, b member.Place) bool { return a.Host == stale.place.Host || b.Host == stale.place.Host }
	for revision := id.Revision(2); revision < 700; revision++ {
		c.writeRevision(revision, func(n *node) bool { return n != stale })
		if revision%20 == 0 {
			c.step()
		}
	}
	c.partitioned = func(member.Place, member.Place) bool { return false }
	is.True(c.propagationTime(699, everyNode) <= maxPropagation) // the change log does not hold that many changes, so a snapshot is sent
}

// TestSpreadLeavingTarget checks that a target that reports once that it is
// leaving receives no work from any entry.
func TestSpreadLeavingTarget(t *testing.T) {
	is := is.New(t)
	c := newSmallCluster(t)
	leaver := c.nodes[40]
	report := leaver.report(c.now)
	report.State = member.Leaving
	leaver.spreader.SetTargetReport(report)
	for _, m := range leaver.spreader.Round(c.now) {
		c.deliver(leaver, m)
	}
	leaver.down = true // the target reports that it is leaving once and then sends nothing more
	c.run(3 * time.Second)
	for _, n := range c.nodes {
		if !n.isEntry {
			continue
		}
		for _, ref := range n.view.Snapshot().Targets {
			if target := ref.Load(); string(target.Report.Target) == leaver.name {
				is.True(!target.TakesWork(c.now))
			}
		}
	}
}
