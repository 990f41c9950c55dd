package attempt_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/admission"
	"foxtailward.example/foxtailward/internal/coordination/attempt"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

const requestID id.Request = "ans-00000000-0123456789abcdef"

var startTime = time.Unix(1_800_000_000, 0)

func limits() attempt.Limits {
	return attempt.Limits{
		Capacity:    admission.Capacity{Slots: 4, QueueSize: 4, HeadroomShare: 0.1},
		Retention:   10 * time.Minute,
		OrphanGrace: 30 * time.Second,
		LogBytes:    1 << 20,
	}
}

func spec() *generation.Spec {
	return &generation.Spec{
		Request: requestID, Model: "report", Version: "v1", Lineage: "l1", Class: generation.Standard,
		Prefer: generation.PreferLatency, MaxTokens: 100, Prompt: "a prompt",
	}
}

// fixture is a table whose attempts are admitted as soon as possible.
type fixture struct {
	*attempt.Table
	is      *is.I
	stopped []id.Attempt
}

func newFixture(t *testing.T, l attempt.Limits) *fixture {
	return &fixture{Table: attempt.NewTable(l), is: is.New(t)}
}

func (f *fixture) admit(now time.Time) []*attempt.Record {
	admitted := f.Admit(now)
	for _, r := range admitted {
		r.Stop = func() { f.stopped = append(f.stopped, r.Attempt) }
	}
	return admitted
}

func (f *fixture) start(now time.Time, epoch id.Epoch, number id.Attempt) *attempt.Reader {
	f.is.Helper()
	reader, err := f.Start(now, attempt.StartRequest{Spec: spec(), Epoch: epoch, Attempt: number}, func() {})
	f.is.NoErr(err)
	f.admit(now)
	return reader
}

func (f *fixture) refused(err error, kind attempt.Kind) {
	f.is.Helper()
	f.is.True(err != nil)          // the operation is refused
	f.is.True(fault.Is(err, kind)) // with this kind
}

// read reads everything that is available to a reader now.
func (f *fixture) read(reader *attempt.Reader) ([]generation.Token, attempt.Part) {
	var tokens []generation.Token
	for {
		part := f.Read(reader, make([]generation.Token, 0, 3))
		tokens = append(tokens, part.Tokens...)
		if len(part.Tokens) < 3 || part.Finish != nil || part.Refusal != nil {
			return tokens, part
		}
	}
}

func (f *fixture) append(r *attempt.Record, from, to int) {
	for i := from; i < to; i++ {
		f.Append(r, tokenAt(i))
	}
}

func TestStartJoins(t *testing.T) {
	f := newFixture(t, limits())
	first := f.start(startTime, 1, 1)
	f.append(first.Record(), 0, 5)
	second := f.start(startTime, 1, 1)
	f.is.True(first.Record() == second.Record()) // no second attempt is created
	f.is.Equal(f.Queue().Running(), 1)
	tokens, _ := f.read(second)
	f.is.Equal(len(tokens), 5) // the second reader begins at the start
	f.is.Equal(tokens[0], tokenAt(0))
	f.Finish(startTime, first.Record(), generation.Stop, attempt.Usage{})
	third := f.start(startTime, 1, 1) // also after the attempt's end
	tokens, part := f.read(third)
	f.is.Equal(len(tokens), 5)
	f.is.Equal(part.Finish.TokenCount, id.TokenIndex(5))
	other := spec()
	other.Seed = 9
	_, err := f.Start(startTime, attempt.StartRequest{Spec: other, Epoch: 1, Attempt: 1}, func() {})
	f.refused(err, attempt.Mismatch)
}

func TestStartAfterPrefix(t *testing.T) {
	f := newFixture(t, limits())
	prefix := []generation.Token{tokenAt(0), tokenAt(1)}
	reader, err := f.Start(startTime, attempt.StartRequest{Spec: spec(), Epoch: 1, Attempt: 2, Prefix: prefix}, func() {})
	f.is.NoErr(err)
	r := f.admit(startTime)[0]
	f.is.Equal(r.Log.IDs(), []uint32{1000, 1001})
	f.append(r, 2, 4)
	f.Finish(startTime, r, generation.Stop, attempt.Usage{PromptTokens: 5, Cached: 4})
	part := f.Read(reader, make([]generation.Token, 0, 9))
	f.is.Equal(part.First, id.TokenIndex(2)) // indexes count the prefix
	f.is.Equal(part.Tokens, []generation.Token{tokenAt(2), tokenAt(3)})
	want := generation.ChecksumOf([]generation.Token{tokenAt(0), tokenAt(1), tokenAt(2), tokenAt(3)})
	f.is.Equal(*part.Finish, generation.Finish{
		Reason: generation.Stop, TokenCount: 4, Checksum: want, PromptTokens: 5, CachedTokens: 4, PrefilledTokens: 3, DecodedTokens: 2,
	})
	adopter, err := f.Adopt(startTime, requestID, 1, 2, 0, func() {})
	f.is.NoErr(err)
	tokens, _ := f.read(adopter)
	f.is.Equal(len(tokens), 4) // a reader from index 0 gets the prefix too
}

// TestStartComplete checks that an answer whose engine failed between its last
// token and its finish is finished without an engine, also by a target that
// accepts no new work.
func TestStartComplete(t *testing.T) {
	f := newFixture(t, limits())
	f.Drain()
	complete := spec()
	complete.MaxTokens = 2
	prefix := []generation.Token{tokenAt(0), tokenAt(1)}
	reader, err := f.Start(startTime, attempt.StartRequest{Spec: complete, Epoch: 1, Attempt: 2, Prefix: prefix}, func() {})
	f.is.NoErr(err)
	f.is.Equal(len(f.admit(startTime)), 0)
	tokens, part := f.read(reader)
	f.is.Equal(len(tokens), 0)
	f.is.Equal(part.Finish.Reason, generation.Length)
	f.is.Equal(part.Finish.TokenCount, id.TokenIndex(2))
	f.is.Equal(part.Finish.Checksum, generation.ChecksumOf(prefix))
	f.is.Equal(part.Finish.PrefilledTokens+part.Finish.DecodedTokens, 0) // nothing is computed
	_, err = f.Start(startTime, attempt.StartRequest{Spec: complete, Epoch: 1, Attempt: 3, Prefix: append(prefix, tokenAt(2))}, func() {})
	f.refused(err, attempt.Invalid)
}

func TestNewerAttemptStopsOlder(t *testing.T) {
	f := newFixture(t, limits())
	older := f.start(startTime, 1, 1)
	f.start(startTime, 1, 2)
	f.is.Equal(f.stopped, []id.Attempt{1}) // its work at the engine is cancelled
	f.is.Equal(f.Queue().Running(), 1)
	f.is.True(!f.Append(older.Record(), tokenAt(0))) // a late token is dropped
	_, part := f.read(older)
	f.is.Equal(part.Refusal.Kind, attempt.Cancelled)
	_, err := f.Start(startTime, attempt.StartRequest{Spec: spec(), Epoch: 1, Attempt: 1, Prefix: []generation.Token{tokenAt(0)}}, func() {})
	f.refused(err, attempt.Mismatch)
	f3 := newFixture(t, limits())
	f3.start(startTime, 1, 3)
	_, err = f3.Start(startTime, attempt.StartRequest{Spec: spec(), Epoch: 1, Attempt: 2}, func() {})
	f3.refused(err, attempt.Fenced) // a delayed start of an older attempt
}

func TestEpochFences(t *testing.T) {
	messages := map[string]func(f *fixture) error{
		"start": func(f *fixture) error {
			_, err := f.Start(startTime, attempt.StartRequest{Spec: spec(), Epoch: 2, Attempt: 2}, func() {})
			return err
		},
		"adopt": func(f *fixture) error {
			_, err := f.Adopt(startTime, requestID, 2, 1, 0, func() {})
			return err
		},
		"cancel": func(f *fixture) error {
			_, err := f.Cancel(startTime, requestID, 2, 1)
			return err
		},
		"find": func(f *fixture) error {
			f.Find(startTime, requestID, 2, 100)
			return nil
		},
	}
	for name, message := range messages {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, limits())
			old := f.start(startTime, 1, 1)
			f.append(old.Record(), 0, 3)
			part := f.Read(old, make([]generation.Token, 0, 2))
			f.is.Equal(len(part.Tokens), 2)
			f.is.NoErr(message(f))
			_, part = f.read(old)
			f.is.Equal(part.Refusal.Kind, attempt.Fenced) // the old reader is closed in mid-stream
			f.is.Equal(len(part.Tokens), 0)               // and gets no further token
			_, err := f.Start(startTime, attempt.StartRequest{Spec: spec(), Epoch: 1, Attempt: 9}, func() {})
			f.refused(err, attempt.Fenced)
			_, err = f.Adopt(startTime, requestID, 1, 1, 0, func() {})
			f.refused(err, attempt.Fenced)
			_, err = f.Cancel(startTime, requestID, 1, 0)
			f.refused(err, attempt.Fenced)
			found, epoch := f.Find(startTime, requestID, 1, 100)
			f.is.Equal(len(found), 0)
			f.is.Equal(epoch, id.Epoch(2)) // the old owner learns the newer epoch
		})
	}
}

// TestFindFencesUnknownRequest checks that Find fences older epochs also for a
// request that the table does not know yet: the old owner's start may arrive
// later.
func TestFindFencesUnknownRequest(t *testing.T) {
	f := newFixture(t, limits())
	found, _ := f.Find(startTime, requestID, 3, 100)
	f.is.Equal(len(found), 0)
	_, err := f.Start(startTime, attempt.StartRequest{Spec: spec(), Epoch: 2, Attempt: 1}, func() {})
	f.refused(err, attempt.Fenced)
	f.Sweep(startTime.Add(10 * time.Minute))
	_, epoch := f.Find(startTime, requestID, 0, 100)
	f.is.Equal(epoch, id.Epoch(0)) // removed after the retention
}

func TestAdopt(t *testing.T) {
	f := newFixture(t, limits())
	first := f.start(startTime, 1, 1)
	f.append(first.Record(), 0, 10)
	reader, err := f.Adopt(startTime, requestID, 2, 1, 7, func() {})
	f.is.NoErr(err)
	part := f.Read(reader, make([]generation.Token, 0, 10))
	f.is.Equal(part.First, id.TokenIndex(7))
	f.is.Equal(len(part.Tokens), 3)
	f.append(first.Record(), 10, 12)
	part = f.Read(reader, make([]generation.Token, 0, 10))
	f.is.Equal(part.First, id.TokenIndex(10)) // the reader continues from there
	_, err = f.Adopt(startTime, requestID, 2, 7, 0, func() {})
	f.refused(err, attempt.UnknownAttempt)
	_, err = f.Adopt(startTime, requestID, 2, 1, 13, func() {})
	f.refused(err, attempt.Mismatch)
	found, epoch := f.Find(startTime, requestID, 0, 4)
	f.is.Equal(epoch, id.Epoch(2))
	f.is.Equal(found[0].State, attempt.Running)
	f.is.Equal(found[0].Next, id.TokenIndex(12))
	f.is.Equal(len(found[0].Tokens), 4) // limited by maxTokens
	f.is.Equal(len(f.stopped), 0)
}

func TestCancel(t *testing.T) {
	f := newFixture(t, limits())
	f.start(startTime, 1, 2)
	n, err := f.Cancel(startTime, requestID, 1, 2)
	f.is.NoErr(err)
	f.is.Equal(n, 0) // attempt 2 is not below 2
	n, err = f.Cancel(startTime, requestID, 1, 0)
	f.is.NoErr(err)
	f.is.Equal(n, 1)
	f.is.Equal(f.stopped, []id.Attempt{2})
	_, err = f.Start(startTime, attempt.StartRequest{Spec: spec(), Epoch: 1, Attempt: 1}, func() {})
	f.refused(err, attempt.Fenced) // a start that arrives after the cancel
}

func TestOrphan(t *testing.T) {
	f := newFixture(t, limits())
	reader := f.start(startTime, 1, 1)
	f.is.True(f.Detach(startTime, reader))
	f.is.Equal(len(f.Sweep(startTime.Add(29*time.Second))), 0)
	f.is.True(f.Append(reader.Record(), tokenAt(0))) // the attempt continues
	again, err := f.Adopt(startTime.Add(29*time.Second), requestID, 2, 1, 0, func() {})
	f.is.NoErr(err)
	f.is.Equal(len(f.Sweep(startTime.Add(60*time.Second))), 0) // the attempt has a reader again
	f.Detach(startTime.Add(60*time.Second), again)
	f.is.Equal(len(f.Sweep(startTime.Add(90*time.Second))), 1) // the grace has passed
	f.is.Equal(f.stopped, []id.Attempt{1})
	found, _ := f.Find(startTime.Add(90*time.Second), requestID, 0, 100)
	f.is.Equal(found[0].State, attempt.Failed)
	f.is.Equal(len(found[0].Tokens), 1) // its tokens are kept
}

func TestRetention(t *testing.T) {
	f := newFixture(t, limits())
	reader := f.start(startTime, 1, 1)
	f.append(reader.Record(), 0, 10)
	f.Finish(startTime, reader.Record(), generation.Stop, attempt.Usage{})
	f.Detach(startTime, reader)
	f.Sweep(startTime.Add(599 * time.Second))
	_, err := f.Adopt(startTime.Add(599*time.Second), requestID, 1, 1, 0, func() {})
	f.is.NoErr(err) // kept although it was read to its end
	f.Detach(startTime, reader)
	f2 := newFixture(t, limits())
	reader = f2.start(startTime, 1, 1)
	f2.Finish(startTime, reader.Record(), generation.Stop, attempt.Usage{})
	f2.Detach(startTime, reader)
	f2.Sweep(startTime.Add(600 * time.Second))
	_, err = f2.Adopt(startTime.Add(600*time.Second), requestID, 1, 1, 0, func() {})
	f2.refused(err, attempt.UnknownAttempt)
	f2.is.Equal(f2.Bytes(), 0)
}

func TestMemoryBound(t *testing.T) {
	l := limits()
	l.LogBytes = 64 << 10
	f := newFixture(t, l)
	finish := func(number id.Attempt) *attempt.Reader {
		reader := f.start(startTime, 1, number)
		f.append(reader.Record(), 0, 500)
		f.Finish(startTime, reader.Record(), generation.Stop, attempt.Usage{})
		return reader
	}
	unread := finish(1)
	for number := id.Attempt(2); number < 40; number++ {
		f.Detach(startTime, finish(number))
		f.is.True(f.Bytes() <= l.LogBytes+16<<10) // the limit, plus the attempt that runs
	}
	tokens, part := f.read(unread)
	f.is.Equal(len(tokens), 500) // a log with a reader is not evicted
	f.is.True(part.Finish != nil)
	found, _ := f.Find(startTime, requestID, 0, 0)
	f.is.Equal(found[0].Attempt, id.Attempt(39)) // the oldest are evicted first
	f.is.Equal(found[len(found)-1].Attempt, id.Attempt(1))
	f.is.True(len(found) < 20)
	large := f.start(startTime, 1, 40)
	f.append(large.Record(), 0, 20_000)
	other := spec()
	other.Request = "ans-00000000-aa"
	_, err := f.Start(startTime, attempt.StartRequest{Spec: other, Epoch: 1, Attempt: 1}, func() {})
	f.refused(err, attempt.Busy) // running attempts use all of the memory
}

func TestDrain(t *testing.T) {
	f := newFixture(t, limits())
	reader := f.start(startTime, 1, 1)
	f.Drain()
	other := spec()
	other.Request = "ans-00000000-aa"
	_, err := f.Start(startTime, attempt.StartRequest{Spec: other, Epoch: 1, Attempt: 1}, func() {})
	f.refused(err, attempt.Leaving)
	f.start(startTime, 1, 1) // joining an attempt is not new work
	f.is.Equal(len(f.Pending(startTime.Add(time.Hour))), 1)
	f.Finish(startTime, reader.Record(), generation.Stop, attempt.Usage{})
	f.is.Equal(len(f.Pending(startTime)), 1) // its readers have not read the finish
	f2 := newFixture(t, limits())
	reader = f2.start(startTime, 1, 1)
	f2.Detach(startTime, reader)
	f2.Finish(startTime, reader.Record(), generation.Stop, attempt.Usage{})
	f2.is.Equal(len(f2.Pending(startTime.Add(29*time.Second))), 1) // a new owner may still adopt it
	f2.is.Equal(len(f2.Pending(startTime.Add(30*time.Second))), 0)
	f3 := newFixture(t, limits())
	reader = f3.start(startTime, 1, 1)
	f3.is.Equal(len(f3.AbortAll(startTime)), 1)
	f3.is.Equal(f3.stopped, []id.Attempt{1})
	_, part := f3.read(reader)
	f3.is.Equal(part.Refusal.Kind, attempt.Cancelled) // the reader gets the refusal
	f3.is.True(part.Refusal.Started)
}

func TestSweepDeadline(t *testing.T) {
	l := limits()
	l.Capacity = admission.Capacity{Slots: 1, QueueSize: 4}
	f := newFixture(t, l)
	f.start(startTime, 1, 1)
	late := spec()
	late.Request, late.Deadline = "ans-00000000-aa", startTime.Add(time.Second)
	reader, err := f.Start(startTime, attempt.StartRequest{Spec: late, Epoch: 1, Attempt: 1}, func() {})
	f.is.NoErr(err)
	f.is.Equal(len(f.Sweep(startTime.Add(time.Second))), 0)
	f.is.Equal(len(f.Sweep(startTime.Add(time.Second+1))), 1)
	_, part := f.read(reader)
	f.is.Equal(part.Refusal.Kind, attempt.Deadline)
	f.is.True(!part.Refusal.Started) // which proves that it did not run
	f.is.Equal(f.Queue().Waiting(), 0)
	late = spec()
	late.Request, late.Deadline = "ans-00000000-bb", startTime
	_, err = f.Start(startTime, attempt.StartRequest{Spec: late, Epoch: 1, Attempt: 1}, func() {})
	f.refused(err, attempt.Deadline)
}

// TestTableHeadroom checks that a resumed answer that prefers latency uses the
// headroom at once, and that one that prefers cost waits like new work.
func TestTableHeadroom(t *testing.T) {
	for _, tt := range []struct {
		prefer  generation.Preference
		prefix  int
		waiting int
	}{
		{generation.PreferLatency, 10, 0},
		{generation.PreferLatency, 0, 1},
		{generation.PreferCost, 10, 1},
	} {
		t.Run(fmt.Sprint(tt.prefer, tt.prefix), func(t *testing.T) {
			f := newFixture(t, limits())
			for i, name := range []id.Request{"ans-a", "ans-b", "ans-c", "ans-d"} {
				s := attempt.StartRequest{Spec: spec(), Epoch: 1, Attempt: 1}
				s.Spec.Request = name
				if i == 3 {
					s.Spec.Prefer, s.Prefix = tt.prefer, make([]generation.Token, tt.prefix)
				}
				_, err := f.Start(startTime, s, func() {})
				f.is.NoErr(err)
				f.is.Equal(len(f.admit(startTime)), 1-tt.waiting*(i/3))
			}
		})
	}
}
