// Package continuity decides whether the events of a stream's next run go on where the
// forwarded ones ended.
//
// The ids of a stream's events increase, but nothing says by how much. Where all ids within its
// runs are the same step apart, that step is the evidence: a resumption must go on with the next
// id, or repeat the last forwarded event first. Where the ids grow irregularly, or are no numbers,
// nothing is known, and every later id fits.
//
// # Usage
//
//	s := continuity.New(lastEventID)
//	s.BeginRun()
//	switch s.Judge(eventID) {
//	case continuity.Next: // forward it, then s.Forwarded(eventID)
//	case continuity.Repeated: // drop it
//	case continuity.Skips: // give the run up
//	}
//	if !s.EndFits() { … }
package continuity

import "strconv"

// Verdict says how an event fits the events before it.
type Verdict string

// Verdicts.
const (
	// Next means that the event may be forwarded.
	Next Verdict = "next"
	// Repeated means that the client already has the event.
	Repeated Verdict = "repeated"
	// Skips means that events are missing before it, or that one can't tell.
	Skips Verdict = "skips"
)

// eventID is an id of an event.
type eventID struct {
	text string
	// number is the id if numbered is set.
	number   int64
	numbered bool
}

func parse(text string) eventID {
	n, err := strconv.ParseInt(text, 10, 64)
	return eventID{text: text, number: n, numbered: err == nil}
}

// Stream tracks the events of one stream over all its runs.
type Stream struct {
	// last is the last event with an id that the client has; without a text there is none.
	last eventID
	// begun says that events were forwarded, and unmarked that the last one has no id.
	begun    bool
	unmarked bool
	// step is the distance of ids within runs; 0 while none is known. irregular is set once two
	// distances differ.
	step      int64
	irregular bool
	// joins is set while a run has to show that it goes on after last. repeats says that its
	// last event was dropped, and repeatsLast that this was the event last.
	joins                bool
	repeats, repeatsLast bool
	// forwarded says that events of this run were forwarded.
	forwarded bool
}

// New returns a Stream of which the client has the events up to the one with the id; it is
// empty if the client has none. A client that goes on with a stream joins its parts itself.
func New(lastEventID string) *Stream { return &Stream{last: parse(lastEventID)} }

// BeginRun records that the next event is the first one of another run.
func (s *Stream) BeginRun() {
	s.joins, s.repeats, s.repeatsLast, s.forwarded = s.begun, false, false, false
}

// Joins reports whether the run has yet to show that it goes on after the client's last event.
func (s *Stream) Joins() bool { return s.joins }

// Resumable reports whether a run after the last event can be told from a repetition.
func (s *Stream) Resumable() bool { return !s.unmarked }

// Judge returns how the next event of the run fits. The empty text stands for no id.
func (s *Stream) Judge(text string) Verdict {
	next := parse(text)
	if next.numbered && s.last.numbered && next.number <= s.last.number {
		s.repeats, s.repeatsLast = true, next.number == s.last.number
		return Repeated
	}
	if s.joins && !s.goesOn(next) {
		return Skips
	}
	return Next
}

// goesOn reports whether a run that has to join may do so with the event.
func (s *Stream) goesOn(next eventID) bool {
	switch {
	case next.text == "" || next.numbered != s.last.numbered:
		return false
	case !next.numbered || s.step == 0 || s.irregular:
		return true
	}
	return s.repeatsLast || next.number-s.last.number == s.step
}

// Forwarded records that the client got an event.
func (s *Stream) Forwarded(text string) {
	next := parse(text)
	if s.forwarded && !s.unmarked && next.text != "" {
		s.observeStep(next)
	}
	s.begun, s.forwarded, s.joins, s.unmarked = true, true, false, text == ""
	if text != "" {
		s.last = next
	}
}

// observeStep records the distance between two events that follow each other in a run.
func (s *Stream) observeStep(next eventID) {
	step := next.number - s.last.number
	switch {
	case !next.numbered || !s.last.numbered || (s.step != 0 && s.step != step):
		s.irregular = true
	case s.step == 0:
		s.step = step
	}
}

// EndFits reports whether the run may end here. One that repeats the stream from the beginning
// must not end before the last event that the client has.
func (s *Stream) EndFits() bool {
	return s.forwarded || !s.repeats || s.repeatsLast
}
