package balance

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// drainPerSecond is the number of prompt tokens by which an engine's backlog shrinks
	// per second. It is less than prefillPerSecond, because engines compute prompts
	// between the tokens of their other generations.
	drainPerSecond = 6000
	// minBacklogShare is the part of the prompts without a first event that counts as
	// backlog at least, for engines that are slower than that.
	minBacklogShare = 0.25
	// backlogRetention is how long an engine's backlog is kept after its last prompt.
	backlogRetention = time.Minute
)

// backlog estimates the prompt tokens that an engine has yet to compute. Entries report
// at once when they send a prompt, but not when the engine has computed it, so the
// estimate shrinks with time.
type backlog struct {
	tokens float64
	at     time.Time
}

func (l *backlog) remaining(now time.Time) float64 {
	return max(0, l.tokens-drainPerSecond*max(0, now.Sub(l.at).Seconds()))
}

// addBacklog adds the tokens of prompts that any entry has sent to a target. The number
// is negative if prompts have been computed, which is not added.
func (b *Balancer) addBacklog(now time.Time, name id.Target, tokens int) {
	if tokens <= 0 {
		return
	}
	l := b.backlogs[name]
	b.backlogs[name] = backlog{tokens: l.remaining(now) + float64(tokens), at: now}
}

// reduceBacklog records that a prompt of this entry has been computed, or that so many
// tokens of it were dropped. load is what all entries have in flight at the target now.
func (b *Balancer) reduceBacklog(now time.Time, name id.Target, dropped int, load Load) {
	if load.PrefillTokens == 0 {
		delete(b.backlogs, name)
		return
	}
	l := b.backlogs[name]
	b.backlogs[name] = backlog{tokens: max(0, l.remaining(now)-float64(dropped)), at: now}
}

// backlogOf returns the prompt tokens that a target has yet to compute, of which load is
// what all entries have in flight there.
func (b *Balancer) backlogOf(now time.Time, name id.Target, load Load) float64 {
	l := b.backlogs[name]
	return max(l.remaining(now), minBacklogShare*float64(load.PrefillTokens))
}

// totalBacklog returns the prompt tokens that a target has yet to compute.
func (b *Balancer) totalBacklog(now time.Time, t *catalog.Target) float64 {
	return b.backlogOf(now, t.ID, b.total(b.record(now, t), t))
}

// forgetBacklogs drops the backlogs of targets that get no prompts any more.
func (b *Balancer) forgetBacklogs(now time.Time) {
	for name, l := range b.backlogs {
		if now.Sub(l.at) > backlogRetention {
			delete(b.backlogs, name)
		}
	}
}
