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

func TestRunWhole(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, nil)
	b := newBench(t, engineSettings(e.URL), target.Deps{})
	got := all(t, b.run(t.Context(), start(1, 1, testSpec(300))))
	is.True(errors.Is(got.err, io.EOF))     // the stream ends well
	is.Equal(got.accepted.Lineage, "l1")    // the attempt was accepted first
	is.Equal(got.tokens, tokensTo(300))     // no token is missing or repeated
	is.Equal(got.finish.Count, uint32(300)) // the end covers all tokens
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
	b := newBench(t, engineSettings(e.URL), target.Deps{})
	first := b.run(t.Context(), start(1, 1, testSpec(10)))
	steps <- struct{}{}
	is.Equal(until(t, first, 1).tokens, tokensTo(1))
	second := b.run(t.Context(), start(1, 1, testSpec(10)))
	is.Equal(until(t, second, 1).tokens, tokensTo(1)) // it begins at the beginning
	close(steps)
	got := all(t, second)
	is.Equal(got.first, 1)
	is.Equal(len(got.tokens), 9)
	is.Equal(got.finish.Checksum, uint64(generation.ChecksumOf(tokensTo(10))))
	is.Equal(len(all(t, first).tokens), 9)
	is.Equal(e.starts.Load(), int64(1)) // one generation for both
}

func TestRunFencesOlderOwner(t *testing.T) {
	is := is.New(t)
	steps := make(chan struct{})
	e := newFakeEngine(t, steps)
	b := newBench(t, engineSettings(e.URL), target.Deps{})
	old := b.run(t.Context(), start(1, 1, testSpec(10)))
	for range 3 {
		steps <- struct{}{}
	}
	is.Equal(len(until(t, old, 3).tokens), 3)
	found, err := b.client.Find(t.Context(), &peerpb.FindRequest{Request: testRequest, Epoch: 2})
	is.NoErr(err)
	is.Equal(found.Attempts[0].Next, uint32(3))
	is.Equal(found.Attempts[0].State, "running")
	is.Equal(peer.ToTokens(found.Attempts[0].Tokens), tokensTo(3))
	got := all(t, old)
	is.Equal(got.refused.Kind, "fenced") // the old owner is cut off in the middle
	is.Equal(len(got.tokens), 0)
	adopted := b.run(t.Context(), adopt(2, 1, 2))
	close(steps)
	got = all(t, adopted)
	is.Equal(got.first, 2) // the new owner goes on from the index it named
	is.Equal(append(tokensTo(2), got.tokens...), tokensTo(10))
	is.Equal(got.finish.Count, uint32(10))
	is.Equal(e.starts.Load(), int64(1))
	late := all(t, b.run(t.Context(), start(1, 2, testSpec(10))))
	is.Equal(late.refused.Kind, "fenced")
	_, err = b.client.Cancel(t.Context(), &peerpb.CancelRequest{Request: testRequest, Epoch: 1})
	is.Equal(status.Code(err), codes.FailedPrecondition)
}

func TestRunNewerAttemptCancelsOlder(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, make(chan struct{}))
	b := newBench(t, engineSettings(e.URL), target.Deps{})
	older := b.run(t.Context(), start(1, 1, testSpec(10)))
	b.eventually(func() bool { return e.starts.Load() == 1 })
	b.run(t.Context(), start(1, 2, testSpec(10)))
	is.Equal(all(t, older).refused.Kind, "failed")
	b.eventually(func() bool { return e.cancelled.Load() == 1 }) // the engine stops computing it
}

func TestRunCancel(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, make(chan struct{}))
	b := newBench(t, engineSettings(e.URL), target.Deps{})
	stream := b.run(t.Context(), start(1, 1, testSpec(10)))
	b.eventually(func() bool { return e.starts.Load() == 1 })
	reply, err := b.client.Cancel(t.Context(), &peerpb.CancelRequest{Request: testRequest, Epoch: 1})
	is.NoErr(err)
	is.Equal(reply.Cancelled, uint32(1))
	is.Equal(all(t, stream).refused.Kind, "failed")
	b.eventually(func() bool { return e.cancelled.Load() == 1 })
}

func TestRunOrphan(t *testing.T) {
	is := is.New(t)
	steps := make(chan struct{})
	e := newFakeEngine(t, steps)
	b := newBench(t, engineSettings(e.URL), target.Deps{})
	ctx, leave := context.WithCancel(t.Context())
	stream := b.run(ctx, start(1, 1, testSpec(10)))
	is.Equal(until(t, stream, 0).tokens, nil)
	b.eventually(func() bool { return e.starts.Load() == 1 })
	leave()
	b.eventually(func() bool { return strings.Contains(b.process.Pending()[0], "0 readers") })
	steps <- struct{}{} // the work goes on without a reader
	for range 29 {
		b.advance(time.Second)
	}
	is.Equal(e.cancelled.Load(), int64(0))
	is.Equal(until(t, b.run(t.Context(), adopt(2, 1, 0)), 1).tokens, tokensTo(1))
	found, err := b.client.Find(t.Context(), &peerpb.FindRequest{Request: testRequest, Epoch: 3})
	is.NoErr(err) // which cuts the reader of epoch 2 off
	is.Equal(found.Attempts[0].State, "running")
	b.advance(30 * time.Second)
	b.eventually(func() bool { return e.cancelled.Load() == 1 })
	found, err = b.client.Find(t.Context(), &peerpb.FindRequest{Request: testRequest})
	is.NoErr(err)
	is.Equal(found.Attempts[0].State, "failed")
	is.Equal(len(found.Attempts[0].Tokens), 1) // its tokens are still held
}

func TestRunEngineFails(t *testing.T) {
	t.Run("cut", func(t *testing.T) {
		is := is.New(t)
		e := newFakeEngine(t, nil)
		e.cutAt.Store(7)
		b := newBench(t, engineSettings(e.URL), target.Deps{})
		got := all(t, b.run(t.Context(), start(1, 1, testSpec(10))))
		is.Equal(got.tokens, tokensTo(7)) // what came before it is whole
		is.Equal(got.finish, nil)
		is.Equal(got.refused.Kind, "engine")
		is.True(got.refused.Started)
	})
	t.Run("unreachable", func(t *testing.T) {
		is := is.New(t)
		e := newFakeEngine(t, nil)
		b := newBench(t, engineSettings(e.URL), target.Deps{})
		e.Close()
		got := all(t, b.run(t.Context(), start(1, 1, testSpec(10))))
		is.Equal(got.refused.Kind, "engine")
		is.True(!got.refused.Started) // so it may be started elsewhere
		b.advance(pollEvery)
		b.eventually(func() bool { b.advance(pollEvery); return b.process.Report().State == member.Joining })
	})
}

func TestRunRefuses(t *testing.T) {
	e := newFakeEngine(t, nil)
	b := newBench(t, engineSettings(e.URL), target.Deps{})
	with := func(edit func(*generation.Spec)) *peerpb.RunRequest {
		s := testSpec(10)
		edit(s)
		return start(1, 1, s)
	}
	tests := []struct {
		name string
		ask  *peerpb.RunRequest
		kind string
	}{
		{"no message", &peerpb.RunRequest{}, "invalid"},
		{"no spec", &peerpb.RunRequest{Message: &peerpb.RunRequest_Start{Start: &peerpb.Start{}}}, "invalid"},
		{"no epoch", start(0, 1, testSpec(10)), "invalid"},
		{"prefix too long", start(1, 1, testSpec(2), tokensTo(3)...), "invalid"},
		{"other version", with(func(s *generation.Spec) { s.Version = "v2" }), "mismatch"},
		{"other model", with(func(s *generation.Spec) { s.Model = "kiosk" }), "mismatch"},
		{"other adapter", with(func(s *generation.Spec) { s.Adapter = "a1" }), "mismatch"},
		{"late", with(func(s *generation.Spec) { s.Deadline = time.Unix(benchStart-1, 0) }), "deadline"},
		{"not held", adopt(1, 9, 0), "unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := all(t, b.run(t.Context(), tt.ask))
			is.Equal(got.refused.Kind, tt.kind)
			is.True(!got.refused.Started)
			is.Equal(got.accepted, nil)
		})
	}
	is.New(t).Equal(e.starts.Load(), int64(0))
}

// TestRunSlowReader holds that a reader which does not read costs its log, and
// no queue of its own.
func TestRunSlowReader(t *testing.T) {
	is := is.New(t)
	const (
		tokens   = 60_000
		windows  = 2 * 64 << 10
		maxBatch = 64
	)
	e := newFakeEngine(t, nil)
	registry := metrics.NewRegistry()
	b := newBench(t, engineSettings(e.URL), target.Deps{Metrics: registry})
	stream := b.run(t.Context(), start(1, 1, testSpec(tokens)))
	b.eventually(func() bool { return count(registry, "target.attempts.finished") == 1 })
	// The sender's and the reader's window hold 64 KiB each, and a token takes
	// 10 bytes at least. The rest is in the log alone.
	is.True(count(registry, "target.tokens.relayed") <= windows/10+maxBatch)
	got := all(t, stream)
	is.Equal(len(got.tokens), tokens)
	is.Equal(got.finish.Checksum, uint64(generation.ChecksumOf(got.tokens)))
	// A message of one token takes 25 bytes at least. Once the windows are
	// full, batches are.
	is.True(got.messages <= windows/25+tokens/maxBatch+16)
}

func count(r metrics.Registry, name string) int64 {
	return metrics.GetOrRegisterCounter(name, r).Count()
}

// TestRunLoad holds the loads of a stream: one at the start, one at the end,
// and between them at most one in 100 ms.
func TestRunLoad(t *testing.T) {
	is := is.New(t)
	steps := make(chan struct{})
	e := newFakeEngine(t, steps)
	b := newBench(t, engineSettings(e.URL), target.Deps{})
	stream := b.run(t.Context(), start(1, 1, testSpec(40)))
	got := until(t, stream, 0)
	got.next(t, stream)
	for n := range 20 {
		steps <- struct{}{}
		for len(got.tokens) <= n {
			got.next(t, stream)
		}
		b.clock.Advance(20 * time.Millisecond)
	}
	is.Equal(len(got.loads), 1+3) // at the start and at 100, 200 and 300 ms
	close(steps)
	for more := true; more; {
		more = got.next(t, stream)
	}
	last := uint64(0)
	for _, load := range got.loads {
		is.True(load.Sequence >= last) // sequences rise
		is.Equal(load.Incarnation, int64(benchStart*1000))
		last = load.Sequence
	}
	is.Equal(got.loads[0].Running, uint32(1))
	is.Equal(got.loads[len(got.loads)-1].Running, uint32(0))
	is.Equal(got.loads[0].State, "ready")
	is.Equal(got.loads[0].PaceUs, int64(31_000)) // the engine's word until there is an own figure
	is.Equal(got.loads[0].QueuedPrefillTokens, uint64(7))
}

func TestSwap(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, nil)
	b := newBench(t, engineSettings(e.URL), target.Deps{})
	reply, err := peerpb.NewExchangeClient(b.conn).Swap(t.Context(), &peerpb.ExchangeRequest{})
	is.NoErr(err)
	is.Equal(reply.Loads[0].Target, "t1")
	is.Equal(reply.Loads[0].Address, b.process.Address())
	hook := func(context.Context, *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
		return &peerpb.ExchangeReply{Digest: 9}, nil
	}
	b = newBench(t, engineSettings(e.URL), target.Deps{Swap: hook})
	reply, err = peerpb.NewExchangeClient(b.conn).Swap(t.Context(), &peerpb.ExchangeRequest{})
	is.NoErr(err)
	is.Equal(reply.Digest, uint64(9))
}
