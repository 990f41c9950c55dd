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

// job is one request of the loop.
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

// engine is a target with slots, a prefill that takes one prompt at a time,
// and a pace that grows with its batch. It lets short work go first.
type engine struct {
	slots   int
	slow    float64
	running int
	short   int
	waiting []*job
	prefill []*job
	busy    bool
	// sequence numbers the reports.
	sequence int
}

const (
	basePace         = 31 * time.Millisecond
	batchCost        = 0.5
	prefillPerToken  = 100 * time.Microsecond
	reportLag        = 200 * time.Millisecond
	reportEvery      = time.Second
	holdRetry        = 100 * time.Millisecond
	simulatedEntries = 4
)

func (e *engine) pace() time.Duration {
	return time.Duration(float64(basePace) * e.slow * (1 + batchCost*float64(e.running)/float64(e.slots)))
}

// event is something that happens at a time.
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

// loop is a discrete-event run of one policy.
type loop struct {
	now     time.Duration
	events  events
	rng     *rand.Rand
	engines []*engine
	names   []id.Target
	views   []*member.View
	routers []*route.Router
	held    [][]*job
	// inFlight counts each entry's own requests at each engine; reported is
	// the load of the last report.
	inFlight [][]int
	reported []int
	turn     []int
	policy   policy
	zones    int
	done     []*job
	ends     map[*job]time.Duration
}

// policy chooses an engine, or -1 to hold the job at the entry.
type policy func(l *loop, j *job) int

func newLoop(engines, slots, zones int, p policy, seed uint64) *loop {
	l := &loop{rng: rand.New(rand.NewPCG(seed, 1)), policy: p, zones: zones, ends: map[*job]time.Duration{}}
	for i := range engines {
		l.names = append(l.names, name(i))
		l.engines = append(l.engines, &engine{slots: slots, slow: 1})
	}
	l.reported = make([]int, engines)
	for i := range simulatedEntries {
		v := member.NewView(member.Config{}, "entry")
		zone := id.Zone(fmt.Sprint("z-", i%zones))
		l.views = append(l.views, v)
		l.routers = append(l.routers, route.New(route.Config{Zone: zone, Region: "r"}, v))
		l.inFlight = append(l.inFlight, make([]int, engines))
		l.held = append(l.held, nil)
		l.turn = append(l.turn, l.rng.IntN(engines))
	}
	for i := range engines {
		l.after(time.Duration(l.rng.Int64N(int64(reportEvery))), func() { l.report(i) })
	}
	return l
}

func (l *loop) after(d time.Duration, do func()) { heap.Push(&l.events, event{l.now + d, do}) }

func (l *loop) time() time.Time { return start.Add(l.now) }

func name(engine int) id.Target { return id.Target(fmt.Sprintf("t-%03d", engine)) }

// report sends an engine's load to all entries, with a lag.
func (l *loop) report(i int) {
	r := l.reportOf(i)
	l.after(reportLag, func() {
		l.reported[i] = r.Running + r.Queued
		for _, v := range l.views {
			v.UpdateTarget(r, l.time())
		}
	})
	l.after(reportEvery, func() { l.report(i) })
}

// reportOf returns an engine's load as it is.
func (l *loop) reportOf(i int) member.TargetReport {
	e := l.engines[i]
	e.sequence++
	queued := 0
	for _, j := range e.prefill {
		queued += j.prompt
	}
	return member.TargetReport{
		Target: name(i), Incarnation: 1, Sequence: id.Sequence(e.sequence), State: member.Ready, Address: "a",
		Place: member.Place{Zone: id.Zone(fmt.Sprint("z-", i%l.zones)), Region: "r"}, Model: "report", Version: "v",
		Slots: e.slots, Running: e.running, Queued: len(e.waiting), ShortRunning: e.short, Pace: e.pace(),
		PrefillPerToken: prefillPerToken, QueuedPrefill: queued, At: l.time(),
	}
}

// arrive routes a job, or holds it at its entry.
func (l *loop) arrive(j *job) {
	at := l.policy(l, j)
	if at < 0 {
		l.held[j.entry] = append(l.held[j.entry], j)
		return
	}
	j.engine = at
	l.inFlight[j.entry][at]++
	l.routers[j.entry].Begin(name(at), j.class, j.prompt, l.time())
	e := l.engines[at]
	if j.class == generation.Short {
		firstLong := slices.IndexFunc(e.waiting, func(w *job) bool { return w.class != generation.Short })
		if firstLong < 0 {
			firstLong = len(e.waiting)
		}
		e.waiting = slices.Insert(e.waiting, firstLong, j)
	} else {
		e.waiting = append(e.waiting, j)
	}
	l.fill(e)
}

// fill gives free slots to waiting jobs.
func (l *loop) fill(e *engine) {
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
	l.compute(e)
}

func (l *loop) compute(e *engine) {
	if e.busy || len(e.prefill) == 0 {
		return
	}
	j := e.prefill[0]
	e.prefill = e.prefill[1:]
	e.busy = true
	l.after(time.Duration(float64(j.prompt)*e.slow)*prefillPerToken, func() {
		e.busy = false
		l.routers[j.entry].PrefillDone(name(j.engine), j.prompt)
		j.begun, j.pace = l.now, e.pace()
		l.after(time.Duration(j.tokens)*j.pace, func() { l.end(e, j) })
		l.compute(e)
	})
}

func (l *loop) end(e *engine, j *job) {
	e.running--
	if j.class == generation.Short {
		e.short--
	}
	l.inFlight[j.entry][j.engine]--
	r := l.routers[j.entry]
	r.End(name(j.engine), j.class, 0, l.time())
	r.Observe(name(j.engine), route.Observation{Model: "report", Pace: j.pace, Tokens: j.tokens}, l.time())
	l.ends[j] = l.now
	l.done = append(l.done, j)
	l.fill(e)
	l.release(j.entry)
}

// release tries an entry's held jobs again.
func (l *loop) release(entry int) {
	held := l.held[entry]
	l.held[entry] = nil
	for i, j := range held {
		before := len(l.held[entry])
		l.arrive(j)
		if len(l.held[entry]) > before {
			l.held[entry] = append(l.held[entry], held[i+1:]...)
			return
		}
	}
}

// stream lets jobs come at a rate from a time to another.
func (l *loop) stream(class generation.Class, prompt, tokens int, perSecond float64, from, to time.Duration) {
	for at := from; ; {
		at += time.Duration(l.rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= to {
			return
		}
		j := &job{class: class, prompt: prompt, tokens: max(1, int(float64(tokens)*(0.5+l.rng.Float64()))), arrived: at, entry: l.rng.IntN(simulatedEntries)}
		heap.Push(&l.events, event{at, func() { l.arrive(j) }})
	}
}

func (l *loop) run(until time.Duration) {
	var retry func()
	retry = func() {
		for i := range l.held {
			l.release(i)
		}
		l.after(holdRetry, retry)
	}
	l.after(holdRetry, retry)
	for len(l.events) > 0 && l.events[0].at < until {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.do()
	}
}

// times returns the sorted times from arrival to end of a class's jobs that
// came in a window, and the tokens a second of all jobs that ended in it.
func (l *loop) times(class generation.Class, from, to time.Duration) ([]time.Duration, float64) {
	var out []time.Duration
	tokens := 0
	for _, j := range l.done {
		if j.class == class && j.arrived >= from && j.arrived < to {
			out = append(out, l.ends[j]-j.arrived)
		}
		if l.ends[j] >= from && l.ends[j] < to {
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
