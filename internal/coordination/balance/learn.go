package balance

import (
	"math"
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// averageMemory is the number of values over which an average is taken, and
	// averageHalfLife the time in which their weight halves.
	averageMemory   = 64
	averageHalfLife = 30 * time.Second
	// priorWeight is the number of values from which an average counts more than what holds
	// without them.
	priorWeight = 12
	// nearlyFullShare is the share of a target's slots in use from which it counts as nearly
	// full.
	nearlyFullShare = 0.75
	// minPaceEvents is the least number of events whose pace is compared.
	minPaceEvents = 8
	// maxKinds limits the kinds of work whose times are known.
	maxKinds = 512
	// The median of a kind's times moves by medianStep, and by firstMedianStep up to
	// firstSamples of them.
	medianStep, firstMedianStep = 0.02, 0.2
	firstSamples                = 20
)

// Kinds of work at engines.
const (
	// eventGap is the time between two events.
	eventGap = "eventGap"
	// answerTime is the time from the first event of an answer to its last.
	answerTime = "answerTime"
)

// workKind identifies work that takes about equally long at equal targets.
type workKind struct {
	service id.Service
	kind    string
}

// median estimates the median of times, in seconds.
type median struct {
	seconds float64
	samples int
}

func (m *median) observe(seconds float64) {
	m.samples++
	step := medianStep
	if m.samples <= firstSamples {
		step = firstMedianStep
	}
	switch {
	case m.samples == 1:
		m.seconds = seconds
	case seconds > m.seconds:
		m.seconds *= 1 + step
	case seconds < m.seconds:
		m.seconds /= 1 + step
	}
}

// average is an average of values, of which later ones replace earlier ones, and which
// fades with time.
type average struct {
	mean, weight float64
	at           time.Time
}

// observe adds a value. news is 1 if it is independent of those before it, and less otherwise.
func (a *average) observe(now time.Time, value, news float64) {
	a.weight = a.weightAt(now)*(1-news/averageMemory) + news
	if a.weight > 0 {
		a.mean += (value - a.mean) * news / a.weight
	}
	if now.After(a.at) {
		a.at = now
	}
}

func (a *average) weightAt(now time.Time) float64 {
	return a.weight * math.Exp2(-max(0, now.Sub(a.at)).Seconds()/averageHalfLife.Seconds())
}

// mix returns the average where prior holds without values.
func (a *average) mix(now time.Time, prior float64) float64 {
	weight := a.weightAt(now)
	return (weight*a.mean + priorWeight*prior) / (weight + priorWeight)
}

// experience is what a target, or the targets of a zone, have told about their pace: the
// average of their words, and the average logarithms of what their answers took relative to
// the medians, usually and while they were nearly full.
type experience struct{ words, usual, nearlyFull average }

// addAnswer adds the ratio of an answer from a target that was nearly full or not.
func (x *experience) addAnswer(now time.Time, full bool, ratio float64) {
	class := &x.usual
	if full {
		class = &x.nearlyFull
	}
	class.observe(now, math.Log(limitSlowness(ratio)), 1)
}

// classOf returns the factor by which answers take longer than those of the service. What
// only few answers of the target tell is taken from its zone.
func (x *experience) classOf(now time.Time, zone *experience, full bool) float64 {
	class := x.usual.mix(now, zone.usual.mix(now, 0))
	if full {
		class = x.nearlyFull.mix(now, zone.nearlyFull.mix(now, class))
	}
	return math.Exp(class)
}

// learned returns what the targets of a zone have told.
func (b *Balancer) learned(g group) *experience {
	x := b.zones[g]
	if x == nil {
		x = &experience{}
		b.zones[g] = x
	}
	return x
}

// nearlyFull reports whether so many of a target's slots are in use.
func nearlyFull(l Load, t *catalog.Target) bool {
	return t.Slots > 0 && float64(l.Running) >= nearlyFullShare*float64(t.Slots)
}

// learn records that work of a kind took so long at a target that worked for span until now,
// and whether the target was nearly full when that began.
func (b *Balancer) learn(now time.Time, t *catalog.Target, kind string, took, span time.Duration, full bool) {
	m := b.median(workKind{t.Service, kind})
	if took <= 0 || m == nil {
		return
	}
	r := b.record(now, t)
	p := b.paceOf(now, r, Load{}, t)
	seconds := took.Seconds() / p.told(now.Sub(p.WordAt), span)
	m.observe(seconds)
	if m.samples > firstSamples {
		r.addAnswer(now, full, seconds/m.seconds)
		b.learned(r.group).addAnswer(now, full, seconds/m.seconds)
	}
}

// median returns the estimate for a kind of work, or nil if there are too many kinds.
func (b *Balancer) median(kind workKind) *median {
	m := b.medians[kind]
	if m == nil && len(b.medians) < maxKinds {
		m = &median{}
		b.medians[kind] = m
	}
	return m
}

// usualSeconds returns the median time of a kind of work, or otherwise if that is not known.
func (b *Balancer) usualSeconds(kind workKind, otherwise float64) float64 {
	if m := b.medians[kind]; m != nil && m.samples > 0 {
		return m.seconds
	}
	return otherwise
}

// work is what an attempt tells about its target's pace.
type work struct {
	began time.Time
	// crowded says that the target was at its slots when the request was sent, so that the
	// request may have waited; full says that it was nearly full.
	crowded, full bool
	// first and last are when the first and the last of the events arrived.
	first, last time.Time
	events      int
}

// beginWork returns the work of an attempt that has just been counted at a target.
func (b *Balancer) beginWork(now time.Time, t *catalog.Target) work {
	l := b.total(b.record(now, t), t)
	before := l
	before.Running--
	return work{began: now, crowded: t.Slots > 0 && l.Running > t.Slots, full: nearlyFull(before, t)}
}

func (w *work) addEvent(now time.Time) {
	if w.events == 0 {
		w.first = now
	}
	w.events++
	w.last = now
}

// learn records what the attempt's time says about its target.
func (w *work) learn(now time.Time, a *Attempt, o Outcome) {
	b := a.balancer
	switch {
	case !b.byFinish(a.target.Service):
	case a.request.Engine == nil:
		if o == Succeeded && !w.crowded {
			b.learn(now, a.target, a.request.Kind, now.Sub(w.began), now.Sub(w.began), w.full)
		}
	case w.events >= minPaceEvents:
		took := w.last.Sub(w.first)
		// The words of engines are seldom as new as their events.
		b.learn(now, a.target, eventGap, took/time.Duration(w.events-1), took, w.full)
		if m := b.median(workKind{a.target.Service, answerTime}); o == Succeeded && m != nil {
			m.observe(took.Seconds())
		}
	}
}
