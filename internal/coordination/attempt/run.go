package attempt

import (
	"container/list"
	"fmt"
	"maps"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Usage is what the engine counted for one attempt.
type Usage struct {
	PromptTokens int
	Cached       int
	Decoded      int
}

// Admit gives free slots to waiting attempts and returns them; the caller
// gives each to the engine.
func (t *Table) Admit(now time.Time) []*Record {
	var admitted []*Record
	for {
		ticket, ok := t.queue.Admit(now)
		if !ok {
			return admitted
		}
		admitted = append(admitted, ticket.Owner)
	}
}

// Append adds tokens that the engine sent, and reports whether the attempt
// still runs; if not, they are dropped.
func (t *Table) Append(r *Record, tokens ...generation.Token) bool {
	if r.State != Running {
		return false
	}
	before := r.Log.Bytes()
	for _, token := range tokens {
		r.Log.Append(token)
	}
	t.bytes += r.Log.Bytes() - before
	r.wakeReaders()
	return true
}

// Finish ends an attempt whose answer is whole.
func (t *Table) Finish(now time.Time, r *Record, reason generation.FinishReason, usage Usage) {
	if r.State != Running {
		return
	}
	r.State = Finished
	r.Finish = &generation.Finish{
		Reason:          reason,
		TokenCount:      r.Log.Len(),
		Checksum:        r.Log.Checksum(),
		PromptTokens:    usage.PromptTokens,
		CachedTokens:    usage.Cached,
		PrefilledTokens: max(0, usage.PromptTokens+int(r.PrefixTokens)-usage.Cached),
		DecodedTokens:   int(r.Log.Len() - r.PrefixTokens),
	}
	t.end(now, r)
}

// Fail ends an attempt without its answer.
func (t *Table) Fail(now time.Time, r *Record, refusal Refusal) {
	if r.State != Running {
		return
	}
	r.State = Failed
	r.Failure = &refusal
	t.end(now, r)
}

// end gives the slot back and keeps the log for its retention.
func (t *Table) end(now time.Time, r *Record) {
	r.ended = now
	t.queue.Release(now, &r.ticket)
	t.ended.PushBack(r)
	r.wakeReaders()
	t.evict()
}

// stop ends an attempt and the engine's work on it.
func (t *Table) stop(now time.Time, r *Record, kind Kind, why string) {
	if r.Stop != nil {
		r.Stop()
	}
	t.Fail(now, r, Refusal{Kind: kind, Detail: why, Started: r.started()})
}

// stopAll stops the running attempts that match and returns their number.
func (t *Table) stopAll(now time.Time, req *request, match func(*Record) bool, why string) int {
	n := 0
	for _, r := range req.records {
		if r.State == Running && match(r) {
			t.stop(now, r, Cancelled, why)
			n++
		}
	}
	return n
}

// Read returns what the reader has not seen yet, with at most cap(buf) tokens
// in buf's memory.
func (t *Table) Read(reader *Reader, buf []generation.Token) Part {
	if reader.cut != nil {
		return Part{Refusal: reader.cut}
	}
	r := reader.record
	part := Part{First: reader.next, Tokens: r.Log.Read(reader.next, buf[:0])}
	reader.next += id.TokenIndex(len(part.Tokens))
	if reader.next < r.Log.Len() {
		return part
	}
	if r.State == Finished {
		r.taken = true
	}
	part.Finish, part.Refusal = r.Finish, r.Failure
	return part
}

// Detach ends a reader and reports whether it leaves a running attempt that
// nobody reads.
func (t *Table) Detach(now time.Time, reader *Reader) bool {
	if reader.cut != nil {
		return false
	}
	reader.record.detach(now, reader)
	return reader.record.Orphaned()
}

// Sweep ends what has lasted too long at now: attempts without a reader,
// attempts that waited past their deadline, and the records of what has ended.
// It returns the attempts that it stopped.
func (t *Table) Sweep(now time.Time) []*Record {
	var stopped []*Record
	for key, req := range t.requests {
		for _, r := range req.records {
			if t.stopLate(now, r) {
				stopped = append(stopped, r)
			}
		}
		if len(req.records) == 0 && now.Sub(req.seen) >= t.limits.Retention {
			delete(t.requests, key)
		}
	}
	t.forgetWhile(func(r *Record) bool { return now.Sub(r.ended) >= t.limits.Retention })
	return stopped
}

func (t *Table) stopLate(now time.Time, r *Record) bool {
	if r.State != Running {
		return false
	}
	switch {
	case r.Orphaned() && now.Sub(r.alone) >= t.limits.OrphanGrace:
		t.stop(now, r, Cancelled, "nobody read it")
	case r.ticket.Expired(now):
		t.stop(now, r, Deadline, "it waited for a slot until its deadline")
	default:
		return false
	}
	return true
}

// evict drops the logs that ended first until the rest fits.
func (t *Table) evict() {
	t.forgetWhile(func(*Record) bool { return t.bytes > t.limits.LogBytes })
}

// forgetWhile drops ended records, the first one first, while the condition
// holds. Those that are being read stay.
func (t *Table) forgetWhile(condition func(*Record) bool) {
	var next *list.Element
	for e := t.ended.Front(); e != nil; e = next {
		next = e.Next()
		r := e.Value.(*Record)
		if !condition(r) {
			return
		}
		if len(r.readers) == 0 {
			t.ended.Remove(e)
			t.forget(r)
		}
	}
}

func (t *Table) forget(r *Record) {
	t.bytes -= r.Bytes()
	req := t.requests[r.Spec.Request]
	req.records = slices.DeleteFunc(req.records, func(v *Record) bool { return v == r })
}

// Pending names what a stopping process waits for, sorted: the attempts that
// run, those that are read, and those that have just ended unread.
func (t *Table) Pending(now time.Time) []string {
	var names []string
	for _, key := range slices.Sorted(maps.Keys(t.requests)) {
		for _, r := range t.requests[key].records {
			if r.pending(now, t.limits.OrphanGrace) {
				names = append(names, fmt.Sprintf("%s attempt %d (%s, %d tokens, %d readers)",
					key, r.Attempt, r.State, r.Log.Len(), len(r.readers)))
			}
		}
	}
	return names
}

// pending reports whether ending the process at now would cut r off.
func (r *Record) pending(now time.Time, grace time.Duration) bool {
	switch {
	case r.State == Running || len(r.readers) > 0:
		return true
	case r.State == Finished && !r.taken:
		return now.Sub(r.ended) < grace
	}
	return false
}

// AbortAll stops all that run and returns their names, for a forced stop.
func (t *Table) AbortAll(now time.Time) []string {
	names := t.Pending(now)
	for _, req := range t.requests {
		t.stopAll(now, req, func(*Record) bool { return true }, "the target process was told to stop at once")
	}
	return names
}
