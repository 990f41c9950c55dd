//go:build knownred

package peer_test

import (
	"testing"
	"time"
)

// completeWithin is the time after a cold start of all processes by which
// every entry knows every member and holds every entry to be live.
const completeWithin = 4 * time.Minute

// checkViews checks that the views are complete, and logs how fresh reports
// are.
func (c *cluster) checkViews(t *testing.T) {
	for !c.complete(t) {
		if c.now.Sub(start) >= completeWithin {
			t.Errorf("views are not complete %v after the start", c.now.Sub(start))
			return
		}
		c.run(10 * time.Second)
	}
}

func (c *cluster) complete(t *testing.T) bool {
	ready, silent, missing, dead := 0, 0, 0, 0
	var oldest time.Duration
	for _, n := range c.nodes {
		if !n.entry {
			continue
		}
		snapshot := n.view.Snapshot()
		missing += scaleTargets - len(snapshot.Targets)
		for _, slot := range snapshot.Targets {
			target := slot.Load()
			oldest = max(oldest, c.now.Sub(target.Report.At))
			if target.TakesWork(c.now) {
				ready++
			} else {
				silent++
			}
		}
		dead += scaleEntries - len(snapshot.LiveEntries())
	}
	t.Logf("after %v: of an entry's targets %d have a young report, %d an older one, the oldest %v; missing %d, entries not live %d, over all views",
		c.now.Sub(start), ready/scaleEntries, silent/scaleEntries, oldest, missing, dead)
	return missing == 0 && dead == 0
}

// TestViewsComplete is in KNOWN-RED.txt. It runs with -tags knownred.
func TestViewsComplete(t *testing.T) {
	c := newCluster(t, scaleEntries, scaleTargets, 6)
	c.run(150 * time.Second)
	c.change(1, everyNode)
	c.untilInForce(1, everyNode)
	c.checkViews(t)
}
