package recovery_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/detect"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/merge"
	"foxtailward.example/foxtailward/internal/coordination/recovery"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	drillPace    = 31 * time.Millisecond
	drillPrefill = time.Millisecond
	drillLength  = 400
	// drillLimit ends a drill that does not come to its end.
	drillLimit = 4 * time.Minute
	laterAfter = 30 * time.Second
)

// drill runs one answer on virtual time: the owner's decisions are the real
// ones, the engines are timers. Faults come when a number of tokens is held.
type drill struct {
	now     time.Time
	rng     *rand.Rand
	policy  recovery.Policy
	spec    generation.Spec
	targets []member.TargetReport
	// dead, silent and until hold what is wrong with an engine: it is dead, it
	// sends nothing more, or it is paused until a time.
	dead   map[id.Target]bool
	silent map[id.Target]bool
	until  map[id.Target]time.Time
	runs   []*drillRun
	j      *merge.Merger
	begun  id.Attempt
	loss   *recovery.Loss
	// ask is when a decision that waits is made anew.
	ask    time.Time
	faults map[int]func(*drill)
	// later is done once, at laterAfter.
	later func(*drill)
	// lost and back measure the pause at the caller.
	lost, last time.Time
	pause      time.Duration
	fenced     int
	failed     recovery.Reason
}

type drillRun struct {
	attempt id.Attempt
	target  id.Target
	held    []generation.Token
	next    time.Time
	watch   *detect.Detector
	check   time.Time
	gone    bool
}

// drillToken follows from all tokens before it and from the version.
func drillToken(sum generation.Checksum, version id.Version) generation.Token {
	return generation.Token{ID: uint32(sum>>7) ^ uint32(len(version)), Text: string(version)}
}

func drillText(version id.Version) []generation.Token {
	var out []generation.Token
	var sum generation.Checksum
	for range drillLength {
		out = append(out, drillToken(sum, version))
		sum = sum.Add(out[len(out)-1])
	}
	return out
}

func newDrill(prefer generation.Preference) *drill {
	d := &drill{
		now: start, rng: rand.New(rand.NewPCG(1, 9)), j: merge.New(),
		policy: recovery.Policy{Prefer: prefer, RetryAllowed: true},
		spec: generation.Spec{
			Model: "report", Version: "1", Prompt: "truck 7", MaxTokens: drillLength,
			Class: generation.Standard, Deadline: start.Add(drillLimit),
		},
		targets: []member.TargetReport{report("a", "olten"), report("b", "olten"), report("c", "aarau"), report("d", "bern")},
		dead:    map[id.Target]bool{}, silent: map[id.Target]bool{}, until: map[id.Target]time.Time{},
		faults: map[int]func(*drill){},
	}
	d.begin("a", false)
	return d
}

// begin starts an attempt after the tokens held, unless its target is dead.
func (d *drill) begin(target id.Target, race bool) {
	d.begun++
	begin := d.j.Begin
	if race {
		begin = d.j.BeginRace
	}
	begin(d.begun)
	run := &drillRun{attempt: d.begun, target: target, held: slices.Clone(d.j.Log())}
	compute := d.spec.PromptTokens() + len(run.held)
	if d.dead[target] {
		d.lose(run, recovery.Refused)
		return
	}
	run.next = d.now.Add(time.Duration(compute)*drillPrefill + drillPace)
	run.watch = detect.New(detect.DefaultConfig(), d.now, detect.Expectation{
		Pace: drillPace, PrefillTokens: compute, PrefillPerToken: drillPrefill, Deadline: d.spec.Deadline,
	})
	_, run.check = run.watch.Verdict(d.now)
	d.runs = append(d.runs, run)
}

// current returns the run that may write; of a race, the newer one.
func (d *drill) current() *drillRun {
	for _, r := range d.runs {
		if r.attempt == d.j.CurrentAttempt() && d.j.RacingAttempt() == 0 {
			return r
		}
	}
	return d.runs[len(d.runs)-1]
}

func (d *drill) kill(target id.Target) {
	d.dead[target] = true
	for _, r := range d.runs {
		if r.target == target && !r.gone {
			r.gone = true
			if r == d.current() {
				d.lose(r, recovery.Died)
			}
		}
	}
}

func (d *drill) lose(run *drillRun, kind recovery.LossKind) {
	place := member.Place{}
	for _, r := range d.targets {
		if r.Target == run.target {
			place = r.Place
		}
	}
	d.loss = &recovery.Loss{
		Spec: &d.spec, Kind: kind, Target: run.target, Incarnation: 1, Place: place,
		Attempts: int(d.begun), HeldTokens: int(d.j.NextIndex()), TokensDelivered: d.j.NextIndex() > 0, At: d.now,
	}
	d.ask = d.now
	if d.lost.IsZero() {
		d.lost = d.last
	}
}

// decide asks for a way to go on, and takes it.
func (d *drill) decide() {
	if d.loss == nil || d.now.Before(d.ask) {
		return
	}
	for i := range d.targets {
		d.targets[i].At = d.now
	}
	view := recovery.View{Targets: d.targets, Avoid: func(t id.Target) bool { return d.dead[t] && d.now.After(d.loss.At) }}
	choice := recovery.Choose(view, *d.loss, d.policy, d.now, d.rng)
	d.ask = choice.Until
	switch choice.Action {
	case recovery.Resume, recovery.Hedge, recovery.Restart:
		d.loss = nil
		if choice.Action == recovery.Restart {
			d.j.Restart()
			d.spec.Version = "22"
		}
		d.begin(choice.Target, choice.Action == recovery.Hedge)
	case recovery.Fail:
		d.failed, d.loss = choice.Reason, nil
	}
}

// step is one millisecond.
func (d *drill) step() {
	d.now = d.now.Add(time.Millisecond)
	d.decide()
	for _, run := range slices.Clone(d.runs) {
		d.send(run)
	}
	if run := d.current(); d.loss == nil && !run.gone && !d.now.Before(run.check) {
		var v detect.Verdict
		if v, run.check = run.watch.Verdict(d.now); v != detect.Healthy {
			d.lose(run, recovery.Stalled)
		}
	}
}

// send lets an engine send what is due: a token, and its end after the last.
func (d *drill) send(run *drillRun) {
	if run.gone || d.silent[run.target] || d.now.Before(run.next) || d.now.Before(d.until[run.target]) {
		return
	}
	run.next = d.now.Add(drillPace)
	if len(run.held) == drillLength {
		run.gone = true
		d.j.Finish(run.attempt, generation.Finish{
			Reason: generation.Length, TokenCount: drillLength, Checksum: generation.ChecksumOf(run.held),
		})
		return
	}
	tok := drillToken(generation.ChecksumOf(run.held), d.spec.Version)
	first := id.TokenIndex(len(run.held))
	run.held = append(run.held, tok)
	fresh, v := d.j.AddTokens(run.attempt, first, run.held[first:])
	if v == merge.Fenced {
		d.fenced++
		run.gone = d.fenced >= 3 // its work is cancelled soon after
		return
	}
	if len(fresh) == 0 {
		return
	}
	run.watch.RecordTokens(d.now, 1)
	d.loss = nil // a target that was waited for goes on
	if !d.lost.IsZero() {
		d.pause = max(d.pause, d.now.Sub(d.lost))
		d.lost = time.Time{}
	}
	d.last = d.now
	d.fault()
}

// fault brings about what is due at the number of tokens held.
func (d *drill) fault() {
	if f := d.faults[int(d.j.NextIndex())]; f != nil {
		delete(d.faults, int(d.j.NextIndex()))
		f(d)
	}
}

// run goes on until the answer is whole or has failed.
func (d *drill) run() {
	d.last = d.now
	d.fault()
	for d.j.Finished() == nil && d.failed == "" && d.now.Sub(start) < drillLimit {
		d.step()
		if d.later != nil && d.now.Sub(start) == laterAfter {
			d.later(d)
		}
	}
}

// killCurrent kills the engine that carries the answer.
func killCurrent(d *drill) { d.kill(d.current().target) }

// TestDrillDeath: an engine dies with k tokens out. The answer is exact and
// goes on within the target figure, 1.2 × (prefill of the prefix + one decode
// step) + 20 ms after the death.
func TestDrillDeath(t *testing.T) {
	for _, prefer := range []generation.Preference{generation.PreferLatency, generation.PreferCost} {
		for _, k := range []int{0, 1, drillLength / 2, drillLength - 1, drillLength} {
			is := is.New(t)
			d := newDrill(prefer)
			d.faults[k] = killCurrent
			d.run()
			is.Equal(d.j.Log(), drillText("1"))
			is.True(d.j.Finished() != nil)
			is.Equal(d.begun, id.Attempt(2))
			work := time.Duration(d.spec.PromptTokens()+k)*drillPrefill + drillPace
			is.True(d.pause <= work*12/10+20*time.Millisecond)
		}
	}
}

func TestDrill(t *testing.T) {
	latency, cost := generation.PreferLatency, generation.PreferCost
	tests := []struct {
		name   string
		prefer generation.Preference
		faults map[int]func(*drill)
		// pause bounds the pause at the caller; zero does not.
		pause time.Duration
		begun id.Attempt
		// fenced says that frames of a given-up attempt must have come.
		fenced bool
		text   id.Version
	}{
		{"second death while going on", latency, map[int]func(*drill){100: killCurrent, 101: killCurrent}, time.Second, 3, false, "1"},
		{"three deaths", latency, map[int]func(*drill){10: killCurrent, 20: killCurrent, 300: killCurrent}, time.Second, 4, false, "1"},
		{"a rack at once", latency, map[int]func(*drill){100: func(d *drill) {
			d.dead["b"] = true
			d.dead["c"] = true
			killCurrent(d)
		}}, time.Second, 0, false, "1"},
		{"a stall, the connection open", latency, map[int]func(*drill){100: func(d *drill) {
			d.silent["a"] = true
		}}, 6 * time.Second, 2, false, "1"},
		{"a stall, cost", cost, map[int]func(*drill){100: func(d *drill) {
			d.silent["a"] = true
		}}, 16 * time.Second, 2, false, "1"},
		{"a stall before the first token", latency, map[int]func(*drill){0: func(d *drill) {
			d.silent["a"] = true
		}}, 6 * time.Second, 2, false, "1"},
		{"a pause of 10 s, given up, comes back", latency, map[int]func(*drill){100: func(d *drill) {
			d.until["a"] = d.now.Add(10 * time.Second)
		}}, 6 * time.Second, 2, true, "1"},
		{"a pause of 10 s, waited for", cost, map[int]func(*drill){100: func(d *drill) {
			d.until["a"] = d.now.Add(10 * time.Second)
		}}, 11 * time.Second, 1, false, "1"},
		{"a pause of 2 s is not given up", latency, map[int]func(*drill){100: func(d *drill) {
			d.until["a"] = d.now.Add(2 * time.Second)
		}}, 0, 1, false, "1"},
		{"a stall that is raced comes back first", latency, map[int]func(*drill){370: func(d *drill) {
			d.policy.HedgeAllowed = true
			d.until["a"] = d.now.Add(4300 * time.Millisecond)
		}}, 6 * time.Second, 2, true, "1"},
		{"the version is gone for a while", latency, map[int]func(*drill){100: func(d *drill) {
			d.setVersion("22")
			killCurrent(d)
			d.later = func(d *drill) { d.setVersion("1") }
		}}, 0, 2, false, "1"},
		{"the version is gone, nothing was seen", latency, map[int]func(*drill){0: func(d *drill) {
			d.setVersion("22")
			killCurrent(d)
		}}, time.Second, 2, false, "22"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newDrill(tt.prefer)
			d.faults = tt.faults
			d.run()
			is.Equal(d.j.Log(), drillText(tt.text))
			is.True(d.j.Finished() != nil)
			is.True(tt.pause == 0 || d.pause <= tt.pause)
			is.True(tt.begun == 0 || d.begun == tt.begun)
			is.Equal(d.fenced > 0, tt.fenced)
		})
	}
}

func (d *drill) setVersion(v id.Version) {
	for i := range d.targets {
		d.targets[i].Version = v
	}
}

// TestDrillFails: a text that nobody can go on with ends clearly, and at the
// deadline, not before.
func TestDrillFails(t *testing.T) {
	is := is.New(t)
	d := newDrill(generation.PreferLatency)
	d.faults[100] = func(d *drill) {
		d.setVersion("22")
		killCurrent(d)
	}
	d.spec.Deadline = start.Add(time.Minute)
	d.run()
	is.Equal(d.failed, recovery.ReasonDeadline)
	is.Equal(d.now.Sub(start), time.Minute)
	is.Equal(d.j.Log(), drillText("1")[:100]) // nothing was mixed in
}
