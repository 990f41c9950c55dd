package attempt

import (
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/admission"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Record is one attempt. Its fields are changed by its table alone, but for
// Stop, which the shell sets when it gives the attempt to the engine.
type Record struct {
	Spec    *generation.Spec
	Epoch   id.Epoch
	Attempt id.Attempt
	State   State
	// PrefixTokens is the number of tokens that the attempt was started with.
	PrefixTokens id.TokenIndex
	Log          Log
	// Finish is set when the state is finished, Failure when it is failed.
	Finish  *generation.Finish
	Failure *Refusal
	// Stop ends the engine's work on the attempt. It must not block.
	Stop func()

	ticket admission.Ticket[*Record]
	ended  time.Time
	// alone is when the last reader went; zero while there is one.
	alone time.Time
	// taken says that a reader has had the end.
	taken   bool
	readers []*Reader
}

// recordBytes is what a record takes beside its log and its spec's texts.
const recordBytes = 1024

// Bytes returns the memory that the record takes.
func (r *Record) Bytes() int {
	return recordBytes + len(r.Spec.Prompt) + len(r.Spec.Messages) + r.Log.Bytes()
}

// started reports whether the attempt was given to the engine.
func (r *Record) started() bool { return !r.ticket.Admitted().IsZero() }

// Orphaned reports whether the attempt runs without a reader.
func (r *Record) Orphaned() bool {
	return r.State == Running && len(r.readers) == 0
}

func (r *Record) wakeReaders() {
	for _, reader := range r.readers {
		reader.wake()
	}
}

// detach takes reader away from r.
func (r *Record) detach(now time.Time, reader *Reader) {
	at := slices.Index(r.readers, reader)
	if at < 0 {
		return
	}
	r.readers = slices.Delete(r.readers, at, at+1)
	if len(r.readers) == 0 {
		r.alone = now
	}
}

// Reader reads the tokens of one attempt, from the log and at its own pace.
type Reader struct {
	record *Record
	epoch  id.Epoch
	next   id.TokenIndex
	cut    *Refusal
	wake   func()
}

// Record returns the attempt that is read.
func (r *Reader) Record() *Record { return r.record }

// NextIndex returns the index of the token that is read next.
func (r *Reader) NextIndex() id.TokenIndex { return r.next }

// Part is what a reader has not seen yet. The last part of an attempt has
// either Finish or Refusal.
type Part struct {
	First   id.TokenIndex
	Tokens  []generation.Token
	Finish  *generation.Finish
	Refusal *Refusal
}

// Empty reports whether the reader must wait to be woken.
func (p *Part) Empty() bool {
	return len(p.Tokens) == 0 && p.Finish == nil && p.Refusal == nil
}

// FoundAttempt is what a process holds of one attempt.
type FoundAttempt struct {
	Spec    *generation.Spec
	Epoch   id.Epoch
	Attempt id.Attempt
	State   State
	Next    id.TokenIndex
	// Tokens are the answer's first ones; fewer than Next when they were too
	// many to return.
	Tokens []generation.Token
	Finish *generation.Finish
}
