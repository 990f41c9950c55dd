package balance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/coordination/retry"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// queue sends n prompts of 8,000 tokens to the target, and returns the last.
func queue(b *balance.Balancer, t *catalog.Target, n int) (last *balance.Attempt) {
	for range n {
		last = b.Start(start, balance.Choice{Target: t}, request(), nil)
	}
	return last
}

// TestQueuedZoneIsNotLost guards against a zone that counts as lost because each of its nine
// engines has four prompts of 8,000 tokens to compute.
func TestQueuedZoneIsNotLost(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	at := start.Add(13 * time.Second)
	for _, target := range targets("m", 9, "a") {
		last := queue(b, target, 4)
		is.True(last.SilenceExplained(start.Add(12*time.Second), at))
		is.True(!last.SilenceExplained(at, at.Add(time.Minute)))
		is.True(!last.SilenceExplained(start.Add(5*time.Second), start.Add(5*time.Second)))
		is.Equal(last.SilenceEvidence(at), balance.OverdueStart)
		is.True(!last.EndWith(at, balance.Lost, last.SilenceEvidence(at)))
		is.True(b.Suspected(at, target))
	}
	is.Equal(len(b.RecentLosses(at)), 0)
}

func TestSilenceExplained(t *testing.T) {
	tests := []struct {
		name string
		// prompts are in front of the run, and running generations of others.
		prompts, running int
		before           func(b *balance.Balancer, target *catalog.Target, run *balance.Attempt)
		explained        bool
		evidence         balance.Evidence
	}{
		{"nothing in front", 0, 11, nil, false, balance.StartSilence},
		{"a prompt in front", 1, 0, nil, true, balance.OverdueStart},
		{"all slots taken", 0, 12, nil, true, balance.OverdueStart},
		{"a prompt in front, and a stream went silent", 1, 0, func(b *balance.Balancer, target *catalog.Target, _ *balance.Attempt) {
			b.ApplyPeerLossBy(start.Add(2*time.Second), target, 0, balance.StreamSilence)
		}, false, balance.StartSilence},
		{"a prompt in front, and an own connection broke", 1, 0, func(b *balance.Balancer, target *catalog.Target, _ *balance.Attempt) {
			queue(b, target, 1).EndWith(start.Add(2*time.Second), balance.Lost, balance.Connection)
		}, false, balance.StartSilence},
		{"it has sent something since", 1, 0, func(b *balance.Balancer, target *catalog.Target, _ *balance.Attempt) {
			b.ApplyPeerLossBy(start.Add(2*time.Second), target, 0, balance.StreamSilence)
			queue(b, target, 1).RecordActivity(start.Add(2500 * time.Millisecond))
		}, true, balance.OverdueStart},
		{"a prompt in front, and the run has begun", 1, 0, func(_ *balance.Balancer, _ *catalog.Target, run *balance.Attempt) {
			run.MarkStarted(start.Add(2 * time.Second))
		}, false, balance.StreamSilence},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer()
			target := targets("m", 1, "a")[0]
			b.ApplyPeerLoads(start, "other", map[id.Target]balance.Load{target.ID: {Running: tt.running}}, time.Minute)
			run := queue(b, target, tt.prompts+1)
			if tt.before != nil {
				tt.before(b, target, run)
			}
			is.Equal(run.SilenceExplained(start.Add(4200*time.Millisecond), start.Add(time.Minute)), tt.explained)
			is.Equal(run.SilenceEvidence(start.Add(4200*time.Millisecond)), tt.evidence)
		})
	}
}

// TestPeerLossByEvidence checks which losses of two of nine engines, told within 0.8 s, make the
// zone count as lost: as soon as before, if a backlog can't give the evidence.
func TestPeerLossByEvidence(t *testing.T) {
	tests := []struct {
		name     string
		evidence balance.Evidence
		// heard is when this entry heard from the targets, relative to the losses.
		heard time.Duration
		lost  bool
	}{
		{"an earlier build", balance.Untyped, -time.Second, true},
		{"connections", balance.Connection, -time.Second, true},
		{"streams", balance.StreamSilence, -400 * time.Millisecond, true},
		{"nothing in front", balance.StartSilence, -time.Second, true},
		{"behind a backlog", balance.OverdueStart, -time.Second, false},
		{"connections, heard since", balance.Connection, 5 * time.Millisecond, false},
		{"streams, heard during the silence", balance.StreamSilence, -100 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer()
			ts := targets("m", 9, "a")
			b.GroupSize = func(id.Service, id.Zone) int { return len(ts) }
			now := start.Add(2 * time.Second)
			lost := false
			for _, target := range ts[:2] {
				queue(b, target, 1).RecordActivity(now.Add(tt.heard - 10*time.Millisecond))
				lost = b.ApplyPeerLossBy(now, target, 10*time.Millisecond, tt.evidence) || lost
			}
			is.Equal(lost, tt.lost)
		})
	}
}

// TestWaveOfLosses has the nine engines of a zone lost every 6 s, each with four prompts that
// wait: once the engines were asked in vain they leave in order, five a round, each once, and
// those without a claim leave at once.
func TestWaveOfLosses(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	for wave := range 3 {
		now := start.Add(time.Duration(wave) * 6 * time.Second)
		ts := targets(id.Service("m"), 9, "a")
		for _, target := range ts {
			target.Incarnation = id.Incarnation(wave + 1)
		}
		cancelled, atOnce := 0, 0
		for i := range 36 {
			b.Start(now, balance.Choice{Target: ts[i%9]}, request(), func() { cancelled++ }).
				SetClaim(retry.Claim{Begun: i == 35, Copy: i == 34, Priority: i % 3, Latest: now.Add(time.Duration(i) * time.Second)})
		}
		b.Start(now, balance.Choice{Target: ts[3]}, request(), func() { atOnce++ })
		is.Equal(len(b.TakeMoves(now, "m", 5).Taken), 0)
		now = now.Add(time.Second)
		for i, target := range ts[:2] {
			is.Equal(b.Start(now, balance.Choice{Target: target}, request(), nil).EndWith(now, balance.Lost, balance.StreamSilence), i == 1)
		}
		is.Equal(atOnce, 1)
		is.Equal(cancelled, 0)
		is.Equal(b.TakeMoves(now, "other", 100).Left, 0)
		is.Equal(b.TakeMoves(now, "m", 5), balance.Moves{Left: 36})
		is.Equal(len(b.Stranded(now, "m")), 9)
		for _, target := range ts {
			b.RecordSign(now, target, false)
		}
		is.Equal(len(b.Stranded(now, "m")), 0)
		is.Equal(b.TakeMoves(now, "m", -1).Left, 36)
		var all []retry.Claim
		for len(all) < 36 {
			moves := b.TakeMoves(now, "m", 5)
			is.Equal(len(moves.Taken), min(5, 36-len(all)))
			all = append(all, moves.Taken...)
			is.Equal(moves.Left, 36-len(all))
			is.Equal(cancelled, len(all))
		}
		is.True(all[0].Begun && all[1].Copy)
		for i := 3; i < 36; i++ {
			is.True(all[i-1].Priority <= all[i].Priority)
		}
	}
}

// TestJudgeSilence has a run wait for 4.2 s at an engine, behind a prompt of 8,000 tokens.
func TestJudgeSilence(t *testing.T) {
	at := start.Add(4200 * time.Millisecond)
	tests := []struct {
		name     string
		prompts  int
		before   func(b *balance.Balancer, target *catalog.Target, run *balance.Attempt)
		verdict  balance.SilenceVerdict
		evidence balance.Evidence
	}{
		{"nothing heard", 1, nil, balance.SilenceUnclear, balance.OverdueStart},
		{"another run streams", 1, func(_ *balance.Balancer, _ *catalog.Target, run *balance.Attempt) {
			run.RecordActivity(at.Add(-time.Second))
		}, balance.SilenceExpected, balance.OverdueStart},
		{"another run streamed 3 s ago", 1, func(_ *balance.Balancer, _ *catalog.Target, run *balance.Attempt) {
			run.RecordActivity(at.Add(-3 * time.Second))
		}, balance.SilenceUnclear, balance.OverdueStart},
		{"it answers", 1, func(b *balance.Balancer, target *catalog.Target, _ *balance.Attempt) { b.RecordSign(at, target, true) }, balance.SilenceExpected, balance.OverdueStart},
		{"it does not answer", 1, func(b *balance.Balancer, target *catalog.Target, _ *balance.Attempt) { b.RecordSign(at, target, false) }, balance.SilenceEnds, balance.StartSilence},
		{"it answers, with nothing in front", 0, func(b *balance.Balancer, target *catalog.Target, _ *balance.Attempt) { b.RecordSign(at, target, true) }, balance.SilenceEnds, balance.OverdueStart},
		{"it answers after a connection broke", 1, func(b *balance.Balancer, target *catalog.Target, _ *balance.Attempt) {
			b.ApplyPeerLossBy(at.Add(-time.Second), target, 0, balance.Connection)
			b.RecordSign(at, target, true)
		}, balance.SilenceExpected, balance.OverdueStart},
		{"heard before a connection broke", 1, func(b *balance.Balancer, target *catalog.Target, run *balance.Attempt) {
			run.RecordActivity(at.Add(-time.Second))
			b.ApplyPeerLossBy(at, target, 0, balance.Connection)
		}, balance.SilenceUnclear, balance.StartSilence},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer()
			target := targets("m", 1, "a")[0]
			run := queue(b, target, tt.prompts+1)
			if tt.before != nil {
				tt.before(b, target, run)
			}
			is.Equal(run.JudgeSilence(at), tt.verdict)
			is.Equal(run.SilenceEvidence(at), tt.evidence)
			run.MarkStarted(at)
			is.Equal(run.JudgeSilence(at), balance.SilenceEnds)
		})
	}
}

// TestMovesEndWithSignOfLife guards against a run that leaves a target which has sent something
// since its zone was lost.
func TestMovesEndWithSignOfLife(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	ts := targets("m", 3, "a", "b")
	b.Start(start, balance.Choice{Target: ts[2]}, request(), func() {}).SetClaim(retry.Claim{})
	for _, target := range ts[:2] {
		b.Start(start, balance.Choice{Target: target}, request(), nil).EndWith(start.Add(time.Second), balance.Lost, balance.Connection)
	}
	is.Equal(b.TakeMoves(start.Add(time.Second), "m", 0).Left, 1)
	is.Equal(b.FreeSlots(start.Add(time.Second), ts), 36)
	queue(b, ts[2], 1).RecordActivity(start.Add(1100 * time.Millisecond))
	is.Equal(b.TakeMoves(start.Add(1200*time.Millisecond), "m", 5), balance.Moves{})
	is.Equal(b.FreeSlots(start.Add(1200*time.Millisecond), ts), 36+10)
}

// TestSilentTargetIsBusy guards against new requests for an engine at which one waits for longer than
// its own prompt explains, though its load tells nothing.
func TestSilentTargetIsBusy(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	ts := targets("m", 2, "a")
	run := b.Start(start, balance.Choice{Target: ts[0]}, request(), nil)
	b.Start(start, balance.Choice{Target: ts[1]}, request(), nil).MarkStarted(start)
	b.Start(start.Add(3*time.Second), balance.Choice{Target: ts[1]}, request(), nil)
	at := start.Add(4 * time.Second)
	before, _ := b.Choose(at, request(), ts, nil)
	is.Equal(before.Target.ID, ts[0].ID)
	is.Equal(run.JudgeSilence(at), balance.SilenceUnclear)
	after, _ := b.Choose(at, request(), ts, nil)
	is.Equal(after.Target.ID, ts[1].ID)
}
