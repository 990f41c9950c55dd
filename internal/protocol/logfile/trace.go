package logfile

import (
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/state/event"
)

// Trace is the history of one request, from the logs of all processes that handled
// it.
type Trace struct {
	Request string `json:"request"`
	// Outcome is the name of the event that ended the request, or "unfinished".
	// Reason is the value of that event's reason field, if it has one.
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	// Attempts are the client's attempts, the earliest first. The last one is
	// Request itself.
	Attempts []Attempt `json:"chapters"`
}

// Attempt is the part of a client's attempt that one process logged.
type Attempt struct {
	Request string  `json:"request"`
	Process Process `json:"process"`
	// Lines are the lines about the attempt, in the order in which they were
	// written. Among them are context lines: changes in what the process knew of the
	// targets and zones that the attempt used, and of the state of the process
	// itself.
	Lines Lines `json:"lines"`
}

// unfinished is the outcome of a request whose end was not logged.
const unfinished = "unfinished"

const (
	// Context lines are included from contextBefore before the first line of an
	// attempt until contextAfter after its last.
	contextBefore = 3 * time.Second
	contextAfter  = 500 * time.Millisecond
	// maxAttempts is the number of attempts in a trace at which following them back
	// stops.
	maxAttempts = 10
)

// Trace returns the trace of a request, or false if no line is about the request. It
// follows the attempts back from the request to the first one.
func (l Lines) Trace(request string) (Trace, bool) {
	t := Trace{Request: request}
	visited := map[string]bool{}
	for id := request; id != "" && !visited[id] && len(t.Attempts) < maxAttempts; {
		visited[id] = true
		attempts, previous := l.attempts(id)
		t.Attempts = append(attempts, t.Attempts...)
		id = previous
	}
	if len(t.Attempts) == 0 {
		return t, false
	}
	t.Outcome, t.Reason = t.Attempts[len(t.Attempts)-1].outcome()
	return t, true
}

// attempts returns one Attempt for each process that logged lines about the request.
// If the request continued from the copy of a previous attempt, previous is the
// request ID of that attempt.
func (l Lines) attempts(request string) (attempts []Attempt, previous string) {
	requestLines := l.forRequest(request)
	var processes []Process
	for i := range requestLines {
		if !slices.Contains(processes, requestLines[i].Process) {
			processes = append(processes, requestLines[i].Process)
		}
		if requestLines[i].Event == event.RequestAdopted.Code() {
			previous = requestLines[i].Get("handle")
		}
	}
	for _, p := range processes {
		lines := requestLines.fromProcess(p)
		lines = append(lines, l.fromProcess(p).context(lines)...)
		slices.SortFunc(lines, func(a, b Line) int { return a.Number - b.Number })
		attempts = append(attempts, Attempt{Request: request, Process: p, Lines: lines})
	}
	return attempts, previous
}

func (l Lines) forRequest(request string) Lines {
	return l.filter(func(line *Line) bool { return line.Get("request") == request })
}

func (l Lines) fromProcess(p Process) Lines {
	return l.filter(func(line *Line) bool { return line.Process == p })
}

func (l Lines) filter(keep func(*Line) bool) Lines {
	var out Lines
	for i := range l {
		if keep(&l[i]) {
			out = append(out, l[i])
		}
	}
	return out
}

// context returns the context lines of an attempt: those close to it in time that
// are about its targets and zones or about the process itself, and the last line
// before it that says which configuration was in force. l holds the lines of the
// attempt's process only.
func (l Lines) context(attempt Lines) Lines {
	first, last := attempt[0], attempt[len(attempt)-1]
	used := map[string]bool{}
	for i := range attempt {
		used[attempt[i].Get("target")] = true
		used[attempt[i].Get("zone")] = true
	}
	delete(used, "")
	var config *Line
	out := l.filter(func(line *Line) bool {
		if line.Event == event.RevisionInForce.Code() && line.Number < first.Number {
			config = line
			return false
		}
		near := !line.At.Before(first.At.Add(-contextBefore)) && !line.At.After(last.At.Add(contextAfter))
		return near && line.isContext(used)
	})
	if config != nil {
		out = append(out, *config)
	}
	return out
}

// isContext reports whether the line is about one of the used targets and zones, or
// about a change that affects all requests of the process.
func (l *Line) isContext(used map[string]bool) bool {
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

// outcome returns the name of the event that ended the request, and its reason.
func (a *Attempt) outcome() (outcome, reason string) {
	outcome = unfinished
	for i := range a.Lines {
		line := &a.Lines[i]
		switch line.Event {
		case event.RequestFinished.Code(), event.RequestRefused.Code(), event.RequestFailed.Code(), event.RequestAbandoned.Code():
			outcome, reason = line.Name, line.Get("reason")
		}
	}
	return outcome, reason
}
