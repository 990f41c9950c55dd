package request_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
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

func TestOpenAfterTargetFailures(t *testing.T) {
	disconnect := func(n int) script { return script{disconnectAfter: n, stallAfter: -1, corruptAt: -1} }
	cases := map[string]struct {
		scripts []script
		starts  int
	}{
		"no failure":                      {nil, 1},
		"before the first token":          {[]script{disconnect(0)}, 2},
		"after one token":                 {[]script{disconnect(1)}, 2},
		"in the middle":                   {[]script{disconnect(10)}, 2},
		"between last token and finish":   {[]script{disconnect(20)}, 1},
		"second failure after resumption": {[]script{disconnect(10), disconnect(0), disconnect(3)}, 4},
		"several targets fail in turn":    {[]script{disconnect(7), disconnect(0), disconnect(0), disconnect(0)}, 5},
		"refused before it ran":           {[]script{{refuse: request.Busy}, {refuse: request.Leaving}}, 3},
		"connection refused":              {[]script{{refuse: request.Lost}}, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeTargets(3)
			f.scripts = c.scripts
			co := newCoordinator(t, f, clockwork.NewRealClock(), soloPeers("e1"))
			reader, err := co.Open(t.Context(), newRequest("stapler", "", "truck 7", answerTokens))
			is.NoErr(err)
			got, err := readAll(t.Context(), reader)
			is.NoErr(err)
			is.Equal(got, expected("v1", "truck 7", answerTokens)) // the exact answer
			is.Equal(len(f.starts), c.starts)
			for i, s := range f.starts {
				is.Equal(s.Attempt, id.Attempt(i+1))
				is.True(slices.Equal(s.Prefix, got[:len(s.Prefix)]))
			}
			is.Equal(f.generated, answerTokens) // no token is generated twice
		})
	}
}

// TestOpenCorruptAttempt checks an attempt whose tokens do not match the checksum
// in its finish. The answer is generated anew if the caller has received no
// tokens, and fails otherwise.
func TestOpenCorruptAttempt(t *testing.T) {
	for _, buffered := range []bool{true, false} {
		t.Run(fmt.Sprint("buffered ", buffered), func(t *testing.T) {
			is := is.New(t)
			f := newFakeTargets(2)
			f.scripts = []script{{disconnectAfter: -1, stallAfter: -1, corruptAt: 7}}
			f.tokenPermits = make(chan struct{})
			co := newCoordinator(t, f, clockwork.NewRealClock(), soloPeers("e1"))
			req := newRequest("stapler", "", "p", answerTokens)
			req.Buffered = buffered
			reader, err := co.Open(t.Context(), req)
			is.NoErr(err)
			if !buffered {
				// The caller has a token before the corrupt one is sent.
				f.tokenPermits <- struct{}{}
				part, err := reader.Next(t.Context())
				is.NoErr(err)
				is.Equal(part.Tokens, expected("v1", "p", answerTokens)[:1])
			}
			go releaseTokens(t.Context(), f.tokenPermits)
			got, err := readAll(t.Context(), reader)
			if !buffered {
				is.Equal(wantRefusal(t, err).Outcome, answer.Failed)
				return
			}
			is.NoErr(err)
			is.Equal(got, expected("v1", "p", answerTokens))
		})
	}
}

// TestOpenNoProgress checks that a request ends after a limited number of
// attempts when targets accept every attempt but deliver no token.
func TestOpenNoProgress(t *testing.T) {
	is := is.New(t)
	f := newFakeTargets(2)
	for range 100 {
		f.scripts = append(f.scripts, script{disconnectAfter: 0, stallAfter: -1, corruptAt: -1})
	}
	co := newCoordinator(t, f, clockwork.NewRealClock(), soloPeers("e1"))
	reader, err := co.Open(t.Context(), newRequest("stapler", "", "p", answerTokens))
	is.NoErr(err)
	_, err = readAll(t.Context(), reader)
	is.Equal(wantRefusal(t, err).Outcome, answer.Failed)
	is.Equal(len(f.starts), openAdmission().Conf().Deployment.Recovery.MaxAttempts)
}

// releaseTokens lets a fake target send its tokens one after the other.
func releaseTokens(ctx context.Context, permits chan<- struct{}) {
	for {
		select {
		case permits <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
}

// TestOpenStall checks that a stalled attempt is abandoned, that the answer
// continues at another target, and that nothing more of the stalled attempt
// reaches the caller.
func TestOpenStall(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	f := newFakeTargets(2)
	f.scripts = []script{{disconnectAfter: -1, stallAfter: 5, corruptAt: -1}}
	co := newCoordinator(t, f, clock, soloPeers("e1"))
	reader, err := co.Open(t.Context(), newRequest("stapler", "", "p", answerTokens))
	is.NoErr(err)
	defer reader.Close()
	got := 0
	for got < 5 {
		part, err := reader.Next(t.Context())
		is.NoErr(err)
		got += len(part.Tokens)
	}
	// Wait until the sweeper's ticker and the stall timer are set.
	is.NoErr(clock.BlockUntilContext(t.Context(), 2))
	clock.Advance(defaultStallTimeout)
	rest, err := readAll(t.Context(), reader)
	is.NoErr(err)
	is.Equal(rest, expected("v1", "p", answerTokens)[5:])
	is.Equal(len(f.starts), 2)
}

func TestOpenSameKey(t *testing.T) {
	is := is.New(t)
	f := newFakeTargets(2)
	co := newCoordinator(t, f, clockwork.NewRealClock(), soloPeers("e1"))
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			reader, err := co.Open(context.Background(), newRequest("stapler", "order-1", "p", answerTokens))
			is.NoErr(err)
			got, err := readAll(context.Background(), reader)
			is.NoErr(err)
			is.Equal(got, expected("v1", "p", answerTokens))
		})
	}
	wait.Wait()
	is.Equal(len(f.starts), 1) // one generation

	reader, err := co.Open(t.Context(), newRequest("stapler", "order-1", "p", answerTokens))
	is.NoErr(err) // also after the end of the answer
	got, err := readAll(t.Context(), reader)
	is.NoErr(err)
	is.Equal(got, expected("v1", "p", answerTokens))
	is.Equal(len(f.starts), 1)

	_, err = co.Open(t.Context(), newRequest("stapler", "order-1", "another", answerTokens))
	is.Equal(wantRefusal(t, err).Cause, answer.CauseConflict) // same key, different prompt

	reader, err = co.Open(t.Context(), newRequest("belediye", "order-1", "another", answerTokens))
	is.NoErr(err) // the same key with another contract is another request
	got, err = readAll(t.Context(), reader)
	is.NoErr(err)
	is.Equal(got, expected("v1", "another", answerTokens))
}

func TestResume(t *testing.T) {
	is := is.New(t)
	f := newFakeTargets(2)
	co := newCoordinator(t, f, clockwork.NewRealClock(), soloPeers("e1"))
	reader, err := co.Open(t.Context(), newRequest("stapler", "", "p", answerTokens))
	is.NoErr(err)
	all, err := readAll(t.Context(), reader)
	is.NoErr(err)

	resume := answer.ResumeRequest{Contract: testContract("stapler"), Request: reader.Request, Lineage: reader.Lineage, From: 7}
	again, err := co.Resume(t.Context(), resume)
	is.NoErr(err)
	rest, err := readAll(t.Context(), again)
	is.NoErr(err)
	is.Equal(rest, all[7:])

	resume.Contract = testContract("belediye")
	_, err = co.Resume(t.Context(), resume)
	is.Equal(wantRefusal(t, err).Cause, answer.CauseNotFound) // another contract's answer

	resume.Contract = testContract("stapler")
	resume.Lineage = "another"
	_, err = co.Resume(t.Context(), resume)
	is.Equal(wantRefusal(t, err).Cause, answer.CauseConflict) // tokens of another generation

	resume.Lineage = reader.Lineage
	resume.From = 1000
	_, err = co.Resume(t.Context(), resume)
	is.Equal(wantRefusal(t, err).Cause, answer.CauseInvalid)
}

// TestResumeAfterOwnerLoss checks that another entry continues an answer after
// the tokens that the caller has, when the owner is lost. The target process may
// still run the attempt, have finished it, or have lost its engine.
func TestResumeAfterOwnerLoss(t *testing.T) {
	all := expected("v1", "p", answerTokens)
	finish := &generation.Finish{Reason: generation.Length, TokenCount: answerTokens, Checksum: generation.ChecksumOf(all)}
	cases := map[string]struct {
		held     request.FoundAttempt
		starts   int
		notFound bool
	}{
		"running":            {request.FoundAttempt{Running: true, Tokens: all[:12]}, 0, false},
		"finished":           {request.FoundAttempt{Tokens: all, Finish: finish}, 0, false},
		"all but the finish": {request.FoundAttempt{Tokens: all}, 0, false},
		"engine failed":      {request.FoundAttempt{Tokens: all[:12]}, 1, false},
		"nothing is held":    {request.FoundAttempt{}, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeTargets(2)
			r := id.NewRequest("e0")
			if !c.notFound {
				held := c.held
				held.Target, held.Epoch, held.Attempt = f.reports[0], 5, 2
				held.Spec = &generation.Spec{
					Request: r, Contract: "stapler", Model: "report", Version: "v1", Lineage: "l1",
					Prompt: "p", MaxTokens: answerTokens,
				}
				f.held = []request.FoundAttempt{held}
			}
			peers := soloPeers("e1")
			peers.PreviousOwner = func(id.Request) (id.Entry, bool) { return "e0", false }
			co := newCoordinator(t, f, clockwork.NewRealClock(), peers)
			resume := answer.ResumeRequest{Contract: testContract("stapler"), Request: r, Lineage: "l1", From: 9}
			reader, err := co.Resume(t.Context(), resume)
			if c.notFound {
				is.Equal(wantRefusal(t, err).Cause, answer.CauseNotFound)
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

// TestOpenVersionGone checks that an answer restarts with another model version
// only if the caller has received no tokens or allows a restart.
func TestOpenVersionGone(t *testing.T) {
	cases := map[string]struct {
		delivered, allowed, fails bool
	}{
		"no tokens delivered":               {false, false, false},
		"tokens delivered":                  {true, false, true},
		"tokens delivered, restart allowed": {true, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeTargets(2)
			f.reports[1].Version = "v2"
			f.scripts = []script{{disconnectAfter: 10, stallAfter: -1, corruptAt: -1}}
			f.tokenPermits = make(chan struct{})
			co := newCoordinator(t, f, clockwork.NewRealClock(), soloPeers("e1"))
			req := newRequest("stapler", "", "p", answerTokens)
			req.Buffered = !c.delivered
			req.Spec.RestartAllowed = c.allowed
			reader, err := co.Open(t.Context(), req)
			is.NoErr(err)
			var first answer.Part
			if c.fails {
				// Without this the target may be lost before the first token is delivered.
				f.tokenPermits <- struct{}{}
				first, err = reader.Next(t.Context())
				is.NoErr(err)
			}
			go releaseTokens(t.Context(), f.tokenPermits)
			got, err := readAll(t.Context(), reader)
			if c.fails {
				is.Equal(wantRefusal(t, err).Outcome, answer.Failed)
				is.Equal(append(first.Tokens, got...), expected("v1", "p", answerTokens)[:10])
				return
			}
			is.NoErr(err)
			is.Equal(got, expected("v2", "p", answerTokens))
		})
	}
}

func TestOpenRefused(t *testing.T) {
	is := is.New(t)
	f := newFakeTargets(0)
	co := newCoordinator(t, f, clockwork.NewRealClock(), soloPeers("e1"))
	reader, err := co.Open(t.Context(), newRequest("stapler", "", "p", answerTokens))
	is.NoErr(err)
	_, err = readAll(t.Context(), reader)
	is.Equal(wantRefusal(t, err).Outcome, answer.NotRun) // no engine received it
	is.Equal(wantRefusal(t, err).RetryAfter, time.Second)

	_, err = co.Open(t.Context(), newRequest("stapler", "", "p", 1_000_000))
	is.Equal(wantRefusal(t, err).Cause, answer.CauseInvalid)

	req := newRequest("stapler", "", "p", answerTokens)
	req.Spec.Model = "kiosk"
	_, err = co.Open(t.Context(), req)
	is.Equal(wantRefusal(t, err).Cause, answer.CauseForbidden)

	co.Drain()
	_, err = co.Open(t.Context(), newRequest("stapler", "", "p", answerTokens))
	is.Equal(wantRefusal(t, err).Cause, answer.CauseLeaving)
}

// TestAbandoned checks that an answer without readers is cancelled after the
// grace period.
func TestAbandoned(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	f := newFakeTargets(1)
	f.tokenPermits, f.stallTimeout = make(chan struct{}), time.Hour
	co := newCoordinator(t, f, clock, soloPeers("e1"))
	reader, err := co.Open(t.Context(), newRequest("stapler", "", "p", answerTokens))
	is.NoErr(err)
	a, ok := co.Find(reader.Request)
	is.True(ok)
	is.NoErr(clock.BlockUntilContext(t.Context(), 2))
	reader.Close()
	clock.Advance(time.Minute)
	for a.State() == request.StateRunning {
		time.Sleep(time.Millisecond)
	}
	is.Equal(len(co.Pending()), 0)
	is.Equal(f.generated, 0)
}

// TestAbandonedKeyed checks that the answer of a keyed request continues without
// readers, because its caller may send the request again.
func TestAbandonedKeyed(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	f := newFakeTargets(1)
	f.tokenPermits, f.stallTimeout = make(chan struct{}), time.Hour
	co := newCoordinator(t, f, clock, soloPeers("e1"))
	reader, err := co.Open(t.Context(), newRequest("stapler", "k", "p", answerTokens))
	is.NoErr(err)
	is.NoErr(clock.BlockUntilContext(t.Context(), 2))
	reader.Close()
	clock.Advance(time.Minute)
	go releaseTokens(t.Context(), f.tokenPermits)
	reader, err = co.Open(t.Context(), newRequest("stapler", "k", "p", answerTokens))
	is.NoErr(err)
	got, err := readAll(t.Context(), reader)
	is.NoErr(err)
	is.Equal(got, expected("v1", "p", answerTokens))
	is.Equal(len(f.starts), 1)
}

// TestServeHops checks that a request is relayed at most twice, and never back,
// while the membership views of the entries differ.
func TestServeHops(t *testing.T) {
	is := is.New(t)
	f := newFakeTargets(1)
	peers := soloPeers("e1")
	peers.Live = func() []id.Entry { return []id.Entry{"e0", "e1", "e2", "e3"} }
	relayed := 0
	peers.Relay = func(_ context.Context, e id.Entry, r request.RelayRequest) (*answer.Reader, error) {
		if r.AnnouncesOwnership {
			return nil, fault.New("fake.relay", request.Lost, "entry %s is unreachable", e)
		}
		relayed++
		is.True(len(r.Via) <= 2)
		is.Equal(r.Via[len(r.Via)-1], id.Entry("e1"))
		return nil, fault.New("fake.relay", request.Lost, "entry %s is unreachable", e)
	}
	var unreachable []id.Entry
	peers.ReportUnreachable = func(e id.Entry) { unreachable = append(unreachable, e) }
	co := newCoordinator(t, f, clockwork.NewRealClock(), peers)
	for i := range 20 {
		key := string(rune('a' + i))
		reader, err := co.Open(t.Context(), newRequest("stapler", key, "p", answerTokens))
		is.NoErr(err) // another entry becomes the owner when the home is unreachable
		got, err := readAll(t.Context(), reader)
		is.NoErr(err)
		is.Equal(len(got), answerTokens)
	}
	is.Equal(relayed, len(unreachable))
	is.True(relayed > 0)
}

// TestOpenHomeLost checks that a relayed answer continues when its home entry is
// lost in the middle of the stream.
func TestOpenHomeLost(t *testing.T) {
	is := is.New(t)
	f := newFakeTargets(1)
	all := expected("v1", "p", answerTokens)
	alive := true
	peers := soloPeers("e1")
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
				return answer.Part{}, fault.New("fake.next", request.Lost, "home entry is unreachable")
			}
			sent = true
			return answer.Part{Lineage: r.Spec.Lineage, Tokens: all[:8]}, nil
		}}, nil
	}
	co := newCoordinator(t, f, clockwork.NewRealClock(), peers)
	reader, err := co.Open(t.Context(), newRequest("stapler", "key", "p", answerTokens))
	is.NoErr(err)
	got, err := readAll(t.Context(), reader)
	is.NoErr(err)
	is.Equal(got, all)
	is.Equal(len(f.starts), 0) // the running attempt is adopted
}

// TestOpenRace checks that the caller of an answer with two racing attempts gets
// the tokens of one text, each of them once.
func TestOpenRace(t *testing.T) {
	is := is.New(t)
	f := newFakeTargets(2)
	f.scripts = []script{{disconnectAfter: 4, stallAfter: -1, corruptAt: -1}}
	clock := clockwork.NewRealClock()
	policy := f.policy()
	route := policy.Route
	policy.Route = func(p request.RouteRequest, now time.Time) request.Choice {
		choice := route(p, now)
		if len(p.Losses) == 1 {
			choice.SecondTarget = &f.reports[0]
		}
		return choice
	}
	cfg := request.Config{Self: "e1", Clock: clock, Log: event.NewLogfmtLog(t.Output(), clock)}
	co := request.NewCoordinator(cfg, f.client(), soloPeers("e1"), policy, openAdmission())
	defer co.Close()
	reader, err := co.Open(t.Context(), newRequest("stapler", "", "p", answerTokens))
	is.NoErr(err)
	got, err := readAll(t.Context(), reader)
	is.NoErr(err)
	is.Equal(got, expected("v1", "p", answerTokens))
	is.Equal(len(f.starts), 3)
}

// TestFollow checks that an owner fenced by a newer one continues reading the
// newer owner's attempt, without fencing it in turn.
func TestFollow(t *testing.T) {
	is := is.New(t)
	f := newFakeTargets(1)
	all := expected("v1", "p", answerTokens)
	f.scripts = []script{{refuse: request.Fenced}}
	co := newCoordinator(t, f, clockwork.NewRealClock(), soloPeers("e1"))
	req := newRequest("stapler", "key", "p", answerTokens)
	finish := &generation.Finish{Reason: generation.Length, TokenCount: answerTokens, Checksum: generation.ChecksumOf(all)}
	reader, err := co.Open(t.Context(), req)
	is.NoErr(err)
	spec := reader.Spec
	f.mu.Lock()
	f.held = []request.FoundAttempt{{Target: f.reports[0], Spec: &spec, Epoch: 1 << 60, Attempt: 3, Tokens: all, Finish: finish}}
	f.mu.Unlock()
	got, err := readAll(t.Context(), reader)
	is.NoErr(err)
	is.Equal(got, all)
	is.Equal(len(f.starts), 1)
}

func wantRefusal(t *testing.T, err error) *answer.Refusal {
	t.Helper()
	var refusal *answer.Refusal
	if !errors.As(err, &refusal) {
		t.Fatalf("error is %v, want a refusal", err)
	}
	return refusal
}

// An entry that has not met the others must not say that an answer does not exist.
func TestResumeBeforeJoining(t *testing.T) {
	is := is.New(t)
	joined := false
	peers := soloPeers("e1")
	peers.Joined = func() bool { return joined }
	co := newCoordinator(t, newFakeTargets(1), clockwork.NewRealClock(), peers)
	resume := answer.ResumeRequest{Contract: testContract("stapler"), Request: id.NewRequest("e1")}
	_, err := co.Resume(t.Context(), resume)
	refusal := wantRefusal(t, err)
	is.Equal(refusal.Cause.Status(), http.StatusServiceUnavailable)
	is.True(refusal.RetryAfter > 0)
	joined = true
	_, err = co.Resume(t.Context(), resume)
	is.Equal(wantRefusal(t, err).Cause, answer.CauseNotFound)
}
