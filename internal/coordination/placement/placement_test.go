package placement_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/placement"
	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func engines(n int, model id.Model, version id.Version) []placement.Target {
	var out []placement.Target
	for i := range n {
		out = append(out, placement.Target{State: member.Ready, Report: member.TargetReport{
			Target: id.Target(fmt.Sprint(model, "-", i)), Incarnation: 1, State: member.Ready, Model: model, Version: version, Slots: 8}})
	}
	return out
}

func orders(decisions []placement.Decision) []placement.Order {
	var out []placement.Order
	for _, d := range decisions {
		if d.Order != nil {
			out = append(out, *d.Order)
		}
	}
	return out
}

func TestPlan(t *testing.T) {
	for _, test := range []struct {
		name    string
		targets []placement.Target
		models  conf.Models
		demand  map[id.Model]float64
		loads   int
		orders  int
		reason  placement.Reason
	}{
		{"nothing to do", engines(3, "a", "v1"), conf.Models{{Name: "a", Version: "v1", Replicas: 3}}, nil, 2, 0, ""},
		{"version change with a spare target", engines(4, "a", "v1"), conf.Models{{Name: "a", Version: "v2", Replicas: 3}}, nil, 2, 1, placement.VersionChange},
		{"version change without a spare target", engines(3, "a", "v1"), conf.Models{{Name: "a", Version: "v2", Replicas: 3}}, nil, 2, 0, placement.BlockedByMinReplicas},
		{"limit on concurrent loads", engines(9, "a", "v1"), conf.Models{{Name: "a", Version: "v2", Replicas: 3}}, nil, 2, 2, placement.VersionChange},
		{"missing replicas", engines(4, "a", "v1"), conf.Models{{Name: "a", Version: "v1", Replicas: 2}, {Name: "b", Version: "v1", Replicas: 1}}, nil, 2, 1, placement.TooFewReplicas},
		{"demand", append(engines(6, "a", "v1"), engines(1, "b", "v1")...), conf.Models{{Name: "a", Version: "v1", Replicas: 2}, {Name: "b", Version: "v1", Replicas: 1}}, map[id.Model]float64{"b": 14}, 4, 2, placement.TooFewReplicas},
		{"adapter", engines(2, "a", "v1"), conf.Models{{Name: "a", Version: "v1", Replicas: 2, Adapters: []id.Adapter{"x"}}}, nil, 1, 1, placement.AdapterMissing},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			state := placement.State{Targets: test.targets, Demand: test.demand}
			got := placement.Plan(state, test.models, conf.Placement{MaxConcurrentLoads: test.loads})
			is.Equal(len(orders(got)), test.orders)
			if test.reason != "" {
				is.Equal(got[0].Reason, test.reason)
			}
			again := placement.Plan(state, test.models, conf.Placement{MaxConcurrentLoads: test.loads})
			is.Equal(again, got) // the same input gives the same order ids
		})
	}
}

// With at least one spare target, a version change completes. On the way the
// model must never have fewer ready targets than configured, nor may more
// targets load than allowed.
func TestVersionChangeKeepsReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := rapid.IntRange(1, 8).Draw(t, "replicas")
		targets := engines(replicas+rapid.IntRange(1, 4).Draw(t, "spare"), "a", "v1")
		loads := rapid.IntRange(1, 3).Draw(t, "loads")
		models := conf.Models{{Name: "a", Version: "v2", Replicas: replicas}}
		for range 200 {
			newOrders := orders(placement.Plan(placement.State{Targets: targets}, models, conf.Placement{MaxConcurrentLoads: loads}))
			for _, o := range newOrders {
				for i := range targets {
					if targets[i].Report.Target == o.Target {
						targets[i].PendingOrder = &o
						targets[i].State = member.Joining
					}
				}
			}
			ready, loading := 0, 0
			for i := range targets {
				switch {
				case targets[i].PendingOrder != nil:
					loading++
				case targets[i].State == member.Ready:
					ready++
				}
			}
			if ready < replicas || loading > loads {
				t.Fatalf("%d ready targets of %d configured, %d loading with a limit of %d", ready, replicas, loading, loads)
			}
			for i := range targets {
				if targets[i].PendingOrder != nil && rapid.Bool().Draw(t, "ends") {
					targets[i].Report.Version = targets[i].PendingOrder.Version
					targets[i].PendingOrder, targets[i].State = nil, member.Ready
				}
			}
		}
		for i := range targets {
			if targets[i].Report.Version != "v2" && targets[i].PendingOrder == nil {
				t.Fatalf("%s still serves the old version and has no order", targets[i].Report.Target)
			}
		}
	})
}

// memoryStore is an in-memory store with the calls that a leader makes.
type memoryStore struct {
	item     store.Item
	revision int64
	lease    store.LeaseID
	expired  map[store.LeaseID]bool
	// loseAnswer makes the next commit take effect but fail with an unknown
	// result.
	loseAnswer bool
	down       bool
	calls      int
}

func (m *memoryStore) store() *store.Store {
	return &store.Store{
		Get: func(context.Context, string) (store.Item, error) {
			m.calls++
			return m.item, m.failure()
		},
		Grant: func(context.Context, time.Duration) (store.LeaseID, error) {
			m.calls++
			m.lease++
			return m.lease, m.failure()
		},
		KeepAlive: func(_ context.Context, l store.LeaseID) (time.Duration, error) {
			m.calls++
			if m.expired[l] {
				return 0, fault.New("KeepAlive", store.Invalid, "lease expired")
			}
			return placement.LeaseTTL, m.failure()
		},
		Commit: func(_ context.Context, txn store.Txn) (store.Result, error) {
			m.calls++
			if err := m.failure(); err != nil {
				return store.Result{}, err
			}
			if m.item.Exists() {
				return store.Result{}, nil
			}
			m.revision++
			m.item = store.Item{Key: store.LeaderKey, Value: txn.Puts[0].Value, ModRevision: m.revision, Lease: txn.Puts[0].Lease}
			if m.loseAnswer {
				m.loseAnswer = false
				return store.Result{}, fault.New("Commit", store.Unknown, "answer to the commit lost")
			}
			return store.Result{Succeeded: true, Revision: m.revision}, nil
		},
	}
}

func (m *memoryStore) failure() error {
	if m.down {
		return fault.New("memoryStore", store.Unavailable, "store is down")
	}
	return nil
}

// A leader that is paused for longer than its lease stops by its own clock. Its
// late orders are refused, since the next leader's fencing number is higher.
func TestLeader(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := &memoryStore{revision: 40, expired: map[store.LeaseID]bool{}, loseAnswer: true}
	first, second := placement.NewLeader(m.store(), "first"), placement.NewLeader(m.store(), "second")
	is.NoErr(first.RenewOrAcquire(ctx, start)) // the result of the commit is lost, and the key is read back
	is.True(fault.Is(second.RenewOrAcquire(ctx, start), placement.NotLeader))
	old, ok := first.Fence(start.Add(7 * time.Second))
	is.True(ok)
	_, ok = first.Fence(start.Add(8 * time.Second))
	is.True(!ok) // before the lease expires in the store
	m.expired[1], m.item = true, store.Item{}
	is.NoErr(second.RenewOrAcquire(ctx, start.Add(11*time.Second)))
	next, _ := second.Fence(start.Add(11 * time.Second))
	is.True(next > old)

	// Target processes read this before they carry out an order.
	kv := m.store()
	lowest, err := placement.MinFence(ctx, kv)
	is.NoErr(err)
	is.Equal(lowest, next)
	is.True(old < lowest)
	is.True(fault.Is(first.RenewOrAcquire(ctx, start.Add(12*time.Second)), placement.NotLeader))
	held := m.item
	m.item = store.Item{}
	lowest, err = placement.MinFence(ctx, kv)
	is.NoErr(err)
	is.True(next < lowest) // without a leader no number is valid
	m.item = held
	m.down = true
	_, err = placement.MinFence(ctx, kv)
	is.True(fault.Is(err, placement.Unavailable))
	is.True(fault.Is(second.RenewOrAcquire(ctx, start.Add(14*time.Second)), placement.Unavailable))
	_, ok = second.Fence(start.Add(30 * time.Second))
	is.True(!ok)
}

// The leader and a candidate each make one call to the store per RenewInterval.
func TestLeaderCalls(t *testing.T) {
	is := is.New(t)
	m := &memoryStore{expired: map[store.LeaseID]bool{}}
	leader, candidate := placement.NewLeader(m.store(), "a"), placement.NewLeader(m.store(), "b")
	is.NoErr(leader.RenewOrAcquire(context.Background(), start))
	m.calls = 0
	for i := range 10 {
		now := start.Add(time.Duration(i+1) * placement.RenewInterval)
		is.NoErr(leader.RenewOrAcquire(context.Background(), now))
		_ = candidate.RenewOrAcquire(context.Background(), now)
	}
	is.Equal(m.calls, 20)
}

func TestIsCandidate(t *testing.T) {
	is := is.New(t)
	var live []id.Entry
	for i := range 350 {
		live = append(live, id.Entry(fmt.Sprint("e-", i)))
	}
	n := 0
	for _, e := range live {
		if placement.IsCandidate(e, live) {
			n++
		}
	}
	is.Equal(n, placement.MaxCandidates)
}
