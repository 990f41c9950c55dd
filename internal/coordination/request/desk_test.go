package request_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

const answerTokens = 20

func TestOpenAfterDeaths(t *testing.T) {
	die := func(n int) script { return script{dieAfter: n, stallAfter: -1, garble: -1} }
	cases := map[string]struct {
		scripts []script
		starts  int
	}{
		"no death":                   {nil, 1},
		"before the first token":     {[]script{die(0)}, 2},
		"after one token":            {[]script{die(1)}, 2},
		"in the middle":              {[]script{die(10)}, 2},
		"last before the end":        {[]script{die(20)}, 1},
		"second death while resumed": {[]script{die(10), die(0), die(3)}, 4},
		"rack of targets":            {[]script{die(7), die(0), die(0), die(0)}, 5},
		"refused before it ran":      {[]script{{refuse: request.Busy}, {refuse: request.Leaving}}, 3},
		"connection refused":         {[]script{{refuse: request.Lost}}, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTargets(3)
			f.scripts = c.scripts
			d := newDesk(t, f, clockwork.NewRealClock(), alone("e1"))
			reader, err := d.Open(t.Context(), ask("stapler", "", "truck 7", answerTokens))
			is.NoErr(err)
			got, err := readAll(t.Context(), reader)
			is.NoErr(err)
			is.Equal(got, expected("v1", "truck 7", answerTokens)) // exact answer
			is.Equal(len(f.starts), c.starts)
			for i, s := range f.starts {
				is.Equal(s.Attempt, id.Attempt(i+1))
				is.True(slices.Equal(s.Prefix, got[:len(s.Prefix)]))
			}
			is.Equal(f.computed, answerTokens) // no token is generated twice
		})
	}
}

// Text that does not agree with the end's checksum is never given out whole: it
// is generated anew when nobody has seen it, else the answer fails.
func TestOpenGarbledAttempt(t *testing.T) {
	for _, whole := range []bool{true, false} {
		t.Run(fmt.Sprint("whole ", whole), func(t *testing.T) {
			is := is.New(t)
			f := newTargets(2)
			f.scripts = []script{{dieAfter: -1, stallAfter: -1, garble: 7}}
			f.gate = make(chan struct{})
			go feed(t.Context(), f.gate)
			d := newDesk(t, f, clockwork.NewRealClock(), alone("e1"))
			a := ask("stapler", "", "p", answerTokens)
			a.Buffered = whole
			reader, err := d.Open(t.Context(), a)
			is.NoErr(err)
			got, err := readAll(t.Context(), reader)
			if !whole {
				is.Equal(refusalOf(t, err).Outcome, answer.Failed)
				return
			}
			is.NoErr(err)
			is.Equal(got, expected("v1", "p", answerTokens))
		})
	}
}

// A target that takes every attempt and gives no token ends the request after
// a bounded number of attempts.
func TestOpenNoProgress(t *testing.T) {
	is := is.New(t)
	f := newTargets(2)
	for range 100 {
		f.scripts = append(f.scripts, script{dieAfter: 0, stallAfter: -1, garble: -1})
	}
	d := newDesk(t, f, clockwork.NewRealClock(), alone("e1"))
	reader, err := d.Open(t.Context(), ask("stapler", "", "p", answerTokens))
	is.NoErr(err)
	_, err = readAll(t.Context(), reader)
	is.Equal(refusalOf(t, err).Outcome, answer.Failed)
	is.Equal(len(f.starts), openGate().Conf().Deployment.Recovery.MaxAttempts)
}

// feed lets one token after another pass.
func feed(ctx context.Context, gate chan<- struct{}) {
	for {
		select {
		case gate <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
}

// An engine that stalls is given up; what it sends later is not passed on.
func TestOpenStall(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	f := newTargets(2)
	f.scripts = []script{{dieAfter: -1, stallAfter: 5, garble: -1}}
	d := newDesk(t, f, clock, alone("e1"))
	reader, err := d.Open(t.Context(), ask("stapler", "", "p", answerTokens))
	is.NoErr(err)
	defer reader.Close()
	got := 0
	for got < 5 {
		part, err := reader.Next(t.Context())
		is.NoErr(err)
		got += len(part.Tokens)
	}
	// The sweeper's ticker and the stall timer wait.
	is.NoErr(clock.BlockUntilContext(t.Context(), 2))
	clock.Advance(stallLimit)
	rest, err := readAll(t.Context(), reader)
	is.NoErr(err)
	is.Equal(rest, expected("v1", "p", answerTokens)[5:])
	is.Equal(len(f.starts), 2)
}

func TestOpenSameKey(t *testing.T) {
	is := is.New(t)
	f := newTargets(2)
	d := newDesk(t, f, clockwork.NewRealClock(), alone("e1"))
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			reader, err := d.Open(context.Background(), ask("stapler", "order-1", "p", answerTokens))
			is.NoErr(err)
			got, err := readAll(context.Background(), reader)
			is.NoErr(err)
			is.Equal(got, expected("v1", "p", answerTokens))
		})
	}
	wait.Wait()
	is.Equal(len(f.starts), 1) // one generation

	reader, err := d.Open(t.Context(), ask("stapler", "order-1", "p", answerTokens))
	is.NoErr(err) // after the end
	got, err := readAll(t.Context(), reader)
	is.NoErr(err)
	is.Equal(got, expected("v1", "p", answerTokens))
	is.Equal(len(f.starts), 1)

	_, err = d.Open(t.Context(), ask("stapler", "order-1", "another", answerTokens))
	is.Equal(refusalOf(t, err).Cause, answer.CauseConflict) // same key, other body

	reader, err = d.Open(t.Context(), ask("belediye", "order-1", "another", answerTokens))
	is.NoErr(err) // the same key of another contract is another request
	got, err = readAll(t.Context(), reader)
	is.NoErr(err)
	is.Equal(got, expected("v1", "another", answerTokens))
}

func TestReopen(t *testing.T) {
	is := is.New(t)
	f := newTargets(2)
	d := newDesk(t, f, clockwork.NewRealClock(), alone("e1"))
	reader, err := d.Open(t.Context(), ask("stapler", "", "p", answerTokens))
	is.NoErr(err)
	all, err := readAll(t.Context(), reader)
	is.NoErr(err)

	resume := answer.ResumeRequest{Contract: customer("stapler"), Request: reader.Request, Lineage: reader.Lineage, From: 7}
	again, err := d.Resume(t.Context(), resume)
	is.NoErr(err)
	rest, err := readAll(t.Context(), again)
	is.NoErr(err)
	is.Equal(rest, all[7:])

	resume.Contract = customer("belediye")
	_, err = d.Resume(t.Context(), resume)
	is.Equal(refusalOf(t, err).Cause, answer.CauseNotFound) // another customer's answer

	resume.Contract = customer("stapler")
	resume.Lineage = "another"
	_, err = d.Resume(t.Context(), resume)
	is.Equal(refusalOf(t, err).Cause, answer.CauseConflict) // tokens of another generation

	resume.Lineage = reader.Lineage
	resume.From = 1000
	_, err = d.Resume(t.Context(), resume)
	is.Equal(refusalOf(t, err).Cause, answer.CauseInvalid)
}

// The owner died; its target process still runs the attempt, has ended it, or
// lost the engine. Another entry goes on after the tokens that the caller has.
func TestReopenInherited(t *testing.T) {
	all := expected("v1", "p", answerTokens)
	whole := &generation.Finish{Reason: generation.Length, TokenCount: answerTokens, Checksum: generation.ChecksumOf(all)}
	cases := map[string]struct {
		held    request.FoundAttempt
		starts  int
		unowned bool
	}{
		"running":         {request.FoundAttempt{Running: true, Tokens: all[:12]}, 0, false},
		"finished":        {request.FoundAttempt{Tokens: all, Finish: whole}, 0, false},
		"all but the end": {request.FoundAttempt{Tokens: all}, 0, false},
		"engine is dead":  {request.FoundAttempt{Tokens: all[:12]}, 1, false},
		"nothing is left": {request.FoundAttempt{}, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTargets(2)
			request1 := id.NewRequest("e0")
			if !c.unowned {
				held := c.held
				held.Target, held.Epoch, held.Attempt = f.reports[0], 5, 2
				held.Spec = &generation.Spec{
					Request: request1, Contract: "stapler", Model: "report", Version: "v1", Lineage: "l1",
					Prompt: "p", MaxTokens: answerTokens,
				}
				f.held = []request.FoundAttempt{held}
			}
			peers := alone("e1")
			peers.PreviousOwner = func(id.Request) (id.Entry, bool) { return "e0", false }
			d := newDesk(t, f, clockwork.NewRealClock(), peers)
			resume := answer.ResumeRequest{Contract: customer("stapler"), Request: request1, Lineage: "l1", From: 9}
			reader, err := d.Resume(t.Context(), resume)
			if c.unowned {
				is.Equal(refusalOf(t, err).Cause, answer.CauseNotFound)
				return
			}
			is.NoErr(err)
			got, err := readAll(t.Context(), reader)
			is.NoErr(err)
			is.Equal(got, all[9:])
			is.Equal(len(f.starts), c.starts)
		})
	}
}

// A caller that has seen tokens never gets text of another version.
func TestOpenVersionGone(t *testing.T) {
	cases := map[string]struct {
		seen, allow, fails bool
	}{
		"nothing was seen":    {false, false, false},
		"seen":                {true, false, true},
		"seen, restart asked": {true, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTargets(2)
			f.reports[1].Version = "v2"
			f.scripts = []script{{dieAfter: 10, stallAfter: -1, garble: -1}}
			f.gate = make(chan struct{})
			d := newDesk(t, f, clockwork.NewRealClock(), alone("e1"))
			a := ask("stapler", "", "p", answerTokens)
			a.Buffered = !c.seen
			a.Spec.RestartAllowed = c.allow
			reader, err := d.Open(t.Context(), a)
			is.NoErr(err)
			go feed(t.Context(), f.gate)
			got, err := readAll(t.Context(), reader)
			if c.fails {
				is.Equal(refusalOf(t, err).Outcome, answer.Failed)
				is.Equal(got, expected("v1", "p", answerTokens)[:10])
				return
			}
			is.NoErr(err)
			is.Equal(got, expected("v2", "p", answerTokens))
		})
	}
}

func TestOpenRefused(t *testing.T) {
	is := is.New(t)
	f := newTargets(0)
	d := newDesk(t, f, clockwork.NewRealClock(), alone("e1"))
	reader, err := d.Open(t.Context(), ask("stapler", "", "p", answerTokens))
	is.NoErr(err)
	_, err = readAll(t.Context(), reader)
	is.Equal(refusalOf(t, err).Outcome, answer.NotRun) // no engine saw it
	is.Equal(refusalOf(t, err).RetryAfter, time.Second)

	_, err = d.Open(t.Context(), ask("stapler", "", "p", 1_000_000))
	is.Equal(refusalOf(t, err).Cause, answer.CauseInvalid)

	a := ask("stapler", "", "p", answerTokens)
	a.Spec.Model = "kiosk"
	_, err = d.Open(t.Context(), a)
	is.Equal(refusalOf(t, err).Cause, answer.CauseForbidden)

	d.Drain()
	_, err = d.Open(t.Context(), ask("stapler", "", "p", answerTokens))
	is.Equal(refusalOf(t, err).Cause, answer.CauseLeaving)
}

// An answer that nobody reads is cancelled after its grace.
func TestAbandoned(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	f := newTargets(1)
	f.gate, f.patience = make(chan struct{}), time.Hour
	d := newDesk(t, f, clock, alone("e1"))
	reader, err := d.Open(t.Context(), ask("stapler", "", "p", answerTokens))
	is.NoErr(err)
	a, ok := d.Find(reader.Request)
	is.True(ok)
	is.NoErr(clock.BlockUntilContext(t.Context(), 2))
	reader.Close()
	clock.Advance(time.Minute)
	for a.State() == request.StateRunning {
		time.Sleep(time.Millisecond)
	}
	is.Equal(len(d.Pending()), 0)
	is.Equal(f.computed, 0)
}

// The caller of a keyed request may come back, so its answer goes on.
func TestAbandonedKeyed(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	f := newTargets(1)
	f.gate, f.patience = make(chan struct{}), time.Hour
	d := newDesk(t, f, clock, alone("e1"))
	reader, err := d.Open(t.Context(), ask("stapler", "k", "p", answerTokens))
	is.NoErr(err)
	is.NoErr(clock.BlockUntilContext(t.Context(), 2))
	reader.Close()
	clock.Advance(time.Minute)
	go feed(t.Context(), f.gate)
	reader, err = d.Open(t.Context(), ask("stapler", "k", "p", answerTokens))
	is.NoErr(err)
	got, err := readAll(t.Context(), reader)
	is.NoErr(err)
	is.Equal(got, expected("v1", "p", answerTokens))
	is.Equal(len(f.starts), 1)
}

// The entries' views differ for a while: the request is passed on at most
// twice and never back.
func TestServeHops(t *testing.T) {
	is := is.New(t)
	f := newTargets(1)
	peers := alone("e1")
	peers.Live = func() []id.Entry { return []id.Entry{"e0", "e1", "e2", "e3"} }
	passed := 0
	peers.Relay = func(_ context.Context, e id.Entry, r request.RelayRequest) (*answer.Reader, error) {
		if r.AnnouncesOwnership {
			return nil, fault.New("fake.relay", request.Lost, "entry %s is gone", e)
		}
		passed++
		is.True(len(r.Via) <= 2)
		is.Equal(r.Via[len(r.Via)-1], id.Entry("e1"))
		return nil, fault.New("fake.relay", request.Lost, "entry %s is gone", e)
	}
	var gone []id.Entry
	peers.ReportUnreachable = func(e id.Entry) { gone = append(gone, e) }
	d := newDesk(t, f, clockwork.NewRealClock(), peers)
	for i := range 20 {
		key := string(rune('a' + i))
		reader, err := d.Open(t.Context(), ask("stapler", key, "p", answerTokens))
		is.NoErr(err) // another owner follows when the home is gone
		got, err := readAll(t.Context(), reader)
		is.NoErr(err)
		is.Equal(len(got), answerTokens)
	}
	is.Equal(passed, len(gone))
	is.True(passed > 0)
}

// A relayed answer goes on when its home dies in the middle.
func TestOpenHomeDies(t *testing.T) {
	is := is.New(t)
	f := newTargets(1)
	all := expected("v1", "p", answerTokens)
	alive := true
	peers := alone("e1")
	peers.Live = func() []id.Entry {
		if alive {
			return []id.Entry{"e0"}
		}
		return []id.Entry{"e1"}
	}
	peers.ReportUnreachable = func(id.Entry) { alive = false }
	peers.PreviousOwner = func(id.Request) (id.Entry, bool) { return "e0", false }
	peers.Relay = func(_ context.Context, _ id.Entry, r request.RelayRequest) (*answer.Reader, error) {
		f.held = []request.FoundAttempt{{
			Target: f.reports[0], Spec: r.Spec, Epoch: 1, Attempt: 1, Running: true, Tokens: all[:11],
		}}
		sent := false
		return &answer.Reader{Request: r.Request, Lineage: r.Spec.Lineage, Close: func() {}, Next: func(context.Context) (answer.Part, error) {
			if sent {
				return answer.Part{}, fault.New("fake.next", request.Lost, "home died")
			}
			sent = true
			return answer.Part{Lineage: r.Spec.Lineage, Tokens: all[:8]}, nil
		}}, nil
	}
	d := newDesk(t, f, clockwork.NewRealClock(), peers)
	reader, err := d.Open(t.Context(), ask("stapler", "key", "p", answerTokens))
	is.NoErr(err)
	got, err := readAll(t.Context(), reader)
	is.NoErr(err)
	is.Equal(got, all)
	is.Equal(len(f.starts), 0) // the running attempt is adopted
}

// Two attempts race; the caller gets one text, once.
func TestOpenRace(t *testing.T) {
	is := is.New(t)
	f := newTargets(2)
	f.scripts = []script{{dieAfter: 4, stallAfter: -1, garble: -1}}
	clock := clockwork.NewRealClock()
	policy := f.policy()
	place := policy.Route
	policy.Route = func(p request.RouteRequest, now time.Time) request.Choice {
		choice := place(p, now)
		if len(p.Losses) == 1 {
			choice.SecondTarget = &f.reports[0]
		}
		return choice
	}
	cfg := request.Config{Self: "e1", Clock: clock, Log: event.NewLogfmtLog(t.Output(), clock)}
	d := request.NewCoordinator(cfg, f.link(), alone("e1"), policy, openGate())
	defer d.Close()
	reader, err := d.Open(t.Context(), ask("stapler", "", "p", answerTokens))
	is.NoErr(err)
	got, err := readAll(t.Context(), reader)
	is.NoErr(err)
	is.Equal(got, expected("v1", "p", answerTokens))
	is.Equal(len(f.starts), 3)
}

// A newer owner fenced this one; it reads on without fencing back.
func TestFollow(t *testing.T) {
	is := is.New(t)
	f := newTargets(1)
	all := expected("v1", "p", answerTokens)
	f.scripts = []script{{refuse: request.Fenced}}
	d := newDesk(t, f, clockwork.NewRealClock(), alone("e1"))
	a := ask("stapler", "key", "p", answerTokens)
	whole := &generation.Finish{Reason: generation.Length, TokenCount: answerTokens, Checksum: generation.ChecksumOf(all)}
	reader, err := d.Open(t.Context(), a)
	is.NoErr(err)
	spec := reader.Spec
	f.mu.Lock()
	f.held = []request.FoundAttempt{{Target: f.reports[0], Spec: &spec, Epoch: 1 << 60, Attempt: 3, Tokens: all, Finish: whole}}
	f.mu.Unlock()
	got, err := readAll(t.Context(), reader)
	is.NoErr(err)
	is.Equal(got, all)
	is.Equal(len(f.starts), 1)
}

func refusalOf(t *testing.T, err error) *answer.Refusal {
	t.Helper()
	var refusal *answer.Refusal
	if !errors.As(err, &refusal) {
		t.Fatalf("error is %v, want a refusal", err)
	}
	return refusal
}
