package balance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/balance"
)

// Requests stay in the entry's own zone while the links to another one lose
// packets, unless events from all zones are delayed alike.
func TestChooseLossyLinks(t *testing.T) {
	ts := targets("m", 1, "a", "b")
	recordLosses := func(b *balance.Balancer, i, times int) {
		attempt := b.Start(start, balance.Choice{Target: ts[i]}, request(), nil)
		for range times {
			attempt.RecordPacketLoss(start)
		}
		attempt.End(start, balance.Succeeded)
	}
	tests := []struct {
		name   string
		before func(b *balance.Balancer)
		after  time.Duration
		want   int
	}{
		{"no losses", func(*balance.Balancer) {}, 0, 1},
		{"one loss", func(b *balance.Balancer) { recordLosses(b, 1, 1) }, 0, 1},
		{"three losses", func(b *balance.Balancer) { recordLosses(b, 1, 3) }, 0, 0},
		{"three losses, 10 s later", func(b *balance.Balancer) { recordLosses(b, 1, 3) }, 10 * time.Second, 1},
		{"as many losses from the own zone", func(b *balance.Balancer) { recordLosses(b, 1, 3); recordLosses(b, 0, 3) }, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer()
			tt.before(b)
			now := start.Add(tt.after)
			b.Start(now, balance.Choice{Target: ts[0]}, balance.Request{Engine: engine(), PromptTokens: 4000}, nil)
			choice, ok := b.Choose(now, request(), ts, nil)
			is.True(ok)
			is.Equal(choice.Target.ID, ts[tt.want].ID)
		})
	}
}
