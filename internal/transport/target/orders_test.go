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

func (h *harness) order(req *peerpb.OrderRequest) *peerpb.OrderReply {
	reply, err := h.client.Order(h.t.Context(), req)
	is.New(h.t).NoErr(err)
	return reply
}

func roleOrder(order string, fence int64, role string) *peerpb.OrderRequest {
	return &peerpb.OrderRequest{Id: order, Fence: fence, Kind: "set_role", Role: role}
}

// TestOrderFence checks that for an engine that ignores fencing numbers, the
// process refuses old ones, including right after its start.
func TestOrderFence(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, nil)
	lowest, errStoreDown := id.Fence(5), errors.New("store down")
	down := false
	h := newHarness(t, engineSettings(e.URL), target.Deps{MinFence: func(context.Context) (id.Fence, error) {
		if down {
			return 0, errStoreDown
		}
		return lowest, nil
	}})
	is.True(!h.order(roleOrder("o1", 4, "decode")).Applied) // from a leader that was replaced before this process started
	is.True(h.order(roleOrder("o2", 5, "decode")).Applied)
	is.Equal(string(h.process.Report().Role), "decode")
	is.True(h.order(roleOrder("o2", 5, "decode")).Applied) // a repeated order
	is.Equal(len(e.orders), 1)                             // is sent to the engine once
	lowest = 6
	reply := h.order(roleOrder("o3", 5, "prefill")) // from a replaced leader whose successor has sent no order yet
	is.True(!reply.Applied)
	is.True(strings.HasSuffix(reply.Refusal, "the lowest is 6"))
	lowest = math.MaxInt64 // there is no leader
	is.True(!h.order(roleOrder("o3", 7, "prefill")).Applied)
	lowest = 6
	down = true
	is.True(!h.order(roleOrder("o4", 9, "prefill")).Applied) // the current leader can't be determined
	down = false
	is.True(h.order(roleOrder("o5", 9, "prefill")).Applied)
	is.True(!h.order(roleOrder("o6", 8, "mixed")).Applied) // lower than the number of an accepted order
	is.True(!h.order(roleOrder("o7", 9, "other")).Applied)
	is.True(!h.order(roleOrder("", 9, "mixed")).Applied)
	is.True(!h.order(roleOrder("o8", 0, "mixed")).Applied)
	is.Equal(len(e.orders), 2)
}

// TestOrderLoadModel checks that a model change waits for the attempts on the
// old version and that no new ones on it start meanwhile.
func TestOrderLoadModel(t *testing.T) {
	is := is.New(t)
	steps := make(chan struct{})
	e := newFakeEngine(t, steps)
	s := engineSettings(e.URL)
	s.Engine.SupportsFencing = true
	h := newHarness(t, s, target.Deps{})
	stream := h.run(t.Context(), start(1, 1, testSpec(3)))
	h.eventually(func() bool { return e.starts.Load() == 1 })
	change := &peerpb.OrderRequest{Id: "o1", Fence: 1, Kind: "load_model", Model: "report", Version: "v2"}
	reply := h.order(change)
	is.True(!reply.Applied)
	is.True(strings.HasPrefix(reply.Refusal, "1 attempts need report v1"))
	is.Equal(h.process.Report().State, member.Joining) // so entries send it no requests
	h.advance(pollInterval)
	is.Equal(h.process.Report().State, member.Joining)
	other := testSpec(3)
	other.Request = "ans-00000000-01"
	is.Equal(readAll(t, h.run(t.Context(), start(1, 1, other))).refused.Kind, "mismatch")
	close(steps)
	is.Equal(readAll(t, stream).tokens, tokensTo(3)) // the attempt on the old version completed
	is.True(h.order(change).Applied)
	is.Equal(h.process.Report().Version, id.Version("v2"))
	is.Equal(h.process.Report().State, member.Ready)
	is.Equal(readAll(t, h.run(t.Context(), start(1, 1, other))).refused.Kind, "mismatch")
	other.Version = "v2"
	is.Equal(len(readAll(t, h.run(t.Context(), start(1, 1, other))).tokens), 3)
	h.order(&peerpb.OrderRequest{Id: "o2", Fence: 1, Kind: "load_adapter", Adapter: "easy"})
	is.Equal(h.process.Report().Adapters, []id.Adapter{"easy"})
}
