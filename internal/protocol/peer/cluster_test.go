package peer_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/spread"
	"foxtailward.example/foxtailward/internal/protocol/peer"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/id"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// hop is the simulated time between two steps. A real network hop takes a few
// milliseconds.
const hop = 100 * time.Millisecond

// traffic counts the messages and bytes that a node sends and receives.
type traffic struct{ messages, sent, received int }

type node struct {
	name        string
	address     string
	isEntry     bool
	place       member.Place
	incarnation id.Incarnation
	spreader    *spread.Spreader
	view        *member.View
	sequence    id.Sequence
	down        bool
	traffic     traffic
}

// cluster simulates nodes in one process on a virtual clock. Their messages
// are converted to protobuf and back.
type cluster struct {
	t         *testing.T
	now       time.Time
	rng       *rand.Rand
	nodes     []*node
	byAddress map[string]*node
	seeds     []string
	// partitioned reports whether two places can't reach each other.
	partitioned func(a, b member.Place) bool
	// highestRevision is the highest revision that each node has had since its
	// start.
	highestRevision map[*spread.Spreader]id.Revision
}

func newCluster(t *testing.T, entries, targets, zones int) *cluster {
	c := &cluster{t: t, now: start, rng: rand.New(rand.NewPCG(1, 1)), byAddress: map[string]*node{},
		highestRevision: map[*spread.Spreader]id.Revision{}}
	c.partitioned = func(member.Place, member.Place) bool { return false }
	for i := range entries + targets {
		n := &node{isEntry: i < entries, name: fmt.Sprintf("entry-%04d", i), address: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250)}
		if !n.isEntry {
			n.name = fmt.Sprintf("target-%04d", i-entries)
		}
		n.place = member.Place{Host: id.Host("host-" + n.name), Zone: id.Zone(fmt.Sprint("zone-", i%zones)),
			Region: id.Region(fmt.Sprint("region-", i%zones*2/zones))}
		if i < 3 {
			c.seeds = append(c.seeds, n.address)
		}
		c.byAddress[n.address] = n
		c.nodes = append(c.nodes, n)
		c.startNode(n)
	}
	return c
}

// startNode starts a process that knows only the seeds.
func (c *cluster) startNode(n *node) {
	n.down = false
	n.incarnation = id.Incarnation(c.now.UnixMilli())
	cfg := spread.Config{Incarnation: n.incarnation, Place: n.place, Address: n.address, Seeds: c.seeds}
	if n.isEntry {
		cfg.Entry = id.Entry(n.name)
	} else {
		cfg.Target = id.Target(n.name)
	}
	n.sequence = 0
	n.view = member.NewView(member.Config{}, cfg.Entry)
	n.spreader = spread.New(cfg, n.view, rand.New(rand.NewPCG(c.rng.Uint64(), 1)), c.now)
	n.spreader.SetState(member.Ready)
}

func (n *node) report(now time.Time) member.TargetReport {
	n.sequence++
	return member.TargetReport{
		Target: id.Target(n.name), Incarnation: n.incarnation, Sequence: n.sequence, State: member.Ready, Place: n.place,
		Address: n.address, Model: "report-model", Version: "2026-01-a", Role: member.Mixed, Slots: 32,
		Running: int(n.sequence) % 32, ShortRunning: 2, Pace: 31 * time.Millisecond, QueuedPrefill: 3000,
		PrefillPerToken: 100 * time.Microsecond, At: now,
	}
}

// step advances the clock by one hop and lets each node run one round.
func (c *cluster) step() {
	c.now = c.now.Add(hop)
	for _, n := range c.nodes {
		if n.down {
			continue
		}
		if !n.isEntry {
			n.spreader.SetTargetReport(n.report(c.now))
		} else if c.now.Sub(start)%time.Second == 0 {
			n.view.Tick(c.now)
		}
		for _, m := range n.spreader.Round(c.now) {
			c.deliver(n, m)
		}
		revision := n.spreader.Snapshot().Revision
		if revision < c.highestRevision[n.spreader] {
			c.t.Fatalf("%s returned from revision %d to %d", n.name, c.highestRevision[n.spreader], revision)
		}
		c.highestRevision[n.spreader] = revision
	}
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.step()
	}
}

func (c *cluster) deliver(from *node, m spread.Message) {
	to := c.byAddress[m.To.Address]
	request := must(peer.FromUpdate(&m.Update, c.now))
	size := proto.Size(request)
	from.traffic.messages++
	from.traffic.sent += size
	if to == nil || to.down || c.partitioned(from.place, to.place) {
		from.spreader.HandleFailure(m.To, c.now)
		return
	}
	to.traffic.messages++
	to.traffic.received += size
	response := to.spreader.Receive(*must(peer.ToUpdate(request, c.now)), c.now)
	reply := must(peer.FromReplyUpdate(&response, c.now))
	size = proto.Size(reply)
	to.traffic.sent += size
	from.traffic.received += size
	from.spreader.HandleReply(m.To, *must(peer.ToReplyUpdate(reply, c.now)), c.now)
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// writeRevision writes a revision to the store. The watching entries for
// which reach returns true receive it.
func (c *cluster) writeRevision(revision id.Revision, reach func(*node) bool) {
	value := must(json.Marshal(map[string]any{"models": []map[string]any{{"name": "report-model", "version": "2026-01-a", "replicas": int(revision)}}}))
	change := conf.Change{Revision: revision, Object: conf.DeploymentObject, Value: value, Author: "operator", At: c.now}
	for _, n := range c.nodes {
		if n.isEntry && !n.down && reach(n) && n.spreader.IsWatcher() {
			n.spreader.ApplyChanges(change)
		}
	}
}

// propagationTime returns the time until all nodes for which counts returns
// true have the revision.
func (c *cluster) propagationTime(revision id.Revision, counts func(*node) bool) time.Duration {
	began := c.now
	for c.now.Sub(began) < time.Minute {
		missing := 0
		for _, n := range c.nodes {
			if !n.down && counts(n) && n.spreader.Snapshot().Revision < revision {
				missing++
			}
		}
		if missing == 0 {
			break
		}
		c.step()
	}
	return c.now.Sub(began)
}

func everyNode(*node) bool { return true }

// rates returns the maximum and the mean bytes per second, sent and received,
// and the mean messages per second, of all entries or of all targets.
func (c *cluster) rates(entries bool, over time.Duration) (most, mean, messages float64) {
	count := 0.0
	for _, n := range c.nodes {
		if n.isEntry != entries {
			continue
		}
		bytes := float64(n.traffic.sent+n.traffic.received) / over.Seconds()
		most = max(most, bytes)
		mean += bytes
		messages += float64(n.traffic.messages) / over.Seconds()
		count++
	}
	return most, mean / count, messages / count
}

func (c *cluster) resetTraffic() {
	for _, n := range c.nodes {
		n.traffic = traffic{}
	}
}
