package main

import (
	"sync"
	"time"
)

const (
	// pause is the time between two events that replicas take now and then: less than target-gap-ms, 700.
	pause = 600 * time.Millisecond
	// cutLimit is how many closed channels LOST allows at any time.
	cutLimit = 3
	// calmStreams are sent in calm, one every half a second, and stoppingStreams beforeStop before the SIGTERM: before the first
	// pause.
	calmStreams, stoppingStreams = 16, 4
	beforeStop                   = 300 * time.Millisecond
	// stopWindow is the time after the SIGTERM in which a cut counts: grace-s but for its last sixth.
	stopWindow = 8 * time.Second * 5 / 6
	// settleTime is how long entries have run, and met each other, before the requests.
	settleTime = 4 * time.Second
)

// tally counts streams.
type tally struct {
	mu sync.Mutex
	// all counts the streams, cut those whose channel the entry closed before the last event, and lost those of
	// which the client's second attempt was cut too.
	all, cut, lost int
	// cuts are the times of the cuts.
	cuts []time.Time
}

// cutsWithin returns how many channels were cut within a time from a moment on.
func (t *tally) cutsWithin(from time.Time, within time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, at := range t.cuts {
		if after := at.Sub(from); after > 0 && after < within {
			n++
		}
	}
	return n
}

// streamOnKept sends a stream on a channel that has carried a plain request, and takes it up once at another entry if
// its channel is cut, as clients do.
func (t *tally) streamOnKept(w *world, e, other *entry, j *job) {
	c, err := newClient(w, e)
	if err != nil {
		w.note("no channel to %s: %v", e.name, err)
		return
	}
	defer c.close()
	if a := c.get(plainPath); a.status != 200 || a.err != nil {
		return
	}
	o := c.stream(streamPath, j, "", "")
	cut := o.status == 200 && !o.whole
	lost := cut && !w.takeUp(other, j, &o)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all++
	if cut {
		t.cut++
		t.cuts = append(t.cuts, o.ended)
	}
	if lost {
		t.lost++
	}
}

// takeUp resumes a stream on a new channel, and reports whether it got the rest.
func (w *world) takeUp(e *entry, j *job, o *outcome) bool {
	c, err := newClient(w, e)
	if err != nil {
		return false
	}
	defer c.close()
	rest := c.stream(streamPath, j, o.attempt, o.last)
	return rest.whole
}

// playSilence has sound replicas pause between two events for less than the route's target-gap-ms: first in calm, then
// while the entry that serves the streams is told to stop. Without the disruption they do not pause.
func playSilence(w *world, trouble bool) (bool, error) {
	if err := w.startServices(2); err != nil {
		return false, err
	}
	if err := w.startEntries(2, 284); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	j := &job{Events: 40, GapMS: 40}
	if trouble {
		j.PauseEvery, j.PauseMS = 8, int(pause.Milliseconds())
	}
	var calm, stopping tally
	var wg sync.WaitGroup
	for range calmStreams {
		wg.Go(func() { calm.streamOnKept(w, w.entries[0], w.entries[1], j) })
		time.Sleep(500 * time.Millisecond)
	}
	wg.Wait()
	w.note("in calm: %d streams, %d cut by the entry, %d of them not complete after the client's retry either", calm.all, calm.cut, calm.lost)
	time.Sleep(contact)
	for range stoppingStreams {
		wg.Go(func() { stopping.streamOnKept(w, w.entries[0], w.entries[1], j) })
	}
	time.Sleep(beforeStop)
	stopped := time.Now()
	w.entries[0].terminate()
	wg.Wait()
	counted := stopping.cutsWithin(stopped, stopWindow)
	w.note("around SIGTERM: %d streams, %d cut by the entry, %d of them after it and before the last sixth of the grace time; %d not complete after the client's retry either",
		stopping.all, stopping.cut, counted, stopping.lost)
	return calm.cut > cutLimit || counted > 0, nil
}
