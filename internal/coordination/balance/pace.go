package balance

import (
	"math"
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// wordLifetime is the age from which a target's word about its pace says nothing more.
	// Targets' hosts change their pace several times per second.
	wordLifetime = 600 * time.Millisecond
	// countLifetime is the age up to which a target's word about its requests is used.
	countLifetime = 100 * time.Millisecond
	// usualTime is the time between two words of a target from which they count as
	// independent of each other in the average.
	usualTime = 2 * time.Second
	// Words and learned paces count as minSlowness at least and as maxSlowness at most.
	minSlowness = 1 / maxSlowness
	maxSlowness = 8.0
	// minWord is the least that a word counts as: sharing a host makes work slower, so a target
	// that says that it is far faster than usual is wrong, and would get all requests.
	minWord = 0.5
)

// Pace is what is believed about how long work takes at a target, relative to the usual time
// of its service: 1 is as usual, 2 is twice as long.
type Pace struct {
	// Word is what the target said at WordAt; 0 for nothing.
	Word   float64
	WordAt time.Time
	// Usual is the average of its words, and of those of its zone if there are few.
	Usual float64
	// Class is what its answers took beyond what its words explain.
	Class float64
}

// Slowness returns the expected average slowness over a span that begins now.
func (p Pace) Slowness(now time.Time, span time.Duration) float64 {
	return limitSlowness(p.Class * p.told(now.Sub(p.WordAt), span))
}

// told returns the average slowness by the target's words over a span that begins when the
// latest of them has the given age.
func (p Pace) told(age, span time.Duration) float64 {
	if p.Word == 0 {
		return p.Usual
	}
	share := wordShare(age, span)
	return share*p.Word + (1-share)*p.Usual
}

// wordShare returns how much a word counts on average over a span that begins when the word
// has the given age. At one moment it counts by 1 less the age's share of wordLifetime.
func wordShare(age, span time.Duration) float64 {
	age = max(0, age)
	if span <= 0 {
		return max(0, 1-age.Seconds()/wordLifetime.Seconds())
	}
	until := func(d time.Duration) float64 {
		s, lifetime := min(d, wordLifetime).Seconds(), wordLifetime.Seconds()
		return s - s*s/(2*lifetime)
	}
	return (until(age+span) - until(age)) / span.Seconds()
}

func limitSlowness(s float64) float64 { return min(max(s, minSlowness), maxSlowness) }

// hear records a target's word from the given time, unless a later one is known.
func (b *Balancer) hear(r *record, at time.Time, word float64) {
	if !(word > 0) || math.IsInf(word, 1) || (r.pace.Word != 0 && !at.After(r.pace.WordAt)) {
		return
	}
	word = min(max(word, minWord), maxSlowness)
	news := 1.0
	if r.pace.Word != 0 {
		news = 1 - math.Exp(-at.Sub(r.pace.WordAt).Seconds()/usualTime.Seconds())
	}
	r.pace.Word, r.pace.WordAt = word, at
	r.words.observe(at, word, news)
	b.learned(r.group).words.observe(at, word, news)
}

// Pace returns what is believed about a target's pace.
func (b *Balancer) Pace(now time.Time, t *catalog.Target) Pace {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(now, t)
	return b.paceOf(now, r, b.total(r, t), t)
}

// paceOf returns what is believed about a target's pace with the given load.
func (b *Balancer) paceOf(now time.Time, r *record, l Load, t *catalog.Target) Pace {
	p, zone := r.pace, b.learned(r.group)
	p.Usual = r.words.mix(now, zone.words.mix(now, 1))
	p.Class = r.classOf(now, zone, nearlyFull(l, t))
	return p
}

// PaceReport is a target's word about its pace, for the other entries.
type PaceReport struct {
	Slowness float64 `json:"slowness"`
	// AgeMS is the age of the word in milliseconds when the message was sent.
	AgeMS int64 `json:"agoMs"`
}

// TakePaces returns the words that this entry has heard since the last call and that still
// say something; nil if there are none.
func (b *Balancer) TakePaces(now time.Time) map[id.Target]PaceReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	var reports map[id.Target]PaceReport
	for name, heardAt := range b.unreported {
		age := now.Sub(heardAt)
		if r := b.targets[name]; r != nil && age < wordLifetime/2 && r.pace.Word != 0 {
			if reports == nil {
				reports = map[id.Target]PaceReport{}
			}
			reports[name] = PaceReport{Slowness: r.pace.Word, AgeMS: age.Milliseconds()}
		}
	}
	clear(b.unreported)
	return reports
}

// ApplyPeerPaces records words that another entry has heard. Words of targets that this entry
// has no record of are ignored.
func (b *Balancer) ApplyPeerPaces(now time.Time, reports map[id.Target]PaceReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, report := range reports {
		age := time.Duration(report.AgeMS) * time.Millisecond
		r := b.targets[name]
		if r == nil || age < 0 || age >= wordLifetime || !(report.Slowness > 0) {
			continue
		}
		b.uneven[r.group.service] = true
		b.hear(r, now.Add(-age), report.Slowness)
	}
}
