package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/state/id"
)

// TestPromptsOfManyEntriesMeet guards against prompts of several entries meeting at one
// engine while others have none, when entries report each prompt as they send it.
func TestPromptsOfManyEntriesMeet(t *testing.T) {
	is := is.New(t)
	const entries, prompts = 31, 600
	const interval = time.Second / 35
	const prefillTime = time.Second
	random := rand.New(rand.NewPCG(3, 4))
	ts := targets("m", 38, "a", "b", "c")
	var all []*balance.Balancer
	names := make([]id.Entry, entries)
	for i := range entries {
		all = append(all, balance.New([]id.Zone{"a", "b", "c"}[i%3], random.Float64))
		names[i] = id.Entry(rune('A' + i))
	}
	busyUntil := map[id.Target]time.Time{}
	met := 0
	for i := range prompts {
		now := start.Add(time.Duration(i) * interval)
		from := random.IntN(entries)
		choice, ok := all[from].Choose(now, request(), ts, nil)
		is.True(ok)
		all[from].Start(now, choice, request(), nil)
		if busyUntil[choice.Target.ID].After(now) {
			met++
		}
		busyUntil[choice.Target.ID] = now.Add(prefillTime)
		for j, b := range all {
			if j != from {
				load := map[id.Target]balance.Load{choice.Target.ID: all[from].LoadAt(choice.Target.ID)}
				b.ApplyPeerLoadChanges(now, names[from], load, time.Hour)
			}
		}
	}
	is.True(met <= prompts/20) // an exact view has nearly none
}

// An engine's backlog must shrink with time although no report says that its prompts have
// been computed.
func TestApplyPeerLoadChanges(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	ts := targets("m", 1, "a", "b")
	prompt := map[id.Target]balance.Load{ts[0].ID: {Running: 1, PrefillTokens: 8000, MemoryTokens: 9000}}
	b.ApplyPeerLoadChanges(start, "e2", prompt, time.Minute)
	chosen := func(now time.Time) id.Target {
		choice, _ := b.Choose(now, request(), ts, nil)
		return choice.Target.ID
	}
	is.Equal(chosen(start), ts[1].ID)
	b.Start(start, balance.Choice{Target: ts[1]}, request(), nil).MarkStarted(start)
	b.Start(start, balance.Choice{Target: ts[1]}, request(), nil).MarkStarted(start)
	b.Start(start, balance.Choice{Target: ts[1]}, request(), nil).MarkStarted(start)
	b.Start(start, balance.Choice{Target: ts[1]}, request(), nil).MarkStarted(start)
	is.Equal(chosen(start.Add(100*time.Millisecond)), ts[1].ID)
	is.Equal(chosen(start.Add(2*time.Second)), ts[0].ID)
	// The load of one target does not end that of others.
	b.ApplyPeerLoadChanges(start, "e2", map[id.Target]balance.Load{"other": {Running: 1}}, time.Minute)
	b.ApplyPeerLoadChanges(start, "e2", map[id.Target]balance.Load{"other": {}}, time.Minute)
	is.Equal(b.Running(start, ts[0]), 1)
	// A report counts until its time is over.
	b.ApplyPeerLoads(start.Add(2*time.Minute), "e3", nil, time.Minute)
	is.Equal(b.Running(start, ts[0]), 0)
}

// A prompt must not go for its cache to an engine that computes another prompt, while one
// without a backlog costs little less.
func TestAffinityAvoidsBacklog(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	ts := targets("m", 2, "a")
	prompt := request()
	prompt.Prompt = "p"
	first, _ := b.Choose(start, prompt, ts, nil)
	short := request()
	short.PromptTokens, short.OutputTokens = 1200, 0
	b.Start(start, balance.Choice{Target: first.Target}, short, nil)
	second, _ := b.Choose(start, prompt, ts, nil)
	is.True(second.Target.ID != first.Target.ID)
}
