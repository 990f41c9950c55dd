// Package balance chooses the target of a request, and the engine that holds a
// copy of its run, from what one entry has sent and what became of it.
//
// Reports of targets are old when they arrive and all entries read the same
// ones, so the choice rests on the entry's own requests in flight and on their
// outcomes. It answers two loads: prompts whose computation delays all runs of
// an engine, and the loss of most engines of an availability zone at once.
//
// # Usage
//
//	b := balance.New(zone, rand.Float64)
//	choice, ok := b.Choose(now, ask, targets, tried)
//	run := b.Start(now, choice, ask, cancel)
//	run.Began()
//	run.End(now, balance.Good)
//
// A Balancer is safe for concurrent use.
package balance

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Request is what a request needs of its target.
type Request struct {
	// Engine is nil for plain services.
	Engine       *catalog.Engine
	PromptTokens int
	OutputTokens int
	// Prompt names the prompt, so that one that comes again meets the engine
	// that has read it; empty for none.
	Prompt string
}

func (a *Request) memory() int { return a.PromptTokens + a.OutputTokens }

// Choice is a target and, for engines that back each other up, the engine that
// gets a copy of the run.
type Choice struct {
	Target *catalog.Target
	Backup *catalog.Target
	// Reason is a word for the log.
	Reason Reason
}

// Reason says why a target was chosen.
type Reason string

// Reasons.
const (
	// LeastCost targets are expected to answer first.
	LeastCost Reason = "leastCost"
	// HoldsBackup targets hold a copy of the run that goes on.
	HoldsBackup Reason = "holdsCopy"
	// LastResort targets are suspected, as are all others.
	LastResort Reason = "lastResort"
)

// Outcome is what became of a request at a target.
type Outcome string

// Outcomes.
const (
	// Succeeded requests were answered.
	Succeeded Outcome = "good"
	// Failed requests were answered with a failure of the target's own.
	Failed Outcome = "failed"
	// Refused requests were not run, by the target's word.
	Refused Outcome = "refused"
	// Lost requests ended with their connection, or with silence.
	Lost Outcome = "lost"
	// Unreachable targets took no connection.
	Unreachable Outcome = "unreached"
	// Replaced targets have ended; their address answers for another one.
	Replaced Outcome = "replaced"
	// Rerouted requests were cancelled, since the target's group was lost. That says
	// nothing of the target itself.
	Rerouted Outcome = "moved"
	// ClientCancelled requests were cancelled by their client.
	ClientCancelled Outcome = "left"
)

// Balancer holds the load and the health of targets as one entry sees them.
type Balancer struct {
	zone   id.Zone
	random func() float64

	mu      sync.Mutex
	targets map[id.Target]*record
	groups  map[group]*zoneRecord
	links   map[id.Zone]*linkRecord
	// peers holds what the other entries have in flight, others the sum of it.
	peers  map[id.Entry]peerLoads
	others map[id.Target]Load
	// lost holds when targets were lost lately, to tell the other entries.
	lost map[id.Target]time.Time
	// replaced holds when the addresses of targets answered for others lately.
	replaced map[id.Target]time.Time
	// ownTroubleAt is when losses in several zones at once were last put down to
	// the entry's own host.
	ownTroubleAt time.Time
	// waiting holds the requests that have not begun to be answered.
	waiting map[*Attempt]struct{}
}

// New returns a Balancer of an entry in the zone. random draws from [0, 1).
func New(zone id.Zone, random func() float64) *Balancer {
	return &Balancer{
		zone: zone, random: random,
		targets: map[id.Target]*record{}, groups: map[group]*zoneRecord{}, links: map[id.Zone]*linkRecord{}, waiting: map[*Attempt]struct{}{},
		peers: map[id.Entry]peerLoads{}, others: map[id.Target]Load{}, lost: map[id.Target]time.Time{},
		replaced: map[id.Target]time.Time{},
	}
}

// Choose returns the target of least cost among those that take work and were
// not tried, or false if there is none.
func (b *Balancer) Choose(now time.Time, ask Request, targets catalog.Targets, tried map[id.Target]bool) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best, least := b.cheapest(now, ask, targets, tried)
	if best == nil {
		return Choice{}, false
	}
	c := Choice{Target: best, Reason: LeastCost}
	if least >= suspectCost {
		c.Reason = LastResort
	}
	c.Backup = b.backup(now, ask, targets, best, tried)
	return c, true
}

// cheapest returns the target of least cost. Among engines that cost nearly as
// little it is the one that the prompt's name points to, which may still have
// the prompt in its memory.
func (b *Balancer) cheapest(now time.Time, ask Request, targets catalog.Targets, tried map[id.Target]bool) (*catalog.Target, float64) {
	costs := make(map[*catalog.Target]float64, len(targets))
	var best *catalog.Target
	for _, t := range targets {
		if t.State != catalog.Ready || tried[t.ID] || b.replacedNow(now, t) {
			continue
		}
		costs[t] = b.cost(now, ask, t)
		if best == nil || costs[t] < costs[best] {
			best = t
		}
	}
	if best == nil || ask.Engine == nil || ask.Prompt == "" {
		return best, costs[best]
	}
	least := costs[best]
	var highest uint64
	for t, cost := range costs {
		score := affinity(ask.Prompt, t)
		if cost <= least+affinityCost && score > highest {
			best, highest = t, score
		}
	}
	return best, costs[best]
}

// affinity returns the rank of a target for a prompt, by rendezvous hashing.
func affinity(prompt string, t *catalog.Target) uint64 {
	return xxhash.Sum64String(prompt + "/" + string(t.ID))
}

// BackupFor returns the engine that gets the next copy of a run that goes on at
// the target, or nil.
func (b *Balancer) BackupFor(now time.Time, ask Request, targets catalog.Targets, runner *catalog.Target, tried map[id.Target]bool) *catalog.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.backup(now, ask, targets, runner, tried)
}

// backup returns the engine of another zone with the least in its memory.
func (b *Balancer) backup(now time.Time, ask Request, targets catalog.Targets, runner *catalog.Target, tried map[id.Target]bool) *catalog.Target {
	if ask.Engine == nil || !ask.Engine.SupportsBackup {
		return nil
	}
	var best *catalog.Target
	least := 0.0
	for _, t := range targets {
		if t.State != catalog.Ready || t.ID == runner.ID || t.Zone == runner.Zone || tried[t.ID] || b.replacedNow(now, t) {
			continue
		}
		cost := b.backupCost(now, ask, t)
		if cost < suspectCost && (best == nil || cost < least) {
			best, least = t, cost
		}
	}
	return best
}

// Suspected reports whether new requests avoid the target.
func (b *Balancer) Suspected(now time.Time, t *catalog.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspected(now, t)
}

func (b *Balancer) suspected(now time.Time, t *catalog.Target) bool {
	r := b.record(now, t)
	return now.Before(r.suspectUntil) || now.Before(r.replacedUntil) || b.zoneRecord(t).lost(now, r)
}

// replacedNow reports whether the target's address answers for another one, so
// that a request sent there is surely refused.
func (b *Balancer) replacedNow(now time.Time, t *catalog.Target) bool {
	return now.Before(b.record(now, t).replacedUntil)
}

// LastActivity returns when the target last sent something; zero for never.
func (b *Balancer) LastActivity(now time.Time, t *catalog.Target) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.record(now, t).aliveAt
}

// Forget drops what is known of targets that are gone.
func (b *Balancer) Forget(gone catalog.Targets) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range gone {
		delete(b.targets, t.ID)
	}
}

// record returns the record of the target's present incarnation.
func (b *Balancer) record(now time.Time, t *catalog.Target) *record {
	r := b.targets[t.ID]
	if r == nil || r.incarnation != t.Incarnation {
		r = &record{incarnation: t.Incarnation, group: groupOf(t), since: now}
		b.targets[t.ID] = r
	}
	return r
}

// zoneRecord returns the record of the target's service in its zone.
func (b *Balancer) zoneRecord(t *catalog.Target) *zoneRecord {
	g := groupOf(t)
	z := b.groups[g]
	if z == nil {
		z = &zoneRecord{losses: map[id.Target]time.Time{}}
		b.groups[g] = z
	}
	return z
}
