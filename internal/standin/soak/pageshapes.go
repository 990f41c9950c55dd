package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/protocol/eventstream"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Shares and sizes of the shapes that the users' pages allow.
const (
	// sideShare is the share of the attempts at streams beside which a client resumes.
	sideShare = 0.25
	// sideTries is how often a resumption beside is sent.
	sideTries = 3
	// shortResumption is the longest time after which a client leaves a resumption whose attempt the
	// next one names.
	shortResumption = 600 * time.Millisecond
	// otherNameShare is the share of the resumptions after a broken connection that name a
	// resumption's attempt.
	otherNameShare = 0.3
	// equalBodyShare is the share of requests whose bodies are one of equalBodies.
	equalBodyShare = 0.2
	equalBodies    = 8
	// maxPieces is the number of pieces in which the bytes of an event are written at most.
	maxPieces = 4
	// maxPiecePause is the longest time between two of them.
	maxPiecePause = 2 * time.Millisecond
	// heldShare is the share of the events of which a part, or all, waits for the next one.
	heldShare = 0.3
)

// commentBetween is the comment that targets write between some events.
const commentBetween = ": between events"

// naming says which attempt a resumption names.
type naming int

const (
	// namesFirst names the attempt that brought the first event.
	namesFirst naming = iota
	// namesLast names the last attempt that brought an event.
	namesLast
	// namesNone names no attempt.
	namesNone
)

// pageShapes draws the shapes of a run, and holds the events that targets have written. It is safe for
// concurrent use.
type pageShapes struct {
	// resumptions are the resumptions that have not ended yet.
	resumptions sync.WaitGroup

	mu     sync.Mutex
	random *rand.Rand
	// written holds the bytes of each event as the targets wrote them, by the client's attempt.
	written map[writtenEvent][]string
}

// writtenEvent names an event of the answer to an attempt.
type writtenEvent struct {
	attempt direct.AttemptID
	number  int
}

func newPageShapes(seed uint64) *pageShapes {
	return &pageShapes{random: rand.New(rand.NewPCG(seed, pageShapeRandomStream)), written: map[writtenEvent][]string{}}
}

// newRandom returns a random generator for a stream.
func (s *pageShapes) newRandom() *rand.Rand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64()))
}

// draw reports whether something happens that has a share.
func (s *pageShapes) draw(share float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < share
}

// record records the bytes of an event that a target is about to write.
func (s *pageShapes) record(e writtenEvent, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written[e] = append(s.written[e], text)
}

// wrote reports whether a target wrote these bytes as an event of the answer.
func (s *pageShapes) wrote(e writtenEvent, text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.written[e], text)
}

// bodyOf returns the body of a client's request: one of few that all clients send, or its own.
func (s *pageShapes) bodyOf(opts *Options, own string) string {
	if !opts.PageShapes {
		return own
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random.Float64() >= equalBodyShare {
		return own
	}
	return fmt.Sprintf("equal-%d", s.random.IntN(equalBodies))
}

// eventWriter writes the events of an answer.
type eventWriter struct {
	w       http.ResponseWriter
	attempt direct.AttemptID
	stream  *stream
	// shapes and random are nil without PageShapes.
	shapes *pageShapes
	random *rand.Rand
	// held are bytes that wait for the next event.
	held string
}

func (p *replica) newEventWriter(w http.ResponseWriter, attempt direct.AttemptID, s *stream) *eventWriter {
	out := &eventWriter{w: w, attempt: attempt, stream: s}
	if p.w.opts.PageShapes {
		out.shapes, out.random = p.w.pages, p.w.pages.newRandom()
	}
	return out
}

// write writes event i. With PageShapes the bytes are cut anywhere, and some wait for the next event.
func (o *eventWriter) write(i int) error {
	if o.shapes == nil {
		return o.writePiece(streamEvent(o.stream.body, i, o.stream.software))
	}
	text := o.eventText(i)
	o.shapes.record(writtenEvent{o.attempt, i}, text)
	data := o.held + o.comment() + text
	o.held = ""
	if i < o.stream.events && o.random.Float64() < heldShare {
		end := o.random.IntN(len(data))
		data, o.held = data[:end], data[end:]
	}
	return o.writeCut(data)
}

// writeCut writes bytes in pieces.
func (o *eventWriter) writeCut(data string) error {
	for range o.random.IntN(maxPieces) {
		if len(data) == 0 {
			break
		}
		end := 1 + o.random.IntN(len(data))
		if err := o.writePiece(data[:end]); err != nil {
			return err
		}
		data = data[end:]
		time.Sleep(randomDuration(maxPiecePause, o.random))
	}
	if data == "" {
		return nil
	}
	return o.writePiece(data)
}

// writePiece writes bytes at once: as one chunk, or as one segment.
func (o *eventWriter) writePiece(data string) error {
	if _, err := io.WriteString(o.w, data); err != nil {
		return err
	}
	return http.NewResponseController(o.w).Flush()
}

// eventText returns the bytes of event i, with its fields in any order, comments, and ends of lines
// of either kind. Some events name the version of the weights in their first line.
func (o *eventWriter) eventText(i int) string {
	fields := []string{
		fmt.Sprintf("id: %d", i), "event: tokens",
		fmt.Sprintf("data: %s/%d for %s%s%s", o.stream.body, i, o.attempt, softwareMark, o.stream.software),
	}
	if o.random.IntN(2) == 0 {
		fields[0] = fmt.Sprintf("id:%d", i)
	}
	if o.random.IntN(3) == 0 {
		fields = append(fields, ": a comment within an event")
	}
	o.random.Shuffle(len(fields), func(a, b int) { fields[a], fields[b] = fields[b], fields[a] })
	if o.random.IntN(8) == 0 {
		fields = slices.Insert(fields, 0, fmt.Sprintf("x-foxtailward-weight-versions: %d", 1+o.random.IntN(3)))
	}
	return strings.Join(fields, o.lineEnd()) + o.lineEnd() + o.lineEnd()
}

// comment returns the bytes between two events: mostly nothing.
func (o *eventWriter) comment() string {
	if o.random.IntN(6) > 0 {
		return ""
	}
	return commentBetween + o.lineEnd() + o.lineEnd()
}

// lineEnd returns CRLF or LF.
func (o *eventWriter) lineEnd() string {
	if o.random.IntN(2) == 0 {
		return "\r\n"
	}
	return "\n"
}

// checkEvent checks that an event is the next one of the stream, with the bytes that a target wrote for the
// attempt. It returns false if it is a comment alone.
func (c *client) checkEvent(attempt direct.AttemptID, q *request, next *eventstream.Event) bool {
	raw := string(next.Raw)
	if !c.w.opts.PageShapes {
		software := softwareOf(raw)
		c.w.recordSoftware(attempt, q, software)
		if want := streamEvent(q.body, q.lastEvent+1, software); raw != want {
			c.w.history.recordViolation(EventsInOrder, attempt, "received event %q, want %q", raw, want)
		}
		return true
	}
	if next.Empty {
		if strings.TrimRight(raw, "\r\n") != commentBetween {
			c.w.history.recordViolation(EventsInOrder, attempt, "received %q between events, which no target wrote", raw)
		}
		return false
	}
	c.w.recordSoftware(attempt, q, softwareOfData(raw))
	if !c.w.pages.wrote(writtenEvent{attempt, q.lastEvent + 1}, raw) {
		c.w.history.recordViolation(EventsInOrder, attempt, "received event %q, which no target wrote as event %d of %q", raw, q.lastEvent+1, q.body)
	}
	return true
}

// softwareOfData returns the version that the data of an event names.
func softwareOfData(event string) id.SoftwareVersion {
	_, rest, _ := strings.Cut(event, softwareMark)
	end := strings.IndexAny(rest, "\r\n")
	return id.SoftwareVersion(rest[:max(0, end)])
}

// named returns the attempt that a resumption names.
func (q *request) named() direct.AttemptID {
	switch q.naming {
	case namesLast:
		return q.lastBrought
	case namesNone:
		return ""
	case namesFirst:
	}
	return q.began
}

// drawNaming draws which attempt a client names when it resumes after its connection broke.
func (c *client) drawNaming(q *request) {
	if c.w.opts.PageShapes && !q.beside && c.w.pages.draw(otherNameShare) {
		q.naming = namesLast
		c.w.history.count("resumed naming a resumption")
	}
}

// sideKind is what a client does beside an attempt at a stream.
type sideKind int

const (
	// sideOnce resumes once while the first connection still brings events.
	sideOnce sideKind = iota
	// sideTwice resumes twice at once, at two entries.
	sideTwice
	// sideUnnamed resumes without naming an attempt.
	sideUnnamed
	// sideChain resumes, leaves, and resumes again naming the resumption's attempt.
	sideChain
	// sideLast resumes after the last event.
	sideLast
	sideKinds
)

var sideNames = [sideKinds]string{"once", "twice", "unnamed", "chain", "last"}

// side is a plan of resumptions beside an attempt.
type side struct {
	kind sideKind
	// after is the event after which they begin; 0 for none.
	after  int
	random *rand.Rand
}

// drawSide draws what a client does beside an attempt at a stream.
func (c *client) drawSide(q *request) side {
	if !c.w.opts.PageShapes || q.beside || runsOnce(q.path) || routeKindOf(q.path) != catalog.Streaming {
		return side{}
	}
	r := c.w.pages.newRandom()
	if r.Float64() >= sideShare {
		return side{}
	}
	s := side{kind: sideKind(r.IntN(int(sideKinds))), after: 1 + r.IntN(q.eventCount()), random: r}
	if s.kind == sideLast {
		s.after = q.eventCount()
	}
	return s
}

// beginSide begins the planned resumptions if the client has just received the event before them.
func (c *client) beginSide(s side, q *request) {
	if s.after == 0 || q.lastEvent != s.after {
		return
	}
	c.w.history.count("resumed beside: " + sideNames[s.kind])
	avoided := c.conn.entry
	n := 1
	if s.kind == sideTwice {
		n = 2
	}
	for range n {
		resumed := *q
		resumed.beside, resumed.disconnectAt, resumed.startedAt = true, time.Time{}, time.Now()
		other := &client{w: c.w, name: c.name, random: rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64())), brokeOff: avoided}
		avoided = other.choose()
		c.w.pages.resumptions.Go(func() { other.resumeBeside(s.kind, &resumed) })
	}
}

// choose connects to an entry other than the one that the client avoids, and returns it; nil if that
// fails.
func (c *client) choose() *process {
	if c.connect() != nil {
		return c.brokeOff
	}
	return c.conn.entry
}

// resumeBeside resumes a stream as planned. The answer is checked as each answer is.
func (c *client) resumeBeside(kind sideKind, q *request) {
	defer c.closeConn()
	switch kind {
	case sideUnnamed:
		q.naming = namesNone
	case sideChain:
		q.disconnectAt = time.Now().Add(randomDuration(shortResumption, c.random))
		before := q.lastEvent
		c.tryBeside(q)
		q.disconnectAt, q.naming = time.Time{}, namesLast
		if q.lastEvent > before {
			c.w.history.count("resumed beside: named a resumption")
		}
	case sideOnce, sideTwice, sideLast, sideKinds:
	}
	c.tryBeside(q)
}

// tryBeside sends a resumption until it is answered.
func (c *client) tryBeside(q *request) {
	before := q.lastEvent
	for range sideTries {
		if c.connect() != nil {
			time.Sleep(thinkTime)
			continue
		}
		result := c.attemptConnected(q)
		if q.lastEvent > before {
			c.w.history.count("resumed beside: went on")
			before = q.eventCount()
		}
		if result.outcome != retry {
			return
		}
		time.Sleep(min(result.pause, maxRetryPause))
	}
}

// checkPageShapes waits for the resumptions, and records a violation if the run met none that went on.
func (w *world) checkPageShapes() {
	if !w.opts.PageShapes {
		return
	}
	w.pages.resumptions.Wait()
	for _, name := range []string{"once", "twice", "unnamed", "chain", "last", "named a resumption", "went on"} {
		if w.history.countOf("resumed beside: "+name) == 0 {
			w.history.recordViolation(PlanMet, "", "no stream was resumed its own way: %s", name)
		}
	}
}
