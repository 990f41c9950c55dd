package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"
)

const (
	// otherEngines is a service to which no route of the configuration goes.
	otherEngines = "huvo12b"
	// outage is how long the store is down, and crashAfter when in it the replica crashes.
	outage     = 4500 * time.Millisecond
	crashAfter = 300 * time.Millisecond
	// reuseAfter is when after the end of a replica its address is given to another service: reuse-after-s and a little.
	reuseAfter = 2050 * time.Millisecond
	// slowBefore is how long the slow client has not read when the outage begins. It reads on resumeAfter after the
	// address was given to the other service.
	slowBefore  = time.Second
	resumeAfter = 50 * time.Millisecond
	// engineCount makes one replica less than a share of 0.15 of its service.
	engineCount = 7
	// callPause is the time between two requests of an ordinary client, of which there are callerCount.
	callPause   = 40 * time.Millisecond
	callerCount = 4
)

// slowStream is a stream whose client reads nothing for a while.
type slowStream struct {
	attempt      string
	resume, done chan struct{}
}

// startSlowStream sends a request for a stream and reads the first line of its answer.
func startSlowStream(w *world, e *entry, wg *sync.WaitGroup) (*slowStream, error) {
	conn, err := dialSlow(e)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(&job{Events: 140, GapMS: 26, EventBytes: 4000})
	if err != nil {
		return nil, err
	}
	s := &slowStream{attempt: newAttempt(), resume: make(chan struct{}), done: make(chan struct{})}
	if _, err := io.WriteString(conn, streamRequest(streamPath, s.attempt, string(body), "", "")); err != nil {
		return nil, err
	}
	w.note("a client sends %s and reads slowly", s.attempt)
	wg.Go(func() {
		in := bufio.NewReader(conn)
		_, _ = in.ReadString('\n')
		<-s.resume
		w.note("the slow client of %s reads on", s.attempt)
		n, err := io.Copy(io.Discard, in)
		w.note("the slow client of %s has read %d more bytes: %v", s.attempt, n, err)
	})
	wg.Go(func() {
		<-s.done
		_ = conn.Close()
	})
	return s, nil
}

// callUntil sends plain requests, one after the other, until done is closed.
func (w *world) callUntil(e *entry, done <-chan struct{}) {
	for {
		c, err := newClient(w, e)
		if err != nil {
			w.note("no channel to %s: %v", e.name, err)
			return
		}
		for broken := false; !broken; time.Sleep(callPause) {
			select {
			case <-done:
				c.close()
				return
			default:
			}
			broken = c.get(plainPath).err != nil
		}
		c.close()
	}
}

// replicaOf returns the replica that has run an attempt.
func (w *world) replicaOf(attempt string) (*replica, error) {
	for _, r := range w.replicas {
		if r.hasRun(attempt) {
			return r, nil
		}
	}
	return nil, errors.New("no replica has run the slow client's stream")
}

// playReuse has a replica crash for good while the store is down and a client reads slowly, and its address go to a
// replica of another service. Without the disruption the replica and the store go on.
func playReuse(w *world, trouble bool) (bool, error) {
	other := engineService()
	other["name"] = otherEngines
	if err := w.putConfig(7, []object{streamRoute(), safeRoute(engines)}, []object{engineService(), other}); err != nil {
		return false, err
	}
	if err := w.startReplicas(engines, engineCount); err != nil {
		return false, err
	}
	otherReplica, err := w.startReplica("i-other-1", otherEngines, "z2")
	if err != nil {
		return false, err
	}
	if err := w.startEntries(1, 284); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	var wg sync.WaitGroup
	e := w.entries[0]
	slow, err := startSlowStream(w, e, &wg)
	if err != nil {
		return false, err
	}
	for range callerCount {
		wg.Go(func() { w.callUntil(e, slow.done) })
	}
	time.Sleep(slowBefore)
	foreign := []*replica{otherReplica}
	if trouble {
		successor, err := w.reuseAddress(slow.attempt)
		if err != nil {
			return false, err
		}
		foreign = append(foreign, successor)
	} else {
		time.Sleep(crashAfter + reuseAfter)
	}
	time.Sleep(resumeAfter)
	close(slow.resume)
	time.Sleep(outage - crashAfter - reuseAfter - resumeAfter)
	w.setStore(true)
	time.Sleep(contact)
	close(slow.done)
	wg.Wait()
	runs := 0
	for _, r := range foreign {
		runs += r.runs()
	}
	w.note("%d requests were run by replicas of %s, to which no configuration lets them go", runs, otherEngines)
	return runs > 0, nil
}

// reuseAddress has the store go down and the replica of an attempt crash for good, and starts a replica of the other service
// at its address.
func (w *world) reuseAddress(attempt string) (*replica, error) {
	old, err := w.replicaOf(attempt)
	if err != nil {
		return nil, err
	}
	w.setStore(false)
	time.Sleep(crashAfter)
	w.note("%s crashes for good", old.id)
	old.close()
	time.Sleep(reuseAfter)
	return w.startReplicaAt(old.address, "i-other-2", otherEngines, old.zone)
}

// setStore has the store go up or down.
func (w *world) setStore(up bool) {
	if w.storeDown.Swap(!up) == up {
		w.note("the store is up: %v", up)
	}
}
