package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/origin"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Times of releases in place whose records are late.
const (
	// calmTime is how long one version alone serves before the first release of a round. It is
	// longer than any stream lasts.
	calmTime = max(origin.DefaultLifetime, streamTimeout+5*time.Second) + 3*time.Second
	// releasesPerRound is the number of releases in a round. The last one replaces all engines
	// of earlier versions.
	releasesPerRound    = 3
	minUnrecordedPause  = 2 * time.Second
	unrecordedSpread    = 2 * time.Second
	minLateRecord       = 300 * time.Millisecond
	lateRecordSpread    = 4700 * time.Millisecond
	unrecordedGapSpread = 800 * time.Millisecond
	// beginningShare is the share of the engines that are replaced up to beginningDelay after the
	// first event of a stream, if one begins there within beginningWait.
	beginningShare = 0.5
	beginningWait  = time.Second
	beginningDelay = 4 * time.Millisecond
	// roundEnd is how long after its last release all records of a round are written.
	roundEnd = 30 * time.Second
	// awayShare is the share of the releases during which the store is away.
	awayShare      = 0.3
	awayDelay      = time.Second
	minAwayTime    = 500 * time.Millisecond
	awayTimeSpread = 2 * time.Second
)

// Faults beside streams that have just begun at a process that no record describes.
const (
	// disturbedShare is the share of such streams whose entries meet a fault, unless as many
	// entries as disturbedEntries allows meet one already.
	disturbedShare = 0.3
	// disturbedEntries is the number of entries for each one that meets a fault.
	disturbedEntries = 3
	// soonShare is the share of the faults that begin up to soonDelay after the first event.
	// The others begin up to lateDelay after it.
	soonShare = 0.5
	soonDelay = 20 * time.Millisecond
	lateDelay = time.Second
	// unrecordedAttempts is how often a client sends a request, so that some of its tries come
	// after the record.
	unrecordedAttempts = 10
	// streamShare is the share of streams among the requests.
	streamShare = 0.7
)

// unrecordedReleases are the steps of a round: a release of the engines that the selector's
// bits select, and the last one.
var (
	unrecordedRelease = action{name: "releasedUnrecorded", run: func(ctx context.Context, w *world, s *step) {
		releaseUnrecorded(ctx, w, s, w.released(s))
	}}
	lastUnrecordedRelease = action{name: "releasedUnrecorded", run: func(ctx context.Context, w *world, s *step) {
		releaseUnrecorded(ctx, w, s, w.replicas[shopReplicas:])
	}}
)

// newUnrecorded returns a plan of rounds: a calm time, and releases in place whose records are
// late. The store is away beside some of them.
func newUnrecorded(opts Options, r *rand.Rand) plan {
	var p plan
	at := calmTime
	for at < opts.Duration {
		for i := range releasesPerRound {
			kind := unrecordedRelease
			if i == releasesPerRound-1 {
				kind = lastUnrecordedRelease
			}
			p = append(p, step{at: at, action: kind, selector: r.Uint64()})
			away := step{at: at + randomDuration(awayDelay, r), action: storeDown, duration: minAwayTime + randomDuration(awayTimeSpread, r)}
			if r.Float64() < awayShare {
				p = append(p, away)
			}
			at += minUnrecordedPause + randomDuration(unrecordedSpread, r)
		}
		at += roundEnd + calmTime
	}
	return beginningBefore(opts.Duration, p)
}

// releaseUnrecorded replaces engines in place by ones of the next version, one after the other.
// The record of each is late by a time of its own. Some are replaced just after a stream has begun, so
// that the next process answers the entry that asks where.
func releaseUnrecorded(ctx context.Context, w *world, s *step, engines []*replica) {
	r := rand.New(rand.NewPCG(s.selector, unrecordedRandomStream))
	software := w.nextSoftware()
	var replaced sync.WaitGroup
	for _, p := range engines {
		late := minLateRecord + randomDuration(lateRecordSpread, r)
		beginning, delay := r.Float64() < beginningShare, randomDuration(beginningDelay, r)
		replaced.Go(func() {
			p.restartMu.Lock()
			defer p.restartMu.Unlock()
			if beginning && p.awaitFirstEvent(ctx) {
				w.history.count("replaced at a beginning")
				sleep(ctx, delay)
			}
			p.replaceLocked(ctx, replacement{software: software, recordDelay: late})
		})
		sleep(ctx, randomDuration(unrecordedGapSpread, r))
	}
	replaced.Wait()
}

// awaitFirstEvent waits until the replica has sent the first event of a stream. It returns false if it
// sends none in time.
func (p *replica) awaitFirstEvent(ctx context.Context) bool {
	select {
	case <-p.streamBegun:
		// A stream that began before the wait.
	default:
	}
	select {
	case <-p.streamBegun:
		return true
	case <-time.After(beginningWait):
	case <-ctx.Done():
	}
	return false
}

// unrecordedStreams holds the streams that began at processes that no record described, and
// draws the faults beside them. It is safe for concurrent use.
type unrecordedStreams struct {
	// faults are the faults that have not ended yet.
	faults sync.WaitGroup

	mu     sync.Mutex
	random *rand.Rand
	began  map[direct.AttemptID]*unrecordedStream
	// software is the only version whose streams count with AllKilled, also if records describe their processes.
	software id.SoftwareVersion
	// received is set once a client has received the first event of one of these streams.
	received bool
	// disturbed holds the names of the entries that meet a fault.
	disturbed map[string]bool
	// resumed and early count the streams that clients resumed at another entry, and those of
	// them that were resumed there before their processes had records.
	resumed, early int
}

// unrecordedStream is a stream that began at a process that no record described.
type unrecordedStream struct {
	process        *replica
	incarnation    id.Incarnation
	resumed, early bool
}

func newUnrecordedStreams(seed uint64) *unrecordedStreams {
	return &unrecordedStreams{random: rand.New(rand.NewPCG(seed, unrecordedFaultStream)), began: map[direct.AttemptID]*unrecordedStream{}, disturbed: map[string]bool{}}
}

// recorded reports whether the process that has an incarnation is described by a record.
func (p *replica) recorded(incarnation id.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target.Incarnation != incarnation || !p.listedAt.IsZero()
}

// firstEventSent records that the replica has sent the first event of a stream, and may begin a
// fault at the stream's entry.
func (p *replica) firstEventSent(attempt direct.AttemptID) {
	if !p.w.opts.resumesOften() {
		return
	}
	select {
	case p.streamBegun <- struct{}{}:
	default:
	}
	self := p.currentTarget()
	incarnation := self.Incarnation
	if p.w.opts.AllKilled && !p.w.unrecorded.follows(self.Software) {
		return
	}
	if !p.w.opts.AllKilled && p.recorded(incarnation) {
		return
	}
	entry := p.w.entryNamed(p.w.history.entryOf(attempt))
	if entry == nil {
		return
	}
	p.w.history.count("begun unrecorded")
	u := p.w.unrecorded
	u.mu.Lock()
	defer u.mu.Unlock()
	u.began[attempt] = &unrecordedStream{process: p, incarnation: incarnation}
	if p.w.opts.AllKilled || u.random.Float64() >= disturbedShare || u.disturbed[entry.name] || len(u.disturbed) >= max(1, len(p.w.entries)/disturbedEntries) {
		return
	}
	u.disturbed[entry.name] = true
	drawn := u.drawLocked()
	u.faults.Go(func() {
		p.w.disturbBeside(context.Background(), entry, drawn)
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.disturbed, entry.name)
	})
}

// follows reports whether the streams of a version count.
func (u *unrecordedStreams) follows(software id.SoftwareVersion) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.software != "" && u.software == software
}

// entryNamed returns the entry with a name, or nil.
func (w *world) entryNamed(name string) *process {
	for _, e := range w.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// besideKind is what happens beside a stream that has just begun.
type besideKind int

const (
	// ownKilled kills the stream's entry.
	ownKilled besideKind = iota
	// connectionsCut resets the connections of the entry's clients.
	connectionsCut
	// ownPaused pauses the entry and resets the connections of its clients.
	ownPaused
	// otherPaused pauses another entry and resets the connections of the entry's clients.
	otherPaused
	besideKinds
)

// besideFault is a fault beside a stream that has just begun.
type besideFault struct {
	kind            besideKind
	delay, duration time.Duration
	// selector selects the other entry.
	selector uint64
}

func (u *unrecordedStreams) drawLocked() besideFault {
	r := u.random
	f := besideFault{kind: besideKind(r.IntN(int(besideKinds))), duration: minFaultTime + randomDuration(faultTimeSpread, r), selector: r.Uint64()}
	if r.Float64() < soonShare {
		f.delay = randomDuration(soonDelay, r)
	} else {
		f.delay = randomDuration(lateDelay, r)
	}
	return f
}

// disturbBeside brings a fault upon an entry, and waits until it has ended.
func (w *world) disturbBeside(ctx context.Context, entry *process, f besideFault) {
	own := w.entryIndex(entry)
	other := (own + 1 + f.selector%uint64(max(1, len(w.entries)-1))) % uint64(len(w.entries))
	sleep(ctx, f.delay)
	switch f.kind {
	case ownKilled:
		w.runStep(ctx, step{action: entryKilled, duration: f.duration, selector: own})
	case ownPaused:
		w.runStep(ctx, step{action: entryPausedAndCut, duration: f.duration, selector: own})
	case otherPaused:
		var paused sync.WaitGroup
		paused.Go(func() { w.runStep(ctx, step{action: entryPaused, duration: f.duration, selector: other}) })
		w.runStep(ctx, step{action: clientLinkReset, selector: own})
		paused.Wait()
	case connectionsCut:
		w.runStep(ctx, step{action: clientLinkReset, selector: own})
	}
}

// entryIndex returns the place of an entry among the entries.
func (w *world) entryIndex(entry *process) uint64 {
	for i, e := range w.entries {
		if e == entry {
			return uint64(i)
		}
	}
	return 0
}

// pauseAndCut pauses an entry and resets the connections of its clients.
func pauseAndCut(ctx context.Context, w *world, s *step) {
	p := w.entry(s)
	p.signal(syscall.SIGSTOP)
	p.clients.resetConns()
	sleep(ctx, s.duration)
	p.signal(syscall.SIGCONT)
}

// trackUnrecorded records that a client resumes a stream at an entry.
func (w *world) trackUnrecorded(q *request, entry string) {
	sameEntry := w.history.entryOf(q.began) == entry
	if !w.opts.resumesOften() || q.lastEvent == 0 || (sameEntry && !w.opts.AllKilled) {
		return
	}
	u := w.unrecorded
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.began[q.began]
	if s == nil {
		return
	}
	if !s.resumed {
		s.resumed = true
		u.resumed++
	}
	if !s.early && !s.process.recorded(s.incarnation) {
		s.early = true
		u.early++
	}
}

// checkUnrecorded records a violation if the run met no stream that it was planned for.
func (w *world) checkUnrecorded() {
	if !w.opts.Unrecorded {
		return
	}
	u := w.unrecorded
	u.faults.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	w.history.countN("unrecorded resumed", u.resumed)
	w.history.countN("unrecorded resumed early", u.early)
	if u.early == 0 {
		w.history.recordViolation(PlanMet, "", "no stream of a process without a record was resumed at another entry before the record")
	}
}
