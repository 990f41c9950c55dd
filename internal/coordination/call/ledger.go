// Package call records, in a target process, the calls to the plain service beside it
// that are not idempotent.
//
// Each call is sent to the service at most once. The ledger remembers every call that it
// has seen for as long as its incarnation lasts. It reports a call as not run only if
// nothing can make it run any more. docs/design/target-process.md describes each case.
//
// # Usage
//
//	ledger := call.NewLedger(incarnation, limits)
//	rec, isNew := ledger.Open(request, claimed)
//	if isNew && ledger.Dispatch(rec) {
//		// Send it to the service, then:
//		ledger.End(now, rec, call.Result{Outcome: call.Done, Reply: reply})
//	}
//	<-rec.Done()
//	result := rec.Result()
//
// A Ledger is not safe for concurrent use, and the caller passes in the time. The methods
// Done and Result of a Record are safe for concurrent use.
package call

import (
	"container/list"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Outcome is the outcome of a call as reported by its target process.
type Outcome string

// Outcomes.
const (
	// Done means that the service answered the call.
	Done Outcome = "done"
	// NotRun means that the service did not receive the call and never will from
	// this process.
	NotRun Outcome = "notRun"
	// Unknown means that the service may have run the call.
	Unknown Outcome = "unknown"
)

// Result is the outcome of a call, with its reply.
type Result struct {
	Outcome Outcome
	// Detail explains the outcome to the caller in one sentence.
	Detail string
	// Reply is set if the outcome is Done.
	Reply *answer.Reply
}

// State is the progress of a call.
type State string

// States of a call.
const (
	// Waiting calls have not been sent to the service.
	Waiting State = "waiting"
	// Running calls have been sent to the service and have no result yet.
	Running State = "running"
	// Ended calls have their result.
	Ended State = "ended"
)

// Record is the record of one call.
type Record struct {
	Request id.Request
	state   State
	result  Result
	done    chan struct{}
	// replyElement is the element of this record in Ledger.replies; nil if its
	// reply was never kept.
	replyElement *list.Element
	endedAt      time.Time
}

// NewRecord returns the record of a waiting call that is in no ledger.
func NewRecord(request id.Request) *Record {
	return &Record{Request: request, state: Waiting, done: make(chan struct{})}
}

// Done returns a channel that is closed once the call has its result.
func (r *Record) Done() <-chan struct{} { return r.done }

// Result returns the call's result. It must not be called before Done is closed.
func (r *Record) Result() Result { return r.result }

// State returns the progress of the call.
func (r *Record) State() State { return r.state }

// Limits bound the contents of a ledger.
type Limits struct {
	// Retention is how long a reply is kept.
	Retention time.Duration
	// ReplyBytes bounds the memory of all replies that are kept.
	ReplyBytes int
	// Records is the number of calls of one incarnation from which Rotate starts a
	// new one.
	Records int
}

// Ledger records the calls that an incarnation of a target process has seen. It is not
// safe for concurrent use.
type Ledger struct {
	limits      Limits
	incarnation id.Incarnation
	records     map[id.Request]*Record
	// previousIncarnation is the incarnation before the last rotation,
	// previousRecords are all calls that it has seen.
	previousIncarnation id.Incarnation
	previousRecords     map[id.Request]*Record
	// replies lists the records whose reply is kept, the oldest first.
	replies    *list.List
	replyBytes int
}

// NewLedger returns an empty ledger for an incarnation.
func NewLedger(incarnation id.Incarnation, limits Limits) *Ledger {
	return &Ledger{
		limits: limits, incarnation: incarnation,
		records: map[id.Request]*Record{}, replies: list.New(),
	}
}

// SetLimits replaces the limits.
func (l *Ledger) SetLimits(limits Limits) { l.limits = limits }

// Incarnation returns the incarnation that claims must name.
func (l *Ledger) Incarnation() id.Incarnation { return l.incarnation }

// Bytes returns the memory of the replies that are kept.
func (l *Ledger) Bytes() int { return l.replyBytes }

// Len returns the number of recorded calls.
func (l *Ledger) Len() int { return len(l.records) + len(l.previousRecords) }

// Open returns the record of a call, and whether it created the record. In that case the
// caller must end the call. If the call was claimed for another incarnation, the record
// has already ended as NotRun, because this message is not sent to the service. claimed
// is 0 for calls without a claim.
func (l *Ledger) Open(request id.Request, claimed id.Incarnation) (*Record, bool) {
	if r := l.find(request); r != nil {
		return r, false
	}
	r := NewRecord(request)
	if claimed != 0 && claimed != l.incarnation {
		r.end(Result{Outcome: NotRun, Detail: "the claim is for another incarnation of the target process"})
		return r, false
	}
	l.records[request] = r
	return r, true
}

func (l *Ledger) find(request id.Request) *Record {
	if r := l.records[request]; r != nil {
		return r
	}
	return l.previousRecords[request]
}

// Dispatch marks a waiting call as sent to the service. It returns true once for each call;
// only then may the caller send it.
func (l *Ledger) Dispatch(r *Record) bool {
	if r.state != Waiting {
		return false
	}
	r.state = Running
	return true
}

// End sets the result of a call. Only the first result counts.
func (l *Ledger) End(now time.Time, r *Record, result Result) {
	if r.state == Ended {
		return
	}
	r.end(result)
	r.endedAt = now
	if result.Reply != nil && l.find(r.Request) == r {
		r.replyElement = l.replies.PushBack(r)
		l.replyBytes += replySize(result.Reply)
		l.dropReplies(func(*Record) bool { return l.replyBytes > l.limits.ReplyBytes })
	}
}

func (r *Record) end(result Result) {
	r.state, r.result = Ended, result
	close(r.done)
}

// replyOverhead is the estimated memory of a reply besides its body and header.
const replyOverhead = 512

func replySize(r *answer.Reply) int {
	n := replyOverhead + len(r.Body)
	for name, values := range r.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Fence forbids a call that has not been sent to the service. It returns the call's result.
// If the service is running the call, the result is Unknown, and Fence also returns the
// record to wait for.
func (l *Ledger) Fence(now time.Time, request id.Request, claimed id.Incarnation) (Result, *Record) {
	r := l.find(request)
	if r == nil {
		return l.fenceUnseen(now, request, claimed), nil
	}
	if r.state == Waiting {
		l.End(now, r, Result{Outcome: NotRun, Detail: "the call was forbidden before the service got it"})
	}
	if r.state == Running {
		return Result{Outcome: Unknown, Detail: "the service has the call and has not answered"}, r
	}
	return r.result, nil
}

// fenceUnseen returns the result for a call without a record. Only an incarnation whose calls
// are all recorded can prove that it has not seen a call.
func (l *Ledger) fenceUnseen(now time.Time, request id.Request, claimed id.Incarnation) Result {
	result := Result{Outcome: NotRun, Detail: "the target process has not seen the call and will refuse it"}
	switch {
	case claimed != 0 && claimed == l.incarnation:
		r, _ := l.Open(request, claimed)
		l.End(now, r, result)
		return result
	case claimed != 0 && claimed == l.previousIncarnation:
		// No record is needed, because Open refuses claims for the previous
		// incarnation.
		return result
	}
	return Result{Outcome: Unknown, Detail: "the target process has started since the claim and knows nothing of the call"}
}

// Sweep drops the replies that are older than the retention time.
func (l *Ledger) Sweep(now time.Time) {
	l.dropReplies(func(r *Record) bool { return now.Sub(r.endedAt) >= l.limits.Retention })
}

// dropReplies drops replies, the oldest first, as long as the condition holds. The calls
// stay recorded.
func (l *Ledger) dropReplies(condition func(*Record) bool) {
	for e := l.replies.Front(); e != nil && condition(e.Value.(*Record)); e = l.replies.Front() {
		r := l.replies.Remove(e).(*Record)
		l.replyBytes -= replySize(r.result.Reply)
		// A reader may hold the record and read its result, so the record is
		// replaced rather than changed.
		l.replace(r, Result{Outcome: Unknown, Detail: "the call ran, and its reply is no longer kept"})
	}
}

func (l *Ledger) replace(r *Record, result Result) {
	tombstone := NewRecord(r.Request)
	tombstone.end(result)
	if l.records[r.Request] == r {
		l.records[r.Request] = tombstone
	} else if l.previousRecords[r.Request] == r {
		l.previousRecords[r.Request] = tombstone
	}
}

// Rotate starts a new incarnation if the ledger is full, and reports whether it did. From
// then on, calls claimed for the previous incarnation are refused, so the records of the
// incarnation before that are dropped. It does nothing while one of those calls still waits
// or runs, or if the new incarnation is not higher than the current one.
func (l *Ledger) Rotate(incarnation id.Incarnation) bool {
	if len(l.records) < l.limits.Records || incarnation <= l.incarnation {
		return false
	}
	for _, r := range l.previousRecords {
		if r.state != Ended {
			return false
		}
	}
	for _, r := range l.previousRecords {
		l.removeReply(r)
	}
	l.previousIncarnation, l.previousRecords = l.incarnation, l.records
	l.incarnation, l.records = incarnation, map[id.Request]*Record{}
	return true
}

func (l *Ledger) removeReply(r *Record) {
	if r.replyElement != nil && r.result.Reply != nil {
		l.replies.Remove(r.replyElement)
		l.replyBytes -= replySize(r.result.Reply)
	}
}

// Unfinished returns the ids of the calls that wait or run, in no particular order.
func (l *Ledger) Unfinished() []id.Request {
	var unfinished []id.Request
	for _, records := range []map[id.Request]*Record{l.records, l.previousRecords} {
		for request, r := range records {
			if r.state != Ended {
				unfinished = append(unfinished, request)
			}
		}
	}
	return unfinished
}
