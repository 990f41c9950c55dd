package logfile

import (
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/state/event"
)

// Trace is what the lines tell of one request.
type Trace struct {
	Request string `json:"request"`
	// Outcome is the event that ended it, or "unfinished"; Reason is the line's
	// own word for the cause, if it has one.
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	// Attempts are the client's attempts, the earliest first. The last one is the
	// request that was asked for.
	Attempts []Attempt `json:"chapters"`
}

// Attempt is one attempt at one process.
type Attempt struct {
	Request string  `json:"request"`
	Process Process `json:"process"`
	// Lines are those of the attempt, and of what its process believed of the
	// targets and zones that it used, in the order in which they were written.
	Lines Lines `json:"lines"`
}

// unfinished stands for the outcome of a request whose end was not logged.
const unfinished = "unfinished"

const (
	// beliefBefore and beliefAfter are how long before the first and after the
	// last line of an attempt beliefs of its process belong to it.
	beliefBefore = 3 * time.Second
	beliefAfter  = 500 * time.Millisecond
	// mostChapters bounds the attempts that are followed back.
	mostChapters = 10
)

// Trace returns what the lines tell of a request, or false if they do not tell
// of it.
func (l Lines) Trace(request string) (Trace, bool) {
	s := Trace{Request: request}
	told := map[string]bool{}
	for id := request; id != "" && !told[id] && len(s.Attempts) < mostChapters; {
		told[id] = true
		chapters, before := l.chapters(id)
		s.Attempts = append(chapters, s.Attempts...)
		id = before
	}
	if len(s.Attempts) == 0 {
		return s, false
	}
	s.Outcome, s.Reason = s.Attempts[len(s.Attempts)-1].end()
	return s, true
}

// chapters returns a request's chapters, one for each process that logged of it,
// and the attempt whose copy it went on from.
func (l Lines) chapters(request string) (chapters []Attempt, before string) {
	own := l.of(request)
	var processes []Process
	for i := range own {
		if !slices.Contains(processes, own[i].Process) {
			processes = append(processes, own[i].Process)
		}
		if own[i].Event == event.RequestAdopted.Code() {
			before = own[i].Get("handle")
		}
	}
	for _, p := range processes {
		lines := own.by(p)
		lines = append(lines, l.by(p).beliefs(lines)...)
		slices.SortFunc(lines, func(a, b Line) int { return a.Number - b.Number })
		chapters = append(chapters, Attempt{Request: request, Process: p, Lines: lines})
	}
	return chapters, before
}

// of returns the lines about a request.
func (l Lines) of(request string) Lines {
	return l.where(func(line *Line) bool { return line.Get("request") == request })
}

// by returns the lines of a process.
func (l Lines) by(p Process) Lines {
	return l.where(func(line *Line) bool { return line.Process == p })
}

func (l Lines) where(keep func(*Line) bool) Lines {
	var kept Lines
	for i := range l {
		if keep(&l[i]) {
			kept = append(kept, l[i])
		}
	}
	return kept
}

// beliefs returns what the process believed of the targets and zones of an
// attempt's lines, around their times, and the configuration in force then.
func (l Lines) beliefs(attempt Lines) Lines {
	first, last := attempt[0], attempt[len(attempt)-1]
	used := map[string]bool{}
	for i := range attempt {
		used[attempt[i].Get("target")] = true
		used[attempt[i].Get("zone")] = true
	}
	delete(used, "")
	var config *Line
	beliefs := l.where(func(line *Line) bool {
		if line.Event == event.RevisionInForce.Code() && line.Number < first.Number {
			config = line
			return false
		}
		near := !line.At.Before(first.At.Add(-beliefBefore)) && !line.At.After(last.At.Add(beliefAfter))
		return near && line.isBelief(used)
	})
	if config != nil {
		beliefs = append(beliefs, *config)
	}
	return beliefs
}

// isBelief reports whether the line tells a change of what its process believes
// that concerns the targets and zones that are named, or all requests.
func (l *Line) isBelief(used map[string]bool) bool {
	switch l.Event {
	case event.MemberChanged.Code():
		return used[l.Get("target")]
	case event.ZoneLost.Code():
		return used[l.Get("zone")]
	case event.StoreDown.Code(), event.StoreRecovered.Code(), event.StoreSnapshotAdopted.Code(), event.RevisionInForce.Code(),
		event.DrainStarted.Code(), event.ProcessStarted.Code(), event.LinesDropped.Code():
		return true
	}
	return false
}

// end returns the event that ended the chapter, and its reason.
func (c *Attempt) end() (outcome, reason string) {
	outcome = unfinished
	for i := range c.Lines {
		line := &c.Lines[i]
		switch line.Event {
		case event.RequestFinished.Code(), event.RequestRefused.Code(), event.RequestFailed.Code(), event.RequestAbandoned.Code():
			outcome, reason = line.Name, line.Get("reason")
		}
	}
	return outcome, reason
}
