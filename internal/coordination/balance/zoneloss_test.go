package balance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/state/id"
)

// TestZoneLostByShare guards against a zone that is taken for lost because a few of many
// entries lose a target each at about the same time.
func TestZoneLostByShare(t *testing.T) {
	tests := []struct {
		name string
		size int
		// own and others are the targets that this entry and others lose, and living those
		// that have sent something since.
		own, others, living int
		lost                bool
	}{
		{name: "a small zone, one reported", size: 9, others: 1},
		{name: "a small zone, two reported", size: 9, others: 2, lost: true},
		{name: "a large zone, two reported", size: 48, others: 2},
		{name: "a large zone, nine reported", size: 48, others: 9},
		{name: "a large zone, ten reported", size: 48, others: 10, lost: true},
		{name: "a large zone, one own and one reported", size: 48, own: 1, others: 1},
		{name: "a large zone, two own", size: 48, own: 2, lost: true},
		{name: "a large zone, three living and two own", size: 48, own: 2, living: 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer()
			b.GroupSize = func(id.Service, id.Zone) int { return tt.size }
			ts := targets("m", tt.size, "a")
			lost := false
			for i := range tt.own {
				attempt := b.Start(start, balance.Choice{Target: ts[i]}, request(), nil)
				lost = attempt.End(start.Add(100*time.Millisecond), balance.Lost) || lost
				for j := range tt.living {
					b.Start(start, balance.Choice{Target: ts[40+j]}, request(), nil).RecordActivity(start.Add(101 * time.Millisecond))
				}
			}
			for i := range tt.others {
				lost = b.ApplyPeerLoss(start.Add(200*time.Millisecond), ts[20%tt.size+i], 10*time.Millisecond) || lost
			}
			is.Equal(lost, tt.lost)
		})
	}
}
