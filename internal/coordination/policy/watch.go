package policy

import (
	"time"

	"foxtailward.example/foxtailward/internal/coordination/detect"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// reportCheckInterval is the interval at which the target's newest report is
// checked while the first token is awaited.
const reportCheckInterval = time.Second

// Watch returns the stall detector of an attempt at a target.
func (p *Policy) Watch(t *member.TargetReport, spec *generation.Spec, prefix id.TokenIndex, start time.Time) request.StallDetector {
	target := t.Target
	prefill := spec.PromptTokens() + int(prefix)
	d := detect.New(detect.DefaultConfig(), start, expectationOf(t, prefill, spec))
	seen, streaming := t.Sequence, false
	return request.StallDetector{
		TokensReceived: func(now time.Time, n int) {
			streaming = streaming || n > 0
			d.RecordTokens(now, n)
		},
		Check: func(now time.Time) (bool, time.Time) {
			if !streaming {
				if report, ok := p.report(target); ok && report.Sequence != seen {
					seen = report.Sequence
					d.UpdateExpectation(now, expectationOf(&report, prefill, spec))
				}
			}
			state, next := d.Verdict(now)
			if state != detect.Healthy {
				return true, now
			}
			if !streaming && next.Sub(now) > reportCheckInterval {
				next = now.Add(reportCheckInterval)
			}
			return false, next
		},
	}
}

func expectationOf(t *member.TargetReport, prefill int, spec *generation.Spec) detect.Expectation {
	return detect.Expectation{
		Pace:            t.Pace,
		Queued:          t.Queued,
		PrefillTokens:   t.QueuedPrefill + prefill,
		PrefillPerToken: t.PrefillPerToken,
		Deadline:        spec.Deadline,
	}
}
