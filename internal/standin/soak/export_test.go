package soak

import (
	"io"
	"net/http"
	"time"

	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/protocol/eventstream"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// PlanText returns the plan for options as text, one line per step.
func PlanText(o Options) []string {
	o.SetDefaults()
	var lines []string
	for _, s := range fullPlan(o) {
		lines = append(lines, s.at.String()+" "+s.action.name+" "+s.duration.String())
	}
	return lines
}

// PlanFitsDuration reports whether all steps begin within the duration of the run.
func PlanFitsDuration(o Options) bool {
	o.SetDefaults()
	for _, s := range fullPlan(o) {
		if s.at < 0 || s.at >= o.Duration {
			return false
		}
	}
	return true
}

// History gives tests access to history.
type History struct{ h *history }

// NewHistory returns an empty history.
func NewHistory() *History { return &History{newHistory(time.Now())} }

// RecordSent records an attempt that a client sends.
func (h *History) RecordSent(attempt, path, body string) {
	h.h.recordSent(direct.AttemptID(attempt), sentAttempt{sentAt: time.Now(), path: path, body: body, account: account})
}

// RecordRefusal records that an attempt was refused as not run.
func (h *History) RecordRefusal(attempt string) { h.h.recordRefusal(direct.AttemptID(attempt)) }

// RecordDisconnect records that the client disconnected some time ago.
func (h *History) RecordDisconnect(attempt string, ago time.Duration) {
	h.h.recordDisconnect(direct.AttemptID(attempt))
	h.h.sent[direct.AttemptID(attempt)].disconnectedAt = time.Now().Add(-ago)
}

// RecordRun records a run that ends immediately.
func (h *History) RecordRun(attempt, target, path, body, account string) {
	h.h.recordRunStart(direct.AttemptID(attempt), id.Target(target), path, body, catalog.AccountName(account))()
}

// Check returns the violated guarantees. excused says whether faults were active all
// the time.
func (h *History) Check(excused bool) []Guarantee {
	h.h.check(func(_, _ time.Time) bool { return excused })
	var violated []Guarantee
	for _, v := range h.h.violations {
		violated = append(violated, v.Promise)
	}
	return violated
}

// Proxy gives tests access to proxy.
type Proxy struct{ p *proxy }

// NewProxy returns a proxy that forwards to target.
func NewProxy(target string) (*Proxy, error) {
	p, err := newProxy("127.0.0.1:0", target)
	return &Proxy{p}, err
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.p.address() }

// SetBlocked sets whether the proxy blocks both directions.
func (p *Proxy) SetBlocked(on bool) {
	mode := blockNone
	if on {
		mode = blockBoth
	}
	p.p.setFault(mode, 0, false)
}

// RefuseConnections makes the proxy refuse new connections.
func (p *Proxy) RefuseConnections() { p.p.setFault(blockNone, 0, true) }

// Reset resets all connections.
func (p *Proxy) Reset() { p.p.resetConns() }

// Close closes the listener and all connections.
func (p *Proxy) Close() { p.p.close() }

// AnswerBreaks gives tests access to answerBreaks.
type AnswerBreaks struct{ b *answerBreaks }

// NewAnswerBreaks returns the breaks of a seed.
func NewAnswerBreaks(seed uint64) *AnswerBreaks { return &AnswerBreaks{newAnswerBreaks(seed)} }

// Draw returns at which place a run that begins after event last is broken off, and after which
// event.
func (b *AnswerBreaks) Draw(path, body string, events, last int, unframed bool) (place string, after int) {
	drawn := b.b.draw("a", path, &stream{body: body, events: events, unframed: unframed}, last)
	return string(drawn.place), drawn.after
}

// PageEvents holds events with the shapes that the users' pages allow.
type PageEvents struct{ w *world }

// NewPageEvents returns the events of a seed.
func NewPageEvents(seed uint64) *PageEvents {
	opts := Options{Seed: seed, PageShapes: true}
	return &PageEvents{&world{opts: opts, history: newHistory(time.Now()), pages: newPageShapes(seed), unrecorded: newUnrecordedStreams(seed)}}
}

// Write writes the events of an answer as a target does.
func (e *PageEvents) Write(w http.ResponseWriter, attempt, body, software string, count int) error {
	out := (&replica{w: e.w}).newEventWriter(w, direct.AttemptID(attempt), &stream{body: body, software: id.SoftwareVersion(software), events: count})
	for i := range count {
		if err := out.write(i + 1); err != nil {
			return err
		}
	}
	return nil
}

// Read reads an answer as a client does. It returns the guarantees that did not hold, and the number of
// events.
func (e *PageEvents) Read(r io.Reader, attempt string) (violated []Guarantee, count int) {
	c, q := &client{w: e.w}, &request{}
	before := len(e.w.history.violations)
	events := eventstream.NewReader(r)
	for next, err := events.Next(); err == nil; next, err = events.Next() {
		if c.checkEvent(direct.AttemptID(attempt), q, &next) {
			q.lastEvent++
		}
	}
	for _, v := range e.w.history.violations[before:] {
		violated = append(violated, v.Promise)
	}
	return violated, q.lastEvent
}
