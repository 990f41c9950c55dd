package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/roster"
	"foxtailward.example/foxtailward/internal/state/id"
)

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func peer(address string, incarnation id.Incarnation, sequence id.Sequence) roster.Peer {
	return roster.Peer{Name: "e", Address: address, Incarnation: incarnation, Sequence: sequence}
}

func TestObserve(t *testing.T) {
	tests := []struct {
		name string
		then roster.Peer
		want roster.Verdict
	}{
		{"the next one", peer("b", 1, 6), roster.Next},
		{"the same one again", peer("b", 1, 5), roster.Stale},
		{"an older one", peer("b", 1, 4), roster.Stale},
		{"the first after a restart", peer("b", 2, 1), roster.First},
		{"a late one of an earlier incarnation", peer("b", 0, 9), roster.Stale},
		{"its own message", peer("a", 1, 1), roster.Stale},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New("a", nil)
			is.Equal(r.Observe(start, peer("b", 1, 5), nil), roster.First)
			is.Equal(r.Observe(start, tt.then, nil), tt.want)
		})
	}
}

func TestAddresses(t *testing.T) {
	is := is.New(t)
	r := roster.New("a", []string{"s", "a"})
	is.Equal(r.Addresses(start), []string{"s"})
	r.Observe(start, peer("b", 1, 1), []string{"a", "c"})
	is.Equal(r.Addresses(start), []string{"b", "c", "s"})
	is.Equal(r.Alive(start), []string{"b"}) // c was only mentioned
	is.Equal(r.LimitSharers(start), 2)
	later := start.Add(4 * time.Second)
	is.Equal(len(r.Alive(later)), 0)
	is.Equal(r.LimitSharers(later), 2) // it still counts for the limits of the current window
	is.Equal(r.Addresses(start.Add(time.Minute)), []string{"s"})
}

// A client that is refused by a stopping entry is told when another entry
// accepts its request: immediately, or when the first one has restarted.
func TestTimeUntilServing(t *testing.T) {
	is := is.New(t)
	r := roster.New("a", nil)
	_, known := r.TimeUntilServing(start)
	is.True(!known)

	b := peer("b", 1, 1)
	b.StopsIn = 3 * time.Second
	c := peer("c", 1, 1)
	c.StopsIn = 5 * time.Second
	r.Observe(start, b, nil)
	r.Observe(start, c, nil)
	wait, known := r.TimeUntilServing(start.Add(time.Second))
	is.True(known)
	is.Equal(wait, 3*time.Second) // 2 s until it ends and 1 s for the restart

	c.Sequence, c.StopsIn = 2, 0
	r.Observe(start, c, nil)
	wait, known = r.TimeUntilServing(start.Add(time.Second))
	is.True(known)
	is.Equal(wait, time.Duration(0))
}

// An entry that receives no messages uses only its own share of common limits.
func TestLimitShare(t *testing.T) {
	is := is.New(t)
	r := roster.New("a", nil)
	is.Equal(r.LimitShare(start), 0.25)
	for _, address := range []string{"b", "c", "d"} {
		r.Observe(start, peer(address, 1, 1), nil)
	}
	is.Equal(r.LimitShare(start), 1.0)
	is.Equal(r.LimitShare(start.Add(5*time.Second)), 0.25) // all have fallen silent
}

// TestClosest checks that entries choose the same keepers, in different zones where there
// are several, and replace only those that have ended.
func TestClosest(t *testing.T) {
	is := is.New(t)
	one, other := roster.New("self1", nil), roster.New("self2", nil)
	for i := range 12 {
		p := peer(string(rune('b'+i)), 1, 1)
		p.Zone = id.Zone(rune('x' + i%3))
		one.Observe(start, p, nil)
		other.Observe(start, p, nil)
		if i > 0 {
			p.Sequence = 2
			other.Observe(start.Add(3*time.Second), p, nil)
		}
	}
	moved := 0
	for i := range 100 {
		key := string(rune('A' + i))
		closest := one.Closest(start, key, 3)
		is.Equal(closest, other.Closest(start, key, 3))
		zones := map[int]bool{}
		for _, address := range closest {
			zones[int(address[0]-'b')%3] = true
		}
		is.Equal(len(zones), 3)
		later := other.Closest(start.Add(4*time.Second), key, 3) // "b" has fallen silent
		for j := range closest {
			if closest[j] != "b" && later[j] != closest[j] {
				moved++
			}
		}
	}
	is.True(moved < 50)
	is.Equal(len(one.Closest(start, "k", 100)), 12)
	is.Equal(len(roster.New("a", nil).Closest(start, "k", 3)), 0)
}
