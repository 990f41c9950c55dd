package policy

import (
	"time"

	"foxtailward.example/foxtailward/internal/coordination/detect"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// reportEvery is the time between two looks at the target's newest report
// while the first token is awaited.
const reportEvery = time.Second

// Watch follows an attempt at a target.
func (p *Policy) Watch(t *member.TargetReport, spec *generation.Spec, prefix id.TokenIndex, start time.Time) request.StallDetector {
	name := t.Target
	compute := spec.PromptTokens() + int(prefix)
	d := detect.New(detect.DefaultConfig(), start, expect(t, compute, spec))
	seen, flowing := t.Sequence, false
	return request.StallDetector{
		TokensReceived: func(now time.Time, n int) {
			flowing = flowing || n > 0
			d.RecordTokens(now, n)
		},
		Check: func(now time.Time) (bool, time.Time) {
			if !flowing {
				if report, ok := p.report(name); ok && report.Sequence != seen {
					seen = report.Sequence
					d.UpdateExpectation(now, expect(&report, compute, spec))
				}
			}
			verdict, next := d.Verdict(now)
			if verdict != detect.Healthy {
				return true, now
			}
			if !flowing && next.Sub(now) > reportEvery {
				next = now.Add(reportEvery)
			}
			return false, next
		},
	}
}

func expect(t *member.TargetReport, compute int, spec *generation.Spec) detect.Expectation {
	return detect.Expectation{
		Pace:            t.Pace,
		Queued:          t.Queued,
		PrefillTokens:   t.QueuedPrefill + compute,
		PrefillPerToken: t.PrefillPerToken,
		Deadline:        spec.Deadline,
	}
}
