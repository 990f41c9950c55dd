package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// newID returns a random id.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// replica stands in for a replica of a service. It answers liveness checks and reports by itself, and
// other requests by run.
type replica struct {
	w       *world
	id      string
	service string
	address string
	zone    string
	version string
	slots   int
	// born is the start that its entry and its reports name; 0 for none.
	born int64
	// run answers a request. It returns false if the connection is to be closed.
	run func(c net.Conn, r *http.Request, body []byte) bool

	// off ends its heartbeats.
	off      atomic.Bool
	listener net.Listener
	mu       sync.Mutex
	sequence int64
	conns    map[net.Conn]struct{}
	running  atomic.Int64
	// ran counts how often it has run each request.
	ran map[string]int
}

// newReplica starts a replica at a free port.
func (w *world) newReplica(service, id string, run func(c net.Conn, r *http.Request, body []byte) bool) (*replica, error) {
	return w.newReplicaAt(service, id, "127.0.0.1:0", run)
}

// newReplicaAt starts a replica at an address.
func (w *world) newReplicaAt(service, id, address string, run func(c net.Conn, r *http.Request, body []byte) bool) (*replica, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &replica{w: w, id: id, service: service, address: l.Addr().String(), zone: "z0", version: "1", slots: 6, run: run, listener: l, conns: map[net.Conn]struct{}{}, ran: map[string]int{}}
	go r.accept(l)
	return r, nil
}

func (r *replica) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = struct{}{}
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *replica) serve(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !r.answer(c, req, body) {
			return
		}
	}
}

func (r *replica) answer(c net.Conn, req *http.Request, body []byte) bool {
	switch {
	case req.URL.Path == "/healthz":
		return r.write(c, "HTTP/1.1 200 OK\r\nX-Foxtailward-Replica-Id: %s\r\nX-Foxtailward-Replica-Load: %d,0,%d\r\nContent-Length: 0\r\n\r\n", r.id, r.running.Load(), r.slots)
	case req.URL.Path == "/api/report":
		text := fmt.Sprintf(`{"phase":"combined","busy":false,"sequence":1,"queued":0,"active":%d,"kv-in-use":0,"kv-capacity-total":88000,"refs":0`, r.running.Load())
		if r.born != 0 {
			text += fmt.Sprintf(`,"born":%d`, r.born)
		}
		text += "}"
		return r.write(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	case req.Header.Get("X-Foxtailward-Attempt-Id") == "":
		return r.write(c, "HTTP/1.1 400 Bad Request\r\nX-Foxtailward-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	case req.Header.Get("X-Foxtailward-Expect-Replica") != "" && req.Header.Get("X-Foxtailward-Expect-Replica") != r.id:
		return r.write(c, "HTTP/1.1 421 Misdirected Request\r\nX-Foxtailward-Attempt-Id: %s\r\nX-Foxtailward-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", req.Header.Get("X-Foxtailward-Attempt-Id"))
	}
	r.running.Add(1)
	defer r.running.Add(-1)
	id := req.Header.Get("X-Foxtailward-Attempt-Id")
	r.mu.Lock()
	r.ran[id]++
	r.mu.Unlock()
	return r.run(c, req, body)
}

func (r *replica) write(c net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(c, format, args...)
	return err == nil
}

// ok writes a whole, signed answer.
func ok(c net.Conn, r *http.Request, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Foxtailward-Attempt-Id: %s\r\nX-Foxtailward-Response-Signature: s.%s\r\nContent-Length: %d\r\n\r\n%s",
		r.Header.Get("X-Foxtailward-Attempt-Id"), r.Header.Get("X-Foxtailward-Attempt-Id"), len(body), body)
	return err == nil
}

// count returns the number of requests that it has run.
func (r *replica) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ran)
}

// crash closes the listener and all connections, as the host does when a process is killed.
func (r *replica) crash() {
	r.off.Store(true)
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// kill closes the listener and resets all connections, as the end of the process does.
func (r *replica) kill() {
	r.off.Store(true)
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// request is what a client sends.
type request struct {
	method, path, id, body string
	header                 map[string]string
	timeout                time.Duration
}

// answer is what a client gets.
type answer struct {
	status int
	header http.Header
	body   string
	whole  bool
	err    error
	took   time.Duration
}

// encode returns the bytes of the request.
func (q *request) encode() string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Foxtailward-Attempt-Id: %s\r\n", q.method, q.path, host, q.id)
	if q.timeout > 0 {
		text += fmt.Sprintf("X-Foxtailward-Deadline-Ms: %d\r\n", q.timeout.Milliseconds())
	}
	for name, value := range q.header {
		text += name + ": " + value + "\r\n"
	}
	if q.method != "GET" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	return text + "\r\n" + q.body
}

// send sends a request on a connection of its own and reads its answer.
func send(address string, q request) answer {
	began := time.Now()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(began.Add(max(q.timeout, time.Second)))
	a := exchange(c, bufio.NewReader(c), q)
	a.took = time.Since(began)
	return a
}

// exchange sends a request on a connection and reads its answer.
func exchange(c net.Conn, reader *bufio.Reader, q request) answer {
	if _, err := io.WriteString(c, q.encode()); err != nil {
		return answer{err: err}
	}
	res, err := http.ReadResponse(reader, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: string(body), whole: err == nil, err: err}
}
