package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// engines adds replicas of the model service and returns them.
func (w *world) engines(prefix string, zones []string, slots, capacity int, step time.Duration) ([]*replica, error) {
	var added []*replica
	for i, zone := range zones {
		r := &replica{id: fmt.Sprintf("%s-%d", prefix, i+1), zone: zone, service: "diag", slots: slots, capacity: capacity, step: step}
		if err := w.addReplica(r); err != nil {
			return nil, err
		}
		added = append(added, r)
	}
	return added, nil
}

// results collects what clients saw.
type results struct {
	wg   sync.WaitGroup
	mu   sync.Mutex
	list []result
}

// stream sends a request on a new channel, in the background.
func (rs *results) stream(w *world, e *entry, q request) {
	rs.wg.Go(func() {
		c, err := w.dial(e)
		if err != nil {
			rs.add(result{request: q, err: err})
			return
		}
		defer c.close()
		rs.add(c.do(q))
	})
}

func (rs *results) add(r result) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.list = append(rs.list, r)
}

// streamRequest returns a client attempt at a stream of some events.
func streamRequest(path string, n, prompt, events int) request {
	part := fmt.Sprintf("%08x", 0xa0000000+n)
	return request{
		attempt: fmt.Sprintf("%016x", 0x1c41d07b00000000+n), method: "POST", path: path, prompt: prompt,
		output: events * tokensPerEvent, part: part, body: "report " + part,
	}
}

// preempted plays streams that may not run twice on replicas whose memory runs out, while
// the entry gets a SIGHUP.
func preempted(w *world) ([]string, error) {
	// With the disruption, a replica has the memory of the users' sheet; without it, so
	// much that no run is preempted.
	capacity := 88000
	if !w.trouble {
		capacity *= 4
	}
	w.store.put("op/config", []byte(configText))
	if _, err := w.engines("m", []string{"za", "zb"}, 64, capacity, 40*time.Millisecond); err != nil {
		return nil, err
	}
	e, err := w.startEntry("edge-1", "za")
	if err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	e.signal(syscall.SIGHUP)
	var rs results
	for n := range 20 {
		rs.stream(w, e, streamRequest("/once/r", n, 8200, 140))
		time.Sleep(20 * time.Millisecond)
	}
	rs.wg.Wait()
	var breaches []string
	for _, r := range rs.list {
		if r.status == 200 && !r.complete {
			breaches = append(breaches, fmt.Sprintf("LOST: %s was cut after event %s, %d ms after it was sent", r.attempt, r.lastID, r.endedAt.Sub(r.sentAt).Milliseconds()))
		}
	}
	return breaches, nil
}

// stopStreams plays a SIGTERM of an entry that has served short streams. More than 3 s after
// it, long streams and unsafe requests are sent on kept channels.
func stopStreams(w *world) ([]string, error) {
	w.store.put("op/config", []byte(configText))
	if _, err := w.engines("m", []string{"za", "zb", "zc"}, 64, 88000, 60*time.Millisecond); err != nil {
		return nil, err
	}
	if err := w.addReplica(&replica{id: "p-1", zone: "zb", service: "parts", slots: 16, work: 3 * time.Second}); err != nil {
		return nil, err
	}
	e, err := w.startEntry("edge-1", "za")
	if err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	kept, err := w.shortStreams(e, 8, 4)
	if err != nil {
		return nil, err
	}
	var rs results
	rs.stream(w, e, streamRequest("/report/long", 900, 400, 200))
	time.Sleep(500 * time.Millisecond)
	stopped := time.Now()
	if w.trouble {
		e.signal(syscall.SIGTERM)
	}
	for i, c := range kept {
		q, at := streamRequest("/report/late", 1000+i, 400, 120), 3200+200*i
		if i >= 5 {
			q, at = request{attempt: fmt.Sprintf("%016x", 0x1e00+i), method: "POST", path: "/parts/order", body: "order"}, 5000+100*i
		}
		time.Sleep(time.Until(stopped.Add(time.Duration(at) * time.Millisecond)))
		rs.wg.Go(func() {
			defer c.close()
			rs.add(c.do(q))
		})
	}
	rs.wg.Wait()
	return w.cutAfter(stopped, rs.list), nil
}

// cutAfter returns the requests that were sent more than 3 s after a SIGTERM, were passed on
// to a replica, and whose channels ended without a complete answer.
func (w *world) cutAfter(stopped time.Time, list []result) []string {
	var breaches []string
	for _, r := range list {
		after := r.sentAt.Sub(stopped)
		if after > 3*time.Second && !r.complete && (r.status == 200 || w.hasRun(r.attempt)) {
			breaches = append(breaches, fmt.Sprintf("LOST: %s %s, sent %d ms after the SIGTERM, was cut after event %q, %d ms after the SIGTERM",
				r.path, r.attempt, after.Milliseconds(), r.lastID, r.endedAt.Sub(stopped).Milliseconds()))
		}
	}
	return breaches
}

// hasRun reports whether a replica has run a plain request.
func (w *world) hasRun(attempt string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.replicas {
		r.mu.Lock()
		ran := r.ran[attempt] > 0
		r.mu.Unlock()
		if ran {
			return true
		}
	}
	return false
}

// shortStreams has short streams served on some channels, which stay open.
func (w *world) shortStreams(e *entry, channels, each int) ([]*client, error) {
	var kept []*client
	for range channels {
		c, err := w.dial(e)
		if err != nil {
			return nil, err
		}
		kept = append(kept, c)
	}
	for i := range each {
		for j, c := range kept {
			res := c.do(streamRequest("/report/short", i*channels+j, 400, 5))
			if !res.complete {
				return nil, fmt.Errorf("short stream %s: status %d, %v", res.attempt, res.status, res.err)
			}
		}
	}
	return kept, nil
}
