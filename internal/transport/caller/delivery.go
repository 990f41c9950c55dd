package caller

import (
	"context"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/protocol/openai"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// delivery brings one answer to one caller.
type delivery struct {
	api     *api
	reader  *answer.Reader
	started time.Time

	// lineage, next and sum follow what was read. sum is kept only when the
	// reading began with the first token.
	lineage   id.Lineage
	next      id.TokenIndex
	sum       generation.Checksum
	fromStart bool
	// last is when the last tokens came.
	last time.Time
}

// begin sets where the reading starts.
func (d *delivery) begin(lineage id.Lineage, from id.TokenIndex) {
	d.lineage = lineage
	d.next = from
	d.sum = 0
	d.fromStart = from == 0
}

// read returns the next part, checked against all that came before, so that no
// token is missing, none is repeated and no text of another generation follows.
// restarted says that the part begins a new text.
func (d *delivery) read(ctx context.Context) (part answer.Part, restarted bool, err error) {
	part, err = d.reader.Next(ctx)
	if err != nil {
		return part, false, err
	}
	if part.Lineage != d.lineage {
		d.begin(part.Lineage, 0)
		restarted = true
	}
	if part.First != d.next {
		return part, restarted, d.broken("token %d came where %d was due", part.First, d.next)
	}
	d.count(part.Tokens)
	return part, restarted, d.checkFinish(part.Finish)
}

func (d *delivery) count(tokens []generation.Token) {
	if len(tokens) == 0 {
		return
	}
	d.next += id.TokenIndex(len(tokens))
	if d.fromStart {
		for _, t := range tokens {
			d.sum = d.sum.Add(t)
		}
	}
	d.measure(len(tokens))
}

// measure records when tokens came. The time between two parts is spread over
// the tokens of the later one.
func (d *delivery) measure(n int) {
	now := d.api.tools.Clock.Now()
	g := d.api.gauges
	g.tokens.Mark(int64(n))
	if d.last.IsZero() {
		g.firstToken.Update(now.Sub(d.started).Microseconds())
	} else {
		g.betweenTokens.Update(now.Sub(d.last).Microseconds() / int64(n))
	}
	d.last = now
}

func (d *delivery) checkFinish(f *generation.Finish) error {
	switch {
	case f == nil:
		return nil
	case f.TokenCount != d.next:
		return d.broken("the answer ended at token %d, and its length is %d", d.next, f.TokenCount)
	case d.fromStart && f.Checksum != d.sum:
		return d.broken("the answer's checksum differs from its end's")
	}
	return nil
}

// broken returns the refusal of an answer that is not whole.
func (d *delivery) broken(format string, args ...any) error {
	cause := fault.New("delivery.read", CorruptAnswer, format, args...)
	return &answer.Refusal{
		Outcome: answer.Failed,
		Cause:   answer.CauseInternal,
		Detail:  cause.Err.Error(),
		Request: d.reader.Request,
	}
}

// isChat reports whether the answer is a chat's.
func (d *delivery) isChat() bool { return len(d.reader.Spec.Messages) != 0 }

func usageOf(f *generation.Finish) *openai.Usage {
	return &openai.Usage{
		PromptTokens:     f.PromptTokens,
		CompletionTokens: int(f.TokenCount),
		TotalTokens:      f.PromptTokens + int(f.TokenCount),
		Details:          openai.PromptDetails{CachedTokens: min(f.CachedTokens, f.PromptTokens)},
	}
}
