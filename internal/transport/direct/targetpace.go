package direct

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/meter"
)

// slowTarget is the slowness from which a target counts as slow in the metrics, and its
// inverse that up to which it counts as fast.
const slowTarget = 1.2

// noteMemory records that no target had the memory for the request, if that is why none was
// chosen. Such a request counts as one that found all targets busy.
func (c *call) noteMemory(now time.Time, targets catalog.Targets) {
	if !c.e.balancer.OutOfMemory(now, c.requirements, targets) {
		return
	}
	c.targetBusy = true
	c.e.metrics.outOfMemory(c.service)
	c.log(event.TargetsOutOfMemory, "service", c.service, "promptTokens", c.requirements.PromptTokens, "outputTokens", c.requirements.OutputTokens)
}

// paceFields returns what was believed about the pace of a target, for the log line of a send
// to it that has taken so long until now. There are none where targets are placed by count.
func (c *call) paceFields(now time.Time, t *catalog.Target, took time.Duration) []any {
	if !c.e.competes(c.service) {
		return nil
	}
	p := c.e.balancer.Pace(now, t)
	c.e.metrics.paceBelieved(t, p.Slowness(now, took))
	if p.Word == 0 {
		return []any{"class", p.Class}
	}
	return []any{"word", p.Word, "wordAge", now.Sub(p.WordAt), "usualWord", p.Usual, "class", p.Class}
}

// outOfMemory counts a request for which no target had the memory.
func (m *entryMetrics) outOfMemory(service id.Service) {
	m.set.Count("targetsOutOfMemory", meter.Label{Key: "service", Value: string(service)})
}

// paceBelieved counts a send by how slow its target was believed to be when it ended.
func (m *entryMetrics) paceBelieved(t *catalog.Target, slowness float64) {
	pace := "usual"
	switch {
	case slowness >= slowTarget:
		pace = "slow"
	case slowness <= 1/slowTarget:
		pace = "fast"
	}
	m.set.Count("sendsByPace", meter.Label{Key: "service", Value: string(t.Service)}, meter.Label{Key: "pace", Value: pace})
}
