package target_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/protocol/peer"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/transport/target"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestRunComplete(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, nil)
	h := newHarness(t, engineSettings(e.URL), target.Deps{})
	got := readAll(t, h.run(t.Context(), start(1, 1, testSpec(300))))
	is.True(errors.Is(got.err, io.EOF))     // the stream ends without an error
	is.Equal(got.accepted.Lineage, "l1")    // the attempt was accepted first
	is.Equal(got.tokens, tokensTo(300))     // no token is missing or repeated
	is.Equal(got.finish.Count, uint32(300)) // the finish message counts all tokens
	is.Equal(got.finish.Reason, "length")
	is.Equal(got.finish.Checksum, uint64(generation.ChecksumOf(tokensTo(300))))
	is.Equal(got.finish.Prefilled, uint32(3)) // 5 prompt tokens, 2 of them cached
	is.Equal(got.finish.Decoded, uint32(300))
	is.True(len(got.loads) >= 2) // at the start and at the end
	is.Equal(got.loads[len(got.loads)-1].Running, uint32(0))
}

func TestRunJoinsDuplicate(t *testing.T) {
	is := is.New(t)
	steps := make(chan struct{})
	e := newFakeEngine(t, steps)
	h := newHarness(t, engineSettings(e.URL), target.Deps{})
	first := h.run(t.Context(), start(1, 1, testSpec(10)))
	steps <- struct{}{}
	is.Equal(readUntil(t, first, 1).tokens, tokensTo(1))
	second := h.run(t.Context(), start(1, 1, testSpec(10)))
	is.Equal(readUntil(t, second, 1).tokens, tokensTo(1)) // the second reader gets the first token too
	close(steps)
	got := readAll(t, second)
	is.Equal(got.first, 1)
	is.Equal(len(got.tokens), 9)
	is.Equal(got.finish.Checksum, uint64(generation.ChecksumOf(tokensTo(10))))
	is.Equal(len(readAll(t, first).tokens), 9)
	is.Equal(e.starts.Load(), int64(1)) // both streams share one generation
}

func TestRunFencesOlderOwner(t *testing.T) {
	is := is.New(t)
	steps := make(chan struct{})
	e := newFakeEngine(t, steps)
	h := newHarness(t, engineSettings(e.URL), target.Deps{})
	old := h.run(t.Context(), start(1, 1, testSpec(10)))
	for range 3 {
		steps <- struct{}{}
	}
	is.Equal(len(readUntil(t, old, 3).tokens), 3)
	found, err := h.client.Find(t.Context(), &peerpb.FindRequest{Request: testRequest, Epoch: 2})
	is.NoErr(err)
	is.Equal(found.Attempts[0].Next, uint32(3))
	is.Equal(found.Attempts[0].State, "running")
	is.Equal(peer.ToTokens(found.Attempts[0].Tokens), tokensTo(3))
	got := readAll(t, old)
	is.Equal(got.refused.Kind, "fenced") // the old owner's stream ends early
	is.Equal(len(got.tokens), 0)
	adopted := h.run(t.Context(), adopt(2, 1, 2))
	close(steps)
	got = readAll(t, adopted)
	is.Equal(got.first, 2) // the new owner continues from the index it asked for
	is.Equal(append(tokensTo(2), got.tokens...), tokensTo(10))
	is.Equal(got.finish.Count, uint32(10))
	is.Equal(e.starts.Load(), int64(1))
	late := readAll(t, h.run(t.Context(), start(1, 2, testSpec(10))))
	is.Equal(late.refused.Kind, "fenced")
	_, err = h.client.Cancel(t.Context(), &peerpb.CancelRequest{Request: testRequest, Epoch: 1})
	is.Equal(status.Code(err), codes.FailedPrecondition)
}

func TestRunNewerAttemptCancelsOlder(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, make(chan struct{}))
	h := newHarness(t, engineSettings(e.URL), target.Deps{})
	older := h.run(t.Context(), start(1, 1, testSpec(10)))
	h.eventually(func() bool { return e.starts.Load() == 1 })
	h.run(t.Context(), start(1, 2, testSpec(10)))
	is.Equal(readAll(t, older).refused.Kind, "failed")
	h.eventually(func() bool { return e.cancelled.Load() == 1 }) // the generation is cancelled at the engine
}

func TestRunCancel(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, make(chan struct{}))
	h := newHarness(t, engineSettings(e.URL), target.Deps{})
	stream := h.run(t.Context(), start(1, 1, testSpec(10)))
	h.eventually(func() bool { return e.starts.Load() == 1 })
	reply, err := h.client.Cancel(t.Context(), &peerpb.CancelRequest{Request: testRequest, Epoch: 1})
	is.NoErr(err)
	is.Equal(reply.Cancelled, uint32(1))
	is.Equal(readAll(t, stream).refused.Kind, "failed")
	h.eventually(func() bool { return e.cancelled.Load() == 1 })
}

func TestRunOrphan(t *testing.T) {
	is := is.New(t)
	steps := make(chan struct{})
	e := newFakeEngine(t, steps)
	h := newHarness(t, engineSettings(e.URL), target.Deps{})
	ctx, disconnect := context.WithCancel(t.Context())
	stream := h.run(ctx, start(1, 1, testSpec(10)))
	is.Equal(readUntil(t, stream, 0).tokens, nil)
	h.eventually(func() bool { return e.starts.Load() == 1 })
	disconnect()
	h.eventually(func() bool { return strings.Contains(h.process.Pending()[0], "0 readers") })
	steps <- struct{}{} // the generation continues without a reader
	for range 29 {
		h.advance(time.Second)
	}
	is.Equal(e.cancelled.Load(), int64(0))
	is.Equal(readUntil(t, h.run(t.Context(), adopt(2, 1, 0)), 1).tokens, tokensTo(1))
	found, err := h.client.Find(t.Context(), &peerpb.FindRequest{Request: testRequest, Epoch: 3})
	is.NoErr(err) // this fences the reader of epoch 2
	is.Equal(found.Attempts[0].State, "running")
	h.advance(30 * time.Second)
	h.eventually(func() bool { return e.cancelled.Load() == 1 })
	found, err = h.client.Find(t.Context(), &peerpb.FindRequest{Request: testRequest})
	is.NoErr(err)
	is.Equal(found.Attempts[0].State, "failed")
	is.Equal(len(found.Attempts[0].Tokens), 1) // the tokens are still in the log
}

func TestRunEngineFails(t *testing.T) {
	t.Run("cut", func(t *testing.T) {
		is := is.New(t)
		e := newFakeEngine(t, nil)
		e.cutAt.Store(7)
		h := newHarness(t, engineSettings(e.URL), target.Deps{})
		got := readAll(t, h.run(t.Context(), start(1, 1, testSpec(10))))
		is.Equal(got.tokens, tokensTo(7)) // all tokens before the cut arrive
		is.Equal(got.finish, nil)
		is.Equal(got.refused.Kind, "engine")
		is.True(got.refused.Started)
	})
	t.Run("unreachable", func(t *testing.T) {
		is := is.New(t)
		e := newFakeEngine(t, nil)
		h := newHarness(t, engineSettings(e.URL), target.Deps{})
		e.Close()
		got := readAll(t, h.run(t.Context(), start(1, 1, testSpec(10))))
		is.Equal(got.refused.Kind, "engine")
		is.True(!got.refused.Started) // so the entry may start it at another target
		h.advance(pollInterval)
		h.eventually(func() bool { h.advance(pollInterval); return h.process.Report().State == member.Joining })
	})
}

func TestRunRefuses(t *testing.T) {
	e := newFakeEngine(t, nil)
	h := newHarness(t, engineSettings(e.URL), target.Deps{})
	with := func(edit func(*generation.Spec)) *peerpb.RunRequest {
		s := testSpec(10)
		edit(s)
		return start(1, 1, s)
	}
	tests := []struct {
		name  string
		first *peerpb.RunRequest
		kind  string
	}{
		{"no message", &peerpb.RunRequest{}, "invalid"},
		{"no spec", &peerpb.RunRequest{Message: &peerpb.RunRequest_Start{Start: &peerpb.Start{}}}, "invalid"},
		{"no epoch", start(0, 1, testSpec(10)), "invalid"},
		{"prefix too long", start(1, 1, testSpec(2), tokensTo(3)...), "invalid"},
		{"other version", with(func(s *generation.Spec) { s.Version = "v2" }), "mismatch"},
		{"other model", with(func(s *generation.Spec) { s.Model = "kiosk" }), "mismatch"},
		{"other adapter", with(func(s *generation.Spec) { s.Adapter = "a1" }), "mismatch"},
		{"late", with(func(s *generation.Spec) { s.Deadline = time.Unix(startUnix-1, 0) }), "deadline"},
		{"not held", adopt(1, 9, 0), "unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := readAll(t, h.run(t.Context(), tt.first))
			is.Equal(got.refused.Kind, tt.kind)
			is.True(!got.refused.Started)
			is.Equal(got.accepted, nil)
		})
	}
	is.New(t).Equal(e.starts.Load(), int64(0))
}

// TestRunSlowReader checks that a reader that stops reading costs only the
// attempt's log: no queue of messages grows for it.
func TestRunSlowReader(t *testing.T) {
	is := is.New(t)
	const (
		tokens   = 60_000
		windows  = 2 * 64 << 10
		maxBatch = 64
	)
	e := newFakeEngine(t, nil)
	registry := metrics.NewRegistry()
	h := newHarness(t, engineSettings(e.URL), target.Deps{Metrics: registry})
	stream := h.run(t.Context(), start(1, 1, testSpec(tokens)))
	const parts = 10
	for part := range int64(parts) {
		h.eventually(func() bool { return counterValue(registry, "target.tokens.generated") >= (part+1)*tokens/parts })
	}
	h.eventually(func() bool { return counterValue(registry, "target.attempts.finished") == 1 })
	// The windows of the sender and the reader hold 64 KiB each, and a token
	// takes at least 10 bytes. The remaining tokens are only in the log.
	is.True(counterValue(registry, "target.tokens.relayed") <= windows/10+maxBatch)
	got := readAll(t, stream)
	is.Equal(len(got.tokens), tokens)
	is.Equal(got.finish.Checksum, uint64(generation.ChecksumOf(got.tokens)))
	// A message with one token takes at least 25 bytes. Once the windows are
	// full, tokens are sent in full batches.
	is.True(got.messages <= windows/25+tokens/maxBatch+16)
}

func counterValue(r metrics.Registry, name string) int64 {
	return metrics.GetOrRegisterCounter(name, r).Count()
}

// TestRunLoad checks the load reports on a stream: one at the start, one at
// the end, and at most one per 100 ms in between.
func TestRunLoad(t *testing.T) {
	is := is.New(t)
	steps := make(chan struct{})
	e := newFakeEngine(t, steps)
	h := newHarness(t, engineSettings(e.URL), target.Deps{})
	stream := h.run(t.Context(), start(1, 1, testSpec(40)))
	got := readUntil(t, stream, 0)
	got.next(t, stream)
	for n := range 20 {
		steps <- struct{}{}
		for len(got.tokens) <= n {
			got.next(t, stream)
		}
		h.clock.Advance(20 * time.Millisecond)
	}
	is.Equal(len(got.loads), 1+3) // at the start and at 100, 200 and 300 ms
	close(steps)
	for more := true; more; {
		more = got.next(t, stream)
	}
	last := uint64(0)
	for _, load := range got.loads {
		is.True(load.Sequence >= last) // sequences rise
		is.Equal(load.Incarnation, int64(startUnix*1000))
		last = load.Sequence
	}
	is.Equal(got.loads[0].Running, uint32(1))
	is.Equal(got.loads[len(got.loads)-1].Running, uint32(0))
	is.Equal(got.loads[0].State, "ready")
	is.Equal(got.loads[0].PaceUs, int64(31_000)) // the engine's figure is used until the process has measured its own
	is.Equal(got.loads[0].QueuedPrefillTokens, uint64(7))
}

func TestSwap(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, nil)
	h := newHarness(t, engineSettings(e.URL), target.Deps{})
	reply, err := peerpb.NewExchangeClient(h.conn).Swap(t.Context(), &peerpb.ExchangeRequest{})
	is.NoErr(err)
	is.Equal(reply.Loads[0].Target, "t1")
	is.Equal(reply.Loads[0].Address, h.process.Address())
	hook := func(context.Context, *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
		return &peerpb.ExchangeReply{Digest: 9}, nil
	}
	h = newHarness(t, engineSettings(e.URL), target.Deps{Swap: hook})
	reply, err = peerpb.NewExchangeClient(h.conn).Swap(t.Context(), &peerpb.ExchangeRequest{})
	is.NoErr(err)
	is.Equal(reply.Digest, uint64(9))
}
