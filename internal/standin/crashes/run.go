package crashes

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/quarantine"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// step is the resolution of time.
	step = 10 * time.Millisecond
	// Crashing requests have the fingerprints from firstCrasher up to maxCrashers of them.
	// Popular contents have those from firstPopular on, all others those from firstUnique on.
	firstCrasher = id.Fingerprint(1)
	maxCrashers  = 8
	firstPopular = id.Fingerprint(10)
	popularCount = 5
	firstUnique  = id.Fingerprint(1000)
	// crashingPart is the fingerprint of the part that crashes targets. First parts have
	// the fingerprints from firstPart on.
	crashingPart = id.Fingerprint(9)
	firstPart    = id.Fingerprint(100)
	partCount    = 12
	// livedOnTime is how long after the beginning of an answer its target counts as not
	// crashed by a part.
	livedOnTime  = 500 * time.Millisecond
	popularShare = 0.1
	// zoneLossShare is the share of a lost zone's targets that end.
	zoneLossShare = 0.9
	// avoidTime is how long an entry avoids a target that it lost.
	avoidTime = 4 * time.Second
	// maxRunning is the number of requests that a target runs at the same time.
	maxRunning = 64
)

// target is a target of the deployment. Each start has a new name.
type target struct {
	id   id.TargetIncarnation
	zone int
	up   bool
	// upAt is when a target that is down starts again.
	upAt    time.Time
	running []*run
}

func (t *target) zoneName() id.Zone { return id.Zone(fmt.Sprint("z", t.zone)) }

// run is an attempt at a target.
type run struct {
	request   *request
	entry     *entry
	startedAt time.Time
	endsAt    time.Time
	// outcome is how the run ends.
	outcome outcome
	// provenAt is when the parts of the request are proven, and proven is set then.
	provenAt time.Time
	proven   bool
}

// suspectParts returns the parts that may have crashed the target of the run.
func (r *run) suspectParts() []id.Fingerprint {
	if r.proven {
		return nil
	}
	return r.request.parts
}

// outcome is how a run ends.
type outcome int

const (
	// completes stands for a crash if the request crashes targets.
	completes outcome = iota
	// fails means that the run ends in nothing.
	fails
	// breaks means that the connection breaks while the target lives.
	breaks
)

// request is one request as a client sent it.
type request struct {
	id          id.Request
	fingerprint id.Fingerprint
	parts       []id.Fingerprint
	attempts    int
	// retries is how often its client may still send it again.
	retries int
	// late is set once the request has reached a target later than allowed.
	late bool
	// waited is set if the request has waited for the reports of other entries.
	waited bool
}

func (q *request) content() quarantine.Content {
	return quarantine.Content{Request: q.fingerprint, Parts: q.parts}
}

// isCrasher reports whether the request as a whole crashes targets.
func (q *request) isCrasher() bool {
	return q.fingerprint >= firstCrasher && q.fingerprint < firstCrasher+maxCrashers
}

// crashes reports whether the request crashes the targets that run it.
func (q *request) crashes() bool {
	return q.isCrasher() || slices.Contains(q.parts, crashingPart)
}

// simulation is the state of a run.
type simulation struct {
	Options

	r       *rand.Rand
	now     time.Time
	targets []*target
	entries []*entry
	report  Report
	// names counts the target names given out so far, and requests the requests sent.
	names    int
	requests int
	// crashers holds what became of each crashing request.
	crashers map[id.Fingerprint]*crasher
	// others are the targets of another service.
	others []*target
	// resends are the requests that come again from their clients.
	resends []resend
	// fifthPartCrash is the same for the crashing part.
	fifthPartCrash time.Time
	nextUnique     id.Fingerprint
	nextLoss       time.Time
	nextOtherLoss  time.Time
}

// crasher is what became of a crashing request.
type crasher struct {
	nextSend time.Time
	// ends counts its runs that ended with their targets, and thirdAt is when the last of
	// those that it may end did.
	ends    int
	thirdAt time.Time
	// late counts its arrivals at targets later than allowed.
	late int
}

// resend is a request that its client sends again at a time.
type resend struct {
	request *request
	at      time.Time
}

// Run runs a simulation.
func Run(o Options) *Report {
	s := &simulation{Options: o, r: rand.New(rand.NewPCG(o.Seed, 2)), now: time.Unix(1_000_000, 0), nextUnique: firstUnique}
	s.report.Options = o
	for i := range o.Zones * o.TargetsPerZone {
		t := &target{zone: i % o.Zones}
		s.startTarget(t)
		s.targets = append(s.targets, t)
	}
	for range o.Entries {
		s.entries = append(s.entries, newEntry(s))
	}
	end := s.now.Add(o.Duration)
	s.addCrashers()
	s.addOthers()
	s.nextLoss = s.now.Add(o.ZoneLossInterval)
	for s.now.Before(end) {
		s.now = s.now.Add(step)
		s.advance()
	}
	return &s.report
}

// advance simulates one step.
func (s *simulation) advance() {
	for _, t := range s.targets {
		if !t.up && !s.now.Before(t.upAt) {
			s.startTarget(t)
		}
		s.finishRuns(t)
	}
	s.loseTargets()
	s.loseOthers()
	for _, e := range s.entries {
		e.exchange()
	}
	for range s.count(s.RequestsPerSecond) {
		s.report.Harmless++
		s.send(&request{fingerprint: s.harmless(), parts: s.firstPart(), attempts: s.Attempts, retries: s.clientRetries()})
	}
	if s.PartsPerSecond > 0 {
		s.sendCrashingParts()
	}
	for f := firstCrasher; f < firstCrasher+maxCrashers; f++ {
		if c := s.crashers[f]; c != nil && !s.now.Before(c.nextSend) {
			c.nextSend = s.now.Add(s.Gap)
			s.sendCrasher(f)
		}
	}
	s.sendAgain()
}

// sendCrashingParts sends the requests that share the crashing part.
func (s *simulation) sendCrashingParts() {
	for range s.count(s.PartsPerSecond) {
		s.nextUnique++
		s.send(&request{fingerprint: s.nextUnique, parts: append(s.firstPart(), crashingPart), attempts: s.Attempts})
	}
}

// sendCrasher sends the crashing request to one entry, or to several at the same time.
func (s *simulation) sendCrasher(f id.Fingerprint) {
	first := s.r.IntN(len(s.entries))
	for i := range min(max(1, s.Copies), len(s.entries)) {
		s.report.CrasherSent++
		s.sendTo(s.entries[(first+i)%len(s.entries)], &request{fingerprint: f, attempts: s.Attempts})
	}
}

// count returns how often something that happens at a rate per second happens in a step.
func (s *simulation) count(rate float64) int {
	expected := rate * step.Seconds()
	n := int(expected)
	if s.r.Float64() < expected-float64(n) {
		n++
	}
	return n
}

// firstPart returns the first part of a request; none if no part crashes targets.
func (s *simulation) firstPart() []id.Fingerprint {
	if s.PartsPerSecond == 0 {
		return nil
	}
	return []id.Fingerprint{firstPart + id.Fingerprint(s.r.IntN(partCount))}
}

// harmless returns the fingerprint of a request that crashes nothing.
func (s *simulation) harmless() id.Fingerprint {
	if s.r.Float64() < popularShare {
		return firstPopular + id.Fingerprint(s.r.IntN(popularCount))
	}
	s.nextUnique++
	return s.nextUnique
}

func (s *simulation) startTarget(t *target) {
	s.names++
	t.id, t.up = id.TargetIncarnation{Target: id.Target(fmt.Sprint("t", s.names))}, true
}

// finishRuns ends the runs of a target that are due.
func (s *simulation) finishRuns(t *target) {
	for _, r := range slices.Clone(t.running) {
		if t.up && !r.proven && !r.request.crashes() && !s.now.Before(r.provenAt) {
			r.proven = true
			r.entry.quarantine.Proved(s.now, r.request.parts)
		}
		if !t.up || s.now.Before(r.endsAt) {
			continue
		}
		if r.outcome == completes && r.request.crashes() {
			s.crash(t, r.request)
			return
		}
		t.running = slices.DeleteFunc(t.running, func(other *run) bool { return other == r })
		if r.outcome != completes {
			s.endInNothing(t, r)
			continue
		}
		r.entry.quarantine.End(r.request.content(), r.request.id)
		r.entry.heard[t.id] = s.now
		r.entry.quarantine.Proved(s.now, r.request.parts)
		r.entry.quarantine.Completed(s.now, r.request.fingerprint)
	}
}

// crash ends a target under a request that crashes targets.
func (s *simulation) crash(t *target, q *request) {
	if q.isCrasher() {
		s.report.Crashes++
		s.countEnds(t)
	} else {
		s.report.PartCrashes++
	}
	if !q.isCrasher() && s.report.PartCrashes == AllowedPartCrashes {
		s.fifthPartCrash = s.now
	}
	s.endTargets(t)
}

// loseTargets ends the targets of a zone, and single ones, when they are due.
func (s *simulation) loseTargets() {
	var lost []*target
	if s.ZoneLossInterval > 0 && !s.now.Before(s.nextLoss) {
		s.nextLoss = s.now.Add(s.ZoneLossInterval)
		zone := s.r.IntN(s.Zones)
		for _, t := range s.targets {
			if t.zone == zone && s.r.Float64() < zoneLossShare {
				lost = append(lost, t)
			}
		}
	}
	for range s.count(s.CrashesPerSecond) {
		lost = append(lost, s.targets[s.r.IntN(len(s.targets))])
	}
	lost = slices.DeleteFunc(lost, func(t *target) bool { return !t.up })
	s.report.Lost += len(lost)
	s.endTargets(lost...)
}

// endTargets ends targets at the same time. The entries learn of it by the runs there,
// and try these at other targets.
func (s *simulation) endTargets(targets ...*target) {
	var broken []*run
	for _, t := range targets {
		t.up, t.upAt = false, s.now.Add(s.Downtime)
		for _, r := range t.running {
			r.entry.lose(t, r, true)
		}
		broken = append(broken, t.running...)
		t.running = nil
	}
	for _, r := range broken {
		r.entry.try(r.request, true)
	}
}

// send sends a request to a random entry.
func (s *simulation) send(q *request) { s.sendTo(s.entries[s.r.IntN(len(s.entries))], q) }

func (s *simulation) sendTo(e *entry, q *request) {
	s.requests++
	q.id = id.Request(fmt.Sprint("r", s.requests))
	e.try(q, false)
}
