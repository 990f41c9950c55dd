package attempt

import (
	"bytes"
	"container/list"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/admission"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Limits bound what a table holds and for how long.
type Limits struct {
	Capacity admission.Capacity
	// Retention is how long the log of an ended attempt and the epoch of a
	// request are kept.
	Retention time.Duration
	// OrphanGrace is how long an attempt goes on without a reader.
	OrphanGrace time.Duration
	// LogBytes bounds the memory of all records; the logs that ended first go
	// first.
	LogBytes int
}

// maxReaders is the largest number of readers of one attempt. The one that
// came first gives way: its connection is the most likely to be dead.
const maxReaders = 4

// Queue is the queue of a target's attempts.
type Queue = admission.Queue[*Record]

// Table holds the attempts of a target process. It is not safe for concurrent
// use.
type Table struct {
	// CheckSpec returns an *Error when the target can't take a new attempt of
	// that spec; nil takes all.
	CheckSpec func(spec *generation.Spec) error

	limits   Limits
	queue    Queue
	leaving  bool
	requests map[id.Request]*request
	// ended lists the records that have ended, the first one first.
	ended *list.List
	bytes int
}

// request is what is known of one request.
type request struct {
	epoch id.Epoch
	// newest is the highest attempt of the epoch, and below the lowest one
	// that has not been cancelled.
	newest  id.Attempt
	below   id.Attempt
	seen    time.Time
	records []*Record
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{
		limits:   limits,
		queue:    admission.NewQueue[*Record](limits.Capacity),
		requests: map[id.Request]*request{},
		ended:    list.New(),
	}
}

// SetLimits puts new limits in force; running attempts stay.
func (t *Table) SetLimits(limits Limits) {
	t.limits = limits
	t.queue.SetCapacity(limits.Capacity)
}

// Drain makes the table refuse new attempts. Those that wait still run.
func (t *Table) Drain() { t.leaving = true }

// Queue returns the table's queue, to read its counts.
func (t *Table) Queue() *Queue { return &t.queue }

// Bytes returns the memory that the records take.
func (t *Table) Bytes() int { return t.bytes }

// Start begins an attempt, or joins it when it is held already, and returns a
// reader of what comes after its prefix. wake is called, and must not block,
// when the reader has more to read. The error is an *Error.
func (t *Table) Start(now time.Time, s StartRequest, wake func()) (*Reader, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	req, err := t.raise(now, s.Spec.Request, s.Epoch)
	if err != nil {
		return nil, err
	}
	if r := req.find(s.Attempt); r != nil && r.Epoch == s.Epoch {
		return t.join(now, r, s, wake)
	}
	if s.Attempt < req.newest || s.Attempt < req.below {
		return nil, fault.New("Table.Start", Fenced, "attempt %d of epoch %d is older than %d",
			s.Attempt, s.Epoch, max(req.newest, req.below))
	}
	req.newest = s.Attempt
	t.stopAll(now, req, func(*Record) bool { return true }, "a newer attempt was started")
	r, err := t.add(now, req, s)
	if err != nil {
		return nil, err
	}
	return t.attach(now, r, s.Epoch, r.PrefixTokens, wake), nil
}

func (t *Table) join(now time.Time, r *Record, s StartRequest, wake func()) (*Reader, error) {
	if !sameSpec(r.Spec, s.Spec) || int(r.PrefixTokens) != len(s.Prefix) {
		return nil, fault.New("Table.join", Mismatch, "attempt %d was started with another spec or prefix", s.Attempt)
	}
	return t.attach(now, r, s.Epoch, r.PrefixTokens, wake), nil
}

// sameSpec reports whether two specs ask for the same generation.
func sameSpec(a, b *generation.Spec) bool {
	return a.Lineage == b.Lineage && a.Model == b.Model && a.Version == b.Version && a.Adapter == b.Adapter &&
		a.Seed == b.Seed && a.MaxTokens == b.MaxTokens && a.Temperature == b.Temperature && a.TopP == b.TopP &&
		a.Prompt == b.Prompt && bytes.Equal(a.Messages, b.Messages) && slices.Equal(a.Stop, b.Stop)
}

// add makes the record of a new attempt and puts it into the queue. An answer
// that is whole needs neither a slot nor the engine.
func (t *Table) add(now time.Time, req *request, s StartRequest) (*Record, error) {
	r := &Record{Spec: s.Spec, Epoch: s.Epoch, Attempt: s.Attempt, State: Running}
	if s.whole() {
		t.hold(req, r, s.Prefix)
		t.Finish(now, r, generation.Length, Usage{PromptTokens: s.Spec.PromptTokens()})
		// No engine computed the prompt for this attempt.
		r.Finish.PrefilledTokens = 0
		return r, nil
	}
	if err := t.room(now, r, len(s.Prefix)); err != nil {
		return nil, err
	}
	t.hold(req, r, s.Prefix)
	t.evict()
	return r, nil
}

// hold keeps a record with the tokens that it begins with.
func (t *Table) hold(req *request, r *Record, prefix []generation.Token) {
	for _, token := range prefix {
		r.Log.Append(token)
	}
	r.PrefixTokens = r.Log.Len()
	req.records = append(req.records, r)
	t.bytes += r.Bytes()
}

// room puts an attempt into the queue, or returns why it can't run here now.
func (t *Table) room(now time.Time, r *Record, prefix int) error {
	if t.leaving {
		return fault.New("Table.room", Leaving, "the target is leaving")
	}
	if t.CheckSpec != nil {
		if err := t.CheckSpec(r.Spec); err != nil {
			return err
		}
	}
	t.evict()
	if t.bytes >= t.limits.LogBytes {
		return fault.New("Table.room", Busy, "attempts that run or are read take %d bytes", t.bytes)
	}
	r.ticket = admission.Ticket[*Record]{
		Owner: r, Class: urgency(r.Spec, prefix), Deadline: r.Spec.Deadline, Tokens: r.Spec.PromptTokens() + prefix,
	}
	if err := t.queue.Offer(now, &r.ticket); err != nil {
		return fault.Wrap("Table.room", refusalKind(err), err)
	}
	return nil
}

// refusalKind returns the kind for why the queue refused.
func refusalKind(err error) Kind {
	if fault.Is(err, admission.Deadline) {
		return Deadline
	}
	return Busy
}

func (t *Table) attach(now time.Time, r *Record, epoch id.Epoch, from id.TokenIndex, wake func()) *Reader {
	if len(r.readers) >= maxReaders {
		t.cut(now, r.readers[0], "too many readers of one attempt")
	}
	reader := &Reader{record: r, epoch: epoch, next: from, wake: wake}
	r.readers = append(r.readers, reader)
	r.alone = time.Time{}
	return reader
}

// Adopt returns a reader of an attempt that is held, from an index on. The
// attempt belongs to the epoch from then on. The error is an *Error.
func (t *Table) Adopt(now time.Time, key id.Request, epoch id.Epoch, attempt id.Attempt, from id.TokenIndex,
	wake func()) (*Reader, error) {
	const op = "Table.Adopt"
	if epoch == 0 || attempt == 0 {
		return nil, fault.New(op, Invalid, "epoch is %d and attempt %d, want both from 1", epoch, attempt)
	}
	req, err := t.raise(now, key, epoch)
	if err != nil {
		return nil, err
	}
	r := req.find(attempt)
	if r == nil {
		return nil, fault.New(op, UnknownAttempt, "attempt %d of %s is not held here", attempt, key)
	}
	if from > r.Log.Len() {
		return nil, fault.New(op, Mismatch, "attempt %d has %d tokens, want more than %d", attempt, r.Log.Len(), from)
	}
	r.Epoch = epoch
	req.newest = max(req.newest, attempt)
	return t.attach(now, r, epoch, from, wake), nil
}

// Cancel ends the request's attempts below a number, or all when it is 0, and
// returns how many ran. The error is an *Error.
func (t *Table) Cancel(now time.Time, key id.Request, epoch id.Epoch, below id.Attempt) (int, error) {
	if epoch == 0 {
		return 0, fault.New("Table.Cancel", Invalid, "epoch is 0")
	}
	req, err := t.raise(now, key, epoch)
	if err != nil {
		return 0, err
	}
	if below == 0 {
		below = req.last() + 1
	}
	req.below = max(req.below, below)
	n := t.stopAll(now, req, func(r *Record) bool { return r.Attempt < below }, "the owner cancelled it")
	return n, nil
}

// Find returns what is held of a request, the newest attempt first, with at
// most maxTokens tokens in all, and the highest epoch that was seen. An epoch
// that is not 0 fences older ones; an epoch that is fenced itself finds
// nothing.
func (t *Table) Find(now time.Time, key id.Request, epoch id.Epoch, maxTokens int) ([]FoundAttempt, id.Epoch) {
	req := t.requests[key]
	if epoch != 0 {
		var err error
		if req, err = t.raise(now, key, epoch); err != nil {
			return nil, t.requests[key].epoch
		}
	}
	if req == nil {
		return nil, 0
	}
	found := make([]FoundAttempt, 0, len(req.records))
	for _, r := range slices.Backward(req.records) {
		n := min(int(r.Log.Len()), maxTokens)
		maxTokens -= n
		found = append(found, FoundAttempt{
			Spec: r.Spec, Epoch: r.Epoch, Attempt: r.Attempt, State: r.State, Next: r.Log.Len(),
			Tokens: r.Log.Read(0, make([]generation.Token, 0, n)), Finish: r.Finish,
		})
	}
	return found, req.epoch
}

// raise returns the request's state with an epoch of at least epoch, or an
// error of kind Fenced when a higher one is known.
func (t *Table) raise(now time.Time, key id.Request, epoch id.Epoch) (*request, error) {
	req := t.requests[key]
	if req == nil {
		req = &request{epoch: epoch}
		t.requests[key] = req
	}
	if epoch < req.epoch {
		return nil, fault.New("Table.raise", Fenced, "epoch %d is older than %d", epoch, req.epoch)
	}
	req.seen = now
	if epoch == req.epoch {
		return req, nil
	}
	req.epoch, req.newest, req.below = epoch, 0, 0
	for _, r := range req.records {
		for _, reader := range slices.Clone(r.readers) {
			t.cut(now, reader, "a newer owner is known")
		}
	}
	return req, nil
}

// cut ends a reader.
func (t *Table) cut(now time.Time, reader *Reader, why string) {
	r := reader.record
	reader.cut = &Refusal{Kind: Fenced, Detail: why, Started: r.started()}
	r.detach(now, reader)
	reader.wake()
}

func (req *request) find(attempt id.Attempt) *Record {
	for _, r := range slices.Backward(req.records) {
		if r.Attempt == attempt {
			return r
		}
	}
	return nil
}

// last returns the highest attempt that is known.
func (req *request) last() id.Attempt {
	last := req.newest
	for _, r := range req.records {
		last = max(last, r.Attempt)
	}
	return last
}

// urgency returns the class by which an attempt is admitted. An answer that
// goes on after a loss and prefers latency may use the headroom, as short work
// does.
func urgency(s *generation.Spec, prefix int) generation.Class {
	if prefix > 0 && s.Prefer == generation.PreferLatency {
		return generation.Short
	}
	return s.Class
}
