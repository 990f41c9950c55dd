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

func TestHeard(t *testing.T) {
	tests := []struct {
		name string
		then roster.Peer
		want bool
	}{
		{"the next", peer("b", 1, 6), true},
		{"the same again", peer("b", 1, 5), false},
		{"an older one", peer("b", 1, 4), false},
		{"the first after a restart", peer("b", 2, 1), true},
		{"a late one from before", peer("b", 0, 9), false},
		{"its own", peer("a", 1, 1), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New("a", nil)
			is.True(r.Heard(start, peer("b", 1, 5), nil))
			is.Equal(r.Heard(start, tt.then, nil), tt.want)
		})
	}
}

func TestAddresses(t *testing.T) {
	is := is.New(t)
	r := roster.New("a", []string{"s", "a"})
	is.Equal(r.Addresses(start), []string{"s"})
	r.Heard(start, peer("b", 1, 1), []string{"a", "c"})
	is.Equal(r.Addresses(start), []string{"b", "c", "s"})
	is.Equal(r.Alive(start), []string{"b"}) // c was only named
	is.Equal(r.Count(start), 2)
	later := start.Add(4 * time.Second)
	is.Equal(len(r.Alive(later)), 0)
	is.Equal(r.Count(later), 2) // it still shares the limits of the window
	is.Equal(r.Addresses(start.Add(time.Minute)), []string{"s"})
}
