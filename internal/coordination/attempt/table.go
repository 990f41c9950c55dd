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

// Limits configures how much a table holds and for how long.
type Limits struct {
	Capacity admission.Capacity
	// Retention is how long the logs of ended attempts and the epochs of
	// requests are kept.
	Retention time.Duration
	// OrphanGrace is how long an attempt runs without a reader before it is
	// stopped.
	OrphanGrace time.Duration
	// LogBytes is the maximum memory of all records. The records that ended
	// first are evicted first.
	LogBytes int
}

// maxReaders is the maximum number of readers of one attempt. Beyond it the
// oldest reader is closed, because its connection is the most likely to be
// broken.
const maxReaders = 4

// Queue is the queue of a target's attempts.
type Queue = admission.Queue[*Record]

// Table holds the attempts of a target process. It is not safe for concurrent
// use.
type Table struct {
	// CheckSpec returns an *Error if the target cannot run a new attempt with
	// this spec. If CheckSpec is nil, every spec is accepted.
	CheckSpec func(spec *generation.Spec) error

	limits   Limits
	queue    Queue
	leaving  bool
	requests map[id.Request]*requestState
	// ended lists the records of ended attempts in the order of their end.
	ended *list.List
	bytes int
}

// requestState is the state of one request.
type requestState struct {
	epoch id.Epoch
	// newest is the highest attempt number of the epoch, and minAttempt the
	// lowest that has not been cancelled.
	newest     id.Attempt
	minAttempt id.Attempt
	lastUsed   time.Time
	records    []*Record
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{
		limits:   limits,
		queue:    admission.NewQueue[*Record](limits.Capacity),
		requests: map[id.Request]*requestState{},
		ended:    list.New(),
	}
}

// SetLimits applies new limits. Running attempts continue.
func (t *Table) SetLimits(limits Limits) {
	t.limits = limits
	t.queue.SetCapacity(limits.Capacity)
}

// Drain makes the table refuse new attempts. Attempts that already wait for a
// slot still run.
func (t *Table) Drain() { t.leaving = true }

// Queue returns the table's queue, whose counts callers may read.
func (t *Table) Queue() *Queue { return &t.queue }

// Bytes returns the memory used by all records.
func (t *Table) Bytes() int { return t.bytes }

// Start starts an attempt, or joins it if it is already held, and returns a
// reader that begins after the prefix. wake is called when the reader has more
// to read, and must not block. The error is an *Error.
func (t *Table) Start(now time.Time, s StartRequest, wake func()) (*Reader, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	req, err := t.raiseEpoch(now, s.Spec.Request, s.Epoch)
	if err != nil {
		return nil, err
	}
	if r := req.find(s.Attempt); r != nil && r.Epoch == s.Epoch {
		return t.joinHeld(now, r, s, wake)
	}
	if s.Attempt < req.newest || s.Attempt < req.minAttempt {
		return nil, fault.New("Table.Start", Fenced, "attempt %d of epoch %d is older than %d",
			s.Attempt, s.Epoch, max(req.newest, req.minAttempt))
	}
	req.newest = s.Attempt
	t.stopAll(now, req, func(*Record) bool { return true }, "a newer attempt was started")
	r, err := t.add(now, req, s)
	if err != nil {
		return nil, err
	}
	return t.attach(now, r, s.Epoch, r.PrefixTokens, wake), nil
}

func (t *Table) joinHeld(now time.Time, r *Record, s StartRequest, wake func()) (*Reader, error) {
	if !sameGeneration(r.Spec, s.Spec) || int(r.PrefixTokens) != len(s.Prefix) {
		return nil, fault.New("Table.joinHeld", Mismatch, "attempt %d was started with another spec or prefix", s.Attempt)
	}
	return t.attach(now, r, s.Epoch, r.PrefixTokens, wake), nil
}

// sameGeneration reports whether two specs describe the same generation.
func sameGeneration(a, b *generation.Spec) bool {
	return a.Lineage == b.Lineage && a.Model == b.Model && a.Version == b.Version && a.Adapter == b.Adapter &&
		a.Seed == b.Seed && a.MaxTokens == b.MaxTokens && a.Temperature == b.Temperature && a.TopP == b.TopP &&
		a.Prompt == b.Prompt && bytes.Equal(a.Messages, b.Messages) && slices.Equal(a.Stop, b.Stop)
}

// add creates the record of a new attempt and puts it into the queue. An answer
// that is already complete needs neither a slot nor the engine.
func (t *Table) add(now time.Time, req *requestState, s StartRequest) (*Record, error) {
	r := &Record{Spec: s.Spec, Epoch: s.Epoch, Attempt: s.Attempt, State: Running}
	if s.complete() {
		t.store(req, r, s.Prefix)
		t.Finish(now, r, generation.Length, Usage{PromptTokens: s.Spec.PromptTokens()})
		// No engine computed the prompt for this attempt.
		r.Finish.PrefilledTokens = 0
		return r, nil
	}
	if err := t.enqueue(now, r, len(s.Prefix)); err != nil {
		return nil, err
	}
	t.store(req, r, s.Prefix)
	t.evict()
	return r, nil
}

// store adds a record, including the tokens of its prefix, to the table.
func (t *Table) store(req *requestState, r *Record, prefix []generation.Token) {
	for _, token := range prefix {
		r.Log.Append(token)
	}
	r.PrefixTokens = r.Log.Len()
	req.records = append(req.records, r)
	t.bytes += r.Bytes()
}

// enqueue puts an attempt into the queue, or returns an error if it cannot run
// here now.
func (t *Table) enqueue(now time.Time, r *Record, prefix int) error {
	if t.leaving {
		return fault.New("Table.enqueue", Leaving, "the target is leaving")
	}
	if t.CheckSpec != nil {
		if err := t.CheckSpec(r.Spec); err != nil {
			return err
		}
	}
	t.evict()
	if t.bytes >= t.limits.LogBytes {
		return fault.New("Table.enqueue", Busy, "attempts that run or are read take %d bytes", t.bytes)
	}
	r.ticket = admission.Ticket[*Record]{
		Owner: r, Class: admissionClass(r.Spec, prefix), Deadline: r.Spec.Deadline, Tokens: r.Spec.PromptTokens() + prefix,
	}
	if err := t.queue.Offer(now, &r.ticket); err != nil {
		return fault.Wrap("Table.enqueue", refusalKind(err), err)
	}
	return nil
}

// refusalKind converts an error of the queue to a kind of this package.
func refusalKind(err error) Kind {
	if fault.Is(err, admission.Deadline) {
		return Deadline
	}
	return Busy
}

func (t *Table) attach(now time.Time, r *Record, epoch id.Epoch, from id.TokenIndex, wake func()) *Reader {
	if len(r.readers) >= maxReaders {
		t.closeReader(now, r.readers[0], "too many readers of one attempt")
	}
	reader := &Reader{record: r, epoch: epoch, next: from, wake: wake}
	r.readers = append(r.readers, reader)
	r.detachedAt = time.Time{}
	return reader
}

// Adopt returns a reader of a held attempt that begins at index from. The
// attempt belongs to the given epoch from then on. The error is an *Error.
func (t *Table) Adopt(now time.Time, key id.Request, epoch id.Epoch, attempt id.Attempt, from id.TokenIndex,
	wake func()) (*Reader, error) {
	const op = "Table.Adopt"
	if epoch == 0 || attempt == 0 {
		return nil, fault.New(op, Invalid, "epoch is %d and attempt %d, want both from 1", epoch, attempt)
	}
	req, err := t.raiseEpoch(now, key, epoch)
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

// Cancel cancels the request's attempts whose number is lower than below, or all
// of them if below is 0, and returns how many were running. The error is an
// *Error.
func (t *Table) Cancel(now time.Time, key id.Request, epoch id.Epoch, below id.Attempt) (int, error) {
	if epoch == 0 {
		return 0, fault.New("Table.Cancel", Invalid, "epoch is 0")
	}
	req, err := t.raiseEpoch(now, key, epoch)
	if err != nil {
		return 0, err
	}
	if below == 0 {
		below = req.highest() + 1
	}
	req.minAttempt = max(req.minAttempt, below)
	n := t.stopAll(now, req, func(r *Record) bool { return r.Attempt < below }, "the owner cancelled it")
	return n, nil
}

// Find returns the held attempts of a request, the newest first and with at most
// maxTokens tokens in total, and the highest known epoch of the request. A
// non-zero epoch fences older ones. If epoch is fenced itself, no attempts are
// returned.
func (t *Table) Find(now time.Time, key id.Request, epoch id.Epoch, maxTokens int) ([]FoundAttempt, id.Epoch) {
	req := t.requests[key]
	if epoch != 0 {
		var err error
		if req, err = t.raiseEpoch(now, key, epoch); err != nil {
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

// raiseEpoch raises the request's epoch to epoch and returns the request's state.
// It returns an error of kind Fenced if a higher epoch is known.
func (t *Table) raiseEpoch(now time.Time, key id.Request, epoch id.Epoch) (*requestState, error) {
	req := t.requests[key]
	if req == nil {
		req = &requestState{epoch: epoch}
		t.requests[key] = req
	}
	if epoch < req.epoch {
		return nil, fault.New("Table.raiseEpoch", Fenced, "epoch %d is older than %d", epoch, req.epoch)
	}
	req.lastUsed = now
	if epoch == req.epoch {
		return req, nil
	}
	req.epoch, req.newest, req.minAttempt = epoch, 0, 0
	for _, r := range req.records {
		for _, reader := range slices.Clone(r.readers) {
			t.closeReader(now, reader, "a newer owner is known")
		}
	}
	return req, nil
}

// closeReader closes a reader with a refusal of kind Fenced.
func (t *Table) closeReader(now time.Time, reader *Reader, detail string) {
	r := reader.record
	reader.refusal = &Refusal{Kind: Fenced, Detail: detail, Started: r.started()}
	r.detach(now, reader)
	reader.wake()
}

func (req *requestState) find(attempt id.Attempt) *Record {
	for _, r := range slices.Backward(req.records) {
		if r.Attempt == attempt {
			return r
		}
	}
	return nil
}

// highest returns the highest known attempt number.
func (req *requestState) highest() id.Attempt {
	last := req.newest
	for _, r := range req.records {
		last = max(last, r.Attempt)
	}
	return last
}

// admissionClass returns the class with which an attempt is admitted. An answer
// that resumes after a loss and prefers latency may use the headroom reserved
// for short requests.
func admissionClass(s *generation.Spec, prefix int) generation.Class {
	if prefix > 0 && s.Prefer == generation.PreferLatency {
		return generation.Short
	}
	return s.Class
}
