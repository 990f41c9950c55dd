// Package balance chooses the target of a request, and the engine that holds a
// backup copy of its generation. It decides from the requests that this entry
// has in flight and from their outcomes.
//
// It does not use the targets' load reports, since they are old when they
// arrive and all entries read the same ones. It is designed for two kinds of
// trouble: long prompts, whose computation delays all generations of an engine,
// and the simultaneous loss of most engines of an availability zone.
//
// # Usage
//
//	b := balance.New(zone, rand.Float64)
//	choice, ok := b.Choose(now, request, targets, tried)
//	attempt := b.Start(now, choice, request, cancel)
//	attempt.MarkStarted(now)
//	attempt.End(now, balance.Succeeded)
//
// A Balancer is safe for concurrent use.
package balance

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Request describes what a request needs of its target.
type Request struct {
	// Engine is nil for plain services.
	Engine       *catalog.Engine
	PromptTokens int
	OutputTokens int
	// Prompt identifies the prompt, so that a repeated prompt is sent to the
	// engine that has computed it before; empty for none.
	Prompt string
	// Kind names the kind of work, if all of that kind take about equally long.
	Kind string
}

func (r *Request) memory() int { return r.PromptTokens + r.OutputTokens }

// Choice is a target and, for engines that back each other up, the engine that
// gets a backup copy of the generation.
type Choice struct {
	Target *catalog.Target
	Backup *catalog.Target
	// Reason is for the log.
	Reason Reason
}

// Reason says why a target was chosen.
type Reason string

// Reasons.
const (
	// LeastCost means that the target has the lowest expected cost.
	LeastCost Reason = "leastCost"
	// HoldsBackup means that the target holds the backup copy of the generation
	// that is resumed.
	HoldsBackup Reason = "holdsCopy"
	// ConfirmsEnd means that the stream's connection ended at the target between two events.
	ConfirmsEnd Reason = "confirmsEnd"
	// AtLimit means that the other targets are at the limits that they have named, or
	// suspected, and that the request waited for this one.
	AtLimit Reason = "atLimit"
	// LastResort means that the target is suspected, as are all others.
	LastResort Reason = "lastResort"
)

// Outcome is how an attempt at a target ended.
type Outcome string

// Outcomes.
const (
	// Succeeded means that the request was answered.
	Succeeded Outcome = "good"
	// Failed means that the target answered with an error of its own.
	Failed Outcome = "failed"
	// Refused means that the target answered that it did not run the request.
	Refused Outcome = "refused"
	// Lost means that the connection broke, or that the target sent nothing
	// more.
	Lost Outcome = "lost"
	// Unreachable means that the target accepted no connection.
	Unreachable Outcome = "unreached"
	// Replaced means that the target has ended and that its address now belongs
	// to another one.
	Replaced Outcome = "replaced"
	// Rerouted means that the entry cancelled the attempt because the target's
	// group was lost. It says nothing about the target itself.
	Rerouted Outcome = "moved"
	// ClientCancelled means that the client cancelled the request.
	ClientCancelled Outcome = "left"
)

// Balancer tracks the load and the health of targets as one entry sees them.
type Balancer struct {
	// GroupSize returns how many targets of a service are listed in a zone. If it is nil,
	// the targets that have been considered are counted. It must not be changed once the
	// Balancer is in use.
	GroupSize func(id.Service, id.Zone) int
	// ReportAge returns how old the other entries' reports of their loads may be. If it is
	// nil, they are current. It must not be changed once the Balancer is in use.
	ReportAge func() time.Duration
	// Ordered says that callers compete for room at all services, so that requests are placed
	// by when they are expected to be finished. It must not be changed once the Balancer is in use.
	Ordered bool

	zone   id.Zone
	random func() float64

	mu      sync.Mutex
	targets map[id.Target]*record
	groups  map[group]*zoneRecord
	links   map[id.Zone]*linkRecord
	// peers holds what each of the other entries has in flight; others holds the
	// sums by target.
	peers  map[id.Entry]peerLoads
	others map[id.Target]Load
	// backlogs estimates what engines have yet to compute.
	backlogs map[id.Target]backlog
	// lost holds when targets were lost, to report recent losses to the other
	// entries.
	lost map[id.TargetIncarnation]time.Time
	// replaced holds when targets were found to be replaced, for the other
	// entries.
	replaced map[id.TargetIncarnation]time.Time
	// ownHostFaultAt is when simultaneous losses in several zones were last
	// attributed to the entry's own host.
	ownHostFaultAt time.Time
	// waiting holds the attempts whose targets have not begun to answer.
	waiting map[*Attempt]struct{}
	// uneven holds the services whose targets say how fast their hosts work.
	uneven map[id.Service]bool
	// unreported holds when words of targets about their pace were heard that the other
	// entries have not been told.
	unreported map[id.Target]time.Time
	// medians holds how long work usually takes, and zones what the targets of each zone tell
	// about their pace.
	medians map[workKind]*median
	zones   map[group]*experience
	// draws round this entry's part of the room of plain services.
	draws map[id.Service]*draw
}

// New returns a Balancer for an entry in the zone. random returns numbers in
// [0, 1).
func New(zone id.Zone, random func() float64) *Balancer {
	return &Balancer{
		zone: zone, random: random,
		targets: map[id.Target]*record{}, groups: map[group]*zoneRecord{}, links: map[id.Zone]*linkRecord{}, waiting: map[*Attempt]struct{}{},
		peers: map[id.Entry]peerLoads{}, others: map[id.Target]Load{}, backlogs: map[id.Target]backlog{}, lost: map[id.TargetIncarnation]time.Time{},
		replaced: map[id.TargetIncarnation]time.Time{}, uneven: map[id.Service]bool{}, unreported: map[id.Target]time.Time{}, medians: map[workKind]*median{}, zones: map[group]*experience{},
	}
}

// Choose returns the target of lowest cost among those that are ready and were
// not tried. It returns false if there is none.
func (b *Balancer) Choose(now time.Time, request Request, targets catalog.Targets, tried map[id.Target]bool) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best, least := b.cheapest(now, request, targets, tried)
	if best == nil {
		return Choice{}, false
	}
	c := Choice{Target: best, Reason: LeastCost}
	if least >= suspectCost {
		c.Reason = LastResort
	}
	c.Backup = b.backup(now, request, targets, best, tried)
	return c, true
}

// cheapest returns the target of lowest cost, or one drawn among those of a plain service
// that cost little more. Among engines that cost at most
// affinityCost more and have hardly more to compute first, it returns the one that the
// prompt hashes to, which may still have the prompt in its memory.
func (b *Balancer) cheapest(now time.Time, request Request, targets catalog.Targets, tried map[id.Target]bool) (*catalog.Target, float64) {
	costs := make(map[*catalog.Target]float64, len(targets))
	var best *catalog.Target
	for _, t := range targets {
		if t.State != catalog.Ready || tried[t.ID] || b.isReplaced(now, t) || !b.fits(now, request, t, 1) {
			continue
		}
		costs[t] = b.cost(now, request, t)
		if best == nil || costs[t] < costs[best] {
			best = t
		}
	}
	if best != nil && request.Engine == nil {
		best = b.drawService(request, targets, costs, best)
	}
	if best == nil || request.Engine == nil || request.Prompt == "" {
		return best, costs[best]
	}
	least, backlog := costs[best], b.totalBacklog(now, best)
	var highest uint64
	for t, cost := range costs {
		score := affinity(request.Prompt, t)
		if cost <= least+affinityCost && score > highest && b.totalBacklog(now, t) <= backlog+affinityBacklog {
			best, highest = t, score
		}
	}
	return best, costs[best]
}

// affinity returns a target's score for a prompt, by rendezvous hashing.
func affinity(prompt string, t *catalog.Target) uint64 {
	return xxhash.Sum64String(prompt + "/" + string(t.ID))
}

// BackupFor returns the engine that gets the next backup copy of a generation
// that runs at the target runner, or nil.
func (b *Balancer) BackupFor(now time.Time, request Request, targets catalog.Targets, runner *catalog.Target, tried map[id.Target]bool) *catalog.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.backup(now, request, targets, runner, tried)
}

// backup returns an engine of low backup cost that runs the same version of its
// software as the runner, in another zone. Among engines that cost at most
// backupTolerance more than the cheapest, it draws one: after the loss of a zone all
// entries look for backups at the same time, with the same knowledge.
func (b *Balancer) backup(now time.Time, request Request, targets catalog.Targets, runner *catalog.Target, tried map[id.Target]bool) *catalog.Target {
	if request.Engine == nil || !request.Engine.SupportsBackup {
		return nil
	}
	candidates := make(catalog.Targets, 0, len(targets))
	costs := make([]float64, 0, len(targets))
	for _, t := range targets {
		if t.State != catalog.Ready || t.ID == runner.ID || t.Zone == runner.Zone || !t.SameSoftware(runner) || tried[t.ID] || b.isReplaced(now, t) {
			continue
		}
		// A copy leaves room for one more run.
		if cost := b.backupCost(now, request, t); cost < suspectCost && b.fits(now, request, t, 2) {
			candidates, costs = append(candidates, t), append(costs, cost)
		}
	}
	return b.drawCheap(candidates, costs)
}

// drawCheap draws one of the targets that cost at most backupTolerance more than the
// cheapest. It returns nil if there are no targets.
func (b *Balancer) drawCheap(targets catalog.Targets, costs []float64) *catalog.Target {
	if len(targets) == 0 {
		return nil
	}
	most := slices.Min(costs) + backupTolerance
	var cheap catalog.Targets
	for i, t := range targets {
		if costs[i] <= most {
			cheap = append(cheap, t)
		}
	}
	return cheap[int(b.random()*float64(len(cheap)))]
}

// Suspected reports whether new requests avoid the target.
func (b *Balancer) Suspected(now time.Time, t *catalog.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspected(now, t)
}

func (b *Balancer) suspected(now time.Time, t *catalog.Target) bool {
	r := b.record(now, t)
	return now.Before(r.suspectUntil) || now.Before(r.replacedUntil) || b.zoneRecord(t).mayBeLost(now, r)
}

// isReplaced reports whether the target's address now belongs to another one,
// so that a request sent there would be refused.
func (b *Balancer) isReplaced(now time.Time, t *catalog.Target) bool {
	return now.Before(b.record(now, t).replacedUntil)
}

// Running returns the number of requests that all entries have at a target, as far as they
// have told.
func (b *Balancer) Running(now time.Time, t *catalog.Target) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.total(b.record(now, t), t)
	return l.Running
}

// LastActivity returns when the target last sent something; zero means never.
func (b *Balancer) LastActivity(now time.Time, t *catalog.Target) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.record(now, t).lastActivity
}

// HeardFrom returns when an incarnation of a target last sent anything to this
// entry, or the zero time if that is not known.
func (b *Balancer) HeardFrom(key id.TargetIncarnation) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.targets[key.Target]
	if r == nil || r.incarnation != key.Incarnation {
		return time.Time{}
	}
	if r.refusedAt.After(r.lastActivity) {
		return r.refusedAt
	}
	return r.lastActivity
}

// ZoneHeardFrom returns when any target of a zone last sent anything to this entry, or
// the zero time if none has.
func (b *Balancer) ZoneHeardFrom(zone id.Zone) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	var last time.Time
	for _, r := range b.targets {
		if r.group.zone == zone && r.lastActivity.After(last) {
			last = r.lastActivity
		}
	}
	return last
}

// Forget drops the records of targets that are gone.
func (b *Balancer) Forget(now time.Time, gone catalog.Targets) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forgetBacklogs(now)
	for _, t := range gone {
		delete(b.unreported, t.ID)
		delete(b.targets, t.ID)
	}
}

// record returns the record of the target's current incarnation.
func (b *Balancer) record(now time.Time, t *catalog.Target) *record {
	r := b.targets[t.ID]
	if r == nil || r.incarnation != t.Incarnation {
		r = &record{incarnation: t.Incarnation, group: groupOf(t), since: now}
		b.targets[t.ID] = r
	}
	return r
}

// zoneRecord returns the record of the target's group.
func (b *Balancer) zoneRecord(t *catalog.Target) *zoneRecord {
	g := groupOf(t)
	z := b.groups[g]
	if z == nil {
		z = &zoneRecord{losses: map[id.Target]loss{}}
		b.groups[g] = z
	}
	return z
}
