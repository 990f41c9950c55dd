//go:build knownred

package peer_test

import (
	"testing"
	"time"
)

// completeWithin is the time after a cold start of all processes within which
// every entry must know every member and consider every entry live.
const completeWithin = 4 * time.Minute

// checkViews checks that the views become complete, and logs the age of the
// reports.
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
	fresh, stale, missing, notLive := 0, 0, 0, 0
	var oldest time.Duration
	for _, n := range c.nodes {
		if !n.isEntry {
			continue
		}
		snapshot := n.view.Snapshot()
		missing += scaleTargets - len(snapshot.Targets)
		for _, ref := range snapshot.Targets {
			target := ref.Load()
			oldest = max(oldest, c.now.Sub(target.Report.At))
			if target.TakesWork(c.now) {
				fresh++
			} else {
				stale++
			}
		}
		notLive += scaleEntries - len(snapshot.LiveEntries())
	}
	t.Logf("after %v: of an entry's targets %d have a fresh report and %d a stale one, the oldest is %v old; over all views %d targets are missing and %d entries are not live",
		c.now.Sub(start), fresh/scaleEntries, stale/scaleEntries, oldest, missing, notLive)
	return missing == 0 && notLive == 0
}

// TestViewsComplete is in KNOWN-RED.txt. It runs with -tags knownred.
func TestViewsComplete(t *testing.T) {
	c := newCluster(t, scaleEntries, scaleTargets, 6)
	c.run(150 * time.Second)
	c.writeRevision(1, everyNode)
	c.propagationTime(1, everyNode)
	c.checkViews(t)
}
