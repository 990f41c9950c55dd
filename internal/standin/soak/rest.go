package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/platform"
)

// Bounds for what a target gets that wants a rest. They are the users': between restReaction
// after it has asked an entry for a rest and the end of that time, at most restArrivals
// requests reach it from that entry, unless something disturbed the entry meanwhile.
const (
	restReaction = 500 * time.Millisecond
	restArrivals = 2
)

// Times of rests.
const (
	firstRest  = 2 * time.Second
	restPause  = 3 * time.Second
	restSpread = 4 * time.Second
	minRest    = time.Second
	restLength = 3 * time.Second
	// lapseTime is how long the record of a target that rests is missing.
	lapseTime = 300 * time.Millisecond
)

// newRests returns a plan of targets that want rests, the records of half of which lapse
// meanwhile.
func newRests(opts Options, r *rand.Rand) plan {
	var p plan
	for at := firstRest + randomDuration(restSpread, r); at < opts.Duration; at += restPause + randomDuration(restSpread, r) {
		length := minRest + randomDuration(restLength, r)
		p = append(p, step{
			at: at, duration: 2 * length, selector: r.Uint64(),
			action: action{name: "targetRests", planned: true, run: func(ctx context.Context, w *world, s *step) {
				w.replica(s).rest(ctx, length, s)
			}},
		})
	}
	return p
}

// rest makes the target ask each entry once for a rest of a length, and its record lapse.
func (p *replica) rest(ctx context.Context, length time.Duration, s *step) {
	if !p.rests.begin(length) {
		return
	}
	defer p.rests.end()
	if s.selector>>32%2 == 0 && sleep(ctx, length/4) && p.restartMu.TryLock() {
		name := p.currentTarget().ID
		p.w.mustCommit(ctx, func() error { return p.w.removeTarget(ctx, name) })
		sleep(ctx, lapseTime)
		p.w.mustCommit(ctx, func() error { return p.w.writeTarget(ctx, p) })
		p.restartMu.Unlock()
	}
	sleep(ctx, s.duration)
}

// askedRest is a rest that an entry was asked for.
type askedRest struct {
	target      id.Target
	from, until time.Time
	arrivals    int
}

// targetRests holds the rests that a replica wants. It is safe for concurrent use.
type targetRests struct {
	mu     sync.Mutex
	length time.Duration
	// asked holds the rests by the entries that were asked.
	asked map[string]*askedRest
}

// begin begins rests of a length, unless the replica wants some already.
func (r *targetRests) begin(length time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.length > 0 {
		return false
	}
	r.length, r.asked = length, map[string]*askedRest{}
	return true
}

// forget drops the rests that entries were asked for, because another process begins.
func (r *targetRests) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.length > 0 {
		r.asked = map[string]*askedRest{}
	}
}

// end ends the rests.
func (r *targetRests) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.length, r.asked = 0, nil
}

// serveRest turns a request away if the replica rests, and asks its entry for a rest once. It
// reports whether it did.
func (p *replica) serveRest(w http.ResponseWriter, target id.Target, attempt direct.AttemptID) bool {
	entry, now := p.w.history.entryOf(attempt), time.Now()
	p.rests.mu.Lock()
	defer p.rests.mu.Unlock()
	if p.rests.length == 0 || entry == "" {
		return false
	}
	asked := p.rests.asked[entry]
	if asked == nil || asked.target != target {
		asked = &askedRest{target: target, from: now, until: now.Add(p.rests.length)}
		p.rests.asked[entry] = asked
		platform.EncodePause(w.Header(), p.rests.length)
	}
	if now.After(asked.until) {
		return false
	}
	if now.Sub(asked.from) > restReaction {
		asked.arrivals++
		p.checkRest(asked, entry, attempt)
	}
	platform.EncodeResponseMetadata(w.Header(), attempt, "", true)
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

func (p *replica) checkRest(asked *askedRest, entry string, attempt direct.AttemptID) {
	if asked.arrivals == restArrivals+1 && !p.w.disturbances[entry].overlap(asked.from, time.Now()) {
		p.w.history.recordViolation(RestKept, attempt, "target %s had asked entry %s for a rest of %v %v before, and got %d requests since",
			asked.target, entry, asked.until.Sub(asked.from), time.Since(asked.from), asked.arrivals)
	}
}
