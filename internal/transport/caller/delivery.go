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

// delivery sends one answer to one caller.
type delivery struct {
	api     *api
	reader  *answer.Reader
	started time.Time

	// lineage, next and checksum describe the tokens read so far. checksum is valid
	// only if fromStart is set, which means that reading began with the first token.
	lineage   id.Lineage
	next      id.TokenIndex
	checksum  generation.Checksum
	fromStart bool
	// lastTokensAt is when the last tokens arrived.
	lastTokensAt time.Time
}

// startAt sets the lineage and the index of the next token to read.
func (d *delivery) startAt(lineage id.Lineage, from id.TokenIndex) {
	d.lineage = lineage
	d.next = from
	d.checksum = 0
	d.fromStart = from == 0
}

// readPart returns the next part. It checks that the part continues the tokens read
// so far, so that no token is missing or repeated and lineages are not mixed.
// restarted reports whether the part begins a new lineage.
func (d *delivery) readPart(ctx context.Context) (part answer.Part, restarted bool, err error) {
	part, err = d.reader.Next(ctx)
	if err != nil {
		return part, false, err
	}
	if part.Lineage != d.lineage {
		d.startAt(part.Lineage, 0)
		restarted = true
	}
	if part.First != d.next {
		return part, restarted, d.corrupt("token %d came where %d was due", part.First, d.next)
	}
	d.countTokens(part.Tokens)
	return part, restarted, d.checkFinish(part.Finish)
}

func (d *delivery) countTokens(tokens []generation.Token) {
	if len(tokens) == 0 {
		return
	}
	d.next += id.TokenIndex(len(tokens))
	if d.fromStart {
		for _, t := range tokens {
			d.checksum = d.checksum.Add(t)
		}
	}
	d.observeLatency(len(tokens))
}

// observeLatency records the latency of n tokens. The time between two parts is
// divided by the number of tokens of the later one.
func (d *delivery) observeLatency(n int) {
	now := d.api.deps.Clock.Now()
	m := d.api.metrics
	m.tokens.Mark(int64(n))
	if d.lastTokensAt.IsZero() {
		m.firstToken.Update(now.Sub(d.started).Microseconds())
	} else {
		m.betweenTokens.Update(now.Sub(d.lastTokensAt).Microseconds() / int64(n))
	}
	d.lastTokensAt = now
}

func (d *delivery) checkFinish(f *generation.Finish) error {
	switch {
	case f == nil:
		return nil
	case f.TokenCount != d.next:
		return d.corrupt("the answer ended at token %d, and its length is %d", d.next, f.TokenCount)
	case d.fromStart && f.Checksum != d.checksum:
		return d.corrupt("the answer's checksum differs from its end's")
	}
	return nil
}

// corrupt returns the refusal for an answer with missing, repeated or wrong tokens.
func (d *delivery) corrupt(format string, args ...any) error {
	cause := fault.New("delivery.readPart", CorruptAnswer, format, args...)
	return &answer.Refusal{
		Outcome: answer.Failed,
		Cause:   answer.CauseInternal,
		Detail:  cause.Err.Error(),
		Request: d.reader.Request,
	}
}

// isChat reports whether the answer belongs to a chat request.
func (d *delivery) isChat() bool { return len(d.reader.Spec.Messages) != 0 }

func usageOf(f *generation.Finish) *openai.Usage {
	return &openai.Usage{
		PromptTokens:     f.PromptTokens,
		CompletionTokens: int(f.TokenCount),
		TotalTokens:      f.PromptTokens + int(f.TokenCount),
		Details:          openai.PromptDetails{CachedTokens: min(f.CachedTokens, f.PromptTokens)},
	}
}
