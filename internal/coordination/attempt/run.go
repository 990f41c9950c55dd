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

// Usage holds the engine's token counts of one attempt.
type Usage struct {
	PromptTokens int
	Cached       int
	Decoded      int
}

// Admit assigns free slots to waiting attempts and returns these attempts. The
// caller passes each of them to the engine.
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

// Append adds tokens sent by the engine and reports whether the attempt is still
// running. If it is not, the tokens are dropped.
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

// Finish ends an attempt whose answer is complete.
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
	t.release(now, r)
}

// Fail ends an attempt without a complete answer.
func (t *Table) Fail(now time.Time, r *Record, refusal Refusal) {
	if r.State != Running {
		return
	}
	r.State = Failed
	r.Failure = &refusal
	t.release(now, r)
}

// release releases the slot of an ended attempt and keeps its log for the
// retention period.
func (t *Table) release(now time.Time, r *Record) {
	r.endedAt = now
	t.queue.Release(now, &r.ticket)
	t.ended.PushBack(r)
	r.wakeReaders()
	t.evict()
}

// stop cancels the engine's work on an attempt and fails the attempt.
func (t *Table) stop(now time.Time, r *Record, kind Kind, detail string) {
	if r.Stop != nil {
		r.Stop()
	}
	t.Fail(now, r, Refusal{Kind: kind, Detail: detail, Started: r.started()})
}

// stopAll stops the running attempts of a request that match, and returns their
// number.
func (t *Table) stopAll(now time.Time, req *requestState, match func(*Record) bool, detail string) int {
	n := 0
	for _, r := range req.records {
		if r.State == Running && match(r) {
			t.stop(now, r, Cancelled, detail)
			n++
		}
	}
	return n
}

// Read returns what the reader has not read yet: at most cap(buf) tokens, stored
// in buf.
func (t *Table) Read(reader *Reader, buf []generation.Token) Part {
	if reader.refusal != nil {
		return Part{Refusal: reader.refusal}
	}
	r := reader.record
	part := Part{First: reader.next, Tokens: r.Log.Read(reader.next, buf[:0])}
	reader.next += id.TokenIndex(len(part.Tokens))
	if reader.next < r.Log.Len() {
		return part
	}
	if r.State == Finished {
		r.finishRead = true
	}
	part.Finish, part.Refusal = r.Finish, r.Failure
	return part
}

// Detach closes a reader and reports whether its attempt is now running without
// a reader.
func (t *Table) Detach(now time.Time, reader *Reader) bool {
	if reader.refusal != nil {
		return false
	}
	reader.record.detach(now, reader)
	return reader.record.Orphaned()
}

// Sweep stops attempts that have had no reader for the orphan grace or that
// waited for a slot past their deadline, and removes records whose retention has
// ended. It returns the attempts that it stopped.
func (t *Table) Sweep(now time.Time) []*Record {
	var stopped []*Record
	for key, req := range t.requests {
		for _, r := range req.records {
			if t.stopOverdue(now, r) {
				stopped = append(stopped, r)
			}
		}
		if len(req.records) == 0 && now.Sub(req.lastUsed) >= t.limits.Retention {
			delete(t.requests, key)
		}
	}
	t.removeWhile(func(r *Record) bool { return now.Sub(r.endedAt) >= t.limits.Retention })
	return stopped
}

func (t *Table) stopOverdue(now time.Time, r *Record) bool {
	if r.State != Running {
		return false
	}
	switch {
	case r.Orphaned() && now.Sub(r.detachedAt) >= t.limits.OrphanGrace:
		t.stop(now, r, Cancelled, "nobody read it")
	case r.ticket.Expired(now):
		t.stop(now, r, Deadline, "it waited for a slot until its deadline")
	default:
		return false
	}
	return true
}

// evict removes the records that ended first until the others fit into LogBytes.
func (t *Table) evict() {
	t.removeWhile(func(*Record) bool { return t.bytes > t.limits.LogBytes })
}

// removeWhile removes ended records in the order of their end while the
// condition holds. Records with readers are kept.
func (t *Table) removeWhile(condition func(*Record) bool) {
	var next *list.Element
	for e := t.ended.Front(); e != nil; e = next {
		next = e.Next()
		r := e.Value.(*Record)
		if !condition(r) {
			return
		}
		if len(r.readers) == 0 {
			t.ended.Remove(e)
			t.remove(r)
		}
	}
}

func (t *Table) remove(r *Record) {
	t.bytes -= r.Bytes()
	req := t.requests[r.Spec.Request]
	req.records = slices.DeleteFunc(req.records, func(v *Record) bool { return v == r })
}

// Pending describes the attempts that a draining process waits for, sorted by
// request: running attempts, attempts with readers, and attempts that finished
// within the orphan grace and whose finish no reader has read.
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

// pending reports whether a reader could lose data of r if the process ended at
// now.
func (r *Record) pending(now time.Time, grace time.Duration) bool {
	switch {
	case r.State == Running || len(r.readers) > 0:
		return true
	case r.State == Finished && !r.finishRead:
		return now.Sub(r.endedAt) < grace
	}
	return false
}

// AbortAll stops all running attempts for a forced shutdown, and returns the
// descriptions that Pending returned before.
func (t *Table) AbortAll(now time.Time) []string {
	names := t.Pending(now)
	for _, req := range t.requests {
		t.stopAll(now, req, func(*Record) bool { return true }, "the target process was told to stop at once")
	}
	return names
}
