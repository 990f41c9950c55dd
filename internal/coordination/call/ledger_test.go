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
	callID  id.Request     = "ans-00000000-aa"
	current id.Incarnation = 1000
	earlier id.Incarnation = 900
)

var begin = time.Unix(1_800_000_000, 0)

func newLedger() *call.Ledger {
	return call.NewLedger(current, call.Limits{Retention: 10 * time.Minute, ReplyBytes: 4 << 10, Records: 3})
}

func done(body string) call.Result {
	return call.Result{Outcome: call.Done, Reply: &answer.Reply{Status: 200, Body: []byte(body)}}
}

// scenario applies messages and events to a ledger and records the results.
type scenario struct {
	ledger     *call.Ledger
	dispatched int
	// outcomes are the outcomes reported to entries, in order.
	outcomes []call.Outcome
}

func (s *scenario) call(claimed id.Incarnation) *call.Record {
	r, _ := s.ledger.Open(callID, claimed)
	return r
}

func (s *scenario) dispatch(r *call.Record) {
	if s.ledger.Dispatch(r) {
		s.dispatched++
	}
}

func (s *scenario) fence(claimed id.Incarnation) call.Outcome {
	result, _ := s.ledger.Fence(begin, callID, claimed)
	s.outcomes = append(s.outcomes, result.Outcome)
	return result.Outcome
}

// TestLedgerCases covers the cases of docs/design/target-process.md.
func TestLedgerCases(t *testing.T) {
	tests := []struct {
		name string
		run  func(s *scenario)
		want []call.Outcome
		// dispatched is how often the call was sent to the service.
		dispatched int
	}{
		{"entry crashed before sending its call", func(s *scenario) { s.fence(current) }, []call.Outcome{call.NotRun}, 0},
		{"call arrives after its fence", func(s *scenario) {
			s.fence(current)
			r := s.call(current)
			s.dispatch(r)
			s.outcomes = append(s.outcomes, r.Result().Outcome)
		}, []call.Outcome{call.NotRun, call.NotRun}, 0},
		{"fence while the call waits for a slot", func(s *scenario) {
			r := s.call(current)
			s.fence(current)
			s.dispatch(r)
			s.outcomes = append(s.outcomes, r.Result().Outcome)
		}, []call.Outcome{call.NotRun, call.NotRun}, 0},
		{"fence while the service runs the call", func(s *scenario) {
			s.dispatch(s.call(current))
			s.fence(current)
		}, []call.Outcome{call.Unknown}, 1},
		{"fence after the reply was lost", func(s *scenario) {
			r := s.call(current)
			s.dispatch(r)
			s.ledger.End(begin, r, done("ok"))
			s.fence(current)
		}, []call.Outcome{call.Done}, 1},
		{"service crashed while running the call", func(s *scenario) {
			r := s.call(current)
			s.dispatch(r)
			s.ledger.End(begin, r, call.Result{Outcome: call.Unknown})
			s.fence(current)
			s.dispatch(s.call(current))
		}, []call.Outcome{call.Unknown}, 1},
		{"service was not reachable", func(s *scenario) {
			r := s.call(current)
			s.dispatch(r)
			s.ledger.End(begin, r, call.Result{Outcome: call.NotRun})
			s.fence(current)
			s.dispatch(s.call(current))
		}, []call.Outcome{call.NotRun}, 1},
		{"call sent twice", func(s *scenario) {
			first, second := s.call(current), s.call(current)
			s.dispatch(first)
			s.dispatch(second)
			s.ledger.End(begin, first, done("ok"))
			s.outcomes = append(s.outcomes, second.Result().Outcome)
		}, []call.Outcome{call.Done}, 1},
		{"late end after another result", func(s *scenario) {
			r := s.call(current)
			s.dispatch(r)
			s.ledger.End(begin, r, call.Result{Outcome: call.Unknown})
			s.ledger.End(begin, r, done("late"))
			s.fence(current)
		}, []call.Outcome{call.Unknown}, 1},
		{"process restarted since the claim, then a fence", func(s *scenario) { s.fence(earlier) }, []call.Outcome{call.Unknown}, 0},
		{"process restarted since the claim, then the call", func(s *scenario) {
			r := s.call(earlier)
			s.dispatch(r)
			s.outcomes = append(s.outcomes, r.Result().Outcome)
		}, []call.Outcome{call.NotRun}, 0},
		{"a refused call of an old claim proves nothing later", func(s *scenario) {
			s.dispatch(s.call(earlier))
			s.fence(earlier)
		}, []call.Outcome{call.Unknown}, 0},
		{"fence without a claim", func(s *scenario) { s.fence(0) }, []call.Outcome{call.Unknown}, 0},
		{"call without a claim, sent twice", func(s *scenario) {
			s.dispatch(s.call(0))
			s.dispatch(s.call(0))
			s.fence(0)
		}, []call.Outcome{call.Unknown}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := &scenario{ledger: newLedger()}
			tt.run(s)
			is.Equal(s.outcomes, tt.want)
			is.Equal(s.dispatched, tt.dispatched)
		})
	}
}

// TestLedgerInterleavings runs a call, its duplicate, their dispatches, two fences and the
// end of the call in every order. It checks that the service gets the call at most once,
// and not at all if NotRun was reported.
func TestLedgerInterleavings(t *testing.T) {
	is := is.New(t)
	for _, sequence := range permutations([]int{0, 1, 2, 3, 4, 5, 6}) {
		s := &scenario{ledger: newLedger()}
		var first, second *call.Record
		reportedNotRun := false
		for _, event := range sequence {
			switch event {
			case 0:
				first = s.call(current)
			case 1:
				second = s.call(current)
			case 2, 3:
				if r := []*call.Record{first, second}[event-2]; r != nil {
					s.dispatch(r)
				}
			case 4, 5:
				reportedNotRun = s.fence(current) == call.NotRun || reportedNotRun
			case 6:
				if first != nil && first.State() == call.Running {
					s.ledger.End(begin, first, done("ok"))
				}
			}
			is.True(s.dispatched <= 1)                    // sent at most once
			is.True(!reportedNotRun || s.dispatched == 0) // NotRun was reported correctly
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
		r, _ := l.Open(request, current)
		l.Dispatch(r)
		l.End(begin, r, done(string(make([]byte, 1000))))
		return r
	}
	held := finish("ans-00000000-00")
	finish("ans-00000000-01")
	finish("ans-00000000-02")
	is.True(l.Bytes() <= 4<<10)
	result, _ := l.Fence(begin, "ans-00000000-00", current)
	is.Equal(result.Outcome, call.Unknown) // it ran, and its reply was dropped to stay within ReplyBytes
	is.Equal(held.Result().Outcome, call.Done)
	r, isNew := l.Open("ans-00000000-00", current)
	is.True(!isNew && !l.Dispatch(r)) // it is not sent again
	result, _ = l.Fence(begin, "ans-00000000-02", current)
	is.Equal(result.Outcome, call.Done)
	l.Sweep(begin.Add(10 * time.Minute))
	is.Equal(l.Bytes(), 0)
}

func TestLedgerRotate(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	l.Dispatch(first(l.Open(callID, current)))
	is.True(!l.Rotate(2000)) // the ledger is not full
	fill := func(claimed id.Incarnation) {
		for _, request := range []id.Request{"ans-00000000-01", "ans-00000000-02", "ans-00000000-03"} {
			r, _ := l.Open(request, claimed)
			l.Dispatch(r)
			l.End(begin, r, done("ok"))
		}
	}
	fill(current)
	is.True(!l.Rotate(current)) // the new incarnation must be higher
	is.True(l.Rotate(2000))
	is.Equal(l.Incarnation(), id.Incarnation(2000))
	r, isNew := l.Open(callID, current)
	is.True(!isNew && !l.Dispatch(r)) // a running call is still recorded
	result, running := l.Fence(begin, callID, current)
	is.Equal(result.Outcome, call.Unknown)
	is.True(running == r)
	unseen, _ := l.Fence(begin, "ans-00000000-ff", current)
	is.Equal(unseen.Outcome, call.NotRun) // all calls of the previous incarnation are recorded
	is.True(!l.Dispatch(first(l.Open("ans-00000000-ff", current))))
	for _, request := range []id.Request{"ans-00000000-11", "ans-00000000-12", "ans-00000000-13"} {
		l.End(begin, first(l.Open(request, 2000)), done("ok"))
	}
	is.True(!l.Rotate(3000)) // a call of the previous incarnation still runs
	l.End(begin, r, done("ok"))
	is.True(l.Rotate(3000))
	result, _ = l.Fence(begin, callID, current)
	is.Equal(result.Outcome, call.Unknown) // its record was dropped, so nothing is proved
	is.True(!l.Dispatch(first(l.Open(callID, current))))
	is.Equal(l.Len(), 3)
}

func first(r *call.Record, _ bool) *call.Record { return r }
