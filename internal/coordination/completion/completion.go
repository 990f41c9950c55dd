// Package completion decides whether an answer of a target is complete.
//
// An answer with a length or chunks shows its own end, unless its target was leaving and its process ends within SettleTime:
// a resumption elsewhere shows then whether more follows. One without ends with its connection,
// which also ends when the target's process does, or when the target breaks the answer off. So
// the end of a connection needs further evidence: where the stream may be resumed, a resumption
// after the last event brings nothing more, and the process that sent the answer serves for
// SettleTime after its end. A process that was told to stop may answer for a while before it ends.
// docs/design/stream-ends.md weighs the evidence.
//
// # Usage
//
//	end := completion.End{Framing: answer.Framing, Process: completion.Serving, …}
//	switch verdict := end.Judge(); verdict.Result {
//	case completion.Complete:
//	case completion.Unconfirmed: // resume after the last event
//	case completion.Unsettled: // ask for the process again after SettleTime, and set Settled
//	case completion.BrokenOff: // resume elsewhere, or break the answer off
//	}
package completion

import (
	"net/http"
	"time"
)

// SettleTime is how long after the end of an answer its process must serve, because one that was
// told to stop closes its answers before it ends.
const SettleTime = 2 * time.Second

// Framing is what marks the end of an answer.
type Framing string

// Framings.
const (
	// Length means that the head names the length of the body.
	Length Framing = "length"
	// Chunks means that the last chunk ends the body.
	Chunks Framing = "chunks"
	// Connection means that nothing but the end of the connection ends the body.
	Connection Framing = "connection"
)

// FramingOf returns the framing of an answer whose head has been read.
func FramingOf(res *http.Response) Framing {
	switch {
	case len(res.TransferEncoding) > 0:
		return Chunks
	case res.ContentLength >= 0:
		return Length
	}
	return Connection
}

// Evidence is what showed that an answer is complete, or the strongest that was found.
type Evidence string

// Kinds of evidence.
const (
	// NoEvidence means that nothing has shown it.
	NoEvidence Evidence = "none"
	// ByFraming means that the answer itself marked its end.
	ByFraming Evidence = "framing"
	// ByProcess means that the process that sent the answer served after its end.
	ByProcess Evidence = "process"
	// ByResumption means that a resumption after the last event brought nothing more.
	ByResumption Evidence = "resumption"
)

// Process is what a target says about itself after the end of its answer.
type Process string

// States of a target's process.
const (
	// Serving means that the process that sent the answer still serves.
	Serving Process = "serving"
	// Leaving means that it still answers but is about to end, and may already end its streams.
	Leaving Process = "leaving"
	// Gone means that it was known to leave and does not answer any more, or is not listed any more.
	Gone Process = "gone"
	// Replaced means that another process answers at the target's address.
	Replaced Process = "replaced"
	// Unknown means that the target did not say, or could not be asked.
	Unknown Process = "unknown"
)

// Result says what follows from the end of an answer.
type Result string

// Results.
const (
	Complete Result = "complete"
	// Unconfirmed means that the target seems to have meant the end. A resumption after the last
	// event would show it.
	Unconfirmed Result = "unconfirmed"
	// Unsettled means that the answer is complete if its process serves for SettleTime after its end.
	Unsettled Result = "unsettled"
	// BrokenOff means that the answer must not count as complete.
	BrokenOff Result = "brokenOff"
)

// End describes a stream whose answer has ended between two events.
type End struct {
	Framing Framing
	// TargetLeaves says that the target was known to be leaving when its answer ended. A process that is told to stop may
	// end its streams early as if they were whole.
	TargetLeaves bool
	// Begun says that the client has events of the stream.
	Begun bool
	// AtDeadline says that the target had to stop work when the answer ended.
	AtDeadline bool
	// Resumable says that the stream may be resumed after its last event.
	Resumable bool
	// Repeated says that this answer brought no event, and that an earlier one of the same process
	// also ended after the same event while it served.
	Repeated bool
	// Confirmable says that a resumption after the last event may be made now.
	Confirmable bool
	// ResumedByClient says that the client itself resumed the stream, and has got no event since.
	ResumedByClient bool
	// Process is needed only if NeedsProcess returns true.
	Process Process
	// Settled says that Process holds as long after the end as the caller can wait, at most SettleTime.
	Settled bool
}

// NeedsProcess reports whether the verdict depends on the target's process.
func (e *End) NeedsProcess() bool {
	return e.Framing == Connection && !e.AtDeadline && e.Begun
}

// isDoubted reports whether the answer marks its end, but may have been ended early. Only a run elsewhere can show that.
func (e *End) isDoubted() bool {
	return e.Framing != Connection && e.TargetLeaves && e.Resumable && !e.AtDeadline
}

// ServesOn reports whether a process that served at the end of its answer still answers later. One that
// announces meanwhile that it is leaving does not end at once.
func (p Process) ServesOn() bool { return p == Serving || p == Leaving }

// Verdict is the result with the evidence that it rests on.
type Verdict struct {
	Result   Result
	Evidence Evidence
}

// Judge returns what follows from the end. A run begins with its first event, so a stream
// without any is broken off unless the target framed it so and was not known to be leaving.
func (e *End) Judge() Verdict {
	switch {
	case e.isDoubted() && e.Begun && !e.Settled:
		return Verdict{Unsettled, ByFraming}
	case e.isDoubted() && !(e.Begun && e.Process.ServesOn()):
		return Verdict{BrokenOff, ByFraming}
	case e.Framing != Connection:
		return Verdict{Complete, ByFraming}
	case !e.NeedsProcess() || e.Process != Serving:
		return Verdict{BrokenOff, NoEvidence}
	case e.Resumable && !e.Repeated && e.Confirmable:
		return Verdict{Unconfirmed, ByProcess}
	case e.Resumable && !e.Repeated && !e.ResumedByClient:
		return Verdict{BrokenOff, ByProcess}
	}
	result := Unsettled
	if e.Settled {
		result = Complete
	}
	if e.Resumable {
		return Verdict{result, ByResumption}
	}
	return Verdict{result, ByProcess}
}
