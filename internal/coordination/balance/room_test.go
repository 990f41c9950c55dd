package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/state/id"
)

// TestRoomOfEngines lets entries with the same news look for room at one engine.
func TestRoomOfEngines(t *testing.T) {
	is := is.New(t)
	const entries, rounds = 20, 400
	ts := targets("m", 1, "a")
	rng := rand.New(rand.NewPCG(1, 2))
	bs := make([]*balance.Balancer, entries)
	for i := range bs {
		bs[i] = balance.New("a", rng.Float64)
	}
	now, taken, most := start, 0, 0
	for range rounds {
		now = now.Add(100 * time.Millisecond)
		takers := 0
		for _, b := range bs {
			takers += b.Room(now, request(), ts, balance.Rivals{Waiting: 1, Others: entries - 1}).Places
		}
		taken, most = taken+takers, max(most, takers)
	}
	is.True(taken >= rounds*8/10) // the place is used
	is.True(taken <= rounds*12/10)
	is.True(most <= 6)
	// A request that nobody else's is as urgent as takes the place at once.
	is.Equal(bs[0].Room(now, request(), ts, balance.Rivals{Waiting: 1}).Places, 1)
}

func TestRoomOfEngineByBacklog(t *testing.T) {
	is := is.New(t)
	b, ts := newBalancer(), targets("m", 1, "a")
	b.Ordered = true
	alone := balance.Rivals{Waiting: 1}
	attempt := b.Start(start, balance.Choice{Target: ts[0]}, request(), nil)
	is.Equal(b.Room(start, request(), ts, alone).Places, 0) // 8000 tokens are ahead
	is.Equal(b.Room(start.Add(500*time.Millisecond), request(), ts, alone).Places, 1)
	attempt.End(start, balance.Refused)
	is.Equal(b.Room(start.Add(100*time.Millisecond), request(), ts, alone).Places, 0) // it has just refused one
	is.Equal(b.Room(start.Add(200*time.Millisecond), request(), ts, alone).Places, 1)
	large := request()
	large.OutputTokens = 90000 - large.PromptTokens
	is.Equal(b.Room(start.Add(200*time.Millisecond), large, ts, alone).Places, 1) // the target itself refuses it
	large.OutputTokens = 60000 - large.PromptTokens
	other := b.Start(start.Add(-time.Minute), balance.Choice{Target: ts[0]}, balance.Request{Engine: engine(), OutputTokens: 30000}, nil)
	is.Equal(b.Room(start.Add(200*time.Millisecond), large, ts, alone).Places, 0) // no memory
	other.End(start, balance.Succeeded)
	reserved := balance.Rivals{Waiting: 1, Reserved: map[id.Target]int{ts[0].ID: 1}}
	is.Equal(b.Room(start.Add(200*time.Millisecond), request(), ts, reserved).Places, 0)
	b.ApplyPeerLoss(start.Add(time.Second), ts[0], 0)
	is.True(b.Room(start.Add(time.Second), request(), ts, alone).Undecided)
}

// TestRoomOfService lets entries that always have requests waiting send all that they may, with
// reports that are half a second old.
func TestRoomOfService(t *testing.T) {
	is := is.New(t)
	const entries, work, report = 20, 40 * time.Millisecond, 450 * time.Millisecond
	ts := targets("s", 1, "a", "b", "c")
	bound := 2 * 12 * len(ts)
	rng := rand.New(rand.NewPCG(3, 4))
	type running struct {
		attempt *balance.Attempt
		ends    time.Time
	}
	bs, flights := make([]*balance.Balancer, entries), make([][]running, entries)
	for i := range bs {
		bs[i] = balance.New("a", rng.Float64)
	}
	inFlight, samples, most := 0, 0, 0
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(5 * time.Millisecond) {
		all := 0
		for i, b := range bs {
			rest := flights[i][:0]
			for _, f := range flights[i] {
				if f.ends.After(now) {
					rest = append(rest, f)
				} else {
					f.attempt.End(now, balance.Succeeded)
				}
			}
			flights[i] = rest
			room := b.Room(now, balance.Request{}, ts, balance.Rivals{Waiting: 10, Others: 10 * (entries - 1)})
			for range min(10, room.Places) {
				choice, ok := b.Choose(now, balance.Request{}, room.Targets, nil)
				is.True(ok)
				flights[i] = append(flights[i], running{b.Start(now, choice, balance.Request{}, nil), now.Add(work)})
			}
			all += len(flights[i])
			if now.Sub(start)%report == time.Duration(i)*20*time.Millisecond {
				for j, other := range bs {
					if j != i {
						other.ApplyPeerLoads(now, id.Entry(rune('a'+i)), b.Loads(), time.Second)
					}
				}
			}
		}
		if now.Sub(start) > 2*time.Second {
			inFlight, samples, most = inFlight+all, samples+1, max(most, all)
		}
	}
	mean := inFlight / samples
	t.Log("in flight", mean, "most", most, "of", bound)
	is.True(mean >= 12*len(ts)*5/4) // the targets are kept busy
	is.True(most <= bound+bound/2)  // and never full: they queue twice their slots and more
}

func TestRoomOfIdleService(t *testing.T) {
	is := is.New(t)
	b, ts := newBalancer(), targets("s", 1, "a", "b")
	room := b.Room(start, balance.Request{}, ts, balance.Rivals{Waiting: 1})
	is.True(room.Places >= 1)
	is.Equal(len(room.Targets), 2)
	b.ObserveLoad(start, ts[0], &balance.TargetLoad{Running: 12, Waiting: 12, Slots: 12})
	is.Equal(len(b.Room(start, balance.Request{}, ts, balance.Rivals{Waiting: 1}).Targets), 1) // a full one is left out
	is.Equal(len(b.Room(start.Add(200*time.Millisecond), balance.Request{}, ts, balance.Rivals{Waiting: 1}).Targets), 2)
}
