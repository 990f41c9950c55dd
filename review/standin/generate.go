package main

import (
	"fmt"
	"net/http"
	"time"
)

// pollInterval is how often a run looks whether there is room for it.
const pollInterval = 5 * time.Millisecond

// admit waits until there is room for a run. It returns false if dropped is closed first.
func (r *replica) admit(g *generation, dropped <-chan struct{}) bool {
	for {
		r.mu.Lock()
		if r.capacity == 0 || r.inUse()+g.prompt+g.done*tokensPerEvent <= r.capacity {
			g.tokens, g.preempted = g.prompt+g.done*tokensPerEvent, false
			if g.preemption == 0 {
				r.runs = append(r.runs, g)
			}
			r.mu.Unlock()
			return true
		}
		r.mu.Unlock()
		select {
		case <-dropped:
			return false
		case <-time.After(pollInterval):
		}
	}
}

// end removes a run.
func (r *replica) end(g *generation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, other := range r.runs {
		if other == g {
			r.runs = append(r.runs[:i:i], r.runs[i+1:]...)
			return
		}
	}
}

// grow counts the tokens of an event. If memory has run out, the newest run is preempted.
// It reports whether g was preempted before.
func (r *replica) grow(g *generation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g.preempted {
		return true
	}
	g.tokens += tokensPerEvent
	if r.capacity == 0 || r.inUse() <= r.capacity {
		return false
	}
	for i := len(r.runs) - 1; i >= 0; i-- {
		newest := r.runs[i]
		if newest.tokens == 0 {
			continue
		}
		newest.preempted, newest.tokens = true, 0
		newest.preemption++
		return newest == g
	}
	return false
}

// readAgain waits until a preempted run has room again, and has been read in. It returns
// false if dropped is closed first.
func (r *replica) readAgain(g *generation, dropped <-chan struct{}) bool {
	began := time.Now()
	if !r.admit(g, dropped) {
		return false
	}
	select {
	case <-dropped:
		return false
	case <-time.After(time.Duration(g.prompt+g.done*tokensPerEvent) * prefillPerToken):
	}
	r.w.record("replica %s: run %s was preempted after event %d and goes on after %d ms", r.id, g.attempt, g.done, time.Since(began).Milliseconds())
	return true
}

// nextStep waits until a run's next event is made. It returns false if dropped is closed
// first.
func (r *replica) nextStep(g *generation, dropped <-chan struct{}) bool {
	select {
	case <-dropped:
		return false
	case <-r.dark:
		<-dropped
		return false
	case <-time.After(r.step):
	}
	return !r.grow(g) || r.readAgain(g, dropped)
}

// generate writes the events of a run. It reports whether the channel stays open.
func (r *replica) generate(ch *channel, req *http.Request, g *generation) bool {
	closed := make(chan struct{})
	go func() {
		if _, err := ch.reader.Peek(1); err != nil {
			close(closed)
		}
	}()
	h := echo(req)
	h.Set("X-Foxtailward-Response-Signature", "sig."+g.attempt+"."+r.id)
	h.Set("Content-Type", "text/event-stream")
	h.Set("Transfer-Encoding", "chunked")
	if _, err := fmt.Fprintf(ch, "HTTP/1.1 200 OK\r\n"); err != nil || h.Write(ch) != nil {
		return false
	}
	r.mu.Lock()
	r.answers++
	r.mu.Unlock()
	if _, err := fmt.Fprint(ch, "\r\n"); err != nil {
		return false
	}
	for g.done < g.events {
		if !r.nextStep(g, closed) {
			r.w.record("replica %s: run %s was dropped after event %d, its channel was closed", r.id, g.attempt, g.done)
			return false
		}
		g.done++
		text := fmt.Sprintf("id: %d\ndata: %s/%d\n\n", g.done, g.part, g.done)
		if _, err := fmt.Fprintf(ch, "%x\r\n%s\r\n", len(text), text); err != nil {
			r.w.record("replica %s: run %s was dropped after event %d: %v", r.id, g.attempt, g.done, err)
			return false
		}
		r.mu.Lock()
		g.lastAt = time.Now()
		r.mu.Unlock()
	}
	r.w.record("replica %s: run %s is complete with event %d", r.id, g.attempt, g.done)
	if _, err := fmt.Fprint(ch, "0\r\n\r\n"); err != nil {
		return false
	}
	// The reader belongs to the goroutine that waits for the next request's first byte.
	return awaitNext(ch, closed)
}

// awaitNext waits until the next request arrives at a channel that was watched for its
// close, and reports whether one did.
func awaitNext(ch *channel, closed chan struct{}) bool {
	for {
		select {
		case <-closed:
			return false
		default:
		}
		if ch.reader.Buffered() > 0 {
			return true
		}
		time.Sleep(time.Millisecond)
	}
}
