package route_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/route"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// job is one simulated request.
type job struct {
	class   generation.Class
	prompt  int
	tokens  int
	arrived time.Duration
	entry   int
	engine  int
	begun   time.Duration
	pace    time.Duration
}

// engine is a simulated target. It has slots, computes one prompt at a time,
// and gets slower with the size of its batch. Short jobs go first.
type engine struct {
	slots      int
	slowFactor float64
	running    int
	short      int
	waiting    []*job
	prefill    []*job
	busy       bool
	// sequence is the number of the last load report.
	sequence int
}

const (
	basePace         = 31 * time.Millisecond
	batchCost        = 0.5
	prefillPerToken  = 100 * time.Microsecond
	reportLag        = 200 * time.Millisecond
	reportInterval   = time.Second
	retryInterval    = 100 * time.Millisecond
	simulatedEntries = 4
)

func (e *engine) pace() time.Duration {
	return time.Duration(float64(basePace) * e.slowFactor * (1 + batchCost*float64(e.running)/float64(e.slots)))
}

// event is an action at a point in simulated time.
type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is a discrete-event simulation of one policy.
type simulation struct {
	now     time.Duration
	events  events
	rng     *rand.Rand
	engines []*engine
	names   []id.Target
	views   []*member.View
	routers []*route.Router
	held    [][]*job
	// inFlight counts each entry's own requests at each engine. reported is the
	// load in each engine's last report.
	inFlight   [][]int
	reported   []int
	nextEngine []int
	policy     policy
	zones      int
	done       []*job
	endTimes   map[*job]time.Duration
}

// policy returns the index of an engine, or -1 to hold the job at the entry.
type policy func(s *simulation, j *job) int

func newSimulation(engines, slots, zones int, p policy, seed uint64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), policy: p, zones: zones, endTimes: map[*job]time.Duration{}}
	for i := range engines {
		s.names = append(s.names, name(i))
		s.engines = append(s.engines, &engine{slots: slots, slowFactor: 1})
	}
	s.reported = make([]int, engines)
	for i := range simulatedEntries {
		v := member.NewView(member.Config{}, "entry")
		zone := id.Zone(fmt.Sprint("z-", i%zones))
		s.views = append(s.views, v)
		s.routers = append(s.routers, route.New(route.Config{Zone: zone, Region: "r"}, v))
		s.inFlight = append(s.inFlight, make([]int, engines))
		s.held = append(s.held, nil)
		s.nextEngine = append(s.nextEngine, s.rng.IntN(engines))
	}
	for i := range engines {
		s.after(time.Duration(s.rng.Int64N(int64(reportInterval))), func() { s.report(i) })
	}
	return s
}

func (s *simulation) after(d time.Duration, do func()) { heap.Push(&s.events, event{s.now + d, do}) }

func (s *simulation) time() time.Time { return start.Add(s.now) }

func name(engine int) id.Target { return id.Target(fmt.Sprintf("t-%03d", engine)) }

// report sends an engine's load to all entries after reportLag, and schedules
// the next report.
func (s *simulation) report(i int) {
	r := s.reportOf(i)
	s.after(reportLag, func() {
		s.reported[i] = r.Running + r.Queued
		for _, v := range s.views {
			v.UpdateTarget(r, s.time())
		}
	})
	s.after(reportInterval, func() { s.report(i) })
}

// reportOf returns an engine's current load.
func (s *simulation) reportOf(i int) member.TargetReport {
	e := s.engines[i]
	e.sequence++
	queued := 0
	for _, j := range e.prefill {
		queued += j.prompt
	}
	return member.TargetReport{
		Target: name(i), Incarnation: 1, Sequence: id.Sequence(e.sequence), State: member.Ready, Address: "a",
		Place: member.Place{Zone: id.Zone(fmt.Sprint("z-", i%s.zones)), Region: "r"}, Model: "report", Version: "v",
		Slots: e.slots, Running: e.running, Queued: len(e.waiting), ShortRunning: e.short, Pace: e.pace(),
		PrefillPerToken: prefillPerToken, QueuedPrefill: queued, At: s.time(),
	}
}

// arrive routes a job, or holds it at its entry.
func (s *simulation) arrive(j *job) {
	at := s.policy(s, j)
	if at < 0 {
		s.held[j.entry] = append(s.held[j.entry], j)
		return
	}
	j.engine = at
	s.inFlight[j.entry][at]++
	s.routers[j.entry].Begin(name(at), j.class, j.prompt, s.time())
	e := s.engines[at]
	if j.class == generation.Short {
		firstLong := slices.IndexFunc(e.waiting, func(w *job) bool { return w.class != generation.Short })
		if firstLong < 0 {
			firstLong = len(e.waiting)
		}
		e.waiting = slices.Insert(e.waiting, firstLong, j)
	} else {
		e.waiting = append(e.waiting, j)
	}
	s.fill(e)
}

// fill gives free slots to waiting jobs.
func (s *simulation) fill(e *engine) {
	for e.running < e.slots && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		if j.class == generation.Short {
			e.short++
			e.prefill = slices.Insert(e.prefill, 0, j)
		} else {
			e.prefill = append(e.prefill, j)
		}
	}
	s.compute(e)
}

func (s *simulation) compute(e *engine) {
	if e.busy || len(e.prefill) == 0 {
		return
	}
	j := e.prefill[0]
	e.prefill = e.prefill[1:]
	e.busy = true
	s.after(time.Duration(float64(j.prompt)*e.slowFactor)*prefillPerToken, func() {
		e.busy = false
		s.routers[j.entry].PrefillDone(name(j.engine), j.prompt)
		j.begun, j.pace = s.now, e.pace()
		s.after(time.Duration(j.tokens)*j.pace, func() { s.end(e, j) })
		s.compute(e)
	})
}

func (s *simulation) end(e *engine, j *job) {
	e.running--
	if j.class == generation.Short {
		e.short--
	}
	s.inFlight[j.entry][j.engine]--
	r := s.routers[j.entry]
	r.End(name(j.engine), j.class, 0, s.time())
	r.Observe(name(j.engine), route.Observation{Model: "report", Pace: j.pace, Tokens: j.tokens}, s.time())
	s.endTimes[j] = s.now
	s.done = append(s.done, j)
	s.fill(e)
	s.release(j.entry)
}

// release tries to route an entry's held jobs again, until one is held again.
func (s *simulation) release(entry int) {
	held := s.held[entry]
	s.held[entry] = nil
	for i, j := range held {
		before := len(s.held[entry])
		s.arrive(j)
		if len(s.held[entry]) > before {
			s.held[entry] = append(s.held[entry], held[i+1:]...)
			return
		}
	}
}

// stream adds jobs that arrive at random at a mean rate within a time window.
func (s *simulation) stream(class generation.Class, prompt, tokens int, perSecond float64, from, to time.Duration) {
	for at := from; ; {
		at += time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= to {
			return
		}
		j := &job{class: class, prompt: prompt, tokens: max(1, int(float64(tokens)*(0.5+s.rng.Float64()))), arrived: at, entry: s.rng.IntN(simulatedEntries)}
		heap.Push(&s.events, event{at, func() { s.arrive(j) }})
	}
}

func (s *simulation) run(until time.Duration) {
	var retry func()
	retry = func() {
		for i := range s.held {
			s.release(i)
		}
		s.after(retryInterval, retry)
	}
	s.after(retryInterval, retry)
	for len(s.events) > 0 && s.events[0].at < until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

// times returns the sorted times from arrival to end of a class's jobs that
// arrived in a window, and the tokens per second of all jobs that ended in it.
func (s *simulation) times(class generation.Class, from, to time.Duration) ([]time.Duration, float64) {
	var out []time.Duration
	tokens := 0
	for _, j := range s.done {
		if j.class == class && j.arrived >= from && j.arrived < to {
			out = append(out, s.endTimes[j]-j.arrived)
		}
		if s.endTimes[j] >= from && s.endTimes[j] < to {
			tokens += j.tokens
		}
	}
	slices.SortFunc(out, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	return out, float64(tokens) / (to - from).Seconds()
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
