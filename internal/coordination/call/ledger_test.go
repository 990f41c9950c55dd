package call_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/call"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	order id.Request     = "ans-00000000-aa"
	now   id.Incarnation = 1000
	past  id.Incarnation = 900
)

var begin = time.Unix(1_800_000_000, 0)

func newLedger() *call.Ledger {
	return call.NewLedger(now, call.Limits{Retention: 10 * time.Minute, ReplyBytes: 4 << 10, Records: 3})
}

func done(body string) call.Result {
	return call.Result{Outcome: call.Done, Reply: &answer.Reply{Status: 200, Body: []byte(body)}}
}

// steps are the messages and events that can meet in a ledger.
type steps struct {
	ledger     *call.Ledger
	dispatched int
	// words are what entries were told, in order.
	words []call.Outcome
}

func (s *steps) call(claimed id.Incarnation) *call.Record {
	r, _ := s.ledger.Open(order, claimed)
	return r
}

func (s *steps) dispatch(r *call.Record) {
	if s.ledger.Dispatch(r) {
		s.dispatched++
	}
}

func (s *steps) fence(claimed id.Incarnation) call.Outcome {
	word, _ := s.ledger.Fence(begin, order, claimed)
	s.words = append(s.words, word.Outcome)
	return word.Outcome
}

// TestLedgerCases goes through the cases of docs/design/target-process.md.
func TestLedgerCases(t *testing.T) {
	tests := []struct {
		name string
		run  func(s *steps)
		want []call.Outcome
		// dispatched is how often the service got the call.
		dispatched int
	}{
		{"entry died before its call left", func(s *steps) { s.fence(now) }, []call.Outcome{call.NotRun}, 0},
		{"call arrives after its fence", func(s *steps) {
			s.fence(now)
			r := s.call(now)
			s.dispatch(r)
			s.words = append(s.words, r.Result().Outcome)
		}, []call.Outcome{call.NotRun, call.NotRun}, 0},
		{"fence while the call waits for a slot", func(s *steps) {
			r := s.call(now)
			s.fence(now)
			s.dispatch(r)
			s.words = append(s.words, r.Result().Outcome)
		}, []call.Outcome{call.NotRun, call.NotRun}, 0},
		{"fence while the service has it", func(s *steps) {
			s.dispatch(s.call(now))
			s.fence(now)
		}, []call.Outcome{call.Unknown}, 1},
		{"fence after the reply was lost", func(s *steps) {
			r := s.call(now)
			s.dispatch(r)
			s.ledger.End(begin, r, done("ok"))
			s.fence(now)
		}, []call.Outcome{call.Done}, 1},
		{"service died with the call", func(s *steps) {
			r := s.call(now)
			s.dispatch(r)
			s.ledger.End(begin, r, call.Result{Outcome: call.Unknown})
			s.fence(now)
			s.dispatch(s.call(now))
		}, []call.Outcome{call.Unknown}, 1},
		{"service was not reached", func(s *steps) {
			r := s.call(now)
			s.dispatch(r)
			s.ledger.End(begin, r, call.Result{Outcome: call.NotRun})
			s.fence(now)
			s.dispatch(s.call(now))
		}, []call.Outcome{call.NotRun}, 1},
		{"call sent twice", func(s *steps) {
			first, second := s.call(now), s.call(now)
			s.dispatch(first)
			s.dispatch(second)
			s.ledger.End(begin, first, done("ok"))
			s.words = append(s.words, second.Result().Outcome)
		}, []call.Outcome{call.Done}, 1},
		{"late end after another word", func(s *steps) {
			r := s.call(now)
			s.dispatch(r)
			s.ledger.End(begin, r, call.Result{Outcome: call.Unknown})
			s.ledger.End(begin, r, done("late"))
			s.fence(now)
		}, []call.Outcome{call.Unknown}, 1},
		{"process restarted since the claim, then a fence", func(s *steps) { s.fence(past) }, []call.Outcome{call.Unknown}, 0},
		{"process restarted since the claim, then the call", func(s *steps) {
			r := s.call(past)
			s.dispatch(r)
			s.words = append(s.words, r.Result().Outcome)
		}, []call.Outcome{call.NotRun}, 0},
		{"a refused call of an old claim proves nothing later", func(s *steps) {
			s.dispatch(s.call(past))
			s.fence(past)
		}, []call.Outcome{call.Unknown}, 0},
		{"fence without a claim", func(s *steps) { s.fence(0) }, []call.Outcome{call.Unknown}, 0},
		{"call without a claim, sent twice", func(s *steps) {
			s.dispatch(s.call(0))
			s.dispatch(s.call(0))
			s.fence(0)
		}, []call.Outcome{call.Unknown}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := &steps{ledger: newLedger()}
			tt.run(s)
			is.Equal(s.words, tt.want)
			is.Equal(s.dispatched, tt.dispatched)
		})
	}
}

// TestLedgerInterleavings runs a call, its duplicate, a fence, the dispatches
// and the end in every order that can be, and holds that the service gets the
// call at most once and not at all once it was said not to run.
func TestLedgerInterleavings(t *testing.T) {
	is := is.New(t)
	for _, sequence := range permutations([]int{0, 1, 2, 3, 4, 5, 6}) {
		s := &steps{ledger: newLedger()}
		var first, second *call.Record
		saidNotRun := false
		for _, event := range sequence {
			switch event {
			case 0:
				first = s.call(now)
			case 1:
				second = s.call(now)
			case 2, 3:
				if r := []*call.Record{first, second}[event-2]; r != nil {
					s.dispatch(r)
				}
			case 4, 5:
				saidNotRun = s.fence(now) == call.NotRun || saidNotRun
			case 6:
				if first != nil && first.State() == call.Running {
					s.ledger.End(begin, first, done("ok"))
				}
			}
			is.True(s.dispatched <= 1)                // at most once
			is.True(!saidNotRun || s.dispatched == 0) // notRun is true
		}
	}
}

func permutations(items []int) [][]int {
	if len(items) <= 1 {
		return [][]int{slices.Clone(items)}
	}
	var out [][]int
	for i := range items {
		rest := slices.Delete(slices.Clone(items), i, i+1)
		for _, p := range permutations(rest) {
			out = append(out, append([]int{items[i]}, p...))
		}
	}
	return out
}

func TestLedgerDropsReplies(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	finish := func(request id.Request) *call.Record {
		r, _ := l.Open(request, now)
		l.Dispatch(r)
		l.End(begin, r, done(string(make([]byte, 1000))))
		return r
	}
	held := finish("ans-00000000-00")
	finish("ans-00000000-01")
	finish("ans-00000000-02")
	is.True(l.Bytes() <= 4<<10)
	word, _ := l.Fence(begin, "ans-00000000-00", now)
	is.Equal(word.Outcome, call.Unknown) // it ran, and its reply made room
	is.Equal(held.Result().Outcome, call.Done)
	r, isNew := l.Open("ans-00000000-00", now)
	is.True(!isNew && !l.Dispatch(r)) // it never runs again
	word, _ = l.Fence(begin, "ans-00000000-02", now)
	is.Equal(word.Outcome, call.Done)
	l.Sweep(begin.Add(10 * time.Minute))
	is.Equal(l.Bytes(), 0)
}

func TestLedgerRotate(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	l.Dispatch(first(l.Open(order, now)))
	is.True(!l.Rotate(2000)) // it is not full
	fill := func(claimed id.Incarnation) {
		for _, request := range []id.Request{"ans-00000000-01", "ans-00000000-02", "ans-00000000-03"} {
			r, _ := l.Open(request, claimed)
			l.Dispatch(r)
			l.End(begin, r, done("ok"))
		}
	}
	fill(now)
	is.True(!l.Rotate(now)) // an incarnation must be new
	is.True(l.Rotate(2000))
	is.Equal(l.Incarnation(), id.Incarnation(2000))
	r, isNew := l.Open(order, now)
	is.True(!isNew && !l.Dispatch(r)) // what runs is still known
	word, running := l.Fence(begin, order, now)
	is.Equal(word.Outcome, call.Unknown)
	is.True(running == r)
	unseen, _ := l.Fence(begin, "ans-00000000-ff", now)
	is.Equal(unseen.Outcome, call.NotRun) // all of the previous incarnation is known
	is.True(!l.Dispatch(first(l.Open("ans-00000000-ff", now))))
	for _, request := range []id.Request{"ans-00000000-11", "ans-00000000-12", "ans-00000000-13"} {
		l.End(begin, first(l.Open(request, 2000)), done("ok"))
	}
	is.True(!l.Rotate(3000)) // a call of the incarnation before still runs
	l.End(begin, r, done("ok"))
	is.True(l.Rotate(3000))
	word, _ = l.Fence(begin, order, now)
	is.Equal(word.Outcome, call.Unknown) // forgotten, so nothing is proved
	is.True(!l.Dispatch(first(l.Open(order, now))))
	is.Equal(l.Len(), 3)
}

func first(r *call.Record, _ bool) *call.Record { return r }
