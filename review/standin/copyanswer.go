package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// wrongShare is the largest share of a replica's answers that come twice.
	wrongShare = 0.03
	// wrongTime is how long the trouble lasts.
	wrongTime = 5 * time.Second
	// orderGap is how many channels lie between that of the run that gets the other's
	// handle and that of the other one, which is newer. A process that ends has its
	// channels closed in their order.
	orderGap = 10
)

// repeater writes some answers to calls that copy runs a second time, late, where the next
// answer on the channel is expected.
type repeater struct {
	r  *replica
	mu sync.Mutex
	// began is when the trouble began, and before the number of answers until then.
	began  time.Time
	before int
	// repeated is set once an answer came twice. crash is closed then.
	repeated bool
	crash    chan struct{}
}

// answer returns the bytes to write for an answer.
func (p *repeater) answer(ch *channel, run string, answer []byte) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.r.mu.Lock()
	given := p.r.answers - p.before
	p.r.mu.Unlock()
	if ch.lastCopy == nil || ch.lastRun == run || p.repeated || 1 > wrongShare*float64(given+1) || time.Since(p.began) > wrongTime {
		return answer
	}
	if p.r.order(run)+orderGap > p.r.order(ch.lastRun) {
		return answer
	}
	p.repeated = true
	p.r.w.record("replica %s writes its answer for run %s once more, before that for run %s (1 of %d answers)", p.r.id, ch.lastRun, run, given+1)
	close(p.crash)
	return append(append([]byte{}, ch.lastCopy...), answer...)
}

// copyRounds is how often the scenario is played, on a new deployment each time, until the
// rule breaks: both runs with the same handle go on at once, and the first one gets it.
const copyRounds = 3

// copyAnswer plays a replica that writes an answer to a copy call twice, and then crashes.
func copyAnswer(w *world) ([]string, error) {
	for round := range copyRounds {
		w.record("round %d", round+1)
		breaches, err := copyRound(w)
		if err != nil || len(breaches) > 0 {
			return breaches, err
		}
		if err := w.renew(); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

func copyRound(w *world) ([]string, error) {
	w.store.put("op/config", []byte(configText))
	zones := []string{"za", "za", "za", "za", "za", "za", "za"}
	replicas, err := w.engines("m", zones, 160, 88000, 150*time.Millisecond)
	if err != nil {
		return nil, err
	}
	e, err := w.startEntry("edge-1", "za")
	if err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	var rs results
	for n := range 140 {
		rs.stream(w, e, streamRequest("/report/r", n, 100, 110))
		time.Sleep(15 * time.Millisecond)
	}
	added, err := w.engines("n", []string{"zb"}, 160, 88000, 150*time.Millisecond)
	if err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	w.troubleAndCrash(replicas[0])
	rs.wg.Wait()
	return foreign(append(replicas, added...), rs.list), nil
}

// troubleAndCrash has a replica write an answer twice, and then crash.
func (w *world) troubleAndCrash(r *replica) {
	p := &repeater{r: r, began: time.Now(), crash: make(chan struct{})}
	r.mu.Lock()
	p.before = r.answers
	if w.trouble {
		r.copyAnswer = p.answer
	}
	r.mu.Unlock()
	select {
	case <-p.crash:
		time.Sleep(40 * time.Millisecond)
	case <-time.After(wrongTime):
	}
	r.crash()
}

// foreign returns the requests that went on from the memory of others, and the clients that
// got events of others.
func foreign(replicas []*replica, list []result) []string {
	var breaches []string
	for _, r := range replicas {
		r.mu.Lock()
		for _, f := range r.foreign {
			breaches = append(breaches, "MIXED: "+f)
		}
		r.mu.Unlock()
	}
	for _, r := range list {
		if len(r.foreign) > 0 {
			breaches = append(breaches, fmt.Sprintf("MIXED: client attempt %s (part %s) got %d foreign events, the first is %s", r.attempt, r.part, len(r.foreign), r.foreign[0]))
		}
	}
	return breaches
}
