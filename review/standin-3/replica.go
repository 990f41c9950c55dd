package main

import (
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

// job is what a client asks of a replica, in the body of its request.
type job struct {
	// Events is the number of events of a stream, and GapMS the time between two of them.
	Events int `json:"events"`
	GapMS  int `json:"gapMs"`
	// PauseMS is how long a run stops after each PauseEvery events.
	PauseEvery int `json:"pauseEvery,omitempty"`
	PauseMS    int `json:"pauseMs,omitempty"`
	// EventBytes is the size of the data of an event; 0 for a few bytes.
	EventBytes int `json:"eventBytes,omitempty"`
	// Unframed says that the answer has neither a length nor chunks.
	Unframed bool `json:"unframed,omitempty"`
}

// replica is a stand-in for a replica. It follows the users' pages and breaks no run off, but for a crash.
type replica struct {
	w       *world
	id      string
	service string
	zone    string
	address string
	born    int64
	server  *http.Server
	stop    chan struct{}
	// stopOnce guards stop.
	stopOnce sync.Once

	mu       sync.Mutex
	sequence int
	state    string
	running  int
	// ran holds the attempts that the replica has run, with their paths.
	ran map[string]string
}

// restartPause is how soon a replica without an entry tries again to write it.
const restartPause = 100 * time.Millisecond

const (
	// promptTime is the time until the first event of a run: 1,460 tokens at 8 a millisecond.
	promptTime = 180 * time.Millisecond
	// plainTime is how long a plain request takes.
	plainTime = 30 * time.Millisecond
)

// startReplica starts a replica at a free address and writes its entry.
func (w *world) startReplica(id, service, zone string) (*replica, error) {
	return w.startReplicaAt("127.0.0.1:0", id, service, zone)
}

// startReplicaAt starts a replica at an address and writes its entry.
func (w *world) startReplicaAt(address, id, service, zone string) (*replica, error) {
	r, err := w.newReplicaAt(address, id, service, zone)
	if err != nil {
		return nil, err
	}
	if err := r.beat(); err != nil && !w.storeDown.Load() {
		return nil, err
	}
	go r.beats()
	return r, nil
}

// newReplicaAt starts a replica at an address that writes no entry yet.
func (w *world) newReplicaAt(address, id, service, zone string) (*replica, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &replica{w: w, id: id, service: service, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), state: "ready", stop: make(chan struct{}), ran: map[string]string{}}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Second}
	go func() { _ = r.server.Serve(l) }()
	w.replicas = append(w.replicas, r)
	w.note("replica %s of %s at %s", id, service, r.address)
	return r, nil
}

// beats writes the entry again and again, sooner while the store does not answer.
func (r *replica) beats() {
	wait := beatInterval
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(wait):
		}
		if wait = beatInterval; r.beat() != nil {
			wait = restartPause
		}
	}
}

// beat writes the replica's entry.
func (r *replica) beat() error {
	r.mu.Lock()
	r.sequence++
	record := object{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 64, "state": r.state,
		"cold-remaining-ms": 0, "phase": "combined", "model-list": []object{{"name": "m", "version": 1, "loras": []string{}}},
		"sequence": r.sequence, "born": r.born,
	}
	r.mu.Unlock()
	return r.w.put("servers/"+r.id, record)
}

// close ends the replica as a crash does: it says nothing, and its channels end.
func (r *replica) close() {
	r.stopOnce.Do(func() { close(r.stop) })
	_ = r.server.Close()
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	running := r.running
	r.mu.Unlock()
	w.Header().Set("X-Foxtailward-Replica-Load", fmt.Sprintf("%d,0,64", running))
	switch req.URL.Path {
	case "/healthz":
		w.Header().Set("X-Foxtailward-Replica-Id", r.id)
	case "/api/report":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(object{
			"phase": "combined", "model-list": []object{{"name": "m", "version": 1, "loras": []string{}}}, "busy": false, "sequence": 0, "queued": 0,
			"active": running, "kv-in-use": 0, "kv-capacity-total": 88000, "refs": 0, "born": r.born, "state": r.state, "executions": []any{},
		})
	default:
		r.serve(w, req)
	}
}

// serve runs a request.
func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get("X-Foxtailward-Attempt-Id")
	w.Header().Set("X-Foxtailward-Attempt-Id", attempt)
	if expected := req.Header.Get("X-Foxtailward-Expect-Replica"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if req.Method == http.MethodGet {
		r.begin(attempt, req.URL.Path, "")
		if !sleep(req, plainTime) {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("X-Foxtailward-Response-Signature", "signed-"+r.id)
		_, _ = io.WriteString(w, "answer to "+attempt+" of "+r.service+" by "+r.id)
		return
	}
	if len(body) == 0 {
		r.begin(attempt, req.URL.Path, "")
		r.count(1)
		defer r.count(-1)
		r.answerInParts(w, req)
		return
	}
	var j job
	if err := json.Unmarshal(body, &j); err != nil {
		w.Header().Set("X-Foxtailward-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.count(1)
	defer r.count(-1)
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	r.begin(attempt, req.URL.Path, fmt.Sprintf(" after event %d", last))
	sent, whole := r.stream(w, req, &j, last)
	if whole {
		r.w.note("%s has sent %s up to its last event", r.id, attempt)
		return
	}
	r.w.note("the channel of %s at %s was closed after event %d", attempt, r.id, sent)
	panic(http.ErrAbortHandler)
}

// begin records that the replica begins to run an attempt.
func (r *replica) begin(attempt, path, detail string) {
	r.w.note("%s of %s runs %s to %s%s", r.id, r.service, attempt, path, detail)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran[attempt] = path
}

// runs returns how many attempts the replica has run.
func (r *replica) runs() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ran)
}

// hasRun reports whether the replica has run an attempt.
func (r *replica) hasRun(attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.ran[attempt]
	return ok
}

// load returns how many requests run.
func (r *replica) load() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

func (r *replica) count(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running += n
}

// stream sends the events after the last one that the client has. It returns the last event that was sent,
// and whether that was the last one of the stream.
func (r *replica) stream(w http.ResponseWriter, req *http.Request, j *job, last int) (sent int, whole bool) {
	sent = last
	if !sleep(req, promptTime) {
		return sent, false
	}
	w.Header().Set("X-Foxtailward-Response-Signature", "signed-"+r.id)
	w.Header().Set("Content-Type", "text/event-stream")
	if j.Unframed {
		// The server closes the connection after such an answer.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	out := http.NewResponseController(w)
	for i := last + 1; i <= j.Events; i++ {
		wait := time.Duration(j.GapMS) * time.Millisecond
		if j.PauseEvery > 0 && i%j.PauseEvery == 0 {
			wait = time.Duration(j.PauseMS) * time.Millisecond
		}
		if !sleep(req, wait) {
			return sent, false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d%s\n\n", i, i, strings.Repeat(".", j.EventBytes)); err != nil || out.Flush() != nil {
			return sent, false
		}
		sent = i
	}
	return sent, true
}

// sleep waits. It returns false if the channel of the request is closed before.
func sleep(req *http.Request, d time.Duration) bool {
	select {
	case <-req.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}
