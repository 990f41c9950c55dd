package target_test

import (
	"context"
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/target"
)

func (b *bench) order(req *peerpb.OrderRequest) *peerpb.OrderReply {
	reply, err := b.client.Order(b.t.Context(), req)
	is.New(b.t).NoErr(err)
	return reply
}

func role(order string, fence int64, role string) *peerpb.OrderRequest {
	return &peerpb.OrderRequest{Id: order, Fence: fence, Kind: "set_role", Role: role}
}

// TestOrderFence holds that the process is the fence of an engine that checks
// no numbers, also when it has just started.
func TestOrderFence(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, nil)
	lowest, storeDown := id.Fence(5), errors.New("the store is down")
	down := false
	b := newBench(t, engineSettings(e.URL), target.Deps{MinFence: func(context.Context) (id.Fence, error) {
		if down {
			return 0, storeDown
		}
		return lowest, nil
	}})
	is.True(!b.order(role("o1", 4, "decode")).Applied) // a leader that was replaced before this start
	is.True(b.order(role("o2", 5, "decode")).Applied)
	is.Equal(string(b.process.Report().Role), "decode")
	is.True(b.order(role("o2", 5, "decode")).Applied) // the same order again
	is.Equal(len(e.orders), 1)                        // is carried out once
	lowest = 6
	reply := b.order(role("o3", 5, "prefill")) // its successor has given no order yet
	is.True(!reply.Applied)
	is.True(strings.HasSuffix(reply.Refusal, "the lowest is 6"))
	lowest = math.MaxInt64 // nobody leads for a while
	is.True(!b.order(role("o3", 7, "prefill")).Applied)
	lowest = 6
	down = true
	is.True(!b.order(role("o4", 9, "prefill")).Applied) // nobody can tell who leads
	down = false
	is.True(b.order(role("o5", 9, "prefill")).Applied)
	is.True(!b.order(role("o6", 8, "mixed")).Applied) // an older number than one that was taken
	is.True(!b.order(role("o7", 9, "other")).Applied)
	is.True(!b.order(role("", 9, "mixed")).Applied)
	is.True(!b.order(role("o8", 0, "mixed")).Applied)
	is.Equal(len(e.orders), 2)
}

// TestOrderLoadModel holds that a model change waits for the attempts of the
// old version, and that none of the old version begins meanwhile.
func TestOrderLoadModel(t *testing.T) {
	is := is.New(t)
	steps := make(chan struct{})
	e := newFakeEngine(t, steps)
	s := engineSettings(e.URL)
	s.Engine.SupportsFencing = true
	b := newBench(t, s, target.Deps{})
	stream := b.run(t.Context(), start(1, 1, testSpec(3)))
	b.eventually(func() bool { return e.starts.Load() == 1 })
	change := &peerpb.OrderRequest{Id: "o1", Fence: 1, Kind: "load_model", Model: "report", Version: "v2"}
	reply := b.order(change)
	is.True(!reply.Applied)
	is.True(strings.HasPrefix(reply.Refusal, "1 attempts need report v1"))
	is.Equal(b.process.Report().State, member.Joining) // entries leave it alone
	b.advance(pollEvery)
	is.Equal(b.process.Report().State, member.Joining)
	other := testSpec(3)
	other.Request = "ans-00000000-01"
	is.Equal(all(t, b.run(t.Context(), start(1, 1, other))).refused.Kind, "mismatch")
	close(steps)
	is.Equal(all(t, stream).tokens, tokensTo(3)) // the old version went on to its end
	is.True(b.order(change).Applied)
	is.Equal(b.process.Report().Version, id.Version("v2"))
	is.Equal(b.process.Report().State, member.Ready)
	is.Equal(all(t, b.run(t.Context(), start(1, 1, other))).refused.Kind, "mismatch")
	other.Version = "v2"
	is.Equal(len(all(t, b.run(t.Context(), start(1, 1, other))).tokens), 3)
	b.order(&peerpb.OrderRequest{Id: "o2", Fence: 1, Kind: "load_adapter", Adapter: "easy"})
	is.Equal(b.process.Report().Adapters, []id.Adapter{"easy"})
}
