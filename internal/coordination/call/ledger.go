// Package call holds what a target process knows of the calls to the plain
// service beside it that may not be repeated.
//
// A call is given to the service at most once. The ledger remembers each call
// that it has seen for as long as its incarnation lasts, and says of a call
// that it was not run only when nobody can make it run any more.
// docs/design/target-process.md goes through each case.
//
// # Usage
//
//	ledger := call.NewLedger(incarnation, limits)
//	rec, isNew := ledger.Open(request, claimed)
//	if isNew && ledger.Dispatch(rec) {
//		// Give it to the service, then:
//		ledger.End(now, rec, call.Word{Outcome: call.Done, Reply: reply})
//	}
//	<-rec.Done()
//	word := rec.Word()
//
// A ledger has no lock and no clock. Done and Word are safe for concurrent use.
package call

import (
	"container/list"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Outcome is what a target process says became of a call.
type Outcome string

// Outcomes.
const (
	// Done means that the service answered.
	Done Outcome = "done"
	// NotRun means that the service did not get the call and never will from
	// this process.
	NotRun Outcome = "notRun"
	// Unknown means that the service may have run the call.
	Unknown Outcome = "unknown"
)

// Result is what a target process says of a call.
type Result struct {
	Outcome Outcome
	// Detail is one sentence for the caller.
	Detail string
	// Reply is set when the outcome is done.
	Reply *answer.Reply
}

// State is how far a call has come.
type State string

// States of a call.
const (
	// Waiting calls have not been given to the service.
	Waiting State = "waiting"
	// Running calls have been given to the service.
	Running State = "running"
	// Ended calls have their word.
	Ended State = "ended"
)

// Record is one call.
type Record struct {
	Request id.Request
	state   State
	word    Result
	done    chan struct{}
	// kept is the reply's place among the kept ones; nil when none is kept.
	kept  *list.Element
	ended time.Time
}

// NewRecord returns the record of a call that no ledger holds.
func NewRecord(request id.Request) *Record {
	return &Record{Request: request, state: Waiting, done: make(chan struct{})}
}

// Done is closed once the call has its word.
func (r *Record) Done() <-chan struct{} { return r.done }

// Result returns the call's word. It must not be called before Done is closed.
func (r *Record) Result() Result { return r.word }

// State returns how far the call has come.
func (r *Record) State() State { return r.state }

// Limits bound what a ledger holds.
type Limits struct {
	// Retention is how long a reply is kept.
	Retention time.Duration
	// ReplyBytes bounds the memory of all kept replies.
	ReplyBytes int
	// Records is the number of calls after which a ledger must rotate.
	Records int
}

// Ledger holds the calls that an incarnation of a target process has seen. It
// is not safe for concurrent use.
type Ledger struct {
	limits      Limits
	incarnation id.Incarnation
	records     map[id.Request]*Record
	// previous and older are the incarnation before the last rotation and all
	// calls that it has seen.
	previous id.Incarnation
	older    map[id.Request]*Record
	// replies lists the records with a kept reply, the first one first.
	replies *list.List
	bytes   int
}

// NewLedger returns an empty ledger of an incarnation.
func NewLedger(incarnation id.Incarnation, limits Limits) *Ledger {
	return &Ledger{
		limits: limits, incarnation: incarnation,
		records: map[id.Request]*Record{}, replies: list.New(),
	}
}

// SetLimits puts new limits in force.
func (l *Ledger) SetLimits(limits Limits) { l.limits = limits }

// Incarnation returns the incarnation that claims must name.
func (l *Ledger) Incarnation() id.Incarnation { return l.incarnation }

// Bytes returns the memory of the kept replies.
func (l *Ledger) Bytes() int { return l.bytes }

// Len returns the number of calls that are remembered.
func (l *Ledger) Len() int { return len(l.records) + len(l.older) }

// Open returns the record of a call, and whether it was made by this call of
// Open; then its maker must bring it to its end. A claim for another
// incarnation gets a record that has ended as not run: this message was not
// given to the service. Claimed is 0 for calls without a claim.
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
	return l.older[request]
}

// Dispatch marks a call as given to the service, and reports whether the
// caller of Dispatch is the one to give it. It does so once for each call.
func (l *Ledger) Dispatch(r *Record) bool {
	if r.state != Waiting {
		return false
	}
	r.state = Running
	return true
}

// End gives a call its word; the first word stays.
func (l *Ledger) End(now time.Time, r *Record, word Result) {
	if r.state == Ended {
		return
	}
	r.end(word)
	r.ended = now
	if word.Reply != nil && l.find(r.Request) == r {
		r.kept = l.replies.PushBack(r)
		l.bytes += replyBytes(word.Reply)
		l.drop(func(*Record) bool { return l.bytes > l.limits.ReplyBytes })
	}
}

func (r *Record) end(word Result) {
	r.state, r.word = Ended, word
	close(r.done)
}

// replyOverhead is what a reply takes beside its body.
const replyOverhead = 512

func replyBytes(r *answer.Reply) int {
	n := replyOverhead + len(r.Body)
	for name, values := range r.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Fence forbids a call that has not been given to the service. It returns the
// call's word, or the record to wait for when the service has it now.
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
	return r.word, nil
}

// fenceUnseen answers for a call that no record names. Only an incarnation
// whose calls are all remembered can say that it has not seen one.
func (l *Ledger) fenceUnseen(now time.Time, request id.Request, claimed id.Incarnation) Result {
	word := Result{Outcome: NotRun, Detail: "the target process has not seen the call and will refuse it"}
	switch {
	case claimed != 0 && claimed == l.incarnation:
		r, _ := l.Open(request, claimed)
		l.End(now, r, word)
		return word
	case claimed != 0 && claimed == l.previous:
		// Open refuses claims of the previous incarnation already.
		return word
	}
	return Result{Outcome: Unknown, Detail: "the target process has started since the claim and knows nothing of the call"}
}

// Sweep drops the replies that have been kept for the retention.
func (l *Ledger) Sweep(now time.Time) {
	l.drop(func(r *Record) bool { return now.Sub(r.ended) >= l.limits.Retention })
}

// drop drops kept replies, the first one first, while the condition holds. The
// call stays known.
func (l *Ledger) drop(condition func(*Record) bool) {
	for e := l.replies.Front(); e != nil && condition(e.Value.(*Record)); e = l.replies.Front() {
		r := l.replies.Remove(e).(*Record)
		l.bytes -= replyBytes(r.word.Reply)
		// A reader may hold the record and read its word, so another takes its
		// place.
		l.replace(r, Result{Outcome: Unknown, Detail: "the call ran, and its reply is no longer kept"})
	}
}

func (l *Ledger) replace(r *Record, word Result) {
	tombstone := NewRecord(r.Request)
	tombstone.end(word)
	if l.records[r.Request] == r {
		l.records[r.Request] = tombstone
	} else if l.older[r.Request] == r {
		l.older[r.Request] = tombstone
	}
}

// Rotate begins a new incarnation when the ledger is full, and reports whether
// it did. Calls that were claimed for the one before are refused from then on,
// so what was remembered of the one before that can go.
func (l *Ledger) Rotate(incarnation id.Incarnation) bool {
	if len(l.records) < l.limits.Records || incarnation <= l.incarnation {
		return false
	}
	for _, r := range l.older {
		if r.state != Ended {
			return false
		}
	}
	for _, r := range l.older {
		l.forget(r)
	}
	l.previous, l.older = l.incarnation, l.records
	l.incarnation, l.records = incarnation, map[id.Request]*Record{}
	return true
}

func (l *Ledger) forget(r *Record) {
	if r.kept != nil && r.word.Reply != nil {
		l.replies.Remove(r.kept)
		l.bytes -= replyBytes(r.word.Reply)
	}
}

// Unfinished names the calls that wait or run.
func (l *Ledger) Unfinished() []id.Request {
	var names []id.Request
	for _, records := range []map[id.Request]*Record{l.records, l.older} {
		for request, r := range records {
			if r.state != Ended {
				names = append(names, request)
			}
		}
	}
	return names
}
