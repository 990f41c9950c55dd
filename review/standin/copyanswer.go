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
	// settleTime is the time in which the entry has read an answer.
	settleTime = 20 * time.Millisecond
	// copyStep is the time between two events of a stream.
	copyStep = 200 * time.Millisecond
	// The run that gets the handle of another one wrote its last event by leastLead to
	// mostLead before that one. So its silence is noticed first.
	leastLead = 110 * time.Millisecond
	mostLead  = 185 * time.Millisecond
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
	// owner is the run whose handle another one got.
	owner string
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
	lead := p.r.lastEvent(ch.lastRun).Sub(p.r.lastEvent(run)) % copyStep
	if lead < 0 {
		lead += copyStep
	}
	if lead < leastLead || lead > mostLead {
		return answer
	}
	p.repeated, p.owner = true, ch.lastRun
	p.r.w.record("replica %s writes its answer for run %s once more, before that for run %s (1 of %d answers)", p.r.id, ch.lastRun, run, given+1)
	close(p.crash)
	return append(append([]byte{}, ch.lastCopy...), answer...)
}

// copyRounds is how often the scenario is played, on a new deployment each time, until the
// rule breaks: of the two runs with the same handle only the first that goes on gets the copy.
const copyRounds = 3

// copyAnswer plays a replica that writes an answer to a copy call twice, and then goes dark.
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
	replicas, err := w.engines("m", zones, 160, 88000, copyStep)
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
		rs.stream(w, e, streamRequest("/report/r", n, 100, 85))
		time.Sleep(15 * time.Millisecond)
	}
	added, err := w.engines("n", []string{"zb"}, 160, 88000, copyStep)
	if err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	w.troubleAndSilence(replicas[0])
	rs.wg.Wait()
	return foreign(append(replicas, added...), rs.list), nil
}

// troubleAndSilence has a replica write an answer twice, and then go dark.
func (w *world) troubleAndSilence(r *replica) {
	p := &repeater{r: r, began: time.Now(), crash: make(chan struct{})}
	r.mu.Lock()
	p.before = r.answers
	if w.trouble {
		r.copyAnswer = p.answer
	}
	r.mu.Unlock()
	select {
	case <-p.crash:
		time.Sleep(settleTime)
		for end := time.Now().Add(2 * copyStep); time.Now().Before(end) && time.Since(r.lastEvent(p.owner)) > settleTime/4; {
			time.Sleep(time.Millisecond)
		}
	case <-time.After(wrongTime):
	}
	r.fallSilent()
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
