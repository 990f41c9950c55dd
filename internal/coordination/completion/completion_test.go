package completion_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/completion"
)

func TestFramingOf(t *testing.T) {
	is := is.New(t)
	is.Equal(completion.FramingOf(&http.Response{ContentLength: 0}), completion.Length)
	is.Equal(completion.FramingOf(&http.Response{ContentLength: -1, TransferEncoding: []string{"chunked"}}), completion.Chunks)
	is.Equal(completion.FramingOf(&http.Response{ContentLength: -1}), completion.Connection)
}

func TestEndJudge(t *testing.T) {
	confirmed := completion.End{Framing: completion.Connection, Begun: true, Resumable: true, Repeated: true, Confirmable: true, Process: completion.Serving, Settled: true}
	complete := completion.Verdict{Result: completion.Complete, Evidence: completion.ByResumption}
	brokenOff := completion.Verdict{Result: completion.BrokenOff, Evidence: completion.NoEvidence}
	tests := []struct {
		name   string
		change func(e *completion.End)
		want   completion.Verdict
	}{
		{"two ends after the same event", func(*completion.End) {}, complete},
		{"the same, not settled", func(e *completion.End) { e.Settled = false }, completion.Verdict{Result: completion.Unsettled, Evidence: completion.ByResumption}},
		{"runs once, not settled", func(e *completion.End) { e.Resumable, e.Repeated, e.Settled = false, false, false }, completion.Verdict{Result: completion.Unsettled, Evidence: completion.ByProcess}},
		{"a client's resumption, not settled", func(e *completion.End) {
			e.Repeated, e.Confirmable, e.ResumedByClient, e.Settled = false, false, true, false
		}, completion.Verdict{Result: completion.Unsettled, Evidence: completion.ByResumption}},
		{"the first end", func(e *completion.End) { e.Repeated = false }, completion.Verdict{Result: completion.Unconfirmed, Evidence: completion.ByProcess}},
		{"runs once", func(e *completion.End) { e.Resumable, e.Repeated = false, false }, completion.Verdict{Result: completion.Complete, Evidence: completion.ByProcess}},
		{"the first end, which can't be confirmed", func(e *completion.End) { e.Repeated, e.Confirmable = false, false }, completion.Verdict{Result: completion.BrokenOff, Evidence: completion.ByProcess}},
		{"the same, in a client's resumption", func(e *completion.End) { e.Repeated, e.Confirmable, e.ResumedByClient = false, false, true }, complete},
		{"a client's resumption that can be confirmed", func(e *completion.End) { e.Repeated, e.ResumedByClient = false, true }, completion.Verdict{Result: completion.Unconfirmed, Evidence: completion.ByProcess}},
		{"a head alone", func(e *completion.End) { e.Begun = false }, brokenOff},
		{"at the deadline", func(e *completion.End) { e.AtDeadline = true }, brokenOff},
		{"replaced", func(e *completion.End) { e.Process = completion.Replaced }, brokenOff},
		{"leaving", func(e *completion.End) { e.Process = completion.Leaving }, brokenOff},
		{"unknown", func(e *completion.End) { e.Process = completion.Unknown }, brokenOff},
		{"replaced, runs once", func(e *completion.End) { e.Process, e.Resumable = completion.Replaced, false }, brokenOff},
		{"a length", func(e *completion.End) { *e = completion.End{Framing: completion.Length} }, completion.Verdict{Result: completion.Complete, Evidence: completion.ByFraming}},
		{"chunks", func(e *completion.End) { *e = completion.End{Framing: completion.Chunks, AtDeadline: true} }, completion.Verdict{Result: completion.Complete, Evidence: completion.ByFraming}},
		{"chunks of a leaving target, not settled", func(e *completion.End) {
			*e = completion.End{Framing: completion.Chunks, TargetLeaves: true, Resumable: true, Begun: true}
		}, completion.Verdict{Result: completion.Unsettled, Evidence: completion.ByFraming}},
		{"chunks of a leaving target that serves on", func(e *completion.End) {
			*e = completion.End{Framing: completion.Chunks, TargetLeaves: true, Resumable: true, Begun: true, Settled: true, Process: completion.Serving}
		}, completion.Verdict{Result: completion.Complete, Evidence: completion.ByFraming}},
		{"chunks of a leaving target that is gone", func(e *completion.End) {
			*e = completion.End{Framing: completion.Chunks, TargetLeaves: true, Resumable: true, Begun: true, Settled: true, Process: completion.Gone}
		}, completion.Verdict{Result: completion.BrokenOff, Evidence: completion.ByFraming}},
		{"the same, runs once", func(e *completion.End) {
			*e = completion.End{Framing: completion.Chunks, TargetLeaves: true, Begun: true, Settled: true, Process: completion.Gone}
		}, completion.Verdict{Result: completion.Complete, Evidence: completion.ByFraming}},
		{"chunks of a leaving target without an event", func(e *completion.End) {
			*e = completion.End{Framing: completion.Chunks, TargetLeaves: true, Resumable: true}
		}, completion.Verdict{Result: completion.BrokenOff, Evidence: completion.ByFraming}},
		{"the same at the deadline", func(e *completion.End) {
			*e = completion.End{Framing: completion.Chunks, TargetLeaves: true, Resumable: true, AtDeadline: true}
		}, completion.Verdict{Result: completion.Complete, Evidence: completion.ByFraming}},
		{"no event, runs once", func(e *completion.End) {
			*e = completion.End{Framing: completion.Chunks, TargetLeaves: true}
		}, completion.Verdict{Result: completion.Complete, Evidence: completion.ByFraming}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := confirmed
			tt.change(&e)
			is.New(t).Equal(e.Judge(), tt.want)
		})
	}
}
