package balance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/balance"
)

// Requests stay in the entry's own zone while the links to another one lose
// packets, unless what is held up comes from all zones alike.
func TestChooseLossyLinks(t *testing.T) {
	ts := targets("m", 1, "a", "b")
	hold := func(b *balance.Balancer, i, times int) {
		run := b.Start(start, balance.Choice{Target: ts[i]}, report(), nil)
		for range times {
			run.RecordPacketLoss(start)
		}
		run.End(start, balance.Succeeded)
	}
	tests := []struct {
		name  string
		play  func(b *balance.Balancer)
		after time.Duration
		want  int
	}{
		{"sound links", func(*balance.Balancer) {}, 0, 1},
		{"a few hold-ups", func(b *balance.Balancer) { hold(b, 1, 1) }, 0, 1},
		{"lossy links", func(b *balance.Balancer) { hold(b, 1, 3) }, 0, 0},
		{"some time later", func(b *balance.Balancer) { hold(b, 1, 3) }, 10 * time.Second, 1},
		{"the own host", func(b *balance.Balancer) { hold(b, 1, 3); hold(b, 0, 3) }, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer()
			tt.play(b)
			now := start.Add(tt.after)
			b.Start(now, balance.Choice{Target: ts[0]}, balance.Request{Engine: engine(), PromptTokens: 4000}, nil)
			choice, ok := b.Choose(now, report(), ts, nil)
			is.True(ok)
			is.Equal(choice.Target.ID, ts[tt.want].ID)
		})
	}
}
