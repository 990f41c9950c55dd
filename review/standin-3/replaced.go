package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// crashAt is when after its begin the replica of an answer crashes, and crashTime how long it is down.
	crashAt, crashTime = 380 * time.Millisecond, 450 * time.Millisecond
	// lateWrite is how late the store does the write whose answer it has lost.
	lateWrite = 2 * time.Second
	// unsafeBudget is what clients give an unsafe request.
	unsafeBudget = 4 * time.Second
	// An answer has bodyParts parts, one every partTime.
	bodyParts, partTime = 10, 45 * time.Millisecond
	lastPart            = " the last part."
	// crashes is the number of crashes, one after the other, and perCrash that of requests beside each.
	crashes, perCrash = 3, 4
)

// unsafeRoute is a route for unsafe requests to the plain service, with the figures of the site's booking-write.
func unsafeRoute() object {
	return object{
		"name": "r-unsafe", "host": routeHost, "path-prefix": "/pule252/", "kind": "unsafe", "timeout-ms": 2000, "target-latency-ms": 300,
		"priority": 2, "service": plain, "max-attempts": 1, "public": false,
	}
}

// post sends an unsafe request without a body on the channel and reads its answer.
func (c *client) post(path string) plainAnswer {
	attempt, sent := newAttempt(), time.Now()
	var a plainAnswer
	_ = c.conn.SetDeadline(sent.Add(unsafeBudget))
	_, a.err = fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Foxtailward-Attempt-Id: %s\r\nX-Foxtailward-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: 0\r\n\r\n", path, routeHost, attempt, unsafeBudget.Milliseconds(), clientKey)
	if a.err == nil {
		c.readPlain(&a)
	}
	c.w.note("a client sent %s to %s at %.3f s: status %d, body %q, error %v", attempt, c.e.name, sent.Sub(c.w.began).Seconds(), a.status, a.body, a.err)
	return a
}

// answerInParts answers a request without a length or chunks.
func (r *replica) answerInParts(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("X-Foxtailward-Response-Signature", "signed-"+r.id)
	// The server closes the connection after such an answer.
	w.Header().Set("Transfer-Encoding", "identity")
	out := http.NewResponseController(w)
	for i := range bodyParts {
		if !sleep(req, partTime) {
			panic(http.ErrAbortHandler)
		}
		part := fmt.Sprintf(" part %d.", i+1)
		if i == bodyParts-1 {
			part = lastPart
		}
		_, _ = io.WriteString(w, part)
		_ = out.Flush()
	}
}

// playReplaced has a replica crash in the middle of answers without a length and start again under its id, while the store does
// the write of its entry late. Without the disruption no replica crashes.
func playReplaced(w *world, trouble bool) (bool, error) {
	if err := w.putConfig(7, []object{unsafeRoute()}, []object{plainService(plain)}); err != nil {
		return false, err
	}
	if err := w.startReplicas(plain, engineCount); err != nil {
		return false, err
	}
	if err := w.startEntries(1, 384); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	parts := 0
	for range crashes {
		var mu sync.Mutex
		var wg sync.WaitGroup
		for range perCrash {
			wg.Go(func() {
				if w.getsPart(w.entries[0]) {
					mu.Lock()
					parts++
					mu.Unlock()
				}
			})
		}
		time.Sleep(crashAt)
		if trouble {
			if err := w.crashAndRestart(w.busiest()); err != nil {
				return false, err
			}
		}
		wg.Wait()
		time.Sleep(contact)
	}
	w.note("%d parts of answers were delivered as whole successes", parts)
	return parts > 0, nil
}

// getsPart sends a request, and reports whether its client got a part of the answer as a whole success.
func (w *world) getsPart(e *entry) bool {
	c, err := newClient(w, e)
	if err != nil {
		w.note("no channel to %s: %v", e.name, err)
		return false
	}
	defer c.close()
	a := c.post(unsafePath)
	return a.status == http.StatusOK && a.err == nil && !strings.HasSuffix(a.body, lastPart)
}

// busiest returns the replica with the most running requests.
func (w *world) busiest() *replica {
	found := w.replicas[0]
	for _, r := range w.replicas {
		if r.load() > found.load() {
			found = r
		}
	}
	return found
}

// crashAndRestart has a replica crash and start again under its id. The store loses the answer to its first write and does it
// late; those of its next heartbeats it does at once.
func (w *world) crashAndRestart(old *replica) error {
	w.note("%s crashes", old.id)
	old.close()
	time.Sleep(crashTime)
	r, err := w.newReplicaAt(old.address, old.id, old.service, old.zone)
	if err != nil {
		return err
	}
	w.note("%s has started again; its first write is done %v later", r.id, lateWrite)
	time.AfterFunc(lateWrite, func() { _ = r.beat() })
	go r.beats()
	return nil
}
