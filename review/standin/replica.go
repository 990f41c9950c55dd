package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the time between two writes of a replica's record.
	heartbeat = 1200 * time.Millisecond
	// lapseBeats is the number of silent heartbeats after which a record is removed.
	lapseBeats = 3
	// prefillPerToken is the time that an engine takes to read one token of a prompt.
	prefillPerToken = 125 * time.Microsecond
	// tokensPerEvent is the number of tokens in one event of a stream.
	tokensPerEvent = 8
)

// replica is a model replica or, without a step, a plain service.
type replica struct {
	w       *world
	store   *store
	id      string
	address string
	zone    string
	service string
	slots   int
	// step is the time between two events of a stream.
	step time.Duration
	// capacity is the memory in tokens; 0 for no limit.
	capacity int
	// work is the time of a plain request.
	work time.Duration
	// copyAnswer, if set, returns the bytes that the replica writes for the answer to a
	// call that copies a run.
	copyAnswer func(ch *channel, run string, answer []byte) []byte

	born     int64
	listener net.Listener

	// dark is closed when the replica falls silent.
	dark chan struct{}

	mu       sync.Mutex
	down     bool
	channels []*channel
	answers  int
	runs     []*generation
	// copies holds the copies of other replicas' runs by the value of Kv-From.
	copies map[string]*generation
	// ran counts the runs of plain requests by attempt.
	ran map[string]int
	// foreign lists the requests that went on from another request's memory.
	foreign []string
}

// channel is a connection of an entry to a replica.
type channel struct {
	net.Conn
	reader *bufio.Reader
	// lastCopy is the last answer to a call that copies a run, and lastRun that run.
	lastCopy []byte
	lastRun  string
}

// generation is a run of a stream.
type generation struct {
	attempt string
	// part is the prompt's part that belongs to the request itself.
	part       string
	prompt     int
	events     int
	done       int
	tokens     int
	preempted  bool
	preemption int
	// lastAt is when the last event was written.
	lastAt time.Time
}

// listen starts the replica at a free address.
func (r *replica) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.listener, r.address, r.born = l, l.Addr().String(), time.Now().UnixMilli()
	r.copies, r.ran, r.dark = map[string]*generation{}, map[string]int{}, make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			ch := &channel{Conn: c, reader: bufio.NewReader(c)}
			r.mu.Lock()
			r.channels = append(r.channels, ch)
			r.mu.Unlock()
			go r.serve(ch)
		}
	}()
	return nil
}

// beat writes the replica's record until it is down, and lets it lapse then.
func (r *replica) beat() {
	silent := 0
	for sequence := 1; silent < lapseBeats; sequence++ {
		r.mu.Lock()
		down := r.down
		r.mu.Unlock()
		if down {
			silent++
		} else {
			data, _ := json.Marshal(map[string]any{
				"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots,
				"state": "ready", "cold-remaining-ms": 0, "sequence": sequence, "born": r.born,
			})
			r.store.put("servers/"+r.id, data)
		}
		time.Sleep(heartbeat)
	}
	r.store.remove("servers/" + r.id)
}

// crash ends the replica: its channels are reset.
func (r *replica) crash() {
	r.w.record("replica %s crashes", r.id)
	_ = r.listener.Close()
	r.mu.Lock()
	r.down = true
	channels := r.channels
	r.mu.Unlock()
	for _, ch := range channels {
		if t, ok := ch.Conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = ch.Close()
	}
}

// fallSilent has the replica go dark: it sends nothing more, and its channels stay open.
func (r *replica) fallSilent() {
	r.w.record("replica %s falls silent", r.id)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = true
	close(r.dark)
}

// isDark reports whether the replica has fallen silent.
func (r *replica) isDark() bool {
	select {
	case <-r.dark:
		return true
	default:
		return false
	}
}

// lastEvent returns when the last event of a run was written.
func (r *replica) lastEvent(attempt string) time.Time {
	g := r.find(attempt)
	if g == nil {
		return time.Time{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return g.lastAt
}

// serve answers the requests of one channel, one at a time.
func (r *replica) serve(ch *channel) {
	defer ch.Close()
	for {
		req, err := http.ReadRequest(ch.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err == nil && r.isDark() {
			_, err = io.Copy(io.Discard, ch.reader)
		}
		if err != nil || r.isDark() || !r.answer(ch, req, body) {
			return
		}
	}
}

// answer answers one request and reports whether the channel stays open.
func (r *replica) answer(ch *channel, req *http.Request, body []byte) bool {
	switch path := req.URL.Path; {
	case path == "/healthz":
		h := http.Header{"X-Foxtailward-Replica-Id": {r.id}, "X-Foxtailward-Replica-Load": {r.load()}}
		return r.write(ch, encode(http.StatusOK, h, nil))
	case path == "/api/report":
		return r.write(ch, r.report())
	case path == "/api/kv-move":
		return r.copyRun(ch, req, body)
	case strings.HasPrefix(path, "/api/kv-handle/"):
		return r.write(ch, encode(http.StatusOK, echo(req), nil))
	case req.Header.Get("X-Foxtailward-Expect-Replica") != r.id:
		h := echo(req)
		h.Set("X-Foxtailward-Replica-Id", r.id)
		return r.write(ch, encode(http.StatusMisdirectedRequest, h, nil))
	case r.service == "parts":
		return r.runPlain(ch, req)
	}
	return r.runStream(ch, req)
}

// echo returns the headers that every answer carries.
func echo(req *http.Request) http.Header {
	h := http.Header{}
	if attempt := req.Header.Get("X-Foxtailward-Attempt-Id"); attempt != "" {
		h.Set("X-Foxtailward-Attempt-Id", attempt)
	}
	return h
}

// encode returns an answer with a length.
func encode(status int, h http.Header, body []byte) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = h.Write(&b)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return []byte(b.String())
}

// write sends a whole answer.
func (r *replica) write(ch *channel, answer []byte) bool {
	r.mu.Lock()
	r.answers++
	r.mu.Unlock()
	_, err := ch.Write(answer)
	return err == nil
}

func (r *replica) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", len(r.runs), r.slots)
}

func (r *replica) report() []byte {
	r.mu.Lock()
	body, _ := json.Marshal(map[string]any{
		"phase": "combined", "busy": false, "sequence": 0, "queued": 0, "active": len(r.runs), "kv-in-use": r.inUse(),
		"kv-capacity-total": 88000, "refs": len(r.copies), "born": r.born, "model-list": []any{map[string]any{"name": "m", "version": 1, "loras": []string{}}},
	})
	r.mu.Unlock()
	return encode(http.StatusOK, http.Header{"Content-Type": {"application/json"}}, body)
}

// inUse returns the tokens in memory. The caller holds mu.
func (r *replica) inUse() int {
	n := 0
	for _, g := range r.runs {
		n += g.tokens
	}
	return n
}

// copyRun copies a run to another replica.
func (r *replica) copyRun(ch *channel, req *http.Request, body []byte) bool {
	var call struct {
		ID string `json:"id"`
		To string `json:"to"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return r.write(ch, encode(http.StatusBadRequest, echo(req), nil))
	}
	g := r.find(call.ID)
	if g == nil {
		return r.write(ch, encode(http.StatusNotFound, echo(req), nil))
	}
	to := r.w.replicaAt(call.To)
	handle := "h-" + call.ID
	if to == nil || !to.keep(r.address+"/"+handle, g) {
		return r.write(ch, encode(http.StatusServiceUnavailable, echo(req), nil))
	}
	h := echo(req)
	h.Set("Content-Type", "application/json")
	answer := encode(http.StatusOK, h, []byte(fmt.Sprintf(`{"ref":%q,"created":%d}`, handle, g.done)))
	r.w.record("replica %s copied run %s to %s", r.id, call.ID, to.id)
	sent := answer
	r.mu.Lock()
	fault := r.copyAnswer
	r.mu.Unlock()
	if fault != nil {
		sent = fault(ch, call.ID, answer)
	}
	ch.lastCopy, ch.lastRun = answer, call.ID
	return r.write(ch, sent)
}

// find returns the run of an attempt, or nil.
func (r *replica) find(attempt string) *generation {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.runs {
		if g.attempt == attempt {
			return g
		}
	}
	return nil
}

// keep stores a copy of a run and reports whether there was room.
func (r *replica) keep(name string, g *generation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down || (r.copies[name] == nil && len(r.runs)+len(r.copies) >= r.slots) {
		return false
	}
	r.copies[name] = g
	return true
}

// runPlain runs a request that is not a stream.
func (r *replica) runPlain(ch *channel, req *http.Request) bool {
	attempt := req.Header.Get("X-Foxtailward-Attempt-Id")
	r.mu.Lock()
	r.ran[attempt]++
	r.mu.Unlock()
	r.w.record("replica %s runs %s", r.id, attempt)
	time.Sleep(r.work)
	h := echo(req)
	h.Set("X-Foxtailward-Response-Signature", "sig."+attempt)
	return r.write(ch, encode(http.StatusOK, h, []byte("part "+attempt)))
}

// takeCopy returns the copy that a request goes on from; ok is false if it names one that
// is not here.
func (r *replica) takeCopy(req *http.Request) (g *generation, ok bool) {
	name := req.Header.Get("Kv-From")
	if name == "" {
		return nil, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	g = r.copies[name]
	delete(r.copies, name)
	return g, g != nil
}

// runStream runs a generation.
func (r *replica) runStream(ch *channel, req *http.Request) bool {
	g := newGeneration(req)
	held, ok := r.takeCopy(req)
	if !ok {
		h := echo(req)
		h.Set("X-Foxtailward-Not-Executed", "1")
		return r.write(ch, encode(http.StatusServiceUnavailable, h, nil))
	}
	if held != nil {
		r.w.record("replica %s: request %s (part %s) goes on from the memory of run %s (part %s)", r.id, g.attempt, g.part, held.attempt, held.part)
		if held.part != g.part {
			r.mu.Lock()
			r.foreign = append(r.foreign, fmt.Sprintf("request %s (part %s) went on at %s from the memory of %s (part %s)", g.attempt, g.part, r.id, held.attempt, held.part))
			r.mu.Unlock()
			// What is written goes on from what is in memory.
			g.part = held.part
		}
	}
	if backup := r.w.replicaAt(req.Header.Get("X-Foxtailward-Kv-Backup")); backup != nil {
		backup.keep(backup.address+"/"+g.attempt, g)
	}
	r.admit(g, nil)
	r.w.record("replica %s runs %s after event %d", r.id, g.attempt, g.done)
	defer r.end(g)
	if held == nil {
		time.Sleep(time.Duration(g.prompt) * prefillPerToken)
	}
	return r.generate(ch, req, g)
}

// newGeneration reads a request's headers.
func newGeneration(req *http.Request) *generation {
	g := &generation{attempt: req.Header.Get("X-Foxtailward-Attempt-Id")}
	in, out, _ := strings.Cut(req.Header.Get("X-Foxtailward-Token-Count"), ",")
	g.prompt, _ = strconv.Atoi(in)
	tokens, _ := strconv.Atoi(out)
	g.events = tokens / tokensPerEvent
	g.done, _ = strconv.Atoi(req.Header.Get("Last-Event-Id"))
	parts := strings.Split(req.Header.Get("X-Foxtailward-Prompt-Prefix"), ",")
	g.part, _, _ = strings.Cut(parts[len(parts)-1], ":")
	return g
}
