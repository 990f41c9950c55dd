package attempt

import (
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/admission"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Record is one attempt. Only its table changes its fields, except Stop, which
// the caller sets when it passes the attempt to the engine.
type Record struct {
	Spec    *generation.Spec
	Epoch   id.Epoch
	Attempt id.Attempt
	State   State
	// PrefixTokens is the number of tokens that the attempt was started with.
	PrefixTokens id.TokenIndex
	Log          Log
	// Finish is set in state Finished, and Failure in state Failed.
	Finish  *generation.Finish
	Failure *Refusal
	// Stop cancels the engine's work on the attempt. It must not block.
	Stop func()

	ticket  admission.Ticket[*Record]
	endedAt time.Time
	// detachedAt is when the last reader was detached. It is zero while there is
	// a reader.
	detachedAt time.Time
	// finishRead means that a reader has read the finish.
	finishRead bool
	readers    []*Reader
}

// recordBytes is the estimated memory of a record without its log and the texts
// of its spec.
const recordBytes = 1024

// Bytes returns the memory used by the record.
func (r *Record) Bytes() int {
	return recordBytes + len(r.Spec.Prompt) + len(r.Spec.Messages) + r.Log.Bytes()
}

// started reports whether the attempt was passed to the engine.
func (r *Record) started() bool { return !r.ticket.Admitted().IsZero() }

// Orphaned reports whether the attempt is running without a reader.
func (r *Record) Orphaned() bool {
	return r.State == Running && len(r.readers) == 0
}

func (r *Record) wakeReaders() {
	for _, reader := range r.readers {
		reader.wake()
	}
}

// detach removes reader from r.
func (r *Record) detach(now time.Time, reader *Reader) {
	at := slices.Index(r.readers, reader)
	if at < 0 {
		return
	}
	r.readers = slices.Delete(r.readers, at, at+1)
	if len(r.readers) == 0 {
		r.detachedAt = now
	}
}

// Reader reads the tokens of one attempt from its log, at its own pace.
type Reader struct {
	record  *Record
	epoch   id.Epoch
	next    id.TokenIndex
	refusal *Refusal
	wake    func()
}

// Record returns the attempt that is read.
func (r *Reader) Record() *Record { return r.record }

// NextIndex returns the index of the next token to read.
func (r *Reader) NextIndex() id.TokenIndex { return r.next }

// Part holds what a reader has not read yet. The last part of an attempt has
// either Finish or Refusal set.
type Part struct {
	First   id.TokenIndex
	Tokens  []generation.Token
	Finish  *generation.Finish
	Refusal *Refusal
}

// Empty reports whether the part holds nothing, so that the reader must wait for
// its wake function.
func (p *Part) Empty() bool {
	return len(p.Tokens) == 0 && p.Finish == nil && p.Refusal == nil
}

// FoundAttempt is a copy of an attempt that the target process holds.
type FoundAttempt struct {
	Spec    *generation.Spec
	Epoch   id.Epoch
	Attempt id.Attempt
	State   State
	Next    id.TokenIndex
	// Tokens holds the first tokens of the answer. There are fewer than Next if
	// the limit of Table.Find was reached.
	Tokens []generation.Token
	Finish *generation.Finish
}
